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

// Limits of reserving.
const (
	// reserveTries bounds the targets asked for a slot before the request goes where it
	// has to wait.
	reserveTries = 6
	// reserveTimeout is many times what a target takes.
	reserveTimeout = 60 * time.Millisecond
	// reserveKeep is how long a reserved slot waits for its request.
	reserveKeep = 300 * time.Millisecond
)

// pickReserved chooses a target that is nearly full, or whose load is not reported, and
// reserves a slot there. It reports false when that is of no use or did not succeed.
func (s *serving) pickReserved() (balance.Choice, bool) {
	s.req.Reserved = ""
	if !s.reservable() {
		return balance.Choice{}, false
	}
	avoid := maps.Clone(s.tried)
	for range reserveTries {
		var c balance.Choice
		var ok bool
		s.g.view.Table(func(t *balance.Table) { c, ok = t.Pick(time.Now(), s.service, avoid, rand.Float64()) })
		if !ok || !c.WorthReserving() {
			return c, false
		}
		s.g.view.Table(func(t *balance.Table) { t.Began(time.Now(), c.Instance.ID) })
		ctx, cancel := context.WithTimeout(s.ctx, reserveTimeout)
		name, err := s.g.reserve.Reserve(ctx, c.Instance, s.req.Tokens, reserveKeep)
		cancel()
		if err == nil {
			s.req.Reserved = name
			s.g.metrics.Count("slot_reserved")
			return c, true
		}
		s.g.metrics.Count("slot_not_reserved")
		s.g.view.Table(func(t *balance.Table) {
			t.Ended(time.Now(), c.Instance.ID, true)
			if errors.Is(err, exchange.ErrFull) {
				t.Full(c.Instance.ID)
			} else {
				t.Judge(time.Now(), c.Instance.ID, balance.Late)
			}
		})
		avoid[c.Instance.ID] = true
	}
	// Those that were asked are full, and so are most of the others.
	return s.take(func(t *balance.Table) (balance.Choice, bool) {
		return t.PickReported(time.Now(), s.service, avoid, rand.Float64())
	})
}

// reservable reports whether a slot can be reserved for the request at all.
func (s *serving) reservable() bool {
	cat := s.g.view.Catalog()
	return cat != nil && s.req.Tokens > 0 && cat.Services[s.service].ReserveFor >= reserveKeep
}
