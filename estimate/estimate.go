// Package estimate estimates how long a request or an item of a batch job holds its slot at
// a target. All decisions that need such a time ask the same Model, so that the wait for a
// slot, the choice of a target and the order of items agree with each other. It does no I/O
// and reads no clock.
package estimate

import (
	"sync"
	"time"
)

// Work is what is known of a request or an item before it runs. Numbers of tokens are 0 if
// they are unknown.
type Work struct {
	Class           string // name of the route
	PromptTokens    int
	MaxOutputTokens int
	LengthHint      int // the caller's estimate of the output tokens
}

// Tokens returns the number of tokens that the work may occupy in a target's memory, 0 if it
// is unknown.
func (w Work) Tokens() int {
	return w.PromptTokens + w.MaxOutputTokens
}

// UsualPace is the pace of a target that works as fast as usual, or of which nothing is known.
// A pace is relative: at a target with pace 2 all work takes twice as long.
const UsualPace = 1.0

// Initial estimates and weights.
const (
	// defaultHoldTime is the assumed time that a request holds its slot until one has
	// been observed.
	defaultHoldTime = 600 * time.Millisecond
	// holdTimeSmoothing is the weight of a new observation of a request.
	holdTimeSmoothing = 0.05
	// initialEventsPerItem and initialTimePerEvent assume an item of 200 events, each of
	// which takes seven steps of an engine.
	initialEventsPerItem = 200
	initialTimePerEvent  = 22 * time.Millisecond
	// itemSmoothing is the weight of a new observation of an item.
	itemSmoothing = 0.1
	// minRunTime is the shortest run that gives a usable time per event.
	minRunTime = 200 * time.Millisecond
)

// Model learns from the work that ran. It is safe for concurrent use; its lock is taken last.
type Model struct {
	mu            sync.Mutex
	holdTimes     map[string]time.Duration // average time that a request holds its slot, by service
	eventsPerItem float64
	timePerEvent  time.Duration
}

// NewModel returns a Model with initial estimates.
func NewModel() *Model {
	return &Model{holdTimes: make(map[string]time.Duration), eventsPerItem: initialEventsPerItem, timePerEvent: initialTimePerEvent}
}

// ObserveRequest adds the time that a request held its slot at a target of a service. The
// pace is that of the target, see UsualPace.
func (m *Model) ObserveRequest(service string, _ Work, _ float64, took time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	average := m.holdTimeLocked(service)
	m.holdTimes[service] = average + time.Duration(holdTimeSmoothing*float64(took-average))
}

// HoldTime estimates how long a request holds its slot at a target of a service and pace. The
// zero Work stands for a request of which nothing is known.
func (m *Model) HoldTime(service string, _ Work, _ float64) time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.holdTimeLocked(service)
}

func (m *Model) holdTimeLocked(service string) time.Duration {
	if d, ok := m.holdTimes[service]; ok {
		return d
	}
	return defaultHoldTime
}

// ObserveItem adds the number of events of a finished item.
func (m *Model) ObserveItem(_ Work, events uint64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.eventsPerItem += itemSmoothing * (float64(events) - m.eventsPerItem)
}

// ObserveRun adds the time that a run of an item took for some events at a target with the
// given pace. It ignores short runs.
func (m *Model) ObserveRun(_ Work, _ float64, events uint64, took time.Duration) {
	if events == 0 || took < minRunTime {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.timePerEvent += time.Duration(itemSmoothing * float64(took/time.Duration(events)-m.timePerEvent))
}

// Remaining estimates how long an item still has to run after the given number of events, at
// a target with the given pace.
func (m *Model) Remaining(_ Work, _ float64, done uint64) time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	left := max(m.eventsPerItem-float64(done), 1)
	return time.Duration(left * float64(m.timePerEvent))
}
