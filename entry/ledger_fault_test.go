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

// testJob is a job with the state that the checks expect. The expectations come only from
// the responses that its caller received.
type testJob struct {
	name          string
	items         int
	poisonIndex   int // index of an item that always fails, -1 for none
	crashIndex    int // index of an item that crashes its engine, -1 for none
	nonIdempotent bool
	key           string
	ref           objectRef
	accepted      bool
	cancelled     bool // the caller received "cancelled"
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

// submit sends the job through entry via and returns an error if it is not
// accepted within timeout, or if a retry creates another job.
func (tc *testCluster) submit(j *testJob, via int, timeout time.Duration) error {
	ctx, cancel := context.WithTimeout(tc.ctx, timeout)
	defer cancel()
	e := tc.runningEntry(via)
	if e == nil {
		return errPipeDown
	}
	ref, err := e.storeFile(ctx, testWorkspace.Name, j.name, j.file())
	if err != nil {
		return err
	}
	req := &Request{Key: j.key, NonIdempotent: j.nonIdempotent}
	body := submitBody{Endpoint: "/v1/completions"}
	_, job, err := e.submit(ctx, testWorkspace, req, body, defaultWindow, ref)
	if err != nil {
		return err
	}
	if j.accepted && job.String() != j.ref.String() {
		return fmt.Errorf("retry of %s created job %s, want %s", j.name, job, j.ref)
	}
	j.ref = job
	j.accepted = true
	return nil
}

func (tc *testCluster) cancelJob(j *testJob, via int, timeout time.Duration) {
	ctx, cancel := context.WithTimeout(tc.ctx, timeout)
	defer cancel()
	e := tc.runningEntry(via)
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
	j.runsAtCancel = tc.countItemRuns(j)
}

// countItemRuns returns the number of engine runs of each item of a job, by
// request ID.
func (tc *testCluster) countItemRuns(j *testJob) map[string]int {
	out := make(map[string]int)
	prefix := fmt.Sprintf("b%d-%x-", j.ref.partition, j.ref.id)
	for _, e := range tc.engines {
		for id, n := range e.RunCounts() {
			if strings.HasPrefix(id, prefix) {
				out[id] += n
			}
		}
	}
	return out
}

// configureModel proposes and confirms a plan that adds the model.
func (tc *testCluster) configureModel(ctx context.Context) error {
	op := config.Operator{Name: "dev", Scope: config.ScopeFleet}
	e := tc.runningEntry(0)
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

// eventually calls try until it succeeds or timeout has passed in virtual time,
// and returns its last error.
func eventually(timeout time.Duration, try func() error) error {
	deadline := time.Now().Add(timeout)
	for {
		err := try()
		if err == nil || time.Now().After(deadline) {
			return err
		}
		time.Sleep(100 * time.Millisecond)
	}
}

// checkFinalState waits until the job has ended and checks its results. All
// faults must have been cleared.
func (tc *testCluster) checkFinalState(j *testJob) error {
	if !j.accepted {
		return nil
	}
	var info *wire.JobInfo
	err := eventually(2*time.Minute, func() error {
		ctx, cancel := context.WithTimeout(tc.ctx, 30*time.Second)
		defer cancel()
		got, err := tc.runningEntry(0).job(ctx, testWorkspace, j.ref)
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
	return tc.checkItems(j, info)
}

func (tc *testCluster) checkItems(j *testJob, info *wire.JobInfo) error {
	if int(info.GetTotal()) != j.items {
		return fmt.Errorf("job %s has %d items, want %d", j.name, info.GetTotal(), j.items)
	}
	if j.cancelled {
		if done := info.GetSucceeded() + info.GetFailed(); info.GetState() != "cancelled" || done != j.doneAtCancel {
			return fmt.Errorf("job %s: %d items completed after the cancel was confirmed", j.name, done-j.doneAtCancel)
		}
		for id, n := range tc.countItemRuns(j) {
			if n != j.runsAtCancel[id] {
				return fmt.Errorf("job %s: item %s started after the cancel was confirmed", j.name, id)
			}
		}
	}
	if j.nonIdempotent {
		for id, n := range tc.countItemRuns(j) {
			if n > 1 {
				return fmt.Errorf("non-idempotent item %s ran %d times", id, n)
			}
		}
	}
	return tc.checkResults(j, info)
}

func (tc *testCluster) checkResults(j *testJob, info *wire.JobInfo) error {
	for n := range tc.settings.entries {
		ctx, cancel := context.WithTimeout(tc.ctx, time.Minute)
		reply, err := tc.runningEntry(n).CallOwner(ctx, &wire.PeerRequest{Partition: j.ref.partition, Kind: &wire.PeerRequest_ReadResults{ReadResults: &wire.ReadResults{
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
		return fmt.Errorf("job %s has %d results, want %d", j.name, len(lines), j.items)
	}
	for n, l := range lines {
		if l.GetCustomId() != fmt.Sprintf("%s-%d", j.name, n) {
			return fmt.Errorf("job %s: result %d has custom_id %s", j.name, n, l.GetCustomId())
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
			return fmt.Errorf("job %s item %d must fail but succeeded", j.name, n)
		}
	case "failed":
		if l.GetReason() == "" {
			return fmt.Errorf("job %s item %d failed without a reason", j.name, n)
		}
		unknownOutcome := j.nonIdempotent && l.GetReason() != ledger.ReasonTargetLost
		if n != j.poisonIndex && n != j.crashIndex && !unknownOutcome {
			return fmt.Errorf("job %s item %d failed: %s", j.name, n, l.GetReason())
		}
	case "cancelled":
		if info.GetState() != "cancelled" {
			return fmt.Errorf("job %s item %d is cancelled in a job that is %s", j.name, n, info.GetState())
		}
	default:
		return fmt.Errorf("job %s item %d has unexpected state %s", j.name, n, l.GetState())
	}
	return nil
}

// step is one random action or fault with its arguments.
type step struct {
	Kind  string
	A, B  int
	After time.Duration
}

var stepKinds = []string{
	"submit", "submit", "resend", "cancel",
	"kill entry", "restart entry", "pause entry", "resume entry", "pause and delist entry", "pause and delist entry",
	"kill agent", "restart agent", "crash engine", "silence",
	"log down", "log up", "lose log responses", "drop appends", "repeat appends",
}

// drawDelay draws short delays as often as long ones. Within short delays several
// faults affect the same request; within long ones the system reacts to a fault.
func drawDelay(t *rapid.T) time.Duration {
	maxMs := rapid.SampledFrom([]int{5, 60, 1500}).Draw(t, "delay scale")
	return time.Duration(rapid.IntRange(1, maxMs).Draw(t, "after ms")) * time.Millisecond
}

// drawSteps draws up to maxSteps steps of the given kinds on hosts 0 to lastHost.
func drawSteps(t *rapid.T, kinds []string, lastHost, maxSteps int) []step {
	return rapid.SliceOfN(rapid.Custom(func(t *rapid.T) step {
		return step{
			Kind:  rapid.SampledFrom(kinds).Draw(t, "kind"),
			A:     rapid.IntRange(0, lastHost).Draw(t, "a"),
			B:     rapid.IntRange(0, 9).Draw(t, "b"),
			After: drawDelay(t),
		}
	}), 1, maxSteps).Draw(t, "steps")
}

// applyStep applies one step on jobs and entries, and appends a submitted job to
// jobs.
func (tc *testCluster) applyStep(s step, jobs *[]*testJob) {
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
		_ = tc.submit(j, s.A, 3*time.Second)
	case "resend":
		if len(*jobs) > 0 {
			_ = tc.submit((*jobs)[s.B%len(*jobs)], s.A, 3*time.Second)
		}
	case "cancel":
		if len(*jobs) > 0 {
			tc.cancelJob((*jobs)[s.B%len(*jobs)], s.A, 3*time.Second)
		}
	case "kill entry":
		if len(tc.entries) > 1 {
			tc.killEntry(entryName(s.A))
		}
	case "restart entry":
		if tc.entries[entryName(s.A)] == nil && s.A < tc.settings.entries {
			tc.startEntry(entryName(s.A))
		}
	case "pause entry":
		if e := tc.entries[entryName(s.A)]; e != nil && tc.unpausedEntries() > 1 {
			e.host.pause()
		}
	case "resume entry":
		if e := tc.entries[entryName(s.A)]; e != nil {
			e.host.resume()
			tc.restoreToHostList(entryName(s.A))
		}
	case "pause and delist entry":
		// The host list drops the paused host as if it were dead.
		if e := tc.entries[entryName(s.A)]; e != nil && tc.unpausedEntries() > 1 {
			e.host.pause()
			tc.hosts.Remove(entryName(s.A))
		}
	default:
		tc.applyBackendStep(s)
	}
}

// applyBackendStep applies one step on agents, engines, connections or the log.
func (tc *testCluster) applyBackendStep(s step) {
	name := agentName(s.A % tc.settings.agents)
	switch s.Kind {
	case "kill agent":
		tc.killAgent(name)
	case "restart agent":
		if tc.agents[name] == nil {
			tc.startAgent(name)
		}
	case "crash engine":
		tc.engines[name].Crash()
	case "silence":
		tc.net.silenceConns(entryName(s.A%tc.settings.entries), agentName(s.B%tc.settings.agents))
	case "log down":
		tc.log.SetDown(true)
	case "log up":
		tc.log.SetDown(false)
	case "lose log responses":
		tc.log.LoseResponses(1 + s.B)
	case "drop appends":
		tc.log.DropAppends(1 + s.B)
	case "repeat appends":
		tc.log.SetFaultRates(0.2, 0.5)
	}
}

func (tc *testCluster) unpausedEntries() int {
	n := 0
	for _, e := range tc.entries {
		if !e.host.isPaused() {
			n++
		}
	}
	return n
}

// clearFaults ends all faults and restarts the entries and agents that are not
// running.
func (tc *testCluster) clearFaults() {
	tc.log.SetDown(false)
	tc.log.LoseResponses(0)
	tc.log.DropAppends(0)
	tc.log.SetFaultRates(0, 0)
	tc.net.resumeAll()
	for n := range tc.settings.entries {
		if tc.entries[entryName(n)] == nil {
			tc.startEntry(entryName(n))
			continue
		}
		tc.restoreToHostList(entryName(n))
	}
	for n := range tc.settings.agents {
		if tc.agents[agentName(n)] == nil {
			tc.startAgent(agentName(n))
		}
	}
}

// restoreToHostList puts a running entry back on the host list.
func (tc *testCluster) restoreToHostList(name string) {
	tc.hosts.Put(hostOf(name))
}

// runLedgerScenario applies steps in virtual time and checks the final state of
// all jobs. If trimmed is set, the log retains only 400 records.
func runLedgerScenario(t *testing.T, steps []step, trimmed bool) error {
	var failure error
	runInBubble(t, func(*testing.T) {
		settings := clusterSettings{entries: 2, agents: 2, partitions: 2, snapshotEvery: 40, hostLag: 300 * time.Millisecond}
		if trimmed {
			settings.log.RetainRecords = 400
		}
		tc := newTestCluster(settings)
		defer tc.close()
		failure = eventually(time.Minute, func() error { return tc.configureModel(tc.ctx) })
		if failure != nil {
			return
		}
		var jobs []*testJob
		for _, s := range steps {
			time.Sleep(s.After)
			tc.applyStep(s, &jobs)
		}
		tc.clearFaults()
		for n, j := range jobs {
			// All callers retry in the end: an accepted job must be found again,
			// and any other job must be accepted now.
			if failure = eventually(2*time.Minute, func() error { return tc.submit(j, n, 10*time.Second) }); failure != nil {
				failure = fmt.Errorf("retry of %s: %w", j.name, failure)
				return
			}
		}
		for _, j := range jobs {
			if failure = tc.checkFinalState(j); failure != nil {
				return
			}
		}
	})
	return failure
}

// Guards against accepted items that never complete, complete twice or with
// another item's result, run after their cancel was confirmed, or run twice
// although they are not idempotent. The random steps are crashes, pauses longer
// than the lease, takeover races, lost responses of the log, repeated appends, outages,
// retries, cancels and items that crash their engine, in any order.
func TestBatchJobsUnderRandomFaults(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		steps := drawSteps(rt, stepKinds, 2, 25)
		if err := runLedgerScenario(t, steps, false); err != nil {
			rt.Fatalf("%v\n%s", err, formatSteps(steps))
		}
	})
}

// Guards against the loss of items or results when the log trims records: owners
// must write snapshots, and copy the records that are still needed, before the
// retention period ends. The log retains little, so that all old records are
// trimmed while jobs run and results are read, and owners are killed in between.
func TestJobsSurviveLogRetention(t *testing.T) {
	runInBubble(t, func(t *testing.T) {
		tc := newTestCluster(clusterSettings{
			entries: 2, agents: 2, partitions: 1, snapshotEvery: 30,
			log: standin.LogSettings{Retention: 40 * time.Second}, retention: 40 * time.Second,
		})
		defer tc.close()
		if err := eventually(time.Minute, func() error { return tc.configureModel(tc.ctx) }); err != nil {
			t.Fatal(err)
		}
		var jobs []*testJob
		for n := range 12 {
			j := &testJob{name: fmt.Sprintf("kept%d", n), items: 20, poisonIndex: -1, crashIndex: -1}
			if err := eventually(time.Minute, func() error { return tc.submit(j, n, 5*time.Second) }); err != nil {
				t.Fatal(err)
			}
			jobs = append(jobs, j)
			time.Sleep(15 * time.Second)
			if n%4 == 3 {
				tc.killEntry(entryName(n / 4 % 2))
				time.Sleep(5 * time.Second)
				tc.startEntry(entryName(n / 4 % 2))
			}
		}
		for _, j := range jobs {
			if err := tc.checkFinalState(j); err != nil {
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

// A submit while the log is down must fail as not run. Guards against accepting a
// job before its record has been read back from the log: if the append took
// effect, its response was lost and the owner died, a job that was reported as
// accepted could be lost.
func TestSubmitFailsWhileLogIsDown(t *testing.T) {
	runInBubble(t, func(t *testing.T) {
		tc := newTestCluster(clusterSettings{entries: 2, agents: 1, partitions: 1, snapshotEvery: 40})
		defer tc.close()
		if err := eventually(time.Minute, func() error { return tc.configureModel(tc.ctx) }); err != nil {
			t.Fatal(err)
		}
		j := &testJob{name: "refused", items: 3, poisonIndex: -1, crashIndex: -1}
		if err := eventually(time.Minute, func() error { return tc.submit(j, 0, 3*time.Second) }); err != nil {
			t.Fatal(err)
		}
		tc.log.SetDown(true)
		time.Sleep(5 * time.Second)
		late := &testJob{name: "late", items: 3, poisonIndex: -1, crashIndex: -1}
		err := tc.submit(late, 0, 3*time.Second)
		if fail := apierr.From(err); err == nil || fail.Ran != wire.Ran_RAN_NO || fail.Code != apierr.CodeLogUnavailable {
			t.Fatalf("submit with the log down: want log unavailable and not run, got %v", err)
		}
		tc.log.SetDown(false)
		if err := tc.checkFinalState(j); err != nil {
			t.Fatal(err)
		}
	})
}
