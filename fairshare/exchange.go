package fairshare

import (
	"context"
	"math"
	"slices"
	"time"

	"pumiceford/internal/wait"
	"pumiceford/link"
	"pumiceford/wire"
)

const (
	// exchangeInterval is the time between two messages of an entry to an agent while slots
	// are waited for. Two of them may be lost before figures reach MaxAge.
	exchangeInterval = time.Second
	// calmIntervals is that time in exchangeIntervals while no slots are waited for.
	calmIntervals = 2
	// replyTimeout bounds the wait for a reply.
	replyTimeout = time.Second
	// maxUntold is the fraction by which a figure may differ from the one told last, and
	// maxUntoldOfAll that fraction of all slots that the sender tells of. Both keep messages
	// short while shares change little.
	maxUntold      = 0.1
	maxUntoldOfAll = 0.02
	// slotUnits is the number of units of a figure in a message that make one slot.
	slotUnits = 100
)

// Follow exchanges figures with the agent at peer until ctx ends: it tells what this entry's
// work holds, and merges the sum over the other entries that follow the agent.
func Follow(ctx context.Context, peer *link.Peer, entry, agent string, l *Ledger) {
	defer l.Forget(agent)
	for wait.For(ctx, exchangeInterval) == nil {
		followOnce(ctx, peer, entry, agent, l)
	}
}

// followOnce exchanges figures until the stream ends or there is nothing more to tell.
func followOnce(ctx context.Context, peer *link.Peer, entry, agent string, l *Ledger) {
	sent := l.Report(time.Now())
	if sent == nil {
		return
	}
	st, err := peer.Open(ctx, link.Control, &wire.Call{Kind: &wire.Call_Shares{Shares: &wire.Shares{Entry: entry, Rows: toWire(sent)}}})
	if err != nil {
		return // the session logs lost peers
	}
	defer st.Close()
	stop := context.AfterFunc(ctx, st.Close)
	defer stop()
	var told []Usage
	for {
		st.SetDeadline(time.Now().Add(replyTimeout))
		reply := &wire.Shares{}
		if st.Recv(reply) != nil {
			return
		}
		if !reply.GetUnchanged() {
			told = fromWire(reply)
		}
		l.Merge(time.Now(), agent, told)
		rows := nextReport(ctx, l, told)
		if rows == nil {
			return
		}
		next := &wire.Shares{Unchanged: true}
		if changed(sent, rows) {
			sent, next = rows, &wire.Shares{Rows: toWire(rows)}
		}
		st.SetDeadline(time.Now().Add(replyTimeout))
		if st.Send(next) != nil {
			return
		}
	}
}

// nextReport waits until the next message is due and returns its figures, nil if there is
// nothing to tell or ctx has ended.
func nextReport(ctx context.Context, l *Ledger, told []Usage) []Usage {
	for i := 1; ; i++ {
		if wait.For(ctx, exchangeInterval) != nil {
			return nil
		}
		rows := l.Report(time.Now())
		if i == calmIntervals || !calm(rows) || !calm(told) {
			return rows
		}
	}
}

// calm reports whether no slots worth mentioning are waited for.
func calm(rows []Usage) bool {
	held, waiting := 0.0, 0.0
	for _, u := range rows {
		held, waiting = held+u.Held, waiting+u.Waiting
	}
	return waiting <= contended*held
}

// Relay serves the stream of an entry in an agent: it replies to each message with the sum
// over the other entries.
func Relay(ctx context.Context, first *wire.Shares, st *link.Stream, s *Sums) {
	stop := context.AfterFunc(ctx, st.Close)
	defer stop()
	entry := first.GetEntry()
	stream := s.Open(entry)
	defer s.Close(entry, stream)
	rows := fromWire(first)
	var sent []Usage
	for replied := false; ; replied = true {
		now := time.Now()
		s.Update(now, entry, stream, rows)
		sum := s.For(now, entry)
		reply := &wire.Shares{Unchanged: true}
		if !replied || changed(sent, sum) {
			sent, reply = sum, &wire.Shares{Rows: toWire(sum)}
		}
		// An entry that is silent for longer than MaxAge does not count and connects anew.
		st.SetDeadline(now.Add(MaxAge))
		if st.Send(reply) != nil {
			return
		}
		next := &wire.Shares{}
		if st.Recv(next) != nil {
			return
		}
		if !next.GetUnchanged() {
			rows = fromWire(next)
		}
	}
}

// changed reports whether rows differ so much from those sent that they are sent again.
func changed(sent, rows []Usage) bool {
	all := 0.0
	for _, u := range rows {
		all += u.Held + u.Waiting
	}
	differ := func(a, b float64) bool { return math.Abs(a-b) > max(maxUntold*a, maxUntoldOfAll*all) }
	find := func(in []Usage, u Usage) (found Usage, ok bool) {
		i := slices.IndexFunc(in, func(v Usage) bool { return v.Others == u.Others && v.Workspace == u.Workspace && v.Rank == u.Rank })
		if i < 0 {
			return Usage{}, false
		}
		return in[i], true
	}
	for _, u := range rows {
		old, ok := find(sent, u)
		if ok && old.Weight != u.Weight || differ(old.Held, u.Held) || differ(old.Waiting, u.Waiting) {
			return true
		}
	}
	for _, old := range sent {
		if _, ok := find(rows, old); !ok && (differ(old.Held, 0) || differ(old.Waiting, 0)) {
			return true
		}
	}
	return false
}

func toWire(rows []Usage) []*wire.SlotUse {
	out := make([]*wire.SlotUse, 0, len(rows))
	for _, u := range rows {
		out = append(out, &wire.SlotUse{
			Workspace: u.Workspace, Rank: uint32(clampRank(u.Rank)), Weight: float32(u.Weight),
			Held: toUnits(u.Held), Waiting: toUnits(u.Waiting), Others: u.Others,
		})
	}
	return out
}

func toUnits(slots float64) uint32 {
	return uint32(min(math.Round(max(slots, 0)*slotUnits), math.MaxUint32))
}

// fromWire converts the rows of a message, at most as many as a sender may send.
func fromWire(m *wire.Shares) []Usage {
	rows := m.GetRows()
	rows = rows[:min(len(rows), maxTold+maxRanks)]
	out := make([]Usage, 0, len(rows))
	for _, r := range rows {
		u := Usage{
			Holder: Holder{Workspace: r.GetWorkspace(), Rank: clampRank(int(r.GetRank()))},
			Held:   float64(r.GetHeld()) / slotUnits, Waiting: float64(r.GetWaiting()) / slotUnits, Others: r.GetOthers(),
		}
		if w := float64(r.GetWeight()); w > 0 && !math.IsInf(w, 1) {
			u.Weight = w
		}
		out = append(out, u)
	}
	return out
}
