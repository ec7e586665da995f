package origins

import (
	"sync"
	"time"

	"pumiceford/metrics"
	"pumiceford/quarantine"
	"pumiceford/targets"
	"pumiceford/wire"
)

// Holder holds the origins of streams for entries. It is safe for concurrent use.
type Holder struct {
	clock   func() time.Duration
	metrics *metrics.Set

	mu    sync.Mutex
	table *Table
}

// NewHolder returns a Holder.
func NewHolder(clock func() time.Duration, ms *metrics.Set) *Holder {
	return &Holder{clock: clock, metrics: ms, table: NewTable()}
}

// Serve records and looks up the origins of a call.
func (h *Holder) Serve(call *wire.OriginCall) *wire.OriginReply {
	now := h.clock()
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, s := range call.GetRecord() {
		if key, ok := quarantine.KeyFrom(s.GetKey()); ok {
			h.table.Record(now, Stream{
				Key: key, Attempt: s.GetAttempt(), Software: targets.Software{Service: s.GetService(), Version: s.GetVersion()},
				Window: min(millis(s.GetWindowMs()), maxWindow),
			})
		}
	}
	h.metrics.SetGauge("origins_held", float64(h.table.Len()))
	key, ok := quarantine.KeyFrom(call.GetKey())
	if !ok {
		return &wire.OriginReply{}
	}
	software, result := h.table.Find(now, key, call.GetAttempt())
	switch result {
	case Recorded:
		return &wire.OriginReply{Outcome: wire.OriginReply_RECORDED, Service: software.Service, Version: software.Version}
	case Ambiguous:
		return &wire.OriginReply{Outcome: wire.OriginReply_AMBIGUOUS}
	case NotRecorded:
	}
	return &wire.OriginReply{Outcome: wire.OriginReply_NOT_RECORDED}
}
