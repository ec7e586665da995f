package quarantine

import (
	"context"
	"slices"
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
	Prober  Prober // nil in a process that sends no requests
	Log     logging.Logger
	Metrics *metrics.Set
}

// Tracker shares the Table of a process between goroutines. All methods are safe for concurrent
// use. mu is never held during I/O.
type Tracker struct {
	cfg     Config
	anyHeld atomic.Bool // true while any request is held; lets the common case skip the lock

	mu      sync.Mutex
	table   *Table
	held    map[Key]time.Time // when each request was seen to become held
	changed chan struct{}     // closed and replaced at each change of the table
}

// NewTracker returns a Tracker with an empty table.
func NewTracker(cfg Config) *Tracker {
	return &Tracker{cfg: cfg, table: NewTable(), held: make(map[Key]time.Time), changed: make(chan struct{})}
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

// Run describes one run of a request at a target that ended without a complete response.
type Run struct {
	Key     Key
	Parts   []Part // of its prompt that others may share
	Request string // ID of the request or item
	Target  targets.Instance
	Events  uint64        // number received from this run before it ended
	Took    time.Duration // time since the request was sent
}

// RecordBroken records a run whose connection broke and reports whether its target crashed. It
// probes the target, for at most probeTimeout.
func (tr *Tracker) RecordBroken(ctx context.Context, r Run) bool {
	probeCtx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	if !tr.cfg.Prober.Crashed(probeCtx, r.Target) {
		tr.cfg.Metrics.Count("run_broken_target_lives")
		return false
	}
	tr.cfg.Metrics.Count("run_broken_target_crashed")
	tr.cfg.Log.Info("target crashed under a request", logging.F("key", r.Key.String()), logging.F("parts", PartIDs(r.Parts)), logging.F("request", r.Request),
		logging.F("instance", r.Target.ID), logging.F("events", r.Events), logging.F("took_ms", r.Took.Milliseconds()))
	tr.update("crashes attributed to another request", func(now time.Time) {
		tr.table.AddCrash(now, Mark{Key: r.Key, Target: r.Target.Incarnation(), At: now, ResponseBegan: r.Events > 0})
	})
	return true
}

// RecordSuccess records that a request got a complete response.
func (tr *Tracker) RecordSuccess(key Key) {
	tr.update("it got a complete response", func(now time.Time) { tr.table.RecordSuccess(now, key) })
}

// Clear releases a request on behalf of an operator. It reports false if no crash counts against
// the request.
func (tr *Tracker) Clear(key Key) (known bool) {
	tr.update("cleared by an operator", func(time.Time) { known = tr.table.Clear(key) })
	return known
}

// Merge applies marks received from another process. The value from identifies the stream or
// Archive that they came from, so that they are not sent back to it.
func (tr *Tracker) Merge(marks []Mark, from any) {
	tr.update("marks received from another process", func(now time.Time) { tr.table.Merge(now, marks, from) })
}

// Held reports whether a request must not run now, and for how long.
func (tr *Tracker) Held(key Key) (left time.Duration, held bool) {
	if !tr.anyHeld.Load() {
		return 0, false
	}
	now := time.Now()
	tr.mu.Lock()
	defer tr.mu.Unlock()
	until, held := tr.table.Held(now, key)
	return until.Sub(now), held
}

// WaitSettled waits until settleDelay has passed since a request became held, during which other
// processes may still release it. It returns at once if the request is not held.
func (tr *Tracker) WaitSettled(ctx context.Context, key Key) {
	if !tr.anyHeld.Load() {
		return
	}
	tr.mu.Lock()
	since, held := tr.held[key]
	tr.mu.Unlock()
	if held {
		_ = wait.For(ctx, settleDelay-time.Since(since)) // the caller checks Held afterwards
	}
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
	held, released := tr.heldDiffLocked(now)
	var suspects []Suspect
	if len(held) > 0 {
		suspects = tr.table.Suspects(now)
	}
	if tr.table.Changes() != before {
		close(tr.changed)
		tr.changed = make(chan struct{})
	}
	tr.mu.Unlock()
	for _, s := range suspects {
		if !slices.Contains(held, s.Key) {
			continue
		}
		tr.cfg.Metrics.Count("request_held")
		tr.cfg.Log.Warn("request held: targets crash under it", logging.F("key", s.Key.String()),
			logging.F("crashes", len(s.Crashes)), logging.F("last_instance", s.Crashes[len(s.Crashes)-1].Target.ID),
			logging.F("left_ms", s.Until.Sub(now).Milliseconds()))
	}
	for _, key := range released {
		tr.cfg.Metrics.Count("request_released")
		tr.cfg.Log.Info("request no longer held", logging.F("key", key.String()), logging.F("why", why))
	}
}

// heldDiffLocked returns the requests that became held and those that were released since the
// last call. The caller holds mu.
func (tr *Tracker) heldDiffLocked(now time.Time) (held, released []Key) {
	if len(tr.table.culprits) == 0 && len(tr.held) == 0 {
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
	tr.anyHeld.Store(len(current) > 0)
	return held, released
}
