package gateway

import (
	"context"
	"maps"
	"math/rand/v2"
	"time"

	"github.com/cockroachdb/errors"

	"pumiceford/balance"
	"pumiceford/exchange"
)

// Limits of slot reservation.
const (
	// maxReserveAttempts bounds the number of targets at which a reservation is tried before
	// the request is sent to a target where it has to wait.
	maxReserveAttempts = 6
	// reserveTimeout is many times what a target takes to respond to a reservation.
	reserveTimeout = 60 * time.Millisecond
	// reservationTTL is how long a target keeps a reserved slot for its request.
	reservationTTL = 300 * time.Millisecond
)

// pickAndReserve chooses a target that is nearly full, or whose load is not reported, and
// reserves a slot there. When no target that it tries reserves one, it chooses a target
// without a reservation. It reports false when a reservation is not possible or not needed,
// and when no target was chosen.
func (s *requestState) pickAndReserve() (balance.Choice, bool) {
	s.req.ReservedSlot = ""
	if !s.canReserve() {
		return balance.Choice{}, false
	}
	avoid := maps.Clone(s.tried)
	for range maxReserveAttempts {
		var c balance.Choice
		var ok bool
		s.g.view.WithTable(func(t *balance.Table) { c, ok = t.PickFor(time.Now(), s.needs(), avoid, rand.Float64()) })
		if !ok || !c.ShouldReserve() {
			return c, false
		}
		s.g.view.WithTable(func(t *balance.Table) { t.OnlineStarted(time.Now(), c.Instance.ID) })
		if s.tryReserve(c) {
			return c, true
		}
		avoid[c.Instance.ID] = true
	}
	// The targets tried so far are full or unresponsive, and most of the others are probably
	// full too.
	return s.selectTarget(func(t *balance.Table) (balance.Choice, bool) {
		return t.PickReportedFor(time.Now(), s.needs(), avoid, rand.Float64())
	})
}

// tryReserve reserves a slot at a target at which the request is already counted. If it fails,
// the request is no longer counted there.
func (s *requestState) tryReserve(c balance.Choice) bool {
	ctx, cancel := context.WithTimeout(s.ctx, reserveTimeout)
	defer cancel()
	name, err := s.g.reserver.Reserve(ctx, c.Instance, s.req.Work.Tokens(), reservationTTL)
	if err == nil {
		s.req.ReservedSlot = name
		s.g.metrics.Count("slot_reserved")
		return true
	}
	s.g.metrics.Count("slot_not_reserved")
	s.g.view.WithTable(func(t *balance.Table) {
		t.OnlineEnded(time.Now(), c.Instance.ID, true)
		if errors.Is(err, exchange.ErrFull) {
			t.ReserveFailed(c.Instance.ID)
		} else {
			t.RecordOutcome(time.Now(), c.Instance.ID, balance.Slow)
		}
	})
	return false
}

// canReserve reports whether a slot can be reserved for the request: its token count must be
// known, and its service must support reservations of reservationTTL.
func (s *requestState) canReserve() bool {
	cat := s.g.view.Catalog()
	return cat != nil && s.req.Work.Tokens() > 0 && cat.Services[s.service].ReservationTTL >= reservationTTL
}
