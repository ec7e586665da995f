package gateway_test

import (
	"context"
	"fmt"
	"math"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"pumiceford/balance"
	"pumiceford/estimate"
	"pumiceford/exchange"
	"pumiceford/fairshare"
	"pumiceford/targets"
)

// callerTimeout is the time that callers of these tests have.
const callerTimeout = 3 * time.Second

// newBusyFixture returns a fixture with two targets whose slots are all taken by requests of this
// process, so that further requests wait at the process.
func newBusyFixture(replies ...scriptedResponse) *fixture {
	f := newFixture(resumable, 2, replies...)
	f.view.OnLoadChange(f.gw.SlotsChanged)
	for _, id := range []string{"i0", "i1"} {
		f.view.WithTable(func(tab *balance.Table) {
			for range 8 {
				tab.OnlineStarted(time.Now(), id)
			}
		})
		f.report(id, 8)
	}
	return f
}

// report reports the requests that run at a target.
func (f *fixture) report(id string, active int) {
	f.view.UpdateLoad(time.Now(), targets.Instance{ID: id, Service: "s"}, balance.Report{Active: active, Slots: 8})
}

// freeSlot ends one request of this process at a target, and reports it.
func (f *fixture) freeSlot(id string) {
	f.view.WithTable(func(tab *balance.Table) { tab.OnlineEnded(time.Now(), id, true) })
	f.report(id, 7)
}

func goodStream() scriptedResponse {
	return func(ctx context.Context, call *exchange.Call) (*exchange.Response, error) {
		return respond(exchange.Done, 200, strings.NewReader(eventStream(1, 2)), true)(ctx, call)
	}
}

// Guards against requests that wait in the queue of one target while another has a free slot.
func TestWaitingRequestTakesFirstFreeSlot(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) {
		f := newBusyFixture(goodStream())
		began := time.Now()
		go func() {
			time.Sleep(70 * time.Millisecond)
			f.freeSlot("i1")
		}()
		c := f.serveWithin(t.Context(), callerTimeout)
		if took := time.Since(began); c.body.String() != eventStream(1, 2) || took != 70*time.Millisecond {
			t.Fatalf("got refusal %+v after %s, want the stream after 70 ms", c.refusal, took)
		}
		if f.sender.to[0] != "i1" || f.sender.calls[0].ReservedSlot != "slot-i1" {
			t.Errorf("sent to %v with reservation %q, want i1 with slot-i1", f.sender.to, f.sender.calls[0].ReservedSlot)
		}
	})
}

// Guards against requests that wait for ever, also while their process stops: each ends within
// its allowance without any further event, and truthfully as not run.
func TestWaitInVainEndsAsNotRun(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) {
		f := newBusyFixture()
		began := time.Now()
		c := f.serveWithin(t.Context(), callerTimeout)
		if c.refusal == nil || !c.refusal.NotRun || c.refusal.RetryAfter <= 0 || len(f.sender.calls) > 0 {
			t.Fatalf("got refusal %+v after %d sends, want one as not run with a retry-after", c.refusal, len(f.sender.calls))
		}
		if took := time.Since(began); took != 180*time.Millisecond {
			t.Errorf("refused after %s, want 0.6 of the objective", took)
		}
	})
}

// Guards against a slot that goes to a request whose caller has left, while another waits.
func TestSlotGoesToNextWhenCallerLeaves(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) {
		f := newBusyFixture(goodStream())
		ctx, leave := context.WithCancel(t.Context())
		var first, second *recorder
		var wg sync.WaitGroup
		wg.Go(func() { first = f.serveWithin(ctx, callerTimeout) })
		synctest.Wait()
		wg.Go(func() { second = f.serveWithin(t.Context(), callerTimeout) })
		synctest.Wait()
		leave()
		synctest.Wait()
		f.freeSlot("i0")
		wg.Wait()
		if !first.aborted || second.body.String() != eventStream(1, 2) || len(f.sender.calls) != 1 {
			t.Errorf("left caller aborted %v, the other got %q after %d sends", first.aborted, second.body.String(), len(f.sender.calls))
		}
	})
}

// Guards against a request that is lost, or run twice, when the target that reserved a slot for
// it is gone.
func TestTargetGoneAfterReservation(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) {
		f := newBusyFixture(failBroken(false), goodStream())
		go func() {
			time.Sleep(50 * time.Millisecond)
			f.freeSlot("i0")
		}()
		c := f.serveWithin(t.Context(), callerTimeout)
		if c.body.String() != eventStream(1, 2) || len(f.sender.to) != 2 || f.sender.to[0] != "i0" || f.sender.to[1] != "i1" {
			t.Errorf("got refusal %+v, sent to %v; want the stream from i1 after i0", c.refusal, f.sender.to)
		}
	})
}

// Guards against a request that keeps its place at no target after another process took the slot.
func TestWaitsOnWhenReservationFails(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) {
		f := newBusyFixture(goodStream())
		f.reserver.full["i0"] = true
		go func() {
			time.Sleep(50 * time.Millisecond)
			f.freeSlot("i0")
			time.Sleep(50 * time.Millisecond)
			f.freeSlot("i1")
		}()
		began := time.Now()
		c := f.serveWithin(t.Context(), callerTimeout)
		if took := time.Since(began); c.body.String() != eventStream(1, 2) || took != 100*time.Millisecond || f.sender.to[0] != "i1" {
			t.Errorf("got refusal %+v after %s, sent to %v; want the stream from i1 after 100 ms", c.refusal, took, f.sender.to)
		}
	})
}

// Guards against requests that are held back after a start, when nothing is known of any target:
// they are sent as they are without a room.
func TestNoWaitWhileLoadsAreUnknown(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) {
		f := newFixture(resumable, 2, goodStream())
		f.reserver.full["i0"], f.reserver.full["i1"] = true, true
		began := time.Now()
		if c := f.serveWithin(t.Context(), callerTimeout); c.body.String() != eventStream(1, 2) || time.Since(began) > 0 {
			t.Errorf("got refusal %+v after %s, want the stream at once", c.refusal, time.Since(began))
		}
	})
}

// Guards against callers that are refused again although they came back as told, and against an
// overload that lasts because too many of them are queued: a few that wait in vain are queued.
func TestRetriesThatWaitInVainAreQueuedWithinBudget(t *testing.T) {
	const retries, queued = 14, 10
	inVirtualTime(t, func(t *testing.T) {
		f := newBusyFixture()
		f.serveWithin(t.Context(), callerTimeout) // a first attempt, to tell retries from
		served := 0
		for range retries {
			f.sender.mu.Lock()
			f.sender.responses = []scriptedResponse{respond(exchange.Done, 400, strings.NewReader("done"), false)}
			f.sender.mu.Unlock()
			f.report("i0", 8)
			f.report("i1", 8)
			if c := f.serveWithin(t.Context(), callerTimeout*2/3); c.refusal == nil {
				served++
			} else if !c.refusal.NotRun {
				t.Errorf("refusal %+v, want one as not run", c.refusal)
			}
		}
		if served != queued {
			t.Errorf("%d of %d retries were queued, want %d", served, retries, queued)
		}
	})
}

// Guards against repeats that feed an outage: first sends always happen, further ones only
// within the budget.
func TestResendsAreWithinBudget(t *testing.T) {
	const requests, resends = 200, 64
	inVirtualTime(t, func(t *testing.T) {
		f := newFixture(resumable, 4) // all sends fail
		for range requests {
			if c := f.serve(t.Context()); c.refusal == nil || !c.refusal.NotRun {
				t.Fatalf("got refusal %+v, want one as not run", c.refusal)
			}
		}
		if n := len(f.sender.calls); n != requests+resends {
			t.Errorf("%d sends of %d requests, want %d further ones", n, requests, resends)
		}
	})
}

// Guards against online requests that wait while batch work holds the slot: it is asked to yield.
func TestWaitingRequestTakesSlotOfBatch(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) {
		f := newBusyFixture(goodStream())
		go func() {
			time.Sleep(50 * time.Millisecond)
			f.view.WithTable(func(tab *balance.Table) { tab.OnlineEnded(time.Now(), "i1", true) })
			f.view.UpdateLoad(time.Now(), targets.Instance{ID: "i1", Service: "s"}, balance.Report{Active: 8, Batch: 1, Slots: 8})
		}()
		if c := f.serveWithin(t.Context(), callerTimeout); c.body.String() != eventStream(1, 2) || f.sender.to[0] != "i1" {
			t.Errorf("got refusal %+v, sent to %v, want the stream from i1", c.refusal, f.sender.to)
		}
	})
}

// Guards against a slot that stays counted after its request was refused or its caller left, and
// against requests without an outcome, or with two: arrivals, free slots, failed reservations and
// callers that leave in any order, also at the same moment.
func TestEachWaitEndsOnceAndCountsNothing(t *testing.T) {
	type request struct{ at, leaves time.Duration } // leaves 0: the caller stays
	type freed struct {
		at     time.Duration
		target string
		full   bool // another process takes the slot
		leaves int  // number of the request whose caller leaves then; none if there is no such request
	}
	ms := func(rt *rapid.T, from, to int, label string) time.Duration {
		return time.Duration(rapid.IntRange(from, to).Draw(rt, label)) * 10 * time.Millisecond
	}
	rapid.Check(t, func(rt *rapid.T) {
		var requests []request
		for range rapid.IntRange(1, 20).Draw(rt, "requests") {
			r := request{at: ms(rt, 0, 30, "at")}
			if rapid.Bool().Draw(rt, "leaves") {
				r.leaves = r.at + ms(rt, 1, 20, "after")
			}
			requests = append(requests, r)
		}
		var slots []freed
		for range rapid.IntRange(0, 8).Draw(rt, "slots") {
			slots = append(slots, freed{ms(rt, 0, 50, "freed at"), rapid.SampledFrom([]string{"i0", "i1"}).Draw(rt, "target"), rapid.Bool().Draw(rt, "full"), rapid.IntRange(0, 25).Draw(rt, "leaves then")})
		}
		problem := ""
		inVirtualTime(t, func(t *testing.T) {
			f := newBusyFixture()
			for range requests {
				f.sender.responses = append(f.sender.responses, goodStream())
			}
			var wg sync.WaitGroup
			outcomes := make([]*recorder, len(requests))
			cancels := make([]context.CancelFunc, len(requests))
			for i, r := range requests {
				ctx, cancel := context.WithCancel(t.Context())
				cancels[i] = cancel
				wg.Go(func() {
					if r.leaves > 0 {
						defer time.AfterFunc(r.leaves, cancel).Stop()
					}
					time.Sleep(r.at)
					outcomes[i] = f.serveWithin(ctx, callerTimeout)
				})
			}
			for _, s := range slots {
				wg.Go(func() {
					time.Sleep(s.at)
					f.reserver.mu.Lock()
					f.reserver.full[s.target] = s.full
					f.reserver.mu.Unlock()
					f.freeSlot(s.target)
					if s.leaves < len(requests) {
						cancels[s.leaves]()
					}
				})
			}
			wg.Wait()
			for _, cancel := range cancels {
				cancel()
			}
			for i, c := range outcomes {
				served, refused := c.body.String() == eventStream(1, 2), c.refusal != nil
				if served != refused || c.aborted && !served {
					continue
				}
				problem = fmt.Sprintf("request %d: served %v, refused %v, aborted %v", i, served, refused, c.aborted)
			}
			f.view.WithTable(func(tab *balance.Table) {
				if inFlight := tab.FreedRate("s") * tab.Estimates().HoldTime("s", estimate.Work{}, estimate.UsualPace).Seconds(); math.Round(inFlight) != float64(16-len(slots)) {
					problem = fmt.Sprintf("%.1f requests are counted at targets, want %d", inFlight, 16-len(slots))
				}
			})
		})
		if problem != "" {
			rt.Fatal(problem)
		}
	})
}

// Guards against an urgent request that waits behind one that came earlier.
func TestUrgentRequestGoesFirst(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) {
		f := newBusyFixture(goodStream())
		var usual, urgent *recorder
		var wg sync.WaitGroup
		wg.Go(func() { usual = f.serveAs(t.Context(), fairshare.Holder{Workspace: "a", Rank: 1}) })
		synctest.Wait()
		wg.Go(func() { urgent = f.serveAs(t.Context(), fairshare.Holder{Workspace: "b"}) })
		synctest.Wait()
		f.freeSlot("i0")
		wg.Wait()
		if urgent.refusal != nil || usual.refusal == nil {
			t.Errorf("urgent request got refusal %+v, the usual one %+v; want the slot for the urgent one", urgent.refusal, usual.refusal)
		}
	})
}
