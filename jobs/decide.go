package jobs

import (
	"time"

	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/types/known/emptypb"

	"pumiceford/store"
	"pumiceford/wire"
)

// Outcome is a finished item that is to be listed.
type Outcome struct {
	Job  string
	Item int  // index in the spec
	Dead bool // the item was given up without a result
	Text []byte
	// HandOff is the job's spec if another partition accepted the job. A home
	// partition that does not have the job yet accepts it with its first results.
	HandOff *wire.JobSpec
	Due     time.Time // for the log only
}

// Accept returns the records that accept a job, or none if the table already has it.
func (t *Table) Accept(spec *wire.JobSpec) ([]store.Record, error) {
	if t.Get(spec.GetId()) != nil {
		return nil, nil
	}
	return encodeRecords(spec.GetId(), kindSpec, 0, spec)
}

// HintRecords returns the records that store a job as a hint at a partition other than its
// home partition.
func HintRecords(spec *wire.JobSpec) ([]store.Record, error) {
	return encodeRecords(spec.GetId(), kindHint, 0, spec)
}

// DropHint returns the tombstones that remove the hint of a job, or none if there is no
// hint.
func (t *Table) DropHint(id string) []store.Record {
	if t.Hint(id) == nil {
		return nil
	}
	var out []store.Record
	for k := range t.jobs[id].keys {
		out = append(out, store.Record{Key: k})
	}
	return out
}

// End returns the record that ends a job, or none if the job has ended or is unknown.
func (t *Table) End(id string) ([]store.Record, error) {
	j := t.Get(id)
	if j == nil || j.Ended {
		return nil, nil
	}
	return encodeRecords(id, kindEnd, 0, &emptypb.Empty{}) // the key alone carries the meaning
}

// List returns the records that list outcomes at the next free positions. It leaves out
// items that are already listed and items of unknown jobs. If a job has yet to be handed
// off, List returns only the records that accept it; the caller folds these and calls
// List again.
func (t *Table) List(outcomes []Outcome) ([]store.Record, error) {
	for _, o := range outcomes {
		if o.HandOff != nil && t.Get(o.Job) == nil {
			return t.Accept(o.HandOff)
		}
	}
	var out []store.Record
	next := make(map[string]int)
	added := make(map[string]map[int]bool)
	for _, o := range outcomes {
		j := t.Get(o.Job)
		if j == nil || j.Done(o.Item) || added[o.Job][o.Item] {
			continue
		}
		if added[o.Job] == nil {
			added[o.Job] = make(map[int]bool)
			next[o.Job] = len(j.results)
		}
		recs, err := encodeRecords(o.Job, kindResult, next[o.Job], &wire.ItemOutcome{Item: uint32(o.Item), Dead: o.Dead, Text: o.Text})
		if err != nil {
			return nil, err
		}
		added[o.Job][o.Item] = true
		next[o.Job]++
		out = append(out, recs...)
	}
	return out, nil
}

// Fail returns the records that store the number of failed attempts of an item and whether
// the item is impossible. It returns none if the table already holds at least as much.
func (t *Table) Fail(id string, item, failed int, impossible bool) ([]store.Record, error) {
	j := t.Get(id)
	if j == nil || j.Done(item) {
		return nil, nil
	}
	if knownFailed, knownImpossible := j.Failures(item); knownFailed >= failed && (knownImpossible || !impossible) {
		return nil, nil
	}
	return encodeRecords(id, kindFailures, item, &wire.ItemFailures{Failed: uint32(failed), Impossible: impossible})
}

// Expired returns the tombstones of all jobs that are not open and were accepted at least
// keep before now.
func (t *Table) Expired(now time.Time, keep time.Duration) []store.Record {
	var out []store.Record
	for _, j := range t.Jobs() {
		if j.Open() || now.Before(time.UnixMilli(j.Spec.GetAcceptedUnixMs()).Add(keep)) {
			continue
		}
		for k := range j.keys {
			out = append(out, store.Record{Key: k})
		}
	}
	return out
}

// SameWork reports whether two specs describe the same work. It ignores when they were
// accepted and where they run, because a client that got no response sends its job again
// later.
func SameWork(a, b *wire.JobSpec) bool {
	if a.GetHost() != b.GetHost() || a.GetPath() != b.GetPath() || len(a.GetItems()) != len(b.GetItems()) {
		return false
	}
	for i, it := range a.GetItems() {
		if !proto.Equal(it, b.GetItems()[i]) {
			return false
		}
	}
	return true
}
