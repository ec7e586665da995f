package quarantine

import (
	"bytes"
	"cmp"
	"slices"
	"time"

	"pumiceford/targets"
)

// Limits of a Table.
const (
	// HoldFor is how long a request is held after its last crash. Then one more run
	// decides: it clears the request, or holds it again.
	HoldFor = 10 * time.Minute
	// forgetAfter is how long a crash counts.
	forgetAfter = 2 * HoldFor
	// keysMost and marksMost bound memory and what a process that joins is told.
	keysMost  = 512
	marksMost = 16
	// answerFor is how long a whole answer speaks for a request at least, against crashes
	// that are told of later: a popular one is at each target that crashes.
	answerFor = 5 * time.Second
	// answersMost bounds the answers that are remembered, in each of two spans.
	answersMost = 4096
)

// Mark says that a request was at a target when that crashed. Marks only ever become
// void, so processes that tell each other in any order come to hold the same.
type Mark struct {
	Key    Key
	Target targets.Life
	At     time.Time
	// Answered: its answer had begun. A request that crashes its targets mostly does as
	// they begin with it, and what runs beside it mostly has begun to answer.
	Answered bool
	Void     bool // a run of the request has ended well since, or an operator cleared it
}

// noted is a Mark as a Table has it.
type noted struct {
	Mark
	change uint64 // of the table, when the mark came or became void
	own    bool   // this process saw the crash
	from   any    // who told of the change; nil for this process
}

// record is what is known of one request.
type record struct {
	key   Key
	marks map[targets.Life]*noted
}

// weight returns how much counts against the request.
func (r *record) weight() int {
	n := 0
	for _, m := range r.marks {
		if !m.Void {
			n += m.weight()
		}
	}
	return n
}

// credible reports whether the request has run well after one of its crashes.
func (r *record) credible() bool {
	for _, m := range r.marks {
		if m.Void {
			return true
		}
	}
	return false
}

// newest returns the time of the last crash, zero when all are void.
func (r *record) newest() time.Time {
	var at time.Time
	for _, m := range r.marks {
		if !m.Void && m.At.After(at) {
			at = m.At
		}
	}
	return at
}

// Table holds the crashes that requests were seen at and decides which requests are
// held. It is pure and not safe for concurrent use.
type Table struct {
	records  map[Key]*record
	culprits map[Key]bool
	changes  uint64
	// outdated: a request may have become a culprit or not, which may free others. Most marks
	// are the first of their request and change nothing.
	outdated bool
	// answers are the requests that were answered in this span and the one before.
	answers [2]map[Key]bool
	rotated time.Time // when this span began
}

// NewTable returns an empty Table.
func NewTable() *Table {
	return &Table{records: make(map[Key]*record), culprits: make(map[Key]bool), answers: [2]map[Key]bool{{}, {}}}
}

// Add takes a crash that this process saw.
func (t *Table) Add(now time.Time, m Mark) {
	t.take(now, m, nil, true)
	t.attribute()
}

// Merge takes what somebody else tells.
func (t *Table) Merge(now time.Time, marks []Mark, from any) {
	for _, m := range marks {
		t.take(now, m, from, false)
	}
	t.attribute()
}

// take notes one mark.
func (t *Table) take(now time.Time, m Mark, from any, own bool) {
	if m.At.After(now) {
		m.At = now // another host's clock is ahead
	}
	m.At = m.At.Truncate(time.Millisecond) // as others are told it
	if now.Sub(m.At) > forgetAfter {
		return
	}
	rec := t.records[m.Key]
	if rec == nil {
		rec = &record{key: m.Key, marks: make(map[targets.Life]*noted)}
	}
	old := rec.marks[m.Target]
	if old != nil {
		old.own = old.own || own
	}
	switch {
	case old == nil && !rec.makeRoom(m):
		return
	case old == nil:
		old = &noted{Mark: m, own: own}
		rec.marks[m.Target] = old
	case (!m.Void || old.Void) && (!m.Answered || old.Answered):
		return // nothing new
	}
	old.Void = old.Void || m.Void
	old.Answered = old.Answered || m.Answered
	if t.records[m.Key] == nil && !t.makeRoom(rec) {
		return
	}
	t.records[m.Key] = rec
	t.note(old, from)
	if !old.Void && t.answered(now, m.Key) {
		old.Void = true
		t.note(old, nil)
	}
}

// makeRoom drops the oldest mark when there are too many. It reports false when the new
// one is the oldest.
func (r *record) makeRoom(m Mark) bool {
	if len(r.marks) < marksMost {
		return true
	}
	var oldest *noted
	for _, o := range r.marks {
		if oldest == nil || o.At.Before(oldest.At) {
			oldest = o
		}
	}
	if !oldest.At.Before(m.At) {
		return false
	}
	delete(r.marks, oldest.Target)
	return true
}

// note numbers a change.
func (t *Table) note(m *noted, from any) {
	t.changes++
	m.change, m.from = t.changes, from
	if r := t.records[m.Key]; t.culprits[m.Key] || r.weight() >= weightHeld {
		t.outdated = true
	}
}

// makeRoom drops the request that matters least when there are too many. It reports false
// when that is the new one. What matters depends on the marks alone: processes that drop
// different ones tell each other what they dropped, as news, for ever.
func (t *Table) makeRoom(r *record) bool {
	if len(t.records) < keysMost {
		return true
	}
	least := r
	for _, o := range t.records {
		if o.compare(least) < 0 {
			least = o
		}
	}
	if least == r {
		return false
	}
	delete(t.records, least.key)
	delete(t.culprits, least.key)
	return true
}

// compare orders requests by how much they matter: by the crashes that count, up to those
// that hold one, then by the last of them.
func (r *record) compare(o *record) int {
	return cmp.Or(
		cmp.Compare(min(r.weight(), weightHeld), min(o.weight(), weightHeld)),
		r.newest().Compare(o.newest()),
		bytes.Compare(r.key[:], o.key[:]),
	)
}

// Served takes a whole answer to a request: its target lived through it.
func (t *Table) Served(now time.Time, key Key) {
	t.rotate(now)
	if len(t.answers[0]) < answersMost {
		t.answers[0][key] = true
	}
	t.Clear(key)
}

// rotate begins a new span of answers when the last one is over.
func (t *Table) rotate(now time.Time) {
	if now.Sub(t.rotated) < answerFor {
		return
	}
	if now.Sub(t.rotated) > 2*answerFor {
		t.answers[0] = map[Key]bool{}
	}
	t.answers[0], t.answers[1] = map[Key]bool{}, t.answers[0]
	t.rotated = now
}

// answered reports whether a request had a whole answer lately.
func (t *Table) answered(now time.Time, key Key) bool {
	t.rotate(now)
	return t.answers[0][key] || t.answers[1][key]
}

// Clear voids all that counts against a request. It reports false when nothing does.
func (t *Table) Clear(key Key) bool {
	rec := t.records[key]
	if rec == nil || rec.weight() == 0 {
		return false
	}
	for _, m := range rec.marks {
		if !m.Void {
			m.Void = true
			t.note(m, nil)
		}
	}
	t.attribute()
	return true
}

// Held reports whether a request must not run now, and until when.
func (t *Table) Held(now time.Time, key Key) (until time.Time, held bool) {
	if !t.culprits[key] {
		return time.Time{}, false
	}
	until = t.records[key].newest().Add(HoldFor)
	return until, now.Before(until)
}

// Expire forgets what is too old to count.
func (t *Table) Expire(now time.Time) {
	for key, r := range t.records {
		for life, m := range r.marks {
			if now.Sub(m.At) > forgetAfter {
				delete(r.marks, life)
				t.outdated = true
			}
		}
		if len(r.marks) == 0 {
			delete(t.records, key)
		}
	}
	t.attribute()
}

// Holds returns the requests that are held now.
func (t *Table) Holds(now time.Time) []Key {
	var out []Key
	for key := range t.culprits {
		if _, held := t.Held(now, key); held {
			out = append(out, key)
		}
	}
	return out
}

// Changes counts the changes so far.
func (t *Table) Changes() uint64 {
	return t.changes
}

// Since returns the marks that have changed after a number of changes, but for those
// that somebody told this process himself, in the order of their changes.
func (t *Table) Since(changes uint64, except any) []Mark {
	var all []*noted
	for _, r := range t.records {
		for _, m := range r.marks {
			if m.change > changes && (m.from == nil || m.from != except) {
				all = append(all, m)
			}
		}
	}
	slices.SortFunc(all, func(a, b *noted) int { return int(a.change) - int(b.change) })
	out := make([]Mark, 0, len(all))
	for _, m := range all {
		out = append(out, m.Mark)
	}
	return out
}

// Case is a request that crashes are counted against.
type Case struct {
	Key     Key
	Crashes []Mark // that count, the oldest first
	Until   time.Time
	Held    bool
	Own     bool   // this process saw one of the crashes
	Change  uint64 // the last one
}

// Cases returns the requests that crashes are counted against, by key.
func (t *Table) Cases(now time.Time) []Case {
	var out []Case
	for key, r := range t.records {
		c := Case{Key: key}
		for _, m := range r.marks {
			c.Change = max(c.Change, m.change)
			if !m.Void {
				c.Own = c.Own || m.own
				c.Crashes = append(c.Crashes, m.Mark)
			}
		}
		if len(c.Crashes) == 0 {
			continue
		}
		slices.SortFunc(c.Crashes, func(a, b Mark) int { return a.At.Compare(b.At) })
		c.Until, c.Held = t.Held(now, key)
		out = append(out, c)
	}
	slices.SortFunc(out, func(a, b Case) int { return bytes.Compare(a.Key[:], b.Key[:]) })
	return out
}
