package balance

import (
	"math"
	"slices"
	"time"

	"pumiceford/estimate"
	"pumiceford/targets"
)

// Limits for the pace of targets.
const (
	// quickPaceAge is how long a momentary pace is believed. Work of neighbours on a machine
	// changes its pace several times a second.
	quickPaceAge = 600 * time.Millisecond
	// usualPaceAge is how long the averaged pace of a machine is believed without a new
	// figure.
	usualPaceAge = 10 * time.Second
	// fastPaceAge is how long after its last sign of life a target may count as faster than
	// usual. It is longer than the interval at which agents repeat their reports.
	fastPaceAge = 400 * time.Millisecond
	// paceHysteresis is the factor by which a pace must differ from the one that is believed
	// to replace it, and from estimate.UsualPace to count at all. Work would otherwise move
	// between targets that differ by noise only.
	paceHysteresis = 1.3
	// minPace and maxPace bound what is believed of a target, so that a wrong figure neither
	// draws all work to a target nor empties it.
	minPace, maxPace = 0.4, 8.0
	// minPaceTargets is the number of targets of a service that must have given figures
	// before these are compared.
	minPaceTargets = 2
	// paceScaleInterval is the interval at which the median of a service is computed anew.
	paceScaleInterval = 250 * time.Millisecond
	// slownessSmoothing is the weight of a new figure in the average slowness of a target.
	slownessSmoothing = 0.15
	// minPaceLogInterval is the shortest time between two changes of one target's pace that
	// are listed by TakePaceChanges.
	minPaceLogInterval = 5 * time.Second
	// maxPaceChanges bounds the changes kept for TakePaceChanges.
	maxPaceChanges = 64
)

// believedPace is one figure for the pace of a target, relative to its service.
type believedPace struct {
	value float64   // 0 while unknown
	at    time.Time // when it was last confirmed
}

// believe replaces the value by a measured one, with hysteresis.
func (b *believedPace) believe(now time.Time, measured float64) {
	b.at = now
	measured = min(max(measured, minPace), maxPace)
	if b.value > 0 && measured < b.value*paceHysteresis && measured > b.value/paceHysteresis {
		return
	}
	b.value = measured
	if measured < paceHysteresis && measured > 1/paceHysteresis {
		b.value = estimate.UsualPace
	}
}

// current returns the value, 0 if it is unknown or older than the given age.
func (b *believedPace) current(now time.Time, maxAge time.Duration) float64 {
	if b.value == 0 || now.Sub(b.at) > maxAge {
		return 0
	}
	return b.value
}

// targetPace is what is known of the pace of one target.
type targetPace struct {
	quick, usual believedPace
	// usualTokenTime and usualSlowness are the target's own figures, in microseconds for a
	// token and relative to the usual work of its kind; 0 if unknown.
	usualTokenTime, usualSlowness float64
	tokenTimeAt, slownessAt       time.Time

	logged   float64 // the pace last listed by TakePaceChanges
	loggedAt time.Time
}

// paceScale holds the median figures of the targets of a service.
type paceScale struct {
	at                  time.Time
	tokenTime, slowness float64 // 0 if too few targets have figures
}

// PaceChange is a change of the usual pace that is believed of a target.
type PaceChange struct {
	Instance  string
	Was, Pace float64
}

// observeTokenTimes takes the token times of a load report into account.
func (t *Table) observeTokenTimes(now time.Time, v *View, r Report) {
	if r.UsualTokenTime <= 0 {
		return
	}
	v.speed.usualTokenTime, v.speed.tokenTimeAt = float64(r.UsualTokenTime.Microseconds()), now
	s := t.paceScale(now, v.Instance.Service)
	if s.tokenTime == 0 {
		return
	}
	v.speed.usual.believe(now, v.speed.usualTokenTime/s.tokenTime)
	if r.TokenTime > 0 {
		v.speed.quick.believe(now, float64(r.TokenTime.Microseconds())/s.tokenTime)
	}
	t.noteChange(now, v)
}

// ObserveSlowness takes into account how long work takes at a target at this moment, relative
// to usual work of its kind, as a response of the target states. It ignores values that are
// not positive and unknown targets.
func (t *Table) ObserveSlowness(now time.Time, id string, slowness float64) {
	v := t.views[id]
	if v == nil || slowness <= 0 || math.IsNaN(slowness) || math.IsInf(slowness, 0) {
		return
	}
	p := &v.speed
	if p.usualSlowness == 0 {
		p.usualSlowness = slowness
	}
	p.usualSlowness += slownessSmoothing * (min(slowness, maxPace) - p.usualSlowness)
	p.slownessAt = now
	s := t.paceScale(now, v.Instance.Service)
	if s.slowness == 0 {
		return
	}
	p.quick.believe(now, slowness/s.slowness)
	// Token times are averaged over all runs of the target, not only those of this process.
	if now.Sub(p.tokenTimeAt) > usualPaceAge {
		p.usual.believe(now, p.usualSlowness/s.slowness)
	}
	t.noteChange(now, v)
}

// paceScale returns the medians of a service. It computes them anew if they are older than
// paceScaleInterval.
func (t *Table) paceScale(now time.Time, service string) paceScale {
	s, ok := t.scales[service]
	if ok && now.Sub(s.at) < paceScaleInterval {
		return s
	}
	tokenTimes, slownesses := t.figures[:0], t.otherFigures[:0]
	for _, v := range t.order {
		if v.Instance.Service != service {
			continue
		}
		if p := &v.speed; p.usualTokenTime > 0 && now.Sub(p.tokenTimeAt) <= usualPaceAge {
			tokenTimes = append(tokenTimes, p.usualTokenTime)
		}
		if p := &v.speed; p.usualSlowness > 0 && now.Sub(p.slownessAt) <= usualPaceAge {
			slownesses = append(slownesses, p.usualSlowness)
		}
	}
	s = paceScale{at: now, tokenTime: median(tokenTimes), slowness: median(slownesses)}
	t.figures, t.otherFigures = tokenTimes, slownesses
	t.scales[service] = s
	return s
}

// median returns the median of figures, which it sorts, or 0 if there are fewer than
// minPaceTargets. Between two middle figures it takes the geometric mean, as paces are ratios.
func median(figures []float64) float64 {
	n := len(figures)
	if n < minPaceTargets {
		return 0
	}
	slices.Sort(figures)
	const halves = 2
	return math.Sqrt(figures[(n-1)/halves] * figures[n/halves])
}

// pace returns the pace of the target, see estimate.UsualPace: the momentary one while it is
// recent, else that of the machine, else the usual one. A target counts as faster than usual
// only while it shows that it lives, since a fast one draws more work than others.
func (v *View) pace(now time.Time) float64 {
	p := v.speed.quick.current(now, quickPaceAge)
	if p == 0 {
		p = v.usualPace(now)
	}
	if p < estimate.UsualPace && now.Sub(v.lastSign()) > fastPaceAge {
		return estimate.UsualPace
	}
	return p
}

// usualPace returns the pace of the target averaged over seconds.
func (v *View) usualPace(now time.Time) float64 {
	if p := v.speed.usual.current(now, usualPaceAge); p > 0 {
		return p
	}
	return estimate.UsualPace
}

// lastSign returns when the target last responded to its agent or to this process.
func (v *View) lastSign() time.Time {
	if v.speed.slownessAt.After(v.reportedAt) {
		return v.speed.slownessAt
	}
	return v.reportedAt
}

// paceAge returns the age of the figure behind pace, -1 if there is none.
func (v *View) paceAge(now time.Time) time.Duration {
	switch {
	case v.speed.quick.current(now, quickPaceAge) > 0:
		return now.Sub(v.speed.quick.at)
	case v.speed.usual.current(now, usualPaceAge) > 0:
		return now.Sub(v.speed.usual.at)
	}
	return -1
}

// UsualPace returns the pace of a target averaged over seconds, for work that takes as long.
func (t *Table) UsualPace(now time.Time, id string) float64 {
	if v := t.views[id]; v != nil {
		return v.usualPace(now)
	}
	return estimate.UsualPace
}

// noteChange lists a change of the usual pace of a target for TakePaceChanges.
func (t *Table) noteChange(now time.Time, v *View) {
	p, is := &v.speed, v.usualPace(now)
	if p.logged == 0 {
		p.logged = estimate.UsualPace
	}
	if is == p.logged || !p.loggedAt.IsZero() && now.Sub(p.loggedAt) < minPaceLogInterval {
		return
	}
	if len(t.paceChanges) < maxPaceChanges {
		t.paceChanges = append(t.paceChanges, PaceChange{Instance: v.Instance.ID, Was: p.logged, Pace: is})
	}
	p.logged, p.loggedAt = is, now
}

// TakePaceChanges returns the changes of usual paces since the previous call.
func (t *Table) TakePaceChanges() []PaceChange {
	out := t.paceChanges
	t.paceChanges = nil
	return out
}

// TargetStatus is the state of one target as this process believes it.
type TargetStatus struct {
	Instance     targets.Instance
	Pace         float64       // see estimate.UsualPace
	PaceAge      time.Duration // -1 if nothing is known of the pace
	Slots        int
	Load         int // estimated requests at the target, running and queued
	Batch        int // reported requests running for batch
	MemoryUsed   int // in tokens, 0 if unknown
	MemoryTotal  int
	Suspect      bool
	EjectedUntil time.Time     // zero or in the past if it is not ejected
	ReportAge    time.Duration // -1 if there was no report
}

// Snapshot returns the state of all targets, sorted by instance ID.
func (t *Table) Snapshot(now time.Time) []TargetStatus {
	out := make([]TargetStatus, 0, len(t.order))
	for _, v := range t.order {
		st := TargetStatus{
			Instance: v.Instance, Pace: v.pace(now), PaceAge: v.paceAge(now), Slots: v.slots(), Load: v.load(now), Batch: v.batch(now),
			MemoryUsed: v.report.MemoryUsed, MemoryTotal: v.report.MemoryTotal, Suspect: v.suspect(now), EjectedUntil: v.ejectedUntil, ReportAge: -1,
		}
		if !v.reportedAt.IsZero() {
			st.ReportAge = now.Sub(v.reportedAt)
		}
		out = append(out, st)
	}
	return out
}
