package runner_test

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"pumiceford/seats"
	"pumiceford/standin/sharedstore"
	"pumiceford/store"
	"pumiceford/targets"
)

// agents answers reservations and counts those that wait and the seats that are held.
type agents struct {
	mu       sync.Mutex
	asked    map[string]int // by target
	waiting  int
	held     int
	grantAt  func(target string) bool
	patience bool // grants arrive after a cancellation too
}

func (a *agents) reserve(ctx context.Context, in targets.Instance) *seats.Seat {
	a.mu.Lock()
	a.asked[in.ID]++
	a.waiting++
	a.mu.Unlock()
	defer func() {
		a.mu.Lock()
		defer a.mu.Unlock()
		a.waiting--
	}()
	for {
		select {
		case <-ctx.Done():
			if !a.patience {
				return nil
			}
		case <-time.After(50 * time.Millisecond):
		}
		a.mu.Lock()
		granted := a.grantAt(in.ID)
		if granted {
			a.held++
		}
		a.mu.Unlock()
		if granted {
			return seats.NewSeat(make(chan struct{}), func() {
				a.mu.Lock()
				defer a.mu.Unlock()
				a.held--
			})
		}
		if ctx.Err() != nil {
			return nil
		}
	}
}

func (a *agents) state() (asked map[string]int, waiting, held int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	asked = make(map[string]int)
	for id, n := range a.asked {
		asked[id] = n
	}
	return asked, a.waiting, a.held
}

// startFull returns a node with targets i0 to i2 that has no free seat, and its agents, which
// grant reservations where grantAt says so.
func startFull(ctx context.Context, s *sharedstore.Store, e *engine, grantAt func(target string) bool) (*node, *agents) {
	ag := &agents{asked: make(map[string]int), grantAt: grantAt}
	n := startNode(ctx, s, e, "a")
	n.seats.reserve = ag.reserve
	n.seats.setRefusing(true)
	for i := range 3 {
		n.view.TargetSink().Apply(store.Record{Key: fmt.Sprint("i", i), Value: []byte("1")})
	}
	time.Sleep(joinTime)
	return n, ag
}

// Guards against items that wait until they happen to ask an agent at the right time: an item
// without a free seat waits at three agents, starts once in the seat that one of them grants,
// and leaves no reservation behind.
func TestItemStartsInReservedSeat(t *testing.T) {
	inBubble(t, func(ctx context.Context, t *testing.T, s *sharedstore.Store, e *engine) {
		n, ag := startFull(ctx, s, e, func(target string) bool { return target == "i1" })
		acceptJob(ctx, t, n, "job", 1)
		time.Sleep(500 * time.Millisecond)
		if asked, waiting, held := ag.state(); len(asked) != 3 || waiting != 0 || held != 1 {
			t.Errorf("asked %v, %d reservations and %d seats left, want 3 targets asked, no reservation and one seat", asked, waiting, held)
		}
		time.Sleep(2 * itemDuration)
		checkFinished(ctx, t, n, "job", 1)
		if to := e.sentTo("job-0"); len(to) != 1 || to[0] != "i1" {
			t.Errorf("item sent to %v, want i1", to)
		}
		if _, waiting, held := ag.state(); waiting != 0 || held != 0 {
			t.Errorf("%d reservations and %d seats left", waiting, held)
		}
	})
}

// Guards against an item that runs twice, or a seat that nobody gives back, when several
// agents grant its reservations at the same time.
func TestSecondGrantIsGivenBack(t *testing.T) {
	inBubble(t, func(ctx context.Context, t *testing.T, s *sharedstore.Store, e *engine) {
		n, ag := startFull(ctx, s, e, func(string) bool { return true })
		ag.patience = true
		acceptJob(ctx, t, n, "job", 1)
		time.Sleep(500 * time.Millisecond)
		if _, _, held := ag.state(); held != 1 {
			t.Errorf("%d seats held for one item", held)
		}
		time.Sleep(2 * itemDuration)
		checkFinished(ctx, t, n, "job", 1)
		if runs := e.runs("job-0"); len(runs) != 1 {
			t.Errorf("item ran %d times, want 1", len(runs))
		}
	})
}

// Guards against items that wait for dead agents: none answers, and still the item takes a
// seat that becomes free anywhere, and is reserved again and again, a bounded number of times.
func TestDeadAgentsKeepNoItem(t *testing.T) {
	inBubble(t, func(ctx context.Context, t *testing.T, s *sharedstore.Store, e *engine) {
		n, ag := startFull(ctx, s, e, func(string) bool { return false })
		acceptJob(ctx, t, n, "job", 10)
		const wait = 5
		time.Sleep(wait * time.Second)
		asked, waiting, _ := ag.state()
		total := 0
		for _, k := range asked {
			total += k
		}
		// Four items at a time, each at three agents, for a second.
		const perSecond = 12
		if waiting > perSecond || total < (wait-1)*perSecond || total > (wait+1)*perSecond {
			t.Errorf("%d reservations in %d s, %d wait; want 12 a second", total, wait, waiting)
		}
		n.seats.setRefusing(false)
		time.Sleep(2 * itemDuration)
		checkFinished(ctx, t, n, "job", 10)
		if _, waiting, _ := ag.state(); waiting != 0 {
			t.Errorf("%d reservations left", waiting)
		}
	})
}

// Guards against an item that reaches a target that began to drain while the item waited
// there.
func TestReservedSeatAtDrainingTargetIsNotUsed(t *testing.T) {
	inBubble(t, func(ctx context.Context, t *testing.T, s *sharedstore.Store, e *engine) {
		var n *node
		gone := false
		n, ag := startFull(ctx, s, e, func(target string) bool {
			if target == "i0" && !gone {
				gone = true
				n.view.TargetSink().Apply(store.Record{Key: "i0"})
			}
			return true
		})
		acceptJob(ctx, t, n, "job", 3)
		time.Sleep(3 * itemDuration)
		checkFinished(ctx, t, n, "job", 3)
		for i := range 3 {
			for _, to := range e.sentTo(fmt.Sprint("job-", i)) {
				if to == "i0" {
					t.Errorf("item %d sent to the draining i0", i)
				}
			}
		}
		if _, _, held := ag.state(); held != 0 {
			t.Errorf("%d seats left", held)
		}
	})
}

// Guards against items of accepted jobs that wait while the store is silent: reservations are
// left and used then as well.
func TestReservedSeatIsUsedDuringOutage(t *testing.T) {
	inBubble(t, func(ctx context.Context, t *testing.T, s *sharedstore.Store, e *engine) {
		var mu sync.Mutex
		free := false
		n, _ := startFull(ctx, s, e, func(string) bool {
			mu.Lock()
			defer mu.Unlock()
			return free
		})
		acceptJob(ctx, t, n, "job", 2)
		time.Sleep(time.Second)
		s.SetFault("a", sharedstore.NoResponse)
		time.Sleep(4 * time.Second)
		mu.Lock()
		free = true
		mu.Unlock()
		time.Sleep(2 * itemDuration)
		for i := range 2 {
			if runs := e.runs(fmt.Sprint("job-", i)); len(runs) != 1 {
				t.Errorf("item %d ran %d times during the outage, want 1", i, len(runs))
			}
		}
		s.SetFault("a", sharedstore.NoFault)
		time.Sleep(5 * time.Second)
		checkFinished(ctx, t, n, "job", 2)
	})
}

// Guards against an item that stays until it is late at a target that has become slow while a
// faster one has a free seat. Its text is kept.
func TestLateItemMovesToFasterTarget(t *testing.T) {
	inBubble(t, func(ctx context.Context, t *testing.T, s *sharedstore.Store, e *engine) {
		e.slowAtFirst()
		n := startNode(ctx, s, e, "a")
		n.view.TargetSink().Apply(store.Record{Key: "i1", Value: []byte("1")})
		time.Sleep(joinTime)
		acceptJob(ctx, t, n, "job", 1)
		time.Sleep(3*slowInterval + 2*itemDuration)
		checkFinished(ctx, t, n, "job", 1)
		if runs := e.runs("job-0"); len(runs) != 2 || runs[1] == 0 {
			t.Errorf("runs began after events %v, want two, the second not from the start", runs)
		}
		if to := e.sentTo("job-0"); len(to) == 2 && to[0] == to[1] {
			t.Errorf("item sent to %v", to)
		}
	})
}

// Guards against an item that moves for ever because the estimates are wrong: all targets are
// as slow as the one where it runs.
func TestWrongEstimatesMoveAnItemTwiceAtMost(t *testing.T) {
	inBubble(t, func(ctx context.Context, t *testing.T, s *sharedstore.Store, e *engine) {
		e.slow = func(string) bool { return true }
		n := startNode(ctx, s, e, "a")
		n.view.TargetSink().Apply(store.Record{Key: "i1", Value: []byte("1")})
		time.Sleep(joinTime)
		acceptJob(ctx, t, n, "job", 1)
		time.Sleep((events + 10) * slowInterval)
		checkFinished(ctx, t, n, "job", 1)
		if runs := e.runs("job-0"); len(runs) < 2 || len(runs) > 3 {
			t.Errorf("item ran %d times, want a move or two", len(runs))
		}
	})
}
