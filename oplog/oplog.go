// Package oplog writes and reads enveloped records on the platform's log so
// that each takes effect exactly once, although answers of the log get lost,
// appends are repeated and late copies arrive.
//
// Every writer process has a random incarnation and numbers its records in each
// stream from 1. It keeps one append outstanding. A reader drops every record
// whose number is not above the highest seen of that incarnation, so a second
// copy of a record is harmless wherever it lands.
package oplog

import (
	"crypto/rand"

	"google.golang.org/protobuf/proto"

	"pumiceford/wire"
)

// Incarnation names one run of one process.
type Incarnation [16]byte

// NewIncarnation returns a random Incarnation.
func NewIncarnation() Incarnation {
	var inc Incarnation
	// crypto/rand.Read never returns an error on the platforms Go supports.
	_, _ = rand.Read(inc[:])
	return inc
}

// IncarnationFrom converts bytes from the wire. It reports false when they have
// the wrong length.
func IncarnationFrom(b []byte) (Incarnation, bool) {
	var inc Incarnation
	if len(b) != len(inc) {
		return inc, false
	}
	copy(inc[:], b)
	return inc, true
}

// writerMark is the last record seen of one incarnation.
type writerMark struct {
	seq    uint64
	offset uint64
}

// Dedupe remembers the highest sequence of each incarnation in one stream.
// It is part of the fold: two readers of the same records agree.
type Dedupe struct {
	marks map[Incarnation]writerMark
}

// NewDedupe returns an empty Dedupe.
func NewDedupe() *Dedupe {
	return &Dedupe{marks: make(map[Incarnation]writerMark)}
}

// maxWriters bounds the incarnations remembered in one stream. Beyond it the
// one seen longest ago is forgotten: its late copies would count again, but an
// incarnation that many restarts old has no append outstanding any more.
const maxWriters = 4096

// Fresh reports whether the record is the first copy of its kind, and remembers it.
func (d *Dedupe) Fresh(inc Incarnation, seq, offset uint64) bool {
	if mark, ok := d.marks[inc]; ok && seq <= mark.seq {
		return false
	}
	d.marks[inc] = writerMark{seq: seq, offset: offset}
	if len(d.marks) > maxWriters {
		d.forgetOldest()
	}
	return true
}

func (d *Dedupe) forgetOldest() {
	var oldest Incarnation
	first := true
	for inc, mark := range d.marks {
		if first || mark.offset < d.marks[oldest].offset {
			oldest = inc
			first = false
		}
	}
	delete(d.marks, oldest)
}

// Snapshot returns the state for a partition snapshot.
func (d *Dedupe) Snapshot() []*wire.WriterState {
	out := make([]*wire.WriterState, 0, len(d.marks))
	for inc, mark := range d.marks {
		out = append(out, &wire.WriterState{Incarnation: inc[:], Seq: mark.seq, Offset: mark.offset})
	}
	return out
}

// Restore replaces the state by a snapshot's.
func (d *Dedupe) Restore(states []*wire.WriterState) {
	d.marks = make(map[Incarnation]writerMark, len(states))
	for _, s := range states {
		inc, ok := IncarnationFrom(s.GetIncarnation())
		if !ok {
			continue
		}
		d.marks[inc] = writerMark{seq: s.GetSeq(), offset: s.GetOffset()}
	}
}

// Decode parses an envelope. It reports false for a record that is not ours or
// is damaged; readers skip those.
func Decode(data []byte) (*wire.Envelope, Incarnation, bool) {
	env := &wire.Envelope{}
	if err := proto.Unmarshal(data, env); err != nil {
		return nil, Incarnation{}, false
	}
	inc, ok := IncarnationFrom(env.GetIncarnation())
	if !ok || env.GetSeq() == 0 {
		return nil, Incarnation{}, false
	}
	return env, inc, true
}
