// Package online holds the state of an online request: the response buffered at the
// agent, its reassembly at the entry, the request's life cycle at the agent, and the
// entry's retry budget.
package online

import (
	"sync"

	"github.com/cespare/xxhash/v2"

	"pumiceford/wire"
)

// Response buffers the frames of a response at the agent while it is generated. It keeps all
// frames, so that a reader that lost its connection can resume at any frame. It is safe for
// concurrent use.
type Response struct {
	id []byte

	mu      sync.Mutex
	frames  []*wire.Frame
	digest  *xxhash.Digest
	closed  bool
	changed chan struct{} // closed and replaced when frames are added
	tokens  uint32
}

// NewResponse returns an empty Response for a request ID.
func NewResponse(id []byte) *Response {
	return &Response{id: id, digest: xxhash.New(), changed: make(chan struct{})}
}

// Add appends a piece of text of the given number of tokens. It does nothing after
// End or Fail.
func (r *Response) Add(text string, tokens uint32) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.closed {
		return
	}
	r.appendPiece(text, tokens)
	r.notify()
}

// End appends the last text, if any, and closes a complete response with end, in which
// it sets the count and the digest. Readers are notified once for both frames, so that
// these are sent in one write. End does nothing after an earlier End or Fail.
func (r *Response) End(text string, tokens uint32, end *wire.End) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.closed {
		return
	}
	if text != "" {
		r.appendPiece(text, tokens)
	}
	end.Count = uint64(len(r.frames))
	end.Digest = r.digest.Sum64()
	r.closed = true
	r.appendFrame(&wire.Frame{Kind: &wire.Frame_End{End: end}})
	r.notify()
}

func (r *Response) appendPiece(text string, tokens uint32) {
	// Writing to the digest never fails.
	_, _ = r.digest.WriteString(text)
	r.tokens += tokens
	r.appendFrame(&wire.Frame{Kind: &wire.Frame_Piece{Piece: &wire.Piece{Text: []byte(text), Tokens: tokens}}})
}

// Fail closes a response that stays incomplete. It does nothing after an earlier End or
// Fail.
func (r *Response) Fail(f *wire.Failure) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.closed {
		return
	}
	r.closed = true
	r.appendFrame(&wire.Frame{Kind: &wire.Frame_Failure{Failure: f}})
	r.notify()
}

func (r *Response) appendFrame(f *wire.Frame) {
	f.Id = r.id
	f.Seq = uint64(len(r.frames))
	r.frames = append(r.frames, f)
}

// notify wakes the readers. The caller holds r.mu.
func (r *Response) notify() {
	close(r.changed)
	r.changed = make(chan struct{})
}

// FramesFrom returns the frames from sequence number seq on, whether the response is closed, and
// a channel that is closed when further frames are added.
func (r *Response) FramesFrom(seq uint64) (frames []*wire.Frame, closed bool, changed <-chan struct{}) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if seq < uint64(len(r.frames)) {
		frames = r.frames[seq:len(r.frames):len(r.frames)]
	}
	return frames, r.closed, r.changed
}

// Tokens returns how many tokens were added so far.
func (r *Response) Tokens() uint32 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.tokens
}
