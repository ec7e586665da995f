package duties_test

import (
	"testing"

	"pgregory.net/rapid"

	"pumiceford/duties"
)

func drawStrength(t *rapid.T, label string) duties.Strength {
	return duties.Strength{
		CPUShare: rapid.Float64Range(0.1, 1).Draw(t, label+" cpu"),
		LinkMbps: rapid.SampledFrom([]float64{0, 22, 100, 600}).Draw(t, label+" link"),
	}
}

// others returns the strengths of all entries but one that take duties.
func others(fleet []duties.Strength, levels []duties.Level, self int) (out []duties.Strength) {
	for n, s := range fleet {
		if n != self && levels[n] != duties.None {
			out = append(out, s)
		}
	}
	return out
}

// Guards against partitions without a runner: all weak entries step down at once and too few
// members remain.
func TestEnoughStrongMembersRemain(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		partitions := rapid.IntRange(1, 64).Draw(t, "partitions")
		var fleet []duties.Strength
		for range rapid.IntRange(1, 40).Draw(t, "entries") {
			fleet = append(fleet, drawStrength(t, "entry"))
		}
		levels := make([]duties.Level, len(fleet))
		for range rapid.IntRange(1, 6).Draw(t, "rounds") {
			next := make([]duties.Level, len(fleet))
			for n, s := range fleet {
				strained := rapid.Bool().Draw(t, "strained")
				next[n] = duties.Decide(levels[n], duties.Input{Self: s, Strained: strained, Members: others(fleet, levels, n), Partitions: partitions})
			}
			levels = next
			if takers := len(others(fleet, levels, -1)); takers < len(fleet) && takers < duties.StrongRequired(partitions) {
				t.Fatalf("%d of %d entries take duties, want at least %d: %v", takers, len(fleet), duties.StrongRequired(partitions), levels)
			}
		}
	})
}

// Guards against a change in fleets whose entries are alike or do not say what they offer.
func TestAlikeAndUnknownFleetsAreUnchanged(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		in := duties.Input{Self: drawStrength(t, "entry"), Strained: rapid.Bool().Draw(t, "strained"), Partitions: 24}
		in.Members = make([]duties.Strength, rapid.IntRange(0, 40).Draw(t, "members"))
		for n := range in.Members {
			in.Members[n] = in.Self
		}
		if got := duties.Decide(duties.Full, in); got != duties.Full {
			t.Fatalf("an entry in an alike fleet is at level %s", got)
		}
		for n := range in.Members {
			in.Members[n] = drawStrength(t, "member")
		}
		in.Self = duties.Strength{}
		if got := duties.Decide(duties.Full, in); got != duties.Full {
			t.Fatalf("an entry without settings is at level %s", got)
		}
		in.Self, in.Members = drawStrength(t, "entry"), make([]duties.Strength, len(in.Members))
		if got := duties.Decide(duties.Full, in); got != duties.Full {
			t.Fatalf("an entry that knows no other strength is at level %s", got)
		}
	})
}

// Guards against an entry that joins and leaves the group again and again, each time moving
// partitions of all members.
func TestNoiseDoesNotChangeLevelsBackAndForth(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		need := duties.StrongRequired(24)
		level, changes := duties.Full, 0
		for range 50 {
			members := make([]duties.Strength, need+rapid.IntRange(0, 1).Draw(t, "spare"))
			for n := range members {
				members[n] = duties.Strength{CPUShare: 0.8}
			}
			next := duties.Decide(level, duties.Input{Self: duties.Strength{CPUShare: 0.109}, Members: members, Partitions: 24})
			if (next == duties.None) != (level == duties.None) {
				changes++
			}
			level = next
		}
		if changes > 1 {
			t.Fatalf("the entry joined or left %d times while the number of strong members changed by one", changes)
		}
	})
}

// Guards against a weak entry that stays away after the strong members are gone.
func TestWeakEntryReturnsWhenStrongMembersAreMissing(t *testing.T) {
	weak := duties.Strength{CPUShare: 0.109}
	members := make([]duties.Strength, duties.StrongRequired(24)-1)
	for n := range members {
		members[n] = duties.Strength{CPUShare: 0.8}
	}
	if got := duties.Decide(duties.None, duties.Input{Self: weak, Members: members, Partitions: 24}); got != duties.Reduced {
		t.Errorf("with one strong member too few the level is %s, want reduced", got)
	}
	if got := duties.Decide(duties.None, duties.Input{Self: weak, Partitions: 24}); got != duties.Full {
		t.Errorf("without other members the level is %s, want full", got)
	}
}

// Guards against strain that changes with each single observation, or never ends.
func TestStrain(t *testing.T) {
	var s duties.Strain
	for _, use := range []float64{1, 1, 0.6, 1, 1} {
		if s.Observe(use) {
			t.Fatal("strained without three high observations in a row")
		}
	}
	if !s.Observe(0.95) {
		t.Fatal("not strained after three high observations in a row")
	}
	for n := range 10 {
		if got := s.Observe(0.3); got != (n < 9) {
			t.Fatalf("after %d low observations strained is %v", n+1, got)
		}
	}
}

// Guards against an entry whose use falls as soon as it gives its duties up, and which takes
// and gives them up again and again, each time moving partitions of all members.
func TestRelapsesIntoStrainLengthenIt(t *testing.T) {
	const perHour, maxChanges = 1800, 40
	var s duties.Strain
	strained, changes := false, 0
	for range perHour {
		use := 0.95
		if strained {
			use = 0.3
		}
		if next := s.Observe(use); next != strained {
			strained = next
			changes++
		}
	}
	if changes > maxChanges {
		t.Errorf("%d changes in an hour, want at most %d", changes, maxChanges)
	}
}

func BenchmarkDecide(b *testing.B) {
	members := make([]duties.Strength, 64)
	for n := range members {
		members[n] = duties.Strength{CPUShare: 0.8, LinkMbps: 600}
	}
	in := duties.Input{Self: duties.Strength{CPUShare: 0.109, LinkMbps: 22}, Members: members, Partitions: 64}
	b.ReportAllocs()
	for b.Loop() {
		duties.Decide(duties.None, in)
	}
}
