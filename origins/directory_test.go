package origins_test

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"pgregory.net/rapid"

	"pumiceford/logging"
	"pumiceford/metrics"
	"pumiceford/origins"
	"pumiceford/quarantine"
	"pumiceford/targets"
	"pumiceford/wire"
)

const service = "s"

var instanceSoftware = targets.Software{Service: service, Version: "v1.1"}

// world is a registry of targets, the agents beside them and the entries, each of which may be
// cut off from the registry or from the agents.
type world struct {
	began   time.Time
	mu      sync.Mutex
	targets map[string]targets.Instance // registered, by ID
	leftAt  map[string]time.Time        // targets that are not registered any more
	runs    map[string]string           // version that runs, by ID
	log     []targets.Instance          // all registrations
	holders map[string]*origins.Holder  // by address of the target
	entries []*entry
}

// entry is one entry's view of the world. It implements the dependencies of a Directory.
type entry struct {
	w      *world
	cancel context.CancelFunc

	mu            sync.Mutex
	dir           *origins.Directory
	lag           time.Duration // between reads of the registry
	noRegistry    bool
	noAgents      bool
	changes       int // how often it was cut off, reconnected or started again
	known         []targets.Instance
	next          int // in the log of registrations
	confirmed     time.Duration
	everConfirmed bool
}

var errCut = errors.New("cut off")

func newWorld(ctx context.Context, entries int) *world {
	w := &world{
		began: time.Now(), targets: make(map[string]targets.Instance), leftAt: make(map[string]time.Time),
		runs: make(map[string]string), holders: make(map[string]*origins.Holder),
	}
	for range entries {
		w.entries = append(w.entries, &entry{w: w, lag: 100 * time.Millisecond})
	}
	for _, e := range w.entries {
		e.start(ctx)
	}
	return w
}

func (w *world) clock() time.Duration { return time.Since(w.began) }

// join registers a new target, or one that has started again at another version.
func (w *world) join(id, version string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	in := targets.Instance{ID: id, Addr: id, Service: service, Version: version, Slots: 8}
	w.targets[id] = in
	w.runs[id] = version
	w.log = append(w.log, in)
	if w.holders[id] == nil {
		w.holders[id] = origins.NewHolder(w.clock, metrics.New("agent"))
	}
}

// running returns the software that a target runs.
func (w *world) running(id string) targets.Software {
	w.mu.Lock()
	defer w.mu.Unlock()
	return targets.Software{Service: service, Version: w.runs[id]}
}

// leave ends a target's registration. The target and its agent go on.
func (w *world) leave(id string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	delete(w.targets, id)
	w.leftAt[id] = time.Now()
}

func (w *world) ids() []string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return slices.Sorted(maps.Keys(w.targets))
}

// start starts the entry, or starts it again without what it knew.
func (e *entry) start(ctx context.Context) {
	if e.cancel != nil {
		e.cancel()
	}
	ctx, e.cancel = context.WithCancel(ctx)
	dir := origins.NewDirectory(origins.Config{
		Registry: e, Agents: e, Entries: e, Clock: e.w.clock, Log: logging.Logger{}, Metrics: metrics.New("entry"),
	})
	e.mu.Lock()
	e.dir, e.known, e.everConfirmed = dir, nil, false
	e.changes++
	e.mu.Unlock()
	go dir.Run(ctx)
	go func() {
		for ctx.Err() == nil {
			e.read(dir)
			time.Sleep(e.interval())
		}
	}()
}

func (e *entry) directory() *origins.Directory {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.dir
}

func (e *entry) interval() time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.lag
}

// read reads the registry. It reports false if the entry is cut off from it.
func (e *entry) read(dir *origins.Directory) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.noRegistry || dir != e.dir {
		return false
	}
	at := e.w.clock() // of the start of the read
	e.w.mu.Lock()
	e.known = slices.Collect(maps.Values(e.w.targets))
	registered := e.w.log[e.next:]
	e.next = len(e.w.log)
	e.w.mu.Unlock()
	if e.everConfirmed { // the first read loads the newest state only
		dir.SawRegistrations(registered)
	}
	dir.SetTargets(e.known)
	e.confirmed, e.everConfirmed = at, true
	return true
}

func (e *entry) ConfirmedAt() (time.Duration, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.confirmed, e.everConfirmed
}

func (e *entry) Confirm(ctx context.Context, _ time.Duration) error {
	if !e.read(e.directory()) {
		<-ctx.Done()
		return errCut
	}
	return nil
}

func (e *entry) Origins(ctx context.Context, addr string, call *wire.OriginCall) (*wire.OriginReply, error) {
	e.mu.Lock()
	cut := e.noAgents
	e.mu.Unlock()
	e.w.mu.Lock()
	h := e.w.holders[addr]
	e.w.mu.Unlock()
	if cut || h == nil {
		<-ctx.Done()
		return nil, errCut
	}
	time.Sleep(2 * time.Millisecond)
	return h.Serve(call)
}

func (e *entry) VersionHistories(ctx context.Context) (out []*wire.VersionHistory) {
	for _, other := range e.w.entries {
		if other != e {
			out = append(out, other.directory().History(ctx))
		}
	}
	return out
}

func (e *entry) changeCount() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.changes
}

func (e *entry) setCut(noRegistry, noAgents bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.noRegistry, e.noAgents = noRegistry, noAgents
	e.changes++
}

// targetAt returns the target with the given number among those that the entry knows and that
// still run, nil if there is none.
func (e *entry) targetAt(n int, lingers time.Duration) *targets.Instance {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.w.mu.Lock()
	defer e.w.mu.Unlock()
	var alive []targets.Instance
	for _, in := range e.known {
		if left, gone := e.w.leftAt[in.ID]; !gone || time.Since(left) < lingers {
			alive = append(alive, in)
		}
	}
	if len(alive) == 0 {
		return nil
	}
	slices.SortFunc(alive, func(a, b targets.Instance) int { return cmpString(a.ID, b.ID) })
	return &alive[n%len(alive)]
}

func cmpString(a, b string) int {
	if a < b {
		return -1
	}
	return 1
}

// begun is a stream that an entry has begun.
type begun struct {
	stream origins.Stream
	at     time.Time
	by     *entry
	// written is the software that the target ran. It is not that of the stream if the target has
	// started again at another version and the entry does not know yet.
	written targets.Software
	changes int // of the entry by then
}

// mayBeMistaken reports whether nobody can know yet that the software of the stream is not what
// the entry took it for: the entry has to read the registry and to reach the agents first.
func (b begun) mayBeMistaken() bool {
	b.by.mu.Lock()
	defer b.by.mu.Unlock()
	undisturbed := b.by.changes == b.changes && !b.by.noRegistry && !b.by.noAgents
	return b.written != b.stream.Software && (!undisturbed || time.Since(b.at) < 2*b.by.lag)
}

func streamOf(n int, software targets.Software) origins.Stream {
	id := fmt.Sprint("attempt", n)
	return origins.Stream{Key: quarantine.NewKey("", "POST", "h", id, nil), Attempt: id, Software: software, Window: origins.MinWindow}
}

func queryOf(s origins.Stream) origins.Query {
	return origins.Query{Key: s.Key, FirstAttempt: s.Attempt, Service: service, Window: s.Window}
}

// Guards against an entry that refuses streams because it has just started and cannot record
// them, although others know that their version is not new.
func TestJustStartedEntryServesAKnownVersionWithoutRecords(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		ctx, stop := context.WithCancel(t.Context())
		w := newWorld(ctx, 2)
		w.join("t0", "v0")
		time.Sleep(20 * time.Second)
		e := w.entries[0]
		e.setCut(false, true)
		e.start(ctx)
		time.Sleep(50 * time.Millisecond)
		if err := e.directory().Begin(ctx, streamOf(1, targets.Software{Service: service, Version: "v0"})); err != nil {
			t.Errorf("stream at a version that is not new: %v", err)
		}
		w.join("t1", "v1")
		time.Sleep(time.Second)
		v1 := targets.Software{Service: service, Version: "v1"}
		if err := e.directory().Begin(ctx, streamOf(2, v1)); !errors.Is(err, origins.ErrNotRecorded) {
			t.Errorf("stream at a new version: %v, want ErrNotRecorded", err)
		}
		time.AfterFunc(time.Second, func() { e.setCut(false, false) })
		if err := e.directory().Begin(ctx, streamOf(3, v1)); err != nil {
			t.Errorf("stream at a new version while the agents restart: %v", err)
		}
		stop()
		e.setCut(false, false)
		time.Sleep(time.Minute)
		synctest.Wait()
	})
}

// operation is one step of a random history.
type operation struct {
	kind, a, b int
	pause      time.Duration
}

// Guards against a stream that is taken for one of another version than the one that began it,
// whatever versions come and go, and whichever entries are cut off from the registry or the
// agents, or start again without what they knew.
func TestNoStreamIsTakenForAnotherVersion(t *testing.T) {
	t.Parallel()
	const join, leave, begin, takeUp, cut, heal, restart, upgrade = 0, 1, 2, 3, 4, 5, 6, 7
	known := 0
	rapid.Check(t, func(rt *rapid.T) {
		ops := rapid.SliceOfN(rapid.Custom(func(rt *rapid.T) operation {
			return operation{
				kind: rapid.SampledFrom([]int{join, leave, begin, begin, begin, begin, takeUp, takeUp, takeUp, takeUp, cut, heal, restart, upgrade}).Draw(rt, "kind"),
				a:    rapid.IntRange(0, 99).Draw(rt, "a"), b: rapid.IntRange(0, 99).Draw(rt, "b"),
				pause: time.Duration(rapid.SampledFrom([]int{0, 5, 50, 400, 2500, 7000, 16000}).Draw(rt, "pause")) * time.Millisecond,
			}
		}), 20, 80).Draw(rt, "operations")
		versions := rapid.IntRange(2, 3).Draw(rt, "versions")
		lingers := time.Duration(rapid.IntRange(0, 40).Draw(rt, "seconds that a target goes on after its registration")) * time.Second
		warm := rapid.Bool().Draw(rt, "entries have run for a while")
		var failure string
		synctest.Test(t, func(t *testing.T) {
			ctx, stop := context.WithCancel(t.Context())
			w := newWorld(ctx, 3)
			w.join("t0", "v0")
			w.join("t1", "v0")
			time.Sleep(time.Second)
			if warm {
				time.Sleep(time.Minute)
			}
			var streams []begun
			for n, op := range ops {
				e := w.entries[op.a%len(w.entries)]
				switch op.kind {
				case join:
					w.join(fmt.Sprint("j", n), fmt.Sprint("v", op.b%versions))
				case leave:
					if ids := w.ids(); len(ids) > 1 {
						w.leave(ids[op.b%len(ids)])
					}
				case begin:
					in := e.targetAt(op.b, lingers)
					if in == nil {
						continue
					}
					s := streamOf(n, in.Software())
					s.Instance = in.ID
					b := begun{stream: s, by: e, written: w.running(in.ID), changes: e.changeCount()}
					if e.directory().Begin(ctx, s) == nil {
						b.at = time.Now()
						streams = append(streams, b)
					}
				case takeUp:
					if len(streams) == 0 {
						continue
					}
					b := streams[len(streams)-1-op.b%min(len(streams), 4)]
					if time.Since(b.at) > b.stream.Window {
						continue
					}
					mistaken := b.mayBeMistaken()
					got, basis, err := e.directory().Resolve(ctx, queryOf(b.stream))
					if err == nil {
						known++
					}
					if err == nil && got != b.written && !mistaken && failure == "" {
						failure = fmt.Sprintf("operation %d: %s began at %v and is taken for %v, known from %s", n, b.stream.Attempt, b.written, got, basis)
					}
				case cut:
					e.setCut(op.b%2 == 0, op.b%3 == 0)
				case heal:
					e.setCut(false, false)
				case restart:
					e.start(ctx)
				case upgrade:
					ids := w.ids()
					w.join(ids[op.b%len(ids)], fmt.Sprint("v", op.a%versions))
				}
				time.Sleep(op.pause)
			}
			stop()
			for _, e := range w.entries {
				e.setCut(false, false)
			}
			time.Sleep(time.Minute)
			synctest.Wait()
		})
		if failure != "" {
			rt.Fatal(failure)
		}
	})
	if known == 0 {
		t.Error("no stream was known")
	}
}
