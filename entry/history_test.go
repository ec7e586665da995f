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
	known bool // false when the outcome is not known
	none  bool // no such job
	state string
	done  uint32
}

// jobModel is the state that callers may rely on. Items complete by themselves,
// so the number of done items may have grown since the last call.
type jobModel struct {
	exists bool
	ended  string // empty while the job runs
	done   uint32
}

// stepJob returns the states that a call may lead to, none when what its caller
// was told is impossible.
func stepJob(state, input, output any) []any {
	s, in, out := state.(jobModel), input.(jobInput), output.(jobOutput)
	if !out.known {
		return unknownStep(s, in)
	}
	if out.none {
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
	if s.ended != "" && (out.state != s.ended || out.done != s.done) {
		return nil
	}
	s.done = out.done
	switch out.state {
	case string(batch.JobCompleted), string(batch.JobCancelled):
		s.ended = out.state
	}
	return []any{s}
}

func unknownStep(s jobModel, in jobInput) []any {
	switch {
	case in.kind == "submit" && !s.exists:
		return []any{s, jobModel{exists: true}}
	case in.kind == "cancel" && s.exists && s.ended == "":
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
	mu   sync.Mutex
	tick int64
	ops  []porcupine.Operation
}

func (h *history) now() int64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.tick++
	return h.tick
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

func (w *world) jobCall(j *worldJob, at place, kind string, through int) jobOutput {
	e := w.some(through)
	if e == nil {
		return jobOutput{}
	}
	ctx, cancel := context.WithTimeout(w.ctx, 3*time.Second)
	defer cancel()
	var info *wire.JobInfo
	var err error
	switch kind {
	case "submit":
		copied := worldJob{tag: j.tag, items: j.items, poison: -1, killer: -1}
		if err = w.submit(&copied, through, 3*time.Second); err == nil {
			info, err = e.job(ctx, worldWorkspace, copied.at)
		}
	case "read":
		info, err = e.job(ctx, worldWorkspace, at)
	case "cancel":
		var reply *wire.PeerReply
		reply, err = e.Ask(ctx, &wire.PeerRequest{Partition: at.partition, Kind: &wire.PeerRequest_CancelJob{CancelJob: &wire.CancelJob{Workspace: worldWorkspace.Name, Job: at.id}}})
		info = reply.GetJob()
	}
	if apierr.Is(err, apierr.CodeNotFound) && kind != "submit" {
		return jobOutput{known: true, none: true}
	}
	if err != nil || info.GetState() == "cancelling" {
		return jobOutput{}
	}
	return jobOutput{known: true, state: info.GetState(), done: info.GetSucceeded() + info.GetFailed()}
}

// placeOf is where a job without a key ends up, known before it is sent.
func (w *world) placeOf(j *worldJob) place {
	e := w.some(0)
	file := Digest16([]byte("file"), []byte(worldWorkspace.Name), j.file())
	digest := Digest16(file, []byte("/v1/completions"), []byte(defaultWindow.String()), []byte("false"))
	return place{partition: e.partitionOf(file), id: Digest16([]byte("job"), []byte(worldWorkspace.Name), digest)}
}

var historyKinds = []string{"freeze entry", "resume entry", "kill entry", "restart entry", "lose answers", "drop appends", "silence", "crash engine"}

// Symptom: a caller sees a job that comes and goes, counts that shrink, or items
// that complete after a cancel. Sequence: callers submit, read and cancel one job
// through both entries at once while hosts and the log fail. Cause guarded
// against: answers that are not what the log says, such as an owner's that was
// superseded without knowing.
func TestJobHistoriesAreLinearizable(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		steps := drawSteps(rt, historyKinds, 1, 10)
		kinds := rapid.SliceOfN(rapid.SampledFrom([]string{"submit", "read", "read", "read", "cancel"}), 4, 14).Draw(rt, "calls")
		if err := runHistory(t, steps, kinds); err != nil {
			rt.Fatalf("%v\n%s", err, storyText(steps))
		}
	})
}

func runHistory(t *testing.T, steps []step, kinds []string) error {
	var failure error
	bubble(t, func(*testing.T) {
		w := newWorld(worldSettings{entries: 2, agents: 2, partitions: 2, snapshotEvery: 40, hostLag: 300 * time.Millisecond})
		defer w.close()
		if failure = await(time.Minute, func() error { return w.configure(w.ctx) }); failure != nil {
			return
		}
		time.Sleep(2 * time.Second)
		j := &worldJob{tag: "history", items: 30, poison: -1, killer: -1}
		at := w.placeOf(j)
		h := &history{}
		var wg sync.WaitGroup
		const clients = 3
		for c := range clients {
			wg.Go(func() {
				for n := c; n < len(kinds); n += clients {
					h.run(c, jobInput{kind: kinds[n]}, func() jobOutput { return w.jobCall(j, at, kinds[n], c) })
					time.Sleep(100 * time.Millisecond)
				}
			})
		}
		for _, s := range steps {
			time.Sleep(s.After)
			var none []*worldJob
			w.play(s, &none)
		}
		w.heal()
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
func TestReadThroughAResumedOwner(t *testing.T) {
	bubble(t, func(t *testing.T) {
		w := newWorld(worldSettings{entries: 2, agents: 1, partitions: 2, snapshotEvery: 100})
		defer w.close()
		if err := await(time.Minute, func() error { return w.configure(w.ctx) }); err != nil {
			t.Fatal(err)
		}
		j := &worldJob{tag: "resumed", items: 3000, poison: -1, killer: -1}
		if err := await(time.Minute, func() error { return w.submit(j, 0, 10*time.Second) }); err != nil {
			t.Fatal(err)
		}
		name := w.some(0).manager.Proposed(j.at.partition)
		owner := w.entries[name]
		owner.host.pause()
		w.hosts.Remove(name)
		if err := await(time.Minute, func() error {
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
			info, err := owner.job(ctx, worldWorkspace, j.at)
			cancel()
			if err == nil && info.GetState() != "cancelled" {
				t.Fatalf("after the cancel the resumed owner says %s", info.GetState())
			}
			time.Sleep(10 * time.Millisecond)
		}
	})
}
