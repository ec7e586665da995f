package origins

import (
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"pumiceford/metrics"
	"pumiceford/quarantine"
	"pumiceford/targets"
	"pumiceford/wire"
)

// Holder holds the origins of streams for entries. It is safe for concurrent use.
type Holder struct {
	clock   func() time.Duration
	metrics *metrics.Set

	mu       sync.Mutex
	table    *Table
	stopping bool
}

// NewHolder returns a Holder.
func NewHolder(clock func() time.Duration, ms *metrics.Set) *Holder {
	return &Holder{clock: clock, metrics: ms, table: NewTable()}
}

// Stop makes the Holder record nothing more, since its process is about to end. It still looks
// origins up.
func (h *Holder) Stop() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.stopping = true
}

// ErrStopping is returned for a record at a Holder that is stopped.
var ErrStopping = errors.New("the holder of origins is being stopped")

// Serve records and looks up the origins of a call. The error is ErrStopping; nothing was done then.
func (h *Holder) Serve(call *wire.OriginCall) (*wire.OriginReply, error) {
	now := h.clock()
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.stopping && len(call.GetRecord()) > 0 {
		return nil, ErrStopping
	}
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
		return &wire.OriginReply{}, nil
	}
	software, result := h.table.Find(now, key, call.GetAttempt())
	switch result {
	case Recorded:
		return &wire.OriginReply{Outcome: wire.OriginReply_RECORDED, Service: software.Service, Version: software.Version}, nil
	case Ambiguous:
		return &wire.OriginReply{Outcome: wire.OriginReply_AMBIGUOUS}, nil
	case NotRecorded:
	}
	return &wire.OriginReply{Outcome: wire.OriginReply_NOT_RECORDED}, nil
}
