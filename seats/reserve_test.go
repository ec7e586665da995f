package seats_test

import (
	"cmp"
	"context"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"pgregory.net/rapid"

	"pumiceford/link"
	"pumiceford/seats"
)

// before is the order that a reservation is granted in, for items that are all due late enough.
func before(a, b seats.Request) int {
	late := map[bool]int{true: 1}
	return cmp.Or(cmp.Compare(a.Rank, b.Rank), cmp.Compare(a.Excess, b.Excess), cmp.Compare(late[a.Late], late[b.Late]))
}

// Whatever is reserved, cancelled, acquired, released and reported: no seat is granted twice,
// no more seats are held than there are slots, the most pressing reservation gets the next
// seat, none waits while a seat can be granted, and their number is bounded.
func TestReservationsAreGrantedInOrder(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		slots := rapid.IntRange(1, 6).Draw(rt, "slots")
		a := seats.NewArbiter(slots, 0)
		now := start
		waiting, held := make(map[uint64]seats.Request), make(map[uint64]bool)
		var order []uint64
		for range rapid.IntRange(1, 120).Draw(rt, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 100).Draw(rt, "ms")) * time.Millisecond)
			req := seats.Request{
				Due: now.Add(time.Hour), Rank: rapid.IntRange(0, 1).Draw(rt, "rank"),
				Excess: float64(rapid.IntRange(0, 1).Draw(rt, "excess")), Late: rapid.Bool().Draw(rt, "late"),
			}
			switch rapid.IntRange(0, 4).Draw(rt, "step") {
			case 0:
				if id, ok := a.Reserve(now, req); ok {
					waiting[id] = req
					order = append(order, id)
				}
			case 1:
				if len(order) > 0 {
					a.Cancel(order[0])
					delete(waiting, order[0])
					order = order[1:]
				}
			case 2:
				if id, ok := a.Acquire(now, req); ok {
					for _, other := range waiting {
						if before(other, req) < 0 {
							rt.Fatalf("Acquire granted %+v a seat for which %+v waits", req, other)
						}
					}
					held[id] = true
				}
			case 3:
				for id := range held {
					a.Release(id)
					delete(held, id)
					break
				}
			default:
				load := seats.Load{Active: rapid.IntRange(0, slots).Draw(rt, "active"), Queued: rapid.IntRange(0, 2).Draw(rt, "queued")}
				a.Report(now, load)
			}
			for id, ok := a.GrantNext(now); ok; id, ok = a.GrantNext(now) {
				mine, known := waiting[id]
				if !known || held[id] {
					rt.Fatalf("granted %d, which does not wait", id)
				}
				delete(waiting, id)
				held[id] = true
				for _, other := range waiting {
					if before(other, mine) < 0 {
						rt.Fatalf("granted %+v before %+v", mine, other)
					}
				}
			}
			if a.Held() > slots || a.Held() != len(held) || a.Waiting() != len(waiting) {
				rt.Fatalf("%d seats held and %d reservations, want %d and %d, and at most %d seats", a.Held(), a.Waiting(), len(held), len(waiting), slots)
			}
			if a.FreeSeats(now) > 0 && len(waiting) > 0 {
				rt.Fatalf("%d reservations wait beside %d free seats", len(waiting), a.FreeSeats(now))
			}
		}
	})
}

// Guards against reservations that grow without bound.
func TestReservationsAreBounded(t *testing.T) {
	a, now := idle(0, 0)
	taken := 0
	for range 1000 {
		if _, ok := a.Reserve(now, seats.Request{}); ok {
			taken++
		}
	}
	if taken != 600 || a.Waiting() != taken {
		t.Fatalf("%d reservations taken, want 600", taken)
	}
}

// Guards against an item of a low rank that waits as long as urgent items keep coming: after
// 20 s it gets one of the next 16 seats.
func TestLongWaitEnds(t *testing.T) {
	a, now := idle(1, 0)
	old, _ := a.Reserve(now, seats.Request{Rank: 9, Due: now, Waited: 20 * time.Second})
	for n := range 16 {
		if _, ok := a.Reserve(now, seats.Request{Due: now.Add(time.Hour)}); !ok {
			t.Fatal("no reservation taken")
		}
		id, ok := a.GrantNext(now)
		if !ok {
			t.Fatalf("grant %d: none", n)
		}
		if id == old {
			return
		}
		a.Release(id)
		now = now.Add(later)
		a.Report(now, seats.Load{})
		now = now.Add(later)
	}
	t.Error("the item that waits longest got none of 16 seats")
}

func BenchmarkGrantAmong600(b *testing.B) {
	a, now := idle(2, 0)
	for n := range 600 {
		if _, ok := a.Reserve(now, seats.Request{Due: now.Add(time.Duration(n*7%600) * time.Hour), Rank: n % 3, Excess: float64(n % 5)}); !ok {
			b.Fatal("no reservation taken")
		}
	}
	b.ReportAllocs()
	for b.Loop() {
		id, ok := a.GrantNext(now)
		if !ok {
			b.Fatal("no seat granted")
		}
		a.Release(id)
		if _, ok := a.Reserve(now, seats.Request{Due: now.Add(300 * time.Hour), Rank: 1}); !ok {
			b.Fatal("no reservation taken")
		}
		now = now.Add(later)
	}
}

func BenchmarkAcquireBeside600(b *testing.B) {
	a, now := idle(2, 0)
	for n := range 600 {
		if _, ok := a.Reserve(now, seats.Request{Due: now.Add(time.Duration(n) * time.Hour), Rank: 1 + n%3}); !ok {
			b.Fatal("no reservation taken")
		}
	}
	b.ReportAllocs()
	for b.Loop() {
		id, ok := a.Acquire(now, seats.Request{Due: now.Add(time.Hour)})
		if !ok {
			b.Fatal("no seat granted")
		}
		a.Release(id)
		now = now.Add(later)
	}
}

// entry returns a peer of the fixture's agent, and a function that stops all data in both
// directions without an error at either end.
func (f *fixture) entry(ctx context.Context) (*link.Peer, func()) {
	var cut atomic.Bool
	peer := link.NewPeer(link.Config{Node: "other", Dial: func(context.Context, string) (net.Conn, error) {
		a, b := net.Pipe()
		go link.ServeConn(ctx, &silentConn{Conn: b, cut: &cut}, link.Config{Node: "agent", Handle: f.agent.Handle})
		return &silentConn{Conn: a, cut: &cut}, nil
	}}, "agent")
	return peer, func() { cut.Store(true) }
}

// silentConn drops what is written once it is cut.
type silentConn struct {
	net.Conn
	cut *atomic.Bool
}

func (c *silentConn) Write(b []byte) (int, error) {
	if c.cut.Load() {
		return len(b), nil
	}
	return c.Conn.Write(b)
}

// reserved is the result of one reservation.
type reserved struct {
	seat *seats.Seat
	err  error
}

func reserveSeat(ctx context.Context, peer *link.Peer, req seats.Request, limit time.Duration) <-chan reserved {
	out := make(chan reserved, 1)
	go func() {
		seat, err := seats.Reserve(ctx, peer, target, req, limit)
		out <- reserved{seat, err}
	}()
	return out
}

// checkBothSeatsFree checks that both slots of the fixture's target can be granted.
func (f *fixture) checkBothSeatsFree(ctx context.Context, t *testing.T) {
	t.Helper()
	for n := range 2 {
		if seat, _, err := seats.Acquire(ctx, f.peer, target, seats.Request{Due: time.Now()}); seat == nil || err != nil {
			t.Errorf("got %d seats (%v), want both", n, err)
		}
	}
}

// Guards against seats that go to whoever asks first: of two items that wait, the one of the
// more urgent rank gets the next seat, and the other the one after that.
func TestMostPressingReservationIsGranted(t *testing.T) {
	inVirtualTime(t, func(ctx context.Context, t *testing.T) {
		f := connect(ctx, seats.Load{Active: 2})
		second := reserveSeat(ctx, f.peer, seats.Request{Due: time.Now(), Rank: 1}, 2*time.Second)
		time.Sleep(50 * time.Millisecond)
		first := reserveSeat(ctx, f.peer, seats.Request{Due: time.Now()}, 2*time.Second)
		time.Sleep(50 * time.Millisecond)
		f.target.set(seats.Load{Active: 1}, false)
		if g := <-first; g.seat == nil {
			t.Fatalf("got no seat, error %v", g.err)
		}
		f.target.set(seats.Load{Active: 2}, false) // the item runs
		time.Sleep(500 * time.Millisecond)
		if len(second) > 0 {
			t.Fatal("the less urgent item got a seat as well")
		}
		f.target.set(seats.Load{}, false)
		if g := <-second; g.seat == nil {
			t.Fatalf("second item: got no seat, error %v", g.err)
		}
		f.peer.Close()
	})
}

// Guards against seats that nobody holds: the entry whose reservation is granted has been
// killed, has lost its session without knowing, or has found a seat elsewhere.
func TestSeatGrantedToNobodyIsFreeAgain(t *testing.T) {
	for name, lose := range map[string]func(peer *link.Peer, cut, cancel func()){
		"killed":    func(peer *link.Peer, _, _ func()) { peer.Close() },
		"cut":       func(_ *link.Peer, cut, _ func()) { cut() },
		"cancelled": func(_ *link.Peer, _, cancel func()) { cancel() },
	} {
		t.Run(name, func(t *testing.T) {
			inVirtualTime(t, func(ctx context.Context, t *testing.T) {
				f := connect(ctx, seats.Load{Active: 2})
				other, cut := f.entry(ctx)
				waitCtx, cancel := context.WithCancel(ctx)
				defer cancel()
				got := reserveSeat(waitCtx, other, seats.Request{Due: time.Now()}, 2*time.Second)
				time.Sleep(100 * time.Millisecond)
				lose(other, cut, cancel)
				f.target.set(seats.Load{}, false) // the seat is granted 100 ms later
				// A broken session is closed after two missed heartbeats.
				time.Sleep(6 * time.Second)
				if g := <-got; g.seat != nil {
					t.Error("the entry got a seat")
				}
				f.checkBothSeatsFree(ctx, t)
				other.Close()
				f.peer.Close()
			})
		})
	}
}

// Guards against a seat lost in a cut while its grant is on the way: the agent has granted it
// and the entry never learns of it.
func TestGrantLostOnTheWayIsFreeAgain(t *testing.T) {
	inVirtualTime(t, func(ctx context.Context, t *testing.T) {
		f := connect(ctx, seats.Load{Active: 2})
		other, cut := f.entry(ctx)
		got := reserveSeat(ctx, other, seats.Request{Due: time.Now()}, 2*time.Second)
		time.Sleep(100 * time.Millisecond)
		f.target.set(seats.Load{}, false)
		time.Sleep(90 * time.Millisecond) // the slot is granted after it was free for 100 ms
		cut()
		time.Sleep(6 * time.Second)
		if g := <-got; g.seat != nil {
			t.Error("the entry got a seat over a cut connection")
		}
		f.checkBothSeatsFree(ctx, t)
		other.Close()
		f.peer.Close()
	})
}

// Guards against items that wait at an agent that is stopping: it answers at once.
func TestDrainRefusesReservations(t *testing.T) {
	inVirtualTime(t, func(ctx context.Context, t *testing.T) {
		f := connect(ctx, seats.Load{Active: 2})
		got := reserveSeat(ctx, f.peer, seats.Request{Due: time.Now()}, 2*time.Second)
		time.Sleep(100 * time.Millisecond)
		f.agent.Drain()
		time.Sleep(10 * time.Millisecond)
		select {
		case g := <-got:
			if g.seat != nil || g.err != nil {
				t.Errorf("got seat %v, error %v, want neither", g.seat, g.err)
			}
		default:
			t.Error("no answer 10 ms after the agent began to stop")
		}
		f.peer.Close()
	})
}

// Guards against items that wait for a dead agent: the wait ends with its limit.
func TestReservationAtDeadAgentEnds(t *testing.T) {
	inVirtualTime(t, func(ctx context.Context, t *testing.T) {
		f := connect(ctx, seats.Load{Active: 2})
		other, cut := f.entry(ctx)
		got := reserveSeat(ctx, other, seats.Request{Due: time.Now()}, time.Second)
		time.Sleep(100 * time.Millisecond)
		cut()
		time.Sleep(1500 * time.Millisecond)
		if len(got) == 0 {
			t.Error("the entry still waits 1.5 s after it reserved for 1 s")
		}
		<-got
		other.Close()
		f.peer.Close()
	})
}
