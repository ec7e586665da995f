package batch

import (
	"bytes"
	"fmt"
	"slices"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	"pumiceford/infra"
	"pumiceford/oplog"
	"pumiceford/wire"
)

// referenceModel is the test oracle. It keeps every record and computes the state
// by replaying all of them, one item at a time, without bitmaps, spans or
// snapshots.
type referenceModel struct {
	records []referenceRecord
}

type referenceRecord struct {
	inc   oplog.Incarnation
	seq   uint64
	epoch uint64
	entry *wire.Entry
}

type referenceState struct {
	epoch     uint64
	owner     oplog.Incarnation
	owned     bool
	accepted  map[string]bool
	cancelled map[string]bool
	outcome   map[string]string // job and index -> first outcome
	started   map[string]bool
	total     map[string]int
}

// replay computes the state from all records.
func (m *referenceModel) replay() referenceState {
	s := referenceState{accepted: map[string]bool{}, cancelled: map[string]bool{}, outcome: map[string]string{}, started: map[string]bool{}, total: map[string]int{}}
	seen := map[oplog.Incarnation]uint64{}
	for _, r := range m.records {
		if r.seq <= seen[r.inc] {
			continue
		}
		seen[r.inc] = r.seq
		if r.entry.GetTakeover() != nil {
			if r.epoch == s.epoch+1 {
				s.epoch, s.owner, s.owned = r.epoch, r.inc, true
			}
			continue
		}
		if s.owned && r.epoch == s.epoch && r.inc == s.owner {
			s.apply(r.entry)
		}
	}
	return s
}

func (s *referenceState) apply(e *wire.Entry) {
	switch {
	case e.GetRelease() != nil:
		s.owned = false
	case e.GetCommit() != nil:
		job := string(e.GetCommit().GetJob())
		if !s.accepted[job] {
			s.accepted[job] = true
			s.total[job] = testItems
		}
	case e.GetCancel() != nil:
		job := string(e.GetCancel().GetJob())
		if s.accepted[job] && !s.done(job) {
			s.cancelled[job] = true
		}
	case e.GetStarts() != nil:
		job := string(e.GetStarts().GetJob())
		if s.accepted[job] && !s.cancelled[job] && !s.done(job) {
			for _, i := range e.GetStarts().GetIndex() {
				s.started[itemID(job, i)] = true
			}
		}
	case e.GetResults() != nil:
		s.applyResults(e.GetResults())
	}
}

func (s *referenceState) applyResults(r *wire.Results) {
	job := string(r.GetJob())
	if !s.accepted[job] || s.cancelled[job] {
		return
	}
	for _, o := range r.GetOutcomes() {
		id := itemID(job, o.GetIndex())
		if _, ok := s.outcome[id]; !ok && int(o.GetIndex()) < s.total[job] {
			s.outcome[id] = fmt.Sprint(o.GetOk(), string(o.GetText()), o.GetReason())
		}
	}
}

func (s *referenceState) done(job string) bool {
	for i := range s.total[job] {
		if _, ok := s.outcome[itemID(job, uint32(i))]; !ok {
			return false
		}
	}
	return s.accepted[job]
}

func itemID(job string, index uint32) string {
	return fmt.Sprintf("%x/%d", job, index)
}

const (
	testItems   = 5
	testWriters = 3
	testJobs    = 3
)

func testID(n int) []byte {
	return bytes.Repeat([]byte{byte(n + 1)}, 16)
}

// foldMachine appends drawn records to a log. It folds them record by record with
// restarts from snapshots, by a replay from offset 0, and with referenceModel.
type foldMachine struct {
	reference referenceModel
	log       []infra.Record
	fold      *Partition
	seqs      [testWriters]uint64
	epochs    [testWriters]uint64 // epoch of each writer's last takeover
}

func (m *foldMachine) append(env *wire.Envelope) {
	data, err := proto.Marshal(env)
	if err != nil {
		panic(err)
	}
	rec := infra.Record{Offset: uint64(len(m.log)), Time: time.Unix(1000, 0), Data: data}
	m.log = append(m.log, rec)
	inc, _ := oplog.IncarnationFrom(env.GetIncarnation())
	for _, e := range env.GetEntries() {
		m.reference.records = append(m.reference.records, referenceRecord{inc: inc, seq: env.GetSeq(), epoch: env.GetEpoch(), entry: e})
	}
	m.fold.Apply(rec)
}

func (m *foldMachine) write(writer int, epoch uint64, entry *wire.Entry) {
	m.seqs[writer]++
	m.append(&wire.Envelope{Incarnation: testID(100 + writer), Seq: m.seqs[writer], Epoch: epoch, Entries: []*wire.Entry{entry}})
}

func drawWriter(t *rapid.T) int { return rapid.IntRange(0, testWriters-1).Draw(t, "writer") }
func drawJob(t *rapid.T) []byte { return testID(rapid.IntRange(0, testJobs-1).Draw(t, "job")) }
func drawIndex(t *rapid.T) uint32 {
	return uint32(rapid.IntRange(0, testItems).Draw(t, "index"))
}

// Takeover appends a takeover, mostly with the next epoch, sometimes with an old
// one or a gap.
func (m *foldMachine) Takeover(t *rapid.T) {
	w := drawWriter(t)
	epoch := m.fold.Epoch() + 1
	switch rapid.IntRange(0, 5).Draw(t, "kind") {
	case 0:
		epoch = m.epochs[w] + 1
	case 1:
		epoch++
	}
	m.epochs[w] = epoch
	m.write(w, epoch, &wire.Entry{Kind: &wire.Entry_Takeover{Takeover: &wire.Takeover{Owner: fmt.Sprint(w)}}})
}

// Release appends a release of a writer that may not own the partition.
func (m *foldMachine) Release(t *rapid.T) {
	w := drawWriter(t)
	m.write(w, m.epochs[w], &wire.Entry{Kind: &wire.Entry_Release{Release: &wire.Release{}}})
}

// Accept appends a file and a job over it.
func (m *foldMachine) Accept(t *rapid.T) {
	w := drawWriter(t)
	job := drawJob(t)
	m.write(w, m.epochs[w], &wire.Entry{Kind: &wire.Entry_Chunk{Chunk: &wire.PutChunk{Workspace: "w", File: job, Lines: make([][]byte, testItems)}}})
	m.write(w, m.epochs[w], &wire.Entry{Kind: &wire.Entry_Seal{Seal: &wire.SealFile{Workspace: "w", File: job, Chunks: 1, Lines: testItems}}})
	m.write(w, m.epochs[w], &wire.Entry{Kind: &wire.Entry_Commit{Commit: &wire.CommitJob{Job: job, File: job, Workspace: "w", KeepMs: time.Hour.Milliseconds()}}})
}

// Result appends outcomes of drawn items.
func (m *foldMachine) Result(t *rapid.T) {
	w := drawWriter(t)
	outcomes := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) *wire.Outcome {
		return &wire.Outcome{Index: drawIndex(t), Ok: rapid.Bool().Draw(t, "ok"), Text: []byte(rapid.SampledFrom([]string{"a", "b"}).Draw(t, "text"))}
	}), 1, 4).Draw(t, "outcomes")
	m.write(w, m.epochs[w], &wire.Entry{Kind: &wire.Entry_Results{Results: &wire.Results{Job: drawJob(t), Outcomes: outcomes}}})
}

// Start appends the start of a non-idempotent item.
func (m *foldMachine) Start(t *rapid.T) {
	w := drawWriter(t)
	m.write(w, m.epochs[w], &wire.Entry{Kind: &wire.Entry_Starts{Starts: &wire.ItemStarts{Job: drawJob(t), Index: []uint32{uint32(rapid.IntRange(0, testItems-1).Draw(t, "index"))}}}})
}

// Cancel appends the cancel of a job.
func (m *foldMachine) Cancel(t *rapid.T) {
	w := drawWriter(t)
	m.write(w, m.epochs[w], &wire.Entry{Kind: &wire.Entry_Cancel{Cancel: &wire.CancelJob{Job: drawJob(t)}}})
}

// LateDuplicate appends an earlier record again.
func (m *foldMachine) LateDuplicate(t *rapid.T) {
	if len(m.log) == 0 {
		t.Skip("no record to duplicate")
	}
	env, _, _ := oplog.Decode(m.log[rapid.IntRange(0, len(m.log)-1).Draw(t, "record")].Data)
	m.append(env)
}

// Snapshot replaces the fold by one restored from its snapshot, as a new owner
// does.
func (m *foldMachine) Snapshot(t *rapid.T) {
	size := rapid.IntRange(40, 400).Draw(t, "part size")
	finder := NewSnapshotFinder()
	for n, part := range m.fold.Snapshot(size) {
		env := &wire.Envelope{Incarnation: testID(200), Seq: uint64(n + 1), Epoch: m.fold.Epoch(), Entries: []*wire.Entry{{Kind: &wire.Entry_Snapshot{Snapshot: part}}}}
		data, err := proto.Marshal(env)
		if err != nil {
			t.Fatal(err)
		}
		finder.Add(infra.Record{Offset: uint64(n), Data: data})
	}
	data, next, ok := finder.Snapshot()
	if !ok || next != m.fold.Next() {
		t.Fatalf("snapshot at offset %d: found is %t with offset %d", m.fold.Next(), ok, next)
	}
	fold, err := Restore(0, data)
	if err != nil {
		t.Fatal(err)
	}
	m.fold = fold
}

// Check compares the fold, and a replay from offset 0, with the reference model.
func (m *foldMachine) Check(t *rapid.T) {
	want := m.reference.replay()
	m.compare(t, "fold", m.fold, &want)
	replay := NewPartition(0)
	for _, rec := range m.log {
		replay.Apply(rec)
	}
	m.compare(t, "replay", replay, &want)
}

func (m *foldMachine) compare(t *rapid.T, what string, p *Partition, want *referenceState) {
	if p.Epoch() != want.epoch || p.OwnedBy(want.owner) != want.owned {
		t.Fatalf("%s: epoch %d owned %t, want %d %t", what, p.Epoch(), p.OwnedBy(want.owner), want.epoch, want.owned)
	}
	for n := range testJobs {
		id := testID(n)
		j := p.Job(JobID(id))
		if (j != nil) != want.accepted[string(id)] {
			t.Fatalf("%s: job %d exists: %t; the reference model disagrees", what, n, j != nil)
		}
		if j != nil {
			m.compareJob(t, what, j, want)
		}
	}
}

func (m *foldMachine) compareJob(t *rapid.T, what string, j *Job, want *referenceState) {
	job := string(j.ID[:])
	state := JobRunning
	switch {
	case want.cancelled[job]:
		state = JobCancelled
	case want.done(job):
		state = JobCompleted
	}
	if j.State() != state {
		t.Fatalf("%s: job is %s, want %s", what, j.State(), state)
	}
	if j.succeeded.Intersects(j.failed) {
		t.Fatalf("%s: items %v have two outcomes", what, j.succeeded)
	}
	texts := m.outcomeTexts(j)
	for i := range uint32(testItems) {
		got, outcome := texts[i], want.outcome[itemID(job, i)]
		if got != outcome {
			t.Fatalf("%s: item %d is %q, want %q", what, i, got, outcome)
		}
		if terminal := j.succeeded.Contains(i) || j.failed.Contains(i); terminal != (outcome != "") {
			t.Fatalf("%s: item %d terminal: %t; the reference model disagrees", what, i, terminal)
		}
		if j.started.Contains(i) != want.started[itemID(job, i)] {
			t.Fatalf("%s: item %d started: %t; the reference model disagrees", what, i, j.started.Contains(i))
		}
	}
}

// outcomeTexts reads results as package ledger does: from the records that
// ResultOffsets returns, and the first outcome of an item counts.
func (m *foldMachine) outcomeTexts(j *Job) map[uint32]string {
	out := make(map[uint32]string)
	offsets := j.ResultOffsets(0, testItems)
	slices.Sort(offsets)
	for _, off := range slices.Compact(offsets) {
		for _, o := range DecodeOutcomes(m.log[off].Data, j.ID) {
			if _, ok := out[o.GetIndex()]; !ok {
				out[o.GetIndex()] = fmt.Sprint(o.GetOk(), string(o.GetText()), o.GetReason())
			}
		}
	}
	return out
}

// Guards against a wrong outcome of an item or a wrong state of a job after
// takeovers, writes of superseded owners, late duplicates and restarts from
// snapshots. This happens when the epoch fence is missing, records are
// deduplicated by content, a later outcome replaces the first, or a snapshot loses
// state.
func TestFoldMatchesReferenceModel(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		m := &foldMachine{fold: NewPartition(0)}
		rt.Repeat(map[string]func(*rapid.T){
			"takeover": m.Takeover, "release": m.Release, "accept": m.Accept, "result": m.Result,
			"more results": m.Result, "start": m.Start, "cancel": m.Cancel, "late copy": m.LateDuplicate,
			"snapshot": m.Snapshot, "": m.Check,
		})
	})
}
