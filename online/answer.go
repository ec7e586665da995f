// Package online holds the aggregates of an online request: the answer as it
// grows at the agent, the same answer as it is put together at the entry, and the
// request's life cycle.
package online

import (
	"sync"

	"github.com/cespare/xxhash/v2"

	"pumiceford/wire"
)

// Answer is a growing answer at the agent. Frames are kept until the answer is
// dropped, so that a reader who lost its connection continues where it was.
type Answer struct {
	id []byte

	mu      sync.Mutex
	frames  []*wire.Frame
	digest  *xxhash.Digest
	closed  bool
	changed chan struct{} // closed when a frame is added
	tokens  uint32
}

// NewAnswer returns an empty Answer for a request id.
func NewAnswer(id []byte) *Answer {
	return &Answer{id: id, digest: xxhash.New(), changed: make(chan struct{})}
}

// Add appends text.
func (a *Answer) Add(text string, tokens uint32) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.closed {
		return
	}
	a.piece(text, tokens)
	a.notify()
}

// End appends the last text, if any, and closes a whole answer. Both are told
// together, so that they leave in one write.
func (a *Answer) End(text string, tokens uint32, end *wire.End) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.closed {
		return
	}
	if text != "" {
		a.piece(text, tokens)
	}
	end.Count = uint64(len(a.frames))
	end.Digest = a.digest.Sum64()
	a.closed = true
	a.put(&wire.Frame{Kind: &wire.Frame_End{End: end}})
	a.notify()
}

func (a *Answer) piece(text string, tokens uint32) {
	// A hash in memory takes every write.
	_, _ = a.digest.WriteString(text)
	a.tokens += tokens
	a.put(&wire.Frame{Kind: &wire.Frame_Piece{Piece: &wire.Piece{Text: []byte(text), Tokens: tokens}}})
}

// Fail closes an answer that will not be whole.
func (a *Answer) Fail(f *wire.Failure) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.closed {
		return
	}
	a.closed = true
	a.put(&wire.Frame{Kind: &wire.Frame_Failure{Failure: f}})
	a.notify()
}

func (a *Answer) put(f *wire.Frame) {
	f.Id = a.id
	f.Seq = uint64(len(a.frames))
	a.frames = append(a.frames, f)
}

// notify wakes the readers.
func (a *Answer) notify() {
	close(a.changed)
	a.changed = make(chan struct{})
}

// From returns the frames from seq on, whether the answer is closed, and a
// channel that is closed when there is more.
func (a *Answer) From(seq uint64) (frames []*wire.Frame, closed bool, changed <-chan struct{}) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if seq < uint64(len(a.frames)) {
		frames = a.frames[seq:len(a.frames):len(a.frames)]
	}
	return frames, a.closed, a.changed
}

// Tokens returns how many tokens the answer has.
func (a *Answer) Tokens() uint32 {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.tokens
}
