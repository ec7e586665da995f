package runner

import (
	"testing"
	"time"

	"pumiceford/catalog"
)

// Guards against items that are given up by a configuration that is not known, or not confirmed
// to be the newest.
func TestJudge(t *testing.T) {
	now := time.Now()
	later, passed := now.Add(time.Second), now.Add(-clockSkewMargin-time.Millisecond)
	route := &catalog.Route{Attempts: 3}
	for _, c := range []struct {
		name  string
		facts itemFacts
		want  verdict
		why   string
	}{
		{"sound", itemFacts{abandonAt: later, route: route, confirmed: true}, mayStart, ""},
		{"failed, attempts left", itemFacts{abandonAt: later, route: route, confirmed: true, failed: 2}, mayStart, ""},
		{"failed too often", itemFacts{abandonAt: later, route: route, confirmed: true, failed: 3}, giveUp, whyFailed},
		{"failed too often by an unconfirmed configuration", itemFacts{abandonAt: later, route: route, failed: 3}, mustWait, ""},
		{"one attempt allowed", itemFacts{abandonAt: later, route: &catalog.Route{}, confirmed: true, failed: 1}, giveUp, whyFailed},
		{"failed, no configuration known", itemFacts{abandonAt: later, failed: 9}, mayStart, ""},
		{"failed, route missing for a moment", itemFacts{abandonAt: later, confirmed: true, failed: 1, routelessFor: routelessTimeout - 1}, mayStart, ""},
		{"route removed", itemFacts{abandonAt: later, confirmed: true, routelessFor: routelessTimeout}, giveUp, whyRouteless},
		{"impossible, no configuration known", itemFacts{abandonAt: later, impossible: true}, giveUp, whyImpossible},
		{"late, no configuration known", itemFacts{abandonAt: passed}, giveUp, whyLate},
		{"late by less than clocks differ", itemFacts{abandonAt: now, route: route, confirmed: true}, mayStart, ""},
	} {
		if v, why := judge(now, c.facts); v != c.want || why != c.why {
			t.Errorf("%s: verdict %d (%q), want %d (%q)", c.name, v, why, c.want, c.why)
		}
	}
}
