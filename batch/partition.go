// Package batch defines the state of a batch partition: its files, its jobs and
// the recorded starts of non-idempotent online requests with an idempotency key.
// The state is a fold over the records of one log stream. The package does no I/O
// and reads no clock.
package batch

import (
	"bytes"
	"time"

	"google.golang.org/protobuf/proto"

	"pumiceford/infra"
	"pumiceford/oplog"
	"pumiceford/wire"
)

// FileID is a digest of the workspace and the file's content.
type FileID [16]byte

// KeyID is a digest of the workspace and the idempotency key of an online request.
type KeyID [16]byte

// File holds the metadata of one uploaded file and the offsets of its chunks.
type File struct {
	ID         FileID
	Workspace  string
	Name       string
	Lines      uint32
	Bytes      uint64
	Sealed     bool
	chunks     []chunkLocation
	modifiedAt time.Time // log time of the last chunk or the seal
}

type chunkLocation struct {
	known  bool
	offset uint64
	lines  uint32
}

// Chunks returns the number of chunks of a sealed file.
func (f *File) Chunks() uint32 {
	return uint32(len(f.chunks))
}

// ChunkOffset returns the log offset of a chunk, false if it is not stored.
func (f *File) ChunkOffset(number uint32) (uint64, bool) {
	if int(number) >= len(f.chunks) || !f.chunks[number].known {
		return 0, false
	}
	return f.chunks[number].offset, true
}

// Locate returns the chunk that holds an item and the item's line in the chunk.
func (f *File) Locate(index uint32) (chunk, line uint32, ok bool) {
	for n, c := range f.chunks {
		if index < c.lines {
			return uint32(n), index, true
		}
		index -= c.lines
	}
	return 0, 0, false
}

// Partition is the state of one batch partition, folded from its log stream.
type Partition struct {
	Number   uint32
	dedupe   *oplog.Dedupe
	next     uint64
	epoch    uint64
	owner    string
	ownerInc oplog.Incarnation
	released bool
	files    map[FileID]*File
	jobs     map[JobID]*Job
	keys     map[KeyID]*wire.RecordKey
	logTime  time.Time
}

// NewPartition returns the state of a partition without records.
func NewPartition(number uint32) *Partition {
	return &Partition{
		Number:   number,
		dedupe:   oplog.NewDedupe(),
		files:    make(map[FileID]*File),
		jobs:     make(map[JobID]*Job),
		keys:     make(map[KeyID]*wire.RecordKey),
		released: true,
	}
}

// Next returns the offset of the next record to apply.
func (p *Partition) Next() uint64 { return p.next }

// Epoch returns the current ownership epoch, 0 before the first takeover.
func (p *Partition) Epoch() uint64 { return p.epoch }

// Owner returns the owner's name, or an empty string if the partition has no owner.
func (p *Partition) Owner() string {
	if p.released {
		return ""
	}
	return p.owner
}

// OwnedBy reports whether inc owns the partition at the current offset.
func (p *Partition) OwnedBy(inc oplog.Incarnation) bool {
	return !p.released && p.ownerInc == inc
}

// Job returns a job, or nil if it does not exist.
func (p *Partition) Job(id JobID) *Job { return p.jobs[id] }

// Jobs calls visit for every job until it returns false.
func (p *Partition) Jobs(visit func(*Job) bool) {
	for _, j := range p.jobs {
		if !visit(j) {
			return
		}
	}
}

// File returns a file, or nil if it does not exist.
func (p *Partition) File(id FileID) *File { return p.files[id] }

// Key returns the recorded start of the request with an idempotency key, or nil if
// there is none.
func (p *Partition) Key(id KeyID) *wire.RecordKey { return p.keys[id] }

// Event reports a change made by a record.
type Event struct {
	Kind    EventKind
	Job     *Job
	Indexes []uint32 // of ItemsDone: items that got their outcome from this record
}

// EventKind is the kind of an Event.
type EventKind int

// The kinds of events.
const (
	OwnerChanged EventKind = iota + 1
	JobAccepted
	ItemsDone
	JobEnded
)

// Apply applies one record and returns the changes. It ignores duplicates, records
// of a superseded owner, and records that are not envelopes.
func (p *Partition) Apply(rec infra.Record) []Event {
	if rec.Offset < p.next {
		return nil
	}
	p.next = rec.Offset + 1
	p.logTime = rec.Time
	env, inc, ok := oplog.Decode(rec.Data)
	if !ok || !p.dedupe.Accept(inc, env.GetSeq(), rec.Offset) {
		return nil
	}
	var events []Event
	for _, entry := range env.GetEntries() {
		if t := entry.GetTakeover(); t != nil {
			events = append(events, p.takeover(env.GetEpoch(), inc, t)...)
			continue
		}
		// A superseded owner may still append, for example after a long pause.
		// Without this check its results, cancels and snapshots would mix with
		// those of the new owner, and items would complete twice.
		if env.GetEpoch() != p.epoch || p.released || inc != p.ownerInc {
			continue
		}
		events = append(events, p.applyEntry(rec, entry)...)
	}
	return events
}

func (p *Partition) takeover(epoch uint64, inc oplog.Incarnation, t *wire.Takeover) []Event {
	if epoch != p.epoch+1 {
		return nil
	}
	p.epoch = epoch
	p.owner = t.GetOwner()
	p.ownerInc = inc
	p.released = false
	p.expire()
	return []Event{{Kind: OwnerChanged}}
}

func (p *Partition) applyEntry(rec infra.Record, entry *wire.Entry) []Event {
	switch k := entry.GetKind().(type) {
	case *wire.Entry_Release:
		p.released = true
		return []Event{{Kind: OwnerChanged}}
	case *wire.Entry_Chunk:
		p.putChunk(rec.Offset, k.Chunk)
	case *wire.Entry_CarryChunk:
		p.carryChunk(rec.Offset, k.CarryChunk.GetChunk())
	case *wire.Entry_Seal:
		p.seal(k.Seal)
	case *wire.Entry_Commit:
		return p.commit(k.Commit)
	case *wire.Entry_Cancel:
		return p.cancel(k.Cancel)
	case *wire.Entry_Results:
		return p.results(rec.Offset, k.Results)
	case *wire.Entry_CarryResults:
		p.carryResults(rec.Offset, k.CarryResults)
	case *wire.Entry_Starts:
		p.recordStarts(k.Starts)
	case *wire.Entry_Key:
		p.recordKey(k.Key)
	case *wire.Entry_Snapshot:
		p.expire()
	}
	return nil
}

// idFrom converts an id from the wire. It reports false when the id has the wrong
// length.
func idFrom[T ~[16]byte](b []byte) (T, bool) {
	var id T
	if len(b) != len(id) {
		return id, false
	}
	copy(id[:], b)
	return id, true
}

// maxChunks bounds the chunks of one file.
const maxChunks = 65536

func (p *Partition) putChunk(offset uint64, c *wire.PutChunk) {
	id, ok := idFrom[FileID](c.GetFile())
	if !ok || c.GetNumber() >= maxChunks {
		return
	}
	f := p.files[id]
	if f == nil {
		f = &File{ID: id, Workspace: c.GetWorkspace()}
		p.files[id] = f
	}
	if f.Sealed || f.Workspace != c.GetWorkspace() {
		return
	}
	for uint32(len(f.chunks)) <= c.GetNumber() {
		f.chunks = append(f.chunks, chunkLocation{})
	}
	f.chunks[c.GetNumber()] = chunkLocation{known: true, offset: offset, lines: uint32(len(c.GetLines()))}
	f.modifiedAt = p.logTime
}

func (p *Partition) carryChunk(offset uint64, c *wire.PutChunk) {
	id, ok := idFrom[FileID](c.GetFile())
	if !ok {
		return
	}
	f := p.files[id]
	if f == nil || int(c.GetNumber()) >= len(f.chunks) {
		return
	}
	f.chunks[c.GetNumber()].offset = offset
}

func (p *Partition) seal(s *wire.SealFile) {
	id, ok := idFrom[FileID](s.GetFile())
	if !ok {
		return
	}
	f := p.files[id]
	if f == nil || f.Sealed || uint32(len(f.chunks)) != s.GetChunks() {
		return
	}
	var lines uint32
	for _, c := range f.chunks {
		if !c.known {
			return
		}
		lines += c.lines
	}
	if lines != s.GetLines() {
		return
	}
	f.Sealed = true
	f.Lines = lines
	f.Bytes = s.GetBytes()
	f.Name = s.GetName()
	f.modifiedAt = p.logTime
}

// commit accepts a job unless one with its id exists. For a repeated request the
// owner compares the digests of both before it replies.
func (p *Partition) commit(c *wire.CommitJob) []Event {
	id, ok := idFrom[JobID](c.GetJob())
	if !ok || p.jobs[id] != nil {
		return nil
	}
	file, ok := idFrom[FileID](c.GetFile())
	if !ok {
		return nil
	}
	f := p.files[file]
	if f == nil || !f.Sealed || f.Workspace != c.GetWorkspace() {
		return nil
	}
	j := newJob(id, c, f.Lines)
	p.jobs[id] = j
	return []Event{{Kind: JobAccepted, Job: j}}
}

func (p *Partition) cancel(c *wire.CancelJob) []Event {
	id, _ := idFrom[JobID](c.GetJob())
	j := p.jobs[id]
	if j == nil || j.state != JobRunning {
		return nil
	}
	j.fire(triggerCancel, p.logTime)
	return []Event{{Kind: JobEnded, Job: j}}
}

func (p *Partition) results(offset uint64, r *wire.Results) []Event {
	id, _ := idFrom[JobID](r.GetJob())
	j := p.jobs[id]
	if j == nil || j.state != JobRunning {
		return nil
	}
	done := j.addResults(offset, r.GetOutcomes())
	if len(done) == 0 {
		return nil
	}
	events := []Event{{Kind: ItemsDone, Job: j, Indexes: done}}
	if j.doneCount() == uint64(j.Total) {
		j.fire(triggerAllDone, p.logTime)
		events = append(events, Event{Kind: JobEnded, Job: j})
	}
	return events
}

// addResults applies the outcomes of the record at offset. It returns the items
// that got their outcome from it.
func (j *Job) addResults(offset uint64, outcomes []*wire.Outcome) []uint32 {
	var done []uint32
	s := resultSpan{offset: offset, min: ^uint32(0)}
	for _, o := range outcomes {
		if !j.applyOutcome(o) {
			continue
		}
		done = append(done, o.GetIndex())
		s.min = min(s.min, o.GetIndex())
		s.max = max(s.max, o.GetIndex())
	}
	if len(done) > 0 {
		j.spans = append(j.spans, s)
	}
	return done
}

func (p *Partition) carryResults(offset uint64, c *wire.CarryResults) {
	id, _ := idFrom[JobID](c.GetJob())
	j := p.jobs[id]
	if j == nil {
		return
	}
	for i := range j.spans {
		if j.spans[i].offset == c.GetOldOffset() {
			j.spans[i].offset = offset
		}
	}
}

func (p *Partition) recordStarts(s *wire.ItemStarts) {
	id, _ := idFrom[JobID](s.GetJob())
	j := p.jobs[id]
	if j == nil || j.state != JobRunning {
		return
	}
	j.started.AddMany(s.GetIndex())
}

func (p *Partition) recordKey(k *wire.RecordKey) {
	id, ok := idFrom[KeyID](k.GetKey())
	if !ok || p.keys[id] != nil {
		return
	}
	p.keys[id] = k
}

// unusedFileRetention is how long a file is kept after its upload and after the
// last job that uses it has ended. Results do not depend on the file.
const unusedFileRetention = 24 * time.Hour

// expire drops jobs, files and keys whose retention has passed. It uses the log's
// time, so that all readers of the same records drop the same state.
func (p *Partition) expire() {
	used := make(map[FileID]bool)
	for id, j := range p.jobs {
		if j.expired(p.logTime) {
			delete(p.jobs, id)
			continue
		}
		if j.state == JobRunning || p.logTime.Before(j.endedAt.Add(unusedFileRetention)) {
			file, _ := idFrom[FileID](j.Commit.GetFile())
			used[file] = true
		}
	}
	for id, f := range p.files {
		if !used[id] && p.logTime.After(f.modifiedAt.Add(unusedFileRetention)) {
			delete(p.files, id)
		}
	}
	for id, k := range p.keys {
		if p.logTime.UnixMilli() > k.GetKeepUntilUnixMs() {
			delete(p.keys, id)
		}
	}
}

// SameJob reports whether a request has the same content as the accepted job.
func SameJob(j *Job, c *wire.CommitJob) bool {
	return bytes.Equal(j.Commit.GetDigest(), c.GetDigest())
}

// DecodeOutcomes returns the outcomes of a job in a record's data. The record must
// be at one of the offsets that ResultOffsets returns.
func DecodeOutcomes(data []byte, job JobID) []*wire.Outcome {
	env, _, ok := oplog.Decode(data)
	if !ok {
		return nil
	}
	var out []*wire.Outcome
	for _, e := range env.GetEntries() {
		if r := e.GetResults(); r != nil && bytes.Equal(r.GetJob(), job[:]) {
			out = append(out, r.GetOutcomes()...)
		}
		if r := e.GetCarryResults(); r != nil && bytes.Equal(r.GetJob(), job[:]) {
			out = append(out, r.GetOutcomes()...)
		}
	}
	return out
}

// DecodeChunk returns a chunk of a file from a record's data, or nil if the record
// does not hold it.
func DecodeChunk(data []byte, file FileID, number uint32) *wire.PutChunk {
	env, _, ok := oplog.Decode(data)
	if !ok {
		return nil
	}
	for _, e := range env.GetEntries() {
		c := e.GetChunk()
		if c == nil {
			c = e.GetCarryChunk().GetChunk()
		}
		if c != nil && c.GetNumber() == number && bytes.Equal(c.GetFile(), file[:]) {
			return c
		}
	}
	return nil
}

func mustMarshal(m proto.Message) []byte {
	data, err := proto.Marshal(m)
	if err != nil {
		// Only invalid UTF-8 in a string field can make this fail, and strings are
		// checked where they enter the system.
		panic(err)
	}
	return data
}
