package fleet_test

import (
	"fmt"
	"testing"

	"pumiceford/store"
)

// Heartbeats of 180 targets, one at a time; 150 of them come in a second. On a core of
// one machine one took 97 us when the registry was compared before and after each, and
// takes 0.5 us now.
func BenchmarkHeartbeat(b *testing.B) {
	const count = 180
	var ids []string
	for i := range count {
		ids = append(ids, fmt.Sprint("10.0.0.", i, ":1"))
	}
	sink := filled("1", ids...).TargetSink()
	b.ReportAllocs()
	for n := 0; b.Loop(); n++ {
		id := ids[n%count]
		sink.Apply(store.Record{Key: id, Value: []byte(id), Offset: int64(count + n)})
	}
}
