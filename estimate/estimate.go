// Package estimate estimates how long a request or an item of a batch job holds its slot at
// a target, when its first event comes and how much of the target's memory it needs. All
// decisions that need such a figure ask the same Model, so that the wait for a slot, the
// choice of a target and the order of items agree with each other. It does no I/O and reads
// no clock.
//
// The Model learns for each class of work how its figures grow with the size. Work of which
// no tokens are known gets the average of its service.
package estimate

import (
	"math"
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

// output returns the number of output tokens to expect, 0 if it is unknown. A hint beyond the
// most output tokens cannot come true.
func (w Work) output() int {
	if w.LengthHint > 0 && (w.MaxOutputTokens == 0 || w.LengthHint < w.MaxOutputTokens) {
		return w.LengthHint
	}
	return w.MaxOutputTokens
}

// Estimate is an estimated time. High is exceeded by about one in twenty.
type Estimate struct {
	Mean, High time.Duration
}

// Memory is an estimated number of tokens in a target's memory. High is not exceeded.
type Memory struct {
	Mean, High int
}

// UsualPace is the pace of a target that works as fast as usual, or of which nothing is known.
// A pace is relative: at a target with pace 2 all work takes twice as long.
const UsualPace = 1.0

// Initial estimates and weights.
const (
	// defaultHoldTime is the assumed time that a request holds its slot until one has
	// been observed.
	defaultHoldTime = 600 * time.Millisecond
	// requestSmoothing is the weight of a new observation of a request.
	requestSmoothing = 0.05
	// initialEventsPerItem and initialTimePerEvent assume an item of 200 events, each of
	// which takes seven steps of an engine.
	initialEventsPerItem = 200
	initialTimePerEvent  = 22 * time.Millisecond
	// itemSmoothing is the weight of a new observation of an item.
	itemSmoothing = 0.1
	// minRunTime is the shortest run that gives a usable time per event.
	minRunTime = 200 * time.Millisecond
	// minObservations is the number of observations of a class after which its own figures
	// are used.
	minObservations = 10
	// maxClasses bounds the classes that are kept; the one observed longest ago is dropped.
	maxClasses = 256
)

// Model learns from the work that ran. It is safe for concurrent use; its lock is taken last.
type Model struct {
	mu            sync.Mutex
	holdTimes     classes // by service
	requests      classes // by service and route
	items         classes // by route
	eventsPerItem float64
	timePerEvent  time.Duration
}

// NewModel returns a Model with initial estimates.
func NewModel() *Model {
	return &Model{eventsPerItem: initialEventsPerItem, timePerEvent: initialTimePerEvent}
}

// classKey names what is learned together.
type classKey struct {
	service, class string
}

// ObserveRequest adds the time that a request held its slot at a target of a service. The
// pace is that of the target, see UsualPace.
func (m *Model) ObserveRequest(service string, w Work, pace float64, took time.Duration) {
	seconds := took.Seconds() / valid(pace)
	m.mu.Lock()
	defer m.mu.Unlock()
	all := m.holdTimes.of(classKey{service: service})
	if all.hold.n == 0 { // the first observation has no more weight than others
		all.hold = line{n: 1 / requestSmoothing, y: defaultHoldTime.Seconds(), spread: square(initialSpread)}
	}
	all.hold.observe(0, seconds, requestSmoothing)
	if x := w.output(); x > 0 {
		m.requests.of(classKey{service, w.Class}).hold.observe(float64(x), seconds, requestSmoothing)
	}
}

// ObserveStream adds the time from the start of a request to its first event, and the time
// from there to its last one, with the number of all its events.
func (m *Model) ObserveStream(service string, w Work, pace float64, first time.Duration, events uint64, rest time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	c := m.requests.of(classKey{service, w.Class})
	c.first.observe(float64(w.PromptTokens), first.Seconds()/valid(pace), requestSmoothing)
	if events > 1 {
		c.gap.observe(0, rest.Seconds()/float64(events-1)/valid(pace), requestSmoothing)
	}
}

// HoldTime estimates how long a request holds its slot at a target of a service and pace. The
// zero Work stands for a request of which nothing is known.
func (m *Model) HoldTime(service string, w Work, pace float64) time.Duration {
	return m.Hold(service, w, pace).Mean
}

// Hold is like HoldTime, with the spread.
func (m *Model) Hold(service string, w Work, pace float64) Estimate {
	m.mu.Lock()
	defer m.mu.Unlock()
	if c := m.requests.known(classKey{service, w.Class}); c != nil && w.output() > 0 && c.hold.n >= minObservations {
		return c.hold.estimate(float64(w.output()), pace)
	}
	if c := m.holdTimes.known(classKey{service: service}); c != nil {
		return c.hold.estimate(0, pace)
	}
	initial := line{y: defaultHoldTime.Seconds()}
	return initial.estimate(0, pace)
}

// FirstEvent estimates how long the first event of a request takes once it has a slot. It is
// zero if it is unknown.
func (m *Model) FirstEvent(service string, w Work, pace float64) Estimate {
	m.mu.Lock()
	defer m.mu.Unlock()
	c := m.requests.known(classKey{service, w.Class})
	if c == nil || c.first.n < minObservations {
		return Estimate{}
	}
	return c.first.estimate(float64(w.PromptTokens), pace)
}

// EventGap estimates the time between two events of a stream. It is zero if it is unknown.
func (m *Model) EventGap(service string, w Work, pace float64) Estimate {
	m.mu.Lock()
	defer m.mu.Unlock()
	c := m.requests.known(classKey{service, w.Class})
	if c == nil || c.gap.n < minObservations {
		return Estimate{}
	}
	return c.gap.estimate(0, pace)
}

// Memory estimates how many tokens of a target's memory work needs.
func (m *Model) Memory(w Work) Memory {
	return Memory{Mean: w.PromptTokens + w.output(), High: w.Tokens()}
}

// ObserveItem adds the number of events of a finished item.
func (m *Model) ObserveItem(w Work, events uint64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.eventsPerItem += itemSmoothing * (float64(events) - m.eventsPerItem)
	if x := w.output(); x > 0 {
		m.items.of(classKey{class: w.Class}).events.observe(float64(x), float64(events), itemSmoothing)
	}
}

// ObserveRun adds the time that a run of an item took for some events at a target with the
// given pace. It ignores short runs.
func (m *Model) ObserveRun(w Work, pace float64, events uint64, took time.Duration) {
	if events == 0 || took < minRunTime {
		return
	}
	each := time.Duration(float64(took/time.Duration(events)) / valid(pace))
	m.mu.Lock()
	defer m.mu.Unlock()
	m.timePerEvent += time.Duration(itemSmoothing * float64(each-m.timePerEvent))
	if w.output() > 0 {
		m.items.of(classKey{class: w.Class}).gap.observe(0, each.Seconds(), itemSmoothing)
	}
}

// Remaining estimates how long an item still has to run after the given number of events, at
// a target with the given pace.
func (m *Model) Remaining(w Work, pace float64, done uint64) time.Duration {
	return m.Item(w, pace, done).Mean
}

// Item is like Remaining, with the spread.
func (m *Model) Item(w Work, pace float64, done uint64) Estimate {
	m.mu.Lock()
	defer m.mu.Unlock()
	x := float64(w.output())
	events, gap := line{y: m.eventsPerItem}, line{y: m.timePerEvent.Seconds()}
	most := x // an event has at least one token
	if c := m.items.known(classKey{class: w.Class}); c != nil && x > 0 {
		if c.events.n >= minObservations {
			events, most = c.events, float64(max(w.MaxOutputTokens, w.LengthHint))
		}
		if c.gap.n >= minObservations {
			gap = c.gap
		}
	}
	mean, high := events.at(x)
	if x > 0 {
		mean = min(mean, most)
	}
	if w.MaxOutputTokens > 0 {
		high = max(min(high, float64(w.MaxOutputTokens)), mean)
	}
	left, mostLeft := max(mean-float64(done), 1), max(high-float64(done), 1)
	each := gap.estimate(0, pace)
	return Estimate{Mean: scale(each.Mean, left), High: scale(each.High, mostLeft)}
}

// scale returns n times d, without overflow.
func scale(d time.Duration, n float64) time.Duration {
	return time.Duration(min(float64(d)*n, maxEstimate.Seconds()*float64(time.Second)))
}

// maxEstimate bounds all estimated times.
const maxEstimate = 24 * time.Hour

// valid returns the pace, or UsualPace in place of one that is not a positive number.
func valid(pace float64) float64 {
	if pace > 0 && !math.IsInf(pace, 0) {
		return pace
	}
	return UsualPace
}
