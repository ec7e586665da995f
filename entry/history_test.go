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

// jobInput is one call about a job.
type jobInput struct {
	kind string // "submit", "read" or "cancel"
}

// jobOutput is what its caller was told.
type jobOutput struct {
	known    bool // false when the outcome is not known
	notFound bool // no such job
	state    string
	done     uint32
}

// jobModel is the state that callers may rely on. Items complete by themselves,
// so the number of done items may have grown since the last call.
type jobModel struct {
	exists     bool
	finalState string // empty while the job runs
	done       uint32
}

// stepJob returns the states that a call may lead to, none when what its caller
// was told is impossible.
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

func stepUnknownOutcome(s jobModel, in jobInput) []any {
	switch {
	case in.kind == "submit" && !s.exists:
		return []any{s, jobModel{exists: true}}
	case in.kind == "cancel" && s.exists && s.finalState == "":
		// It may have been cancelled with any number of items done; the next
		// call tells which. A model that is still open allows for that.
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

// history gathers operations of concurrent callers.
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
	began := h.now()
	out := call()
	ended := h.now()
	if !out.known {
		ended = math.MaxInt64
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.ops = append(h.ops, porcupine.Operation{ClientId: client, Input: in, Call: began, Output: out, Return: ended})
}

func (w *testCluster) callJob(j *testJob, at objectRef, kind string, through int) jobOutput {
	e := w.runningEntry(through)
	if e == nil {
		return jobOutput{}
	}
	ctx, cancel := context.WithTimeout(w.ctx, 3*time.Second)
	defer cancel()
	var info *wire.JobInfo
	var err error
	switch kind {
	case "submit":
		copied := testJob{name: j.name, items: j.items, poisonIndex: -1, crashIndex: -1}
		if err = w.submit(&copied, through, 3*time.Second); err == nil {
			info, err = e.job(ctx, testWorkspace, copied.ref)
		}
	case "read":
		info, err = e.job(ctx, testWorkspace, at)
	case "cancel":
		var reply *wire.PeerReply
		reply, err = e.CallOwner(ctx, &wire.PeerRequest{Partition: at.partition, Kind: &wire.PeerRequest_CancelJob{CancelJob: &wire.CancelJob{Workspace: testWorkspace.Name, Job: at.id}}})
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

// jobRefOf is where a job without a key ends up, known before it is sent.
func (w *testCluster) jobRefOf(j *testJob) objectRef {
	e := w.runningEntry(0)
	file := Digest16([]byte("file"), []byte(testWorkspace.Name), j.file())
	digest := Digest16(file, []byte("/v1/completions"), []byte(defaultWindow.String()), []byte("false"))
	return objectRef{partition: e.partitionOf(file), id: Digest16([]byte("job"), []byte(testWorkspace.Name), digest)}
}

var historyStepKinds = []string{"freeze entry", "resume entry", "kill entry", "restart entry", "lose answers", "drop appends", "silence", "crash engine"}

// Symptom: a caller sees a job that comes and goes, counts that shrink, or items
// that complete after a cancel. Sequence: callers submit, read and cancel one job
// through both entries at once while hosts and the log fail. Cause guarded
// against: answers that are not what the log says, such as an owner's that was
// superseded without knowing.
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
		w := newTestCluster(clusterSettings{entries: 2, agents: 2, partitions: 2, snapshotEvery: 40, hostLag: 300 * time.Millisecond})
		defer w.close()
		if failure = eventually(time.Minute, func() error { return w.configureModel(w.ctx) }); failure != nil {
			return
		}
		time.Sleep(2 * time.Second)
		j := &testJob{name: "history", items: 30, poisonIndex: -1, crashIndex: -1}
		at := w.jobRefOf(j)
		h := &history{}
		var wg sync.WaitGroup
		const clients = 3
		for c := range clients {
			wg.Go(func() {
				for n := c; n < len(kinds); n += clients {
					h.run(c, jobInput{kind: kinds[n]}, func() jobOutput { return w.callJob(j, at, kinds[n], c) })
					time.Sleep(100 * time.Millisecond)
				}
			})
		}
		for _, s := range steps {
			time.Sleep(s.After)
			var none []*testJob
			w.applyStep(s, &none)
		}
		w.clearFaults()
		wg.Wait()
		if !porcupine.CheckOperations(jobHistoryModel(), h.ops) {
			failure = fmt.Errorf("history is not linearizable: %+v", h.ops)
		}
	})
	return failure
}

// Symptom: a caller who was told "cancelled" reads "in_progress" afterwards.
// Sequence: the owner is paused, the other entry takes over and cancels, the
// first one resumes and is asked at once. Cause guarded against: answers from
// memory of an owner that has not read the log since its pause.
func TestResumedOwnerServesNoStaleState(t *testing.T) {
	runInBubble(t, func(t *testing.T) {
		w := newTestCluster(clusterSettings{entries: 2, agents: 1, partitions: 2, snapshotEvery: 100})
		defer w.close()
		if err := eventually(time.Minute, func() error { return w.configureModel(w.ctx) }); err != nil {
			t.Fatal(err)
		}
		j := &testJob{name: "resumed", items: 3000, poisonIndex: -1, crashIndex: -1}
		if err := eventually(time.Minute, func() error { return w.submit(j, 0, 10*time.Second) }); err != nil {
			t.Fatal(err)
		}
		name := w.runningEntry(0).manager.Proposed(j.ref.partition)
		owner := w.entries[name]
		owner.host.pause()
		w.hosts.Remove(name)
		if err := eventually(time.Minute, func() error {
			w.cancelJob(j, 0, 5*time.Second)
			if !j.cancelled {
				return errPipeDown
			}
			return nil
		}); err != nil {
			t.Fatal("the job was not cancelled through the other entry")
		}
		owner.host.resume()
		for range 50 {
			ctx, cancel := context.WithTimeout(w.ctx, 200*time.Millisecond)
			info, err := owner.job(ctx, testWorkspace, j.ref)
			cancel()
			if err == nil && info.GetState() != "cancelled" {
				t.Fatalf("after the cancel the resumed owner says %s", info.GetState())
			}
			time.Sleep(10 * time.Millisecond)
		}
	})
}
