package gateway_test

import (
	"context"
	"io"
	"strings"
	"testing"
	"time"

	"pumiceford/exchange"
	"pumiceford/gateway"
	"pumiceford/quarantine"
	"pumiceford/targets"
)

// testKey is the key of the requests of these tests: fixture.serve sets none.
var testKey quarantine.Key

// crashElsewhere records that the request crashed targets to which this process did not send it.
func (f *fixture) crashElsewhere(ids ...string) {
	for _, id := range ids {
		f.prober.crash(id)
		f.quarantine.RecordBroken(context.Background(), quarantine.BrokenRun{Attempt: &quarantine.Attempt{Content: quarantine.Content{Key: testKey}}, Target: targets.Instance{ID: id}})
	}
}

func (p *fakeProber) crash(id string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.crashed[id] = true
}

// crashOnReceive returns the result of a target that crashes as soon as it has the request.
func (f *fixture) crashOnReceive() scriptedResponse {
	return func(context.Context, *exchange.Call) (*exchange.Response, error) {
		f.sender.mu.Lock()
		id := f.sender.to[len(f.sender.to)-1]
		f.sender.mu.Unlock()
		f.prober.crash(id)
		return nil, &exchange.SendError{Fault: exchange.FaultBroken, Sent: true, Cause: io.ErrUnexpectedEOF}
	}
}

// A request that crashed three targets elsewhere reaches this process for the first time. It is
// refused at once as not run, with a retry-after of the rest of its hold.
func TestHeldRequestIsRefusedAtOnce(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) {
		f := newFixture(idempotent, 3)
		f.crashElsewhere("x", "y", "z")
		const delay = time.Second
		time.Sleep(delay) // past the time in which other processes may still clear the request
		began := time.Now()
		c := f.serve(t.Context())
		if c.refusal == nil || c.refusal.Reason != gateway.Quarantined || !c.refusal.NotRun || c.refusal.RetryAfter != quarantine.HoldDuration-delay {
			t.Fatalf("got refusal %+v, want one as quarantined and not run, with the rest of the hold as retry-after", c.refusal)
		}
		if took := time.Since(began); took > 0 {
			t.Errorf("refused after %s, want at once", took)
		}
		if len(f.sender.calls) > 0 {
			t.Fatalf("sent %d times, want none", len(f.sender.calls))
		}
	})
}

// A request that crashed two targets elsewhere crashes a third one here. If only its attempts
// bounded the sends, it would go to the next target and crash it too. It is refused instead, and
// not as "not run".
func TestRequestEndsWithDecidingCrash(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) {
		f := newFixture(idempotent, 3)
		f.sender.responses = []scriptedResponse{f.crashOnReceive(), respond(exchange.Done, 200, strings.NewReader("late"), false)}
		f.crashElsewhere("x", "y")
		c := f.serve(t.Context())
		if c.refusal == nil || c.refusal.Reason != gateway.Quarantined || c.refusal.NotRun {
			t.Fatalf("got refusal %+v, want one as quarantined that may have run", c.refusal)
		}
		if len(f.sender.calls) != 1 {
			t.Fatalf("sent %d times, want once", len(f.sender.calls))
		}
	})
}

// A request ran by chance at two targets that crashed. Its complete response clears it, so that
// two more crashes of targets that run it do not hold it.
func TestCompleteResponseClearsRequest(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) {
		f := newFixture(idempotent, 3, respond(exchange.Done, 200, strings.NewReader("ok"), false))
		f.crashElsewhere("x", "y")
		if c := f.serve(t.Context()); c.body.String() != "ok" {
			t.Fatalf("got refusal %+v, want the response", c.refusal)
		}
		f.crashElsewhere("v", "w")
		if f.quarantine.Held(quarantine.Content{Key: testKey}) != nil {
			t.Error("held although it was served after the first two crashes")
		}
	})
}

// A connection that breaks while its target keeps running, after an invalid response or a reset,
// does not count as a crash.
func TestBrokenConnectionIsNotCrash(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) {
		f := newFixture(idempotent, 3)
		f.sender.responses = []scriptedResponse{failBroken(true), failBroken(true), failBroken(true), failBroken(true), failBroken(true), failBroken(true)}
		for range 3 {
			f.serve(t.Context())
		}
		if all := f.quarantine.Suspects(); len(all) > 0 {
			t.Errorf("crashes counted: %+v, want none", all)
		}
	})
}

// A request ran at three targets that crashed shortly after one another, while another process
// was about to report that it was served. It waits briefly for such a report; otherwise it would
// be refused meanwhile.
func TestHeldRequestWaitsToBeCleared(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) {
		f := newFixture(idempotent, 3, respond(exchange.Done, 200, strings.NewReader("ok"), false))
		f.crashElsewhere("x", "y", "z")
		time.AfterFunc(50*time.Millisecond, func() { f.quarantine.RecordSuccess(&quarantine.Attempt{Content: quarantine.Content{Key: testKey}}) })
		if c := f.serve(t.Context()); c.body.String() != "ok" {
			t.Fatalf("got refusal %+v, want the response", c.refusal)
		}
	})
}
