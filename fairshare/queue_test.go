package fairshare

import (
	"fmt"
	"math"
	"testing"

	"pgregory.net/rapid"
)

const maxQueueCost = 10

// Guards against a workspace that gets more than its weight of one queue, however many pieces
// of work it sends, and against credit for a time in which it sent none.
func TestQueueIsFairToBackloggedWorkspaces(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		q := NewQueue[float64]()
		weights := map[string]float64{"a": rapid.Float64Range(0.5, 4).Draw(t, "a"), "b": rapid.Float64Range(0.5, 4).Draw(t, "b")}
		cost := rapid.Float64Range(1, maxQueueCost)
		push := func(w string) {
			c := cost.Draw(t, "cost")
			q.Push(w, c, weights[w], c)
		}
		for range rapid.IntRange(0, 50).Draw(t, "alone") { // b idles meanwhile
			push("a")
			q.Pop()
		}
		served := make(map[string]float64)
		push("a")
		push("b")
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			push("a")
			push("b")
			it := q.Pop()
			served[it.workspace] += it.Value / weights[it.workspace]
			bound := 2 * (maxQueueCost/weights["a"] + maxQueueCost/weights["b"])
			if d := math.Abs(served["a"] - served["b"]); d > bound {
				t.Fatalf("%.1f per weight are served of a, %.1f of b", served["a"], served["b"])
			}
		}
	})
}

// Guards against work that is lost, returned twice or out of its workspace's order when other
// work is removed or put back.
func TestQueueKeepsAllWork(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		q := NewQueue[int]()
		queued := make(map[int]*Queued[int])
		last := make(map[string]int) // popped last, by workspace
		for i := 1; i <= rapid.IntRange(1, 300).Draw(t, "steps"); i++ {
			switch rapid.IntRange(0, 4).Draw(t, "step") {
			case 0, 1, 2:
				queued[i] = q.Push(fmt.Sprint("w", i%7), float64(1+i%3), 1, i)
			case 3:
				for v, it := range queued {
					q.Remove(it)
					q.Remove(it) // once more, without effect
					delete(queued, v)
					break
				}
			default:
				if q.Peek() == nil {
					continue
				}
				it := q.Pop()
				if queued[it.Value] != it || it.Value < last[it.workspace] {
					t.Fatalf("%d of %s after %d", it.Value, it.workspace, last[it.workspace])
				}
				delete(queued, it.Value)
				if rapid.Bool().Draw(t, "back") {
					queued[it.Value] = q.PushFront(it.workspace, it.Value)
					continue
				}
				last[it.workspace] = it.Value
			}
			if q.Len() != len(queued) {
				t.Fatalf("%d queued, want %d", q.Len(), len(queued))
			}
		}
	})
}

// Guards against a queue whose memory, and time for each piece of work, grow with all the
// workspaces that ever used it. A queue that is never long does not move the virtual time.
func TestQueueForgetsIdleWorkspaces(t *testing.T) {
	q := NewQueue[int]()
	for i := range 32_000 {
		q.Push(fmt.Sprint("w", i), 1, 1, i)
		q.Pop()
		if len(q.finishTags) > maxFinishTags {
			t.Fatalf("%d tags are kept after %d workspaces", len(q.finishTags), i+1)
		}
	}
}
