// Package load replays peaks and troughs of online requests beside batch items in
// virtual time. The decisions are those of the product (balance, seats, schedule);
// targets, the network and the time are modelled. It compares policies over the same
// arrivals.
package load

import (
	"fmt"
	"time"
)

// Shape is a fleet and what is asked of it.
type Shape struct {
	Name    string
	Targets int
	Slots   int // of each target
	Entries int
	// Requests a second in troughs of 3.6 s and peaks of 2.4 s.
	Trough, Peak float64
	Holds        time.Duration // a request holds a slot; 1.3 times that at one target in three with Mixed
	Mixed        bool
	Items        float64 // batch items a second
	Runs         time.Duration
	DueWithin    time.Duration
	Lasts        time.Duration
}

// The users' deployments of four sizes, in round sums.
var (
	Guild   = Shape{Name: "guild", Targets: 9, Slots: 8, Entries: 8, Trough: 16, Peak: 76, Holds: 700 * time.Millisecond, Items: 5, Runs: 5 * time.Second, DueWithin: 18 * time.Second, Lasts: 60 * time.Second}
	Ffitiad = Shape{Name: "ffitiad", Targets: 18, Slots: 8, Entries: 8, Trough: 32, Peak: 155, Holds: 700 * time.Millisecond, Items: 10, Runs: 5 * time.Second, DueWithin: 18 * time.Second, Lasts: 60 * time.Second}
	Large   = Shape{Name: "large", Targets: 180, Slots: 7, Entries: 133, Trough: 350, Peak: 1600, Holds: 600 * time.Millisecond, Items: 105, Runs: 4800 * time.Millisecond, DueWithin: 18 * time.Second, Lasts: 42 * time.Second}
	Grown   = Shape{Name: "grown", Targets: 56, Slots: 7, Entries: 40, Trough: 113, Peak: 440, Holds: 740 * time.Millisecond, Mixed: true, Items: 30, Runs: 4 * time.Second, DueWithin: 18 * time.Second, Lasts: 60 * time.Second}
)

// Policy is a way to place work.
type Policy struct {
	Name string
	// Alone: entries hear of no loads but their own.
	Alone bool
	// Forward: the target with the fewest own requests, no limits and no moves, batch
	// like online. A forwarder that knows nothing of batch does so.
	Forward bool
	// MoveAll: whoever waits moves as soon as there is room anywhere.
	MoveAll bool
	// Watched bounds the targets whose loads one entry is told; 0 sets no bound.
	Watched int
	// TellEvery is the least time between two messages of an agent to one entry; 0 lets it
	// tell after each look at its target.
	TellEvery time.Duration
	// Reserve: a slot is reserved where it may be gone when the request comes.
	Reserve bool
	// WaitMost is the longest estimated wait for which a request is taken in at its first
	// try; 0 sets no bound but the product's own.
	WaitMost time.Duration
	// BackLeast and BackMost are when a refused caller comes back, once; 0 lets it stay
	// away.
	BackLeast, BackMost time.Duration
	// CloseIdle: connections are not kept, or not known to be.
	CloseIdle bool
}

// The policies that are compared.
var (
	Seats = Policy{Name: "agents grant seats"}
	// Admit is what the product does: it also turns those away that would be late.
	Admit   = Policy{Name: "late ones come back", Watched: 16, TellEvery: 50 * time.Millisecond, Reserve: true, WaitMost: 120 * time.Millisecond, BackLeast: 800 * time.Millisecond, BackMost: 1600 * time.Millisecond}
	Part    = Policy{Name: "part is told", Watched: 16, TellEvery: 50 * time.Millisecond, Reserve: true}
	Alone   = Policy{Name: "entries alone", Alone: true}
	Forward = Policy{Name: "naive forwarder", Forward: true}
)

// Outcome is what came of a replay.
type Outcome struct {
	Shape  string `json:"shape"`
	Policy string `json:"policy"`
	Batch  bool   `json:"batch"`

	Requests int           `json:"requests"`
	Late     int           `json:"late"`     // first events after more than 300 ms
	Refused  int           `json:"refused"`  // turned away, not run
	Back     int           `json:"back"`     // in time at their second try
	Lost     int           `json:"lost"`     // turned away at both tries
	Waited   int           `json:"waited"`   // came to a target without a free slot
	Moves    int           `json:"moves"`    // sent to another target after waiting
	Opened   int           `json:"opened"`   // connections to targets
	Told     int           `json:"told"`     // messages of agents to entries
	P50      time.Duration `json:"p50_ns"`   // to the first event
	P99      time.Duration `json:"p99_ns"`   // to the first event
	Items    int           `json:"items"`    // due before the end
	InTime   int           `json:"in_time"`  // of those
	CutOff   int           `json:"cut_off"`  // runs that gave their seat back
	Capacity float64       `json:"capacity"` // part of all slots that was used
	// Firsts are the times to the first event, sorted.
	Firsts []time.Duration `json:"-"`
}

// String implements fmt.Stringer.
func (o Outcome) String() string {
	return fmt.Sprintf("%-8s %-20s %5d requests: late %4d, refused %3d, lost %3d, moves %4d, connections %4d, messages %7d, p50 %4d ms, p99 %4d ms; %4d items: in time %4d, cut off %4d",
		o.Shape, o.Policy, o.Requests, o.Late, o.Refused, o.Lost, o.Moves, o.Opened, o.Told, o.P50.Milliseconds(), o.P99.Milliseconds(), o.Items, o.InTime, o.CutOff)
}
