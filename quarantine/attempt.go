package quarantine

import (
	"context"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"pumiceford/internal/wait"
	"pumiceford/logging"
	"pumiceford/targets"
)

// Limits of runs after a hold.
const (
	// probeSpread is the fraction of a hold within which it ends at the different processes. The
	// run at the first one decides for all, while processes that try at once each crash a target.
	probeSpread = 0.5
	// poorTestDelay is the fraction of a hold for which it lasts longer for requests that would be
	// poor tests, see Tracker.testsPoorlyLocked.
	poorTestDelay = 0.5
	// probeRetryDelay is when a request may come back while another one that shares what was
	// held runs.
	probeRetryDelay = time.Second
)

// Content is what a request is, regardless of its ID: what crashes are counted against.
type Content struct {
	Key   Key    // of the whole request
	Parts []Part // of its prompt that others may share
	// Owed says that the work was accepted and has to be done in any case, such as an item of a
	// batch job. It is delayed for MaxOwedDelay at most, and never held.
	Owed bool
}

// Hold says why a request must not run now.
type Hold struct {
	Key  Key
	Part string        // ID of the held part; "" if the request is held
	Left time.Duration // until it may run
}

// Attempt is one run of a request at a target. It remembers what the process knew of crashes when
// the run began. Its zero value is a run that began before any crash was known.
type Attempt struct {
	Content
	known  uint64      // Table.changes
	depths map[Key]int // of its parts with known crashes, see Mark
	probes []Key       // ended holds that the run tests
}

// Begin begins a run, which End must end. If the request is held, no run begins and the hold is
// returned. At the end of a hold one run at a time is allowed until one tells whether the cause
// persists.
func (tr *Tracker) Begin(c Content) (*Attempt, *Hold) {
	now := time.Now()
	tr.mu.Lock()
	defer tr.mu.Unlock()
	if h := tr.holdLocked(now, c); h != nil {
		return nil, h
	}
	a := &Attempt{Content: c, known: tr.table.Changes()}
	for _, p := range c.Parts {
		if depth := tr.table.Depth(p.Key, c.Owed); depth > 0 {
			if a.depths == nil {
				a.depths = make(map[Key]int)
			}
			a.depths[p.Key] = depth
		}
	}
	for key := range c.keys() {
		if tr.suspectedLocked(key, c) {
			tr.probing[key] = a
			a.probes = append(a.probes, key)
		}
	}
	return a, nil
}

// End ends a run. It does nothing for nil, a run that did not begin.
func (tr *Tracker) End(a *Attempt) {
	if a == nil || len(a.probes) == 0 {
		return
	}
	tr.mu.Lock()
	defer tr.mu.Unlock()
	for _, key := range a.probes {
		if tr.probing[key] == a {
			delete(tr.probing, key)
		}
	}
}

// Held returns the hold of a request that must not run now, or nil. It begins no run.
func (tr *Tracker) Held(c Content) *Hold {
	if !tr.anySuspected.Load() {
		return nil
	}
	now := time.Now()
	tr.mu.Lock()
	defer tr.mu.Unlock()
	return tr.holdLocked(now, c)
}

// holdLocked returns the longest hold of a request, or nil. The caller holds mu.
func (tr *Tracker) holdLocked(now time.Time, c Content) *Hold {
	var longest *Hold
	for key, part := range c.keys() {
		left, held := tr.leftLocked(now, key, c)
		if held && (longest == nil || left > longest.Left) {
			longest = &Hold{Key: key, Part: part, Left: left}
		}
	}
	return longest
}

// suspectedLocked reports whether a key of a request is suspected as far as the request is
// concerned. The caller holds mu.
func (tr *Tracker) suspectedLocked(key Key, c Content) bool {
	if c.Owed {
		return tr.table.culprits[key] != nil
	}
	return tr.table.Suspected(key)
}

// leftLocked reports whether a request must not run at this process because of one of its keys,
// and for how long. The caller holds mu.
func (tr *Tracker) leftLocked(now time.Time, key Key, c Content) (left time.Duration, held bool) {
	if !tr.suspectedLocked(key, c) {
		return 0, false
	}
	var until time.Time
	var length time.Duration
	if c.Owed {
		var delayed bool
		if until, delayed = tr.table.Delayed(now, key); !delayed {
			return 0, false
		}
		length = owedDelay
	} else {
		until, _ = tr.table.Held(now, key)
		length = tr.table.HoldDuration(key)
	}
	if now.Before(until) {
		return until.Sub(now), true
	}
	here := until.Add(tr.probeDelay(key, length))
	if tr.testsPoorlyLocked(key, c) {
		here = here.Add(time.Duration(poorTestDelay * float64(length)))
	}
	if now.Before(here) {
		return here.Sub(now), true
	}
	return probeRetryDelay, tr.probing[key] != nil
}

// testsPoorlyLocked reports whether a run of a request would not tell whether a part still crashes
// targets, because something else in the request may do so. The caller holds mu.
func (tr *Tracker) testsPoorlyLocked(key Key, c Content) bool {
	if key == c.Key {
		return false // the parts of a request are present at all of its crashes
	}
	for other := range c.keys() {
		if other != key && tr.table.MayCrash(other) {
			return true
		}
	}
	return false
}

// probeDelay returns how much later a culprit's hold of a given length ends at this process.
func (tr *Tracker) probeDelay(key Key, length time.Duration) time.Duration {
	const steps = 1 << 16
	step := xxhash.Sum64String(tr.cfg.Node+key.String()) % steps
	return time.Duration(probeSpread * float64(step) / steps * float64(length))
}

// keys returns the key of the request, and those of its parts with their IDs.
func (c Content) keys() func(yield func(Key, string) bool) {
	return func(yield func(Key, string) bool) {
		if !yield(c.Key, "") {
			return
		}
		for _, p := range c.Parts {
			if !yield(p.Key, p.ID) {
				return
			}
		}
	}
}

// BrokenRun describes a run that ended without a complete response.
type BrokenRun struct {
	*Attempt
	Request string // ID of the request or item
	Target  targets.Instance
	Events  uint64        // number received from this run before it ended
	Took    time.Duration // time since the request was sent
}

// RecordBroken records a run whose connection broke and reports whether its target crashed. It
// probes the target, for at most probeTimeout.
func (tr *Tracker) RecordBroken(ctx context.Context, r BrokenRun) bool {
	probeCtx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	if !tr.cfg.Prober.Crashed(probeCtx, r.Target) {
		tr.cfg.Metrics.Count("run_broken_target_lives")
		return false
	}
	tr.cfg.Metrics.Count("run_broken_target_crashed")
	tr.cfg.Log.Info("target crashed under a request", logging.F("key", r.Key.String()), logging.F("parts", PartIDs(r.Parts)), logging.F("request", r.Request),
		logging.F("instance", r.Target.ID), logging.F("events", r.Events), logging.F("took_ms", r.Took.Milliseconds()), logging.F("depth", r.maxDepth()+1))
	tr.update("crashes attributed to another request or part", func(now time.Time) { tr.table.AddCrash(now, r.marks(now)...) })
	return true
}

// maxDepth returns the largest depth that was known of a part of the request when the run began.
func (a *Attempt) maxDepth() (depth int) {
	for _, d := range a.depths {
		depth = max(depth, d)
	}
	return depth
}

// marks returns the marks of a crash.
func (r BrokenRun) marks(now time.Time) []Mark {
	m := Mark{Key: r.Key, Owed: r.Owed, Target: r.Target.Incarnation(), At: now, ResponseBegan: r.Events > 0, Events: r.Events, Took: r.Took}
	out := []Mark{m}
	for place, p := range r.Parts {
		m.Key, m.Part, m.Request, m.Depth, m.Place = p.Key, p.ID, r.Key, r.depths[p.Key]+1, place
		out = append(out, m)
	}
	return out
}

// RecordSuccess records a run that ended with a complete response. It clears the request and its
// parts of the crashes that were known when the run began.
func (tr *Tracker) RecordSuccess(a *Attempt) {
	tr.update("it got a complete response", func(now time.Time) {
		tr.table.RecordSuccess(now, a.Key)
		tr.clearPartsLocked(now, a)
	})
}

// RecordProgress records a run whose response has gone on for SoundAfter, which clears the parts of
// its prompt: a part crashes its targets when they begin the response. Responses may take much
// longer than others wait for a verdict.
func (tr *Tracker) RecordProgress(a *Attempt) {
	if len(a.Parts) > 0 {
		tr.update("the response to another request goes on", func(now time.Time) { tr.clearPartsLocked(now, a) })
	}
}

// SoundAfter is how long after its first event a response that goes on clears the parts of its
// prompt.
const SoundAfter = time.Second

func (tr *Tracker) clearPartsLocked(now time.Time, a *Attempt) {
	for _, p := range a.Parts {
		tr.table.RecordPartSuccess(now, p.Key, a.known)
	}
}

// WaitSettled waits until settleDelay has passed since a request became held, during which other
// processes may still release it. It returns at once if the request is not held.
func (tr *Tracker) WaitSettled(ctx context.Context, c Content) {
	if !tr.anySuspected.Load() {
		return
	}
	var since time.Time
	tr.mu.Lock()
	for key := range c.keys() {
		if at, held := tr.held[key]; held && at.After(since) {
			since = at
		}
	}
	tr.mu.Unlock()
	if !since.IsZero() {
		_ = wait.For(ctx, settleDelay-time.Since(since)) // the caller checks Held afterwards
	}
}

// suspectOf returns the suspect with a key.
func suspectOf(all []Suspect, key Key) (Suspect, bool) {
	i := slices.IndexFunc(all, func(s Suspect) bool { return s.Key == key })
	if i < 0 {
		return Suspect{}, false
	}
	return all[i], true
}
