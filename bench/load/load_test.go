package load_test

import (
	"testing"
	"time"

	"pumiceford/bench/load"
)

// short is a shape for four peaks: the replay of the large fleet is long under the
// race detector.
func short(s load.Shape) load.Shape {
	s.Lasts = 24 * time.Second
	return s
}

// withoutBatch is the same online load with no items beside it.
func withoutBatch(s load.Shape) load.Shape {
	s.Items = 0
	return s
}

// Symptom: in each peak nearly every request is sent to two targets, and each that
// moves costs a connection.
// Sequence: peaks ask for a tenth more than all slots; two slots come free at one
// target, and requests that wait at forty entries all go there.
// Cause: whoever waited moved as soon as there was room anywhere.
func TestWaitingRequestsDoNotAllMoveAtOnce(t *testing.T) {
	t.Parallel()
	overload := withoutBatch(short(load.Grown))
	overload.Peak = 540
	all := load.Run(overload, load.Policy{Name: "all move", MoveAll: true}, 1)
	some := load.Run(overload, load.Seats, 1)
	t.Logf("\n%s\n%s", all, some)
	if some.Moves*4 > all.Moves || some.Opened*3 > all.Opened*2 || some.P99 > all.P99*11/10 {
		t.Fatalf("moves %d and %d, connections %d and %d, p99 %s and %s", some.Moves, all.Moves, some.Opened, all.Opened, some.P99, all.P99)
	}
}

// Symptom: first events come late in peaks that need fewer slots than there are.
// Sequence: each entry knows its own requests only, an eighth or a fortieth of all.
// Cause: placement without the agents' word.
func TestEntriesAloneKeepCallersWaiting(t *testing.T) {
	t.Parallel()
	for _, shape := range []load.Shape{load.Guild, load.Ffitiad, load.Grown} {
		shape = withoutBatch(short(shape))
		seats, alone := load.Run(shape, load.Seats, 1), load.Run(shape, load.Alone, 1)
		t.Logf("\n%s\n%s", seats, alone)
		if seats.Late*5 > alone.Late {
			t.Errorf("%s: late %d with the agents' word, %d without", shape.Name, seats.Late, alone.Late)
		}
	}
}

// Symptom: lookups wait behind batch items, or items are late though slots are idle
// in each trough.
// Sequence: peaks that need most slots follow troughs in which items start.
// Cause: items that stand in the targets' queues, or do not leave, or do not come
// back.
func TestBatchFillsTheTroughsAndLeavesThePeaks(t *testing.T) {
	t.Parallel()
	for _, shape := range []load.Shape{load.Guild, load.Ffitiad} {
		seats, naive := load.Run(shape, load.Seats, 1), load.Run(shape, load.Forward, 1)
		t.Logf("\n%s\n%s", seats, naive)
		const mostLate = 200 // one request in so many
		if seats.Late*mostLate > seats.Requests {
			t.Errorf("%s: %d of %d first events are late", shape.Name, seats.Late, seats.Requests)
		}
		if seats.InTime < seats.Items {
			t.Errorf("%s: %d of %d items in time", shape.Name, seats.InTime, seats.Items)
		}
		if naive.Late < 10*seats.Late {
			t.Errorf("%s: the naive forwarder has %d late, we %d", shape.Name, naive.Late, seats.Late)
		}
	}
}

// Symptom: a tenth of the first events of a large fleet wait for 100 ms and more
// in peaks although batch work could leave.
// Sequence: two requests come within one report for the last free slot of a target
// that runs no batch work.
// Cause: a free slot was all that counted.
func TestCollisionsMeetBatchWork(t *testing.T) {
	t.Parallel()
	o := load.Run(short(load.Grown), load.Seats, 1)
	t.Logf("\n%s", o)
	const mostLate = 50 // one request in so many; it was one in 38
	if o.Late*mostLate > o.Requests {
		t.Errorf("%d of %d first events are late", o.Late, o.Requests)
	}
	if o.InTime < o.Items {
		t.Errorf("%d of %d items in time", o.InTime, o.Items)
	}
}

// Symptom: eight entries open 520 connections where 229 do, forty 7,825 and not 1,674.
// Cause: the choice did not know of idle connections.
func TestIdleConnectionsAreUsed(t *testing.T) {
	t.Parallel()
	for _, shape := range []load.Shape{load.Ffitiad, load.Grown} {
		shape = withoutBatch(short(shape))
		with := load.Run(shape, load.Seats, 1)
		without := load.Run(shape, load.Policy{Name: "idle not known", CloseIdle: true}, 1)
		t.Logf("\n%s\n%s", with, without)
		if with.Opened*3 > without.Opened*2 || with.Waited > without.Waited*11/10+10 {
			t.Errorf("%s: opened %d and %d, waited %d and %d", shape.Name, with.Opened, without.Opened, with.Waited, without.Waited)
		}
	}
}

// A seed gives the same outcome each time.
func TestReplaysRepeat(t *testing.T) {
	t.Parallel()
	shape := load.Guild
	a, b := load.Run(shape, load.Seats, 7), load.Run(shape, load.Seats, 7)
	if a.String() != b.String() {
		t.Fatalf("\n%s\n%s", a, b)
	}
}

// Symptom: in each peak two first events in five come late before 180 targets, though
// slots are free elsewhere.
// Sequence: 133 entries are told the loads of 64 targets each, up to a hundred times a
// second; 1,600 requests a second come.
// Cause: the other targets looked empty to all of them. In this replay 16 targets, told
// each 50 ms, leave none of 10,350 late when a slot is reserved where it may be gone; 64,
// told at once, leave two and take five times as many messages.
func TestALargeFleetNeedsFewMessages(t *testing.T) {
	t.Parallel()
	shape := load.Large
	shape.Lasts = 12 * time.Second // two peaks; more are long under the race detector
	part := load.Run(shape, load.Part, 1)
	more := load.Part
	more.Watched, more.TellEvery = 64, 0
	many := load.Run(shape, more, 1)
	t.Logf("\n%s\n%s", part, many)
	const mostLate = 500 // one request in so many
	if part.Late*mostLate > part.Requests {
		t.Errorf("%d of %d first events are late", part.Late, part.Requests)
	}
	if part.Told*4 > many.Told {
		t.Errorf("%d messages, %d with 64 targets", part.Told, many.Told)
	}
}

// Symptom: an entry that is told of few targets leaves slots of others idle.
// Cause: none so far; what is told decides the order, not who may be chosen.
func TestPartOfTheLoadsServesEachSize(t *testing.T) {
	t.Parallel()
	for _, shape := range []load.Shape{load.Guild, load.Ffitiad, load.Grown} {
		shape = short(shape)
		part, all := load.Run(shape, load.Part, 1), load.Run(shape, load.Seats, 1)
		t.Logf("\n%s\n%s", part, all)
		if part.Late > all.Late+2 || part.Opened > all.Opened*11/10 {
			t.Errorf("%s: late %d and %d, connections %d and %d", shape.Name, part.Late, all.Late, part.Opened, all.Opened)
		}
		if part.InTime < part.Items {
			t.Errorf("%s: %d of %d items in time", shape.Name, part.InTime, part.Items)
		}
	}
}
