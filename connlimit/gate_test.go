package connlimit_test

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"pumiceford/connlimit"
)

// host is a processor that serves requests in the order of their connections.
type host struct {
	gate    connlimit.Gate
	gated   bool
	cost    time.Duration // processor time of a request
	backlog time.Duration // processor time of what has been accepted and is not done
	served  time.Duration // of it, for the request in progress
	now     time.Duration
	closed  int
	waits   []time.Duration // of the accepted connections, until their requests are done
}

// play offers connections at a rate for some time.
func (h *host) play(perSecond float64, length time.Duration) {
	const tick = 10 * time.Millisecond
	owed, used, seen := 0.0, time.Duration(0), h.now
	for end := h.now + length; h.now < end; h.now += tick {
		for owed += perSecond * tick.Seconds(); owed >= 1; owed-- {
			if h.gated && !h.gate.Accept(h.now) {
				h.closed++
				continue
			}
			h.backlog += h.cost
			h.waits = append(h.waits, h.backlog)
		}
		done := min(h.backlog, tick)
		h.backlog -= done
		for h.served += done; h.served >= h.cost; h.served -= h.cost {
			h.gate.RequestEnded()
		}
		used += done
		if h.now-seen >= connlimit.Interval {
			h.gate.Observe(h.now, used.Seconds()/(h.now-seen).Seconds())
			used, seen = 0, h.now
		}
	}
}

// Guards against an entry that gets most new connections and serves none of them in time: four
// times what its processor bears. What it accepts from some seconds on is served at once.
func TestMostConnectionsAtOneEntry(t *testing.T) {
	const bears, maxWait = 50.0, time.Second
	for _, gated := range []bool{true, false} {
		h := &host{gated: gated, cost: time.Second / bears}
		h.play(0.3*bears, 5*time.Second)
		h.play(4*bears, 6*time.Second)
		from := len(h.waits)
		h.play(4*bears, 6*time.Second)
		late := 0
		for _, w := range h.waits[from:] {
			if w > maxWait {
				late++
			}
		}
		accepted := float64(len(h.waits)-from) / 6
		if gated && (late > len(h.waits[from:])/10 || accepted < 0.5*bears) {
			t.Errorf("%d of %d accepted requests wait longer than %s", late, len(h.waits)-from, maxWait)
		}
		if !gated && late == 0 {
			t.Error("no request waits without the gate: the load does not show the fault")
		}
		closed := h.closed
		h.play(0.3*bears, 20*time.Second)
		if _, limited := h.gate.Limit(); limited || h.closed > closed+int(bears) {
			t.Errorf("the limit outlasts the load: %d closed after it", h.closed-closed)
		}
	}
}

// Guards against connections that are closed although the processor bears them, also beside short
// bursts and at a start.
func TestUsualLoadIsNotLimited(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const bears = 100.0
		h := &host{gated: true, cost: time.Second / bears}
		for range rapid.IntRange(1, 10).Draw(t, "spans") {
			h.play(rapid.Float64Range(0, 0.7).Draw(t, "load")*bears, rapid.SampledFrom([]time.Duration{time.Second, 4 * time.Second}).Draw(t, "length"))
			h.play(1.6*bears, 600*time.Millisecond)
			h.play(0.2*bears, 2*time.Second)
		}
		if h.closed > 0 {
			t.Fatalf("%d connections closed", h.closed)
		}
	})
}
