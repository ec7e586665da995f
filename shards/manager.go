package shards

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"pumiceford/internal/wait"
	"pumiceford/logging"
	"pumiceford/metrics"
	"pumiceford/store"
)

// Intervals and bounds of a Keeper.
const (
	// lookEvery is how often the shards that this process watches over are looked at.
	lookEvery = time.Second
	// freeEvery is how often watched shards without owner are looked for when nothing changes.
	freeEvery = time.Second
	// wantedEvery is how often a process that has no use for shards sees whether it has.
	wantedEvery = 20 * time.Millisecond
	// renewEvery is how often it is seen whether the view has to be confirmed, renewPart
	// the part of the lease after which it is.
	renewEvery = 250 * time.Millisecond
	renewPart  = 3
	// goneAfter is how long an owner may give no answer before its shards are taken over.
	// Most processes that are killed are back sooner and go on with what they had.
	goneAfter = 3 * time.Second
	// aloneAfter is the same while no other process answers at all: then it may be this one
	// that is cut off.
	aloneAfter = 2 * goneAfter
	// hearTries is how many other processes are asked before this one counts as cut off.
	hearTries = 3
	// askTimeout bounds a question whether an owner is there.
	askTimeout = 400 * time.Millisecond
	// writeTries bounds the tries at a record while others write to the partition.
	writeTries  = 8
	writePause  = 40 * time.Millisecond
	writeWithin = 2 * time.Second
)

// Config says what a Keeper works with.
type Config struct {
	Self   string // address of this process
	Shards int
	Lease  time.Duration
	Log    store.Log
	Part   store.Partition
	// Wanted reports whether shards are needed at all now.
	Wanted func() bool
	// Watches reports whether this process has to see that somebody acts for a shard.
	// Several may; the store lets one of them take it.
	Watches func(shard int) bool
	// Acts asks a process whether it acts for a shard. answered is false when it gives no
	// answer.
	Acts func(ctx context.Context, addr string, shard int) (acts, answered bool)
	// Clock is steady and counts the time in which the host is suspended.
	Clock   func() time.Duration
	Out     logging.Logger
	Metrics *metrics.Set
}

// Keeper keeps a process's shards. It is safe for concurrent use.
type Keeper struct {
	cfg    Config
	follow *store.Follower
	// table is only touched inside the follower's Look and by the follower.
	table *Table

	mu      sync.Mutex
	leaving bool
	missing map[int]missed
}

// missed is since when a shard's owner has not been acting for it.
type missed struct {
	owner string
	since time.Duration
}

// NewKeeper returns a Keeper.
func NewKeeper(cfg Config) *Keeper {
	k := &Keeper{cfg: cfg, table: NewTable(cfg.Self, cfg.Lease), missing: make(map[int]missed)}
	k.follow = store.NewFollower(cfg.Log, cfg.Part, sink{k}, store.FollowSettings{Wait: cfg.Lease / (renewPart + 1), Clock: cfg.Clock})
	return k
}

// sink folds records. The follower calls it one call at a time, with its own lock held.
type sink struct{ k *Keeper }

// Reset implements store.Sink.
func (s sink) Reset(recs []store.Record) {
	s.k.table.Reset(s.k.cfg.Clock(), recs)
}

// Apply implements store.Sink.
func (s sink) Apply(recs ...store.Record) {
	now := s.k.cfg.Clock()
	for _, r := range recs {
		s.k.table.Apply(now, r)
	}
}

// look calls fn with the table, unless no record was read yet.
func (k *Keeper) look(fn func(t *Table, end int64)) {
	k.follow.Look(func(end int64, _ <-chan struct{}) { fn(k.table, end) })
}

// Owner returns the process that acts for a shard, "" while none is known.
func (k *Keeper) Owner(shard int) (addr string) {
	k.look(func(t *Table, _ int64) { addr = t.Owner(shard) })
	return addr
}

// Active returns since when this process has been acting for a shard. It reports false
// while it must not.
func (k *Keeper) Active(shard int) (since time.Duration, ok bool) {
	if k.isLeaving() {
		return 0, false
	}
	confirmed, known := k.follow.Confirmed()
	if !known {
		return 0, false
	}
	k.look(func(t *Table, _ int64) { since, ok = t.Active(shard, k.cfg.Clock(), confirmed) })
	return since, ok
}

func (k *Keeper) isLeaving() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.leaving
}

// Run keeps the shards until ctx ends. It does nothing before they are wanted.
func (k *Keeper) Run(ctx context.Context) {
	for !k.cfg.Wanted() {
		if wait.For(ctx, wantedEvery) != nil {
			return
		}
	}
	go k.follow.Run(ctx)
	go k.renew(ctx)
	go k.takeFree(ctx)
	for {
		k.watch(ctx)
		k.settle(ctx)
		// Spread, so that processes that start together do not write together.
		pause := lookEvery/2 + rand.N(lookEvery)
		if wait.For(ctx, pause) != nil {
			return
		}
	}
}

// takeFree takes watched shards as soon as their owners give them up.
func (k *Keeper) takeFree(ctx context.Context) {
	for {
		changed := k.changed()
		k.take(ctx, k.watched(), nil)
		wait.ForChange(ctx, changed, freeEvery)
		if wait.For(ctx, rand.N(writePause)) != nil {
			return
		}
	}
}

// changed returns a channel that is closed at the next change of the records, nil while
// none were read.
func (k *Keeper) changed() (ch <-chan struct{}) {
	k.follow.Look(func(_ int64, c <-chan struct{}) { ch = c })
	return ch
}

// renew keeps the view confirmed.
func (k *Keeper) renew(ctx context.Context) {
	for wait.For(ctx, renewEvery) == nil {
		if k.follow.Confirm(ctx, k.cfg.Lease/renewPart) != nil {
			k.cfg.Metrics.Count("shards_not_confirmed") // it stops to act by itself
		}
	}
}

// watch takes over the watched shards whose owners are gone.
func (k *Keeper) watch(ctx context.Context) {
	owners := k.watched()
	k.take(ctx, owners, k.abandoned(ctx, owners))
}

// watched returns the owners of the shards that this process watches over, "" for none.
func (k *Keeper) watched() map[int]string {
	owners := make(map[int]string)
	k.look(func(t *Table, _ int64) {
		for n := range k.cfg.Shards {
			if k.cfg.Watches(n) {
				owners[n] = t.Owner(n)
			}
		}
	})
	return owners
}

// take takes the shards without owner, and those whose owner is gone, unless somebody else
// has done so meanwhile.
func (k *Keeper) take(ctx context.Context, owners map[int]string, gone []int) {
	due := slices.Clone(gone)
	for n, owner := range owners {
		if owner == "" {
			due = append(due, n)
		}
	}
	if len(due) == 0 || k.isLeaving() {
		return
	}
	err := k.write(ctx, func(t *Table) ([]store.Record, error) {
		return records(due, func(n int) bool { return t.Owner(n) == owners[n] }, t.claim)
	})
	k.tell("shards taken", due, err)
}

// abandoned asks the owners of watched shards and returns the shards whose owners have
// not acted for too long.
func (k *Keeper) abandoned(ctx context.Context, owners map[int]string) []int {
	now := k.cfg.Clock()
	silent, heard := k.askAll(ctx, owners)
	limit := goneAfter
	if len(silent) > 0 && !heard && !k.hears(ctx, silent) {
		limit = aloneAfter
	}
	return k.missed(silent, now, limit)
}

// askAll asks the owners of shards side by side whether they act for them. It returns the
// shards for which nobody says so, and whether any process answered at all.
func (k *Keeper) askAll(ctx context.Context, owners map[int]string) (silent map[int]string, heard bool) {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	silent = make(map[int]string)
	var mu sync.Mutex // of what is returned
	var all sync.WaitGroup
	for n, owner := range owners {
		if owner == "" || owner == k.cfg.Self {
			continue
		}
		all.Go(func() {
			acts, answered := k.cfg.Acts(ctx, owner, n)
			mu.Lock()
			defer mu.Unlock()
			heard = heard || answered
			if !acts {
				silent[n] = owner
			}
		})
	}
	all.Wait()
	return silent, heard
}

// hears reports whether any process answers other than those that are silent.
func (k *Keeper) hears(ctx context.Context, silent map[int]string) bool {
	others := make(map[string]int) // with one of its shards
	k.look(func(t *Table, _ int64) {
		for n := range k.cfg.Shards {
			others[t.Owner(n)] = n
		}
	})
	delete(others, "")
	delete(others, k.cfg.Self)
	for _, owner := range silent {
		delete(others, owner)
	}
	tries := 0
	for owner, n := range others { // in any order
		one, cancel := context.WithTimeout(ctx, askTimeout)
		_, answered := k.cfg.Acts(one, owner, n)
		cancel()
		if answered {
			return true
		}
		if tries++; tries == hearTries {
			break
		}
	}
	return false
}

// missed notes the shards for which nobody acts and returns those for which that has been
// so for too long. An owner that has just taken its shard waits for a lease first.
func (k *Keeper) missed(silent map[int]string, now, limit time.Duration) []int {
	settled := make(map[int]bool)
	k.look(func(t *Table, _ int64) {
		for n := range silent {
			settled[n] = t.Settled(n)
		}
	})
	k.mu.Lock()
	defer k.mu.Unlock()
	for n := range k.missing {
		if silent[n] != k.missing[n].owner {
			delete(k.missing, n)
		}
	}
	var gone []int
	for n, owner := range silent {
		m, ok := k.missing[n]
		if !ok {
			k.missing[n] = missed{owner: owner, since: now}
			continue
		}
		within := limit
		if !settled[n] {
			within += 2 * k.cfg.Lease
		}
		if now-m.since >= within {
			gone = append(gone, n)
		}
	}
	return gone
}

// settle records that the waits for shards are over.
func (k *Keeper) settle(ctx context.Context) {
	var ended []int
	k.look(func(t *Table, _ int64) { ended = t.Unsettled(k.cfg.Clock()) })
	if len(ended) == 0 || k.isLeaving() {
		return
	}
	err := k.write(ctx, func(t *Table) ([]store.Record, error) {
		return records(ended, func(n int) bool { return t.Owner(n) == k.cfg.Self }, t.settle)
	})
	k.tell("shards settled", ended, err)
}

// Leave stops acting and gives this process's shards up, so that others act for them at
// once.
func (k *Keeper) Leave(ctx context.Context) {
	k.mu.Lock()
	k.leaving = true
	k.mu.Unlock()
	var mine []int
	k.look(func(t *Table, _ int64) { mine = t.Mine() })
	if len(mine) == 0 {
		return
	}
	err := k.write(ctx, func(t *Table) ([]store.Record, error) {
		return records(mine, func(n int) bool { return t.Owner(n) == k.cfg.Self }, t.release)
	})
	k.tell("shards released", mine, err)
}

// records builds the records of those shards for which they are still due.
func records(shards []int, due func(int) bool, build func(int) (store.Record, error)) ([]store.Record, error) {
	var out []store.Record
	for _, n := range shards {
		if !due(n) {
			continue
		}
		r, err := build(n)
		if err != nil {
			return nil, err
		}
		out = append(out, r)
	}
	return out, nil
}

// write appends what decide asks for, on the condition that nobody has written meanwhile.
func (k *Keeper) write(ctx context.Context, decide func(t *Table) ([]store.Record, error)) error {
	ctx, cancel := context.WithTimeout(ctx, writeWithin)
	defer cancel()
	var last error
	for range writeTries {
		var recs []store.Record
		var at int64
		var err error
		k.look(func(t *Table, end int64) { at, recs, err = end, nil, nil; recs, err = decide(t) })
		if err != nil || len(recs) == 0 {
			return err
		}
		_, last = k.cfg.Log.Append(ctx, k.cfg.Part, recs, at)
		if last == nil {
			k.follow.Appended(recs, at)
			return nil
		}
		var conflict *store.ConflictError
		if !errors.As(last, &conflict) {
			return last
		}
		if err := k.follow.Confirm(ctx, 0); err != nil {
			return err
		}
		if err := wait.For(ctx, rand.N(writePause)); err != nil {
			return err
		}
	}
	return last
}

func (k *Keeper) tell(what string, shards []int, err error) {
	slices.Sort(shards)
	if err != nil {
		k.cfg.Metrics.Count("shards_not_written")
		k.cfg.Out.Warn(what+": not written", logging.F("shards", shards), logging.F("error", err.Error()))
		return
	}
	k.cfg.Out.Info(what, logging.F("shards", shards))
}
