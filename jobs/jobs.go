// Package jobs folds the records of one store partition into batch jobs. It does no I/O:
// its functions take records in and return the records to append.
//
// Every value is written once and never changed, so folding records twice or in another
// order gives the same jobs. A caller decides what to append on the folded state and
// appends it only if the partition still ends where that state ends. Of two writers with
// the same state, one is rejected, folds the new records and decides again.
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

// maxChunkBytes is the largest part of a value that one record carries. It leaves room for
// the key and the framing within the store's record limit of 256 KiB.
const maxChunkBytes = 200 << 10

// Kinds of keys. A key is JOB/KIND/NUMBER/CHUNK.
const (
	kindSpec     = "spec"
	kindResult   = "result"   // by position
	kindFailures = "failures" // by item
	kindEnd      = "end"
	// kindHint is the spec of a job that this partition accepted because the job's home
	// partition was unavailable. The hint is handed off to the home partition, which
	// holds all other records of the job.
	kindHint = "hint"
)

// Result is one listed result.
type Result struct {
	Item int  // index in the spec
	Dead bool // the item was given up without a result
	Text []byte
}

// Job is the state of one job.
type Job struct {
	ID    string
	Spec  *wire.JobSpec // nil until all its chunks have been folded
	Ended bool          // the client ended the job
	hint  *wire.JobSpec // nil unless the job was accepted for another partition

	results  map[int]*Result // by position
	listed   map[int]bool    // by item
	failures map[int]*wire.ItemFailures
	partials map[string]*partial // values with missing chunks
	keys     map[string]struct{} // all live keys, for tombstones
}

// partial is a value of several chunks, some of which are missing.
type partial struct {
	total  int
	chunks map[int][]byte
}

// Total returns the number of items.
func (j *Job) Total() int {
	return len(j.Spec.GetItems())
}

// Listed returns the number of results from position 0 up to the first gap.
func (j *Job) Listed() int {
	n := 0
	for j.results[n] != nil {
		n++
	}
	return n
}

// Result returns the result at a position, or nil if there is none yet.
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

// Failures returns the stored number of failed attempts of an item, and whether a target
// reported that the item can never be processed.
func (j *Job) Failures(item int) (failed int, impossible bool) {
	f := j.failures[item]
	return int(f.GetFailed()), f.GetImpossible()
}

// Table holds the jobs of a partition. It is not safe for concurrent use.
type Table struct {
	jobs map[string]*Job
	// onUnreadable is called for each record that cannot be folded.
	onUnreadable func(key string, err error)
}

// NewTable returns an empty Table. It calls onUnreadable for each record that cannot be
// folded, and skips the record.
func NewTable(onUnreadable func(key string, err error)) *Table {
	return &Table{jobs: make(map[string]*Job), onUnreadable: onUnreadable}
}

// Get returns a job whose spec is complete, or nil if there is none.
func (t *Table) Get(id string) *Job {
	if j := t.jobs[id]; j != nil && j.Spec != nil {
		return j
	}
	return nil
}

// Jobs returns all jobs whose spec is complete, in no particular order.
func (t *Table) Jobs() []*Job {
	var out []*Job
	for _, j := range t.jobs {
		if j.Spec != nil {
			out = append(out, j)
		}
	}
	return out
}

// Hint returns the spec of a job that was accepted here for another partition, or nil if
// there is none.
func (t *Table) Hint(id string) *wire.JobSpec {
	if j := t.jobs[id]; j != nil {
		return j.hint
	}
	return nil
}

// Hints returns the specs of all jobs that were accepted here for other partitions.
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
			t.onUnreadable(r.Key, err)
		}
	}
}

// errMalformedKey is the error for a key that does not follow the key layout.
var errMalformedKey = errors.New("record key does not have the form JOB/KIND/NUMBER/CHUNK")

// apply folds one record. A record without a value is a tombstone.
func (t *Table) apply(r store.Record) error {
	id, kind, number, chunk, err := parseKey(r.Key)
	if err != nil {
		return err
	}
	if len(r.Value) == 0 {
		t.removeKey(id, r.Key)
		return nil
	}
	j := t.jobs[id]
	if j == nil {
		j = &Job{
			ID:       id,
			results:  make(map[int]*Result),
			listed:   make(map[int]bool),
			failures: make(map[int]*wire.ItemFailures),
			partials: make(map[string]*partial),
			keys:     make(map[string]struct{}),
		}
		t.jobs[id] = j
	}
	j.keys[r.Key] = struct{}{}
	var c wire.Chunk
	if err := proto.Unmarshal(r.Value, &c); err != nil {
		return err
	}
	data, complete := j.assemble(kind+"/"+strconv.Itoa(number), chunk, &c)
	if !complete {
		return nil
	}
	return j.setValue(kind, number, data)
}

// removeKey removes a key of a job, and the job along with its last key.
func (t *Table) removeKey(id, key string) {
	j := t.jobs[id]
	if j == nil {
		return
	}
	delete(j.keys, key)
	if len(j.keys) == 0 {
		delete(t.jobs, id)
	}
}

// assemble adds a chunk to a value. It returns the value once all chunks are there, and
// reports whether they are.
func (j *Job) assemble(value string, chunk int, c *wire.Chunk) ([]byte, bool) {
	if c.GetTotal() <= 1 {
		return c.GetData(), true
	}
	p := j.partials[value]
	if p == nil {
		p = &partial{total: int(c.GetTotal()), chunks: make(map[int][]byte)}
		j.partials[value] = p
	}
	p.chunks[chunk] = c.GetData()
	if len(p.chunks) < p.total {
		return nil, false
	}
	var all []byte
	for i := range p.total {
		all = append(all, p.chunks[i]...)
	}
	delete(j.partials, value)
	return all, true
}

// setValue folds a complete value into the job. Unknown kinds are ignored.
func (j *Job) setValue(kind string, number int, data []byte) error {
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
			return nil // the first result of a position or an item stays
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
	// keyFormat pads numbers so that the keys of a job sort in numeric order.
	keyFormat = "%s/%s/%06d/%03d"
)

func recordKey(job, kind string, number, chunk int) string {
	return fmt.Sprintf(keyFormat, job, kind, number, chunk)
}

// parseKey splits a record key. It returns errMalformedKey if k does not follow the layout.
func parseKey(k string) (job, kind string, number, chunk int, err error) {
	parts := strings.Split(k, "/")
	if len(parts) != keyParts {
		return "", "", 0, 0, errMalformedKey
	}
	number, err = strconv.Atoi(parts[2])
	if err != nil {
		return "", "", 0, 0, errMalformedKey
	}
	chunk, err = strconv.Atoi(parts[3])
	if err != nil {
		return "", "", 0, 0, errMalformedKey
	}
	return parts[0], parts[1], number, chunk, nil
}

// encodeRecords encodes a value as records of at most maxChunkBytes of data each.
func encodeRecords(job, kind string, number int, m proto.Message) ([]store.Record, error) {
	data, err := proto.Marshal(m)
	if err != nil {
		return nil, err
	}
	total := max(1, (len(data)+maxChunkBytes-1)/maxChunkBytes)
	var out []store.Record
	for i := range total {
		chunk := data[i*maxChunkBytes : min(len(data), (i+1)*maxChunkBytes)]
		value, err := proto.Marshal(&wire.Chunk{Total: uint32(total), Data: chunk})
		if err != nil {
			return nil, err
		}
		out = append(out, store.Record{Key: recordKey(job, kind, number, i), Value: value})
	}
	return out, nil
}
