package gateway_test

import (
	"context"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"pumiceford/exchange"
	"pumiceford/gateway"
)

// checkRefusedForStop checks that a request was refused for a stop, truthfully as not run.
func checkRefusedForStop(t *testing.T, f *fixture, c *recorder) {
	t.Helper()
	if c.refusal == nil || c.refusal.Reason != gateway.Stopping || !c.refusal.NotRun || c.refusal.RetryAfter <= 0 {
		t.Fatalf("refusal %+v, want one as not run for the stop, with a retry-after", c.refusal)
	}
	if n := len(f.sender.calls); n != 0 {
		t.Fatalf("request sent %d times, want none", n)
	}
}

// Guards against requests that are taken by a process that is being stopped, and cut off when it
// ends: those whose time may be longer than the process has left.
func TestStoppingProcessTakesOnlyWhatItFinishes(t *testing.T) {
	for _, c := range []struct {
		name   string
		left   time.Duration // until the deadline of the stop
		within time.Duration // the caller's time, 0 for that of the route, 5 s
		served bool
	}{
		{"time of the caller ends before", 4 * time.Second, 3 * time.Second, true},
		{"time of the caller ends after", 3 * time.Second, 3 * time.Second, false},
		{"time of the route ends after", 4 * time.Second, 0, false},
		{"time of the route ends before that of the caller", 6 * time.Second, time.Minute, true},
		{"the deadline has passed", 0, time.Second, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			inVirtualTime(t, func(t *testing.T) {
				f := newFixture(streaming, 2, goodStream())
				f.shutdown.Begin(time.Now().Add(c.left))
				got := f.serveWithin(t.Context(), c.within)
				if !c.served {
					checkRefusedForStop(t, f, got)
				} else if got.body.String() != eventStream(1, 2) {
					t.Fatalf("refusal %+v, want the stream", got.refusal)
				}
			})
		})
	}
}

// Guards against requests that wait for a slot when a stop begins, and are sent or kept although
// they may not end before the process does.
func TestWaitingRequestIsRefusedAtAStop(t *testing.T) {
	for _, c := range []struct {
		name   string
		left   time.Duration
		served bool
	}{{"too little time", 2 * time.Second, false}, {"enough time", 5 * time.Second, true}} {
		t.Run(c.name, func(t *testing.T) {
			inVirtualTime(t, func(t *testing.T) {
				f := newBusyFixture(goodStream())
				go func() {
					time.Sleep(50 * time.Millisecond)
					f.shutdown.Begin(time.Now().Add(c.left))
					synctest.Wait()
					f.freeSlot("i1")
				}()
				began := time.Now()
				got := f.serveWithin(t.Context(), callerTimeout)
				if took := time.Since(began); took != 50*time.Millisecond {
					t.Errorf("ended after %s, want at once when the stop begins or a slot is free", took)
				}
				if !c.served {
					checkRefusedForStop(t, f, got)
				} else if got.body.String() != eventStream(1, 2) {
					t.Fatalf("refusal %+v, want the stream", got.refusal)
				}
			})
		})
	}
}

// Guards against a request that was taken before a stop and is given up when its target did not
// answer, and against one that is refused as not run although it may have run.
func TestRequestUnderWayGoesOnDuringAStop(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) {
		f := newFixture(idempotent, 2)
		f.sender.responses = []scriptedResponse{
			func(ctx context.Context, call *exchange.Call) (*exchange.Response, error) {
				f.shutdown.Begin(time.Now().Add(time.Second))
				return failBroken(true)(ctx, call)
			},
			respond(exchange.Done, 200, strings.NewReader("ok"), false),
		}
		if c := f.serve(t.Context()); c.body.String() != "ok" || len(f.sender.calls) != 2 {
			t.Errorf("refusal %+v after %d sends, want the response of the second", c.refusal, len(f.sender.calls))
		}
	})
}
