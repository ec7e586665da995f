package batch

import "flag"

// init fixes the seed of rapid, so that runs are reproducible. The flag -rapid.seed
// overrides it.
func init() {
	if err := flag.Set("rapid.seed", "20261202"); err != nil {
		panic(err)
	}
}
