// Package jobs folds the records of one store partition into batch jobs. It is
// pure: records come in, and what to append comes out.
//
// Every value is written once and never changed, so records may be folded twice
// or in another order and give the same jobs. What may be appended is decided on
// the folded state and appended only if the partition still ends where that state
// ends; of two writers with the same state one is turned away and looks again.
package jobs

import (
	"fmt"
	"strconv"
	"strings"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"

	"pumiceford/store"
	"pumiceford/wire"
)

// chunkBytes is the most that one record carries of a value: under the store's
// 256 KiB a record, with room for the key and the frame.
const chunkBytes = 200 << 10

// Kinds of keys. A key is JOB/KIND/NUMBER/CHUNK.
const (
	kindSpec     = "spec"
	kindResult   = "result"   // by position
	kindFailures = "failures" // by item
	kindEnd      = "end"
	// kindHint is a job that was taken in here because the partition of its id
	// was away. It is handed off to that partition, where all else of it is.
	kindHint = "hint"
)

// Result is one listed result.
type Result struct {
	Item int // index in the spec
	Dead bool
	Text []byte
}

// Job is the state of one job.
type Job struct {
	ID    string
	Spec  *wire.JobSpec // nil until all of it was read
	Ended bool          // its client ended it
	hint  *wire.JobSpec // nil unless the job was taken in for another partition

	results  map[int]*Result // by position
	listed   map[int]bool    // by item
	failures map[int]*wire.ItemFailures
	parts    map[string]*partial // values of which chunks are missing
	keys     map[string]struct{} // all live keys, for removal
}

// partial is a value of several chunks.
type partial struct {
	total  int
	chunks map[int][]byte
}

// Total returns the number of items.
func (j *Job) Total() int {
	return len(j.Spec.GetItems())
}

// Listed returns how many results can be read, from position 0 without gaps.
func (j *Job) Listed() int {
	n := 0
	for j.results[n] != nil {
		n++
	}
	return n
}

// Result returns the result at a position, nil when there is none yet.
func (j *Job) Result(position int) *Result {
	return j.results[position]
}

// Done reports whether an item is listed.
func (j *Job) Done(item int) bool {
	return j.listed[item]
}

// Complete reports whether all items are listed.
func (j *Job) Complete() bool {
	return j.Spec != nil && len(j.listed) >= j.Total()
}

// Open reports whether items of the job still have to run.
func (j *Job) Open() bool {
	return j.Spec != nil && !j.Ended && !j.Complete()
}

// Failures returns the failed attempts of an item that were written down, and
// whether a target said that it can never be done.
func (j *Job) Failures(item int) (failed int, impossible bool) {
	f := j.failures[item]
	return int(f.GetFailed()), f.GetImpossible()
}

// Table holds the jobs of a partition. It is not safe for concurrent use.
type Table struct {
	jobs map[string]*Job
	// unreadable is told of each record that cannot be folded.
	unreadable func(key string, err error)
}

// NewTable returns an empty Table. A record that cannot be folded is left out, and
// unreadable is told of it.
func NewTable(unreadable func(key string, err error)) *Table {
	return &Table{jobs: make(map[string]*Job), unreadable: unreadable}
}

// Get returns a job whose spec is whole, nil when there is none.
func (t *Table) Get(id string) *Job {
	if j := t.jobs[id]; j != nil && j.Spec != nil {
		return j
	}
	return nil
}

// Jobs returns all jobs whose spec is whole.
func (t *Table) Jobs() []*Job {
	var out []*Job
	for _, j := range t.jobs {
		if j.Spec != nil {
			out = append(out, j)
		}
	}
	return out
}

// Hint returns a job that was taken in here for another partition, nil when there
// is none.
func (t *Table) Hint(id string) *wire.JobSpec {
	if j := t.jobs[id]; j != nil {
		return j.hint
	}
	return nil
}

// Hints returns all jobs that were taken in here for other partitions.
func (t *Table) Hints() []*wire.JobSpec {
	var out []*wire.JobSpec
	for _, j := range t.jobs {
		if j.hint != nil {
			out = append(out, j.hint)
		}
	}
	return out
}

// Reset implements store.Sink.
func (t *Table) Reset(recs []store.Record) {
	t.jobs = make(map[string]*Job)
	t.Apply(recs...)
}

// Apply implements store.Sink.
func (t *Table) Apply(recs ...store.Record) {
	for _, r := range recs {
		if err := t.apply(r); err != nil {
			t.unreadable(r.Key, err)
		}
	}
}

// errForeign says that a record is none of ours.
var errForeign = errors.New("record of no known kind")

func (t *Table) apply(r store.Record) error {
	id, kind, number, chunk, err := parseKey(r.Key)
	if err != nil {
		return err
	}
	if len(r.Value) == 0 {
		t.drop(id, r.Key)
		return nil
	}
	j := t.jobs[id]
	if j == nil {
		j = &Job{
			ID:       id,
			results:  make(map[int]*Result),
			listed:   make(map[int]bool),
			failures: make(map[int]*wire.ItemFailures),
			parts:    make(map[string]*partial),
			keys:     make(map[string]struct{}),
		}
		t.jobs[id] = j
	}
	j.keys[r.Key] = struct{}{}
	var c wire.Chunk
	if err := proto.Unmarshal(r.Value, &c); err != nil {
		return err
	}
	data, whole := j.assemble(kind+"/"+strconv.Itoa(number), chunk, &c)
	if !whole {
		return nil
	}
	return j.take(kind, number, data)
}

// drop forgets a key of a job that is no longer kept. The job goes with its last.
func (t *Table) drop(id, key string) {
	j := t.jobs[id]
	if j == nil {
		return
	}
	delete(j.keys, key)
	if len(j.keys) == 0 {
		delete(t.jobs, id)
	}
}

func (j *Job) assemble(value string, chunk int, c *wire.Chunk) ([]byte, bool) {
	if c.GetTotal() <= 1 {
		return c.GetData(), true
	}
	p := j.parts[value]
	if p == nil {
		p = &partial{total: int(c.GetTotal()), chunks: make(map[int][]byte)}
		j.parts[value] = p
	}
	p.chunks[chunk] = c.GetData()
	if len(p.chunks) < p.total {
		return nil, false
	}
	var all []byte
	for i := range p.total {
		all = append(all, p.chunks[i]...)
	}
	delete(j.parts, value)
	return all, true
}

func (j *Job) take(kind string, number int, data []byte) error {
	switch kind {
	case kindSpec:
		spec := &wire.JobSpec{}
		if err := proto.Unmarshal(data, spec); err != nil {
			return err
		}
		j.Spec = spec
	case kindResult:
		var r wire.ItemOutcome
		if err := proto.Unmarshal(data, &r); err != nil {
			return err
		}
		if j.results[number] != nil || j.listed[int(r.GetItem())] {
			return nil // folded twice
		}
		j.results[number] = &Result{Item: int(r.GetItem()), Dead: r.GetDead(), Text: r.GetText()}
		j.listed[int(r.GetItem())] = true
	case kindFailures:
		f := &wire.ItemFailures{}
		if err := proto.Unmarshal(data, f); err != nil {
			return err
		}
		old := j.failures[number]
		f.Failed = max(f.GetFailed(), old.GetFailed())
		f.Impossible = f.GetImpossible() || old.GetImpossible()
		j.failures[number] = f
	case kindEnd:
		j.Ended = true
	case kindHint:
		hint := &wire.JobSpec{}
		if err := proto.Unmarshal(data, hint); err != nil {
			return err
		}
		j.hint = hint
	}
	return nil
}

// Key layout.
const (
	keyParts = 4
	// numberFormat keeps keys of a job in their order.
	numberFormat = "%s/%s/%06d/%03d"
)

func key(job, kind string, number, chunk int) string {
	return fmt.Sprintf(numberFormat, job, kind, number, chunk)
}

func parseKey(k string) (job, kind string, number, chunk int, err error) {
	parts := strings.Split(k, "/")
	if len(parts) != keyParts {
		return "", "", 0, 0, errForeign
	}
	number, err = strconv.Atoi(parts[2])
	if err != nil {
		return "", "", 0, 0, errForeign
	}
	chunk, err = strconv.Atoi(parts[3])
	if err != nil {
		return "", "", 0, 0, errForeign
	}
	return parts[0], parts[1], number, chunk, nil
}

// split cuts a value into records.
func split(job, kind string, number int, m proto.Message) ([]store.Record, error) {
	data, err := proto.Marshal(m)
	if err != nil {
		return nil, err
	}
	total := max(1, (len(data)+chunkBytes-1)/chunkBytes)
	var out []store.Record
	for i := range total {
		part := data[i*chunkBytes : min(len(data), (i+1)*chunkBytes)]
		value, err := proto.Marshal(&wire.Chunk{Total: uint32(total), Data: part})
		if err != nil {
			return nil, err
		}
		out = append(out, store.Record{Key: key(job, kind, number, i), Value: value})
	}
	return out, nil
}
