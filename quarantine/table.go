package quarantine

import (
	"bytes"
	"slices"
	"time"

	"pumiceford/targets"
)

// Limits of a Table.
const (
	// HoldDuration is how long a request is held after its last crash if the evidence is not
	// ambiguous. The next run then decides: if it completes, the request is cleared; if its target
	// crashes, the request is held again.
	HoldDuration = 10 * time.Minute
	// markTTL is how long a crash counts.
	markTTL = 2 * HoldDuration
	// maxKeys and maxMarksPerKey bound memory and the data sent to a process that joins.
	maxKeys        = 512
	maxMarksPerKey = 16
	// successSpan is the least time for which a complete response voids crashes that are
	// reported after it. Without it a popular request, which is present on each target that
	// crashes, would be held.
	successSpan = 5 * time.Second
	// maxSuccessesPerSpan bounds the successes that are remembered in each of the two spans.
	maxSuccessesPerSpan = 4096
)

// Mark records that a request, or a request with some part in its prompt, was running on a target
// when the target crashed. Each field but Key, Target and At only ever changes in one direction, so
// processes that exchange marks in any order converge to the same state.
type Mark struct {
	Key    Key
	Part   string // ID of the part; "" if the mark is of a request
	Target targets.Incarnation
	At     time.Time
	// ResponseBegan says that the response had begun before the crash. A request that crashes
	// its targets usually does so before its response begins, whereas the responses of the
	// requests beside it have usually begun.
	ResponseBegan bool
	Void          bool          // the request completed afterwards, or an operator cleared it
	Events        uint64        // of the response that had arrived before the crash, the most of several responses
	Took          time.Duration // from the start of the run to the crash, the longest of several runs
	// Owed says that only accepted work that is still owed ran there, such as items of batch jobs.
	Owed bool
	// Ambiguous says that the evidence was ambiguous when the store kept the mark of a culprit,
	// without those of the other crashes, or, of a part, that nothing had completed before at the
	// process that observed the crash.
	Ambiguous bool

	// The other fields are of parts only.

	// Request is the request that the part belongs to, the one with the lowest key of several.
	Request Key
	// Depth is the length of the longest chain of crashes that ends with this one and in which
	// each run began with knowledge of the crash before. Runs that were in flight at the same
	// time are no independent evidence: a single event may end all of them.
	Depth int
	Place int // number of parts before it in the prompt, the largest of several
	// Proven says that requests with the part had complete responses shortly before.
	Proven bool
}

// join adds what n records of the same crash. It reports whether that changed m.
func (m *Mark) join(n Mark) bool {
	old := *m
	m.Void = m.Void || n.Void
	m.ResponseBegan = m.ResponseBegan || n.ResponseBegan
	m.Proven = m.Proven || n.Proven
	m.Events = max(m.Events, n.Events)
	m.Took = max(m.Took, n.Took)
	m.Owed = m.Owed && n.Owed
	m.Ambiguous = m.Ambiguous || n.Ambiguous
	m.Depth = max(m.Depth, n.Depth)
	m.Place = max(m.Place, n.Place)
	if bytes.Compare(n.Request[:], m.Request[:]) < 0 {
		m.Request = n.Request
	}
	return *m != old
}

// trackedMark is a Mark with its bookkeeping in a Table.
type trackedMark struct {
	Mark
	change  uint64 // value of Table.changes when the mark was last changed
	learned uint64 // value of Table.changes when the mark was added
	local   bool   // this process observed the crash
	source  any    // source of the last change; nil for this process
	// at is Mark.At on the monotonic clock of this process, which steps of the wall clock do not
	// change.
	at time.Time
}

// record holds the marks of one request or part.
type record struct {
	key   Key
	part  string // ID of the part; "" for a request
	marks map[targets.Incarnation]*trackedMark
	// countsSince is how long crashes have counted against it without one being voided.
	countsSince time.Time
	rank        rank // see Table.updateRank
	position    int  // in Table.order
}

// weight returns the sum of the weights of the marks that are not void.
func (r *record) weight() int {
	n := 0
	for _, m := range r.marks {
		if !m.Void {
			n += m.weight()
		}
	}
	return n
}

// cleared reports whether any mark is void: the request has completed after a crash, or an
// operator cleared it.
func (r *record) cleared() bool {
	for _, m := range r.marks {
		if m.Void {
			return true
		}
	}
	return false
}

// lastCrash returns the time of the last crash that is not void and counts, or zero if there is
// none.
func (r *record) lastCrash(counts evidence) time.Time {
	var at time.Time
	for _, m := range r.marks {
		if !m.Void && counts(m) && m.At.After(at) {
			at = m.At
		}
	}
	return at
}

// Table holds the crashes at which each request was present and decides which requests are
// held. It does no I/O, takes the time from its callers, and is not safe for concurrent use.
type Table struct {
	records  map[Key]*record
	order    recordQueue // of records
	culprits map[Key]*culprit
	changes  uint64
	// dirty says that the culprits have to be recomputed: a request may have become a culprit
	// or ceased to be one, which affects the others too. Most marks are the first of their
	// request and do not set it.
	dirty bool
	// recheckAt is when the culprits have to be recomputed although nothing has changed; zero if
	// they need not.
	recheckAt time.Time
	// successes are the requests that completed in the current span and in the one before.
	successes [2]map[Key]bool
	// partSuccesses are the parts of such requests.
	partSuccesses [2]map[Key]bool
	rotatedAt     time.Time // start of the current span
	// partCompleted says that a run with some part in its prompt has survived at this process.
	partCompleted bool
}

// NewTable returns an empty Table.
func NewTable() *Table {
	return &Table{records: make(map[Key]*record), culprits: make(map[Key]*culprit), successes: [2]map[Key]bool{{}, {}}, partSuccesses: [2]map[Key]bool{{}, {}}}
}

// AddCrash records crashes that this process observed. That nothing has completed with a part
// speaks against it only where something has completed with others: the part that all prompts
// share is not told from the rest before.
func (t *Table) AddCrash(now time.Time, marks ...Mark) {
	for _, m := range marks {
		m.Proven = m.Part != "" && t.provenRecently(now, m.Key)
		m.Ambiguous = m.Ambiguous || m.Part != "" && !t.partCompleted
		t.mergeMark(now, m, nil, true)
	}
	t.updateCulprits(now)
}

// Merge applies marks received from another process or from the store.
func (t *Table) Merge(now time.Time, marks []Mark, source any) {
	for _, m := range marks {
		t.mergeMark(now, m, source, false)
	}
	t.updateCulprits(now)
}

// mergeMark applies one mark.
func (t *Table) mergeMark(now time.Time, m Mark, source any, local bool) {
	if m.At.After(now) {
		m.At = now // the clock of the sending host is ahead
	}
	m.At = m.At.Truncate(time.Millisecond) // wire precision: all processes compare equal times
	m.Took = m.Took.Truncate(time.Millisecond)
	if now.Sub(m.At) > markTTL {
		return
	}
	rec := t.records[m.Key]
	if rec == nil {
		rec = &record{key: m.Key, part: m.Part, marks: make(map[targets.Incarnation]*trackedMark)}
	}
	old := rec.marks[m.Target]
	if old != nil {
		old.local = old.local || local
	}
	switch {
	case old == nil && !rec.makeRoom(m):
		return
	case old == nil:
		old = &trackedMark{Mark: m, local: local, learned: t.changes + 1, at: now.Add(-now.Sub(m.At))}
		t.dirty = t.dirty || len(t.culprits) > 0 // a crash without a culprit speaks for it
		if rec.weight() == 0 {
			rec.countsSince = now
		}
		rec.marks[m.Target] = old
	case !old.join(m):
		return // nothing new
	}
	if old.Void {
		rec.countsSince = now
	}
	if t.records[m.Key] == nil && !t.insert(rec) {
		return
	}
	t.recordChange(old, source)
	if !old.Void && rec.part == "" && t.succeededRecently(now, m.Key) {
		old.Void = true
		t.recordChange(old, nil)
	}
	t.updateRank(rec)
}

// makeRoom drops the oldest mark if the record is full. It reports false if the new mark is the
// oldest.
func (r *record) makeRoom(m Mark) bool {
	if len(r.marks) < maxMarksPerKey {
		return true
	}
	var oldest *trackedMark
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

// recordChange assigns the next change number to a mark.
func (t *Table) recordChange(m *trackedMark, source any) {
	t.changes++
	m.change, m.source = t.changes, source
	if r := t.records[m.Key]; t.culprits[m.Key] != nil || r.weight() >= holdThreshold {
		t.dirty = true
	}
}

// RecordSuccess records a complete response to a request, which its target survived, and clears
// the request.
func (t *Table) RecordSuccess(now time.Time, key Key) {
	t.rotate(now)
	if len(t.successes[0]) < maxSuccessesPerSpan {
		t.successes[0][key] = true
	}
	t.clearRecord(now, key, t.changes)
}

// RecordPartSuccess records a run with a part in its prompt that its target survived. The run
// began when the table had made the given number of changes, and clears the part of the crashes
// that were known by then: a part that begins to crash targets is not cleared by the runs that
// began before.
func (t *Table) RecordPartSuccess(now time.Time, key Key, knownChanges uint64) {
	t.rotate(now)
	t.partCompleted = true
	if len(t.partSuccesses[0]) < maxSuccessesPerSpan {
		t.partSuccesses[0][key] = true
	}
	t.clearRecord(now, key, knownChanges)
}

// rotate starts a new span of successes if the current one is over.
func (t *Table) rotate(now time.Time) {
	if now.Sub(t.rotatedAt) < successSpan {
		return
	}
	for _, s := range []*[2]map[Key]bool{&t.successes, &t.partSuccesses} {
		if now.Sub(t.rotatedAt) > 2*successSpan {
			s[0] = map[Key]bool{}
		}
		s[0], s[1] = map[Key]bool{}, s[0]
	}
	t.rotatedAt = now
}

// provenRecently is like succeededRecently, for a part.
func (t *Table) provenRecently(now time.Time, key Key) bool {
	t.rotate(now)
	return t.partSuccesses[0][key] || t.partSuccesses[1][key]
}

// succeededRecently reports whether the request completed in the current span or the one before.
func (t *Table) succeededRecently(now time.Time, key Key) bool {
	t.rotate(now)
	return t.successes[0][key] || t.successes[1][key]
}

// Clear voids all marks of a request or part. It reports false if no crash counts against it.
func (t *Table) Clear(now time.Time, key Key) bool {
	return t.clearRecord(now, key, t.changes)
}

// clearRecord voids the marks of a request or part that were learned up to a change. It reports
// false if there are none.
func (t *Table) clearRecord(now time.Time, key Key, upTo uint64) (known bool) {
	rec := t.records[key]
	if rec == nil {
		return false
	}
	for _, m := range rec.marks {
		if !m.Void && m.learned <= upTo {
			known = true
			m.Void = true
			rec.countsSince = now
			t.recordChange(m, nil)
		}
	}
	t.updateRank(rec)
	t.updateCulprits(now)
	return known
}

// Depth returns the length of the longest known chain of crashes of a part, see Mark. For a
// request, crashes under owed work do not count.
func (t *Table) Depth(key Key, owed bool) (depth int) {
	rec := t.records[key]
	if rec == nil {
		return 0
	}
	for _, m := range rec.marks {
		if !m.Void && (owed || requestsOnly(m)) {
			depth = max(depth, m.Depth)
		}
	}
	return depth
}

// Suspected reports whether crashes are attributed to a request or part. It is held, or its hold
// has ended without a run that told whether the cause persists.
func (t *Table) Suspected(key Key) bool {
	c := t.culprits[key]
	return c != nil && !c.owedOnly
}

// MayCrash reports whether a key was at crashes, without being cleared of them, that make a run
// with it a poor test of another key.
func (t *Table) MayCrash(key Key) bool {
	r := t.records[key]
	return r != nil && r.weight() >= untestedCrashes*weightBeforeResponse
}

// Held reports whether a request or part must not run now, and until when.
func (t *Table) Held(now time.Time, key Key) (until time.Time, held bool) {
	if !t.Suspected(key) {
		return time.Time{}, false
	}
	until = t.records[key].lastCrash(requestsOnly).Add(t.HoldDuration(key))
	return until, now.Before(until)
}

// Delayed reports whether owed work waits because of a request or part, and until when other owed
// work may test it. It ends by itself MaxOwedDelay after the last crash.
func (t *Table) Delayed(now time.Time, key Key) (testAt time.Time, delayed bool) {
	if t.culprits[key] == nil {
		return time.Time{}, false
	}
	var last time.Time
	for _, m := range t.records[key].marks {
		if !m.Void && m.at.After(last) {
			last = m.at
		}
	}
	return last.Add(owedDelay), now.Before(last.Add(MaxOwedDelay))
}

// HoldDuration returns how long a culprit is held after its last crash.
func (t *Table) HoldDuration(key Key) time.Duration {
	return t.records[key].holdDuration(t.culprits[key].ambiguous)
}

// Expire drops marks older than markTTL.
func (t *Table) Expire(now time.Time) {
	for _, r := range t.records {
		for target, m := range r.marks {
			if now.Sub(m.At) > markTTL {
				delete(r.marks, target)
				t.dirty = true
			}
		}
		if len(r.marks) == 0 {
			t.remove(r)
		} else {
			t.updateRank(r)
		}
	}
	t.updateCulprits(now)
}

// DelayedKeys returns the requests and parts because of which owed work waits now.
func (t *Table) DelayedKeys(now time.Time) []Key {
	return t.culpritsWhere(func(key Key) bool { _, delayed := t.Delayed(now, key); return delayed })
}

// HeldKeys returns the requests that are held now.
func (t *Table) HeldKeys(now time.Time) []Key {
	return t.culpritsWhere(func(key Key) bool { _, held := t.Held(now, key); return held })
}

// culpritsWhere returns the culprits for which match returns true.
func (t *Table) culpritsWhere(match func(Key) bool) []Key {
	var out []Key
	for key := range t.culprits {
		if match(key) {
			out = append(out, key)
		}
	}
	return out
}

// Changes returns the number of changes so far.
func (t *Table) Changes() uint64 {
	return t.changes
}

// MarksSince returns the marks changed after the given change number, in the order of their
// changes, without those whose last change was received from except.
func (t *Table) MarksSince(changes uint64, except any) []Mark {
	var all []*trackedMark
	for _, r := range t.records {
		for _, m := range r.marks {
			if m.change > changes && (m.source == nil || m.source != except) {
				all = append(all, m)
			}
		}
	}
	slices.SortFunc(all, func(a, b *trackedMark) int { return int(a.change) - int(b.change) })
	out := make([]Mark, 0, len(all))
	for _, m := range all {
		out = append(out, m.Mark)
	}
	return out
}

// Suspect is a request or a part that crashes are counted against.
type Suspect struct {
	Key        Key
	Part       string // ID of the part; "" for a request
	Crashes    []Mark // that are not void, the oldest first
	Cleared    int    // number of crashes that are void
	Until      time.Time
	Held       bool
	Ambiguous  bool   // it is a culprit, and targets crash without it as well
	Local      bool   // this process observed one of the crashes
	LastChange uint64 // change number of the latest change to one of its marks
	Delays     bool   // owed work waits because of it
}

// Suspects returns the requests that crashes are counted against, ordered by key.
func (t *Table) Suspects(now time.Time) []Suspect {
	var out []Suspect
	for key, r := range t.records {
		s := Suspect{Key: key, Part: r.part}
		for _, m := range r.marks {
			s.LastChange = max(s.LastChange, m.change)
			if m.Void {
				s.Cleared++
			} else {
				s.Local = s.Local || m.local
				s.Crashes = append(s.Crashes, m.Mark)
			}
		}
		if len(s.Crashes) == 0 {
			continue
		}
		slices.SortFunc(s.Crashes, func(a, b Mark) int { return a.At.Compare(b.At) })
		s.Until, s.Held = t.Held(now, key)
		s.Ambiguous = t.Suspected(key) && t.culprits[key].ambiguous
		_, s.Delays = t.Delayed(now, key)
		out = append(out, s)
	}
	slices.SortFunc(out, func(a, b Suspect) int { return bytes.Compare(a.Key[:], b.Key[:]) })
	return out
}
