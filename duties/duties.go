// Package duties decides which duties of the fleet an entry takes: partitions of jobs, and
// with them shards of rate limits and copies of the fleet. It answers fleets whose entries
// differ in power: duties are dealt evenly, so a weak entry bears as much as a strong one. It
// does no I/O and reads no clock.
package duties

// Level is how much of the duties an entry takes.
type Level int

// The levels.
const (
	// Full is the level of an entry that is not weak.
	Full Level = iota
	// Reduced is the level of a weak entry that is needed: it runs partitions, and takes
	// shards later than other entries.
	Reduced
	// None is the level of a weak entry while enough strong members run the partitions.
	None
)

// String returns the name of the level.
func (l Level) String() string {
	switch l {
	case Full:
		return "full"
	case Reduced:
		return "reduced"
	case None:
		return "none"
	}
	return "unknown"
}

// Strength is what a host offers to its entry. A value of 0 is unknown.
type Strength struct {
	CPUShare float64 // of a core
	LinkMbps float64 // of the host's own link
}

// Known reports whether the strength is known.
func (s Strength) Known() bool {
	return s.CPUShare > 0
}

// Bounds of a decision.
const (
	// weakShare is the share of the strongest known entry below which an entry is weak.
	// notWeakShare is the share from which a weak entry is no longer weak.
	weakShare    = 0.25
	notWeakShare = 1.0 / 3
	// strainedFactor is the part of its processor that a strained entry counts with.
	strainedFactor = 0.5
	// strongShare is the share from which a member counts as strong. Such a member is not
	// weak even when it is strained, so it does not step down.
	strongShare = weakShare / strainedFactor
	// minStrong is the smallest number of strong members that may run all partitions: two
	// remain after the loss of one.
	minStrong = 3
	// maxPartitions is the number of partitions that one strong member bears.
	maxPartitions = 4
)

// Input is what an entry decides upon.
type Input struct {
	Self     Strength
	Strained bool // see Strain
	// Members are the strengths of the other members of the group, the zero value for one
	// whose strength is not known.
	Members    []Strength
	Partitions int // of jobs
}

// Decide returns the level of an entry. An entry whose strength is unknown, or that knows the
// strength of too few others, takes all duties.
//
// Hysteresis prevents that an entry changes back and forth: it steps down if one strong member
// more than needed is known, and returns when one is missing.
func Decide(prev Level, in Input) Level {
	if !in.Self.Known() {
		return Full
	}
	best := in.Self
	for _, m := range in.Members {
		best.CPUShare, best.LinkMbps = max(best.CPUShare, m.CPUShare), max(best.LinkMbps, m.LinkMbps)
	}
	if !weak(prev, in, best) {
		return Full
	}
	strong := 0
	for _, m := range in.Members {
		if m.Known() && m.CPUShare >= strongShare*best.CPUShare && !linkBelow(m, best, notWeakShare) {
			strong++
		}
	}
	required := StrongRequired(in.Partitions)
	if prev != None {
		required++
	}
	if strong < required {
		return Reduced
	}
	return None
}

// StrongRequired returns the number of strong members that run all partitions without the weak
// ones.
func StrongRequired(partitions int) int {
	return max(minStrong, (partitions+maxPartitions-1)/maxPartitions)
}

// weak reports whether an entry is weak compared to the strongest one known.
func weak(prev Level, in Input, best Strength) bool {
	cpu, share := in.Self.CPUShare, weakShare
	if in.Strained {
		cpu *= strainedFactor
	}
	if prev != Full {
		share = notWeakShare
	}
	return cpu < share*best.CPUShare || linkBelow(in.Self, best, share)
}

// linkBelow reports whether a link is known to be slower than a share of the fastest one.
func linkBelow(s, best Strength, share float64) bool {
	return s.LinkMbps > 0 && s.LinkMbps < share*best.LinkMbps
}

// Bounds of strain.
const (
	// strainedUse is the use, as a fraction of what the host offers, from which an entry is
	// under strain; calmUse is the use below which it has room for duties again.
	strainedUse = 0.9
	calmUse     = 0.5
	// strainedAfter and calmAfter are the numbers of consecutive observations after which the
	// state changes. The way back takes longer, because duties given up lower the use at once.
	strainedAfter = 3
	calmAfter     = 10
	// An entry that is strained again within relapseWithin observations of the end of its
	// strain bears its duties badly: the way back then takes twice as long as the last time,
	// up to maxCalmAfter.
	relapseWithin = 150
	maxCalmAfter  = 160
)

// Strain folds observations of an entry's use of its host into whether the entry is strained.
// The zero Strain is not strained.
type Strain struct {
	strained bool
	against  int // consecutive observations that speak against the current state
	calm     int // observations since the last strain ended
	required int // calm observations that end the strain; 0 before the first strain
}

// Observe adds an observation: the larger of the used fractions of the processor share and of
// the memory limit. It reports whether the entry is strained.
func (s *Strain) Observe(use float64) bool {
	contradicts, changeAfter := use >= strainedUse, strainedAfter
	if s.strained {
		contradicts, changeAfter = use < calmUse, s.required
	} else {
		s.calm++
	}
	if !contradicts {
		s.against = 0
		return s.strained
	}
	if s.against++; s.against >= changeAfter {
		s.change()
	}
	return s.strained
}

// change begins or ends the strain.
func (s *Strain) change() {
	s.strained, s.against = !s.strained, 0
	switch {
	case !s.strained:
		s.calm = 0
	case s.required > 0 && s.calm <= relapseWithin:
		s.required = min(2*s.required, maxCalmAfter)
	default:
		s.required = calmAfter
	}
}
