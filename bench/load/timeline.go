package load

import (
	"container/heap"
	"time"
)

// timeline is a virtual clock with a queue of scheduled functions.
type timeline struct {
	now       time.Time
	events    events
	scheduled int
}

type event struct {
	at  time.Time
	seq int // keeps events at the same time in scheduling order
	fn  func()
}

type events []event

// Len implements heap.Interface.
func (e events) Len() int { return len(e) }

// Less implements heap.Interface.
func (e events) Less(i, j int) bool {
	if e[i].at.Equal(e[j].at) {
		return e[i].seq < e[j].seq
	}
	return e[i].at.Before(e[j].at)
}

// Swap implements heap.Interface.
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }

// Push implements heap.Interface.
func (e *events) Push(x any) { *e = append(*e, x.(event)) }

// Pop implements heap.Interface.
func (e *events) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

// after schedules fn to run after d.
func (t *timeline) after(d time.Duration, fn func()) {
	t.scheduled++
	heap.Push(&t.events, event{t.now.Add(d), t.scheduled, fn})
}

// runUntil runs the events before end in order of time.
func (t *timeline) runUntil(end time.Time) {
	for len(t.events) > 0 && t.events[0].at.Before(end) {
		next := heap.Pop(&t.events).(event)
		t.now = next.at
		next.fn()
	}
}
