package gateway_test

import (
	"strings"
	"testing"
	"time"

	"pumiceford/balance"
	"pumiceford/exchange"
)

// At peak load beyond all slots, queues of two or three requests form at all targets. If every
// request joins that can be served at all, nearly every first event is late and retries are
// refused again and again. First attempts that would be late are refused at once; retries are
// admitted.
func TestLongQueueAdmitsRetriesOnly(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) {
		good := respond(exchange.Done, 200, strings.NewReader(eventStream(1, 2)), true)
		f := newFixture(resumable, 1, good)
		f.reserver.full["i0"] = true
		f.view.WithTable(func(tab *balance.Table) {
			tab.UpdateLoad(time.Now(), "i0", balance.Report{Active: 8, Queued: 2, Slots: 8})
		})

		const timeout = 3 * time.Second
		first := f.serveWithin(t.Context(), timeout)
		if first.refusal == nil || !first.refusal.NotRun || len(f.sender.calls) > 0 {
			t.Fatalf("got refusal %+v after %d calls, want one as not run after none", first.refusal, len(f.sender.calls))
		}
		retryAfter := first.refusal.RetryAfter
		if retryAfter < timeout/6 || retryAfter > timeout/3 {
			t.Errorf("got retry-after %s, want a sixth to a third of the timeout", retryAfter)
		}
		if retry := f.serveWithin(t.Context(), timeout-retryAfter); retry.body.String() != eventStream(1, 2) {
			t.Errorf("the retry got refusal %+v, want the stream", retry.refusal)
		}
	})
}

// A first attempt is not refused for a queue in which it meets the objective. This is the other
// side of the bound that TestLongQueueAdmitsRetriesOnly tests.
func TestShortQueueAdmitsFirstAttempts(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) {
		f := newFixture(resumable, 1, respond(exchange.Done, 200, strings.NewReader(eventStream(1, 2)), true))
		f.view.WithTable(func(tab *balance.Table) { tab.UpdateLoad(time.Now(), "i0", balance.Report{Active: 8, Slots: 8}) })
		if c := f.serveWithin(t.Context(), 3*time.Second); c.body.String() != eventStream(1, 2) {
			t.Errorf("got refusal %+v, want the stream", c.refusal)
		}
	})
}

// If the longest timeout of a route counted for ever, all requests would look like retries after
// the callers' timeout is shortened, and queues would grow without bound.
func TestLongestTimeoutExpires(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) {
		f := newFixture(resumable, 1)
		f.reserver.full["i0"] = true
		refused := func(within time.Duration) bool {
			f.view.WithTable(func(tab *balance.Table) {
				tab.UpdateLoad(time.Now(), "i0", balance.Report{Active: 8, Queued: 2, Slots: 8})
			})
			return f.serveWithin(t.Context(), within).refusal != nil
		}
		refused(3 * time.Second)
		time.Sleep(11 * time.Second)
		refused(time.Second)
		time.Sleep(11 * time.Second)
		if before := len(f.sender.calls); !refused(time.Second) || len(f.sender.calls) != before {
			t.Error("a first attempt was taken for a retry")
		}
	})
}
