package jobstore

import (
	"context"
	"hash/fnv"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"pumiceford/jobs"
	"pumiceford/logging"
	"pumiceford/store"
	"pumiceford/wire"
)

// Bounds of taking a job in.
const (
	// alternates is how many other partitions may take a job in while that of its
	// id is away. With a third of all partitions away, one job in 81 finds none.
	alternates = 3
	// homeTry and hintTry bound one try. The slowest store seen takes 240 ms for an
	// append; both together leave a caller its answer within half a second.
	homeTry = 280 * time.Millisecond
	hintTry = 200 * time.Millisecond
	// awayRest is how long a partition is left alone after a try that failed, and the
	// whole store once outageTries tries in a row have failed, unless a probe finds
	// that it answers again.
	awayRest     = 3 * time.Second
	outageTries  = 4
	probeTimeout = 300 * time.Millisecond
)

// AwayError says that a job cannot be made durable now. It is marked as ErrUnsure
// when nothing was written, and as ErrUnknownEffect otherwise.
type AwayError struct {
	// ComeBack is when another try is worth while.
	ComeBack time.Duration
}

// Error implements error.
func (e *AwayError) Error() string {
	return "no partition takes the job in; worth another try in " + e.ComeBack.String()
}

// PartitionOf returns the partition of a job: its results are listed there.
func (s *Store) PartitionOf(id string) int {
	return int(hash(id) % uint32(s.set.Partitions))
}

func hash(s string) uint32 {
	h := fnv.New32a()
	_, _ = h.Write([]byte(s)) // a hash's Write never fails
	return h.Sum32()
}

// alternatesOf returns the partitions that may take a job in for its own, the
// first choice first. All processes find the same, so that who looks for a job
// looks there and nowhere else.
func (s *Store) alternatesOf(id string) []int {
	taken := map[int]bool{s.PartitionOf(id): true}
	var out []int
	for n := 0; len(out) < min(alternates, s.set.Partitions-1); n++ {
		part := int(hash(strconv.Itoa(n)+"/"+id) % uint32(s.set.Partitions))
		if !taken[part] {
			taken[part] = true
			out = append(out, part)
		}
	}
	return out
}

// knownHint returns the hint of a job and its partition, among the partitions that
// are followed already: to follow the alternates of each job would make a process
// follow four times what its callers ask for.
func (s *Store) knownHint(id string) (*wire.JobSpec, int) {
	for _, n := range s.alternatesOf(id) {
		s.mu.Lock()
		p := s.parts[n]
		s.mu.Unlock()
		if p == nil {
			continue
		}
		if hint := p.hint(id); hint != nil {
			return hint, n
		}
	}
	return nil, 0
}

// Accept takes a job in. When it returns nil, the job is durable, by this call
// or an earlier one. While the partition of its id is away, another one keeps it
// as a hint until it can be handed off.
func (s *Store) Accept(ctx context.Context, spec *wire.JobSpec) error {
	began := time.Now()
	number, known, err := s.accept(ctx, spec)
	s.tell("accepted", spec.GetId(), number, began, err, logging.F("items", len(spec.GetItems())), logging.F("known", known),
		logging.F("home", s.PartitionOf(spec.GetId())))
	return err
}

// accept returns the partition that has the job, and whether it had it before.
func (s *Store) accept(ctx context.Context, spec *wire.JobSpec) (number int, known bool, err error) {
	home := s.at(s.PartitionOf(spec.GetId()))
	if home.has(spec.GetId()) {
		return home.number, true, s.acceptHome(ctx, home, spec)
	}
	if hint, n := s.knownHint(spec.GetId()); hint != nil {
		return n, true, nil
	}
	now := time.Now()
	if s.tries.away(now, outageTries, awayRest, s.lastSeen()) {
		s.probe(home)
		return home.number, false, errors.Mark(&AwayError{ComeBack: s.tries.comeBack(now)}, ErrUnsure)
	}
	unknown := false
	try := func(p *partition, within time.Duration, write func(context.Context, *partition, *wire.JobSpec) error) bool {
		if ctx.Err() != nil {
			return false
		}
		if p.tries.away(time.Now(), 1, awayRest, p.follow.AsOf()) {
			s.probe(p)
			return false
		}
		one, cancel := context.WithTimeout(ctx, within)
		defer cancel()
		err = write(one, p, spec)
		final := err == nil || errors.Is(err, ErrOtherJob) || errors.Is(err, store.ErrFull)
		now := time.Now()
		p.tries.note(now, final)
		s.tries.note(now, final)
		unknown = unknown || errors.Is(err, ErrUnknownEffect)
		return final
	}
	if try(home, s.homeTry(), s.acceptHome) {
		return home.number, false, err
	}
	for _, n := range s.alternatesOf(spec.GetId()) {
		if try(s.at(n), hintTry, s.acceptHint) {
			return n, false, err
		}
	}
	err = &AwayError{ComeBack: s.tries.comeBack(time.Now())}
	if unknown {
		return home.number, false, errors.Mark(err, ErrUnknownEffect)
	}
	return home.number, false, errors.Mark(err, ErrUnsure)
}

// homeTry returns how long the partition of the id may take: all the caller's
// time when there is no other.
func (s *Store) homeTry() time.Duration {
	if s.set.Partitions > 1 {
		return homeTry
	}
	return acceptMost
}

// acceptMost bounds taking a job in: two hosts may race for a partition's end.
const acceptMost = 1500 * time.Millisecond

// probe looks whether a partition answers again, one look at a time. Without it
// one caller in each second would have to find out, and would be held for it.
func (s *Store) probe(p *partition) {
	select {
	case p.probing <- struct{}{}:
	default:
		return
	}
	go func() {
		defer func() { <-p.probing }()
		ctx, cancel := context.WithTimeout(s.base, probeTimeout)
		defer cancel()
		_ = p.follow.Catch(ctx, 0) // what it finds out is in the follower's own word
	}()
}

// lastSeen returns when any partition was last seen to answer.
func (s *Store) lastSeen() time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	var last time.Time
	for _, p := range s.parts {
		if at := p.follow.AsOf(); at.After(last) {
			last = at
		}
	}
	return last
}

// acceptHome takes a job in at the partition of its id. When the store turns the
// append away, another partition is a better use of the caller's time.
func (s *Store) acceptHome(ctx context.Context, p *partition, spec *wire.JobSpec) error {
	other := false
	refused := func(err error) bool { return s.set.Partitions > 1 && errors.Is(err, store.ErrRefused) }
	err := s.updateUntil(ctx, p, refused, func(t *jobs.Table) ([]store.Record, error) {
		if j := t.Get(spec.GetId()); j != nil {
			other = !jobs.Same(j.Spec, spec)
			return nil, nil
		}
		return t.Accept(spec)
	})
	if err == nil && other {
		return ErrOtherJob
	}
	return err
}

// acceptHint has a partition keep a job for the one of its id. The records are the
// same whoever writes them, so this needs no condition and no knowledge of the
// partition's state: a copy that comes late is dropped once the job is over.
func (s *Store) acceptHint(ctx context.Context, p *partition, spec *wire.JobSpec) error {
	recs, err := jobs.HintRecords(spec)
	if err != nil {
		return err
	}
	_, err = s.append(ctx, p, recs, store.AnyEnd)
	if errors.Is(err, store.ErrUnavailable) {
		return errors.Mark(err, ErrUnknownEffect)
	}
	return err
}

// hint returns a job that is kept here for another partition, nil when none is
// known.
func (p *partition) hint(id string) (spec *wire.JobSpec) {
	p.follow.Look(func(int64, <-chan struct{}) { spec = p.table.Hint(id) })
	return spec
}
