package quarantine

import (
	"context"
	"time"

	"pumiceford/internal/wait"
	"pumiceford/link"
	"pumiceford/targets"
	"pumiceford/wire"
)

// Intervals and bounds of telling others.
const (
	// spreadEvery gathers what a crash brings into one message. All that ran at a target
	// is told by as many entries within milliseconds.
	spreadEvery = 10 * time.Millisecond
	// followPause is left between attempts to reach an agent.
	followPause = 200 * time.Millisecond
	// marksPerMessage bounds one message.
	marksPerMessage = 256
)

// Follow exchanges marks with the agent at peer until ctx ends. Entries do not know each
// other, and the store may be away: the agents that an entry watches anyway pass on what
// each of them tells.
func Follow(ctx context.Context, peer *link.Peer, k *Keeper) {
	for ctx.Err() == nil {
		st, err := peer.Open(ctx, link.Control, &wire.Call{Kind: &wire.Call_Marks{Marks: &wire.Marks{}}})
		if err == nil { // the session's own log tells of lost peers
			k.Exchange(ctx, st)
		}
		_ = wait.For(ctx, followPause)
	}
}

// Exchange tells the other end of a stream all marks, then each change, and takes what it
// tells, until the stream or ctx ends. Only changes are passed on, so it comes to rest.
func (k *Keeper) Exchange(ctx context.Context, st *link.Stream) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	stop := context.AfterFunc(ctx, st.Close)
	defer stop()
	go func() {
		defer cancel()
		for {
			told := &wire.Marks{}
			if st.Recv(told) != nil {
				return
			}
			k.Merge(fromWire(told), st)
		}
	}()
	told := uint64(0)
	for ctx.Err() == nil {
		marks, upTo, changed := k.since(told, st)
		for len(marks) > 0 {
			n := min(len(marks), marksPerMessage)
			if st.Send(toWire(marks[:n])) != nil {
				return
			}
			marks = marks[n:]
		}
		told = upTo
		select {
		case <-changed:
		case <-ctx.Done():
		}
		_ = wait.For(ctx, spreadEvery)
	}
}

func toWire(marks []Mark) *wire.Marks {
	out := &wire.Marks{}
	for _, m := range marks {
		out.Marks = append(out.Marks, &wire.Mark{
			Key: m.Key[:], Instance: m.Target.ID, Born: m.Target.Born, AtUnixMs: m.At.UnixMilli(), Answered: m.Answered, Void: m.Void,
		})
	}
	return out
}

// fromWire leaves out what has no key.
func fromWire(all *wire.Marks) []Mark {
	var out []Mark
	for _, m := range all.GetMarks() {
		if len(m.GetKey()) != len(Key{}) {
			continue
		}
		out = append(out, Mark{
			Key: Key(m.GetKey()), Target: targets.Life{ID: m.GetInstance(), Born: m.GetBorn()},
			At: time.UnixMilli(m.GetAtUnixMs()), Answered: m.GetAnswered(), Void: m.GetVoid(),
		})
	}
	return out
}
