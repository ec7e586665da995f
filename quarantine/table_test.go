package quarantine_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"pumiceford/quarantine"
	"pumiceford/targets"
)

var start = time.Unix(1000, 0)

func mark(key, target int, after time.Duration) quarantine.Mark {
	return quarantine.Mark{Key: keyed(key), Target: targets.Life{ID: fmt.Sprint("t", target)}, At: start.Add(after)}
}

// verdicts returns what a table says of each request that crashes are counted against.
func verdicts(t *quarantine.Table, now time.Time) []string {
	var out []string
	for _, c := range t.Cases(now) {
		out = append(out, fmt.Sprint(c.Key, c.Held, c.Until.UnixMilli(), len(c.Crashes)))
	}
	return out
}

// Processes hear of crashes and of answers from each other, in any order and more than
// once, and must come to hold the same requests.
func TestAllComeToHoldTheSame(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		one := rapid.Custom(func(t *rapid.T) quarantine.Mark {
			m := mark(rapid.IntRange(0, 4).Draw(t, "key"), rapid.IntRange(0, 9).Draw(t, "target"), 0)
			m.At = m.At.Add(time.Duration(len(m.Target.ID)) * time.Second) // the same wherever it is told
			m.Answered = rapid.Bool().Draw(t, "answered")
			m.Void = rapid.IntRange(0, 5).Draw(t, "void") == 0
			return m
		})
		all := rapid.SliceOfN(one, 1, 60).Draw(t, "marks")
		now := start.Add(time.Minute)
		a, b := quarantine.NewTable(), quarantine.NewTable()
		a.Merge(now, all, nil)
		for _, m := range rapid.Permutation(all).Draw(t, "order") {
			b.Merge(now, []quarantine.Mark{m}, nil)
		}
		b.Merge(now, a.Since(0, nil), nil)
		if !slices.Equal(verdicts(a, now), verdicts(b, now)) {
			t.Fatalf("%v and %v", verdicts(a, now), verdicts(b, now))
		}
	})
}

// A request that was held ran well elsewhere, or an operator cleared it. An older word of
// its crashes that comes afterwards does not hold it again.
func TestWhatIsClearedStaysCleared(t *testing.T) {
	now := start.Add(time.Second)
	for name, clearIt := range map[string]func(*quarantine.Table){
		"served":  func(tab *quarantine.Table) { tab.Served(now, keyed(1)) },
		"cleared": func(tab *quarantine.Table) { tab.Clear(keyed(1)) },
	} {
		old := []quarantine.Mark{mark(1, 1, 0), mark(1, 2, 0), mark(1, 3, 0)}
		tab := quarantine.NewTable()
		tab.Merge(now, old, nil)
		if _, held := tab.Held(now, keyed(1)); !held {
			t.Fatal("three crashes do not hold a request")
		}
		clearIt(tab)
		tab.Merge(now, old, nil)
		if _, held := tab.Held(now, keyed(1)); held {
			t.Errorf("%s: held again by what was known before", name)
		}
	}
}

// A hold ends by itself. One more crash then holds the request anew, an answer clears it.
func TestAHoldEndsByItself(t *testing.T) {
	tab := quarantine.NewTable()
	for n := range 3 {
		tab.Add(start, mark(1, n, 0))
	}
	if until, held := tab.Held(start, keyed(1)); !held || !until.Equal(start.Add(quarantine.HoldFor)) {
		t.Fatalf("held %v until %v", held, until)
	}
	over := start.Add(quarantine.HoldFor)
	if _, held := tab.Held(over, keyed(1)); held {
		t.Fatal("held for ever")
	}
	tab.Add(over, mark(1, 9, quarantine.HoldFor))
	if _, held := tab.Held(over, keyed(1)); !held {
		t.Fatal("not held after one more crash")
	}
	tab.Expire(over.Add(2*quarantine.HoldFor + time.Second))
	if all := tab.Since(0, nil); len(all) > 0 {
		t.Fatalf("still known: %v", all)
	}
}

// The clock of a host that is ahead must not hold a request for longer.
func TestAClockAheadHoldsNoLonger(t *testing.T) {
	tab := quarantine.NewTable()
	for n := range 3 {
		tab.Merge(start, []quarantine.Mark{mark(1, n, time.Hour)}, nil)
	}
	if until, held := tab.Held(start, keyed(1)); !held || until.After(start.Add(quarantine.HoldFor)) {
		t.Fatalf("held %v until %v", held, until)
	}
}

// A caller that has many different requests crash targets makes others forget neither
// those that are held nor grows what they keep.
func TestManyCrashesFillNoMemory(t *testing.T) {
	tab := quarantine.NewTable()
	for n := range 3 {
		tab.Add(start, mark(1, n, 0))
	}
	for n := range 5000 {
		tab.Add(start, mark(10+n, 10+n, time.Millisecond))
		tab.Add(start, mark(1, 10+n, 0))
	}
	if _, held := tab.Held(start, keyed(1)); !held {
		t.Error("the held one was forgotten")
	}
	const keysMost, marksMost = 512, 16
	if n := len(tab.Since(0, nil)); n > keysMost+marksMost {
		t.Errorf("%d marks are kept", n)
	}
}

// Fifty targets crashed within seconds, and more requests had been at them than a process
// keeps. Each process dropped others than its neighbours, took what these told it of the
// dropped ones for news, dropped something else for it and told that in turn: a play of the
// incident used ten times its processor time and was given up. What is dropped has to be the
// same everywhere, so that the word comes to rest.
func TestTooManyRequestsComeToRest(t *testing.T) {
	const processes, requests = 3, 1000
	var tables [processes]*quarantine.Table
	for i := range tables {
		tables[i] = quarantine.NewTable()
	}
	for n := range requests {
		tables[n%processes].Add(start, mark(n, n/8, time.Duration(n%7)*time.Millisecond))
	}
	changes := func() (sum uint64) {
		for _, tab := range tables {
			sum += tab.Changes()
		}
		return sum
	}
	rounds := 0
	for before := uint64(0); before < changes(); rounds++ {
		if rounds > 2*processes {
			t.Fatalf("still %d changes in round %d", changes()-before, rounds)
		}
		before = changes()
		for _, a := range tables {
			for _, b := range tables {
				b.Merge(start, a.Since(0, b), a) // all, as when a target is new and its agent is asked
			}
		}
	}
	for _, tab := range tables[1:] {
		if !slices.Equal(verdicts(tables[0], start), verdicts(tab, start)) {
			t.Error("two processes keep different requests")
		}
	}
}

// A caller has so many different requests crash targets that the table is full of held
// ones. Deciding anew at each mark took time that grew with the cube of their number, so that
// a process did nothing else. The work for one more mark has a bound.
func TestAFullTableStaysCheap(t *testing.T) {
	const requests, crashes = 512, 16
	tab := quarantine.NewTable()
	for k := range requests {
		var marks []quarantine.Mark
		for n := range crashes {
			marks = append(marks, mark(k, k*crashes+n, 0))
		}
		tab.Merge(start, marks, nil)
	}
	if n := len(tab.Holds(start)); n != requests {
		t.Fatalf("%d are held", n)
	}
}

// A popular request was at three crashes of another's making, at two of them with six and
// five events of its answer already there, and was held. What had begun to answer counts
// half; a request that crashes its targets later than that is held after twice as many.
func TestWhatHadBegunToAnswerCountsHalf(t *testing.T) {
	tab := quarantine.NewTable()
	for n := range 6 {
		if _, held := tab.Held(start, keyed(1)); held {
			t.Fatalf("held after %d crashes", n)
		}
		m := mark(1, n, 0)
		m.Answered = true
		tab.Add(start, m)
	}
	if _, held := tab.Held(start, keyed(1)); !held {
		t.Error("not held after six crashes")
	}
}
