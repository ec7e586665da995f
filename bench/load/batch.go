package load

import (
	"slices"
	"time"

	"pumiceford/balance"
	"pumiceford/fairshare"
	"pumiceford/schedule"
	"pumiceford/seats"
)

// usage is the number of items of one source that hold or wait for seats.
type usage struct {
	held, waiting int
}

// waitingItem is an item with a reservation at a target.
type waitingItem struct {
	item        *work
	reservation int
}

// maxMoves is how often an item moves to a faster target.
const maxMoves = 2

// minMoveRunTime is how long an item runs before its speed counts.
const minMoveRunTime = time.Second

// yield ends an item's run and gives its seat back. The item keeps its progress.
func (s *simulation) yield(w *work, seat uint64) {
	if w.seat != seat {
		return // the run has ended already
	}
	s.out.SeatsYielded++
	s.stop(w)
	w.waitingSince = s.now
	w.entry.batch = append(w.entry.batch, w)
	s.usage[w.source].waiting++
}

// stop ends an item's run and gives its seat back.
func (s *simulation) stop(w *work) {
	if w.running {
		w.target.advance(s.now, w)
		w.remaining = max(w.left, time.Millisecond)
	}
	s.leaveSeat(w)
	s.withdraw(w)
}

// leaveSeat gives an item's seat back, if it has one.
func (s *simulation) leaveSeat(w *work) {
	if w.seat == 0 {
		return
	}
	w.target.releaseSeat(w)
	s.usage[w.source].held--
	w.entry.inSeats = slices.DeleteFunc(w.entry.inSeats, func(other *work) bool { return other == w })
	s.grantReserved(w.target)
}

// takeSeat starts an item that no longer waits in a granted seat.
func (s *simulation) takeSeat(w *work, t *target, seat uint64) {
	s.endReservations(w)
	w.target, w.seat = t, seat
	t.workBySeat[seat] = w
	s.usage[w.source].held++
	w.entry.inSeats = append(w.entry.inSeats, w)
	w.entry.table.BatchStarted(s.now, t.id)
	s.submit(w)
}

// itemStanding returns the standing of a source: what it holds beyond an equal share of all seats
// in use among the sources that hold or wait for seats.
func (s *simulation) itemStanding(source int) fairshare.Standing {
	if !s.policy.Standings || len(s.scenario.Sources) == 0 {
		return fairshare.Standing{}
	}
	held, active := 0, 0
	for _, u := range s.usage {
		held += u.held
		if u.held+u.waiting > 0 {
			active++
		}
	}
	st := fairshare.Standing{Rank: s.scenario.Sources[source].Rank}
	if held > 0 {
		st.Excess = max(float64(s.usage[source].held*active)/float64(held)-1, 0)
	}
	return st
}

// pace returns the pace of a target as an entry knows it.
func (s *simulation) pace(e *entry, t *target) float64 {
	return e.table.UsualPace(s.now, t.id)
}

func atPace(d time.Duration, pace float64) time.Duration {
	return time.Duration(float64(d) * pace)
}

// claim returns an item's claim to a seat.
func (s *simulation) claim(w *work) schedule.Claim {
	return schedule.Claim{
		Standing: s.itemStanding(w.source),
		Item:     schedule.Item{Due: w.due, Remaining: w.remaining, Started: w.remaining < s.scenario.RunTime},
	}
}

// seatRequest returns the request for an item's seat at a target.
func (s *simulation) seatRequest(w *work, t *target) seats.Request {
	c := s.claim(w)
	c.Remaining = atPace(c.Remaining, s.pace(w.entry, t))
	return seats.Request{
		Due: c.YieldDue(s.now), Rank: c.Rank, Excess: c.Excess, Remaining: c.Remaining, Started: c.Started,
		Late: !c.Feasible(s.now), Waited: s.now.Sub(w.waitingSince),
	}
}

// dispatch starts the items that wait at an entry at regular intervals.
func (s *simulation) dispatch(e *entry) {
	s.after(dispatchInterval, func() { s.dispatch(e) })
	s.dispatchOnce(e)
}

// dispatchOnce starts the items that wait at an entry as far as agents grant seats.
func (s *simulation) dispatchOnce(e *entry) {
	e.dispatched = s.now
	claims := make(map[*work]schedule.Claim, len(e.batch))
	for _, w := range e.batch {
		claims[w] = s.claim(w)
	}
	slices.SortStableFunc(e.batch, func(a, b *work) int { return schedule.CompareClaims(s.now, claims[a], claims[b]) })
	full := false
	for _, w := range slices.Clone(e.batch) {
		if !full {
			started, tooSlow := s.acquireSeat(e, w)
			if started {
				continue
			}
			full = !tooSlow
		}
		if full && e.reserving >= s.policy.ReservedItems {
			break
		}
		s.reserveSeats(e, w)
	}
	if s.policy.MoveLate {
		s.moveLateItems(e)
	}
}

// started removes an item from those that wait.
func (s *simulation) started(w *work) {
	w.entry.batch = slices.DeleteFunc(w.entry.batch, func(other *work) bool { return other == w })
	s.usage[w.source].waiting--
}

// takesSeat reports whether an item waits for a seat at a target.
func (s *simulation) takesSeat(w *work, t *target) bool {
	best := w.entry.table.BestPace(s.now, "s")
	return s.claim(w).Accepts(s.now, atPace(w.remaining, s.pace(w.entry, t)), atPace(w.remaining, best))
}

// freeSeats returns the targets that may have a free seat for an item, and whether it leaves out
// one that is too slow.
func (s *simulation) freeSeats(w *work) (free []balance.BatchTarget, tooSlow bool) {
	due := s.claim(w).YieldDue(s.now)
	return w.entry.table.BatchTargetsFor(s.now, "s", balance.Item{Remaining: w.remaining, Due: due, Urgent: seats.Urgent(s.now, due)})
}

// acquireSeat requests a seat for an item from the agents, most suitable target first,
// and starts the item at the first that grants one. It reports whether the item started, and
// whether it left out a target that is too slow.
func (s *simulation) acquireSeat(e *entry, w *work) (started, tooSlow bool) {
	free, tooSlow := s.freeSeats(w)
	for _, c := range free {
		t := s.byID[c.Instance.ID]
		seat, granted := t.arbiter.Acquire(s.now, s.seatRequest(w, t))
		e.table.RecordSeatReply(t.id, granted)
		if granted {
			s.started(w)
			s.takeSeat(w, t, seat)
			return true, tooSlow
		}
		s.grantReserved(t)
	}
	return false, tooSlow
}

// reserveSeats leaves reservations for an item at a few agents.
func (s *simulation) reserveSeats(e *entry, w *work) {
	if e.reserving >= s.policy.ReservedItems || w.reserving || s.now.Before(w.reserveNotBefore) {
		return
	}
	w.reserving, w.reserveNotBefore = true, s.now.Add(minReservationGap)
	e.reserving++
	mine, left := w.reservation, s.policy.ReservedTargets
	for _, c := range e.table.ReservationTargets(s.now, "s", s.choiceRand.Uint64()) {
		t := s.byID[c.Instance.ID]
		if left == 0 || !s.takesSeat(w, t) {
			continue
		}
		left--
		s.out.SeatReservations++
		s.after(networkDelay, func() {
			if w.reservation != mine {
				return
			}
			if id, ok := t.arbiter.Reserve(s.now, s.seatRequest(w, t)); ok {
				t.reservations[id] = waitingItem{item: w, reservation: mine}
				s.grantReserved(t)
			}
		})
	}
	s.after(reservationTime, func() {
		if w.reservation == mine {
			s.endReservations(w)
		}
	})
}

// endReservations cancels an item's reservations.
func (s *simulation) endReservations(w *work) {
	if !w.reserving {
		return
	}
	mine := w.reservation
	w.reserving = false
	w.reservation++
	w.entry.reserving--
	s.after(networkDelay, func() {
		for _, t := range s.targets {
			for id, r := range t.reservations {
				if r.item == w && r.reservation <= mine {
					t.arbiter.Cancel(id)
					delete(t.reservations, id)
				}
			}
		}
	})
}

// grantReserved grants a target's free seats to reservations. A grant that its item no longer
// needs is given back.
func (s *simulation) grantReserved(t *target) {
	for id, ok := t.arbiter.GrantNext(s.now); ok; id, ok = t.arbiter.GrantNext(s.now) {
		r := t.reservations[id]
		delete(t.reservations, id)
		t.workBySeat[id] = r.item
		s.after(networkDelay, func() {
			if r.item.reservation == r.reservation {
				s.started(r.item)
				s.takeSeat(r.item, t, id)
				s.after(minDispatchGap, func() { s.dispatchOnce(r.item.entry) }) // the next item may reserve
				return
			}
			s.after(networkDelay, func() {
				t.arbiter.Release(id)
				delete(t.workBySeat, id)
				s.grantReserved(t)
			})
		})
	}
}

// moveLateItems takes items that will be late to faster targets with a free seat.
func (s *simulation) moveLateItems(e *entry) {
	for _, w := range slices.Clone(e.inSeats) {
		took := s.now.Sub(w.started)
		if !w.running || w.moves >= maxMoves || took < minMoveRunTime {
			continue
		}
		w.target.advance(s.now, w)
		speed := schedule.Speed{Took: took, Did: w.remaining - w.left, Left: max(w.left, time.Millisecond)}
		if speed.Late(s.now, w.due) {
			s.move(e, w, speed)
		}
	}
}

func (s *simulation) move(e *entry, w *work, speed schedule.Speed) {
	var best *target
	free, _ := s.freeSeats(w)
	for _, c := range free {
		if t := s.byID[c.Instance.ID]; t != w.target && (best == nil || s.pace(w.entry, t) < s.pace(w.entry, best)) {
			best = t
		}
	}
	if best == nil || !speed.Moves(s.now, w.due, atPace(speed.Left, s.pace(w.entry, best))) {
		return
	}
	seat, granted := best.arbiter.Acquire(s.now, s.seatRequest(w, best))
	e.table.RecordSeatReply(best.id, granted)
	if !granted {
		return
	}
	s.out.ItemsMoved++
	w.moves++
	s.stop(w)
	s.takeSeat(w, best, seat)
}
