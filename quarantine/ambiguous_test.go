package quarantine_test

import (
	"testing"
	"time"

	"pumiceford/logging"
	"pumiceford/quarantine"
	"pumiceford/standin/sharedstore"
)

// crashAt is one crash of a test, with the time since the start.
type crashAt struct {
	after  time.Duration
	events uint64
	took   time.Duration
}

// addPartCrashes adds crashes of different targets under different requests with testPart, each of
// which began when the crash before was known.
func addPartCrashes(tab *quarantine.Table, all ...crashAt) {
	for n, c := range all {
		m := partMark(n, n, n+1)
		m.At, m.Events, m.Took = start.Add(c.after), c.events, c.took
		tab.AddCrash(m.At, m)
	}
}

// addOtherCrashes adds crashes of targets, each under a request of its own.
func addOtherCrashes(tab *quarantine.Table, count int, after time.Duration) {
	for n := range count {
		m := mark(1000+n, 1000+n, 0)
		m.At = start.Add(after)
		tab.AddCrash(m.At, m)
	}
}

// Guards against a sound part that is held for ten minutes because targets that crash at random ran
// requests with it a few times in a row.
func TestAmbiguousEvidenceHoldsAPartShortly(t *testing.T) {
	at := func(events ...uint64) (all []crashAt) {
		for n, e := range events {
			all = append(all, crashAt{after: time.Duration(n) * 200 * time.Millisecond, events: e})
		}
		return all
	}
	queued := func(tookMs ...time.Duration) []crashAt {
		all := at(0, 0, 1, 0, 0)
		for n, ms := range tookMs {
			all[n].took = ms * time.Millisecond
		}
		return all
	}
	for _, c := range []struct {
		name   string
		part   []crashAt
		others int
		long   bool
	}{
		{"at one point of the response", at(0, 0, 0, 0, 0), 0, true},
		{"nearly at one point, some events lost", at(3, 1, 2, 0, 3), 3, true},
		{"late, within a factor of two", at(40, 80, 60, 55, 41), 0, true},
		{"at one point, among many crashes without it", at(2, 1, 0, 2, 0), 20, true},
		{"at any point", at(0, 5, 22, 1, 9), 0, false},
		{"at nearby points, among more crashes without it", at(0, 5, 1, 3, 0), 6, false},
		{"after different times without events, among more crashes without it", queued(31, 199, 62, 195, 42), 6, false},
		{"after similar times without events, among more crashes without it", queued(41, 90, 62, 85, 42), 6, true},
		{"after different times without events", queued(31, 199, 62, 195, 42), 0, true},
		{"at nearby points, among fewer crashes without it", at(0, 5, 1, 3, 0), 5, true},
	} {
		tab := quarantine.NewTable()
		tab.RecordPartSuccess(start, quarantine.NewPart("another").Key, 0)
		addPartCrashes(tab, c.part...)
		addOtherCrashes(tab, c.others, time.Second)
		key := quarantine.NewPart(testPart).Key
		now := start.Add(time.Second)
		if _, held := tab.Held(now, key); !held {
			t.Errorf("%s: not held", c.name)
		}
		if _, held := tab.Held(now.Add(15*time.Second), key); held != c.long {
			t.Errorf("%s: held after 15 s %v, want %v", c.name, held, c.long)
		}
	}
}

// Guards against a sound part that all prompts share and that is held for ten minutes because targets
// crashed before anything had completed: that nothing completes with it tells nothing of it then.
func TestPartIsHeldShortlyBeforeAnythingHasCompleted(t *testing.T) {
	const crashes = 5
	for completed := range crashes + 1 {
		tab := quarantine.NewTable()
		for n := range crashes {
			if n == crashes-completed {
				tab.RecordPartSuccess(start, quarantine.NewPart("another").Key, 0)
			}
			tab.AddCrash(start, partMark(n, n, n+1))
		}
		if !partHeld(tab) {
			t.Errorf("not held after %d crashes", crashes)
		}
		_, long := tab.Held(start.Add(15*time.Second), quarantine.NewPart(testPart).Key)
		if want := completed > crashes/2; long != want {
			t.Errorf("%d of %d crashes after another part had completed: held for long %v, want %v", completed, crashes, long, want)
		}
	}
}

// Guards against a sound request or item that is held for ten minutes because it was at three
// targets that crash at random.
func TestRequestAmongManyCrashesIsHeldShortly(t *testing.T) {
	for _, c := range []struct {
		name   string
		others int
		after  time.Duration
		long   bool
	}{
		{"no other crashes", 0, 0, true},
		{"as many crashes without it", 3, time.Second, true},
		{"more crashes without it", 4, time.Second, false},
		{"more crashes, long afterwards", 4, time.Minute, true},
	} {
		tab := quarantine.NewTable()
		for n := range 3 {
			tab.AddCrash(start, mark(1, n, 0))
		}
		addOtherCrashes(tab, c.others, c.after)
		if _, held := tab.Held(start.Add(15*time.Second), testKey(1)); held != c.long {
			t.Errorf("%s: held after 15 s %v, want %v", c.name, held, c.long)
		}
	}
}

// Guards against requests that crash targets at the same time and excuse each other.
func TestCulpritsDoNotMakeEachOtherAmbiguous(t *testing.T) {
	tab := quarantine.NewTable()
	const requests = 6
	for n := range 3 {
		for r := range requests {
			tab.AddCrash(start, mark(r, requests*n+r, 0))
		}
	}
	for r := range requests {
		if _, held := tab.Held(start.Add(quarantine.HoldDuration/2), testKey(r)); !held {
			t.Errorf("request %d is not held for long", r)
		}
	}
}

// Guards against a hold that becomes long when all processes restart: the store keeps the marks of
// held requests only, and not those of the other crashes.
func TestAmbiguousHoldStaysShortAfterRestartOfAllProcesses(t *testing.T) {
	const topic, partitions = "quarantine", 6
	s := sharedstore.New(partitions)
	run := func(tr *quarantine.Tracker) {
		go quarantine.NewArchive(tr, s.ClientFor("n"), topic, partitions, logging.Logger{}).Run(t.Context())
	}
	old := newTracker()
	run(old)
	key := testKey(1)
	reportCrashes(old, key, "t1", "t2", "t3")
	for n := range 4 {
		reportCrashes(old, testKey(10+n), string(rune('a'+n)))
	}
	kept := func() bool {
		tr := newTracker()
		run(tr)
		for deadline := time.Now().Add(100 * time.Millisecond); time.Now().Before(deadline); time.Sleep(time.Millisecond) {
			for _, suspect := range tr.Suspects() {
				if suspect.Key == key && suspect.Ambiguous {
					return true
				}
			}
		}
		return false
	}
	await(t, "the ambiguous hold in a new process", kept)
}
