package fairshare

import "math"

// claim is what one workspace wants of the slots.
type claim struct {
	weight float64 // positive
	demand float64 // slots
}

// level divides slots among claims by weighted max-min fairness and returns the slots per
// unit of weight of those claims that get less than they demand. It returns +Inf if all get
// what they demand. It reorders the claims.
func level(claims []claim, slots float64) float64 {
	for len(claims) > 0 {
		weight := 0.0
		for _, c := range claims {
			weight += c.weight
		}
		l := max(slots, 0) / weight
		// Claims below the level get their demand, which leaves more for the others.
		rest := 0
		for _, c := range claims {
			if c.demand <= c.weight*l {
				slots -= c.demand
			} else {
				claims[rest] = c
				rest++
			}
		}
		if rest == len(claims) {
			return l
		}
		claims = claims[:rest]
	}
	return math.Inf(1)
}
