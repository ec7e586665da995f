package runner

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"pumiceford/balance"
	"pumiceford/estimate"
	"pumiceford/logging"
	"pumiceford/schedule"
	"pumiceford/targets"
)

// Limits of moves.
const (
	// maxMoves is how often an item may be taken to another target.
	maxMoves = 2
	// minMoveRunTime is how long an item has run before its speed counts.
	minMoveRunTime = time.Second
)

// errMoved is the cancellation cause of a run whose item continues at a faster target.
var errMoved = errors.New("item moved to a faster target")

// moveLateItems takes items that will be late where they run to faster targets with a free
// seat. It is called after waiting items have had their choice of the free seats.
func (r *Runner) moveLateItems(ctx context.Context) {
	for _, m := range r.lateRuns(time.Now()) {
		if ctx.Err() != nil {
			return
		}
		r.move(ctx, m)
	}
}

// lateRun is a run of an item that will be late at its present speed.
type lateRun struct {
	st    *itemState
	run   runState
	done  uint64
	speed schedule.Speed
}

// lateRuns returns the runs of items that may move.
func (r *Runner) lateRuns(now time.Time) []lateRun {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.leaving {
		return nil
	}
	var out []lateRun
	for _, st := range r.items {
		run := st.current
		if run == nil || run.next != nil || st.moves >= maxMoves || now.Sub(run.began) < minMoveRunTime || st.lastEvent <= run.from {
			continue
		}
		work := r.work(run.candidate.open, st)
		usual := r.estimates.Remaining(work, estimate.UsualPace, st.lastEvent)
		speed := schedule.Speed{Took: now.Sub(run.began), Did: r.estimates.Remaining(work, estimate.UsualPace, run.from) - usual, Left: usual}
		if speed.Late(now, run.candidate.Due) {
			out = append(out, lateRun{st: st, run: *run, done: st.lastEvent, speed: speed})
		}
	}
	return out
}

// move gets a seat for an item at a faster target and cancels its run. The run's end starts the
// item there.
func (r *Runner) move(ctx context.Context, m lateRun) {
	now, c := time.Now(), m.run.candidate
	if !r.isRoutedTo(c, m.run.service) {
		return // the run ends where it began; the service has no other target for it any more
	}
	in, ok := r.moveTarget(now, m)
	if !ok || !r.jobStateUsable(ctx, c) {
		return
	}
	acquireCtx, cancel := context.WithTimeout(ctx, seatTimeout)
	defer cancel()
	seat, err := r.cfg.Seats.Acquire(acquireCtx, in, r.seatRequest(now, c))
	if err != nil || seat == nil {
		r.recordSeatReply(m.run.service, in, false)
		return
	}
	moved := false
	if r.recordSeatReply(m.run.service, in, true) {
		r.mu.Lock()
		if run := m.st.current; run != nil && run.began.Equal(m.run.began) && run.next == nil && !r.leaving {
			run.next = &grant{in: in, seat: seat}
			m.st.moves++
			m.st.cancel(errMoved)
			moved = true
		}
		r.mu.Unlock()
	}
	if !moved {
		r.cfg.Metrics.Count("seat_not_used")
		seat.Close()
		return
	}
	r.cfg.Metrics.Count("item_moved")
	r.cfg.Log.Info("item moved", logging.F("job", c.open.Job), logging.F("index", c.open.Index), logging.F("from", m.run.in.ID),
		logging.F("from_version", m.run.in.Version), logging.F("to", in.ID), logging.F("to_version", in.Version), logging.F("event", m.done), logging.F("due_in_ms", c.Due.Sub(now).Milliseconds()),
		logging.F("here_ms", m.speed.Here().Milliseconds()))
}

// moveTarget returns the fastest target with a free seat at which the item gains enough.
func (r *Runner) moveTarget(now time.Time, m lateRun) (targets.Instance, bool) {
	var free []balance.BatchTarget
	req := r.seatRequest(now, m.run.candidate)
	r.cfg.View.WithTable(func(t *balance.Table) { free, _ = seatCandidates(t, now, m.run.service, req) })
	var best balance.BatchTarget
	for _, t := range excludeFailed(free, r.targetsToAvoid(m.st)) {
		// At other software the item would start anew.
		if !t.Suspect && t.Instance.ID != m.run.in.ID && t.Instance.Software() == m.run.in.Software() && (best.Pace == 0 || t.Pace < best.Pace) {
			best = t
		}
	}
	if best.Pace == 0 {
		return targets.Instance{}, false
	}
	there := r.remainingAt(m.run.candidate, best.Pace)
	return best.Instance, m.speed.Moves(now, m.run.candidate.Due, there)
}
