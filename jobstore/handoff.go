package jobstore

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"

	"pumiceford/jobs"
	"pumiceford/logging"
	"pumiceford/store"
	"pumiceford/wire"
)

// handedOff returns the spec of a hint as the job's own partition gets it: its
// items go on being run from where the hint is.
func handedOff(hint *wire.JobSpec, from int) *wire.JobSpec {
	out, _ := proto.Clone(hint).(*wire.JobSpec) // a clone has the type of what was cloned
	out.RunFrom = proto.Uint32(uint32(from))
	return out
}

// HandOff brings the jobs that a partition keeps for others to these, as far as
// they answer, and forgets those that are over.
func (s *Store) HandOff(ctx context.Context, number int) error {
	p := s.at(number)
	var hints []*wire.JobSpec
	p.follow.Look(func(int64, <-chan struct{}) { hints = p.table.Hints() })
	var last error
	away := make(map[int]bool) // partitions that did not answer just now
	for _, hint := range hints {
		home := s.PartitionOf(hint.GetId())
		if away[home] {
			continue
		}
		if err := s.handOffOne(ctx, p, hint); err != nil {
			last, away[home] = err, true
		}
	}
	return last
}

func (s *Store) handOffOne(ctx context.Context, p *partition, hint *wire.JobSpec) error {
	id := hint.GetId()
	home := s.at(s.PartitionOf(id))
	if err := home.sure(ctx); err != nil {
		return err
	}
	state := home.hinted(id, p.number)
	if state == hintRuns {
		return nil
	}
	if state == hintOver {
		return s.dropHint(ctx, p, id)
	}
	if time.Since(time.UnixMilli(hint.GetAcceptedUnixMs())) > s.set.Keep {
		// The job's partition may have dropped it as over: it is not begun anew.
		s.out.Error("job kept for another partition is too old and is dropped", logging.F("job", id), logging.F("partition", p.number))
		return s.dropHint(ctx, p, id)
	}
	began := time.Now()
	err := s.acceptHome(ctx, home, handedOff(hint, p.number))
	s.tell("handed off", id, home.number, began, err, logging.F("from", p.number))
	if errors.Is(err, ErrOtherJob) {
		return nil // the next look drops the hint
	}
	return err
}

// dropHint forgets a job that a partition keeps for another one.
func (s *Store) dropHint(ctx context.Context, p *partition, id string) error {
	return s.update(ctx, p, func(t *jobs.Table) ([]store.Record, error) { return t.DropHint(id), nil })
}

// hintState is what the job's own partition says of a hint.
type hintState int

const (
	hintNew  hintState = iota // the job is not there yet
	hintRuns                  // it is there, and runs from the hint
	hintOver                  // it is over, or runs from elsewhere
)

func (p *partition) hinted(id string, from int) (state hintState) {
	p.follow.Look(func(int64, <-chan struct{}) {
		j := p.table.Get(id)
		switch {
		case j == nil:
			state = hintNew
		case !j.Open() || runFrom(j.Spec, p.number) != from:
			state = hintOver
		default:
			state = hintRuns
		}
	})
	return state
}

// runFrom returns the partition whose runner runs a job's items.
func runFrom(spec *wire.JobSpec, home int) int {
	if spec.RunFrom != nil {
		return int(spec.GetRunFrom())
	}
	return home
}

// find makes sure that a job's own partition has it when any has. It returns
// ErrUnknownJob only when it is certain that none has, and ErrUnsure while a
// partition that may have it cannot be read.
func (s *Store) find(ctx context.Context, id string) (*partition, error) {
	home := s.forCaller(s.PartitionOf(id))
	if home.has(id) {
		return home, nil
	}
	if home.foundSoon(ctx, id) {
		return home, nil
	}
	// The alternates before home is looked at again: a hint is dropped only after the job has come to its
	// own partition, so who looked there before cannot miss both.
	for _, n := range s.alternatesOf(id) {
		p := s.forCaller(n)
		if p.hint(id) == nil {
			if err := p.follow.Catch(ctx, 0); err != nil {
				return home, errors.Mark(err, ErrUnsure)
			}
		}
		if hint := p.hint(id); hint != nil {
			return home, s.fetch(ctx, home, handedOff(hint, p.number))
		}
	}
	if err := home.follow.Catch(ctx, 0); err != nil {
		return home, errors.Mark(err, ErrUnsure)
	}
	if !home.has(id) {
		return home, ErrUnknownJob
	}
	return home, nil
}

// homeLook bounds the look at a job's home before its alternates are looked at: a home
// that is silent would take all the time that a caller has, and a hint that is there
// would not be found.
const homeLook = 300 * time.Millisecond

// foundSoon reports whether a job turns out to be at its home within homeLook. Nearly
// all jobs are. To look at the alternates first made a process follow three partitions
// more for each one that its callers ask for.
func (p *partition) foundSoon(ctx context.Context, id string) bool {
	ctx, cancel := context.WithTimeout(ctx, homeLook)
	defer cancel()
	return p.follow.Catch(ctx, 0) == nil && p.has(id)
}

// fetch hands a job off before it is asked for.
func (s *Store) fetch(ctx context.Context, home *partition, spec *wire.JobSpec) error {
	if err := home.follow.Catch(ctx, 0); err != nil {
		return errors.Mark(err, ErrUnsure)
	}
	if home.has(spec.GetId()) {
		return nil
	}
	return s.acceptHome(ctx, home, spec)
}

// End ends a job. Ending it again changes nothing.
func (s *Store) End(ctx context.Context, id string) error {
	p, err := s.find(ctx, id)
	if err != nil {
		return err
	}
	began := time.Now()
	err = s.update(ctx, p, func(t *jobs.Table) ([]store.Record, error) { return t.End(id) })
	s.tell("ended", id, p.number, began, err)
	return err
}
