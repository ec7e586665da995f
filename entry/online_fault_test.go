package entry

import (
	"context"
	"encoding/hex"
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/google/uuid"
	"pgregory.net/rapid"

	"pumiceford/apierr"
	"pumiceford/standin"
	"pumiceford/wire"
)

// testCall is one caller's request and what it was told.
type testCall struct {
	id            uuid.UUID
	prompt        string
	tokens        uint32
	service       bool
	nonIdempotent bool
	key           string
	got           strings.Builder
	mismatched    bool // a piece did not continue the answer
	err           *apierr.Error
	done          bool
}

func (c *testCall) want() string {
	if c.service {
		return `{"done":"POST /stamp"}`
	}
	return standin.AnswerText(c.prompt, c.tokens)
}

// sendCall runs a request through an entry and notes what the caller sees.
func (w *testCluster) sendCall(c *testCall, through int) {
	defer func() { c.done = true }()
	e := w.runningEntry(through)
	if e == nil {
		c.err = apierr.New(apierr.CodeNotRun, "no entry")
		return
	}
	req := &Request{
		ID: c.id, Workspace: testWorkspace.Name, Model: testModel, Prompt: c.prompt, MaxTokens: c.tokens,
		NonIdempotent: c.nonIdempotent, Key: c.key, Deadline: time.Now().Add(20 * time.Second),
	}
	if c.service {
		req.Service, req.Method, req.Path, req.Body = "stamps", "POST", "/stamp", []byte(c.prompt)
	}
	ctx, cancel := context.WithCancel(w.ctx)
	defer cancel()
	_, err := e.Do(ctx, req, func(p *wire.Piece) error {
		c.got.Write(p.GetText())
		c.mismatched = c.mismatched || !strings.HasPrefix(c.want(), c.got.String())
		return nil
	})
	if err != nil {
		c.err = apierr.From(err)
	}
}

// countCallRuns counts how often a request reached an engine or the service.
func (w *testCluster) countCallRuns(c *testCall) int {
	if c.service {
		return w.service.Calls(c.prompt)
	}
	n := 0
	for _, e := range w.engines {
		n += e.Runs(hex.EncodeToString(c.id[:]))
	}
	return n
}

// checkCall compares what a caller was told with what happened.
func (w *testCluster) checkCall(c *testCall) error {
	runs := w.countCallRuns(c)
	switch {
	case !c.done:
		return fmt.Errorf("request %s has no answer", c.prompt)
	case c.mismatched:
		return fmt.Errorf("request %s got %q, which does not begin %q", c.prompt, c.got.String(), c.want())
	case c.err == nil && c.got.String() != c.want():
		return fmt.Errorf("request %s ended well with %d of %d bytes", c.prompt, c.got.Len(), len(c.want()))
	case c.nonIdempotent && runs > 1:
		return fmt.Errorf("non-idempotent request %s ran %d times", c.prompt, runs)
	case c.err != nil && c.err.Ran == wire.Ran_RAN_NO && runs > 0:
		return fmt.Errorf("request %s was told as not run (%w) and ran %d times", c.prompt, c.err, runs)
	case c.err != nil && c.err.Ran == wire.Ran_RAN_YES && runs == 0:
		return fmt.Errorf("request %s was told as run (%w) and never ran", c.prompt, c.err)
	}
	return nil
}

var onlineStepKinds = []string{
	"ask", "ask", "ask", "ask once", "ask once", "stamp", "keyed stamp", "resend",
	"kill entry", "restart entry", "pause entry", "resume entry",
	"kill agent", "restart agent", "pause agent", "resume agent", "crash engine", "silence", "silence",
	"leave agent", "log down", "log up", "lose answers",
}

// runOnlineScenario plays drawn steps with callers beside them.
func runOnlineScenario(t *testing.T, steps []step) error {
	var failure error
	runInBubble(t, func(*testing.T) {
		w := newTestCluster(clusterSettings{entries: 2, agents: 3, partitions: 2, snapshotEvery: 100, hostLag: 300 * time.Millisecond})
		defer w.close()
		if failure = eventually(time.Minute, func() error { return w.configureModel(w.ctx) }); failure != nil {
			return
		}
		time.Sleep(time.Second)
		var calls []*testCall
		var wg sync.WaitGroup
		for _, s := range steps {
			time.Sleep(s.After)
			if c := w.newCall(s, calls); c != nil {
				calls = append(calls, c)
				wg.Go(func() { w.sendCall(c, s.A) })
				continue
			}
			w.applyOnlineStep(s)
		}
		w.clearFaults()
		wg.Wait()
		time.Sleep(10 * time.Second)
		for _, c := range calls {
			if failure = w.checkCall(c); failure != nil {
				return
			}
		}
	})
	return failure
}

// newCall makes the request of a step, nil when the step is a fault.
func (w *testCluster) newCall(s step, calls []*testCall) *testCall {
	n := len(calls)
	c := &testCall{id: uuid.New(), prompt: fmt.Sprintf("question %d", n), tokens: uint32(1 + 20*s.B)}
	switch s.Kind {
	case "ask":
	case "ask once":
		c.nonIdempotent = true
	case "stamp":
		c.service, c.nonIdempotent = true, true
	case "keyed stamp":
		c.service, c.nonIdempotent, c.key = true, true, c.prompt
	case "resend":
		// The caller sends a keyed request once more, through whichever entry.
		for _, old := range calls {
			if old.key != "" {
				c.service, c.nonIdempotent, c.key, c.prompt, c.tokens = true, true, old.key, old.prompt, old.tokens
				return c
			}
		}
		return nil
	default:
		return nil
	}
	return c
}

func (w *testCluster) applyOnlineStep(s step) {
	name := agentName(s.A % w.settings.agents)
	switch s.Kind {
	case "pause agent":
		if a := w.agents[name]; a != nil {
			a.host.pause()
		}
	case "resume agent":
		if a := w.agents[name]; a != nil {
			a.host.resume()
		}
	case "leave agent":
		a := w.agents[name]
		if a == nil {
			return
		}
		delete(w.agents, name)
		a.host.resume()
		w.wg.Go(func() {
			ctx, cancel := context.WithTimeout(w.ctx, 30*time.Second)
			defer cancel()
			a.Leave(ctx)
			time.Sleep(200 * time.Millisecond)
			w.net.detach(a.host)
			a.cancel()
		})
	default:
		var none []*testJob
		w.applyStep(s, &none)
	}
}

// Symptom of every fault caught here: a caller gets another's bytes, a truncated
// answer that looks whole, "not run" for a request that ran, or a second run of a
// request that may run once. The sequence is drawn: hosts killed, paused and
// leaving, engines that crash, connections that go silent, resends through the
// other entry, log outages.
func TestOnlineRequestsUnderRandomFaults(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		steps := drawSteps(rt, onlineStepKinds, 2, 25)
		if err := runOnlineScenario(t, steps); err != nil {
			rt.Fatalf("%v\n%s", err, formatSteps(steps))
		}
	})
}
