package fairshare

import (
	"fmt"
	"testing"
	"time"
)

// busyLedger returns a Ledger as at an entry that follows 16 agents while a number of
// workspaces send to it, and their holders.
func busyLedger(workspaces int) (*Ledger, []Holder) {
	l := NewLedger()
	holders := make([]Holder, workspaces)
	for i := range holders {
		holders[i] = Holder{Workspace: fmt.Sprint("workspace-", i), Rank: i % 3, Weight: float64(1 + i%7)}
		hold(l, start, holders[i], 1+i%5, i%4)
	}
	for a := range 16 {
		l.Merge(start, fmt.Sprint("agent-", a), toldRows(holders, a))
	}
	l.SetFollowed(16, 600)
	return l, holders
}

func toldRows(holders []Holder, from int) []Usage {
	var rows []Usage
	for i := range maxTold {
		rows = append(rows, Usage{Holder: holders[(from*maxTold+i)%len(holders)], Held: 2, Waiting: 1})
	}
	return rows
}

func BenchmarkStanding(b *testing.B) {
	for _, n := range []int{76, 32_000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			l, holders := busyLedger(n)
			now := start
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				now = now.Add(100 * time.Microsecond) // 10,000 decisions a second
				if now.Sub(start) > MaxAge-time.Second {
					now = start
				}
				l.Standing(now, holders[i%n])
			}
		})
	}
}

// BenchmarkStandingPlanned measures a decision that has to compute the fair shares anew.
func BenchmarkStandingPlanned(b *testing.B) {
	for _, n := range []int{76, 32_000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			l, holders := busyLedger(n)
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				l.planned = time.Time{}
				l.Standing(start.Add(time.Duration(i%1000)*time.Millisecond), holders[i%n])
			}
		})
	}
}

func BenchmarkBeginEnd(b *testing.B) {
	for _, n := range []int{76, 32_000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			l, holders := busyLedger(n)
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				now := start.Add(time.Duration(i) * time.Millisecond)
				l.Begin(now, holders[i%n])
				l.End(now.Add(time.Millisecond), holders[i%n])
			}
		})
	}
}

// BenchmarkMerge measures the arrival of an agent's message and the plan that follows it.
func BenchmarkMerge(b *testing.B) {
	for _, n := range []int{76, 32_000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			l, holders := busyLedger(n)
			rows := toldRows(holders, 0)
			b.ReportAllocs()
			for b.Loop() {
				l.Merge(start, "agent-0", rows)
				l.Standing(start, holders[0])
			}
		})
	}
}

// BenchmarkRelay measures an agent's work on one message, with nine other entries.
func BenchmarkRelay(b *testing.B) {
	_, holders := busyLedger(76)
	s := NewSums()
	streams := make([]uint64, 10)
	for i := range streams {
		streams[i] = s.Open(fmt.Sprint("e", i))
		s.Update(start, fmt.Sprint("e", i), streams[i], toldRows(holders, i))
	}
	rows := toldRows(holders, 0)
	b.ReportAllocs()
	for b.Loop() {
		s.Update(start, "e0", streams[0], rows)
		s.For(start, "e0")
	}
}
