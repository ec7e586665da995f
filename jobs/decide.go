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
	Item int
	Dead bool
	Text []byte
	// HandOff is the job's spec when it was taken in elsewhere: a partition that
	// does not have it yet takes it in together with its first results.
	HandOff *wire.JobSpec
	Due     time.Time // for the log only
}

// Accept returns the records that take a job in, none when it is there already.
func (t *Table) Accept(spec *wire.JobSpec) ([]store.Record, error) {
	if t.Get(spec.GetId()) != nil {
		return nil, nil
	}
	return split(spec.GetId(), kindSpec, 0, spec)
}

// HintRecords returns the records by which a partition keeps a job for another.
func HintRecords(spec *wire.JobSpec) ([]store.Record, error) {
	return split(spec.GetId(), kindHint, 0, spec)
}

// DropHint returns the records that forget a job that was taken in for another
// partition.
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

// End returns the record that ends a job, none when it has ended or is unknown.
func (t *Table) End(id string) ([]store.Record, error) {
	j := t.Get(id)
	if j == nil || j.Ended {
		return nil, nil
	}
	return split(id, kindEnd, 0, &emptypb.Empty{}) // that it is there says all
}

// List returns the records that list outcomes at the next free positions. An
// item that is listed already, or whose job is gone, is left out. A job that has
// still to be handed off is taken in first; its outcomes are listed on the state
// after that.
func (t *Table) List(outcomes []Outcome) ([]store.Record, error) {
	for _, o := range outcomes {
		if o.HandOff != nil && t.Get(o.Job) == nil {
			return t.Accept(o.HandOff)
		}
	}
	var out []store.Record
	next := make(map[string]int)
	taken := make(map[string]map[int]bool)
	for _, o := range outcomes {
		j := t.Get(o.Job)
		if j == nil || j.Done(o.Item) || taken[o.Job][o.Item] {
			continue
		}
		if taken[o.Job] == nil {
			taken[o.Job] = make(map[int]bool)
			next[o.Job] = len(j.results)
		}
		recs, err := split(o.Job, kindResult, next[o.Job], &wire.ItemOutcome{Item: uint32(o.Item), Dead: o.Dead, Text: o.Text})
		if err != nil {
			return nil, err
		}
		taken[o.Job][o.Item] = true
		next[o.Job]++
		out = append(out, recs...)
	}
	return out, nil
}

// Fail returns the record that adds a failed attempt of an item.
func (t *Table) Fail(id string, item, failed int, impossible bool) ([]store.Record, error) {
	j := t.Get(id)
	if j == nil || j.Done(item) {
		return nil, nil
	}
	if known, never := j.Failures(item); known >= failed && (never || !impossible) {
		return nil, nil
	}
	return split(id, kindFailures, item, &wire.ItemFailures{Failed: uint32(failed), Impossible: impossible})
}

// Expired returns the records that drop all jobs which need not be readable any
// more: those that are not open, keep after they were accepted.
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

// Same reports whether two specs ask for the same work. When they came and where
// they run is left out: a client that got no answer sends its job again later.
func Same(a, b *wire.JobSpec) bool {
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
