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

// inVirtualTime runs f with a new agent in a synctest bubble.
func inVirtualTime(t *testing.T, f func(t *testing.T, a *Agent, e *standin.Engine)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		a, e := testAgent(ctx)
		f(t, a, e)
	})
}

// Guards against running a request that was reported as not run: its start is delayed
// in the network, the entry revokes the ID and reports to its caller that the request
// did not run, and then the start arrives at an agent that kept no tombstone.
func TestRefusesStartAfterRevoke(t *testing.T) {
	inVirtualTime(t, func(t *testing.T, a *Agent, e *standin.Engine) {
		s := testStart(a)
		if ran := a.revoke(&wire.Revoke{Id: s.GetId(), AgentIncarnation: s.GetAgentIncarnation()}); ran != wire.Ran_RAN_NO {
			t.Fatalf("revoke of an unknown ID returned %v, want RAN_NO", ran)
		}
		time.Sleep(MaxTimeout)
		if _, err := a.admit(s); err == nil || err.Code != apierr.CodeNotRun {
			t.Fatalf("start after revoke: got %v, want CodeNotRun", err)
		}
		time.Sleep(time.Second)
		if n := e.RunCount(hexID(s.GetId())); n != 0 {
			t.Fatalf("the request ran %d times, want 0", n)
		}
	})
}

// Guards against running a non-idempotent request twice across a restart of its agent:
// a start for the earlier incarnation reaches the later one, which accepts it.
func TestRefusesStartForOtherIncarnation(t *testing.T) {
	inVirtualTime(t, func(t *testing.T, a *Agent, _ *standin.Engine) {
		s := testStart(a)
		other := oplog.NewIncarnation()
		s.AgentIncarnation = other[:]
		if _, err := a.admit(s); err == nil || err.Code != apierr.CodeWrongIncarnation || err.Ran != wire.Ran_RAN_NO {
			t.Fatalf("start for another incarnation: got %v, want CodeWrongIncarnation and RAN_NO", err)
		}
		if ran := a.revoke(&wire.Revoke{Id: s.GetId(), AgentIncarnation: other[:]}); ran != wire.Ran_RAN_UNKNOWN {
			t.Fatalf("revoke for another incarnation returned %v, want RAN_UNKNOWN", ran)
		}
	})
}

// Guards against reporting "not run" for a request that ran: its response expires, and
// then the entry revokes the ID at an agent that has no record of the run.
func TestRevokeAfterAnswerExpired(t *testing.T) {
	inVirtualTime(t, func(t *testing.T, a *Agent, e *standin.Engine) {
		s := testStart(a)
		r, err := a.admit(s)
		if err != nil {
			t.Fatal(err)
		}
		a.wake()
		time.Sleep(time.Second)
		a.removeReader(r)
		time.Sleep(5 * time.Minute)
		a.mu.Lock()
		kept := a.requests[string(s.GetId())] != nil
		a.mu.Unlock()
		if kept {
			t.Fatal("the response is still kept 5 min after its end")
		}
		if ran := a.revoke(&wire.Revoke{Id: s.GetId(), AgentIncarnation: s.GetAgentIncarnation()}); ran != wire.Ran_RAN_YES {
			t.Fatalf("revoke after the run returned %v, want RAN_YES", ran)
		}
		if n := e.RunCount(hexID(s.GetId())); n != 1 {
			t.Fatalf("the request ran %d times, want 1", n)
		}
	})
}

// Guards against a seat that stays occupied after its caller has disconnected: the
// entry revokes a running request, but the cancel does not reach the engine.
func TestRevokeFreesSeat(t *testing.T) {
	inVirtualTime(t, func(t *testing.T, a *Agent, e *standin.Engine) {
		s := testStart(a)
		s.MaxTokens = 10000
		if _, err := a.admit(s); err != nil {
			t.Fatal(err)
		}
		a.wake()
		time.Sleep(100 * time.Millisecond)
		if ran := a.revoke(&wire.Revoke{Id: s.GetId(), AgentIncarnation: s.GetAgentIncarnation()}); ran != wire.Ran_RAN_YES {
			t.Fatalf("revoke of a running request returned %v, want RAN_YES", ran)
		}
		const oneStep = 3 * time.Millisecond
		time.Sleep(oneStep)
		if c := e.Stats().Cancelled; c != 1 {
			t.Fatalf("%d sequences cancelled at the engine, want 1", c)
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
	f := &feed{signal: make(chan struct{}, 1), cancelling: make(map[string]*wire.JobRef)}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.feeds[f] = struct{}{}
	return f
}

func testEpochs(epoch uint64) []*wire.PartitionEpoch {
	return []*wire.PartitionEpoch{{Partition: 1, Epoch: epoch}}
}

// Guards against starting an item of a job whose cancel was confirmed: the owner is
// paused, another one takes over and cancels the job, and then the first owner resumes
// and grants an item to an agent that does not check epochs.
func TestRefusesGrantsOfSupersededOwner(t *testing.T) {
	inVirtualTime(t, func(t *testing.T, a *Agent, e *standin.Engine) {
		oldFeed, newFeed := testFeed(a), testFeed(a)
		a.applyOwnerUpdate(oldFeed, &wire.OwnerUpdate{Epochs: testEpochs(1)})
		a.applyOwnerUpdate(newFeed, &wire.OwnerUpdate{Epochs: testEpochs(2), Cancelled: []*wire.JobRef{{Partition: 1, Epoch: 2, Job: testGrant(2, 7, 0).GetRef().GetJob()}}})
		a.applyOwnerUpdate(oldFeed, &wire.OwnerUpdate{Epochs: testEpochs(1), Grants: []*wire.Grant{testGrant(1, 7, 0), testGrant(1, 8, 0)}})
		a.applyOwnerUpdate(newFeed, &wire.OwnerUpdate{Epochs: testEpochs(2), Grants: []*wire.Grant{testGrant(2, 7, 1)}})
		time.Sleep(time.Second)
		if n := e.Stats().Admitted; n != 0 {
			t.Fatalf("%d items ran, want 0", n)
		}
		a.mu.Lock()
		defer a.mu.Unlock()
		if len(oldFeed.handedBack) != 2 || len(newFeed.handedBack) != 1 {
			t.Fatalf("%d and %d grants handed back, want 2 and 1", len(oldFeed.handedBack), len(newFeed.handedBack))
		}
	})
}

// Guards against starting an item whose job may have been cancelled: the owner stops
// sending while items are queued at the agent, and a new owner, which the agent cannot
// reach, may have cancelled the job. Queued items need a lease.
func TestQueuedItemsNeedOwnerLease(t *testing.T) {
	inVirtualTime(t, func(t *testing.T, a *Agent, e *standin.Engine) {
		f := testFeed(a)
		long := testGrant(1, 7, 0)
		long.MaxTokens = 3000 // about 6 s at 2 ms a step
		alone := testGrant(1, 7, 1)
		alone.Alone = true
		a.applyOwnerUpdate(f, &wire.OwnerUpdate{Epochs: testEpochs(1), Grants: []*wire.Grant{long, alone}})
		time.Sleep(20 * time.Second)
		if n := e.Stats().Admitted; n != 1 {
			t.Fatalf("%d items started without a message from the owner, want 1", n)
		}
		a.applyOwnerUpdate(f, &wire.OwnerUpdate{Epochs: testEpochs(1)})
		time.Sleep(time.Second)
		if n := e.Stats().Admitted; n != 2 {
			t.Fatalf("%d items started after a message from the owner, want 2", n)
		}
	})
}

// Guards against losing a result together with its owner: an item finishes, the owner
// crashes before the result is durable, and the agent has deleted the result after
// sending it, so that the next owner does not receive it.
func TestResendsResultsToNewOwner(t *testing.T) {
	inVirtualTime(t, func(t *testing.T, a *Agent, _ *standin.Engine) {
		oldFeed, newFeed := testFeed(a), testFeed(a)
		a.applyOwnerUpdate(oldFeed, &wire.OwnerUpdate{Epochs: testEpochs(1), Grants: []*wire.Grant{testGrant(1, 7, 0)}})
		time.Sleep(time.Second)
		if update := a.nextAgentUpdate(oldFeed); len(update.GetResults()) == 0 {
			t.Fatal("no result sent to the first owner")
		}
		a.applyOwnerUpdate(newFeed, &wire.OwnerUpdate{Epochs: testEpochs(2)})
		update := a.nextAgentUpdate(newFeed)
		if len(update.GetResults()) != 1 || len(update.GetHeld()) != 1 || len(update.GetDeclared()) != 1 {
			t.Fatalf("new owner got %v, want 1 result, 1 held item and 1 declared partition", update)
		}
		a.applyOwnerUpdate(newFeed, &wire.OwnerUpdate{Durable: []*wire.ItemRef{testGrant(2, 7, 0).GetRef()}})
		a.mu.Lock()
		held := len(a.items)
		a.mu.Unlock()
		if held != 0 {
			t.Fatal("the item is still held after its result became durable")
		}
	})
}
