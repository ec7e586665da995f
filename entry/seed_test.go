package entry

import "flag"

// init fixes the seed, so that every run draws the same values unless -rapid.seed
// on the command line sets another seed.
func init() {
	if err := flag.Set("rapid.seed", "20261202"); err != nil {
		panic(err)
	}
}
