package admission

import "container/heap"

// fairQueue orders entries by start-time fair queueing: each workspace advances
// a virtual clock by cost over weight, and the entry with the lowest start tag
// goes first. It is work-conserving, and a workspace that was idle gets no credit.
type fairQueue struct {
	items  fairHeap
	finish map[string]float64 // workspace -> finish tag of its last entry
	clock  float64            // start tag of the entry taken last
	seq    uint64
	queued map[string]int
}

type fairItem struct {
	start float64
	seq   uint64
	entry *Entry
	index int
}

type fairHeap []*fairItem

func (h fairHeap) Len() int { return len(h) }
func (h fairHeap) Less(i, j int) bool {
	if h[i].start != h[j].start {
		return h[i].start < h[j].start
	}
	return h[i].seq < h[j].seq
}
func (h fairHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index = i
	h[j].index = j
}
func (h *fairHeap) Push(x any) {
	it := x.(*fairItem)
	it.index = len(*h)
	*h = append(*h, it)
}
func (h *fairHeap) Pop() any {
	old := *h
	it := old[len(old)-1]
	*h = old[:len(old)-1]
	return it
}

func newFairQueue() *fairQueue {
	return &fairQueue{finish: make(map[string]float64), queued: make(map[string]int)}
}

func (q *fairQueue) push(e *Entry) {
	start := max(q.clock, q.finish[e.Workspace])
	weight := e.Weight
	if weight <= 0 {
		weight = 1
	}
	q.finish[e.Workspace] = start + e.Cost/weight
	q.seq++
	it := &fairItem{start: start, seq: q.seq, entry: e}
	e.item = it
	q.queued[e.Workspace]++
	heap.Push(&q.items, it)
}

// pushFront queues an entry that was taken before, ahead of its workspace's others.
func (q *fairQueue) pushFront(e *Entry) {
	it := &fairItem{start: q.clock, entry: e}
	e.item = it
	q.queued[e.Workspace]++
	heap.Push(&q.items, it)
}

func (q *fairQueue) peek() *Entry {
	if len(q.items) == 0 {
		return nil
	}
	return q.items[0].entry
}

func (q *fairQueue) pop() {
	e := q.items[0].entry
	q.clock = max(q.clock, q.items[0].start)
	q.remove(e)
	q.forgetIdle()
}

func (q *fairQueue) remove(e *Entry) {
	if e.item == nil {
		return
	}
	heap.Remove(&q.items, e.item.index)
	e.item = nil
	q.queued[e.Workspace]--
	if q.queued[e.Workspace] == 0 {
		delete(q.queued, e.Workspace)
	}
}

// maxFinishTags bounds the tags kept for workspaces that are idle.
const maxFinishTags = 1024

// forgetIdle drops tags that no longer matter, so that memory follows the busy
// workspaces and not all 32,000.
func (q *fairQueue) forgetIdle() {
	if len(q.finish) <= maxFinishTags {
		return
	}
	for ws, tag := range q.finish {
		if q.queued[ws] == 0 && tag <= q.clock {
			delete(q.finish, ws)
		}
	}
}

func (q *fairQueue) len() int {
	return len(q.items)
}
