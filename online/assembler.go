package online

import (
	"bytes"

	"github.com/cespare/xxhash/v2"

	"pumiceford/apierr"
	"pumiceford/wire"
)

// maxHeldFrames bounds the frames held while an earlier one is missing.
const maxHeldFrames = 1024

// Assembler puts the frames of one answer in order at the entry. Copies are
// dropped, frames of other requests are refused, and the end only counts when
// the number of frames and the digest agree.
type Assembler struct {
	id     []byte
	next   uint64
	held   map[uint64]*wire.Frame
	digest *xxhash.Digest
	tokens uint32
	end    *wire.End
	failed *wire.Failure
}

// NewAssembler returns an Assembler for a request id.
func NewAssembler(id []byte) *Assembler {
	return &Assembler{id: id, held: make(map[uint64]*wire.Frame), digest: xxhash.New()}
}

// Next is the sequence number that is missing first.
func (a *Assembler) Next() uint64 { return a.next }

// Tokens returns how many tokens were taken in order.
func (a *Assembler) Tokens() uint32 { return a.tokens }

// End returns the end of a whole answer, nil before it.
func (a *Assembler) End() *wire.End { return a.end }

// Failure returns the failure that ended the answer, nil when there is none.
func (a *Assembler) Failure() *wire.Failure { return a.failed }

// Take takes one frame and returns the pieces that are now in order.
func (a *Assembler) Take(f *wire.Frame) ([]*wire.Piece, error) {
	if !bytes.Equal(f.GetId(), a.id) {
		// Without this check a caller could see another's answer after a mix-up
		// of streams. One would notice text that does not fit its prompt.
		return nil, apierr.Executed(apierr.CodeInternal, "frame of another request")
	}
	if f.GetSeq() < a.next || a.end != nil || a.failed != nil {
		return nil, nil
	}
	if len(a.held) >= maxHeldFrames {
		return nil, apierr.Executed(apierr.CodeInternal, "too many frames out of order")
	}
	a.held[f.GetSeq()] = f
	return a.drain()
}

func (a *Assembler) drain() ([]*wire.Piece, error) {
	var pieces []*wire.Piece
	for {
		f, ok := a.held[a.next]
		if !ok {
			return pieces, nil
		}
		delete(a.held, a.next)
		switch k := f.GetKind().(type) {
		case *wire.Frame_Piece:
			// A hash in memory takes every write.
			_, _ = a.digest.Write(k.Piece.GetText())
			a.tokens += k.Piece.GetTokens()
			pieces = append(pieces, k.Piece)
		case *wire.Frame_End:
			if k.End.GetCount() != a.next || k.End.GetDigest() != a.digest.Sum64() {
				return pieces, apierr.Executed(apierr.CodeInternal, "answer is not whole")
			}
			a.end = k.End
		case *wire.Frame_Failure:
			a.failed = k.Failure
		}
		a.next++
	}
}
