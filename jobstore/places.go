package jobstore

import (
	"context"
	"hash/fnv"
	"strconv"
	"time"

	"pumiceford/wire"
)

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
// are followed already.
func (s *Store) knownHint(id string) (*wire.JobSpec, int) {
	for _, n := range s.alternatesOf(id) {
		p := s.followed(n)
		if p == nil {
			continue
		}
		if hint := p.hint(id); hint != nil {
			return hint, n
		}
	}
	return nil, 0
}

// places returns the partitions that may take a job in now, its own first. It
// returns none while the whole store is known to be away.
func (s *Store) places(home *partition, id string) []int {
	now := time.Now()
	if s.tries.away(now, outageTries, awayRest, s.lastSeen()) {
		s.probe(home)
		return nil
	}
	var out []int
	for _, n := range append([]int{home.number}, s.alternatesOf(id)...) {
		if !s.triesAt(n).away(now, 1, awayRest, s.seen(n)) {
			out = append(out, n)
		} else if p := s.followed(n); p != nil {
			s.probe(p)
		}
	}
	return out
}

// triesAt returns what tries at a partition showed, whether it is followed or not.
func (s *Store) triesAt(number int) *health {
	s.mu.Lock()
	defer s.mu.Unlock()
	h := s.triesBy[number]
	if h == nil {
		h = &health{}
		s.triesBy[number] = h
	}
	return h
}

// followed returns a partition that is followed already, nil otherwise: to follow the
// alternates of each job would make a process follow four times what its callers ask
// for.
func (s *Store) followed(number int) *partition {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.parts[number]
}

// seen returns when a partition was last seen to answer, zero when it is not
// followed.
func (s *Store) seen(number int) time.Time {
	if p := s.followed(number); p != nil {
		return p.follow.AsOf()
	}
	return time.Time{}
}

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
