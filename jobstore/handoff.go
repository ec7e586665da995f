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

// handOffSpec returns the spec under which a hint is stored in its home partition. The
// runner of the partition that has the hint goes on running the items.
func handOffSpec(hint *wire.JobSpec, from int) *wire.JobSpec {
	out, _ := proto.Clone(hint).(*wire.JobSpec) // a clone has the same type as its source
	out.RunFrom = proto.Uint32(uint32(from))
	return out
}

// HandOff stores the jobs that a partition keeps as hints in their home partitions, and
// drops the hints of jobs that are over. After a failed hand-off it skips the other jobs of
// the same home. It returns the last error.
func (s *Store) HandOff(ctx context.Context, number int) error {
	p := s.forRunner(number)
	var hints []*wire.JobSpec
	p.follower.View(func(int64, <-chan struct{}) { hints = p.table.Hints() })
	var last error
	failed := make(map[int]bool) // home partitions whose last hand-off failed
	for _, hint := range hints {
		home := s.PartitionOf(hint.GetId())
		if failed[home] {
			continue
		}
		if err := s.handOffJob(ctx, p, hint); err != nil {
			last, failed[home] = err, true
		}
	}
	return last
}

// handOffJob stores one hint of p in its home partition, or drops the hint if the home no
// longer needs it.
func (s *Store) handOffJob(ctx context.Context, p *partition, hint *wire.JobSpec) error {
	id := hint.GetId()
	home := s.forRunner(s.PartitionOf(id))
	if err := home.ensureFresh(ctx); err != nil {
		return err
	}
	state := home.hintState(id, p.number)
	if state == hintRunning {
		return nil
	}
	if state == hintObsolete {
		return s.dropHint(ctx, p, id)
	}
	if time.Since(time.UnixMilli(hint.GetAcceptedUnixMs())) > s.settings.Retention {
		// The home may have deleted the job as expired, so handing it off again would
		// run it a second time.
		s.logger.Error("job kept for another partition is past its retention period; dropping it", logging.F("job", id), logging.F("partition", p.number))
		return s.dropHint(ctx, p, id)
	}
	began := time.Now()
	err := s.acceptHome(ctx, home, handOffSpec(hint, p.number))
	s.logWrite("handed off", id, home.number, began, err, logging.F("from", p.number))
	if errors.Is(err, ErrJobConflict) {
		return nil // the next call drops the hint
	}
	return err
}

// dropHint deletes the hint of a job from a partition.
func (s *Store) dropHint(ctx context.Context, p *partition, id string) error {
	return s.update(ctx, p, func(t *jobs.Table) ([]store.Record, error) { return t.DropHint(id), nil })
}

// hintState is the state of a hint according to the job's home partition.
type hintState int

const (
	hintNotAccepted hintState = iota // the home does not have the job yet
	hintRunning                      // the home has the job, and its items run from the hint's partition
	hintObsolete                     // the job is over, or its items run from another partition
)

// hintState returns the state of a hint that partition from keeps for p.
func (p *partition) hintState(id string, from int) (state hintState) {
	p.follower.View(func(int64, <-chan struct{}) {
		j := p.table.Get(id)
		switch {
		case j == nil:
			state = hintNotAccepted
		case !j.Open() || runFrom(j.Spec, p.number) != from:
			state = hintObsolete
		default:
			state = hintRunning
		}
	})
	return state
}

// runFrom returns the partition whose runner runs a job's items: the one named in the
// spec, or the home.
func runFrom(spec *wire.JobSpec, home int) int {
	if spec.RunFrom != nil {
		return int(spec.GetRunFrom())
	}
	return home
}

// find returns the home partition of a job. If only a hint of the job exists, it hands
// the job off first. It returns ErrJobNotFound only if no partition has the job, and
// ErrStoreUnavailable while a partition that may have it cannot be read.
func (s *Store) find(ctx context.Context, id string) (*partition, error) {
	home := s.forCaller(s.PartitionOf(id))
	if home.has(id) {
		return home, nil
	}
	if home.foundAtHome(ctx, id) {
		return home, nil
	}
	// A hint is dropped only after the home has the job. Reading the alternates before
	// reading the home again therefore cannot miss both.
	for _, n := range s.alternatesOf(id) {
		p := s.forCaller(n)
		if p.hint(id) == nil {
			if err := p.follower.CatchUp(ctx, 0); err != nil {
				return home, errors.Mark(err, ErrStoreUnavailable)
			}
		}
		if hint := p.hint(id); hint != nil {
			return home, s.ensureHandedOff(ctx, home, handOffSpec(hint, p.number))
		}
	}
	if err := home.follower.CatchUp(ctx, 0); err != nil {
		return home, errors.Mark(err, ErrStoreUnavailable)
	}
	if !home.has(id) {
		return home, ErrJobNotFound
	}
	return home, nil
}

// homeLookupTimeout bounds the read of a job's home before its alternates are read.
// Without it an unresponsive home would use up the caller's deadline, and a hint at an
// alternate would not be found.
const homeLookupTimeout = 300 * time.Millisecond

// foundAtHome reports whether a read of the job's home p finds the job within
// homeLookupTimeout. It comes before any read of the alternates: nearly all jobs are at
// their home, and reading the alternates first made a process follow three more
// partitions for each one that its callers use.
func (p *partition) foundAtHome(ctx context.Context, id string) bool {
	ctx, cancel := context.WithTimeout(ctx, homeLookupTimeout)
	defer cancel()
	return p.follower.CatchUp(ctx, 0) == nil && p.has(id)
}

// ensureHandedOff stores a job in its home partition if the home does not have it yet.
func (s *Store) ensureHandedOff(ctx context.Context, home *partition, spec *wire.JobSpec) error {
	if err := home.follower.CatchUp(ctx, 0); err != nil {
		return errors.Mark(err, ErrStoreUnavailable)
	}
	if home.has(spec.GetId()) {
		return nil
	}
	return s.acceptHome(ctx, home, spec)
}

// End ends a job. It is idempotent.
func (s *Store) End(ctx context.Context, id string) error {
	p, err := s.find(ctx, id)
	if err != nil {
		return err
	}
	began := time.Now()
	err = s.update(ctx, p, func(t *jobs.Table) ([]store.Record, error) { return t.End(id) })
	s.logWrite("ended", id, p.number, began, err)
	return err
}
