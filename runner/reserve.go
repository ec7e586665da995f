package runner

import (
	"context"
	"time"

	"github.com/cespare/xxhash/v2"

	"pumiceford/balance"
	"pumiceford/estimate"
)

// Limits of the reservations of one process. They bound its messages to
// maxReserving * reservedTargets / reservationTime a second.
const (
	// maxReserving is the number of items that wait for reserved seats at a time.
	maxReserving = 4
	// reservedTargets is the number of agents at which one item waits.
	reservedTargets = 3
	// reservationTime is how long one reservation waits. It is then renewed with new
	// estimates, for an item that may by then be another one.
	reservationTime = time.Second
	// minReservationGap is the shortest time between two reservations of an item, for
	// agents that refuse at once.
	minReservationGap = 250 * time.Millisecond
)

// stopWaiting cancels an item's reservations. The caller holds Runner.mu.
func (st *itemState) stopWaiting() {
	if st.cancelReservations != nil {
		st.cancelReservations()
	}
}

// mayReserve reports whether reservations may be left for an item now.
func (r *Runner) mayReserve(now time.Time, st *itemState) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return !r.leaving && r.reserving < maxReserving && st.cancelReservations == nil && !now.Before(st.reserveNotBefore)
}

// reserve leaves reservations for an item at a few agents. The item starts in the first seat
// that is granted. Meanwhile it may still start in any other free seat.
func (r *Runner) reserve(ctx context.Context, c candidate, st *itemState, service string, avoid []string) {
	now := time.Now()
	if !r.mayReserve(now, st) {
		return
	}
	at := r.reservationTargets(now, c, service, avoid)
	if len(at) == 0 {
		return
	}
	req := r.seatRequest(now, c)
	waitCtx, cancel := context.WithTimeout(ctx, reservationTime)
	r.mu.Lock()
	st.cancelReservations, st.reserveNotBefore = cancel, now.Add(minReservationGap)
	r.reserving++
	r.mu.Unlock()
	r.cfg.Metrics.Count("item_reserved")
	answers := make(chan grant, len(at))
	for _, t := range at {
		go func() {
			seat, err := r.cfg.Seats.Reserve(waitCtx, t.Instance, r.at(c, req, t.Pace), reservationTime)
			if err != nil {
				seat = nil // the item waits elsewhere too, and the session logs lost peers
			}
			answers <- grant{in: t.Instance, seat: seat}
		}()
	}
	go func() {
		defer cancel()
		g, left := firstGrant(answers, len(at))
		cancel()
		r.mu.Lock()
		st.cancelReservations = nil
		r.reserving--
		r.mu.Unlock()
		if g.seat != nil {
			r.useReserved(ctx, c, st, service, g)
		}
		for range left {
			if late := <-answers; late.seat != nil {
				r.cfg.Metrics.Count("seat_not_used")
				late.seat.Close()
			}
		}
	}()
}

// firstGrant returns the first granted seat of n answers, if there is one, and the number of
// answers that have not arrived.
func firstGrant(answers <-chan grant, n int) (grant, int) {
	for ; n > 0; n-- {
		if g := <-answers; g.seat != nil {
			return g, n - 1
		}
	}
	return grant{}, 0
}

// useReserved starts an item in a seat that was granted to its reservation. What was checked
// before the wait is checked again.
func (r *Runner) useReserved(ctx context.Context, c candidate, st *itemState, service string, g grant) {
	if r.cfg.Quarantine.Held(st.content()) != nil || !r.jobStateUsable(ctx, c) || !r.recordSeatReply(service, g.in, true) {
		r.cfg.Metrics.Count("seat_not_used")
		g.seat.Close()
		return
	}
	if r.launch(ctx, c, st, service, g) {
		r.cfg.Metrics.Count("item_started_reserved")
	}
	signal(r.wake) // the next item may reserve
}

// reservationTargets returns the targets at which an item waits for a seat.
func (r *Runner) reservationTargets(now time.Time, c candidate, service string, avoid []string) []balance.BatchTarget {
	var all []balance.BatchTarget
	failedAtAll, best := false, estimate.UsualPace
	draw := xxhash.Sum64String(c.open.Item.GetId()) + uint64(now.UnixNano()) // another choice each time
	r.cfg.View.WithTable(func(t *balance.Table) {
		all = t.ReservationTargets(now, service, draw)
		failedAtAll = t.CountInService(service) <= len(avoid)
		best = t.BestPace(now, service)
	})
	if !failedAtAll {
		all = excludeFailed(all, avoid)
	}
	var out []balance.BatchTarget
	for _, t := range r.suitable(now, c, all) {
		if len(out) < reservedTargets && r.accepts(c, t.Pace, best) {
			out = append(out, t)
		}
	}
	return out
}
