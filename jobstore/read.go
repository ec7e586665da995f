package jobstore

import (
	"context"
	"time"

	"pumiceford/internal/wait"
	"pumiceford/jobs"
	"pumiceford/wire"
)

// Results is a part of a job's results.
type Results struct {
	Total int
	Next  int // position after the last one returned
	Items []ResultItem
}

// ResultItem is one result with its item's id.
type ResultItem struct {
	ID   string
	Dead bool
	Text []byte
}

// MaxResultBytes bounds the texts of one answer. At least one result is returned.
const MaxResultBytes = 900 << 10

// Results returns the results from a position on. With none there it waits for one, for
// longest at most.
func (s *Store) Results(ctx context.Context, id string, from int, longest time.Duration) (Results, error) {
	p, err := s.find(ctx, id)
	if err != nil {
		return Results{}, err
	}
	for until := time.Now().Add(longest); ; {
		res, changed, ok := p.results(id, from)
		if !ok {
			return Results{}, ErrUnknownJob
		}
		if len(res.Items) > 0 || res.Next >= res.Total {
			return res, nil
		}
		if !wait.ForChange(ctx, changed, time.Until(until)) {
			break
		}
	}
	// Nothing there so far. Another process may have told of a result already.
	if err := p.sure(context.WithoutCancel(ctx)); err != nil {
		return Results{}, err
	}
	res, _, ok := p.results(id, from)
	if !ok {
		return Results{}, ErrUnknownJob
	}
	return res, nil
}

func (p *partition) results(id string, from int) (res Results, changed <-chan struct{}, ok bool) {
	p.follow.Look(func(_ int64, ch <-chan struct{}) {
		changed = ch
		j := p.table.Get(id)
		if j == nil {
			return
		}
		ok = true
		res = slice(j, from)
	})
	return res, changed, ok
}

func slice(j *jobs.Job, from int) Results {
	res := Results{Total: j.Total(), Next: from}
	bytes := 0
	for {
		r := j.Result(res.Next)
		if r == nil || (bytes > 0 && bytes+len(r.Text) > MaxResultBytes) {
			return res
		}
		res.Items = append(res.Items, ResultItem{ID: j.Spec.GetItems()[r.Item].GetId(), Dead: r.Dead, Text: r.Text})
		bytes += len(r.Text) + 1
		res.Next++
	}
}

// Has reports whether a job is known here, without asking the store.
func (s *Store) Has(id string) bool {
	p := s.followed(s.PartitionOf(id))
	return p != nil && p.has(id)
}

// Body returns the body of an item that is not listed yet. It is the same in the
// job's own partition and in one that keeps the job for it.
func (s *Store) Body(ctx context.Context, id, item string) ([]byte, error) {
	if hint, _ := s.knownHint(id); hint != nil {
		if body, ok := bodyIn(hint, item); ok {
			return body, nil
		}
	}
	p, err := s.find(ctx, id)
	if err != nil {
		return nil, err
	}
	if body, ok := p.body(id, item); ok {
		return body, nil
	}
	return nil, ErrUnknownJob
}

func (p *partition) body(id, item string) (body []byte, ok bool) {
	p.follow.Look(func(int64, <-chan struct{}) {
		if j := p.table.Get(id); j != nil {
			body, ok = bodyIn(j.Spec, item)
		}
	})
	return body, ok
}

func bodyIn(spec *wire.JobSpec, item string) ([]byte, bool) {
	for _, it := range spec.GetItems() {
		if it.GetId() == item {
			return it.GetBody(), true
		}
	}
	return nil, false
}

// OpenItem is an item that still has to run.
type OpenItem struct {
	Home       int // partition where its result is listed
	Job        string
	Index      int
	Spec       *wire.JobSpec
	Item       *wire.JobItem
	Failed     int // attempts that failed, as far as written down
	Impossible bool
	// HandOff is the spec for the job's own partition when that may not have it
	// yet, nil otherwise.
	HandOff *wire.JobSpec
}

// Key returns what names the item.
func (o OpenItem) Key() ItemKey {
	return ItemKey{Job: o.Job, Item: o.Index}
}

// Open returns the items that the runner of a partition still has to run: those of
// its own jobs and of the jobs that it keeps for other partitions. Other partitions
// are looked at after it, never at the same time: two followers are not locked
// together.
func (s *Store) Open(number int) []OpenItem {
	p := s.at(number)
	var items []OpenItem
	var hints []*wire.JobSpec
	p.follow.Look(func(int64, <-chan struct{}) {
		for _, j := range p.table.Jobs() {
			if j.Open() && runFrom(j.Spec, number) == number {
				items = append(items, openItems(j, number)...)
			}
		}
		hints = p.table.Hints()
	})
	for _, hint := range hints {
		items = append(items, s.openHint(hint, number)...)
	}
	return items
}

// openHint returns the open items of a job that a partition keeps for another.
func (s *Store) openHint(hint *wire.JobSpec, number int) (items []OpenItem) {
	home := s.at(s.PartitionOf(hint.GetId()))
	there := false
	home.follow.Look(func(int64, <-chan struct{}) {
		j := home.table.Get(hint.GetId())
		if there = j != nil; there && j.Open() && runFrom(j.Spec, home.number) == number {
			items = openItems(j, home.number)
		}
	})
	if there {
		return items
	}
	spec := handedOff(hint, number)
	for i, it := range spec.GetItems() {
		items = append(items, OpenItem{Home: home.number, Job: spec.GetId(), Index: i, Spec: spec, Item: it, HandOff: spec})
	}
	return items
}

func openItems(j *jobs.Job, home int) []OpenItem {
	var out []OpenItem
	for i, it := range j.Spec.GetItems() {
		if j.Done(i) {
			continue
		}
		failed, impossible := j.Failures(i)
		out = append(out, OpenItem{Home: home, Job: j.ID, Index: i, Spec: j.Spec, Item: it, Failed: failed, Impossible: impossible})
	}
	return out
}

// AsOf returns the moment up to which a partition's state is known.
func (s *Store) AsOf(number int) time.Time {
	return s.at(number).follow.AsOf()
}

// Refresh makes sure that a partition's state is at most maxAge old.
func (s *Store) Refresh(ctx context.Context, number int, maxAge time.Duration) error {
	return s.at(number).follow.Catch(ctx, maxAge)
}
