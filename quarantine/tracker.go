package quarantine

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"pumiceford/internal/wait"
	"pumiceford/logging"
	"pumiceford/metrics"
	"pumiceford/targets"
)

// Prober distinguishes a crashed target from a broken connection.
type Prober interface {
	// Crashed reports whether nothing listens at the instance's address any more. It reports
	// false if this cannot be determined.
	Crashed(ctx context.Context, in targets.Instance) bool
}

const (
	// probeTimeout bounds the probe of a target. A host whose target has ended refuses a
	// connection within one round trip.
	probeTimeout   = 100 * time.Millisecond
	expireInterval = time.Second
	// settleDelay is how long after a request becomes held another process may still send a
	// mark that releases it: one voided by a completed run there, or one that attributes the
	// crashes to another request.
	settleDelay = 150 * time.Millisecond
)

// Config holds the dependencies that NewTracker needs.
type Config struct {
	Node    string // name of this process
	Prober  Prober // nil in a process that sends no requests
	Log     logging.Logger
	Metrics *metrics.Set
}

// Tracker shares the Table of a process between goroutines. All methods are safe for concurrent
// use. mu is never held during I/O.
type Tracker struct {
	cfg          Config
	anySuspected atomic.Bool // true while a request or part is or was held; lets the common case skip the lock

	mu      sync.Mutex
	table   *Table
	held    map[Key]time.Time // when each request or part was seen to become held
	delays  map[Key]bool      // the requests and parts because of which owed work waits
	probing map[Key]*Attempt  // runs at the end of a hold
	changed chan struct{}     // closed and replaced at each change of the table
}

// NewTracker returns a Tracker with an empty table.
func NewTracker(cfg Config) *Tracker {
	return &Tracker{cfg: cfg, table: NewTable(), held: make(map[Key]time.Time), delays: make(map[Key]bool), probing: make(map[Key]*Attempt), changed: make(chan struct{})}
}

// Run drops expired marks and updates the gauges until ctx ends.
func (tr *Tracker) Run(ctx context.Context) {
	for wait.For(ctx, expireInterval) == nil {
		tr.update("its crashes have expired", func(now time.Time) { tr.table.Expire(now) })
		held, suspected := 0, 0
		for _, s := range tr.Suspects() {
			if s.Held {
				held++
			} else {
				suspected++
			}
		}
		tr.cfg.Metrics.SetGauge("requests_held", float64(held))
		tr.cfg.Metrics.SetGauge("requests_suspected", float64(suspected))
	}
}

// Clear releases a request on behalf of an operator. It reports false if no crash counts against
// the request.
func (tr *Tracker) Clear(key Key) (known bool) {
	tr.update("cleared by an operator", func(now time.Time) { known = tr.table.Clear(now, key) })
	return known
}

// Merge applies marks received from another process. The value from identifies the stream or
// Archive that they came from, so that they are not sent back to it.
func (tr *Tracker) Merge(marks []Mark, from any) {
	tr.update("marks received from another process", func(now time.Time) { tr.table.Merge(now, marks, from) })
}

// Suspects returns the requests that crashes are counted against, ordered by key.
func (tr *Tracker) Suspects() []Suspect {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	return tr.table.Suspects(time.Now())
}

// marksSince returns the marks that changed after the given change number, the current change
// number, and a channel that is closed at the next change. Marks received from except are left
// out.
func (tr *Tracker) marksSince(changes uint64, except any) ([]Mark, uint64, <-chan struct{}) {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	now := tr.table.Changes()
	if now == changes {
		return nil, now, tr.changed
	}
	return tr.table.MarksSince(changes, except), now, tr.changed
}

// update applies fn to the table, and logs and counts the requests that become held or are
// released by it. The reason why is logged with each release.
func (tr *Tracker) update(why string, fn func(now time.Time)) {
	now := time.Now()
	tr.mu.Lock()
	before := tr.table.Changes()
	fn(now)
	tr.table.updateCulprits(now)
	held, released := tr.heldDiffLocked(now)
	delaying := tr.delaysDiffLocked(now)
	var suspects []Suspect
	if len(held)+len(delaying) > 0 {
		suspects = tr.table.Suspects(now)
	}
	if tr.table.Changes() != before {
		close(tr.changed)
		tr.changed = make(chan struct{})
	}
	tr.mu.Unlock()
	for _, key := range held {
		if s, ok := suspectOf(suspects, key); ok {
			tr.reportHeld(now, s)
		}
	}
	for _, key := range delaying {
		if s, ok := suspectOf(suspects, key); ok {
			tr.reportDelays(s)
		}
	}
	for _, key := range released {
		tr.cfg.Metrics.Count("request_released")
		tr.cfg.Log.Info("request no longer held", logging.F("key", key.String()), logging.F("why", why))
	}
}

// reportHeld logs and counts a request or part that has become held, with the evidence.
func (tr *Tracker) reportHeld(now time.Time, s Suspect) {
	what, message := "request_held", "request held: targets crash under it"
	if s.Part != "" {
		what, message = "part_held", "part of prompts held: targets crash under requests with it"
	}
	tr.cfg.Metrics.Count(what)
	tr.cfg.Log.Warn(message, append(s.evidence(), logging.F("ambiguous", s.Ambiguous), logging.F("left_ms", s.Until.Sub(now).Milliseconds()))...)
}

// reportDelays logs and counts a request or part because of which owed work begins to wait, with
// the evidence.
func (tr *Tracker) reportDelays(s Suspect) {
	tr.cfg.Metrics.Count("owed_work_delayed")
	tr.cfg.Log.Info("owed work waits: targets crashed under work with it", append(s.evidence(), logging.F("most_ms", MaxOwedDelay.Milliseconds()))...)
}

// evidence returns the fields of a log line that describe the crashes of a suspect.
func (s Suspect) evidence() []logging.Field {
	depth, owed, requests := 0, 0, make(map[Key]bool)
	for _, m := range s.Crashes {
		depth = max(depth, m.Depth)
		requests[m.Request] = true
		if m.Owed {
			owed++
		}
	}
	return []logging.Field{
		logging.F("key", s.Key.String()), logging.F("part", s.Part),
		logging.F("crashes", len(s.Crashes)), logging.F("owed", owed), logging.F("depth", depth), logging.F("requests", len(requests)), logging.F("cleared", s.Cleared),
		logging.F("last_instance", s.Crashes[len(s.Crashes)-1].Target.ID),
	}
}

// delaysDiffLocked returns the requests and parts because of which owed work has begun to wait since
// the last call. The caller holds mu.
func (tr *Tracker) delaysDiffLocked(now time.Time) (begun []Key) {
	if len(tr.table.culprits) == 0 && len(tr.delays) == 0 {
		return nil // the usual case, for nearly every response
	}
	current := make(map[Key]bool)
	for _, key := range tr.table.DelayedKeys(now) {
		current[key] = true
		if !tr.delays[key] {
			begun = append(begun, key)
		}
	}
	tr.delays = current
	return begun
}

// heldDiffLocked returns the requests that became held and those that were released since the
// last call. The caller holds mu.
func (tr *Tracker) heldDiffLocked(now time.Time) (held, released []Key) {
	if len(tr.table.culprits) == 0 && len(tr.held) == 0 {
		tr.anySuspected.Store(false)
		return nil, nil // the usual case, for nearly every response
	}
	current := make(map[Key]time.Time)
	for _, key := range tr.table.HeldKeys(now) {
		since, before := tr.held[key]
		if !before {
			since = now
			held = append(held, key)
		}
		current[key] = since
	}
	for key := range tr.held {
		if _, still := current[key]; !still {
			released = append(released, key)
		}
	}
	tr.held = current
	tr.anySuspected.Store(len(tr.table.culprits) > 0)
	return held, released
}
