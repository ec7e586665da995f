package gateway_test

import (
	"strings"
	"testing"
	"time"

	"pumiceford/balance"
	"pumiceford/exchange"
)

// Symptom: in a peak that asks for more than all slots nearly every first event is late,
// and callers that come back are turned away for good.
// Sequence: queues of two or three form at all targets; whoever comes joins them.
// Cause: a request was taken in as long as its turn came at all. Those that cannot be in
// time are told at once, and those that come back are served.
func TestAQueueThatMakesItLateIsForReturningCallersOnly(t *testing.T) {
	bubble(t, func(t *testing.T) {
		good := answer(exchange.Done, 200, strings.NewReader(stream(1, 2)), true)
		w := newWorld(resumable, 1, good)
		w.full.full["i0"] = true
		w.view.Table(func(tab *balance.Table) { tab.Note(time.Now(), "i0", balance.Report{Active: 8, Queued: 2, Slots: 8}) })

		const usual = 3 * time.Second
		first := w.serveWithin(t.Context(), usual)
		if first.refusal == nil || !first.refusal.NotRun || len(w.sc.calls) > 0 {
			t.Fatalf("refusal %+v, %d calls", first.refusal, len(w.sc.calls))
		}
		back := first.refusal.RetryAfter
		if back < usual/6 || back > usual/3 {
			t.Errorf("told to come back after %s", back)
		}
		if again := w.serveWithin(t.Context(), usual-back); again.body.String() != stream(1, 2) {
			t.Errorf("came back and got %+v", again.refusal)
		}
	})
}

// Symptom: callers are turned away for a queue in which they would be in time.
// Cause: none so far; this is the other side of the bound.
func TestAShortQueueIsJoined(t *testing.T) {
	bubble(t, func(t *testing.T) {
		w := newWorld(resumable, 1, answer(exchange.Done, 200, strings.NewReader(stream(1, 2)), true))
		w.view.Table(func(tab *balance.Table) { tab.Note(time.Now(), "i0", balance.Report{Active: 8, Slots: 8}) })
		if c := w.serveWithin(t.Context(), 3*time.Second); c.body.String() != stream(1, 2) {
			t.Errorf("got %+v", c.refusal)
		}
	})
}

// Symptom: after a change of the route's time, all callers look as if they had come
// before, and queues grow without bound.
// Cause: the longest time that any caller ever had would count for ever.
func TestTheUsualTimeIsThatOfLate(t *testing.T) {
	bubble(t, func(t *testing.T) {
		w := newWorld(resumable, 1)
		w.full.full["i0"] = true
		refused := func(within time.Duration) bool {
			w.view.Table(func(tab *balance.Table) { tab.Note(time.Now(), "i0", balance.Report{Active: 8, Queued: 2, Slots: 8}) })
			return w.serveWithin(t.Context(), within).refusal != nil
		}
		refused(3 * time.Second)
		time.Sleep(11 * time.Second)
		refused(time.Second)
		time.Sleep(11 * time.Second)
		if before := len(w.sc.calls); !refused(time.Second) || len(w.sc.calls) != before {
			t.Error("a caller that comes first is taken for one that comes back")
		}
	})
}
