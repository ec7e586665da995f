package daemon

import (
	"fmt"
	"testing"

	"pumiceford/targets"
)

// Guards against items that never run: an entry follows no target of their service beside many
// targets of another one, or of services that are not configured.
func TestSomeTargetsOfEachServiceAreWatched(t *testing.T) {
	const nodes = 50
	var all []targets.Instance
	for service, n := range map[string]int{"large": 90, "small": 3, "foreign": 180} {
		for i := range n {
			all = append(all, targets.Instance{ID: fmt.Sprint(service, "-", i), Service: service})
		}
	}
	for n := range nodes {
		keep, configured := watchedTargets(fmt.Sprint("entry-", n), all, func(s string) bool { return s != "foreign" })
		perService := make(map[string]int)
		for _, in := range keep {
			perService[in.Service]++
		}
		if perService["small"] < minWatchedPerService || perService["foreign"] > 0 || len(keep) != maxWatchedTargets || configured != 93 {
			t.Fatalf("entry %d follows %v of %d", n, perService, configured)
		}
	}
}
