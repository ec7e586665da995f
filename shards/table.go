// Package shards assigns shards to processes, so that at most one process acts for a shard
// at any time, even if processes are cut off, frozen or killed.
//
// The owner of a shard is a record in the shared store. A process acts only while its view
// of the records is confirmed within a lease. A process that takes a shard over from one
// that does not reply waits for a lease first: by then the former owner has either seen
// the new record or stopped because it could not confirm its view. A restarted process
// resumes its shards at once.
package shards

import (
	"strconv"
	"time"

	"google.golang.org/protobuf/proto"

	"pumiceford/store"
	"pumiceford/wire"
)

// ownerState is the recorded state of a shard.
type ownerState struct {
	owner   string // address, "" for none
	settled bool   // no earlier owner can still be acting
}

// localTerm is the period in which this process owns a shard.
type localTerm struct {
	activeFrom time.Duration // earliest time at which this process may act
	settled    bool          // the takeover wait is recorded as over
}

// Table folds the ownership records and decides for which shards a process may act. It does
// no I/O, reads no clock and is not safe for concurrent use.
type Table struct {
	self   string
	lease  time.Duration
	owners map[int]ownerState
	terms  map[int]localTerm
}

// takeoverWaitLeases is how long a process that takes a shard over waits, in leases. The part
// above one allows for clocks that run at different rates.
const takeoverWaitLeases = 1.1

// NewTable returns an empty Table of the process at the address self.
func NewTable(self string, lease time.Duration) *Table {
	return &Table{self: self, lease: lease, owners: make(map[int]ownerState), terms: make(map[int]localTerm)}
}

// Reset replaces the recorded state by the state that recs describe.
func (t *Table) Reset(now time.Duration, recs []store.Record) {
	t.owners = make(map[int]ownerState)
	for _, r := range recs {
		t.Apply(now, r)
	}
	for n := range t.terms {
		if t.owners[n].owner != t.self {
			delete(t.terms, n)
		}
	}
}

// Apply folds one record. It ignores a record whose key is not a shard number.
func (t *Table) Apply(now time.Duration, r store.Record) {
	n, err := strconv.Atoi(r.Key)
	if err != nil || n < 0 {
		return
	}
	var o wire.ShardOwner
	if proto.Unmarshal(r.Value, &o) != nil {
		o.Reset() // an unreadable record counts as one without owner, so that a process takes the shard
	}
	t.owners[n] = ownerState{owner: o.GetOwner(), settled: o.GetSettled()}
	if o.GetOwner() != t.self {
		delete(t.terms, n)
		return
	}
	term, ok := t.terms[n]
	switch {
	case ok:
		term.settled = term.settled || o.GetSettled()
		t.terms[n] = term
	case o.GetSettled():
		t.terms[n] = localTerm{activeFrom: now, settled: true}
	default:
		t.terms[n] = localTerm{activeFrom: now + time.Duration(takeoverWaitLeases*float64(t.lease))}
	}
}

// Owner returns the address of the process that owns a shard, "" for none.
func (t *Table) Owner(shard int) string {
	return t.owners[shard].owner
}

// Settled reports whether the owner of a shard has waited until no earlier owner can be
// acting.
func (t *Table) Settled(shard int) bool {
	return t.owners[shard].settled
}

// Active returns the time from which this process may act for a shard, given the time at
// which its view was last confirmed. It returns false while the process must not act.
func (t *Table) Active(shard int, now, confirmed time.Duration) (time.Duration, bool) {
	term, ok := t.terms[shard]
	if !ok || now < term.activeFrom || now-confirmed > t.lease {
		return 0, false
	}
	return term.activeFrom, true
}

// Unsettled returns the shards of this process whose takeover wait is over but not recorded
// as over.
func (t *Table) Unsettled(now time.Duration) []int {
	var out []int
	for n, term := range t.terms {
		if !term.settled && now >= term.activeFrom {
			out = append(out, n)
		}
	}
	return out
}

// Owned returns the shards that this process owns.
func (t *Table) Owned() []int {
	var out []int
	for n := range t.terms {
		out = append(out, n)
	}
	return out
}

// claim returns the record by which this process takes a shard. A shard that its owner has
// released needs no takeover wait.
func (t *Table) claim(shard int) (store.Record, error) {
	state, known := t.owners[shard]
	return encodeRecord(shard, &wire.ShardOwner{Owner: t.self, Settled: known && state.owner == "" && state.settled})
}

// settle returns the record that ends the takeover wait for a shard.
func (t *Table) settle(shard int) (store.Record, error) {
	return encodeRecord(shard, &wire.ShardOwner{Owner: t.self, Settled: true})
}

// release returns the record by which this process gives up a shard. The record is settled
// if the takeover wait of this process is recorded as over: the process has stopped acting
// for the shard, and no other process can be acting for it.
func (t *Table) release(shard int) (store.Record, error) {
	return encodeRecord(shard, &wire.ShardOwner{Settled: t.terms[shard].settled})
}

// encodeRecord returns the record of a shard, whose key is the shard number.
func encodeRecord(shard int, o *wire.ShardOwner) (store.Record, error) {
	value, err := proto.Marshal(o)
	if err != nil {
		return store.Record{}, err
	}
	if len(value) == 0 {
		// An empty value is a tombstone, which would delete the key.
		value = noOwnerValue
	}
	return store.Record{Key: strconv.Itoa(shard), Value: value}, nil
}

// noOwnerValue encodes a record without owner: field 1 with length 0.
var noOwnerValue = []byte{1<<3 | 2, 0}
