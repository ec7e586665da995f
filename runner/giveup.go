package runner

import (
	"time"

	"pumiceford/catalog"
	"pumiceford/jobs"
	"pumiceford/logging"
)

// verdict is what a scan does with an open item that could start.
type verdict int

const (
	mayStart verdict = iota
	// mustWait holds an item that may have failed too often until the store confirms the
	// configuration that says so.
	mustWait
	giveUp
)

// Reasons why an item is given up.
const (
	whyImpossible = "a target reported that it cannot be processed"
	whyLate       = "its deadline has passed"
	whyRouteless  = "its route was removed"
	whyFailed     = "failed too often"
)

// itemFacts is what decides whether an item is given up.
type itemFacts struct {
	failed     int // attempts for which targets responded with a failure
	impossible bool
	abandonAt  time.Time      // from which on the item may be given up
	route      *catalog.Route // in the configuration in force; nil if it has none, or none is known
	// confirmed reports whether the store has confirmed the configuration since this process
	// started. A copy or a peer may have an old one.
	confirmed bool
	// routelessFor is how long the confirmed configuration has had no route for the item; not
	// positive if it has one or was not confirmed since.
	routelessFor time.Duration
}

// judge decides whether an item may start. A listed result is final, so a configuration that is
// not known or not confirmed gives up no item.
func judge(now time.Time, f itemFacts) (v verdict, why string) {
	failedTooOften := f.route != nil && f.failed >= max(f.route.Attempts, 1)
	switch {
	case f.impossible:
		return giveUp, whyImpossible
	case now.After(f.abandonAt.Add(clockSkewMargin)):
		return giveUp, whyLate
	case f.routelessFor >= routelessTimeout:
		return giveUp, whyRouteless
	case failedTooOften && f.confirmed:
		return giveUp, whyFailed
	case failedTooOften:
		return mustWait, ""
	}
	return mayStart, ""
}

// startable reports whether an item may start. It lists the item as given up if that is decided.
func (r *Runner) startable(c candidate, st *itemState) bool {
	now := time.Now()
	f := r.facts(now, c, st)
	v, why := judge(now, f)
	if v == giveUp {
		attempts := -1
		if f.route != nil {
			attempts = f.route.Attempts
		}
		r.cfg.Log.Warn("item given up", logging.F("job", c.open.Job), logging.F("item", c.open.Item.GetId()), logging.F("why", why),
			logging.F("failed", f.failed), logging.F("attempts", attempts), logging.F("catalog", r.cfg.View.CatalogVersion()), logging.F("confirmed", f.confirmed))
		r.cfg.Metrics.Count("item_given_up")
		r.finish(st, c, jobs.Outcome{Job: c.open.Job, Item: c.open.Index, Dead: true})
	}
	return v == mayStart
}

// facts returns what decides whether an item is given up.
func (r *Runner) facts(now time.Time, c candidate, st *itemState) itemFacts {
	cat, asOf := r.cfg.View.Catalog(), r.cfg.CatalogAsOf()
	f := itemFacts{abandonAt: time.UnixMilli(c.open.Spec.GetAbandonUnixMs()), confirmed: cat != nil && !asOf.IsZero()}
	if cat != nil {
		f.route = cat.Match(c.open.Spec.GetHost(), c.open.Item.GetPath())
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	f.failed, f.impossible = st.failures, st.impossible
	switch {
	case cat == nil || f.route != nil:
		st.noRouteSince = time.Time{}
	case st.noRouteSince.IsZero():
		st.noRouteSince = now
	}
	if f.confirmed && !st.noRouteSince.IsZero() {
		f.routelessFor = asOf.Sub(st.noRouteSince)
	}
	return f
}
