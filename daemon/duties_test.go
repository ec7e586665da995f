package daemon

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"pumiceford/catalog"
	"pumiceford/duties"
	"pumiceford/fleet"
	"pumiceford/internal/wait"
	"pumiceford/jobroute"
	"pumiceford/jobstore"
	"pumiceford/link"
	"pumiceford/logging"
	"pumiceford/metrics"
	"pumiceford/peers"
	"pumiceford/runner"
	"pumiceford/settings"
	"pumiceford/standin/sharedstore"
	"pumiceford/store"
	"pumiceford/targets"
)

const (
	dutyPartitions = 8
	strongCPU      = 0.8
	weakCPU        = 0.109
	// settleTime suffices for all entries to learn the strengths and to apply their decisions.
	settleTime = 20 * time.Second
	// takeOverBound is the longest time that partitions may be without a runner after the loss
	// of all strong members: the time in which the group notices, as without duties, plus one
	// read of the owners and one join with their pauses.
	takeOverBound = 1600*time.Millisecond + standbyOwnersInterval + time.Second
	// handOverBound is that time if strong members are left: the time in which the group
	// notices, and two joins, of which one may follow upon the return of a weak entry.
	handOverBound = 1600*time.Millisecond + time.Second
)

type dutyDecoder struct{}

func (dutyDecoder) CatalogKey() string { return "c" }

func (dutyDecoder) Catalog([]byte) (*catalog.Catalog, error) {
	return catalog.New(1, catalog.Limits{}, nil, nil), nil
}

func (dutyDecoder) Instance(id string, _ []byte) (targets.Instance, error) {
	return targets.Instance{ID: id}, nil
}

// dutyFleet is a fleet of entries on one store that know each other's strengths.
type dutyFleet struct {
	store     *sharedstore.Store
	mu        sync.Mutex // guards the maps
	strengths map[string]duties.Strength
	nodes     map[string]*entryNode
	stops     map[string]context.CancelFunc
	// asking says that an entry knows the strengths only of those that it has asked.
	asking bool
	cutOff string // an entry that reaches no other one
	// standbys counts the changes of standby of all entries; generation is the last one of the group.
	standbys   int
	generation uint64
}

// countedGroups notes the generations of the group, one for each time that it deals the
// partitions.
type countedGroups struct {
	store.Groups
	fleet *dutyFleet
}

func (g countedGroups) Join(ctx context.Context, req store.JoinRequest) (store.Membership, error) {
	m, err := g.Groups.Join(ctx, req)
	g.fleet.mu.Lock()
	defer g.fleet.mu.Unlock()
	g.fleet.generation = max(g.fleet.generation, m.Generation)
	return m, err
}

// start starts an entry that takes duties. A processor of 0 stands for settings without host.
func (f *dutyFleet) start(ctx context.Context, name string, processor float64) {
	ctx, cancel := context.WithCancel(ctx)
	ms := metrics.New(name)
	client := f.store.ClientFor(name)
	set := &settings.Gateway{Peers: name, Store: settings.Store{Partitions: dutyPartitions}}
	n := &entryNode{set: set, metrics: ms, deps: GatewayDeps{JobsTopic: "jobs"}}
	n.view = fleet.NewView(dutyDecoder{}, 1, logging.Logger{}, ms)
	n.view.CatalogSink().Reset([]store.Record{{Key: "c", Value: []byte("1")}})
	n.view.TargetSink().Reset(nil)
	n.store = store.NewFailover(client, func() []store.Peer { return nil })
	n.jobs = jobstore.New(ctx, n.store, jobstore.Settings{Topic: "jobs", ProgressTopic: "progress", Partitions: dutyPartitions, MaxAppendBytes: 2 << 20, Retention: time.Minute}, logging.Logger{})
	n.routes = jobroute.New(jobroute.Config{Self: name, Local: n.jobs, PartitionOf: n.jobs.PartitionOf, Metrics: ms})
	n.peerPool = peers.NewPool(name, link.Config{}, nil)
	n.runner = runner.New(runner.Config{Member: name, Group: jobGroup, Store: n.jobs, Groups: countedGroups{n.store, f}, View: n.view, Metrics: ms, MaxRunning: 1})
	asked := make(map[string]bool) // guarded by f.mu
	n.duties = &dutyKeeper{self: name, strength: duties.Strength{CPUShare: processor}, partitions: dutyPartitions,
		setStandby: func(standby bool) {
			f.mu.Lock()
			f.standbys++
			f.mu.Unlock()
			n.runner.SetStandby(standby)
		}, metrics: ms,
		strengthOf: func(addr string) duties.Strength {
			f.mu.Lock()
			defer f.mu.Unlock()
			if f.asking && !asked[addr] {
				return duties.Strength{}
			}
			return f.strengths[addr]
		},
		responds: func(_ context.Context, addr string) bool { // stands in for a query of an entry
			f.mu.Lock()
			defer f.mu.Unlock()
			if f.nodes[addr] == nil || f.cutOff == name {
				return false
			}
			asked[addr] = true
			return true
		}}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.strengths[name] = n.duties.strength
	f.nodes[name], f.stops[name] = n, cancel
	go n.runJobs(ctx)
	go func() { // stands in for introduce
		for wait.For(ctx, useInterval) == nil {
			for _, addr := range n.otherEntries() {
				n.duties.responds(ctx, addr)
			}
		}
	}()
	go n.watchPeers(ctx)
}

// stop kills an entry.
func (f *dutyFleet) stop(name string) {
	f.stops[name]()
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.nodes, name)
}

// unowned returns the partitions that no running entry runs.
func (f *dutyFleet) unowned() (out []int) {
	for p := range dutyPartitions {
		owned := false
		for _, n := range f.nodes {
			owned = owned || n.runner.HasPartition(p)
		}
		if !owned {
			out = append(out, p)
		}
	}
	return out
}

// longestGap returns the longest time within a duration for which a partition had no runner.
func (f *dutyFleet) longestGap(within time.Duration) (longest time.Duration) {
	const step = 10 * time.Millisecond
	var gaps [dutyPartitions]time.Duration
	for range within / step {
		time.Sleep(step)
		now := f.unowned()
		for p := range dutyPartitions {
			if !slices.Contains(now, p) {
				gaps[p] = 0
				continue
			}
			gaps[p] += step
			longest = max(longest, gaps[p])
		}
	}
	return longest
}

// inDutyFleet runs fn with four entries of the first processor and two of the second.
func inDutyFleet(t *testing.T, first, second float64, fn func(ctx context.Context, t *testing.T, f *dutyFleet)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		f := &dutyFleet{store: sharedstore.New(dutyPartitions), strengths: make(map[string]duties.Strength), nodes: make(map[string]*entryNode), stops: make(map[string]context.CancelFunc)}
		for n := range 6 {
			processor := first
			if n >= 4 {
				processor = second
			}
			f.start(ctx, fmt.Sprint("e", n), processor)
		}
		time.Sleep(settleTime)
		fn(ctx, t, f)
		cancel()
		time.Sleep(time.Minute) // lets everything that still waits see the cancellation
		synctest.Wait()
	})
}

func (f *dutyFleet) checkLevel(t *testing.T, name string, want duties.Level) {
	t.Helper()
	if got := f.nodes[name].duties.current(); got != want {
		t.Errorf("%s is at level %s, want %s", name, got, want)
	}
}

// Guards against partitions without a runner when the strong members, to which weak entries
// have left them, all fail at once.
func TestWeakEntriesTakeOverFromLostStrongMembers(t *testing.T) {
	inDutyFleet(t, strongCPU, weakCPU, func(_ context.Context, t *testing.T, f *dutyFleet) {
		f.checkLevel(t, "e0", duties.Full)
		f.checkLevel(t, "e4", duties.None)
		if left := f.unowned(); len(left) > 0 || f.nodes["e4"].runner.HasPartition(0) || f.nodes["e5"].runner.HasPartition(0) {
			t.Fatalf("partitions without a runner: %v; weak entries run partitions", left)
		}
		for n := range 4 {
			f.stop(fmt.Sprint("e", n))
		}
		if gap := f.longestGap(settleTime); gap > takeOverBound {
			t.Errorf("a partition had no runner for %s after the loss of all strong members, want at most %s", gap, takeOverBound)
		}
	})
}

// Guards against weak entries that stay away when too few strong members remain, and against
// partitions without a runner meanwhile for longer than without duties.
func TestWeakEntriesReturnWhenTooFewStrongMembersRemain(t *testing.T) {
	inDutyFleet(t, strongCPU, weakCPU, func(ctx context.Context, t *testing.T, f *dutyFleet) {
		f.stop("e0")
		f.stop("e1")
		if gap := f.longestGap(settleTime); gap > handOverBound {
			t.Errorf("a partition had no runner for %s although strong members are left, want at most %s", gap, handOverBound)
		}
		f.checkLevel(t, "e4", duties.Reduced)
		f.start(ctx, "e6", strongCPU)
		f.start(ctx, "e7", strongCPU)
		if gap := f.longestGap(settleTime); gap > handOverBound {
			t.Errorf("a partition had no runner for %s while weak entries left, want at most %s", gap, handOverBound)
		}
		f.checkLevel(t, "e4", duties.None)
	})
}

// Guards against changes while the store does not respond, when an entry cannot know who is
// left.
func TestDutiesStayWhileStoreIsSilent(t *testing.T) {
	inDutyFleet(t, strongCPU, weakCPU, func(_ context.Context, t *testing.T, f *dutyFleet) {
		for n := range 6 {
			f.store.SetFault(fmt.Sprint("e", n), sharedstore.NoResponse)
		}
		time.Sleep(settleTime)
		f.checkLevel(t, "e0", duties.Full)
		f.checkLevel(t, "e4", duties.None)
		if left := f.unowned(); len(left) > 0 {
			t.Errorf("partitions %v lost their runner during the outage", left)
		}
	})
}

// Guards against a change for fleets whose entries are all weak, or whose settings do not say
// what their hosts offer.
func TestAlikeEntriesShareDutiesEvenly(t *testing.T) {
	for _, processor := range []float64{weakCPU, 0} {
		inDutyFleet(t, processor, processor, func(_ context.Context, t *testing.T, f *dutyFleet) {
			for n := range 6 {
				f.checkLevel(t, fmt.Sprint("e", n), duties.Full)
			}
		})
	}
}

// Guards against an entry of unknown strength that steps down, or that others count as strong.
func TestUnknownStrengthIsNotStrong(t *testing.T) {
	inDutyFleet(t, 0, weakCPU, func(_ context.Context, t *testing.T, f *dutyFleet) {
		f.checkLevel(t, "e0", duties.Full)
		f.checkLevel(t, "e4", duties.Full)
	})
}

// Guards against a restart of all entries that deals the partitions anew for each weak entry
// twice, because it joins before it knows the strong ones, and cancels running items each time.
func TestWeakEntriesDoNotJoinAndLeaveAfterRestart(t *testing.T) {
	inDutyFleet(t, strongCPU, weakCPU, func(ctx context.Context, t *testing.T, f *dutyFleet) {
		for n := range 6 {
			f.stop(fmt.Sprint("e", n))
		}
		f.mu.Lock()
		f.asking = true
		before, strengths := f.generation, maps.Clone(f.strengths)
		f.mu.Unlock()
		for n := range 6 {
			f.start(ctx, fmt.Sprint("e", n), strengths[fmt.Sprint("e", n)].CPUShare)
		}
		if gap := f.longestGap(settleTime); gap > takeOverBound {
			t.Errorf("a partition had no runner for %s after the restart, want at most %s", gap, takeOverBound)
		}
		f.checkLevel(t, "e4", duties.None)
		f.checkLevel(t, "e5", duties.None)
		f.mu.Lock()
		defer f.mu.Unlock()
		if dealt := f.generation - before; dealt > 0 {
			t.Errorf("the partitions were dealt anew %d times after a restart of all entries, want none: the members are the same", dealt)
		}
	})
}

// Guards against an entry that has just gone on standby and reads the owners as rarely as a
// member, so that it notices late that all strong members are lost.
func TestWeakEntryReadsOwnersSoonAfterFirstDecision(t *testing.T) {
	inDutyFleet(t, strongCPU, weakCPU, func(ctx context.Context, t *testing.T, f *dutyFleet) {
		f.stop("e4")
		f.start(ctx, "e4", weakCPU)
		time.Sleep(firstJoinWait)
		f.checkLevel(t, "e4", duties.None)
		f.stop("e5")
		for n := range 4 {
			f.stop(fmt.Sprint("e", n))
		}
		const bound = standbyOwnersInterval + time.Second
		if gap := f.longestGap(3 * bound); gap > bound {
			t.Errorf("a partition had no runner for %s, want at most %s", gap, bound)
		}
	})
}

// Guards against a weak entry that joins and leaves again and again while it reaches the store
// but no other entry, because it remembers their strengths.
func TestWeakEntryThatIsCutOffStaysInTheGroup(t *testing.T) {
	inDutyFleet(t, strongCPU, weakCPU, func(_ context.Context, t *testing.T, f *dutyFleet) {
		f.mu.Lock()
		f.cutOff = "e4"
		before := f.standbys
		f.mu.Unlock()
		time.Sleep(3 * settleTime)
		f.checkLevel(t, "e4", duties.Full)
		f.mu.Lock()
		defer f.mu.Unlock()
		if got := f.standbys - before; got != 1 {
			t.Errorf("%d changes between standby and membership within %s, want 1", got, 3*settleTime)
		}
	})
}
