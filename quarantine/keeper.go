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

// Prober tells a crashed target from one whose connection broke.
type Prober interface {
	// Crashed reports whether nothing listens at an instance's address any more. It
	// reports false when that cannot be told.
	Crashed(ctx context.Context, in targets.Instance) bool
}

const (
	// probeTimeout bounds the question whether a target has crashed. A host whose target
	// has ended refuses a connection within a round trip.
	probeTimeout = 100 * time.Millisecond
	expireEvery  = time.Second
	// settleFor is how long after the word that holds a request another process may still
	// tell what clears it: an answer there, or the cause of the same crashes.
	settleFor = 150 * time.Millisecond
)

// Config says what a Keeper works with.
type Config struct {
	Prober  Prober // nil where no requests are sent
	Log     logging.Logger
	Metrics *metrics.Set
}

// Keeper is the Table of a process. All methods are safe for concurrent use; mu is held
// for memory only.
type Keeper struct {
	cfg     Config
	anyHeld atomic.Bool // a request is held; spares all others the lock

	mu      sync.Mutex
	table   *Table
	held    map[Key]time.Time // since when, as it was told last
	changed chan struct{}     // closed and replaced when the table changes
}

// NewKeeper returns a Keeper that knows nothing.
func NewKeeper(cfg Config) *Keeper {
	return &Keeper{cfg: cfg, table: NewTable(), held: make(map[Key]time.Time), changed: make(chan struct{})}
}

// Run forgets what is too old until ctx ends.
func (k *Keeper) Run(ctx context.Context) {
	for wait.For(ctx, expireEvery) == nil {
		k.change("its time is over", func(now time.Time) { k.table.Expire(now) })
		held, suspected := 0, 0
		for _, c := range k.Cases() {
			if c.Held {
				held++
			} else {
				suspected++
			}
		}
		k.cfg.Metrics.Gauge("requests_held", float64(held))
		k.cfg.Metrics.Gauge("requests_suspected", float64(suspected))
	}
}

// Run is one run of a request at a target that ended without a whole answer.
type Run struct {
	Key     Key
	Request string // id of the request or item
	Target  targets.Instance
	Events  uint64        // that had come of this run when it ended
	Took    time.Duration // since it was sent
}

// Broke takes a run whose connection broke, and reports whether its target crashed.
func (k *Keeper) Broke(ctx context.Context, r Run) bool {
	one, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	if !k.cfg.Prober.Crashed(one, r.Target) {
		k.cfg.Metrics.Count("run_broken_target_lives")
		return false
	}
	k.cfg.Metrics.Count("run_broken_target_crashed")
	k.cfg.Log.Info("target crashed under a request", logging.F("key", r.Key.String()), logging.F("request", r.Request),
		logging.F("instance", r.Target.ID), logging.F("events", r.Events), logging.F("took_ms", r.Took.Milliseconds()))
	k.change("crashes that another request explains", func(now time.Time) {
		k.table.Add(now, Mark{Key: r.Key, Target: r.Target.Life(), At: now, Answered: r.Events > 0})
	})
	return true
}

// Served takes a whole answer to a request.
func (k *Keeper) Served(key Key) {
	k.change("it was served", func(now time.Time) { k.table.Served(now, key) })
}

// Clear lets a request run again, as an operator asks. It reports false when nothing
// counts against it.
func (k *Keeper) Clear(key Key) (known bool) {
	k.change("an operator cleared it", func(time.Time) { known = k.table.Clear(key) })
	return known
}

// Merge takes what another process tells. From tells the sources apart.
func (k *Keeper) Merge(marks []Mark, from any) {
	k.change("another process knows better", func(now time.Time) { k.table.Merge(now, marks, from) })
}

// Held reports whether a request must not run now, and for how long.
func (k *Keeper) Held(key Key) (left time.Duration, held bool) {
	if !k.anyHeld.Load() {
		return 0, false
	}
	now := time.Now()
	k.mu.Lock()
	defer k.mu.Unlock()
	until, held := k.table.Held(now, key)
	return until.Sub(now), held
}

// Settle waits, shortly, while others may still clear a request that has just been held.
func (k *Keeper) Settle(ctx context.Context, key Key) {
	if !k.anyHeld.Load() {
		return
	}
	k.mu.Lock()
	since, held := k.held[key]
	k.mu.Unlock()
	if held {
		_ = wait.For(ctx, settleFor-time.Since(since)) // Held tells what came of it
	}
}

// Cases returns the requests that crashes are counted against.
func (k *Keeper) Cases() []Case {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.table.Cases(time.Now())
}

// since returns the marks that changed after a number of changes, the number now, and a
// channel that is closed at the next change.
func (k *Keeper) since(changes uint64, except any) ([]Mark, uint64, <-chan struct{}) {
	k.mu.Lock()
	defer k.mu.Unlock()
	now := k.table.Changes()
	if now == changes {
		return nil, now, k.changed
	}
	return k.table.Since(changes, except), now, k.changed
}

// change changes the table and tells which requests are held or released by it.
func (k *Keeper) change(why string, fn func(now time.Time)) {
	now := time.Now()
	k.mu.Lock()
	before := k.table.Changes()
	fn(now)
	held, released := k.heldDiffLocked(now)
	var cases []Case
	if len(held) > 0 {
		cases = k.table.Cases(now)
	}
	if k.table.Changes() != before {
		close(k.changed)
		k.changed = make(chan struct{})
	}
	k.mu.Unlock()
	for _, c := range cases {
		if !slices.Contains(held, c.Key) {
			continue
		}
		k.cfg.Metrics.Count("request_held")
		k.cfg.Log.Warn("request held: targets crash under it", logging.F("key", c.Key.String()),
			logging.F("crashes", len(c.Crashes)), logging.F("last_instance", c.Crashes[len(c.Crashes)-1].Target.ID),
			logging.F("left_ms", c.Until.Sub(now).Milliseconds()))
	}
	for _, key := range released {
		k.cfg.Metrics.Count("request_released")
		k.cfg.Log.Info("request no longer held", logging.F("key", key.String()), logging.F("why", why))
	}
}

// heldDiffLocked returns what is held now and was not, and the reverse. k.mu is held.
func (k *Keeper) heldDiffLocked(now time.Time) (held, released []Key) {
	if len(k.table.culprits) == 0 && len(k.held) == 0 {
		return nil, nil // as at nearly every answer
	}
	is := make(map[Key]time.Time)
	for _, key := range k.table.Holds(now) {
		since, before := k.held[key]
		if !before {
			since = now
			held = append(held, key)
		}
		is[key] = since
	}
	for key := range k.held {
		if _, still := is[key]; !still {
			released = append(released, key)
		}
	}
	k.held = is
	k.anyHeld.Store(len(is) > 0)
	return held, released
}
