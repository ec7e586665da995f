package origins_test

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"pumiceford/metrics"
	"pumiceford/origins"
	"pumiceford/wire"
)

// BenchmarkHolder measures an agent that records the origins of streams: time and memory for
// each, and the size of its message.
func BenchmarkHolder(b *testing.B) {
	clock := time.Duration(0)
	h := origins.NewHolder(func() time.Duration { return clock }, metrics.New("agent"))
	calls := make([]*wire.OriginCall, b.N)
	for n := range calls {
		s := streamOf(n, instanceSoftware)
		calls[n] = &wire.OriginCall{Record: []*wire.StreamOrigin{{
			Key: s.Key[:], Attempt: fmt.Sprintf("%016x", n), Service: s.Software.Service, Version: s.Software.Version, WindowMs: 15000,
		}}}
	}
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	b.ResetTimer()
	for n := range b.N {
		if _, err := h.Serve(calls[n]); err != nil {
			b.Fatal(err)
		}
	}
	b.StopTimer()
	runtime.GC()
	runtime.ReadMemStats(&after)
	b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/float64(min(b.N, 1<<16)), "bytes/record")
	b.ReportMetric(float64(proto.Size(calls[0])), "bytes/message")
	runtime.KeepAlive(h)
	runtime.KeepAlive(calls)
}
