package load

import (
	"maps"
	"time"

	"pumiceford/balance"
)

// reserveTries is how many targets an entry asks for a slot.
const reserveTries = 6

// send places an online request, or any work of the naive policy.
func (r *replay) send(w *work) {
	if r.policy.Reserve {
		r.reserve(w, nil)
		return
	}
	id, ok := r.choose(w)
	r.sendTo(w, id, ok)
}

func (r *replay) sendTo(w *work, id string, ok bool) {
	if !ok {
		r.refuse(w)
		return
	}
	w.at = r.byID[id]
	w.entry.table.Began(r.now, id)
	if w.at.active >= r.shape.Slots {
		r.out.Waited++
	}
	r.submit(w)
	if !r.policy.Forward {
		visit := w.visit
		r.after(firstLook, func() { r.look(w, visit) })
	}
}

// refuse turns a request away. Its caller comes back once.
func (r *replay) refuse(w *work) {
	r.out.Refused++
	if w.back || r.policy.BackMost == 0 {
		r.out.Lost++
		return
	}
	w.back = true
	spread := r.policy.BackMost - r.policy.BackLeast
	r.after(r.policy.BackLeast+time.Duration(r.choices.Float64()*float64(spread)), func() {
		w.arrived = r.now
		r.send(w)
	})
}

// fits reports whether a request is taken in with the wait that a choice means.
func (r *replay) fits(w *work, c balance.Choice) bool {
	if w.back || r.policy.WaitMost == 0 {
		return c.Useful()
	}
	return c.Within(r.policy.WaitMost)
}

// reserve looks for a slot for a request, target after target, as an entry does.
func (r *replay) reserve(w *work, asked map[string]bool) {
	table := w.entry.table
	if len(asked) == reserveTries {
		c, ok := table.PickReported(r.now, "s", asked, r.choices.Float64())
		r.sendTo(w, c.Instance.ID, ok && r.fits(w, c))
		return
	}
	c, ok := table.Pick(r.now, "s", asked, r.choices.Float64())
	if !ok || !c.WorthReserving() {
		r.sendTo(w, c.Instance.ID, ok && r.fits(w, c))
		return
	}
	table.Began(r.now, c.Instance.ID)
	t := r.byID[c.Instance.ID]
	granted := t.active+t.held < r.shape.Slots && len(t.queue) == 0
	if granted {
		t.held++
	}
	r.after(reserving, func() {
		table.Ended(r.now, t.id, true)
		if granted {
			w.reserved = true
			r.sendTo(w, t.id, true)
			return
		}
		table.Full(t.id)
		next := map[string]bool{t.id: true}
		maps.Copy(next, asked)
		r.reserve(w, next)
	})
}

func (r *replay) choose(w *work) (string, bool) {
	if r.policy.Forward {
		return r.fewest(w.entry), true
	}
	c, _ := w.entry.table.Pick(r.now, "s", nil, r.choices.Float64())
	return c.Instance.ID, r.fits(w, c)
}

// fewest returns the target with the fewest requests of an entry.
func (r *replay) fewest(e *entry) string {
	first := r.choices.IntN(len(r.targets))
	best := r.targets[first].id
	for i := range r.targets {
		if id := r.targets[(first+i)%len(r.targets)].id; e.own[id] < e.own[best] {
			best = id
		}
	}
	return best
}

// look moves a request that still waits, as the choice says.
func (r *replay) look(w *work, visit int) {
	if w.visit != visit || w.began {
		return
	}
	draw := r.choices.Float64()
	if r.policy.MoveAll {
		draw = 0
	}
	if w.entry.table.MayMove(r.now, "s", w.at.id, draw) {
		r.out.Moves++
		r.leave(w)
		r.send(w)
		return
	}
	r.after(nextLook, func() { r.look(w, visit) })
}
