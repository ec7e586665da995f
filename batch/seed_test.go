package batch

import "flag"

// Fixes the seed of property tests, so that every run draws the same values unless
// -rapid.seed is given.
func init() {
	if err := flag.Set("rapid.seed", "20261202"); err != nil {
		panic(err)
	}
}
