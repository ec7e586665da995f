// Package metrics holds the histograms, counters and gauges that every process exposes.
package metrics

import (
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"
)

// MaxWorkspaces bounds the workspaces with their own series. All others share the series
// OtherWorkspaces, so that memory and scrape size do not grow with the 32,000 workspaces of
// the fleet.
const MaxWorkspaces = 100

// OtherWorkspaces is the label value of workspaces beyond MaxWorkspaces.
const OtherWorkspaces = "_other"

// Set holds the metrics of one process. It is safe for concurrent use.
type Set struct {
	Registry    *prometheus.Registry
	durations   *prometheus.HistogramVec
	events      *prometheus.CounterVec
	gauges      *prometheus.GaugeVec
	byWorkspace *prometheus.GaugeVec

	mu       sync.Mutex
	labelled map[string]struct{}
}

// New returns a Set whose series are labelled with the node's name.
func New(node string) *Set {
	labels := prometheus.Labels{"node": node}
	s := &Set{Registry: prometheus.NewRegistry(), labelled: make(map[string]struct{})}
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
	s.byWorkspace = prometheus.NewGaugeVec(prometheus.GaugeOpts{
		Name:        "pumice_workspace_state",
		Help:        "Sizes of state by kind and workspace.",
		ConstLabels: labels,
	}, []string{"kind", "workspace"})
	s.Registry.MustRegister(s.durations, s.events, s.gauges, s.byWorkspace)
	return s
}

// Observe records a duration in the histogram of a class and workspace.
func (s *Set) Observe(class, workspace string, d time.Duration) {
	s.durations.WithLabelValues(class, s.workspaceLabel(workspace)).Observe(d.Seconds())
}

// Count adds one to the counter of a kind of event.
func (s *Set) Count(kind string) {
	s.events.WithLabelValues(kind).Inc()
}

// SetGauge sets the gauge of a kind of state.
func (s *Set) SetGauge(kind string, value float64) {
	s.gauges.WithLabelValues(kind).Set(value)
}

// SetWorkspaceGauges replaces the gauges of a kind of state by workspace. Those of workspaces
// without a series of their own are added up.
func (s *Set) SetWorkspaceGauges(kind string, values map[string]float64) {
	byLabel := make(map[string]float64, len(values))
	for workspace, v := range values {
		byLabel[s.workspaceLabel(workspace)] += v
	}
	s.byWorkspace.DeletePartialMatch(prometheus.Labels{"kind": kind})
	for label, v := range byLabel {
		s.byWorkspace.WithLabelValues(kind, label).Set(v)
	}
}

// workspaceLabel returns the workspace itself for the first MaxWorkspaces workspaces seen and
// OtherWorkspaces for all later ones.
func (s *Set) workspaceLabel(workspace string) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, ok := s.labelled[workspace]; ok {
		return workspace
	}
	if len(s.labelled) >= MaxWorkspaces {
		return OtherWorkspaces
	}
	s.labelled[workspace] = struct{}{}
	return workspace
}
