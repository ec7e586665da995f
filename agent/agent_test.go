package agent

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"pumiceford/admission"
	"pumiceford/apierr"
	"pumiceford/oplog"
	"pumiceford/standin"
	"pumiceford/wire"
)

const testModel = "m"

func testAgent(ctx context.Context) (*Agent, *standin.Engine) {
	e := standin.NewEngine(ctx, standin.EngineSettings{Models: []string{testModel}, MaxRunning: 2})
	a := New(ctx, Config{Name: "a", Incarnation: oplog.NewIncarnation(), Engine: e, Admission: admission.Settings{Seats: 2, Harm: 0.1}})
	return a, e
}

func testStart(a *Agent) *wire.Start {
	return &wire.Start{
		Id: make([]byte, 16), Workspace: "w", Model: testModel, Prompt: "p", MaxTokens: 5,
		TimeoutMs: 60000, AgentIncarnation: a.cfg.Incarnation[:],
	}
}

// inBubble runs f with a fresh agent in virtual time.
func inBubble(t *testing.T, f func(t *testing.T, a *Agent, e *standin.Engine)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		a, e := testAgent(ctx)
		f(t, a, e)
	})
}

// Symptom: a request that was told as not run runs after all. Sequence: the
// start is delayed on its way, the entry revokes the id and tells its caller "not
// run", then the start arrives. Cause guarded against: an agent that forgets what
// it promised.
func TestLateStartAfterRevoke(t *testing.T) {
	inBubble(t, func(t *testing.T, a *Agent, e *standin.Engine) {
		s := testStart(a)
		if ran := a.revoke(&wire.Revoke{Id: s.GetId(), AgentIncarnation: s.GetAgentIncarnation()}); ran != wire.Ran_RAN_NO {
			t.Fatalf("revoke of an unknown id told %v", ran)
		}
		time.Sleep(MaxTimeout)
		if _, err := a.admit(s); err == nil || err.Code != apierr.CodeNotRun {
			t.Fatalf("late start: %v", err)
		}
		time.Sleep(time.Second)
		if n := e.Runs(hexID(s.GetId())); n != 0 {
			t.Fatalf("it ran %d times", n)
		}
	})
}

// Symptom: a non-idempotent request runs twice around a restart of its agent.
// Sequence: a start meant for the earlier run of the process reaches the later
// one. Cause guarded against: a start that is valid for any run.
func TestStartForAnEarlierIncarnation(t *testing.T) {
	inBubble(t, func(t *testing.T, a *Agent, _ *standin.Engine) {
		s := testStart(a)
		other := oplog.NewIncarnation()
		s.AgentIncarnation = other[:]
		if _, err := a.admit(s); err == nil || err.Code != apierr.CodeWrongIncarnation || err.Ran != wire.Ran_RAN_NO {
			t.Fatalf("start for another incarnation: %v", err)
		}
		if ran := a.revoke(&wire.Revoke{Id: s.GetId(), AgentIncarnation: other[:]}); ran != wire.Ran_RAN_UNKNOWN {
			t.Fatalf("revoke for another incarnation told %v", ran)
		}
	})
}

// Symptom: "not run" for a request that ran. Sequence: its answer is kept for a
// while, dropped, and then the entry revokes the id. Cause guarded against: a
// forgotten run that looks like one that never was.
func TestRevokeLongAfterTheRun(t *testing.T) {
	inBubble(t, func(t *testing.T, a *Agent, e *standin.Engine) {
		s := testStart(a)
		r, err := a.admit(s)
		if err != nil {
			t.Fatal(err)
		}
		a.wake()
		time.Sleep(time.Second)
		a.readerLeft(r)
		time.Sleep(5 * time.Minute)
		a.mu.Lock()
		kept := a.requests[string(s.GetId())] != nil
		a.mu.Unlock()
		if kept {
			t.Fatal("the answer is still kept")
		}
		if ran := a.revoke(&wire.Revoke{Id: s.GetId(), AgentIncarnation: s.GetAgentIncarnation()}); ran != wire.Ran_RAN_YES {
			t.Fatalf("revoke after the run told %v", ran)
		}
		if n := e.Runs(hexID(s.GetId())); n != 1 {
			t.Fatalf("it ran %d times", n)
		}
	})
}

// Symptom: the seat of a caller who hung up stays taken. Sequence: the entry
// revokes a running request. Cause guarded against: a cancel that does not reach
// the engine.
func TestRevokeFreesTheSeat(t *testing.T) {
	inBubble(t, func(t *testing.T, a *Agent, e *standin.Engine) {
		s := testStart(a)
		s.MaxTokens = 10000
		if _, err := a.admit(s); err != nil {
			t.Fatal(err)
		}
		a.wake()
		time.Sleep(100 * time.Millisecond)
		if ran := a.revoke(&wire.Revoke{Id: s.GetId(), AgentIncarnation: s.GetAgentIncarnation()}); ran != wire.Ran_RAN_YES {
			t.Fatalf("revoke of a running request told %v", ran)
		}
		const oneStep = 3 * time.Millisecond
		time.Sleep(oneStep)
		if c := e.Stats().Cancelled; c != 1 {
			t.Fatalf("%d sequences cancelled at the engine", c)
		}
	})
}

func testGrant(epoch uint64, job byte, index uint32) *wire.Grant {
	return &wire.Grant{
		Ref:       &wire.ItemRef{Partition: 1, Epoch: epoch, Job: append(make([]byte, 15), job), Index: index},
		Workspace: "w", Model: testModel, Prompt: "p", MaxTokens: 5,
	}
}

func testFeed(a *Agent) *feed {
	f := &feed{signal: make(chan struct{}, 1), stopping: make(map[string]*wire.JobRef)}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.feeds[f] = struct{}{}
	return f
}

func owns(epoch uint64) []*wire.PartitionEpoch {
	return []*wire.PartitionEpoch{{Partition: 1, Epoch: epoch}}
}

// Symptom: an item of a cancelled job starts after the cancel was told as done.
// Sequence: the owner is paused, another takes over and cancels the job, the
// first wakes up and grants an item. Cause guarded against: grants that are taken
// whoever sends them.
func TestLateGrantOfASupersededOwner(t *testing.T) {
	inBubble(t, func(t *testing.T, a *Agent, e *standin.Engine) {
		old, now := testFeed(a), testFeed(a)
		a.takeDown(old, &wire.FeedDown{Epochs: owns(1)})
		a.takeDown(now, &wire.FeedDown{Epochs: owns(2), Cancelled: []*wire.JobRef{{Partition: 1, Epoch: 2, Job: testGrant(2, 7, 0).GetRef().GetJob()}}})
		a.takeDown(old, &wire.FeedDown{Epochs: owns(1), Grants: []*wire.Grant{testGrant(1, 7, 0), testGrant(1, 8, 0)}})
		a.takeDown(now, &wire.FeedDown{Epochs: owns(2), Grants: []*wire.Grant{testGrant(2, 7, 1)}})
		time.Sleep(time.Second)
		if n := e.Stats().Admitted; n != 0 {
			t.Fatalf("%d items ran", n)
		}
		a.mu.Lock()
		defer a.mu.Unlock()
		if len(old.back) != 2 || len(now.back) != 1 {
			t.Fatalf("%d and %d grants handed back", len(old.back), len(now.back))
		}
	})
}

// Symptom: an item starts although its job may be cancelled by now. Sequence: the
// owner goes silent with items queued at the agent; a new owner that the agent
// does not hear may have cancelled the job. Cause guarded against: queued items
// without a lease.
func TestQueuedItemsWaitWithoutTheirOwner(t *testing.T) {
	inBubble(t, func(t *testing.T, a *Agent, e *standin.Engine) {
		f := testFeed(a)
		long := testGrant(1, 7, 0)
		long.MaxTokens = 3000 // about six seconds at two milliseconds a step
		alone := testGrant(1, 7, 1)
		alone.Alone = true
		a.takeDown(f, &wire.FeedDown{Epochs: owns(1), Grants: []*wire.Grant{long, alone}})
		time.Sleep(20 * time.Second)
		if n := e.Stats().Admitted; n != 1 {
			t.Fatalf("%d items started without word from the owner, want only the first", n)
		}
		a.takeDown(f, &wire.FeedDown{Epochs: owns(1)})
		time.Sleep(time.Second)
		if n := e.Stats().Admitted; n != 2 {
			t.Fatalf("%d items started after the owner was heard again", n)
		}
	})
}

// Symptom: a result is lost with its owner. Sequence: an item finishes, its owner
// dies before the result is durable, and a new owner comes. Cause guarded
// against: results forgotten once they were sent.
func TestResultsAreOfferedToANewOwner(t *testing.T) {
	inBubble(t, func(t *testing.T, a *Agent, _ *standin.Engine) {
		old, now := testFeed(a), testFeed(a)
		a.takeDown(old, &wire.FeedDown{Epochs: owns(1), Grants: []*wire.Grant{testGrant(1, 7, 0)}})
		time.Sleep(time.Second)
		if up := a.nextUp(old); len(up.GetResults()) == 0 {
			t.Fatal("no result for the first owner")
		}
		a.takeDown(now, &wire.FeedDown{Epochs: owns(2)})
		up := a.nextUp(now)
		if len(up.GetResults()) != 1 || len(up.GetHeld()) != 1 || len(up.GetDeclared()) != 1 {
			t.Fatalf("the new owner is told %v", up)
		}
		a.takeDown(now, &wire.FeedDown{Durable: []*wire.ItemRef{testGrant(2, 7, 0).GetRef()}})
		a.mu.Lock()
		held := len(a.items)
		a.mu.Unlock()
		if held != 0 {
			t.Fatal("a durable result is still held")
		}
	})
}
