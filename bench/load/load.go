// Package load simulates peaks and troughs of online requests together with batch items
// in virtual time. Placement uses the product's packages balance, seats and schedule;
// targets, network and time are simulated. Policies are compared on the same arrivals.
package load

import (
	"fmt"
	"time"
)

// Scenario is a fleet and its workload.
type Scenario struct {
	Name    string
	Targets int
	Slots   int // per target
	Entries int
	// Online requests a second in troughs of 3.6 s and in peaks of 2.4 s.
	TroughRate, PeakRate float64
	HoldTime             time.Duration // time that a request occupies a slot
	MixedSpeeds          bool          // one target in three takes 1.3 times as long
	Paces                []float64     // of the targets in turn; empty if all are alike
	FirstEvent           time.Duration // from the start in a slot, at the usual pace; 0 for firstEventDelay
	Neighbours           Slowdown
	// CutOffAt is when one target in nine, of the fastest, stops responding; 0 for never.
	CutOffAt time.Duration
	ItemRate float64 // batch items a second
	// Sources are the workspaces that submit the items; nil stands for one that submits each
	// item by itself.
	Sources   []Source
	RunTime   time.Duration
	DueWithin time.Duration
	Duration  time.Duration
	// Workspaces is the number of workspaces that send the same; in peaks the first of them
	// sends Surge times what the others do. The rates contain it. Callers return over a new
	// connection. Without workspaces there are no shares, and callers return to their entry.
	Workspaces int
	Surge      float64
	// LostFrom is the time from which one target in three is no longer registered; 0 loses none.
	LostFrom time.Duration
}

// Source is a workspace that submits batch jobs.
type Source struct {
	Share    float64 // of all items
	JobItems int     // items of one job, which belong to one entry
	Rank     int
}

// Slowdown makes some of the targets slower for a time.
type Slowdown struct {
	Share    float64       // of the targets
	Factor   float64       // by which work there takes longer
	Interval time.Duration // after which other targets are slowed; 0 if it begins once
	From     time.Duration // from the start; with an Interval of 0 they slow down within a second
}

// Models of five deployments, with rounded sizes.
var (
	Fleet9   = Scenario{Name: "guild", Targets: 9, Slots: 8, Entries: 8, TroughRate: 16, PeakRate: 76, HoldTime: 700 * time.Millisecond, ItemRate: 5, RunTime: 5 * time.Second, DueWithin: 18 * time.Second, Duration: 60 * time.Second}
	Fleet18  = Scenario{Name: "ffitiad", Targets: 18, Slots: 8, Entries: 8, TroughRate: 32, PeakRate: 155, HoldTime: 700 * time.Millisecond, ItemRate: 10, RunTime: 5 * time.Second, DueWithin: 18 * time.Second, Duration: 60 * time.Second}
	Fleet43  = Scenario{Name: "medium", Targets: 43, Slots: 8, Entries: 31, TroughRate: 128, PeakRate: 380, HoldTime: 400 * time.Millisecond, ItemRate: 12, RunTime: 5 * time.Second, DueWithin: 18 * time.Second, Duration: 60 * time.Second}
	Fleet180 = Scenario{Name: "large", Targets: 180, Slots: 7, Entries: 133, TroughRate: 350, PeakRate: 1600, HoldTime: 600 * time.Millisecond, ItemRate: 105, RunTime: 4800 * time.Millisecond, DueWithin: 18 * time.Second, Duration: 42 * time.Second}
	// Rates54 is a fleet of machines of three speeds.
	Rates54 = Scenario{Name: "rates", Targets: 54, Slots: 8, Entries: 39, TroughRate: 150, PeakRate: 540, HoldTime: 400 * time.Millisecond, FirstEvent: 62 * time.Millisecond, Paces: []float64{0.6, 1, 1.6}, ItemRate: 25, RunTime: 5 * time.Second, DueWithin: 18 * time.Second, Duration: 42 * time.Second}
	Fleet56 = Scenario{Name: "grown", Targets: 56, Slots: 7, Entries: 40, TroughRate: 113, PeakRate: 440, HoldTime: 740 * time.Millisecond, MixedSpeeds: true, ItemRate: 30, RunTime: 4 * time.Second, DueWithin: 18 * time.Second, Duration: 60 * time.Second}
)

// Policy configures the placement of work.
type Policy struct {
	Name string
	// NoLoadReports leaves each entry with the counts of its own requests only.
	NoLoadReports bool
	// NaiveForwarding sends work to the target with the fewest requests of the same
	// entry, without limits or moves. It treats batch items as online requests, as a
	// forwarder without batch support does.
	NaiveForwarding bool
	// AlwaysMove moves every waiting request as soon as any other target has a free slot.
	AlwaysMove bool
	// MaxWatched limits the targets whose load reports one entry receives; 0 sets no
	// limit.
	MaxWatched int
	// MinReportInterval is the least time between two load reports of an agent to one
	// entry; 0 allows a report after each poll of the target.
	MinReportInterval time.Duration
	// ReserveSlots reserves a slot before sending a request to a target whose free slots
	// may be taken before the request arrives.
	ReserveSlots bool
	// MaxWait is the longest estimated wait for which the first attempt of a request is
	// admitted; 0 applies only the product's own limit.
	MaxWait time.Duration
	// MinRetryAfter and MaxRetryAfter bound the time after which a refused caller retries
	// once; with a MaxRetryAfter of 0 it does not retry.
	MinRetryAfter, MaxRetryAfter time.Duration
	// WakeOnFreeSeat starts waiting items as soon as an agent reports a free seat.
	WakeOnFreeSeat bool
	// ReservedItems is the number of items of an entry that wait for reserved seats at a time,
	// each at ReservedTargets agents; 0 leaves no reservations.
	ReservedItems, ReservedTargets int
	// Standings orders items by the rank and the share of their workspaces.
	Standings bool
	// MoveLate takes items that will be late to faster targets.
	MoveLate bool
	// IgnorePace hides from the balancer how fast the targets are.
	IgnorePace bool
	// IgnoreIdleConns hides idle connections from the balancer, as if none were kept
	// open.
	IgnoreIdleConns bool
	// WaitAtEntry lets requests wait at their entry until a target has a free slot, at most for
	// MaxFirstWait or, if they were refused before, for MaxRetryWait.
	WaitAtEntry                bool
	MaxFirstWait, MaxRetryWait time.Duration
}

// The policies that pumice-bench compares. Their names are values in its JSON output.
var (
	AllReports = Policy{Name: "agents grant seats"}
	// WaitAtEntry matches the product: requests wait at the entries, which refuse those that
	// would be late.
	WaitAtEntry = Policy{
		Name: "wait at entry", MaxWatched: 16, MinReportInterval: 50 * time.Millisecond, ReserveSlots: true, MaxWait: 120 * time.Millisecond,
		MinRetryAfter: 1200 * time.Millisecond, MaxRetryAfter: 1600 * time.Millisecond,
		WaitAtEntry: true, MaxFirstWait: 180 * time.Millisecond, MaxRetryWait: 225 * time.Millisecond,
	}
	// RefuseLate is the same with requests that wait in the queues of the targets.
	RefuseLate     = Policy{Name: "late ones come back", MaxWatched: 16, MinReportInterval: 50 * time.Millisecond, ReserveSlots: true, MaxWait: 120 * time.Millisecond, MinRetryAfter: 800 * time.Millisecond, MaxRetryAfter: 1600 * time.Millisecond}
	PartialReports = Policy{Name: "part is told", MaxWatched: 16, MinReportInterval: 50 * time.Millisecond, ReserveSlots: true}
	NoReports      = Policy{Name: "entries alone", NoLoadReports: true}
	// OwnOrder orders the items of each entry for itself, and FleetOrder those of all.
	OwnOrder   = Policy{Name: "own order", MaxWatched: 16, MinReportInterval: 50 * time.Millisecond, ReserveSlots: true, MaxWait: 120 * time.Millisecond, MinRetryAfter: 800 * time.Millisecond, MaxRetryAfter: 1600 * time.Millisecond, WakeOnFreeSeat: true}
	FleetOrder = OwnOrder.with("fleet order", func(p *Policy) { p.ReservedItems, p.ReservedTargets, p.Standings = 4, 3, true })

	NaiveForwarder = Policy{Name: "naive forwarder", NaiveForwarding: true}
)

// with returns a changed copy of a policy.
func (p Policy) with(name string, change func(*Policy)) Policy {
	p.Name = name
	change(&p)
	return p
}

// SourceOutcome is the result of the items of one Source.
type SourceOutcome struct {
	Items  int `json:"items"`
	InTime int `json:"in_time"`
}

// Share returns the share of the items that were in time.
func (o SourceOutcome) Share() float64 {
	return float64(o.InTime) / float64(max(o.Items, 1))
}

// Outcome is the result of one simulation. Times to the first event count from the
// arrival of the attempt.
type Outcome struct {
	Scenario string `json:"shape"`
	Policy   string `json:"policy"`
	Batch    bool   `json:"batch"`

	Requests       int           `json:"requests"`
	Late           int           `json:"late"`            // first event after more than 300 ms
	Refused        int           `json:"refused"`         // refused attempts
	RetriedInTime  int           `json:"back"`            // first event in time at the second attempt
	NotServed      int           `json:"lost"`            // refused without a further attempt
	QueuedAtTarget int           `json:"waited"`          // sent to a target without a free slot
	Moves          int           `json:"moves"`           // moved to another target while waiting
	ConnsOpened    int           `json:"opened"`          // opened connections to targets
	LoadReports    int           `json:"told"`            // load reports from agents to entries
	P50            time.Duration `json:"p50_ns"`          // median time to the first event
	P99            time.Duration `json:"p99_ns"`          // 99th percentile of the same
	Items          int           `json:"items"`           // batch items due before the end
	InTime         int           `json:"in_time"`         // of those, items completed by their due time
	SeatsYielded   int           `json:"cut_off"`         // item runs ended early to give the seat back
	SentToCutOff   int           `json:"sent_to_cut_off"` // requests sent to targets that do not respond
	SlotUse        float64       `json:"capacity"`        // fraction of the total slot time in use
	Reservations   int           `json:"reservations"`    // attempts to reserve a slot

	Surging Shares `json:"surging"` // of the workspace that surges
	Others  Shares `json:"others"`  // of all others

	SeatReservations int             `json:"seat_reservations,omitempty"` // left by items at agents
	ItemsMoved       int             `json:"items_moved,omitempty"`       // to faster targets
	Sources          []SourceOutcome `json:"sources,omitempty"`
	// FirstEventTimes are sorted in ascending order.
	FirstEventTimes []time.Duration `json:"-"`
}

// Shares counts what became of the requests of some workspaces.
type Shares struct {
	Requests     int `json:"requests"`
	First        int `json:"first"`  // in time at the first attempt
	Return       int `json:"return"` // in time at the second
	Late         int `json:"late"`   // at either
	RefusedTwice int `json:"refused_twice"`
}

// InTime returns the requests with a first event in time, in % of all.
func (s Shares) InTime() float64 {
	return percent(s.First+s.Return, s.Requests)
}

// String implements fmt.Stringer.
func (s Shares) String() string {
	return fmt.Sprintf("in time at the first attempt %5.1f %%, at the second %5.1f %%, late %4.1f %%, refused twice %5.2f %%",
		percent(s.First, s.Requests), percent(s.Return, s.Requests), percent(s.Late, s.Requests), percent(s.RefusedTwice, s.Requests))
}

func percent(n, of int) float64 {
	const whole = 100
	return whole * float64(n) / float64(max(of, 1))
}

// String implements fmt.Stringer.
func (o Outcome) String() string {
	return fmt.Sprintf("%-8s %-20s %5d requests: late %4d, refused %3d, not served %3d, moves %4d, connections %4d, load reports %7d, p50 %4d ms, p99 %4d ms; %4d items: in time %4d, seats yielded %4d",
		o.Scenario, o.Policy, o.Requests, o.Late, o.Refused, o.NotServed, o.Moves, o.ConnsOpened, o.LoadReports, o.P50.Milliseconds(), o.P99.Milliseconds(), o.Items, o.InTime, o.SeatsYielded)
}
