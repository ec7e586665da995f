package standin

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"pumiceford/infra"
	"pumiceford/internal/wait"
)

// HostList simulates the platform's host list, which shows changes after a delay.
type HostList struct {
	lag time.Duration

	mu      sync.Mutex
	current []infra.Host
	history []hostsVersion
	down    bool
}

type hostsVersion struct {
	at    time.Time
	hosts []infra.Host
}

// NewHostList returns a list of hosts that shows changes after lag.
func NewHostList(lag time.Duration, hosts ...infra.Host) *HostList {
	return &HostList{lag: lag, current: hosts, history: []hostsVersion{{hosts: hosts}}}
}

// Put adds or replaces a host.
func (h *HostList) Put(host infra.Host) {
	h.change(host.Name, &host)
}

// Remove removes a host from the list.
func (h *HostList) Remove(name string) {
	h.change(name, nil)
}

// SetDown starts or ends an outage of the list.
func (h *HostList) SetDown(down bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.down = down
}

func (h *HostList) change(name string, host *infra.Host) {
	h.mu.Lock()
	defer h.mu.Unlock()
	var next []infra.Host
	for _, old := range h.current {
		if old.Name != name {
			next = append(next, old)
		}
	}
	if host != nil {
		next = append(next, *host)
	}
	h.current = next
	h.history = append(h.history, hostsVersion{at: time.Now(), hosts: next})
}

// Hosts implements infra.HostList.
func (h *HostList) Hosts(context.Context) ([]infra.Host, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.down {
		return nil, infra.ErrUnavailable
	}
	for len(h.history) > 1 && time.Since(h.history[1].at) >= h.lag {
		h.history = h.history[1:]
	}
	return append([]infra.Host(nil), h.history[0].hosts...), nil
}

// Weights simulates the platform's rate-limited weight store.
type Weights struct {
	BytesPerSecond int64
	ModelBytes     int64

	mu     sync.Mutex
	freeAt time.Time // when the next fetch can start
}

// Fetch implements infra.WeightStore.
func (w *Weights) Fetch(ctx context.Context, _, _ string) (int64, error) {
	took := time.Duration(float64(w.ModelBytes) / float64(max(w.BytesPerSecond, 1)) * float64(time.Second))
	w.mu.Lock()
	start := time.Now()
	if w.freeAt.After(start) {
		start = w.freeAt
	}
	w.freeAt = start.Add(took)
	until := w.freeAt
	w.mu.Unlock()
	if err := wait.For(ctx, time.Until(until)); err != nil {
		return 0, errors.Mark(err, infra.ErrUnavailable)
	}
	return w.ModelBytes, nil
}

// Service simulates a plain service whose calls must not be repeated.
type Service struct {
	Delay time.Duration

	mu    sync.Mutex
	calls map[string]int // number of calls by body
}

// Do responds to one call after Delay. The response names the method and the path.
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

// CallCount returns the number of calls with a body.
func (s *Service) CallCount(body string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls[body]
}
