package entry

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"pumiceford/apierr"
	"pumiceford/config"
	"pumiceford/ledger"
	"pumiceford/standin"
	"pumiceford/wire"
)

// testJob is what the oracle knows of a job: only what was told to its caller.
type testJob struct {
	name          string
	items         int
	poisonIndex   int // index of an item that can never be done, -1 for none
	crashIndex    int // index of an item that kills its engine, -1 for none
	nonIdempotent bool
	key           string
	ref           objectRef
	accepted      bool
	cancelled     bool // "cancelled" was told
	doneAtCancel  uint32
	runsAtCancel  map[string]int
}

const testMaxTokens = 6

var testWorkspace = config.Workspace{Name: "boutiques", Share: 0.5}

func (j *testJob) prompt(n int) string {
	p := fmt.Sprintf("measurement note %s %d", j.name, n)
	if n == j.poisonIndex {
		p += standin.MarkPoison
	}
	if n == j.crashIndex {
		p += standin.MarkKill
	}
	return p
}

func (j *testJob) file() []byte {
	var b bytes.Buffer
	for n := range j.items {
		line, _ := json.Marshal(map[string]any{
			"custom_id": fmt.Sprintf("%s-%d", j.name, n),
			"body":      map[string]any{"model": testModel, "prompt": j.prompt(n), "max_tokens": testMaxTokens},
		})
		b.Write(line)
		b.WriteByte('\n')
	}
	return b.Bytes()
}

// submit sends the job through an entry, as often as needed, and returns whether
// it was accepted within the bound.
func (w *testCluster) submit(j *testJob, through int, bound time.Duration) error {
	ctx, cancel := context.WithTimeout(w.ctx, bound)
	defer cancel()
	e := w.runningEntry(through)
	if e == nil {
		return errPipeDown
	}
	at, err := e.storeFile(ctx, testWorkspace.Name, j.name, j.file())
	if err != nil {
		return err
	}
	req := &Request{Key: j.key, NonIdempotent: j.nonIdempotent}
	body := submitBody{Endpoint: "/v1/completions"}
	_, job, err := e.submit(ctx, testWorkspace, req, body, defaultWindow, at)
	if err != nil {
		return err
	}
	if j.accepted && job.String() != j.ref.String() {
		return fmt.Errorf("resend of %s became job %s, was %s", j.name, job, j.ref)
	}
	j.ref = job
	j.accepted = true
	return nil
}

func (w *testCluster) cancelJob(j *testJob, through int, bound time.Duration) {
	ctx, cancel := context.WithTimeout(w.ctx, bound)
	defer cancel()
	e := w.runningEntry(through)
	if e == nil || !j.accepted {
		return
	}
	reply, err := e.CallOwner(ctx, &wire.PeerRequest{Partition: j.ref.partition, Kind: &wire.PeerRequest_CancelJob{CancelJob: &wire.CancelJob{
		Workspace: testWorkspace.Name, Job: j.ref.id,
	}}})
	if err != nil || reply.GetJob().GetState() != "cancelled" || j.cancelled {
		return
	}
	j.cancelled = true
	j.doneAtCancel = reply.GetJob().GetSucceeded() + reply.GetJob().GetFailed()
	j.runsAtCancel = w.countItemRuns(j)
}

// countItemRuns counts engine executions by item of a job.
func (w *testCluster) countItemRuns(j *testJob) map[string]int {
	out := make(map[string]int)
	prefix := fmt.Sprintf("b%d-%x-", j.ref.partition, j.ref.id)
	for _, e := range w.engines {
		for id, n := range e.AllRuns() {
			if strings.HasPrefix(id, prefix) {
				out[id] += n
			}
		}
	}
	return out
}

// configureModel puts the model in force.
func (w *testCluster) configureModel(ctx context.Context) error {
	op := config.Operator{Name: "dev", Scope: config.ScopeFleet}
	e := w.runningEntry(0)
	v, err := e.follower.Propose(ctx, op, "", []config.Intent{{Kind: config.SetModel, Model: testModel, Version: "v1"}})
	if err != nil {
		return err
	}
	id, err := config.ParsePlanID(v.ID)
	if err != nil {
		return err
	}
	_, err = e.follower.Confirm(ctx, op, id, v.Digest)
	return err
}

// eventually repeats try in virtual time until it succeeds or bound has passed.
func eventually(bound time.Duration, try func() error) error {
	until := time.Now().Add(bound)
	for {
		err := try()
		if err == nil || time.Now().After(until) {
			return err
		}
		time.Sleep(100 * time.Millisecond)
	}
}

// checkFinalState compares a job with what the oracle knows, after all faults ended.
func (w *testCluster) checkFinalState(j *testJob) error {
	if !j.accepted {
		return nil
	}
	var info *wire.JobInfo
	err := eventually(2*time.Minute, func() error {
		ctx, cancel := context.WithTimeout(w.ctx, 30*time.Second)
		defer cancel()
		got, err := w.runningEntry(0).job(ctx, testWorkspace, j.ref)
		if err != nil {
			return err
		}
		if got.GetState() != "completed" && got.GetState() != "cancelled" {
			return fmt.Errorf("job %s is %s: %d succeeded and %d failed of %d", j.name, got.GetState(), got.GetSucceeded(), got.GetFailed(), got.GetTotal())
		}
		info = got
		return nil
	})
	if err != nil {
		return err
	}
	return w.checkItems(j, info)
}

func (w *testCluster) checkItems(j *testJob, info *wire.JobInfo) error {
	if int(info.GetTotal()) != j.items {
		return fmt.Errorf("job %s has %d items, sent %d", j.name, info.GetTotal(), j.items)
	}
	if j.cancelled {
		if done := info.GetSucceeded() + info.GetFailed(); info.GetState() != "cancelled" || done != j.doneAtCancel {
			return fmt.Errorf("job %s: %d items completed after the cancel was told", j.name, done-j.doneAtCancel)
		}
		for id, n := range w.countItemRuns(j) {
			if n != j.runsAtCancel[id] {
				return fmt.Errorf("job %s: item %s started after the cancel was told", j.name, id)
			}
		}
	}
	if j.nonIdempotent {
		for id, n := range w.countItemRuns(j) {
			if n > 1 {
				return fmt.Errorf("non-idempotent item %s ran %d times", id, n)
			}
		}
	}
	return w.checkResults(j, info)
}

func (w *testCluster) checkResults(j *testJob, info *wire.JobInfo) error {
	for n := range w.settings.entries {
		ctx, cancel := context.WithTimeout(w.ctx, time.Minute)
		reply, err := w.runningEntry(n).CallOwner(ctx, &wire.PeerRequest{Partition: j.ref.partition, Kind: &wire.PeerRequest_ReadResults{ReadResults: &wire.ReadResults{
			Workspace: testWorkspace.Name, Job: j.ref.id,
		}}})
		cancel()
		if err != nil {
			return fmt.Errorf("results of %s: %w", j.name, err)
		}
		if err := j.checkLines(reply.GetResults().GetLines(), info); err != nil {
			return err
		}
	}
	return nil
}

func (j *testJob) checkLines(lines []*wire.ResultLine, info *wire.JobInfo) error {
	if len(lines) != j.items {
		return fmt.Errorf("job %s: %d results of %d items", j.name, len(lines), j.items)
	}
	for n, l := range lines {
		if l.GetCustomId() != fmt.Sprintf("%s-%d", j.name, n) {
			return fmt.Errorf("job %s: result %d is of %s", j.name, n, l.GetCustomId())
		}
		if err := j.checkLine(n, l, info); err != nil {
			return err
		}
	}
	return nil
}

func (j *testJob) checkLine(n int, l *wire.ResultLine, info *wire.JobInfo) error {
	switch l.GetState() {
	case "succeeded":
		if want := standin.AnswerText(j.prompt(n), testMaxTokens); string(l.GetText()) != want {
			return fmt.Errorf("job %s item %d: got %q, want %q", j.name, n, l.GetText(), want)
		}
		if n == j.poisonIndex || n == j.crashIndex {
			return fmt.Errorf("job %s item %d can never be done and succeeded", j.name, n)
		}
	case "failed":
		if l.GetReason() == "" {
			return fmt.Errorf("job %s item %d failed without a reason", j.name, n)
		}
		unknown := j.nonIdempotent && l.GetReason() != ledger.ReasonTargetLost
		if n != j.poisonIndex && n != j.crashIndex && !unknown {
			return fmt.Errorf("job %s item %d failed: %s", j.name, n, l.GetReason())
		}
	case "cancelled":
		if info.GetState() != "cancelled" {
			return fmt.Errorf("job %s item %d is cancelled in a job that is %s", j.name, n, info.GetState())
		}
	default:
		return fmt.Errorf("job %s item %d is %s", j.name, n, l.GetState())
	}
	return nil
}

// step is one drawn event with its arguments.
type step struct {
	Kind  string
	A, B  int
	After time.Duration
}

var stepKinds = []string{
	"submit", "submit", "resend", "cancel",
	"kill entry", "restart entry", "pause entry", "resume entry", "freeze entry", "freeze entry",
	"kill agent", "restart agent", "crash engine", "silence",
	"log down", "log up", "lose answers", "drop appends", "late copies",
}

// drawDelay draws short delays, within which several things happen to one
// request, as often as long ones, within which the system reacts.
func drawDelay(t *rapid.T) time.Duration {
	most := rapid.SampledFrom([]int{5, 60, 1500}).Draw(t, "delay scale")
	return time.Duration(rapid.IntRange(1, most).Draw(t, "after ms")) * time.Millisecond
}

// drawSteps draws up to most steps of the given kinds on hosts 0 to last.
func drawSteps(t *rapid.T, kinds []string, last, most int) []step {
	return rapid.SliceOfN(rapid.Custom(func(t *rapid.T) step {
		return step{
			Kind:  rapid.SampledFrom(kinds).Draw(t, "kind"),
			A:     rapid.IntRange(0, last).Draw(t, "a"),
			B:     rapid.IntRange(0, 9).Draw(t, "b"),
			After: drawDelay(t),
		}
	}), 1, most).Draw(t, "steps")
}

// applyStep carries out one step. Submits and cancels run beside the faults.
func (w *testCluster) applyStep(s step, jobs *[]*testJob) {
	switch s.Kind {
	case "submit":
		j := &testJob{name: fmt.Sprintf("job%d", len(*jobs)), items: 3 + 4*s.B, poisonIndex: -1, crashIndex: -1}
		switch s.B % 4 {
		case 0:
			j.poisonIndex = 1
		case 1:
			j.crashIndex = 2
		case 2:
			j.nonIdempotent = true
		}
		if s.A == 0 {
			j.key = "key-" + j.name
		}
		*jobs = append(*jobs, j)
		_ = w.submit(j, s.A, 3*time.Second)
	case "resend":
		if len(*jobs) > 0 {
			_ = w.submit((*jobs)[s.B%len(*jobs)], s.A, 3*time.Second)
		}
	case "cancel":
		if len(*jobs) > 0 {
			w.cancelJob((*jobs)[s.B%len(*jobs)], s.A, 3*time.Second)
		}
	case "kill entry":
		if len(w.entries) > 1 {
			w.killEntry(entryName(s.A))
		}
	case "restart entry":
		if w.entries[entryName(s.A)] == nil && s.A < w.settings.entries {
			w.startEntry(entryName(s.A))
		}
	case "pause entry":
		if e := w.entries[entryName(s.A)]; e != nil && w.unpausedEntries() > 1 {
			e.host.pause()
		}
	case "resume entry":
		if e := w.entries[entryName(s.A)]; e != nil {
			e.host.resume()
			w.restoreToHostList(entryName(s.A))
		}
	case "freeze entry":
		// A paused host that the list drops, as if it were dead.
		if e := w.entries[entryName(s.A)]; e != nil && w.unpausedEntries() > 1 {
			e.host.pause()
			w.hosts.Remove(entryName(s.A))
		}
	default:
		w.applyBackendStep(s)
	}
}

func (w *testCluster) applyBackendStep(s step) {
	name := agentName(s.A % w.settings.agents)
	switch s.Kind {
	case "kill agent":
		w.killAgent(name)
	case "restart agent":
		if w.agents[name] == nil {
			w.startAgent(name)
		}
	case "crash engine":
		w.engines[name].Crash()
	case "silence":
		w.net.silenceConns(entryName(s.A%w.settings.entries), agentName(s.B%w.settings.agents))
	case "log down":
		w.log.SetDown(true)
	case "log up":
		w.log.SetDown(false)
	case "lose answers":
		w.log.LoseAnswers(1 + s.B)
	case "drop appends":
		w.log.DropAppends(1 + s.B)
	case "late copies":
		w.log.SetFaultRates(0.2, 0.5)
	}
}

func (w *testCluster) unpausedEntries() int {
	n := 0
	for _, e := range w.entries {
		if !e.host.isPaused() {
			n++
		}
	}
	return n
}

// clearFaults ends all faults.
func (w *testCluster) clearFaults() {
	w.log.SetDown(false)
	w.log.LoseAnswers(0)
	w.log.DropAppends(0)
	w.log.SetFaultRates(0, 0)
	w.net.resumeAll()
	for n := range w.settings.entries {
		if w.entries[entryName(n)] == nil {
			w.startEntry(entryName(n))
			continue
		}
		w.restoreToHostList(entryName(n))
	}
	for n := range w.settings.agents {
		if w.agents[agentName(n)] == nil {
			w.startAgent(agentName(n))
		}
	}
}

// restoreToHostList puts a living entry back on the host list.
func (w *testCluster) restoreToHostList(name string) {
	w.hosts.Put(hostOf(name))
}

// runLedgerScenario plays steps in virtual time and compares the end with the oracle.
func runLedgerScenario(t *testing.T, steps []step, trimmed bool) error {
	var failure error
	runInBubble(t, func(*testing.T) {
		set := clusterSettings{entries: 2, agents: 2, partitions: 2, snapshotEvery: 40, hostLag: 300 * time.Millisecond}
		if trimmed {
			set.log.RetainRecords = 400
		}
		w := newTestCluster(set)
		defer w.close()
		failure = eventually(time.Minute, func() error { return w.configureModel(w.ctx) })
		if failure != nil {
			return
		}
		var jobs []*testJob
		for _, s := range steps {
			time.Sleep(s.After)
			w.applyStep(s, &jobs)
		}
		w.clearFaults()
		for n, j := range jobs {
			// Callers resend in the end; an accepted job must be met again, and
			// any other accepted now.
			if failure = eventually(2*time.Minute, func() error { return w.submit(j, n, 10*time.Second) }); failure != nil {
				failure = fmt.Errorf("resend of %s: %w", j.name, failure)
				return
			}
		}
		for _, j := range jobs {
			if failure = w.checkFinalState(j); failure != nil {
				return
			}
		}
	})
	return failure
}

// Symptom of every fault caught here: an accepted item that never completes,
// completes twice or with another's result, runs on after its cancel was told, or
// runs twice although it may not. The sequence is drawn: crashes, pauses past the
// lease, takeover races, lost answers, late copies, outages, resends, cancels and
// killers in any order.
func TestBatchJobsUnderRandomFaults(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		steps := drawSteps(rt, stepKinds, 2, 25)
		if err := runLedgerScenario(t, steps, false); err != nil {
			rt.Fatalf("%v\n%s", err, formatSteps(steps))
		}
	})
}

// Symptom: a job's items or results are gone although the log kept them long
// enough for an owner to act. Sequence: the log keeps few records, so that
// everything old is trimmed while jobs run and results are read; owners are lost
// in between. Cause guarded against: snapshots and needed records that are not
// carried forward before retention takes them.
func TestJobsSurviveLogRetention(t *testing.T) {
	runInBubble(t, func(t *testing.T) {
		w := newTestCluster(clusterSettings{
			entries: 2, agents: 2, partitions: 1, snapshotEvery: 30,
			log: standin.LogSettings{Retention: 40 * time.Second}, retention: 40 * time.Second,
		})
		defer w.close()
		if err := eventually(time.Minute, func() error { return w.configureModel(w.ctx) }); err != nil {
			t.Fatal(err)
		}
		var jobs []*testJob
		for n := range 12 {
			j := &testJob{name: fmt.Sprintf("kept%d", n), items: 20, poisonIndex: -1, crashIndex: -1}
			if err := eventually(time.Minute, func() error { return w.submit(j, n, 5*time.Second) }); err != nil {
				t.Fatal(err)
			}
			jobs = append(jobs, j)
			time.Sleep(15 * time.Second)
			if n%4 == 3 {
				w.killEntry(entryName(n / 4 % 2))
				time.Sleep(5 * time.Second)
				w.startEntry(entryName(n / 4 % 2))
			}
		}
		for _, j := range jobs {
			if err := w.checkFinalState(j); err != nil {
				t.Fatal(err)
			}
		}
	})
}

func formatSteps(steps []step) string {
	var b strings.Builder
	for _, s := range steps {
		fmt.Fprintf(&b, "  %6s  %s %d %d\n", s.After, s.Kind, s.A, s.B)
	}
	return b.String()
}

// Symptom: a caller is told that a job was accepted, and it is gone. Sequence:
// the append takes effect, its answer is lost, and the owner dies. Cause guarded
// against: telling before the record was read back.
func TestSubmitFailsWhileLogIsDown(t *testing.T) {
	runInBubble(t, func(t *testing.T) {
		w := newTestCluster(clusterSettings{entries: 2, agents: 1, partitions: 1, snapshotEvery: 40})
		defer w.close()
		if err := eventually(time.Minute, func() error { return w.configureModel(w.ctx) }); err != nil {
			t.Fatal(err)
		}
		j := &testJob{name: "refused", items: 3, poisonIndex: -1, crashIndex: -1}
		if err := eventually(time.Minute, func() error { return w.submit(j, 0, 3*time.Second) }); err != nil {
			t.Fatal(err)
		}
		w.log.SetDown(true)
		time.Sleep(5 * time.Second)
		late := &testJob{name: "late", items: 3, poisonIndex: -1, crashIndex: -1}
		err := w.submit(late, 0, 3*time.Second)
		if fail := apierr.From(err); err == nil || fail.Ran != wire.Ran_RAN_NO || fail.Code != apierr.CodeLogDown {
			t.Fatalf("submit with the log down: %v", err)
		}
		w.log.SetDown(false)
		if err := w.checkFinalState(j); err != nil {
			t.Fatal(err)
		}
	})
}
