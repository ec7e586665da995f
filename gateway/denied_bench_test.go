package gateway_test

import (
	"io"
	"testing"
	"time"

	"pumiceford/fleet"
	"pumiceford/gateway"
	"pumiceford/logging"
	"pumiceford/metrics"
	"pumiceford/quarantine"
	"pumiceford/ratelimit"
	"pumiceford/refusals"
	"pumiceford/store"
)

// BenchmarkDeny measures the refusal of requests over a limit, with logging as in an entry.
func BenchmarkDeny(b *testing.B) {
	ms := metrics.New("test")
	v := fleet.NewView(decoder{}, 1, logging.Logger{}, ms)
	v.CatalogSink().Reset([]store.Record{{Key: "c", Value: []byte("1")}})
	out := logging.NewAsync(io.Discard)
	defer out.Close(time.Second)
	log := logging.New(logging.Settings{Format: "json", Writer: out}).WithPrefix("online")
	tracker := quarantine.NewTracker(quarantine.Config{Prober: &fakeProber{}, Metrics: ms})
	gw := gateway.New(gateway.Config{View: v, Quarantine: tracker, Refusals: &refusals.Table{}, Log: log, Metrics: ms})
	err := &ratelimit.OverLimitError{Workspace: "north", RetryAfter: time.Second}
	b.ReportAllocs()
	for b.Loop() {
		gw.Deny("6b6b1042380041b9", err)
	}
}
