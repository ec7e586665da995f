package load_test

import (
	"testing"
	"time"

	"pumiceford/bench/load"
)

// smallFleet has a backlog of items beside peaks of online requests.
var smallFleet = load.Scenario{
	Name: "items", Targets: 18, Slots: 8, Entries: 13, TroughRate: 53, PeakRate: 120, HoldTime: 400 * time.Millisecond,
	ItemRate: 42, RunTime: 5 * time.Second, DueWithin: 18 * time.Second, Duration: 42 * time.Second,
}

// mixedFleet has targets of three speeds and slightly more items than they can complete.
var mixedFleet = load.Scenario{
	Name: "speeds", Targets: 18, Slots: 7, Entries: 13, TroughRate: 38, PeakRate: 100, HoldTime: 500 * time.Millisecond, Paces: []float64{0.6, 1, 1.6},
	ItemRate: 27, RunTime: 5 * time.Second, DueWithin: 18 * time.Second, Duration: 42 * time.Second,
}

// flood is a workspace with jobs of a hundred items beside one with jobs of five.
var flood = []load.Source{{Share: 0.85, JobItems: 100}, {Share: 0.15, JobItems: 5}}

// seeds choose arrivals that need an order of all items: with others few items are late.
var seeds = []uint64{2, 4, 5}

// Guards against items that become late at one entry while seats go to less pressing items of
// others.
func TestMostPressingItemOfTheFleetGoesFirst(t *testing.T) {
	t.Parallel()
	const missed = 100 // at most one item in a hundred may be late
	for _, seed := range seeds {
		own, fleet := load.Run(mixedFleet, load.OwnOrder, seed), load.Run(mixedFleet, load.FleetOrder, seed)
		t.Logf("\n%s\n%s", own, fleet)
		if (fleet.Items-fleet.InTime)*missed > fleet.Items {
			t.Errorf("%d of %d items in time", fleet.InTime, fleet.Items)
		}
		if fleet.Late > own.Late+2 {
			t.Errorf("%d first events late with reservations, %d without", fleet.Late, own.Late)
		}
		// Four items at a time, each at three agents for a second, and as many again for each
		// item that starts.
		perEntry := 12*mixedFleet.Duration.Seconds() + 3*mixedFleet.ItemRate*mixedFleet.Duration.Seconds()/float64(mixedFleet.Entries)
		if float64(fleet.SeatReservations) > perEntry*float64(mixedFleet.Entries) {
			t.Errorf("%d reservations", fleet.SeatReservations)
		}
	}
}

// Guards against small jobs that wait behind a job of a hundred items of another workspace,
// which was there first.
func TestLargeJobsLeaveSeatsToSmallOnes(t *testing.T) {
	t.Parallel()
	scenario := smallFleet
	scenario.Sources = flood
	small := func(p load.Policy, seed uint64) (late int) {
		o := load.Run(scenario, p, seed)
		t.Logf("%s, seed %d: %d of %d and %d of %d items in time", p.Name, seed, o.Sources[0].InTime, o.Sources[0].Items, o.Sources[1].InTime, o.Sources[1].Items)
		return o.Sources[1].Items - o.Sources[1].InTime
	}
	own := 0
	for _, seed := range seeds {
		own += small(load.OwnOrder, seed)
		if late := small(load.FleetOrder, seed); late > 0 {
			t.Errorf("seed %d: %d items of the small workspace late", seed, late)
		}
	}
	if own == 0 {
		t.Error("no item of the small workspace is late in any order; the replay shows nothing")
	}
}

// Guards against items that are late because they ran at a slow target although they could be
// in time elsewhere, and against an order of items that takes all targets for equally fast.
func TestItemsLeaveOutTargetsWhereTheyWouldBeLate(t *testing.T) {
	t.Parallel()
	scenario := mixedFleet
	scenario.Sources, scenario.ItemRate = flood, 32
	for _, seed := range seeds {
		p := load.FleetOrder
		p.IgnorePace = true
		unaware := load.Run(scenario, p, seed).InTime
		p.IgnorePace = false
		aware := load.Run(scenario, p, seed).InTime
		t.Logf("seed %d: items in time: %d without the paces of the targets, %d with them", seed, unaware, aware)
		if aware <= unaware {
			t.Errorf("seed %d: items in time: %d without the paces of the targets, %d with them", seed, unaware, aware)
		}
	}
}
