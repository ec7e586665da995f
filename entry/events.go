package entry

import (
	"sync"
	"time"
)

// Event is one action on the system with its reason.
type Event struct {
	Time    time.Time `json:"time"`
	Kind    string    `json:"kind"`
	Subject string    `json:"subject"`
	Reason  string    `json:"reason"`
}

// maxEvents is the number of events kept in memory.
const maxEvents = 1000

// eventLog keeps the newest maxEvents events. Its methods are safe for concurrent
// use.
type eventLog struct {
	mu     sync.Mutex
	events []Event
}

func newEventLog() *eventLog {
	return &eventLog{}
}

func (l *eventLog) add(kind, subject, reason string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.events = append(l.events, Event{Time: time.Now(), Kind: kind, Subject: subject, Reason: reason})
	if len(l.events) > maxEvents {
		l.events = l.events[len(l.events)-maxEvents:]
	}
}

// forSubject returns the stored events of a subject, or all of them if subject is
// empty.
func (l *eventLog) forSubject(subject string) []Event {
	l.mu.Lock()
	defer l.mu.Unlock()
	var out []Event
	for _, e := range l.events {
		if subject == "" || e.Subject == subject {
			out = append(out, e)
		}
	}
	return out
}
