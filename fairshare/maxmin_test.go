package fairshare

import (
	"math"
	"testing"

	"pgregory.net/rapid"
)

// levelTolerance is the relative difference from the reference that rounding may cause.
const levelTolerance = 1e-9

// bisectedLevel is a reference for level: it searches for the level at which the claims take
// exactly the slots.
func bisectedLevel(claims []claim, slots float64) float64 {
	taken := func(l float64) (sum float64) {
		for _, c := range claims {
			sum += min(c.demand, c.weight*l)
		}
		return sum
	}
	low, high := 0.0, 1e6
	if taken(high) <= slots {
		return math.Inf(1)
	}
	for range 200 {
		if mid := (low + high) / 2; taken(mid) < slots {
			low = mid
		} else {
			high = mid
		}
	}
	return high
}

func drawClaims(t *rapid.T) []claim {
	return rapid.SliceOfN(rapid.Custom(func(t *rapid.T) claim {
		return claim{weight: rapid.Float64Range(0.1, 100).Draw(t, "weight"), demand: rapid.Float64Range(0, 500).Draw(t, "demand")}
	}), 1, 40).Draw(t, "claims")
}

// Guards against shares that are not max-min fair by weight, and against slots that stay
// unused while somebody demands more.
func TestLevelIsWeightedMaxMin(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		claims := drawClaims(t)
		demand := 0.0
		for _, c := range claims {
			demand += c.demand
		}
		slots := rapid.Float64Range(0, 0.999).Draw(t, "fraction") * demand
		want := bisectedLevel(claims, slots)
		got := level(append([]claim(nil), claims...), slots)
		if math.Abs(got-want) > levelTolerance*max(want, 1) {
			t.Fatalf("level %v, want %v", got, want)
		}
		given := 0.0
		for _, c := range claims {
			given += min(c.demand, c.weight*got)
		}
		if math.Abs(given-slots) > levelTolerance*max(slots, 1) {
			t.Fatalf("%v of %v slots are given", given, slots)
		}
		if l := level(append([]claim(nil), claims...), demand*(1+levelTolerance)); !math.IsInf(l, 1) {
			t.Fatalf("level %v although all demands fit", l)
		}
	})
}
