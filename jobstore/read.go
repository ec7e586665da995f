package jobstore

import (
	"context"
	"time"

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

// Results returns the results from a position on. With none there it waits up to
// wait for one.
func (s *Store) Results(ctx context.Context, id string, from int, wait time.Duration) (Results, error) {
	p := s.at(s.PartitionOf(id))
	if !p.has(id) {
		if err := p.sure(ctx); err != nil {
			return Results{}, err
		}
		if !p.has(id) {
			return Results{}, ErrUnknownJob
		}
	}
	until := time.NewTimer(wait)
	defer until.Stop()
	for {
		res, changed, ok := p.results(id, from)
		if !ok {
			return Results{}, ErrUnknownJob
		}
		if len(res.Items) > 0 || res.Next >= res.Total {
			return res, nil
		}
		select {
		case <-changed:
			continue
		case <-ctx.Done():
		case <-until.C:
		}
		break
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

// Body returns the body of an item that is not listed yet.
func (s *Store) Body(ctx context.Context, id, item string) ([]byte, error) {
	p := s.at(s.PartitionOf(id))
	if body, ok := p.body(id, item); ok {
		return body, nil
	}
	if err := p.sure(ctx); err != nil {
		return nil, err
	}
	if body, ok := p.body(id, item); ok {
		return body, nil
	}
	return nil, ErrUnknownJob
}

func (p *partition) body(id, item string) (body []byte, ok bool) {
	p.follow.Look(func(int64, <-chan struct{}) {
		j := p.table.Get(id)
		if j == nil {
			return
		}
		if i := j.Item(item); i >= 0 {
			body, ok = j.Spec.GetItems()[i].GetBody(), true
		}
	})
	return body, ok
}

// OpenItem is an item that still has to run.
type OpenItem struct {
	Job        string
	Index      int
	Spec       *wire.JobSpec
	Item       *wire.JobItem
	Failed     int // attempts that failed, as far as written down
	Impossible bool
}

// Key returns what names the item.
func (o OpenItem) Key() ItemKey {
	return ItemKey{Job: o.Job, Item: o.Index}
}

// Open returns the items of a partition that still have to run, how old that
// knowledge may be at most, and a channel that is closed at the next change.
func (s *Store) Open(number int) (items []OpenItem, asOf time.Time, changed <-chan struct{}) {
	p := s.at(number)
	asOf = p.follow.AsOf()
	p.follow.Look(func(_ int64, ch <-chan struct{}) {
		changed = ch
		for _, j := range p.table.Jobs() {
			if j.Open() {
				items = append(items, openItems(j)...)
			}
		}
	})
	return items, asOf, changed
}

func openItems(j *jobs.Job) []OpenItem {
	var out []OpenItem
	for i, it := range j.Spec.GetItems() {
		if j.Done(i) {
			continue
		}
		failed, impossible := j.Failures(i)
		out = append(out, OpenItem{Job: j.ID, Index: i, Spec: j.Spec, Item: it, Failed: failed, Impossible: impossible})
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
