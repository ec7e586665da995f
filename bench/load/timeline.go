package load

import (
	"container/heap"
	"time"
)

// timeline is virtual time: functions that run at given moments.
type timeline struct {
	now    time.Time
	events events
	count  int
}

type event struct {
	at time.Time
	n  int // orders events of one moment as they were asked for
	fn func()
}

type events []event

// Len implements heap.Interface.
func (e events) Len() int { return len(e) }

// Less implements heap.Interface.
func (e events) Less(i, j int) bool {
	if e[i].at.Equal(e[j].at) {
		return e[i].n < e[j].n
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

// after has fn run after d.
func (t *timeline) after(d time.Duration, fn func()) {
	t.count++
	heap.Push(&t.events, event{t.now.Add(d), t.count, fn})
}

// runUntil runs what is due before a moment.
func (t *timeline) runUntil(end time.Time) {
	for len(t.events) > 0 && t.events[0].at.Before(end) {
		next := heap.Pop(&t.events).(event)
		t.now = next.at
		next.fn()
	}
}
