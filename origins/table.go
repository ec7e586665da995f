package origins

import (
	"time"

	"pumiceford/quarantine"
	"pumiceford/targets"
)

// Stream is a stream that began at a target.
type Stream struct {
	Key      quarantine.Key // the same for each attempt of the caller
	Attempt  string         // ID of the attempt that brought its first event
	Instance string         // ID of the target
	Software targets.Software
	// Window is how long after its beginning a caller may take it up.
	Window time.Duration
	// Rerouted says that the services of its route changed within the window, so that the route
	// does not tell its service.
	Rerouted bool
}

// maxStreams bounds the streams of one Table: what an agent holds while two versions serve at the
// largest planned size, several times over.
const maxStreams = 1 << 16

// Result says what a Table knows of the origin of a stream.
type Result int

// The results.
const (
	NotRecorded Result = iota
	Recorded
	Ambiguous // streams that match began at different software
)

// Table records the origins of streams until their windows have passed. It is not safe for
// concurrent use.
type Table struct {
	byKey map[quarantine.Key][]record
	order []expiry // in the order of recording
}

type record struct {
	attempt   string
	software  targets.Software
	ambiguous bool // the same attempt was recorded with other software
	until     time.Duration
}

type expiry struct {
	key     quarantine.Key
	attempt string
	until   time.Duration
}

// NewTable returns an empty Table.
func NewTable() *Table {
	return &Table{byKey: make(map[quarantine.Key][]record)}
}

// Len returns the number of streams recorded.
func (t *Table) Len() int {
	return len(t.order)
}

// Record records the origin of a stream. If the table is full, the oldest one is dropped.
func (t *Table) Record(now time.Duration, s Stream) {
	t.expire(now)
	until := now + s.Window
	for i := range t.byKey[s.Key] {
		r := &t.byKey[s.Key][i]
		if r.attempt == s.Attempt {
			r.ambiguous = r.ambiguous || r.software != s.Software
			r.until = max(r.until, until)
			t.order = append(t.order, expiry{s.Key, s.Attempt, until})
			return
		}
	}
	t.byKey[s.Key] = append(t.byKey[s.Key], record{attempt: s.Attempt, software: s.Software, until: until})
	t.order = append(t.order, expiry{s.Key, s.Attempt, until})
	if len(t.order) > maxStreams {
		t.drop(t.order[0])
		t.order = t.order[1:]
	}
}

// expire drops the streams whose windows have passed. Windows are nearly equal, so the first
// that has not passed ends the search.
func (t *Table) expire(now time.Duration) {
	n := 0
	for n < len(t.order) && t.order[n].until < now {
		t.drop(t.order[n])
		n++
	}
	t.order = t.order[n:]
}

// drop removes the stream of an expiry, unless it was recorded again with a later one.
func (t *Table) drop(e expiry) {
	kept := t.byKey[e.key][:0]
	for _, r := range t.byKey[e.key] {
		if r.attempt != e.attempt || r.until > e.until {
			kept = append(kept, r)
		}
	}
	if len(kept) == 0 {
		delete(t.byKey, e.key)
		return
	}
	t.byKey[e.key] = kept
}

// Find returns the origin of the stream that an attempt began. Without an attempt it returns
// that of all streams with the key, if they agree.
func (t *Table) Find(now time.Duration, key quarantine.Key, attempt string) (targets.Software, Result) {
	t.expire(now)
	var found targets.Software
	result := NotRecorded
	for _, r := range t.byKey[key] {
		switch {
		case attempt != "" && r.attempt != attempt:
		case r.ambiguous || result == Recorded && r.software != found:
			return targets.Software{}, Ambiguous
		default:
			found, result = r.software, Recorded
		}
	}
	return found, result
}
