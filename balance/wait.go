package balance

import "time"

// Limits and weights of waiting.
const (
	// waitingMost is how many online requests may wait at the chosen target before more
	// are turned away, as a part of its slots. A longer queue only holds answers that
	// come much too late.
	waitingMost = 0.5
	// holdGuess is how long a request holds its slot, until some have ended.
	holdGuess = 600 * time.Millisecond
	// holdLearn is the weight of one more request against what was known.
	holdLearn = 0.05
)

// NoteHold notes how long a request of a service held its slot.
func (t *Table) NoteHold(service string, took time.Duration) {
	known := t.hold(service)
	t.holds[service] = known + time.Duration(holdLearn*float64(took-known))
}

func (t *Table) hold(service string) time.Duration {
	if d, ok := t.holds[service]; ok {
		return d
	}
	return holdGuess
}

// wait estimates how long an online request waits at a target for a slot: the slots come
// free one after the other, and those that wait already go first. What batch work holds
// is had almost at once.
func (t *Table) wait(now time.Time, v *View) time.Duration {
	if v.load(now)-v.batch(now) < v.slots() {
		return 0
	}
	return time.Duration(v.Waiting(now)+1) * t.hold(v.Instance.Service) / time.Duration(v.slots())
}

// reserveBelow is how many free slots a target has at most when one is reserved before a
// request goes there: between two reports many entries see the same slots come free, and
// all but the first of their requests would wait.
const reserveBelow = 4

// WorthReserving reports whether the free slot of a choice may be gone when a request
// comes there. Where its load is not reported it may always.
func (c Choice) WorthReserving() bool {
	free := c.Instance.Slots - c.Load
	return free > 0 && (free <= reserveBelow || !c.Reported())
}

// Useful reports whether waiting at the chosen target is worth while at all.
func (c Choice) Useful() bool {
	return float64(c.Waiting) < max(1, waitingMost*float64(c.Instance.Slots))
}

// Within reports whether a slot is estimated to come free in a time.
func (c Choice) Within(d time.Duration) bool {
	return c.Useful() && c.Wait <= d
}
