package quarantine

import (
	"context"
	"math"
	"time"

	"pumiceford/internal/wait"
	"pumiceford/link"
	"pumiceford/targets"
	"pumiceford/wire"
)

// Intervals and bounds of the exchange of marks.
const (
	// sendDelay collects the marks of one crash into one message. The requests that ran on a
	// crashed target are reported by as many entries within milliseconds.
	sendDelay = 10 * time.Millisecond
	// sendInterval is the least time between two messages to a process. At a series of crashes
	// the marks change all the time, and an entry has a stream to each agent that it follows.
	sendInterval = 50 * time.Millisecond
	// reconnectDelay is the pause between attempts to reach an agent.
	reconnectDelay = 200 * time.Millisecond
	// maxMarksPerMessage bounds the size of a message.
	maxMarksPerMessage = 256
)

// Follow exchanges marks with the agent at peer until ctx ends. Entries have no connections to
// each other, and the store may be unavailable, so the agents that an entry watches anyway
// relay the marks.
func Follow(ctx context.Context, peer *link.Peer, tr *Tracker) {
	for ctx.Err() == nil {
		st, err := peer.Open(ctx, link.Control, &wire.Call{Kind: &wire.Call_Marks{Marks: &wire.CrashMarks{}}})
		if err == nil { // the link logs failed connections
			tr.Exchange(ctx, st)
		}
		_ = wait.For(ctx, reconnectDelay)
	}
}

// Exchange sends all marks and then each change to the other end of a stream, and merges the
// marks that it receives, until the stream or ctx ends. Only changes are relayed, so
// nothing more is sent once all processes have the same marks.
func (tr *Tracker) Exchange(ctx context.Context, st *link.Stream) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	stop := context.AfterFunc(ctx, st.Close)
	defer stop()
	go func() {
		defer cancel()
		for {
			received := &wire.CrashMarks{}
			if st.Recv(received) != nil {
				return
			}
			tr.Merge(fromWire(received), st)
		}
	}()
	sent, sentAt := uint64(0), time.Time{}
	for ctx.Err() == nil {
		marks, upTo, changed := tr.marksSince(sent, st)
		if len(marks) > 0 {
			sentAt = time.Now()
		}
		for len(marks) > 0 {
			n := min(len(marks), maxMarksPerMessage)
			if st.Send(toWire(marks[:n])) != nil {
				return
			}
			marks = marks[n:]
		}
		sent = upTo
		select {
		case <-changed:
		case <-ctx.Done():
		}
		_ = wait.For(ctx, max(sendDelay, sendInterval-time.Since(sentAt)))
	}
}

func toWire(marks []Mark) *wire.CrashMarks {
	out := &wire.CrashMarks{}
	for _, m := range marks {
		out.Marks = append(out.Marks, &wire.CrashMark{
			Key: m.Key[:], Instance: m.Target.ID, Born: m.Target.StartedUnixMs, AtUnixMs: m.At.UnixMilli(), Answered: m.ResponseBegan, Void: m.Void,
			Part: m.Part, Request: partOwner(m), Depth: uint32(m.Depth), Place: uint32(m.Place), Proven: m.Proven, Events: uint32(min(m.Events, math.MaxUint32)), TookMs: uint32(m.Took.Milliseconds()), Ambiguous: m.Ambiguous, Owed: m.Owed,
		})
	}
	return out
}

// partOwner returns the key of the request that a mark's part belongs to, nil for a request.
func partOwner(m Mark) []byte {
	if m.Part == "" {
		return nil
	}
	return m.Request[:]
}

// fromWire converts received marks. It drops marks without a valid key.
func fromWire(all *wire.CrashMarks) []Mark {
	var out []Mark
	for _, m := range all.GetMarks() {
		key, ok := KeyFrom(m.GetKey())
		if !ok {
			continue
		}
		request, ok := KeyFrom(m.GetRequest())
		if m.GetPart() != "" && !ok {
			continue
		}
		out = append(out, Mark{
			Key: key, Target: targets.Incarnation{ID: m.GetInstance(), StartedUnixMs: m.GetBorn()},
			At: time.UnixMilli(m.GetAtUnixMs()), ResponseBegan: m.GetAnswered(), Void: m.GetVoid(),
			Part: m.GetPart(), Request: request, Depth: int(m.GetDepth()), Place: int(m.GetPlace()), Proven: m.GetProven(), Events: uint64(m.GetEvents()), Took: time.Duration(m.GetTookMs()) * time.Millisecond, Ambiguous: m.GetAmbiguous(), Owed: m.GetOwed(),
		})
	}
	return out
}
