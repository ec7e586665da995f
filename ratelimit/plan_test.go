package ratelimit

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

// Guards against workspaces that are refused altogether when half of the processes are lost,
// because few processes act for all of their shares.
func TestHalfOfOwnersRarelyHoldsAllShares(t *testing.T) {
	const shards = 48
	const maxPart = 0.001 // of the workspaces may lose all shares
	tolerance := Tolerance{Window: 5 * time.Second, Excess: 0.1, Slack: 20}
	rng := rand.New(rand.NewPCG(1, 2))
	for owners := 6; owners <= shards; owners++ {
		const workspaces = 3000
		withoutShares := 0
		for n := range workspaces {
			alive := make(map[int]bool)
			for _, owner := range rng.Perm(owners)[:owners/2] {
				alive[owner] = true
			}
			kept := 0
			for _, s := range NewPlan(Limit{Workspace: fmt.Sprint("w", n), Rate: 83, Burst: 83}, tolerance, shards).Shares {
				if alive[s.Shard%owners] { // partitions are assigned round robin
					kept++
				}
			}
			if kept == 0 {
				withoutShares++
			}
		}
		if float64(withoutShares) > maxPart*workspaces {
			t.Errorf("%d of %d workspaces lose all shares with half of %d processes", withoutShares, workspaces, owners)
		}
	}
}
