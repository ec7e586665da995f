package opview_test

import (
	"context"
	"encoding/json"
	"fmt"
	"math"
	"slices"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"

	"pumiceford/balance"
	"pumiceford/fairshare"
	"pumiceford/opview"
	"pumiceford/refusals"
	"pumiceford/targets"
)

var now = time.Unix(1_000_000, 0)

func limits(workspace string) (rank int, rate float64) {
	if workspace == "north" {
		return 1, 12.5
	}
	return 0, 0
}

// Guards against a change of the JSON that operators' programs read, and against a workspace
// that is refused everything and therefore missing because it holds nothing.
func TestSharesAsJSON(t *testing.T) {
	var refused refusals.Table
	refused.Count(now, "south", "over_limit")
	refused.Count(now, "north", "overload")
	usage := []fairshare.Row{{Holder: fairshare.Holder{Workspace: "north", Rank: 1, Weight: 2}, Held: 3.5, Waiting: 1, FairShare: 2, Excess: 0.75, Age: 20 * time.Millisecond},
		{Holder: fairshare.Holder{Rank: 2, Weight: 1}, Others: true, Held: 1, FairShare: math.Inf(1)}}
	raw, err := json.Marshal(opview.NewShares(now.Add(time.Second), usage, &refused, limits))
	want := `{"rows":[` +
		`{"workspace":"south","rank":0,"weight":0,"limit":0,"held":0,"waiting":0,"fair_share":0,"excess":0,"age_ms":0,"refused":{"over_limit":1}},` +
		`{"workspace":"north","rank":1,"weight":2,"limit":12.5,"held":3.5,"waiting":1,"fair_share":2,"excess":0.75,"age_ms":20,"refused":{"overload":1}},` +
		`{"workspace":"","others":true,"rank":2,"weight":1,"limit":0,"held":1,"waiting":0,"fair_share":0,"excess":0,"age_ms":0}],"refused_seconds":1}`
	if err != nil || string(raw) != want {
		t.Errorf("error %v, got\n%s\nwant\n%s", err, raw, want)
	}
}

// Guards against figures of a target that come from an entry which knows less than another,
// and against states that only one entry sees.
func TestMergedTargetHasNewestFigures(t *testing.T) {
	status := func(load int, reportAge time.Duration, pace float64, paceAge time.Duration) balance.TargetStatus {
		return balance.TargetStatus{Instance: targets.Instance{ID: "i", Addr: "10.0.0.1:80", Service: "s"}, Slots: 8, Load: load, ReportAge: reportAge, Pace: pace, PaceAge: paceAge}
	}
	fresh, stale := status(5, 10*time.Millisecond, 1, -1), status(2, -1, 2.5, time.Second)
	stale.Suspect, stale.EjectedUntil = true, now.Add(time.Second)
	raw, err := json.Marshal(opview.MergeTargets(opview.NewTargets(now, []balance.TargetStatus{stale}), opview.NewTargets(now, []balance.TargetStatus{fresh})))
	want := `{"rows":[{"instance":"i","addr":"10.0.0.1:80","service":"s","pace":2.5,"pace_age_ms":1000,"slots":8,"load":5,"batch":0,` +
		`"memory_used":0,"memory_total":0,"suspect_at":1,"ejected_at":1,"ejected_for_ms":1000,"report_age_ms":10}]}`
	if err != nil || string(raw) != want {
		t.Errorf("error %v, got\n%s\nwant\n%s", err, raw, want)
	}
}

// Guards against reports that grow with the number of workspaces or targets, and against
// slots that vanish from them.
func TestReportsAreBounded(t *testing.T) {
	var usage []fairshare.Row
	var all []balance.TargetStatus
	for n := range 32_000 {
		usage = append(usage, fairshare.Row{Holder: fairshare.Holder{Workspace: fmt.Sprint("w", n)}, Held: 1})
		all = append(all, balance.TargetStatus{Instance: targets.Instance{ID: fmt.Sprint("i", n)}, ReportAge: -1})
	}
	shares := opview.NewShares(now, usage, nil, limits)
	for range 8 {
		var more []fairshare.Row
		for n := range 100 {
			more = append(more, fairshare.Row{Holder: fairshare.Holder{Workspace: fmt.Sprint("m", len(shares.Rows), ".", n)}, Held: 1})
		}
		shares = opview.MergeShares(shares, opview.NewShares(now, more, nil, limits))
	}
	held := 0.0
	for _, r := range shares.Rows {
		held += r.Held
	}
	if len(shares.Rows) > 401 || held != 32_800 {
		t.Errorf("%d rows that hold %.0f slots, want 32800", len(shares.Rows), held)
	}
	if got := opview.NewTargets(now, all); len(got.Rows) > 200 || len(got.Rows)+got.LeftOut != len(all) {
		t.Errorf("%d targets, %d left out", len(got.Rows), got.LeftOut)
	}
}

// numbers is a report that lists the entries it was made of.
type numbers struct{ Of []string }

func mergeNumbers(a, b numbers) numbers { return numbers{slices.Concat(a.Of, b.Of)} }

// Guards against a report that is taken as complete although an entry has not answered, and
// against entries that only others know being left out.
func TestEntriesWithoutAnswerAreMissing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		query := func(ctx context.Context, addr, _ string) (opview.Reply, error) {
			raw, err := json.Marshal(numbers{[]string{addr}})
			switch addr {
			case "b":
				return opview.Reply{Report: raw, Known: []string{"a", "b", "d", "silent"}}, err
			case "silent":
				<-ctx.Done()
				return opview.Reply{}, ctx.Err()
			case "gone":
				return opview.Reply{}, errors.New("refused")
			case "old":
				return opview.Reply{}, nil
			}
			return opview.Reply{Report: raw}, err
		}
		began := time.Now()
		got, cover := opview.Collect(t.Context(), "a", numbers{[]string{"a"}}, []string{"b", "a", "gone", "old"}, "r", query, mergeNumbers)
		slices.Sort(got.Of)
		if !slices.Equal(got.Of, []string{"a", "b", "d"}) || cover.Complete || cover.Entries != 6 || cover.Answered != 3 {
			t.Errorf("report of %v, coverage %+v", got.Of, cover)
		}
		var missing []string
		for _, m := range cover.Missing {
			missing = append(missing, m.Entry)
		}
		if !slices.Equal(missing, []string{"gone", "old", "silent"}) || time.Since(began) > 2*time.Second {
			t.Errorf("missing %v after %s", missing, time.Since(began))
		}
	})
}

// Guards against a collection that takes unbounded time or asks all entries at once, and
// against entries that were not asked in time and not named.
func TestCollectionIsBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var known []string
		for n := range 340 {
			known = append(known, fmt.Sprint("e", n))
		}
		var running, most atomic.Int32
		query := func(ctx context.Context, _, _ string) (opview.Reply, error) {
			most.Store(max(most.Load(), running.Add(1)))
			defer running.Add(-1)
			<-ctx.Done()
			return opview.Reply{}, ctx.Err()
		}
		began := time.Now()
		_, cover := opview.Collect(t.Context(), "a", numbers{}, known, "r", query, mergeNumbers)
		if took := time.Since(began); took > 8*time.Second || most.Load() > 8 {
			t.Errorf("took %s with %d queries at a time", took, most.Load())
		}
		if len(cover.Missing) != len(known) {
			t.Errorf("%d of %d entries are named as missing", len(cover.Missing), len(known))
		}
	})
}

func BenchmarkMergeShares(b *testing.B) {
	report := func(prefix string) opview.Shares {
		var usage []fairshare.Row
		for n := range 100 {
			usage = append(usage, fairshare.Row{Holder: fairshare.Holder{Workspace: fmt.Sprint(prefix, n)}, Held: 1})
		}
		return opview.NewShares(now, usage, nil, limits)
	}
	merged := opview.Shares{}
	for n := range 8 {
		merged = opview.MergeShares(merged, report(fmt.Sprint("w", n, "-")))
	}
	one := report("w0-")
	b.ReportAllocs()
	for b.Loop() {
		opview.MergeShares(merged, one)
	}
}

// Guards against a report that claims to be complete although more entries are known than it
// asks.
func TestOmittedEntriesAreMissing(t *testing.T) {
	var known []string
	for n := range 600 {
		known = append(known, fmt.Sprint("e", n))
	}
	query := func(context.Context, string, string) (opview.Reply, error) {
		return opview.Reply{Report: []byte("{}")}, nil
	}
	_, cover := opview.Collect(t.Context(), "a", numbers{}, known, "r", query, mergeNumbers)
	if cover.Complete || len(cover.Missing) != 1 {
		t.Errorf("complete: %v, missing: %v, want one line for the entries that were not asked", cover.Complete, cover.Missing)
	}
}
