package balance_test

import (
	"fmt"
	"testing"
	"time"

	"pumiceford/balance"
)

// BenchmarkPick measures the choice of a target for a request at three sizes of a fleet.
func BenchmarkPick(b *testing.B) {
	for _, n := range []int{43, 180, 600} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			const slots = 8
			now := time.Now() // has a monotonic reading, as in the product
			tab := balance.NewTable(1)
			tab.Replace(instances(n, slots))
			for i := range n {
				tab.UpdateLoad(now, fmt.Sprint("i", i), balance.Report{Active: i % (slots + 1), Slots: slots})
			}
			b.ReportAllocs()
			for b.Loop() {
				if _, ok := tab.Pick(now, "s", nil, 0.5); !ok {
					b.Fatal("no target")
				}
			}
		})
	}
}
