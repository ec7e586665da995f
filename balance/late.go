package balance

import (
	"time"

	"pumiceford/estimate"
)

// PickFree is like Pick, but chooses only a target that is reported to have a slot that an online
// request gets without waiting for another one, if necessary from batch work that yields. It
// returns false if there is none. It serves requests that wait for a slot at this process.
func (t *Table) PickFree(now time.Time, service string, draw float64) (Choice, bool) {
	var free, suspect []*View
	allSuspect := true
	for _, v := range t.candidates(now, Request{Service: service}, nil) {
		isSuspect := v.suspect(now)
		allSuspect = allSuspect && isSuspect
		switch {
		case !v.reported(now) || v.load(now)-v.batch(now) >= v.slots():
		case isSuspect:
			suspect = append(suspect, v)
		default:
			free = append(free, v)
		}
	}
	// A target that fails at once looks free. It is only used if there are no others.
	if allSuspect {
		free = suspect
	}
	return t.choose(now, Request{Service: service}, free, draw)
}

// PickEnded chooses the target at which a request of this process has just ended, whatever is
// reported of it. It returns false if the target may not get a request.
func (t *Table) PickEnded(now time.Time, service, id string) (Choice, bool) {
	v := t.views[id]
	if v == nil || !v.eligible(now, service, nil, false) || v.suspect(now) {
		return Choice{}, false
	}
	return t.choose(now, Request{Service: service}, []*View{v}, 0)
}

// FreedRate estimates the slots a second that online requests of this process leave at the
// targets of a service.
func (t *Table) FreedRate(service string) float64 {
	n := 0
	for _, v := range t.order {
		if v.Instance.Service == service {
			n += v.onlineInFlight
		}
	}
	if n == 0 {
		return 0
	}
	return float64(n) / t.estimates.HoldTime(service, estimate.Work{}, estimate.UsualPace).Seconds()
}
