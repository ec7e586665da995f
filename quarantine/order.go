package quarantine

import (
	"bytes"
	"cmp"
	"container/heap"
	"time"
)

// rank is the importance of a record: its weight, capped at what holds any record, and then the time
// of its last crash. It depends on the marks alone: if processes dropped different records, each
// would relay to the others what they had dropped, and the exchange would never end.
type rank struct {
	weight    int
	lastCrash time.Time
}

func (r *record) currentRank() rank {
	const limit = max(holdThreshold, partHoldCrashes*weightBeforeResponse)
	return rank{min(r.weight(), limit), r.lastCrash(anyWork)}
}

// compare orders records by importance, and records of the same rank by key.
func (r *record) compare(o *record) int {
	return cmp.Or(cmp.Compare(r.rank.weight, o.rank.weight), r.rank.lastCrash.Compare(o.rank.lastCrash), bytes.Compare(r.key[:], o.key[:]))
}

// recordQueue is a heap with the least important record first.
type recordQueue struct {
	records     []*record
	comparisons int // so far
}

// Len implements heap.Interface.
func (q *recordQueue) Len() int { return len(q.records) }

// Less implements heap.Interface.
func (q *recordQueue) Less(i, j int) bool {
	q.comparisons++
	return q.records[i].compare(q.records[j]) < 0
}

// Swap implements heap.Interface.
func (q *recordQueue) Swap(i, j int) {
	q.records[i], q.records[j] = q.records[j], q.records[i]
	q.records[i].position, q.records[j].position = i, j
}

// Push implements heap.Interface.
func (q *recordQueue) Push(x any) {
	r := x.(*record)
	r.position = len(q.records)
	q.records = append(q.records, r)
}

// Pop implements heap.Interface.
func (q *recordQueue) Pop() any {
	last := len(q.records) - 1
	r := q.records[last]
	q.records[last] = nil
	q.records = q.records[:last]
	return r
}

// insert adds a new record. If the table is full, the least important record is dropped; insert
// reports false if that is the new one.
func (t *Table) insert(r *record) bool {
	r.rank = r.currentRank()
	if len(t.records) >= maxKeys {
		least := t.order.records[0]
		t.order.comparisons++
		if r.compare(least) < 0 {
			return false
		}
		t.remove(least)
	}
	t.records[r.key] = r
	heap.Push(&t.order, r)
	return true
}

// remove removes a record.
func (t *Table) remove(r *record) {
	delete(t.records, r.key)
	delete(t.culprits, r.key) // it cannot be looked up without its record
	heap.Remove(&t.order, r.position)
}

// updateRank keeps the order after a change of a record's marks.
func (t *Table) updateRank(r *record) {
	if now := r.currentRank(); now != r.rank {
		r.rank = now
		heap.Fix(&t.order, r.position)
	}
}
