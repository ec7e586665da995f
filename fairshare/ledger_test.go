package fairshare

import (
	"cmp"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

var start = time.Unix(1_700_000_000, 0)

// settled is a time after which averages equal their input.
const settled = 10 * averagingTime

func repeat(n int, do func()) {
	for range n {
		do()
	}
}

// hold lets a holder hold and wait for slots from now on.
func hold(l *Ledger, now time.Time, h Holder, held, waiting int) {
	repeat(held, func() { l.Begin(now, h) })
	repeat(waiting, func() { l.Wait(now, h) })
}

func release(l *Ledger, now time.Time, h Holder, held, waiting int) {
	repeat(held, func() { l.End(now, h) })
	repeat(waiting, func() { l.EndWait(now, h) })
}

func drawUse(t *rapid.T) map[Holder][2]int {
	out := make(map[Holder][2]int)
	for i := range rapid.IntRange(1, 12).Draw(t, "workspaces") {
		h := Holder{Workspace: fmt.Sprint("w", i), Rank: rapid.IntRange(0, 2).Draw(t, "rank"), Weight: rapid.Float64Range(0.5, 50).Draw(t, "weight")}
		out[h] = [2]int{rapid.IntRange(0, 30).Draw(t, "held"), rapid.IntRange(0, 30).Draw(t, "waiting")}
	}
	return out
}

// Guards against a workspace within its share that is put behind one beyond it, against shares
// that count without contention, and against an order in which nobody is first.
func TestExcessFollowsFairShares(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l, use := NewLedger(), drawUse(t)
		for h, u := range use {
			hold(l, start, h, u[0], u[1])
		}
		now := start.Add(settled)
		for rank := range 3 {
			var claims []claim
			held, waiting, first := 0.0, 0.0, false
			for h, u := range use {
				if h.Rank == rank {
					claims = append(claims, claim{weight: h.Weight, demand: float64(u[0] + u[1])})
					held, waiting = held+float64(u[0]), waiting+float64(u[1])
				}
			}
			lv := bisectedLevel(claims, held)
			for h, u := range use {
				if h.Rank != rank {
					continue
				}
				got := l.Standing(now, h)
				want := max(float64(u[0])/(h.Weight*lv)-1, 0)
				if waiting == 0 || math.IsNaN(want) {
					want = 0
				}
				if got.Rank != rank || math.Abs(got.Excess-want) > minExcess+0.01*want {
					t.Fatalf("%v of %v: standing %v, want an excess of %v", u, h, got, want)
				}
				first = first || got.Excess == 0
			}
			if len(claims) > 0 && !first {
				t.Fatalf("nobody of rank %d is first", rank)
			}
		}
	})
}

// Guards against a lone workspace that is put behind, however much it holds and waits for: a
// burst that nobody else wants the slots for is served.
func TestLoneWorkspaceIsWithinItsShare(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l, h := NewLedger(), Holder{Workspace: "w", Weight: rapid.Float64Range(0, 10).Draw(t, "weight")}
		hold(l, start, h, rapid.IntRange(0, 300).Draw(t, "held"), rapid.IntRange(0, 300).Draw(t, "waiting"))
		now := start.Add(time.Duration(rapid.IntRange(0, 20_000).Draw(t, "ms")) * time.Millisecond)
		if s := l.Standing(now, h); s != (Standing{}) {
			t.Fatalf("standing %v", s)
		}
	})
}

// Guards against credit for idling: however long a workspace was idle, its standing is that of
// one that was never there, and after some seconds of use that of one that was always there.
func TestIdlingEarnsNothing(t *testing.T) {
	a, b := Holder{Workspace: "a"}, Holder{Workspace: "b"}
	rapid.Check(t, func(t *rapid.T) {
		l, fresh := NewLedger(), NewLedger()
		before := rapid.IntRange(0, 50).Draw(t, "before")
		hold(l, start, a, before, 0)
		idleFrom := start.Add(settled)
		release(l, idleFrom, a, before, 0)
		now := idleFrom.Add(settled + time.Duration(rapid.IntRange(0, 100_000).Draw(t, "idle s"))*time.Second)
		heldA, heldB := rapid.IntRange(1, 50).Draw(t, "a"), rapid.IntRange(1, 50).Draw(t, "b")
		for _, x := range []*Ledger{l, fresh} {
			hold(x, now, a, heldA, 10)
			hold(x, now, b, heldB, 10)
		}
		for _, after := range []time.Duration{0, time.Second, 2 * time.Second, settled} {
			got, want := l.Standing(now.Add(after), a), fresh.Standing(now.Add(after), a)
			if math.Abs(got.Excess-want.Excess) > minExcess+0.01*want.Excess {
				t.Fatalf("after %v: %v, want %v", after, got, want)
			}
		}
	})
}

// Guards against work that starves behind higher ranks or because its workspace is beyond its
// share: it is served after what arrived before it, MaxStarvation after its arrival.
func TestAgeingBoundsStarvation(t *testing.T) {
	type work struct {
		standing Standing
		arrived  time.Duration
	}
	const service = 10 * time.Millisecond // of one slot that serves all
	rapid.Check(t, func(t *rapid.T) {
		victim := work{Standing{Rank: rapid.IntRange(0, 9).Draw(t, "rank"), Excess: rapid.Float64Range(0, 9).Draw(t, "excess")}, 0}
		before := rapid.IntRange(0, 50).Draw(t, "before")
		perService := rapid.IntRange(1, 3).Draw(t, "arrivals")
		queue := slices.Repeat([]work{{}}, before)
		queue = append(queue, victim)
		for now := time.Duration(0); ; now += service {
			repeat(perService, func() { queue = append(queue, work{arrived: now}) })
			slices.SortStableFunc(queue, func(a, b work) int {
				return cmp.Or(Compare(a.standing.Aged(now-a.arrived), b.standing.Aged(now-b.arrived)), cmp.Compare(a.arrived, b.arrived))
			})
			if queue[0] == victim {
				return
			}
			if now > MaxStarvation+time.Duration(before+perService)*service {
				t.Fatalf("not served after %v", now)
			}
			queue = queue[1:]
		}
	})
}

// Guards against an account that grows with the workspaces of the fleet or loses its heaviest
// ones among 32,000 light ones.
func TestBoundedUnderManyWorkspaces(t *testing.T) {
	const workspaces, perSecond, seconds = 32_000, 3_400, 12
	const holdTime = 400 * time.Millisecond
	l, r := NewLedger(), rand.New(rand.NewPCG(1, 2))
	heavy := map[Holder]float64{{Workspace: "h0"}: 0.2, {Workspace: "h1"}: 0.05, {Workspace: "h2"}: 0.02}
	pick := func() Holder {
		at := r.Float64()
		for i, h := range []Holder{{Workspace: "h0"}, {Workspace: "h1"}, {Workspace: "h2"}} {
			if at -= heavy[h]; at < 0 {
				return Holder{Workspace: fmt.Sprint("h", i)}
			}
		}
		return Holder{Workspace: fmt.Sprint("w", r.IntN(workspaces))}
	}
	type run struct {
		end time.Time
		h   Holder
	}
	var running []run
	now := start
	for range perSecond * seconds {
		now = now.Add(time.Second / perSecond)
		for len(running) > 0 && running[0].end.Before(now) {
			l.End(now, running[0].h)
			running = running[1:]
		}
		h := pick()
		l.Begin(now, h)
		running = append(running, run{now.Add(holdTime), h})
	}
	if len(l.rows) > maxRows || len(l.index) > maxRows {
		t.Fatalf("%d rows", len(l.rows))
	}
	total := float64(perSecond) * holdTime.Seconds()
	sum := 0.0
	for _, u := range l.Usage(now) {
		sum += u.Held
		if share, ok := heavy[Holder{Workspace: u.Workspace}]; ok {
			delete(heavy, Holder{Workspace: u.Workspace})
			if got := u.Held / total; math.Abs(got-share) > 2.0/maxRows+0.1*share {
				t.Errorf("%s holds %.3f, want %.3f", u.Workspace, got, share)
			}
		}
	}
	if len(heavy) > 0 {
		t.Errorf("no rows of %v", heavy)
	}
	if math.Abs(sum/total-1) > 0.05 {
		t.Errorf("rows sum up to %.0f, want %.0f", sum, total)
	}
	for len(running) > 0 {
		l.End(now, running[0].h)
		running = running[1:]
	}
	l.eachLocked(func(r *row) {
		if r.active != 0 {
			t.Fatalf("%v still counts %d after all work ended", r.key, r.active)
		}
	})
}

// Guards against work whose row or rank changed while it ran or waited: it ends where it
// was counted, and its workspace counts at the new rank and weight from then on.
func TestRankAndWeightChangeWhileWorkWaits(t *testing.T) {
	l := NewLedger()
	old, other := Holder{Workspace: "a", Rank: 2, Weight: 1}, Holder{Workspace: "b", Rank: 1, Weight: 1}
	hold(l, start, old, 10, 5)
	hold(l, start, other, 10, 30)
	now := start.Add(settled)
	if Compare(l.Standing(now, old), l.Standing(now, other)) <= 0 {
		t.Fatal("the lower rank does not go last")
	}
	raised := Holder{Workspace: "a", Rank: 1, Weight: 0.1}
	if Compare(l.Standing(now, raised), l.Standing(now, other)) != 0 {
		t.Fatal("the raised rank does not count at once")
	}
	release(l, now, old, 10, 5)
	hold(l, now, raised, 10, 5)
	now = now.Add(settled)
	if s := l.Standing(now, raised); s.Rank != 1 || s.Excess < 3 {
		t.Fatalf("%v: the lowered weight does not count", s)
	}
	for _, u := range l.Usage(now) {
		if u.Rank == 2 {
			t.Fatalf("%+v is left at the old rank", u)
		}
	}
}

// Guards against a figure that outlives the age bound, whatever messages are lost, late or
// repeated, and against one that counts twice.
func TestSumsKeepWithinAge(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s, now := NewSums(), start
		type message struct {
			entry  string
			stream uint64
			held   float64
		}
		var sent []message
		streams := make(map[string]uint64)
		newest := make(map[string]time.Time) // of an accepted message
		held := make(map[string]float64)
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 900).Draw(t, "ms")) * time.Millisecond)
			entry := rapid.SampledFrom([]string{"e1", "e2", "e3"}).Draw(t, "entry")
			switch rapid.IntRange(0, 4).Draw(t, "event") {
			case 0:
				streams[entry] = s.Open(entry)
				delete(newest, entry)
			case 1:
				s.Close(entry, streams[entry])
				delete(newest, entry)
				streams[entry] = 0
			default:
				m := message{entry, streams[entry], float64(1 + len(sent))}
				if len(sent) > 0 && rapid.Bool().Draw(t, "late") {
					m = rapid.SampledFrom(sent).Draw(t, "message")
				}
				sent = append(sent, m)
				s.Update(now, m.entry, m.stream, []Usage{{Holder: Holder{Workspace: "w"}, Held: m.held}})
				if m.stream != 0 && m.stream == streams[m.entry] {
					newest[m.entry], held[m.entry] = now, m.held
				}
			}
			for _, to := range []string{"e1", "e2", "e3", "e4"} {
				want := 0.0
				for e, at := range newest {
					if e != to && now.Sub(at) <= MaxAge {
						want += held[e]
					}
				}
				got := 0.0
				for _, u := range s.For(now, to) {
					got += u.Held
				}
				if got != want {
					t.Fatalf("%s is told %v, want %v", to, got, want)
				}
			}
		}
	})
}

// told returns a sum in which other processes hold and wait for slots.
func toldBy(h Holder, held, waiting float64) []Usage {
	return []Usage{{Holder: h, Held: held, Waiting: waiting}}
}

// Guards against a silent fleet whose last figures are believed for ever: then the own
// account decides, and without one everybody stands alike.
func TestStaleFiguresAreIgnored(t *testing.T) {
	a, b := Holder{Workspace: "a"}, Holder{Workspace: "b"}
	l := NewLedger()
	l.Merge(start, "agent", toldBy(a, 50, 0))
	l.Merge(start, "other", toldBy(b, 10, 40))
	if s := l.Standing(start, a); s.Excess == 0 {
		t.Fatal("the fleet's figures do not count")
	}
	if s := l.Standing(start.Add(MaxAge+time.Millisecond), a); s != (Standing{}) {
		t.Fatalf("%v after all became silent", s)
	}
	hold(l, start, a, 2, 0)
	hold(l, start, b, 10, 10)
	if s := l.Standing(start.Add(settled), a); s.Excess != 0 {
		t.Fatalf("%v: figures of silent agents count", s)
	}
	if s := l.Standing(start.Add(settled), b); s.Excess != 0 {
		t.Fatalf("%v: nobody else wants the slots", s)
	}
}

// fleet is a fleet in memory: ledgers that exchange figures over the agents they follow.
type fleet struct {
	ledgers []*Ledger
	agents  []*Sums
	follows [][]int // agents, by entry
	down    map[int]bool
	streams map[[2]int]uint64
}

func newFleet(r *rand.Rand, entries, agents int) *fleet {
	f := &fleet{down: make(map[int]bool), streams: make(map[[2]int]uint64)}
	for range agents {
		f.agents = append(f.agents, NewSums())
	}
	for e := range entries {
		l := NewLedger()
		followed := r.Perm(agents)[:min(agents, 16)]
		l.SetFollowed(len(followed), agents)
		f.ledgers, f.follows = append(f.ledgers, l), append(f.follows, followed)
		for _, a := range followed {
			f.streams[[2]int{e, a}] = f.agents[a].Open(fmt.Sprint("e", e))
		}
	}
	return f
}

// exchange lets an entry exchange figures with its agents.
func (f *fleet) exchange(now time.Time, e int) {
	name := fmt.Sprint("e", e)
	for _, a := range f.follows[e] {
		if !f.down[a] {
			f.agents[a].Update(now, name, f.streams[[2]int{e, a}], f.ledgers[e].Report(now))
			f.ledgers[e].Merge(now, fmt.Sprint("a", a), f.agents[a].For(now, name))
		}
	}
}

func (f *fleet) exchangeAll(now time.Time) {
	repeat(2, func() {
		for e := range f.ledgers {
			f.exchange(now, e)
		}
	})
}

func fleetHeld(l *Ledger, now time.Time, workspace string) float64 {
	for _, u := range l.Usage(now) {
		if u.Workspace == workspace {
			return u.FleetHeld
		}
	}
	return 0
}

// Guards against an account in which an entry's own callers, or those of entries that share
// its agents, count more than others: what an entry believes is the fleet's use.
func TestFleetUseIsEstimatedByEveryEntry(t *testing.T) {
	for _, size := range []struct{ entries, agents, fleets int }{{2, 3, 1}, {2, 40, 100}, {31, 43, 10}, {340, 600, 1}} {
		r := rand.New(rand.NewPCG(3, 4))
		mean := 0.0
		for range size.fleets {
			f := newFleet(r, size.entries, size.agents)
			want := 0
			for _, l := range f.ledgers {
				n := 1 + r.IntN(8)
				want += n
				hold(l, start, Holder{Workspace: "w"}, n, 0)
			}
			now := start.Add(settled)
			f.exchangeAll(now)
			for _, l := range f.ledgers {
				mean += fleetHeld(l, now, "w") / float64(want*size.entries*size.fleets)
				if !l.Usage(now)[0].Complete {
					t.Fatal("not complete")
				}
			}
		}
		if math.Abs(mean-1) > 0.05 {
			t.Errorf("%d entries, %d agents: the estimates are %.2f of the use", size.entries, size.agents, mean)
		}
	}
}

// Guards against figures that are lost with an agent, and against those of a dead entry that
// are believed beyond the stated age.
func TestAgentOrEntryDies(t *testing.T) {
	f := newFleet(rand.New(rand.NewPCG(5, 6)), 20, 30)
	for _, l := range f.ledgers {
		hold(l, start, Holder{Workspace: "w"}, 5, 0)
	}
	now := start.Add(settled)
	f.exchangeAll(now)
	f.down[f.follows[0][0]] = true
	for range 8 {
		now = now.Add(time.Second / 2)
		f.exchangeAll(now)
	}
	if got := fleetHeld(f.ledgers[0], now, "w"); math.Abs(got/100-1) > 0.15 {
		t.Errorf("without one agent %.0f of 100 slots are seen", got)
	}
	if f.ledgers[0].Usage(now)[0].Complete {
		t.Error("the account counts as complete without an agent")
	}
	for e := 1; e < 20; e++ { // all others die
		f.ledgers[e] = NewLedger()
	}
	for range 2*int(MaxAge/time.Second) + 1 {
		now = now.Add(time.Second)
		f.exchange(now, 0)
	}
	if got := fleetHeld(f.ledgers[0], now, "w"); math.Abs(got-5) > 0.1 {
		t.Errorf("%.1f slots are seen when only 5 are left", got)
	}
}
