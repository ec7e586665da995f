// Package metrics holds the histograms and counters that every process exposes.
package metrics

import (
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"
)

// MaxWorkspaces bounds the workspaces that get a series of their own. All
// others share the series OtherWorkspaces, so that memory and scrape size do not
// follow the 32,000 workspaces of the fleet.
const MaxWorkspaces = 100

// OtherWorkspaces is the label of workspaces beyond MaxWorkspaces.
const OtherWorkspaces = "_other"

// Set is the metrics of one process.
type Set struct {
	Registry  *prometheus.Registry
	durations *prometheus.HistogramVec
	events    *prometheus.CounterVec
	gauges    *prometheus.GaugeVec

	mu    sync.Mutex
	known map[string]struct{}
}

// New returns a Set whose series carry the node's name.
func New(node string) *Set {
	labels := prometheus.Labels{"node": node}
	s := &Set{Registry: prometheus.NewRegistry(), known: make(map[string]struct{})}
	s.durations = prometheus.NewHistogramVec(prometheus.HistogramOpts{
		Name:        "pumice_duration_seconds",
		Help:        "Durations by class and workspace.",
		ConstLabels: labels,
		Buckets:     prometheus.ExponentialBuckets(0.0005, 2, 18),
	}, []string{"class", "workspace"})
	s.events = prometheus.NewCounterVec(prometheus.CounterOpts{
		Name:        "pumice_events_total",
		Help:        "Events by kind.",
		ConstLabels: labels,
	}, []string{"kind"})
	s.gauges = prometheus.NewGaugeVec(prometheus.GaugeOpts{
		Name:        "pumice_state",
		Help:        "Sizes of state by kind.",
		ConstLabels: labels,
	}, []string{"kind"})
	s.Registry.MustRegister(s.durations, s.events, s.gauges)
	return s
}

// Observe adds a duration to the histogram of a class and workspace.
func (s *Set) Observe(class, workspace string, d time.Duration) {
	s.durations.WithLabelValues(class, s.label(workspace)).Observe(d.Seconds())
}

// Count adds one event.
func (s *Set) Count(kind string) {
	s.events.WithLabelValues(kind).Inc()
}

// Gauge sets a size.
func (s *Set) Gauge(kind string, value float64) {
	s.gauges.WithLabelValues(kind).Set(value)
}

func (s *Set) label(workspace string) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, ok := s.known[workspace]; ok {
		return workspace
	}
	if len(s.known) >= MaxWorkspaces {
		return OtherWorkspaces
	}
	s.known[workspace] = struct{}{}
	return workspace
}
