package quarantine_test

import (
	"context"
	"net"
	"testing"
	"time"

	"pumiceford/link"
	"pumiceford/logging"
	"pumiceford/metrics"
	"pumiceford/quarantine"
	"pumiceford/standin/sharedstore"
	"pumiceford/store"
	"pumiceford/targets"
	"pumiceford/wire"
)

// crashed is a Prober all of whose targets have crashed.
type crashed struct{}

func (crashed) Crashed(context.Context, targets.Instance) bool { return true }

func newKeeper() *quarantine.Keeper {
	return quarantine.NewKeeper(quarantine.Config{Prober: crashed{}, Metrics: metrics.New("n")})
}

// crash has a request crash so many targets, as one process saw it.
func crash(k *quarantine.Keeper, key quarantine.Key, at ...string) {
	for _, id := range at {
		k.Broke(context.Background(), quarantine.Run{Key: key, Target: targets.Instance{ID: id}})
	}
}

// patience is how long a test waits for what has to come, far above what it takes.
const patience = 30 * time.Second

func await(t *testing.T, what string, ok func() bool) {
	t.Helper()
	for deadline := time.Now().Add(patience); time.Now().Before(deadline); time.Sleep(time.Millisecond) {
		if ok() {
			return
		}
	}
	t.Fatalf("%s did not come", what)
}

func held(k *quarantine.Keeper, key quarantine.Key) bool {
	_, is := k.Held(key)
	return is
}

// agent serves a keeper as the agents do, and returns its address.
func agent(ctx context.Context, t *testing.T, k *quarantine.Keeper) string {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	handle := func(ctx context.Context, _ link.Class, _ *wire.Call, st *link.Stream) { k.Exchange(ctx, st) }
	go func() { _ = link.Serve(ctx, ln, link.Config{Node: "agent", Handle: handle}) }() // it ends with ctx
	return ln.Addr().String()
}

// Entries do not know each other. A request crashed one target at one entry and two at
// another, which shared no more than an agent; a third entry that watched another agent
// only, and one that had just started, have to hold it as well, and to release it when it
// is cleared anywhere.
func TestEntriesLearnThroughAgents(t *testing.T) {
	ctx := t.Context()
	first, second := agent(ctx, t, newKeeper()), agent(ctx, t, newKeeper())
	follow := func(k *quarantine.Keeper, addrs ...string) {
		for _, addr := range addrs {
			peer := link.NewPeer(link.Config{Node: "entry"}, addr)
			t.Cleanup(peer.Close)
			go quarantine.Follow(ctx, peer, k)
		}
	}
	a, b, c, fresh := newKeeper(), newKeeper(), newKeeper(), newKeeper()
	follow(a, first)
	follow(b, first, second)
	follow(c, second)
	key := keyed(1)
	crash(a, key, "t1")
	crash(b, key, "t2", "t3")
	for name, k := range map[string]*quarantine.Keeper{"a": a, "b": b, "c": c} {
		await(t, "the hold at "+name, func() bool { return held(k, key) })
	}
	follow(fresh, second)
	await(t, "the hold at a fresh entry", func() bool { return held(fresh, key) })
	if !fresh.Clear(key) {
		t.Fatal("nothing to clear")
	}
	for name, k := range map[string]*quarantine.Keeper{"a": a, "b": b, "c": c} {
		await(t, "the release at "+name, func() bool { return !held(k, key) })
	}
}

// All processes end at once, while a part of the store is away. Those that start then must
// not learn anew by crashed targets. What is cleared later is dropped from the store, also
// from the part that was away, or it would be held again at the next start.
func TestHeldRequestsOutliveAllProcesses(t *testing.T) {
	const topic, parts = "quarantine", 6
	s := sharedstore.New(parts)
	at := store.Spread(topic, parts, 3)
	run := func(k *quarantine.Keeper) context.CancelFunc {
		ctx, stop := context.WithCancel(t.Context())
		go quarantine.NewArchive(k, s.For("n"), topic, parts, logging.Logger{}).Run(ctx)
		return stop
	}
	kept := func(p store.Partition) bool {
		all, err := s.For("n").Newest(t.Context(), p, "")
		return err == nil && len(all.Records) > 0
	}
	key := keyed(1)
	s.SetDown(at[0], true)
	old := newKeeper()
	stop := run(old)
	crash(old, key, "t1", "t2", "t3")
	await(t, "two copies", func() bool { return kept(at[1]) && kept(at[2]) })
	stop()
	s.SetDown(at[1], true)
	next := newKeeper()
	defer run(next)()
	await(t, "the hold in a new process", func() bool { return held(next, key) })
	s.SetDown(at[0], false)
	s.SetDown(at[1], false)
	next.Served(key)
	await(t, "the end of all copies", func() bool { return !kept(at[0]) && !kept(at[1]) && !kept(at[2]) })
	after := newKeeper()
	defer run(after)()
	crash(after, keyed(2), "t1", "t2", "t3")
	await(t, "a copy of another one", func() bool { return kept(at[0]) && kept(at[1]) && kept(at[2]) })
	if held(after, key) {
		t.Error("held again by a copy")
	}
}
