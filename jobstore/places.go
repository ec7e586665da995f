package jobstore

import (
	"context"
	"hash/fnv"
	"strconv"
	"time"

	"pumiceford/wire"
)

// PartitionOf returns the home partition of a job, where its results are listed.
func (s *Store) PartitionOf(id string) int {
	return int(hash(id) % uint32(s.settings.Partitions))
}

func hash(s string) uint32 {
	h := fnv.New32a()
	_, _ = h.Write([]byte(s)) // Write of a hash never fails
	return h.Sum32()
}

// alternatesOf returns the partitions that may accept a job in place of its home, in order
// of preference. They depend on the id only, so that every process looks for a job in the
// same partitions.
func (s *Store) alternatesOf(id string) []int {
	taken := map[int]bool{s.PartitionOf(id): true}
	var out []int
	for n := 0; len(out) < min(alternateCount, s.settings.Partitions-1); n++ {
		part := int(hash(strconv.Itoa(n)+"/"+id) % uint32(s.settings.Partitions))
		if !taken[part] {
			taken[part] = true
			out = append(out, part)
		}
	}
	return out
}

// knownHint returns the hint of a job and the partition that keeps it. It looks only at
// partitions that this process follows already, and returns nil if none has the hint.
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

// candidates returns the partitions that may accept a job now, its home first. It returns
// none while the whole store is known to be unavailable. It starts a probe of a followed
// partition that it leaves out.
func (s *Store) candidates(home *partition, id string) []int {
	now := time.Now()
	if s.storeHealth.unavailable(now, outageThreshold, unavailableBackoff, s.lastResponse()) {
		s.probe(home)
		return nil
	}
	var out []int
	for _, n := range append([]int{home.number}, s.alternatesOf(id)...) {
		if !s.healthOf(n).unavailable(now, 1, unavailableBackoff, s.lastResponseOf(n)) {
			out = append(out, n)
		} else if p := s.followed(n); p != nil {
			s.probe(p)
		}
	}
	return out
}

// healthOf returns the health of a partition, whether it is followed or not.
func (s *Store) healthOf(number int) *health {
	s.mu.Lock()
	defer s.mu.Unlock()
	h := s.partitionHealth[number]
	if h == nil {
		h = &health{}
		s.partitionHealth[number] = h
	}
	return h
}

// followed returns a partition if this process follows it already, and nil otherwise.
// Following the alternates of each job as well would make a process follow four times as
// many partitions as its callers use.
func (s *Store) followed(number int) *partition {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.partitions[number]
}

// lastResponseOf returns when a partition last responded, or the zero time if it is not
// followed.
func (s *Store) lastResponseOf(number int) time.Time {
	if p := s.followed(number); p != nil {
		return p.follower.AsOf()
	}
	return time.Time{}
}

// probe checks in the background whether a partition responds again. It runs at most one
// check per partition at a time. Without it a caller's request would have to serve as the
// check after each back-off and wait for its timeout.
func (s *Store) probe(p *partition) {
	select {
	case p.probeSlot <- struct{}{}:
	default:
		return
	}
	go func() {
		defer func() { <-p.probeSlot }()
		ctx, cancel := context.WithTimeout(s.baseCtx, probeTimeout)
		defer cancel()
		_ = p.follower.CatchUp(ctx, 0) // the follower records a success itself
	}()
}

// lastResponse returns when any followed partition last responded.
func (s *Store) lastResponse() time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	var last time.Time
	for _, p := range s.partitions {
		if at := p.follower.AsOf(); at.After(last) {
			last = at
		}
	}
	return last
}
