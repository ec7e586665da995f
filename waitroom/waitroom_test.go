package waitroom_test

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"pumiceford/fairshare"
	"pumiceford/waitroom"
)

var start = time.Unix(1000, 0)

// maxOvertaken is the ageing bound that Next keeps.
const maxOvertaken = 200 * time.Millisecond

func ticket(rank int, excess float64, returning bool, leaveBy time.Duration) *waitroom.Ticket {
	return &waitroom.Ticket{Standing: fairshare.Standing{Rank: rank, Excess: excess}, Returning: returning, LeaveBy: start.Add(leaveBy)}
}

// Guards against a room that grows without bound, loses a request or serves one twice, leaves
// slots idle while requests wait, or passes a request over for ever.
func TestEachTicketLeavesOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limit := rapid.IntRange(1, 12).Draw(t, "limit")
		room, now := waitroom.NewRoom(limit), start
		var all []*waitroom.Ticket
		left := make(map[*waitroom.Ticket]int)
		inside := 0
		for range rapid.IntRange(1, 80).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 60).Draw(t, "ms")) * time.Millisecond)
			switch rapid.IntRange(0, 4).Draw(t, "step") {
			case 0, 1:
				w := ticket(rapid.IntRange(0, 2).Draw(t, "rank"), float64(rapid.IntRange(0, 2).Draw(t, "excess")), rapid.Bool().Draw(t, "returning"), now.Sub(start)+time.Second)
				displaced, ok := room.Enter(now, w)
				if ok {
					all = append(all, w)
					inside++
				}
				if displaced != nil {
					left[displaced]++
					inside--
				}
				if !ok && room.Len() < limit {
					t.Fatal("a room that is not full refused a ticket")
				}
			case 2:
				w := room.Next(now)
				if w == nil {
					if inside > 0 {
						t.Fatal("a slot stays idle while a ticket waits")
					}
					continue
				}
				left[w]++
				inside--
				for _, other := range all {
					older := other.Waiting() && other.Standing.Rank == w.Standing.Rank && other.Entered().Before(w.Entered())
					if older && now.Sub(other.Entered()) >= maxOvertaken {
						t.Fatal("a ticket was passed over beyond the ageing bound")
					}
				}
			case 3:
				if len(all) > 0 {
					w := all[rapid.IntRange(0, len(all)-1).Draw(t, "which")]
					if room.Leave(w) {
						left[w]++
						inside--
					}
				}
			default:
				room.Reorder(func(fairshare.Holder) fairshare.Standing {
					return fairshare.Standing{Excess: float64(rapid.IntRange(0, 2).Draw(t, "new excess"))}
				})
			}
			if room.Len() != inside || inside > limit {
				t.Fatalf("%d tickets in the room, want %d of at most %d", room.Len(), inside, limit)
			}
		}
		for room.Next(now) != nil {
			inside--
		}
		for w, n := range left {
			if n != 1 || w.Waiting() {
				t.Fatalf("a ticket left %d times", n)
			}
		}
		if inside != 0 {
			t.Fatalf("%d tickets were lost", inside)
		}
	})
}

// Guards against requests of a workspace beyond its share, or first attempts, that go before
// requests within their share and before callers that return as they were told.
func TestOrderIsRankShareReturnDeadline(t *testing.T) {
	room := waitroom.NewRoom(8)
	want := []*waitroom.Ticket{
		ticket(0, 1, false, time.Second), ticket(1, 0, true, 2*time.Second), ticket(1, 0, false, time.Second),
		ticket(1, 0, false, 2*time.Second), ticket(1, 0.5, true, time.Second),
	}
	for i := range want {
		room.Enter(start, want[len(want)-1-i])
	}
	for i, w := range want {
		if got := room.Next(start); got != w {
			t.Fatalf("place %d went to %+v, want %+v", i, got, w)
		}
	}
}

// Guards against a full room that refuses an urgent request while others wait that go after it.
func TestFullRoomKeepsThoseThatGoFirst(t *testing.T) {
	room := waitroom.NewRoom(2)
	beyond, within := ticket(0, 1, false, time.Second), ticket(0, 0, false, time.Second)
	room.Enter(start, beyond)
	room.Enter(start, within)
	if displaced, ok := room.Enter(start, ticket(0, 0, true, time.Second)); !ok || displaced != beyond {
		t.Errorf("displaced %+v, want the ticket beyond its share", displaced)
	}
	if displaced, ok := room.Enter(start, ticket(0, 2, false, time.Second)); ok || displaced != nil {
		t.Error("a ticket beyond its share entered a full room of tickets within theirs")
	}
}

// Guards against an order by ranks that are no longer in force.
func TestRankChangeReordersWaiting(t *testing.T) {
	room := waitroom.NewRoom(8)
	a, b := ticket(0, 0, false, time.Second), ticket(1, 0, false, time.Second)
	a.Holder.Workspace, b.Holder.Workspace = "a", "b"
	room.Enter(start, a)
	room.Enter(start, b)
	room.Reorder(func(h fairshare.Holder) fairshare.Standing {
		if h.Workspace == "a" {
			return fairshare.Standing{Rank: 2}
		}
		return fairshare.Standing{Rank: 1}
	})
	if room.Next(start) != b {
		t.Error("the request of the workspace that is less urgent now goes first")
	}
}

// Guards against a request of a workspace within its share that is refused while one of a
// workspace beyond its share is admitted, and against refusals where there is no contention.
func TestAdmissionFollowsShares(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		in := waitroom.Input{
			Allowance: time.Duration(rapid.IntRange(1, 500).Draw(t, "ms")) * time.Millisecond,
			Before:    rapid.IntRange(0, 100).Draw(t, "before"),
			Freed:     rapid.Float64Range(0, 1000).Draw(t, "freed"),
		}
		within := waitroom.Admit(in)
		beyond := in
		beyond.Standing.Excess = rapid.Float64Range(0.01, 50).Draw(t, "excess")
		beyond.Before += rapid.IntRange(0, 10).Draw(t, "more before")
		if waitroom.Admit(beyond).Admitted && !within.Admitted {
			t.Fatal("refused within the share, admitted beyond it")
		}
		if in.Before == 0 && !within.Admitted {
			t.Fatal("refused although nobody goes before it")
		}
		if within.Admitted && in.Before > 0 && within.Wait-within.Spread > in.Allowance {
			t.Fatalf("admitted with an expected wait of %s and a spread of %s, allowed are %s", within.Wait, within.Spread, in.Allowance)
		}
	})
}

// Guards against repeats that grow with an overload: they are a fraction of what is served.
func TestBudgetBoundsRepeats(t *testing.T) {
	const limit, perSuccess = 4, 0.25
	b := waitroom.NewBudget(perSuccess, limit)
	taken, served := 0, 0
	for i := range 100 {
		if b.Take() {
			taken++
		}
		if i%2 == 0 {
			b.Succeeded()
			served++
		}
		if float64(taken) > limit+perSuccess*float64(served) {
			t.Fatalf("%d repeats after %d served requests", taken, served)
		}
	}
}

func benchmarkRoom(n int) (*waitroom.Room, []*waitroom.Ticket) {
	room, all := waitroom.NewRoom(n+1), make([]*waitroom.Ticket, 0, n)
	for i := range n {
		w := ticket(i%3, float64(i%5), i%7 == 0, time.Duration(i%97)*time.Millisecond)
		room.Enter(start, w)
		all = append(all, w)
	}
	return room, all
}

func BenchmarkNextAndEnter(b *testing.B) {
	room, _ := benchmarkRoom(1000)
	b.ReportAllocs()
	for b.Loop() {
		w := room.Next(start)
		room.Enter(start, w)
	}
}

func BenchmarkAdmit(b *testing.B) {
	room, all := benchmarkRoom(1000)
	b.ReportAllocs()
	for b.Loop() {
		in := waitroom.Input{Allowance: time.Second, Before: room.Before(all[500]), Freed: 100}
		if waitroom.Admit(in).Wait <= 0 {
			b.Fatal("no wait")
		}
	}
}
