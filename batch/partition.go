// Package batch holds the batch aggregates: the partition, its files, its jobs
// and the starts of keyed non-idempotent requests. Their state is a fold over
// the records of one log stream. Nothing here does I/O or reads a clock.
package batch

import (
	"bytes"
	"time"

	"google.golang.org/protobuf/proto"

	"pumiceford/infra"
	"pumiceford/oplog"
	"pumiceford/wire"
)

// FileID is the digest of the workspace and a file's content.
type FileID [16]byte

// KeyID is the digest of the workspace and the idempotency key of an online request.
type KeyID [16]byte

// File locates the chunks of one uploaded file.
type File struct {
	ID        FileID
	Workspace string
	Name      string
	Lines     uint32
	Bytes     uint64
	Sealed    bool
	chunks    []chunkPlace
	touched   time.Time
}

type chunkPlace struct {
	known  bool
	offset uint64
	lines  uint32
}

// Chunks returns the number of chunks of a sealed file.
func (f *File) Chunks() uint32 {
	return uint32(len(f.chunks))
}

// ChunkOffset returns where a chunk is on the log.
func (f *File) ChunkOffset(number uint32) (uint64, bool) {
	if int(number) >= len(f.chunks) || !f.chunks[number].known {
		return 0, false
	}
	return f.chunks[number].offset, true
}

// Locate returns the chunk of an item and the item's line in it.
func (f *File) Locate(index uint32) (chunk, line uint32, ok bool) {
	for n, c := range f.chunks {
		if index < c.lines {
			return uint32(n), index, true
		}
		index -= c.lines
	}
	return 0, 0, false
}

// Partition is the fold of one batch stream.
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

// NewPartition returns the empty state of a stream.
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

// Next returns the offset of the first record not yet applied.
func (p *Partition) Next() uint64 { return p.next }

// Epoch returns the current ownership epoch, 0 before the first takeover.
func (p *Partition) Epoch() uint64 { return p.epoch }

// Owner returns the owner's name, empty after a release.
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

// Job returns a job, nil when there is none.
func (p *Partition) Job(id JobID) *Job { return p.jobs[id] }

// Jobs calls visit for every job until it returns false.
func (p *Partition) Jobs(visit func(*Job) bool) {
	for _, j := range p.jobs {
		if !visit(j) {
			return
		}
	}
}

// File returns a file, nil when there is none.
func (p *Partition) File(id FileID) *File { return p.files[id] }

// Key returns the recorded start of a keyed request, nil when there is none.
func (p *Partition) Key(id KeyID) *wire.RecordKey { return p.keys[id] }

// Event tells the owner what a record changed.
type Event struct {
	Kind    EventKind
	Job     *Job
	Indexes []uint32 // ItemsDone: items that got their outcome by this record
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

// Apply folds one record. Records that are not valid at their offset change
// nothing: copies, records of a superseded owner, and foreign bytes.
func (p *Partition) Apply(rec infra.Record) []Event {
	if rec.Offset < p.next {
		return nil
	}
	p.next = rec.Offset + 1
	p.logTime = rec.Time
	env, inc, ok := oplog.Decode(rec.Data)
	if !ok || !p.dedupe.Fresh(inc, env.GetSeq(), rec.Offset) {
		return nil
	}
	var events []Event
	for _, entry := range env.GetEntries() {
		if t := entry.GetTakeover(); t != nil {
			events = append(events, p.takeover(env.GetEpoch(), inc, t)...)
			continue
		}
		// A superseded owner may append for as long as it likes, for example
		// after a long pause. Without this check its results, cancels and
		// snapshots would mix with the new owner's. One would notice items
		// that complete twice.
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
		p.starts(k.Starts)
	case *wire.Entry_Key:
		p.recordKey(k.Key)
	case *wire.Entry_Snapshot:
		p.expire()
	}
	return nil
}

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
		f.chunks = append(f.chunks, chunkPlace{})
	}
	f.chunks[c.GetNumber()] = chunkPlace{known: true, offset: offset, lines: uint32(len(c.GetLines()))}
	f.touched = p.logTime
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
	f.touched = p.logTime
}

// commit accepts a job once. A resend meets the job that is there; the owner
// compares digests before it answers.
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
	if j.done() == uint64(j.Total) {
		j.fire(triggerAllDone, p.logTime)
		events = append(events, Event{Kind: JobEnded, Job: j})
	}
	return events
}

// addResults applies outcomes and remembers where they are. It returns the
// items that got their outcome by it.
func (j *Job) addResults(offset uint64, outcomes []*wire.Outcome) []uint32 {
	var done []uint32
	s := span{offset: offset, min: ^uint32(0)}
	for _, o := range outcomes {
		if !j.apply(o) {
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

func (p *Partition) starts(s *wire.ItemStarts) {
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

// unusedFileKeep is how long a file stays that no job runs over. Results carry
// what they need of it.
const unusedFileKeep = 24 * time.Hour

// expire drops what need not be readable any more, by the log's own time, so
// that every reader of the same records drops the same.
func (p *Partition) expire() {
	used := make(map[FileID]bool)
	for id, j := range p.jobs {
		if j.expired(p.logTime) {
			delete(p.jobs, id)
			continue
		}
		if j.state == JobRunning || p.logTime.Before(j.ended.Add(unusedFileKeep)) {
			file, _ := idFrom[FileID](j.Commit.GetFile())
			used[file] = true
		}
	}
	for id, f := range p.files {
		if !used[id] && p.logTime.After(f.touched.Add(unusedFileKeep)) {
			delete(p.files, id)
		}
	}
	for id, k := range p.keys {
		if p.logTime.UnixMilli() > k.GetKeepUntilUnixMs() {
			delete(p.keys, id)
		}
	}
}

// SameJob reports whether a resend carries the content of the accepted job.
func SameJob(j *Job, c *wire.CommitJob) bool {
	return bytes.Equal(j.Commit.GetDigest(), c.GetDigest())
}

// OutcomesIn returns the outcomes of a job that the record holds. The record
// must be one that SpansFor named.
func OutcomesIn(data []byte, job JobID) []*wire.Outcome {
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

// ChunkIn returns the chunk of a file that the record holds.
func ChunkIn(data []byte, file FileID, number uint32) *wire.PutChunk {
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
		// Only invalid UTF-8 in a string field can fail, and strings are checked
		// where they enter the system.
		panic(err)
	}
	return data
}
