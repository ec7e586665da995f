package admission

import "container/heap"

// fairQueue orders entries by start-time fair queueing. Each entry moves the finish
// tag of its workspace forward by cost over weight, and the entry with the lowest
// start tag goes first. The queue is work-conserving, and a workspace that was idle
// gets no credit for it.
type fairQueue struct {
	items       fairHeap
	finishTags  map[string]float64 // workspace -> finish tag of its last entry
	virtualTime float64            // highest start tag of the entries popped so far
	seq         uint64             // breaks ties between equal start tags
	queued      map[string]int     // workspace -> queued entries
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
	return &fairQueue{finishTags: make(map[string]float64), queued: make(map[string]int)}
}

func (q *fairQueue) push(e *Entry) {
	start := max(q.virtualTime, q.finishTags[e.Workspace])
	weight := e.Weight
	if weight <= 0 {
		weight = 1
	}
	q.finishTags[e.Workspace] = start + e.Cost/weight
	q.seq++
	it := &fairItem{start: start, seq: q.seq, entry: e}
	e.queueItem = it
	q.queued[e.Workspace]++
	heap.Push(&q.items, it)
}

// pushFront queues a popped entry again, ahead of its workspace's other entries. It
// does not change the finish tag, because push has already charged the workspace.
func (q *fairQueue) pushFront(e *Entry) {
	it := &fairItem{start: q.virtualTime, entry: e}
	e.queueItem = it
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
	q.virtualTime = max(q.virtualTime, q.items[0].start)
	q.remove(e)
	q.dropIdleTags()
}

func (q *fairQueue) remove(e *Entry) {
	if e.queueItem == nil {
		return
	}
	heap.Remove(&q.items, e.queueItem.index)
	e.queueItem = nil
	q.queued[e.Workspace]--
	if q.queued[e.Workspace] == 0 {
		delete(q.queued, e.Workspace)
	}
}

// maxFinishTags is the number of finish tags above which those of idle workspaces
// are dropped.
const maxFinishTags = 1024

// dropIdleTags drops the finish tags that no longer affect the order, so that memory
// grows with the busy workspaces and not with all 32,000.
func (q *fairQueue) dropIdleTags() {
	if len(q.finishTags) <= maxFinishTags {
		return
	}
	for ws, tag := range q.finishTags {
		if q.queued[ws] == 0 && tag <= q.virtualTime {
			delete(q.finishTags, ws)
		}
	}
}

func (q *fairQueue) len() int {
	return len(q.items)
}
