package quarantine_test

import (
	"context"
	"fmt"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"pumiceford/metrics"
	"pumiceford/quarantine"
	"pumiceford/targets"
)

const testPart = "a"

// partMark returns the mark of a crash of a target under a request with the part testPart.
func partMark(request, target, depth int) quarantine.Mark {
	p := quarantine.NewPart(testPart)
	m := mark(request, target, 0)
	m.Request, m.Key, m.Part, m.Depth = m.Key, p.Key, p.ID, depth
	return m
}

func partHeld(tab *quarantine.Table) bool {
	_, held := tab.Held(start, quarantine.NewPart(testPart).Key)
	return held
}

// Guards against a part that is held after one event that ended many targets while requests with
// it ran there.
func TestCrashesAtTheSameTimeDoNotHoldPart(t *testing.T) {
	tab := quarantine.NewTable()
	for n := range 12 {
		tab.AddCrash(start, partMark(n, n, 1))
	}
	if partHeld(tab) {
		t.Error("held although no run began after the first crash")
	}
	for depth := 2; depth <= 3; depth++ {
		tab.AddCrash(start, partMark(20+depth, 20+depth, depth))
	}
	if !partHeld(tab) {
		t.Error("not held although runs crashed one after the other")
	}
}

// Guards against a part that is held for a single request that crashes its targets, which would
// stop all other requests with the part.
func TestOneCrashingRequestDoesNotHoldItsParts(t *testing.T) {
	tab := quarantine.NewTable()
	for n := range 8 {
		tab.AddCrash(start, mark(1, n, 0), partMark(1, n, n+1))
	}
	if _, held := tab.Held(start, testKey(1)); !held || partHeld(tab) {
		t.Errorf("request held %v, its part held %v, want only the request", held, partHeld(tab))
	}
	tab.AddCrash(start, mark(2, 9, 0), partMark(2, 9, 9))
	if !partHeld(tab) {
		t.Error("the part is not held after a crash under another request")
	}
}

// Guards against a caller that has a part held by naming it last, against parts that count twice,
// and against IDs in other letters that are other parts.
func TestSharedParts(t *testing.T) {
	for _, c := range []struct{ ids, want []string }{
		{nil, nil},
		{[]string{"own"}, nil},
		{[]string{"AB", "own"}, []string{"ab"}},
		{[]string{"ab", "cd", "AB", "own"}, []string{"ab", "cd"}},
	} {
		var got []string
		for _, p := range quarantine.SharedParts(c.ids) {
			got = append(got, p.ID)
		}
		if !slices.Equal(got, c.want) {
			t.Errorf("%v: got %v, want %v", c.ids, got, c.want)
		}
	}
	many := make([]string, 1000)
	for n := range many {
		many[n] = fmt.Sprint(n)
	}
	if n := len(quarantine.SharedParts(many)); n > 32 {
		t.Errorf("%d parts of one prompt count", n)
	}
}

// Guards against a sound part that all prompts share and that stays held because the run that tests
// it also has a part that crashes targets.
func TestRunThatTestsAPartHasNoOtherSuspect(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tr := newTracker()
		n := 0
		run := func(ids ...string) quarantine.Content {
			n++
			return quarantine.Content{Key: testKey(n), Parts: quarantine.SharedParts(append(ids, "own"))}
		}
		crash := func(c quarantine.Content) {
			a, hold := tr.Begin(c)
			if hold != nil {
				t.Fatalf("held after %d requests", n)
			}
			tr.RecordBroken(context.Background(), quarantine.BrokenRun{Attempt: a, Target: targets.Instance{ID: fmt.Sprint("t", n)}})
			tr.End(a)
		}
		sound, _ := tr.Begin(run("first"))
		tr.RecordSuccess(sound)
		for range 3 {
			crash(run("first"))
		}
		for range 3 {
			crash(run("first", "bad"))
			time.Sleep(time.Second)
		}
		hold := tr.Held(run("first"))
		if hold == nil || hold.Part != "first" {
			t.Fatalf("got %+v, want a hold of the first part", hold)
		}
		for ; hold != nil; hold = tr.Held(run("first")) {
			time.Sleep(hold.Left)
		}
		if tr.Held(run("first", "bad")) == nil {
			t.Error("a request with the other suspect may test the first part")
		}
		if sound, hold = tr.Begin(run("first")); hold != nil {
			t.Fatalf("no request may test the first part: %+v", hold)
		}
		tr.RecordSuccess(sound)
		if hold := tr.Held(run("first")); hold != nil {
			t.Errorf("still held after a complete response: %+v", hold)
		}
	})
}

// Guards against a held part that nothing tests, since all requests with it have another suspect.
func TestHeldPartIsTestedInTheEnd(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tr := newTracker()
		both := func(n int) quarantine.Content {
			return quarantine.Content{Key: testKey(n), Parts: quarantine.SharedParts([]string{"first", "second", "own"})}
		}
		for n := range 5 {
			a, _ := tr.Begin(both(n))
			tr.RecordBroken(context.Background(), quarantine.BrokenRun{Attempt: a, Target: targets.Instance{ID: fmt.Sprint("t", n)}})
			tr.End(a)
		}
		if tr.Held(both(9)) == nil {
			t.Fatal("no part is held")
		}
		time.Sleep(2 * quarantine.HoldDuration)
		if hold := tr.Held(both(9)); hold != nil {
			t.Errorf("nothing may test the parts: %+v", hold)
		}
	})
}

// complete makes a complete run at a tracker.
func complete(t *testing.T, tr *quarantine.Tracker, c quarantine.Content) {
	t.Helper()
	a, hold := tr.Begin(c)
	if hold != nil {
		t.Fatalf("held: %+v", hold)
	}
	tr.RecordSuccess(a)
	tr.End(a)
}

// Guards against many targets that crash when a hold ends: of several processes with waiting
// requests one tries first, one run at a time, and its crash is known to all.
func TestOneRunTriesHeldPartAfterItsHold(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const processes = 8
		part := quarantine.SharedParts([]string{"bad", "own"})
		var all []*quarantine.Tracker
		for n := range processes {
			tr := quarantine.NewTracker(quarantine.Config{Node: fmt.Sprint("n", n), Prober: crashedProber{}, Metrics: metrics.New("n")})
			complete(t, tr, quarantine.Content{Key: testKey(1000 + n), Parts: quarantine.SharedParts([]string{"another", "own"})})
			all = append(all, tr)
		}
		crashes := 0
		crash := func(tr *quarantine.Tracker, a *quarantine.Attempt) {
			crashes++
			for _, told := range all {
				told.RecordBroken(context.Background(), quarantine.BrokenRun{Attempt: a, Target: targets.Instance{ID: fmt.Sprint("t", crashes)}})
			}
			tr.End(a)
		}
		content := func(n int) quarantine.Content { return quarantine.Content{Key: testKey(n), Parts: part} }
		for n := range 5 {
			a, hold := all[n].Begin(content(n))
			if hold != nil {
				t.Fatalf("held after %d crashes", n)
			}
			crash(all[n], a)
		}
		for began := time.Now(); time.Since(began) < quarantine.HoldDuration+quarantine.HoldDuration/2+time.Minute; time.Sleep(time.Second) {
			trying := make(map[*quarantine.Tracker]*quarantine.Attempt)
			for n, tr := range all {
				a, hold := tr.Begin(content(100 + n))
				if hold != nil {
					continue
				}
				trying[tr] = a
				if _, again := tr.Begin(content(200 + n)); again == nil {
					t.Error("two runs try at once")
				}
			}
			time.Sleep(100 * time.Millisecond)
			for tr, a := range trying {
				crash(tr, a)
			}
		}
		if crashes != 6 {
			t.Errorf("%d crashes in one hold and its end, want one more than five", crashes)
		}
	})
}
