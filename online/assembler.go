package online

import (
	"bytes"

	"github.com/cespare/xxhash/v2"

	"pumiceford/apierr"
	"pumiceford/wire"
)

// maxPendingFrames is the maximum number of frames buffered while an earlier one is
// missing.
const maxPendingFrames = 1024

// Assembler puts the frames of one response in order at the entry. It drops duplicates,
// refuses frames of other requests, and accepts the end only if the number of frames
// and the digest match. It is not safe for concurrent use.
type Assembler struct {
	id      []byte
	next    uint64
	pending map[uint64]*wire.Frame
	digest  *xxhash.Digest
	tokens  uint32
	end     *wire.End
	failure *wire.Failure
}

// NewAssembler returns an Assembler for a request ID.
func NewAssembler(id []byte) *Assembler {
	return &Assembler{id: id, pending: make(map[uint64]*wire.Frame), digest: xxhash.New()}
}

// NextSeq returns the lowest sequence number that has not been received.
func (a *Assembler) NextSeq() uint64 { return a.next }

// Tokens returns the number of tokens in the pieces received in order so far.
func (a *Assembler) Tokens() uint32 { return a.tokens }

// End returns the end of a complete response, nil before it.
func (a *Assembler) End() *wire.End { return a.end }

// Failure returns the failure that ended the response, nil if there is none.
func (a *Assembler) Failure() *wire.Failure { return a.failure }

// AddFrame adds one frame and returns the pieces that are now next in order. It ignores
// duplicates and frames after the end. An error means that the response is unusable.
func (a *Assembler) AddFrame(f *wire.Frame) ([]*wire.Piece, error) {
	if !bytes.Equal(f.GetId(), a.id) {
		// Without this check, streams that were mixed up would give one caller the
		// response to another caller's request, and only text that does not match the
		// prompt would show it.
		return nil, apierr.Executed(apierr.CodeInternal, "frame of another request")
	}
	if f.GetSeq() < a.next || a.end != nil || a.failure != nil {
		return nil, nil
	}
	if len(a.pending) >= maxPendingFrames {
		return nil, apierr.Executed(apierr.CodeInternal, "too many frames out of order")
	}
	a.pending[f.GetSeq()] = f
	return a.drain()
}

// drain removes the frames that are next in order from pending and returns their
// pieces.
func (a *Assembler) drain() ([]*wire.Piece, error) {
	var pieces []*wire.Piece
	for {
		f, ok := a.pending[a.next]
		if !ok {
			return pieces, nil
		}
		delete(a.pending, a.next)
		switch k := f.GetKind().(type) {
		case *wire.Frame_Piece:
			// Writing to the digest never fails.
			_, _ = a.digest.Write(k.Piece.GetText())
			a.tokens += k.Piece.GetTokens()
			pieces = append(pieces, k.Piece)
		case *wire.Frame_End:
			if k.End.GetCount() != a.next || k.End.GetDigest() != a.digest.Sum64() {
				return pieces, apierr.Executed(apierr.CodeInternal, "answer is not whole")
			}
			a.end = k.End
		case *wire.Frame_Failure:
			a.failure = k.Failure
		}
		a.next++
	}
}
