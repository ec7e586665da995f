package fairshare

import "container/heap"

// Queue orders the work of one process by start-time fair queueing. Each piece of work moves
// the finish tag of its workspace forward by cost over weight, and the work with the lowest
// start tag goes first. The queue is work-conserving, and a workspace that was idle gets no
// credit for it. It is not safe for concurrent use.
type Queue[T any] struct {
	items       queueHeap[T]
	finishTags  map[string]float64 // workspace -> finish tag of its last work
	virtualTime float64            // highest start tag of the work popped so far
	seq         uint64             // breaks ties between equal start tags
	queued      map[string]int     // workspace -> queued pieces of work
}

// Queued is a piece of work in a Queue.
type Queued[T any] struct {
	Value     T
	workspace string
	start     float64
	seq       uint64
	index     int // in the heap; notQueued if it was popped or removed
}

// notQueued is the index of work that is in no Queue.
const notQueued = -1

type queueHeap[T any] []*Queued[T]

// Len implements heap.Interface.
func (h queueHeap[T]) Len() int { return len(h) }

// Less implements heap.Interface.
func (h queueHeap[T]) Less(i, j int) bool {
	if h[i].start != h[j].start {
		return h[i].start < h[j].start
	}
	return h[i].seq < h[j].seq
}

// Swap implements heap.Interface.
func (h queueHeap[T]) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index = i
	h[j].index = j
}

// Push implements heap.Interface.
func (h *queueHeap[T]) Push(x any) {
	it := x.(*Queued[T])
	it.index = len(*h)
	*h = append(*h, it)
}

// Pop implements heap.Interface.
func (h *queueHeap[T]) Pop() any {
	old := *h
	it := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	it.index = notQueued
	return it
}

// NewQueue returns an empty Queue.
func NewQueue[T any]() *Queue[T] {
	return &Queue[T]{finishTags: make(map[string]float64), queued: make(map[string]int)}
}

// Push queues work of a workspace. The cost is in any unit that all work of the queue shares; a
// weight that is not positive counts as 1.
func (q *Queue[T]) Push(workspace string, cost, weight float64, v T) *Queued[T] {
	if weight <= 0 {
		weight = 1
	}
	start := max(q.virtualTime, q.finishTags[workspace])
	q.finishTags[workspace] = start + cost/weight
	q.seq++
	return q.add(&Queued[T]{Value: v, workspace: workspace, start: start, seq: q.seq})
}

// PushFront queues popped work again, ahead of its workspace's other work. It does not change
// the finish tag, because Push has already charged the workspace.
func (q *Queue[T]) PushFront(workspace string, v T) *Queued[T] {
	return q.add(&Queued[T]{Value: v, workspace: workspace, start: q.virtualTime})
}

func (q *Queue[T]) add(it *Queued[T]) *Queued[T] {
	q.queued[it.workspace]++
	heap.Push(&q.items, it)
	return it
}

// Peek returns the work that goes first, nil if the queue is empty.
func (q *Queue[T]) Peek() *Queued[T] {
	if len(q.items) == 0 {
		return nil
	}
	return q.items[0]
}

// Pop removes the work that goes first. The queue must not be empty.
func (q *Queue[T]) Pop() *Queued[T] {
	it := q.items[0]
	q.virtualTime = max(q.virtualTime, it.start)
	q.Remove(it)
	q.dropIdleTags()
	return it
}

// Remove removes work. It does nothing if the work is no longer queued.
func (q *Queue[T]) Remove(it *Queued[T]) {
	if it == nil || it.index == notQueued {
		return
	}
	heap.Remove(&q.items, it.index)
	q.queued[it.workspace]--
	if q.queued[it.workspace] == 0 {
		delete(q.queued, it.workspace)
	}
}

// maxFinishTags is the number of finish tags above which those of idle workspaces are dropped.
const maxFinishTags = 1024

// dropIdleTags drops the finish tags of idle workspaces when there are many, so that memory
// grows with the busy workspaces and not with all 32,000. A workspace whose tag lies ahead of
// the virtual time is thereby forgiven what it had in advance of the others. At least half of
// the tags are dropped, so the cost of a scan is spread over as many calls.
func (q *Queue[T]) dropIdleTags() {
	if len(q.finishTags) <= max(maxFinishTags, 2*len(q.queued)) {
		return
	}
	for ws := range q.finishTags {
		if q.queued[ws] == 0 {
			delete(q.finishTags, ws)
		}
	}
}

// Len returns the number of queued pieces of work.
func (q *Queue[T]) Len() int {
	return len(q.items)
}
