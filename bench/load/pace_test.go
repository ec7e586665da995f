package load_test

import (
	"flag"
	"math"
	"testing"
	"time"

	"pumiceford/bench/load"
)

// paceSeeds is the number of seeds; two take long enough under the race detector.
var paceSeeds = flag.Uint64("load.seeds", 2, "seeds of the replays of the pace of targets")

// shares are percentages of one policy over several seeds.
type shares []float64

func (s shares) mean() float64 {
	sum := 0.0
	for _, v := range s {
		sum += v
	}
	return sum / float64(len(s))
}

func (s shares) spread() float64 {
	sum, mean := 0.0, s.mean()
	for _, v := range s {
		sum += (v - mean) * (v - mean)
	}
	return math.Sqrt(sum / float64(len(s)-1))
}

// Guards against first events and items that are late at slow targets while fast ones have
// room: machines of three speeds, neighbours that slow some of them several times a second, a
// third of the fleet that becomes four times as slow within a second, and fast targets that
// are cut off while they are still believed to be fast. If the choice ignores the pace of the
// targets, at least a quarter more first events are late or refused.
func TestPaceOfTargetsServesMoreInTime(t *testing.T) {
	t.Parallel()
	rates := load.Rates54
	rates.Duration, rates.DueWithin, rates.ItemRate = 18*time.Second, 12*time.Second, 25
	neighbours, slowThird, cutOff := rates, rates, rates
	neighbours.Neighbours = load.Slowdown{Share: 0.15, Factor: 2.5, Interval: 600 * time.Millisecond}
	slowThird.Duration = 36 * time.Second
	slowThird.Paces, slowThird.Neighbours = nil, load.Slowdown{Share: 1.0 / 3, Factor: 4, From: 3 * time.Second}
	cutOff.CutOffAt = 5 * time.Second
	for name, s := range map[string]load.Scenario{"three speeds": rates, "neighbours": neighbours, "a third slows down": slowThird, "fast ones cut off": cutOff} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			var missed, items [2]shares // without and with the pace
			for seed := range *paceSeeds {
				for with := range missed {
					policy := load.RefuseLate
					policy.IgnorePace = with == 0
					o := load.Run(s, policy, seed+1)
					inTime := len(o.FirstEventTimes) - o.Late - o.RetriedInTime
					missed[with] = append(missed[with], 100-100*float64(inTime)/float64(o.Requests))
					items[with] = append(items[with], 100*float64(o.InTime)/float64(o.Items))
				}
			}
			t.Logf("not in time at the first attempt: %.2f %% (%.2f) without the pace, %.2f (%.2f) with it; items in time: %.1f %% (%.1f) without, %.1f (%.1f) with",
				missed[0].mean(), missed[0].spread(), missed[1].mean(), missed[1].spread(), items[0].mean(), items[0].spread(), items[1].mean(), items[1].spread())
			if missed[1].mean()*5 > missed[0].mean()*4 {
				t.Errorf("first events not in time: %.2f %% with the pace and %.2f %% without, want at most four fifths", missed[1].mean(), missed[0].mean())
			}
			// The simulation does not start the items of lost targets again.
			if s.CutOffAt == 0 && items[1].mean() < items[0].mean() {
				t.Errorf("items in time: %.1f %% with the pace and %.1f %% without", items[1].mean(), items[0].mean())
			}
		})
	}
}

// Guards against work that moves between targets that are alike: with the same arrivals the
// placement is the same whether the pace is considered or not.
func TestPaceOfAlikeTargetsChangesNothing(t *testing.T) {
	t.Parallel()
	s := load.Fleet18
	s.Duration = 12 * time.Second
	with, without := load.RefuseLate, load.RefuseLate
	without.IgnorePace = true
	if a, b := load.Run(s, with, 1), load.Run(s, without, 1); a.String() != b.String() {
		t.Fatalf("with and without the pace:\n%s\n%s", a, b)
	}
}
