package daemon

import (
	"context"
	"math/rand/v2"
	"runtime/metrics"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"pumiceford/duties"
	"pumiceford/internal/wait"
	"pumiceford/logging"
	pumicemetrics "pumiceford/metrics"
	"pumiceford/routing"
	"pumiceford/settings"
	"pumiceford/store"
)

const (
	// standbyOwnersInterval is the interval at which an entry without duties reads the owners
	// of the job partitions. It bounds, together with the interval of joins, how long
	// partitions wait after the loss of all strong members has shown in the group.
	standbyOwnersInterval = 2 * time.Second
	// useInterval is the interval between two observations of the entry's use of its host.
	useInterval = 2 * time.Second
	// reducedHandicap is the number of shards that a weak entry counts in addition.
	reducedHandicap = 4
	// firstJoinWait bounds how long an entry asks others for their strengths before its first
	// join, firstJoinRetry is the pause until it asks again.
	firstJoinWait  = 600 * time.Millisecond
	firstJoinRetry = 100 * time.Millisecond
	// maxFirstQueries bounds the entries that it asks at a time.
	maxFirstQueries = 48
)

// dutyKeeper applies the decisions of package duties to this entry.
type dutyKeeper struct {
	self       string // address of this entry
	strength   duties.Strength
	partitions int
	strengthOf func(addr string) duties.Strength
	// responds asks the entry at addr whether it is there.
	responds   func(ctx context.Context, addr string) bool
	setStandby func(standby bool)
	log        logging.Logger
	metrics    *pumicemetrics.Set

	strained atomic.Bool
	level    atomic.Int32 // a duties.Level
}

// strengthOf returns the strength that the settings give.
func strengthOf(h *settings.Host) duties.Strength {
	return duties.Strength{CPUShare: h.Processor(), LinkMbps: h.LinkMbps}
}

// current returns the level in force.
func (k *dutyKeeper) current() duties.Level {
	return duties.Level(k.level.Load())
}

// shardHandicap returns the number of shards that the entry counts in addition to those that
// it owns.
func (k *dutyKeeper) shardHandicap() int {
	if k.current() == duties.Full {
		return 0
	}
	return reducedHandicap
}

// update decides anew upon the owners of the job partitions, which the store has just
// returned.
func (k *dutyKeeper) update(ctx context.Context, owners []string) {
	prev := k.current()
	others := k.withoutSelf(owners)
	if prev == duties.None {
		others = k.responding(ctx, others)
	}
	level := k.decide(prev, others)
	if level == duties.None && prev != duties.None {
		// Remembered strengths do not suffice: an entry that cannot reach the members would
		// leave, find them silent, and join again.
		others = k.ask(ctx, others)
		level = k.decide(prev, others)
	}
	k.apply(prev, level, len(others))
}

// decideFirst asks the given entries for their strengths and decides with those that respond.
func (k *dutyKeeper) decideFirst(ctx context.Context, addrs []string) duties.Level {
	addrs = k.withoutSelf(addrs)
	// Each entry has an order of its own, so that entries that start together do not all ask
	// the same ones.
	addrs = k.ask(ctx, routing.Top(addrs, routing.Score(k.self, 1), maxFirstQueries))
	prev := k.current()
	level := k.decide(prev, addrs)
	k.apply(prev, level, len(addrs))
	return level
}

// withoutSelf returns the addresses of others, each once.
func (k *dutyKeeper) withoutSelf(addrs []string) []string {
	out := slices.DeleteFunc(slices.Clone(addrs), func(addr string) bool { return addr == k.self || addr == "" })
	slices.Sort(out)
	return slices.Compact(out)
}

func (k *dutyKeeper) decide(prev duties.Level, others []string) duties.Level {
	var members []duties.Strength
	for _, addr := range others {
		members = append(members, k.strengthOf(addr))
	}
	return duties.Decide(prev, duties.Input{Self: k.strength, Strained: k.strained.Load(), Members: members, Partitions: k.partitions})
}

// apply puts a level in force that was decided upon a number of members.
func (k *dutyKeeper) apply(prev, level duties.Level, members int) {
	k.metrics.SetGauge("duties_level", float64(level))
	if level == prev {
		return
	}
	k.level.Store(int32(level))
	k.setStandby(level == duties.None)
	k.log.Info("duties changed", logging.F("from", prev.String()), logging.F("to", level.String()),
		logging.F("members", members), logging.F("strained", k.strained.Load()))
}

// responding returns the members that are there. A group may list its last members for as long
// as nobody joins it, so an entry on standby, which does not join, asks one of them. It asks
// the others only if that one does not respond.
func (k *dutyKeeper) responding(ctx context.Context, addrs []string) []string {
	if len(addrs) == 0 || k.responds(ctx, addrs[rand.IntN(len(addrs))]) {
		return addrs
	}
	return k.ask(ctx, addrs)
}

// ask returns the entries that respond. Their strengths are known afterwards.
func (k *dutyKeeper) ask(ctx context.Context, addrs []string) []string {
	found := make([]bool, len(addrs))
	var probes sync.WaitGroup
	for n, addr := range addrs {
		probes.Go(func() { found[n] = k.responds(ctx, addr) })
	}
	probes.Wait()
	var out []string
	for n, addr := range addrs {
		if found[n] {
			out = append(out, addr)
		}
	}
	return out
}

// runJobs decides upon the first join and then runs job items until ctx ends.
func (n *entryNode) runJobs(ctx context.Context) {
	n.decideFirstJoin(ctx)
	n.firstDecided.Store(true)
	n.runner.Run(ctx)
}

// decideFirstJoin lets an entry that knows its own strength learn those of the members and seeds
// before it joins, so that a weak entry does not join and leave again after a restart. An
// entry that finds itself weak asks until enough strong ones respond, for firstJoinWait at
// most; without replies it joins.
func (n *entryNode) decideFirstJoin(ctx context.Context) {
	if !n.duties.strength.Known() {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, firstJoinWait)
	defer cancel()
	for {
		owners, err := n.store.Owners(ctx, jobGroup)
		if err != nil {
			n.metrics.Count("group_failures") // the seeds remain
		}
		level := n.duties.decideFirst(ctx, slices.Concat(memberAddrs(owners), n.set.Seeds))
		if level != duties.Reduced || wait.For(ctx, firstJoinRetry) != nil {
			return
		}
	}
}

// memberAddrs returns the members that own partitions, sorted.
func memberAddrs(owners []store.Owner) []string {
	out := make([]string, 0, len(owners))
	for _, o := range owners {
		out = append(out, o.Member)
	}
	slices.Sort(out)
	return slices.Compact(out)
}

// observeUse observes the entry's use of its host until ctx ends.
func (n *entryNode) observeUse(ctx context.Context) {
	var strain duties.Strain
	u := hostUse{processor: n.set.Host.CPUShare, memory: memoryFraction * float64(n.set.MemoryMB<<20)}
	u.observe(time.Now())
	for wait.For(ctx, useInterval) == nil {
		use := u.observe(time.Now())
		n.metrics.SetGauge("host_use", use)
		n.duties.strained.Store(strain.Observe(use))
	}
}

// hostUse measures how much of its host the entry uses.
type hostUse struct {
	processor float64 // offered share of the core, whatever its speed; 0 if unknown
	memory    float64 // soft limit of the runtime in bytes; 0 if there is none
	spent     time.Duration
	at        time.Time
}

// observe returns the larger of the used fractions of the processor since the last call and
// of the memory. What cannot be measured counts as unused.
func (u *hostUse) observe(now time.Time) float64 {
	use := 0.0
	if spent, ok := processorTime(); ok {
		if elapsed := now.Sub(u.at); !u.at.IsZero() && elapsed > 0 && u.processor > 0 {
			use = (spent - u.spent).Seconds() / elapsed.Seconds() / u.processor
		}
		u.spent, u.at = spent, now
	}
	if u.memory > 0 {
		use = max(use, float64(liveHeap())/u.memory)
	}
	return use
}

// processorTime returns the processor time that this process has used. It returns false if
// the system does not tell.
func processorTime() (time.Duration, bool) {
	var ru syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &ru) != nil {
		return 0, false
	}
	return time.Duration(ru.Utime.Nano() + ru.Stime.Nano()), true
}

// liveHeap returns the bytes that the last garbage collection found in use.
func liveHeap() uint64 {
	sample := []metrics.Sample{{Name: "/gc/heap/live:bytes"}}
	metrics.Read(sample)
	if sample[0].Value.Kind() != metrics.KindUint64 {
		return 0
	}
	return sample[0].Value.Uint64()
}

// introduce makes this entry known to the owners of the job partitions and to its seeds until
// ctx ends.
func (n *entryNode) introduce(ctx context.Context) {
	for wait.For(ctx, useInterval) == nil {
		n.entries.Introduce(ctx, n.otherEntries())
	}
}

// otherEntries returns the addresses of the owners of the job partitions and the seeds.
func (n *entryNode) otherEntries() []string {
	n.ownersMu.Lock()
	defer n.ownersMu.Unlock()
	return slices.Concat(n.owners, n.set.Seeds)
}
