package batch

import (
	"time"

	"github.com/RoaringBitmap/roaring/v2"
	"google.golang.org/protobuf/proto"

	"pumiceford/infra"
	"pumiceford/oplog"
	"pumiceford/wire"
)

// Snapshot returns the state, encoded and split into parts of at most maxPart
// bytes. It covers the records before Next.
func (p *Partition) Snapshot(maxPart int) []*wire.SnapshotPart {
	data := mustMarshal(p.toWire())
	count := (len(data) + maxPart - 1) / maxPart
	parts := make([]*wire.SnapshotPart, 0, count)
	for n := 0; n < count; n++ {
		lo := n * maxPart
		hi := min(lo+maxPart, len(data))
		parts = append(parts, &wire.SnapshotPart{
			Id:    p.next,
			Part:  uint32(n),
			Parts: uint32(count),
			Data:  data[lo:hi],
		})
	}
	return parts
}

func (p *Partition) toWire() *wire.PartitionSnapshot {
	s := &wire.PartitionSnapshot{
		Next:             p.next,
		Epoch:            p.epoch,
		Owner:            p.Owner(),
		OwnerIncarnation: p.ownerInc[:],
		Writers:          p.dedupe.Snapshot(),
	}
	for _, f := range p.files {
		s.Files = append(s.Files, f.toWire())
	}
	for _, j := range p.jobs {
		s.Jobs = append(s.Jobs, j.toWire())
	}
	for _, k := range p.keys {
		s.Keys = append(s.Keys, k)
	}
	return s
}

func (f *File) toWire() *wire.FileState {
	out := &wire.FileState{
		File:       f.ID[:],
		Workspace:  f.Workspace,
		Name:       f.Name,
		Lines:      f.Lines,
		Bytes:      f.Bytes,
		Sealed:     f.Sealed,
		TimeUnixMs: f.modifiedAt.UnixMilli(),
	}
	for _, c := range f.chunks {
		// The encoded offset is one higher, because 0 means an unknown chunk.
		encoded := uint64(0)
		if c.known {
			encoded = c.offset + 1
		}
		out.ChunkOffsets = append(out.ChunkOffsets, encoded)
		out.ChunkLines = append(out.ChunkLines, c.lines)
	}
	return out
}

func (j *Job) toWire() *wire.JobState {
	out := &wire.JobState{
		Commit:    j.Commit,
		Total:     j.Total,
		Succeeded: bitmapBytes(j.succeeded),
		Failed:    bitmapBytes(j.failed),
		Started:   bitmapBytes(j.started),
		Cancelled: j.state == JobCancelled,
	}
	if !j.endedAt.IsZero() {
		out.EndedUnixMs = j.endedAt.UnixMilli()
	}
	for _, s := range j.spans {
		out.Spans = append(out.Spans, &wire.ResultSpan{Offset: s.offset, MinIndex: s.min, MaxIndex: s.max})
	}
	return out
}

func bitmapBytes(b *roaring.Bitmap) []byte {
	b.RunOptimize()
	data, err := b.ToBytes()
	if err != nil {
		// Writing a bitmap to memory cannot fail.
		panic(err)
	}
	return data
}

// Restore returns the partition encoded in a snapshot.
func Restore(number uint32, data []byte) (*Partition, error) {
	s := &wire.PartitionSnapshot{}
	if err := proto.Unmarshal(data, s); err != nil {
		return nil, err
	}
	p := NewPartition(number)
	p.next = s.GetNext()
	p.epoch = s.GetEpoch()
	p.owner = s.GetOwner()
	p.released = s.GetOwner() == ""
	p.ownerInc, _ = oplog.IncarnationFrom(s.GetOwnerIncarnation())
	p.dedupe.Restore(s.GetWriters())
	for _, f := range s.GetFiles() {
		p.restoreFile(f)
	}
	for _, j := range s.GetJobs() {
		if err := p.restoreJob(j); err != nil {
			return nil, err
		}
	}
	for _, k := range s.GetKeys() {
		p.recordKey(k)
	}
	return p, nil
}

func (p *Partition) restoreFile(s *wire.FileState) {
	id, ok := idFrom[FileID](s.GetFile())
	if !ok {
		return
	}
	f := &File{
		ID:         id,
		Workspace:  s.GetWorkspace(),
		Name:       s.GetName(),
		Lines:      s.GetLines(),
		Bytes:      s.GetBytes(),
		Sealed:     s.GetSealed(),
		modifiedAt: time.UnixMilli(s.GetTimeUnixMs()),
	}
	for n, encoded := range s.GetChunkOffsets() {
		c := chunkLocation{known: encoded > 0, lines: s.GetChunkLines()[n]}
		if c.known {
			c.offset = encoded - 1
		}
		f.chunks = append(f.chunks, c)
	}
	p.files[id] = f
}

func (p *Partition) restoreJob(s *wire.JobState) error {
	id, ok := idFrom[JobID](s.GetCommit().GetJob())
	if !ok {
		return nil
	}
	j := newJob(id, s.GetCommit(), s.GetTotal())
	for _, part := range []struct {
		bitmap *roaring.Bitmap
		data   []byte
	}{{j.succeeded, s.GetSucceeded()}, {j.failed, s.GetFailed()}, {j.started, s.GetStarted()}} {
		if err := part.bitmap.UnmarshalBinary(part.data); err != nil {
			return err
		}
	}
	switch {
	case s.GetCancelled():
		j.state = JobCancelled
	case j.doneCount() == uint64(j.Total):
		j.state = JobCompleted
	}
	if s.GetEndedUnixMs() != 0 {
		j.endedAt = time.UnixMilli(s.GetEndedUnixMs())
	}
	for _, sp := range s.GetSpans() {
		j.spans = append(j.spans, resultSpan{offset: sp.GetOffset(), min: sp.GetMinIndex(), max: sp.GetMaxIndex()})
	}
	p.jobs[id] = j
	return nil
}

// Carry lists the parts of the state that must be appended to the log again
// (carried forward) before the log trims their records.
type Carry struct {
	Chunks []CarryChunk
	Spans  []CarrySpan
}

// CarryChunk locates a file chunk to carry forward.
type CarryChunk struct {
	File   FileID
	Number uint32
	Offset uint64
}

// CarrySpan locates the record of a job's results to carry forward.
type CarrySpan struct {
	Job    JobID
	Offset uint64
}

// CarryBelow returns what must be carried forward before the log trims the records
// below offset.
func (p *Partition) CarryBelow(offset uint64) Carry {
	var out Carry
	for id, f := range p.files {
		for n, c := range f.chunks {
			if c.known && c.offset < offset {
				out.Chunks = append(out.Chunks, CarryChunk{File: id, Number: uint32(n), Offset: c.offset})
			}
		}
	}
	for id, j := range p.jobs {
		seen := make(map[uint64]bool)
		for _, s := range j.spans {
			if s.offset < offset && !seen[s.offset] {
				seen[s.offset] = true
				out.Spans = append(out.Spans, CarrySpan{Job: id, Offset: s.offset})
			}
		}
	}
	return out
}

// SnapshotFinder selects the snapshot to recover from among the records that the
// log still keeps.
//
// The takeover records that show who owned the partition may be trimmed. A
// superseded owner can still append snapshot parts, and recovery from them would
// restore old state. Therefore the newest complete snapshot of the highest epoch
// is selected. This is safe, because a later owner writes a snapshot of its own
// before any record that it needs is trimmed.
type SnapshotFinder struct {
	parts map[snapshotKey][][]byte
	best  snapshotKey
	found bool
}

type snapshotKey struct {
	inc   oplog.Incarnation
	epoch uint64
	id    uint64
}

// NewSnapshotFinder returns an empty SnapshotFinder.
func NewSnapshotFinder() *SnapshotFinder {
	return &SnapshotFinder{parts: make(map[snapshotKey][][]byte)}
}

// Add adds the snapshot parts in a record.
func (f *SnapshotFinder) Add(rec infra.Record) {
	env, inc, ok := oplog.Decode(rec.Data)
	if !ok {
		return
	}
	for _, e := range env.GetEntries() {
		if part := e.GetSnapshot(); part != nil {
			f.addPart(snapshotKey{inc: inc, epoch: env.GetEpoch(), id: part.GetId()}, part)
		}
	}
}

// maxSnapshotParts bounds the memory that a damaged record can make the finder
// allocate.
const maxSnapshotParts = 65536

func (f *SnapshotFinder) addPart(key snapshotKey, part *wire.SnapshotPart) {
	if part.GetParts() > maxSnapshotParts || part.GetPart() >= part.GetParts() {
		return
	}
	parts := f.parts[key]
	if parts == nil {
		parts = make([][]byte, part.GetParts())
		f.parts[key] = parts
	}
	if int(part.GetPart()) >= len(parts) {
		return
	}
	parts[part.GetPart()] = part.GetData()
	for _, data := range parts {
		if data == nil {
			return
		}
	}
	if !f.found || key.epoch > f.best.epoch || (key.epoch == f.best.epoch && key.id > f.best.id) {
		f.best = key
		f.found = true
	}
}

// Snapshot returns the data of the selected snapshot and the offset of the first
// record after it.
func (f *SnapshotFinder) Snapshot() (data []byte, next uint64, ok bool) {
	if !f.found {
		return nil, 0, false
	}
	for _, part := range f.parts[f.best] {
		data = append(data, part...)
	}
	return data, f.best.id, true
}
