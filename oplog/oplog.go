// Package oplog writes and reads enveloped records on the platform's log so
// that each record takes effect exactly once, even if replies of the log are
// lost, appends are retried and delayed duplicates appear.
//
// Every writer has a random incarnation and numbers its records in each stream
// from 1. It has at most one append in flight. A reader drops every record whose
// number is not above the highest one seen from that incarnation, so a duplicate
// has no effect at any offset.
package oplog

import (
	"crypto/rand"

	"google.golang.org/protobuf/proto"

	"pumiceford/wire"
)

// Incarnation identifies one run of a process, or of one writer in it.
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

// writerState locates the last record seen from one incarnation.
type writerState struct {
	seq    uint64
	offset uint64
}

// Dedupe keeps the highest sequence number of each incarnation in one stream. It
// is part of the fold: all readers of the same records have the same state.
type Dedupe struct {
	writers map[Incarnation]writerState
}

// NewDedupe returns an empty Dedupe.
func NewDedupe() *Dedupe {
	return &Dedupe{writers: make(map[Incarnation]writerState)}
}

// maxWriters bounds the incarnations kept for one stream. Above it the one with
// the oldest last record is evicted. Its delayed duplicates would then take
// effect again, but an incarnation that is so many restarts old has no append in
// flight any more.
const maxWriters = 4096

// Accept reports whether a record is not a duplicate, and if so stores its
// sequence number.
func (d *Dedupe) Accept(inc Incarnation, seq, offset uint64) bool {
	if last, ok := d.writers[inc]; ok && seq <= last.seq {
		return false
	}
	d.writers[inc] = writerState{seq: seq, offset: offset}
	if len(d.writers) > maxWriters {
		d.evictOldest()
	}
	return true
}

func (d *Dedupe) evictOldest() {
	var oldest Incarnation
	first := true
	for inc, last := range d.writers {
		if first || last.offset < d.writers[oldest].offset {
			oldest = inc
			first = false
		}
	}
	delete(d.writers, oldest)
}

// Snapshot returns the state in the form for a snapshot of the fold.
func (d *Dedupe) Snapshot() []*wire.WriterState {
	out := make([]*wire.WriterState, 0, len(d.writers))
	for inc, last := range d.writers {
		out = append(out, &wire.WriterState{Incarnation: inc[:], Seq: last.seq, Offset: last.offset})
	}
	return out
}

// Restore replaces the state by that of a snapshot.
func (d *Dedupe) Restore(states []*wire.WriterState) {
	d.writers = make(map[Incarnation]writerState, len(states))
	for _, s := range states {
		inc, ok := IncarnationFrom(s.GetIncarnation())
		if !ok {
			continue
		}
		d.writers[inc] = writerState{seq: s.GetSeq(), offset: s.GetOffset()}
	}
}

// Decode parses an envelope. It reports false for a record that is damaged or was
// not written by this package; readers skip such records.
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
