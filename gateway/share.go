package gateway

import (
	"time"

	"pumiceford/balance"
	"pumiceford/fairshare"
)

// slotUse accounts one send of a request: that it waits in the queue of its target, and then
// that it holds a slot.
type slotUse struct {
	ledger  *fairshare.Ledger
	holder  fairshare.Holder
	waiting bool
}

// beginSlotUse accounts a send to the chosen target.
func (s *requestState) beginSlotUse(c balance.Choice) *slotUse {
	u := &slotUse{ledger: s.g.shares, holder: s.req.Holder, waiting: c.Wait > 0}
	if u.waiting {
		u.ledger.Wait(time.Now(), u.holder)
	} else {
		u.ledger.Begin(time.Now(), u.holder)
	}
	return u
}

// responded accounts that the target has begun its response.
func (u *slotUse) responded() {
	if !u.waiting {
		return
	}
	now := time.Now()
	u.ledger.EndWait(now, u.holder)
	u.ledger.Begin(now, u.holder)
	u.waiting = false
}

// end accounts the end of the send.
func (u *slotUse) end() {
	if u.waiting {
		u.ledger.EndWait(time.Now(), u.holder)
		return
	}
	u.ledger.End(time.Now(), u.holder)
}

// recordOverload accounts that the request is refused for lack of a slot.
func (s *requestState) recordOverload() {
	hold := s.g.view.Estimates().HoldTime(s.service, s.req.Work, s.choice.Pace)
	s.g.shares.Refused(time.Now(), s.req.Holder, hold)
}
