package seats_test

import (
	"context"
	"net"
	"runtime"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"

	"pumiceford/link"
	"pumiceford/logging"
	"pumiceford/metrics"
	"pumiceford/seats"
	"pumiceford/targets"
	"pumiceford/wire"
)

// gauge is a target whose load the test sets.
type gauge struct {
	mu   sync.Mutex
	load seats.Load
	fail bool
}

func (g *gauge) set(load seats.Load, fail bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.load, g.fail = load, fail
}

func (g *gauge) Load(context.Context) (seats.Load, error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.fail {
		return seats.Load{}, errors.New("no answer")
	}
	return g.load, nil
}

// pair connects an entry's peer with an agent in virtual time.
type pair struct {
	gauge *gauge
	agent *seats.Agent
	peer  *link.Peer
}

func connect(ctx context.Context, load seats.Load) *pair {
	p := &pair{gauge: &gauge{load: load}}
	p.agent = seats.NewAgent(seats.AgentConfig{Name: unreserved(), Gauge: p.gauge, Log: logging.Logger{}, Metrics: metrics.New("test")})
	go p.agent.Run(ctx)
	p.peer = link.NewPeer(link.Config{Node: "entry", Dial: func(context.Context, string) (net.Conn, error) {
		a, b := net.Pipe()
		go link.ServeConn(ctx, b, link.Config{Node: "agent", Handle: p.agent.Handle})
		return a, nil
	}}, "agent")
	time.Sleep(100 * time.Millisecond)
	// The first who asks tells the agent of the target's slots.
	if seat, _, err := seats.Acquire(ctx, p.peer, target, time.Now()); err == nil && seat != nil {
		seat.Close()
	}
	time.Sleep(800 * time.Millisecond) // the slots have been free for a while
	return p
}

var target = targets.Instance{ID: "i", Slots: 2}

// bubble runs fn in virtual time. yamux keeps timers in a pool of the whole
// process; collecting twice empties it, so that none reaches from one bubble into
// another.
func bubble(t *testing.T, fn func(ctx context.Context, t *testing.T)) {
	t.Helper()
	runtime.GC()
	runtime.GC()
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		fn(ctx, t)
		cancel()
		synctest.Wait()
	})
}

// unreserved returns a host whose agent keeps no slot free.
func unreserved() string {
	name := "host"
	for seats.Reserve(name) > 0 {
		name += "x"
	}
	return name
}

// A seat is granted, asked back when an online request waits, and free for the
// next after it was given back.
func TestSeatThroughAPeak(t *testing.T) {
	bubble(t, func(ctx context.Context, t *testing.T) {
		p := connect(ctx, seats.Load{Active: 1})
		seat, load, err := seats.Acquire(ctx, p.peer, target, time.Now())
		if err != nil || seat == nil || load.GetActive() != 1 {
			t.Fatalf("seat %v, load %v, %v", seat, load, err)
		}
		if again, _, err := seats.Acquire(ctx, p.peer, target, time.Now()); again != nil || err != nil {
			t.Fatalf("a third request of two slots: %v %v", again, err)
		}
		p.gauge.set(seats.Load{Active: 2, Queued: 1}, false)
		select {
		case <-seat.Yield:
		case <-time.After(100 * time.Millisecond):
			t.Fatal("the seat was not asked back within 100 ms")
		}
		seat.Close()
		p.gauge.set(seats.Load{Active: 1}, false)
		time.Sleep(300 * time.Millisecond)
		if seat, _, err := seats.Acquire(ctx, p.peer, target, time.Now()); seat == nil || err != nil {
			t.Fatalf("after the peak: %v %v", seat, err)
		}
		p.peer.Close()
	})
}

// Symptom: batch goes to a target that is dead.
// Sequence: the target stops answering; its agent lives.
// Cause: the agent granted seats by the last load that it had heard.
func TestNoSeatsAtASilentTarget(t *testing.T) {
	bubble(t, func(ctx context.Context, t *testing.T) {
		p := connect(ctx, seats.Load{})
		p.gauge.set(seats.Load{}, true)
		time.Sleep(2 * time.Second)
		if seat, _, err := seats.Acquire(ctx, p.peer, target, time.Now()); seat != nil || err != nil {
			t.Fatalf("seat %v, %v", seat, err)
		}
		p.peer.Close()
	})
}

// A watcher is told of a change within some 30 ms, is told again while nothing
// changes, and is told nothing of a target that does not answer.
func TestWatchTellsChangesAndLife(t *testing.T) {
	bubble(t, func(ctx context.Context, t *testing.T) {
		p := connect(ctx, seats.Load{Active: 1})
		var mu sync.Mutex
		var last *wire.Load
		told := 0
		watch, stop := context.WithCancel(ctx)
		go seats.Watch(watch, p.peer, target, func(l *wire.Load) {
			mu.Lock()
			defer mu.Unlock()
			last, told = l, told+1
		})
		seen := func() (*wire.Load, int) {
			mu.Lock()
			defer mu.Unlock()
			return last, told
		}
		time.Sleep(time.Second)
		if l, n := seen(); l.GetActive() != 1 || n < 3 || n > 6 {
			t.Fatalf("told %d times in a second, last %v", n, l)
		}
		p.gauge.set(seats.Load{Active: 2, Queued: 3}, false)
		time.Sleep(40 * time.Millisecond)
		if l, _ := seen(); l.GetQueued() != 3 {
			t.Fatalf("after 40 ms: %v", l)
		}
		p.gauge.set(seats.Load{}, true)
		time.Sleep(time.Second)
		mu.Lock()
		last = nil
		before := told
		mu.Unlock()
		time.Sleep(2 * time.Second)
		// All that is told from then on is that it does not answer, and no more often
		// than any unchanged load.
		if l, after := seen(); !l.GetSilent() || after-before > 9 {
			t.Fatalf("told %d times of a target that does not answer, last %v", after-before, l)
		}
		stop()
		p.peer.Close()
	})
}

// Symptom: a stopping agent leaves items that nobody can ask to leave.
func TestAStoppingAgentAsksAllSeatsBack(t *testing.T) {
	bubble(t, func(ctx context.Context, t *testing.T) {
		p := connect(ctx, seats.Load{})
		seat, _, err := seats.Acquire(ctx, p.peer, target, time.Now())
		if err != nil || seat == nil {
			t.Fatalf("seat %v, %v", seat, err)
		}
		p.agent.Leave()
		select {
		case <-seat.Yield:
		case <-time.After(100 * time.Millisecond):
			t.Fatal("the seat was not asked back")
		}
		if again, _, _ := seats.Acquire(ctx, p.peer, target, time.Now()); again != nil {
			t.Fatal("a seat was granted by a stopping agent")
		}
		seat.Close()
		p.peer.Close()
	})
}

// Symptom: each entry sends requests to a dark target until it has found out by
// itself, though the agent beside the target knows.
// Sequence: the target stops answering; an entry watches its load. Later two entries
// tell of failed requests.
// Cause: an agent without news kept silent, and entries told nobody.
func TestAnAgentTellsOfASilentAndAFailingTarget(t *testing.T) {
	bubble(t, func(ctx context.Context, t *testing.T) {
		p := connect(ctx, seats.Load{Active: 1})
		var mu sync.Mutex
		var last *wire.Load
		go seats.Watch(ctx, p.peer, target, func(l *wire.Load) {
			mu.Lock()
			defer mu.Unlock()
			last = l
		})
		word := func() *wire.Load {
			time.Sleep(450 * time.Millisecond)
			mu.Lock()
			defer mu.Unlock()
			return last
		}
		if l := word(); l.GetSilent() || l.GetWitnesses() != 0 {
			t.Errorf("at first: %v", l)
		}
		p.gauge.set(seats.Load{}, true)
		if l := word(); !l.GetSilent() {
			t.Errorf("the target does not answer: %v", l)
		}
		p.gauge.set(seats.Load{Active: 1}, false)
		seats.TellFault(p.peer, "a")
		seats.TellFault(p.peer, "b")
		seats.TellFault(p.peer, "b")
		if l := word(); l.GetSilent() || l.GetWitnesses() != 2 {
			t.Errorf("two entries told of failures: %v", l)
		}
		time.Sleep(2 * time.Second)
		if l := word(); l.GetWitnesses() != 0 {
			t.Errorf("two seconds later: %v", l)
		}
	})
}

// A target crashed under a request, two entries told its agent of it, and it was back within
// two seconds. The new one was in doubt for what the old one had done: with few others left
// it got the requests last.
func TestANewLifeOfATargetIsNotDoubted(t *testing.T) {
	bubble(t, func(ctx context.Context, t *testing.T) {
		p := connect(ctx, seats.Load{Active: 1})
		var witnesses atomic.Uint32
		go seats.Watch(ctx, p.peer, target, func(l *wire.Load) { witnesses.Store(l.GetWitnesses()) })
		const settles = 450 * time.Millisecond
		time.Sleep(settles)
		seats.TellFault(p.peer, "a")
		seats.TellFault(p.peer, "b")
		p.gauge.set(seats.Load{}, true)
		time.Sleep(settles)
		if n := witnesses.Load(); n != 2 {
			t.Errorf("%d entries told of failures of the old one", n)
		}
		p.gauge.set(seats.Load{}, false)
		time.Sleep(settles)
		if n := witnesses.Load(); n != 0 {
			t.Errorf("%d entries told of failures of the new one", n)
		}
	})
}
