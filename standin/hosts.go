package standin

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"pumiceford/infra"
	"pumiceford/internal/wait"
)

// HostList is a stand-in for the platform's lagging host list.
type HostList struct {
	lag time.Duration

	mu   sync.Mutex
	now  []infra.Host
	past []hostsAt
	down bool
}

type hostsAt struct {
	at    time.Time
	hosts []infra.Host
}

// NewHostList returns a list that shows changes lag later.
func NewHostList(lag time.Duration, hosts ...infra.Host) *HostList {
	return &HostList{lag: lag, now: hosts, past: []hostsAt{{hosts: hosts}}}
}

// Put adds or replaces a host.
func (h *HostList) Put(host infra.Host) {
	h.change(host.Name, &host)
}

// Remove takes a host off the list.
func (h *HostList) Remove(name string) {
	h.change(name, nil)
}

// SetDown switches an outage on or off.
func (h *HostList) SetDown(down bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.down = down
}

func (h *HostList) change(name string, host *infra.Host) {
	h.mu.Lock()
	defer h.mu.Unlock()
	var next []infra.Host
	for _, old := range h.now {
		if old.Name != name {
			next = append(next, old)
		}
	}
	if host != nil {
		next = append(next, *host)
	}
	h.now = next
	h.past = append(h.past, hostsAt{at: time.Now(), hosts: next})
}

// Hosts implements infra.HostList.
func (h *HostList) Hosts(context.Context) ([]infra.Host, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.down {
		return nil, infra.ErrUnavailable
	}
	for len(h.past) > 1 && time.Since(h.past[1].at) >= h.lag {
		h.past = h.past[1:]
	}
	return append([]infra.Host(nil), h.past[0].hosts...), nil
}

// Weights is a stand-in for the platform's rate-limited weight store.
type Weights struct {
	BytesPerSecond int64
	ModelBytes     int64

	mu   sync.Mutex
	free time.Time // when the store is free for the next fetch
}

// Fetch implements infra.WeightStore.
func (w *Weights) Fetch(ctx context.Context, _, _ string) (int64, error) {
	took := time.Duration(float64(w.ModelBytes) / float64(max(w.BytesPerSecond, 1)) * float64(time.Second))
	w.mu.Lock()
	start := time.Now()
	if w.free.After(start) {
		start = w.free
	}
	w.free = start.Add(took)
	until := w.free
	w.mu.Unlock()
	if err := wait.For(ctx, time.Until(until)); err != nil {
		return 0, errors.Mark(err, infra.ErrUnavailable)
	}
	return w.ModelBytes, nil
}

// Service is a stand-in for a plain service whose calls may not be repeated.
type Service struct {
	Delay time.Duration

	mu    sync.Mutex
	calls map[string]int // body -> calls
}

// Do makes one call. The reply names how often this body came.
func (s *Service) Do(ctx context.Context, method, path string, body []byte) (int, string, []byte, error) {
	s.mu.Lock()
	if s.calls == nil {
		s.calls = make(map[string]int)
	}
	s.calls[string(body)]++
	s.mu.Unlock()
	if err := wait.For(ctx, s.Delay); err != nil {
		return 0, "", nil, err
	}
	return 200, "application/json", []byte(`{"done":"` + method + " " + path + `"}`), nil
}

// Calls returns how often a body came.
func (s *Service) Calls(body string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls[body]
}
