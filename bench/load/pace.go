package load

import (
	"slices"
	"time"

	"pumiceford/balance"
	"pumiceford/seats"
)

// Times of the measurement of paces.
const (
	// timePerToken is the time for a token of each run at the usual pace.
	timePerToken = 20 * time.Millisecond
	// reportLag is the number of polls by which a target's report is behind.
	reportLag = 4
	// slowdownSpread is the time within which the targets of a Slowdown that begins once
	// become slow.
	slowdownSpread = time.Second
)

// observation is the runs of a target at a time.
type observation struct {
	at   time.Time
	runs []seats.Run
}

// pace returns the pace of a target without neighbours.
func (s Scenario) pace(i int) float64 {
	const third = 3
	switch {
	case len(s.Paces) > 0:
		return s.Paces[i%len(s.Paces)]
	case s.MixedSpeeds && i%third == 0:
		return mixedPace
	}
	return 1
}

func (s Scenario) firstEvent() time.Duration {
	if s.FirstEvent > 0 {
		return s.FirstEvent
	}
	return firstEventDelay
}

// planFaults schedules the changes of the targets' speeds and the loss of targets.
func (s *simulation) planFaults() {
	n := s.scenario.Neighbours
	switch {
	case n.Share == 0:
	case n.Interval > 0:
		for _, t := range s.targets {
			s.after(time.Duration(s.paceRand.Float64()*float64(n.Interval)), func() { s.changeNeighbours(t) })
		}
	default:
		for _, t := range s.targets {
			if s.paceRand.Float64() < n.Share {
				at := n.From + time.Duration(s.paceRand.Float64()*float64(slowdownSpread))
				s.after(at, func() { s.slowDown(t, n.Factor) })
			}
		}
	}
	if s.scenario.CutOffAt > 0 {
		const oneIn = 9
		for i, t := range s.targets {
			if i%oneIn == 0 {
				s.after(s.scenario.CutOffAt, func() { t.cutOff = true })
			}
		}
	}
}

// changeNeighbours slows a target down or lets it recover, by chance, and repeats.
func (s *simulation) changeNeighbours(t *target) {
	n := s.scenario.Neighbours
	factor := 1.0
	if s.paceRand.Float64() < n.Share {
		factor = n.Factor
	}
	s.slowDown(t, factor)
	s.after(n.Interval, func() { s.changeNeighbours(t) })
}

// slowDown sets the slowdown of a target. Its running work continues at the new speed.
func (s *simulation) slowDown(t *target, factor float64) {
	if t.slowdown == factor {
		return
	}
	for _, w := range t.running {
		t.advance(s.now, w)
	}
	t.slowdown = factor
	for _, w := range t.running {
		s.scheduleRun(w)
	}
}

// advance brings the remaining time of running work up to date.
func (t *target) advance(now time.Time, w *work) {
	w.left = max(w.left-t.unslowed(now.Sub(w.since)), 0)
	w.since = now
}

// stopped records that work no longer runs.
func (t *target) stopped(w *work) {
	t.active--
	t.running = slices.DeleteFunc(t.running, func(other *work) bool { return other == w })
}

// measure adds to a report the token times that an agent measures.
func (s *simulation) measure(t *target, rep *balance.Report) {
	if s.policy.IgnorePace {
		return
	}
	o := observation{at: s.now}
	for _, w := range t.running {
		whole := s.scenario.HoldTime
		if w.batch {
			whole = w.remaining
		}
		o.runs = append(o.runs, seats.Run{ID: w.id, Tokens: int((whole - w.left + t.unslowed(s.now.Sub(w.since))) / timePerToken)})
	}
	t.observed = append(t.observed, o)
	if len(t.observed) <= reportLag {
		return
	}
	o, t.observed = t.observed[0], t.observed[1:]
	t.measured.Observe(o.at, o.runs)
	rep.TokenTime, rep.UsualTokenTime = t.measured.TokenTimes()
}
