package jobstore

import (
	"context"
	"time"

	"pumiceford/internal/wait"
	"pumiceford/jobs"
	"pumiceford/wire"
)

// Results is a range of a job's results.
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

// MaxResultBytes bounds the total size of the texts in one Results, except that a single
// result may exceed it.
const MaxResultBytes = 900 << 10

// Results returns the results of a job from a position on. If there are none yet and the
// job has more to come, it waits for one for at most maxWait.
func (s *Store) Results(ctx context.Context, id string, from int, maxWait time.Duration) (Results, error) {
	p, err := s.find(ctx, id)
	if err != nil {
		return Results{}, err
	}
	for until := time.Now().Add(maxWait); ; {
		res, changed, ok := p.results(id, from)
		if !ok {
			return Results{}, ErrJobNotFound
		}
		if len(res.Items) > 0 || res.Next >= res.Total {
			return res, nil
		}
		if !wait.ForChange(ctx, changed, time.Until(until)) {
			break
		}
	}
	// Another process may have returned a result already that this process has not read yet.
	if err := p.ensureFresh(context.WithoutCancel(ctx)); err != nil {
		return Results{}, err
	}
	res, _, ok := p.results(id, from)
	if !ok {
		return Results{}, ErrJobNotFound
	}
	return res, nil
}

// results returns the results of a job from a position on and a channel that is closed at
// the next change. ok is false if the partition does not have the job.
func (p *partition) results(id string, from int) (res Results, changed <-chan struct{}, ok bool) {
	p.follower.View(func(_ int64, ch <-chan struct{}) {
		changed = ch
		j := p.table.Get(id)
		if j == nil {
			return
		}
		ok = true
		res = resultsFrom(j, from)
	})
	return res, changed, ok
}

// resultsFrom returns the results of j from a position on, up to MaxResultBytes.
func resultsFrom(j *jobs.Job, from int) Results {
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

// Has reports whether this process knows the job from a partition that it follows. It
// does not read the store.
func (s *Store) Has(id string) bool {
	p := s.followed(s.PartitionOf(id))
	return p != nil && p.has(id)
}

// Body returns the body of an item that is not listed yet. A hint may serve it, since the
// hint and the job in the home partition have the same body.
func (s *Store) Body(ctx context.Context, id, item string) ([]byte, error) {
	if hint, _ := s.knownHint(id); hint != nil {
		if body, ok := itemBody(hint, item); ok {
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
	return nil, ErrJobNotFound
}

func (p *partition) body(id, item string) (body []byte, ok bool) {
	p.follower.View(func(int64, <-chan struct{}) {
		if j := p.table.Get(id); j != nil {
			body, ok = itemBody(j.Spec, item)
		}
	})
	return body, ok
}

func itemBody(spec *wire.JobSpec, item string) ([]byte, bool) {
	for _, it := range spec.GetItems() {
		if it.GetId() == item {
			return it.GetBody(), true
		}
	}
	return nil, false
}

// OpenItem is an item without a listed result.
type OpenItem struct {
	Home           int // partition in which its result is listed
	Job            string
	Index          int
	Spec           *wire.JobSpec
	Item           *wire.JobItem
	FailedAttempts int  // recorded number of failed attempts
	Impossible     bool // a target reported that the item can never succeed
	// HandOff is the spec to store in the home partition if that may not have the job yet,
	// and nil otherwise.
	HandOff *wire.JobSpec
}

// Key returns the item's key.
func (o OpenItem) Key() ItemKey {
	return ItemKey{Job: o.Job, Item: o.Index}
}

// OpenItems returns the items that the runner of a partition still has to run: those of the
// partition's own jobs and those of the hints that it keeps for other partitions. It locks
// one follower at a time, so it reads the other partitions after this one. It reports false while
// the partition is not loaded, so that its items are not known.
func (s *Store) OpenItems(number int) (items []OpenItem, known bool) {
	p := s.forRunner(number)
	var hints []*wire.JobSpec
	known = p.follower.View(func(int64, <-chan struct{}) {
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
	return items, known
}

// openHint returns the open items of a hint that partition number keeps.
func (s *Store) openHint(hint *wire.JobSpec, number int) (items []OpenItem) {
	home := s.forRunner(s.PartitionOf(hint.GetId()))
	accepted := false
	home.follower.View(func(int64, <-chan struct{}) {
		j := home.table.Get(hint.GetId())
		if accepted = j != nil; accepted && j.Open() && runFrom(j.Spec, home.number) == number {
			items = openItems(j, home.number)
		}
	})
	if accepted {
		return items
	}
	spec := handOffSpec(hint, number)
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
		out = append(out, OpenItem{Home: home, Job: j.ID, Index: i, Spec: j.Spec, Item: it, FailedAttempts: failed, Impossible: impossible})
	}
	return out
}

// AsOf returns the time up to which a partition's state is known to be complete.
func (s *Store) AsOf(number int) time.Time {
	return s.forRunner(number).follower.AsOf()
}

// Refresh ensures that a partition's state is at most maxAge old. It reads the store if
// necessary.
func (s *Store) Refresh(ctx context.Context, number int, maxAge time.Duration) error {
	return s.forRunner(number).follower.CatchUp(ctx, maxAge)
}
