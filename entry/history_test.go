package entry

import (
	"context"
	"fmt"
	"math"
	"sync"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	"pgregory.net/rapid"

	"pumiceford/apierr"
	"pumiceford/batch"
	"pumiceford/wire"
)

// jobInput is one call on a job.
type jobInput struct {
	kind string // "submit", "read" or "cancel"
}

// jobOutput is the response to the caller.
type jobOutput struct {
	known    bool // false if the outcome is unknown
	notFound bool // no such job
	state    string
	done     uint32
}

// jobModel is the state of a job that callers may rely on. Items complete on
// their own, so the number of done items may have grown since the last call.
type jobModel struct {
	exists     bool
	finalState string // empty while the job runs
	done       uint32
}

// stepJob returns the possible states after a call, and none if the response is
// impossible.
func stepJob(state, input, output any) []any {
	s, in, out := state.(jobModel), input.(jobInput), output.(jobOutput)
	if !out.known {
		return stepUnknownOutcome(s, in)
	}
	if out.notFound {
		if s.exists {
			return nil
		}
		return []any{s}
	}
	if in.kind == "submit" {
		s.exists = true
	}
	if !s.exists || out.done < s.done {
		return nil
	}
	if s.finalState != "" && (out.state != s.finalState || out.done != s.done) {
		return nil
	}
	s.done = out.done
	switch out.state {
	case string(batch.JobCompleted), string(batch.JobCancelled):
		s.finalState = out.state
	}
	return []any{s}
}

// stepUnknownOutcome returns the possible states after a call whose outcome is
// unknown.
func stepUnknownOutcome(s jobModel, in jobInput) []any {
	switch {
	case in.kind == "submit" && !s.exists:
		return []any{s, jobModel{exists: true}}
	case in.kind == "cancel" && s.exists && s.finalState == "":
		// The job may have been cancelled with any number of items done, which the
		// next call reveals. The state of a running job covers that case.
		return []any{s}
	}
	return []any{s}
}

func jobHistoryModel() porcupine.Model {
	nd := porcupine.NondeterministicModel{
		Init:  func() []any { return []any{jobModel{}} },
		Step:  stepJob,
		Equal: func(a, b any) bool { return a == b },
	}
	return nd.ToModel()
}

// history records the operations of concurrent callers.
type history struct {
	mu    sync.Mutex
	clock int64
	ops   []porcupine.Operation
}

func (h *history) now() int64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.clock++
	return h.clock
}

func (h *history) run(client int, in jobInput, call func() jobOutput) {
	calledAt := h.now()
	out := call()
	returnedAt := h.now()
	if !out.known {
		returnedAt = math.MaxInt64
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.ops = append(h.ops, porcupine.Operation{ClientId: client, Input: in, Call: calledAt, Output: out, Return: returnedAt})
}

func (tc *testCluster) callJob(j *testJob, ref objectRef, kind string, via int) jobOutput {
	e := tc.runningEntry(via)
	if e == nil {
		return jobOutput{}
	}
	ctx, cancel := context.WithTimeout(tc.ctx, 3*time.Second)
	defer cancel()
	var info *wire.JobInfo
	var err error
	switch kind {
	case "submit":
		copied := testJob{name: j.name, items: j.items, poisonIndex: -1, crashIndex: -1}
		if err = tc.submit(&copied, via, 3*time.Second); err == nil {
			info, err = e.job(ctx, testWorkspace, copied.ref)
		}
	case "read":
		info, err = e.job(ctx, testWorkspace, ref)
	case "cancel":
		var reply *wire.PeerReply
		reply, err = e.CallOwner(ctx, &wire.PeerRequest{Partition: ref.partition, Kind: &wire.PeerRequest_CancelJob{CancelJob: &wire.CancelJob{Workspace: testWorkspace.Name, Job: ref.id}}})
		info = reply.GetJob()
	}
	if apierr.Is(err, apierr.CodeNotFound) && kind != "submit" {
		return jobOutput{known: true, notFound: true}
	}
	if err != nil || info.GetState() == "cancelling" {
		return jobOutput{}
	}
	return jobOutput{known: true, state: info.GetState(), done: info.GetSucceeded() + info.GetFailed()}
}

// jobRefOf returns the reference that a job without a key will get, before it is
// sent.
func (tc *testCluster) jobRefOf(j *testJob) objectRef {
	e := tc.runningEntry(0)
	file := Digest16([]byte("file"), []byte(testWorkspace.Name), j.file())
	digest := Digest16(file, []byte("/v1/completions"), []byte(defaultWindow.String()), []byte("false"))
	return objectRef{partition: e.partitionOf(file), id: Digest16([]byte("job"), []byte(testWorkspace.Name), digest)}
}

var historyStepKinds = []string{"pause and delist entry", "resume entry", "kill entry", "restart entry", "lose log responses", "drop appends", "silence", "crash engine"}

// Callers submit, read and cancel one job through both entries concurrently while
// hosts and the log fail. Guards against responses that disagree with the log,
// such as those of an owner that has been superseded without noticing: a job that
// appears and disappears, counts that decrease, or items that complete after a
// cancel.
func TestJobHistoriesAreLinearizable(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		steps := drawSteps(rt, historyStepKinds, 1, 10)
		kinds := rapid.SliceOfN(rapid.SampledFrom([]string{"submit", "read", "read", "read", "cancel"}), 4, 14).Draw(rt, "calls")
		if err := runHistoryScenario(t, steps, kinds); err != nil {
			rt.Fatalf("%v\n%s", err, formatSteps(steps))
		}
	})
}

func runHistoryScenario(t *testing.T, steps []step, kinds []string) error {
	var failure error
	runInBubble(t, func(*testing.T) {
		tc := newTestCluster(clusterSettings{entries: 2, agents: 2, partitions: 2, snapshotEvery: 40, hostLag: 300 * time.Millisecond})
		defer tc.close()
		if failure = eventually(time.Minute, func() error { return tc.configureModel(tc.ctx) }); failure != nil {
			return
		}
		time.Sleep(2 * time.Second)
		j := &testJob{name: "history", items: 30, poisonIndex: -1, crashIndex: -1}
		ref := tc.jobRefOf(j)
		h := &history{}
		var wg sync.WaitGroup
		const clients = 3
		for c := range clients {
			wg.Go(func() {
				for n := c; n < len(kinds); n += clients {
					h.run(c, jobInput{kind: kinds[n]}, func() jobOutput { return tc.callJob(j, ref, kinds[n], c) })
					time.Sleep(100 * time.Millisecond)
				}
			})
		}
		for _, s := range steps {
			time.Sleep(s.After)
			var none []*testJob
			tc.applyStep(s, &none)
		}
		tc.clearFaults()
		wg.Wait()
		if !porcupine.CheckOperations(jobHistoryModel(), h.ops) {
			failure = fmt.Errorf("history is not linearizable: %+v", h.ops)
		}
	})
	return failure
}

// Guards against an owner that responds from memory without having read the log
// since it was paused. The owner is paused, the other entry takes over and
// cancels the job, and the first owner resumes and is read at once. A caller that
// received "cancelled" would then read "in_progress".
func TestResumedOwnerServesNoStaleState(t *testing.T) {
	runInBubble(t, func(t *testing.T) {
		tc := newTestCluster(clusterSettings{entries: 2, agents: 1, partitions: 2, snapshotEvery: 100})
		defer tc.close()
		if err := eventually(time.Minute, func() error { return tc.configureModel(tc.ctx) }); err != nil {
			t.Fatal(err)
		}
		j := &testJob{name: "resumed", items: 3000, poisonIndex: -1, crashIndex: -1}
		if err := eventually(time.Minute, func() error { return tc.submit(j, 0, 10*time.Second) }); err != nil {
			t.Fatal(err)
		}
		name := tc.runningEntry(0).manager.Proposed(j.ref.partition)
		owner := tc.entries[name]
		owner.host.pause()
		tc.hosts.Remove(name)
		if err := eventually(time.Minute, func() error {
			tc.cancelJob(j, 0, 5*time.Second)
			if !j.cancelled {
				return errPipeDown
			}
			return nil
		}); err != nil {
			t.Fatal("the job was not cancelled through the other entry")
		}
		owner.host.resume()
		for range 50 {
			ctx, cancel := context.WithTimeout(tc.ctx, 200*time.Millisecond)
			info, err := owner.job(ctx, testWorkspace, j.ref)
			cancel()
			if err == nil && info.GetState() != "cancelled" {
				t.Fatalf("state at the resumed owner after the cancel: got %s, want cancelled", info.GetState())
			}
			time.Sleep(10 * time.Millisecond)
		}
	})
}
