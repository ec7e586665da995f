package fairshare

import (
	"cmp"
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"
)

// replay is a day in which one workspace sends many times its usual to a fleet whose slots
// suffice for all others.
type replay struct {
	surge      float64 // times the usual of the workspace w0
	hotEntries int     // entries that get the requests of w0; 0 for all
	rank       func(workspace int) int
	holdTime   func(workspace int) time.Duration
	apart      bool // requests of the others come to the other entries only
}

const (
	replayEntries    = 12
	replayAgents     = 20
	replayWorkspaces = 8
	replaySlots      = 96
	replayStep       = 10 * time.Millisecond
	// replayUsual is the part of the slots that all workspaces usually need.
	replayUsual = 0.9
	// replayGiveUp is how long a caller waits for a slot.
	replayGiveUp = 2 * time.Second
	replayLength = 30 * time.Second
	replayWarmUp = 5 * time.Second
)

// outcome is what a replay served, from replayWarmUp on.
type replayResult struct {
	served   [replayWorkspaces]float64 // fraction of the requests
	slotTime [replayWorkspaces]float64 // slots, on average
	used     float64                   // fraction of the slots
}

type replayRequest struct {
	workspace, entry int
	arrived          time.Time
	ends             time.Time
}

func (d replay) run(t *testing.T) replayResult {
	t.Helper()
	r := rand.New(rand.NewPCG(7, 8))
	f := newFleet(r, replayEntries, replayAgents)
	holders := make([]Holder, replayWorkspaces)
	for i := range holders {
		holders[i] = Holder{Workspace: fmt.Sprint("w", i), Rank: d.rank(i), Weight: 1}
	}
	var waiting, running []replayRequest
	var asked, served [replayWorkspaces]float64
	res := replayResult{}
	now := start
	steps := 0.0
	for ; now.Sub(start) < replayLength; now = now.Add(replayStep) {
		for e := range f.ledgers {
			if now.Sub(start)%time.Second == time.Duration(e)*replayStep {
				f.exchange(now, e)
			}
		}
		counts := now.Sub(start) >= replayWarmUp
		for w, h := range holders {
			rate := replayUsual * replaySlots / replayWorkspaces / d.holdTime(w).Seconds() // a second
			from, to := 0, replayEntries
			switch {
			case w == 0:
				rate *= d.surge
				to = cmp.Or(d.hotEntries, replayEntries)
			case d.apart:
				from = d.hotEntries
			}
			for n := poisson(r, rate*replayStep.Seconds()); n > 0; n-- {
				q := replayRequest{workspace: w, entry: from + r.IntN(to-from), arrived: now}
				f.ledgers[q.entry].Wait(now, h)
				waiting = append(waiting, q)
				if counts {
					asked[w]++
				}
			}
		}
		running = keep(running, func(q replayRequest) bool {
			if now.Before(q.ends) {
				return true
			}
			f.ledgers[q.entry].End(now, holders[q.workspace])
			return false
		})
		waiting = keep(waiting, func(q replayRequest) bool {
			if now.Sub(q.arrived) < replayGiveUp {
				return true
			}
			f.ledgers[q.entry].EndWait(now, holders[q.workspace])
			return false
		})
		var standings [replayEntries][replayWorkspaces]Standing
		for e, l := range f.ledgers {
			for w, h := range holders {
				standings[e][w] = l.Standing(now, h)
			}
		}
		for len(running) < replaySlots && len(waiting) > 0 {
			best, first := 0, Standing{Rank: math.MaxInt}
			for i, q := range waiting { // in order of arrival
				s := standings[q.entry][q.workspace].Aged(now.Sub(q.arrived))
				if Compare(s, first) < 0 {
					best, first = i, s
				}
			}
			q := waiting[best]
			waiting = append(waiting[:best], waiting[best+1:]...)
			f.ledgers[q.entry].EndWait(now, holders[q.workspace])
			f.ledgers[q.entry].Begin(now, holders[q.workspace])
			q.ends = now.Add(d.holdTime(q.workspace))
			running = append(running, q)
			if counts {
				served[q.workspace]++
			}
		}
		if counts {
			steps++
			res.used += float64(len(running)) / replaySlots
			for _, q := range running {
				res.slotTime[q.workspace]++
			}
		}
	}
	for w := range served {
		res.served[w] = served[w] / asked[w]
		res.slotTime[w] /= steps
	}
	res.used /= steps
	return res
}

func keep(all []replayRequest, ok func(replayRequest) bool) []replayRequest {
	out := all[:0]
	for _, q := range all {
		if ok(q) {
			out = append(out, q)
		}
	}
	return out
}

func poisson(r *rand.Rand, mean float64) int {
	n := 0
	for p := r.Float64(); p > math.Exp(-mean); p *= r.Float64() {
		n++
	}
	return n
}

func sameRank(int) int { return 0 }

func usualHold(int) time.Duration { return 400 * time.Millisecond }

// withinShare is the part of the requests that a workspace within its fair share gets served:
// nearly all, since averages and the account of the fleet lag behind by some seconds.
const withinShare = 0.95

// Guards against a workspace that takes the slots of the others by sending many times its
// usual, through one entry, few or all, or through entries that nobody else uses; and against
// slots that stay free meanwhile.
func TestReplaySurgeOfOneWorkspace(t *testing.T) {
	for _, c := range []struct {
		hot   int
		apart bool
	}{{1, false}, {3, false}, {replayEntries, false}, {1, true}, {replayEntries / 2, true}} {
		t.Run(fmt.Sprintf("entries %d, apart %v", c.hot, c.apart), func(t *testing.T) {
			res := replay{surge: 6, hotEntries: c.hot, apart: c.apart, rank: sameRank, holdTime: usualHold}.run(t)
			t.Logf("served %.2f, slots %.1f, used %.3f", res.served, res.slotTime, res.used)
			for w := 1; w < replayWorkspaces; w++ {
				if res.served[w] < withinShare {
					t.Errorf("w%d is within its share and is served %.2f of its requests", w, res.served[w])
				}
			}
			if res.used < 0.98 {
				t.Errorf("only %.3f of the slots are used", res.used)
			}
		})
	}
}

// Guards against a burst that is held back although nobody else wants the slots.
func TestReplayBurstThatFitsIsServed(t *testing.T) {
	res := replay{surge: 1.5, hotEntries: 1, rank: sameRank, holdTime: usualHold}.run(t)
	t.Logf("served %.2f, used %.3f", res.served, res.used)
	for w, s := range res.served {
		if s < withinShare {
			t.Errorf("w%d is served %.2f of its requests", w, s)
		}
	}
}

// Guards against a lower rank that lives better than a higher one: ranks 0, 1 and 2 compete
// while one workspace of rank 2 surges.
func TestReplayRanksAreNotInverted(t *testing.T) {
	rank := func(w int) int { return 2 - w%3 }
	res := replay{surge: 6, rank: rank, holdTime: usualHold}.run(t)
	t.Logf("served %.2f, slots %.1f, used %.3f", res.served, res.slotTime, res.used)
	for w, s := range res.served {
		if rank(w) < 2 && s < 0.99 {
			t.Errorf("w%d of rank %d is served %.2f of its requests", w, rank(w), s)
		}
		if rank(w) == 2 && w != 0 && s < 0.9 {
			t.Errorf("w%d is within the share of its rank and is served %.2f", w, s)
		}
	}
}

// Guards against shares of requests instead of slot time: workspaces whose requests hold
// their slots ten times as long get as much slot time as the others.
func TestReplayLargeRequestsAreNotStarved(t *testing.T) {
	large := func(w int) time.Duration {
		if w%2 == 1 {
			return 4 * time.Second
		}
		return 400 * time.Millisecond
	}
	res := replay{surge: 6, rank: sameRank, holdTime: large}.run(t)
	t.Logf("served %.2f, slots %.1f, used %.3f", res.served, res.slotTime, res.used)
	for w := 1; w < replayWorkspaces; w++ {
		if res.served[w] < 0.9 {
			t.Errorf("w%d is served %.2f of its requests", w, res.served[w])
		}
	}
}
