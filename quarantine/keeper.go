package quarantine

import (
	"context"
	"time"

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

// probeTimeout bounds the question whether a target has crashed. A host whose target
// has ended refuses a connection within a round trip.
const probeTimeout = 100 * time.Millisecond

// Config says what a Keeper works with.
type Config struct {
	Prober  Prober
	Log     logging.Logger
	Metrics *metrics.Set
}

// Keeper watches over requests whose connections to targets break.
type Keeper struct {
	cfg Config
}

// NewKeeper returns a Keeper.
func NewKeeper(cfg Config) *Keeper {
	return &Keeper{cfg: cfg}
}

// Run is one run of a request at a target that ended without a whole answer.
type Run struct {
	Key     Key
	Request string // id of the request or item
	Target  targets.Instance
	Events  uint64        // that had come when it ended
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
	return true
}
