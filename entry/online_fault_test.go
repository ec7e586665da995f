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

// testCall is a caller's request with the response that the caller got.
type testCall struct {
	id            uuid.UUID
	prompt        string
	tokens        uint32
	service       bool
	nonIdempotent bool
	key           string
	got           strings.Builder
	mismatched    bool // the text received is not a prefix of the expected response
	err           *apierr.Error
	done          bool
}

func (c *testCall) want() string {
	if c.service {
		return `{"done":"POST /stamp"}`
	}
	return standin.AnswerText(c.prompt, c.tokens)
}

// sendCall sends a request through entry via and records the response.
func (tc *testCluster) sendCall(c *testCall, via int) {
	defer func() { c.done = true }()
	e := tc.runningEntry(via)
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
	ctx, cancel := context.WithCancel(tc.ctx)
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

// countCallRuns returns how often a request ran on an engine or the service.
func (tc *testCluster) countCallRuns(c *testCall) int {
	if c.service {
		return tc.service.CallCount(c.prompt)
	}
	n := 0
	for _, e := range tc.engines {
		n += e.RunCount(hex.EncodeToString(c.id[:]))
	}
	return n
}

// checkCall compares the response to a caller with what actually ran.
func (tc *testCluster) checkCall(c *testCall) error {
	runs := tc.countCallRuns(c)
	switch {
	case !c.done:
		return fmt.Errorf("request %s got no response", c.prompt)
	case c.mismatched:
		return fmt.Errorf("request %s got %q, which is not a prefix of %q", c.prompt, c.got.String(), c.want())
	case c.err == nil && c.got.String() != c.want():
		return fmt.Errorf("request %s succeeded with %d of %d bytes", c.prompt, c.got.Len(), len(c.want()))
	case c.nonIdempotent && runs > 1:
		return fmt.Errorf("non-idempotent request %s ran %d times", c.prompt, runs)
	case c.err != nil && c.err.Ran == wire.Ran_RAN_NO && runs > 0:
		return fmt.Errorf("request %s was reported as not run (%w) but ran %d times", c.prompt, c.err, runs)
	case c.err != nil && c.err.Ran == wire.Ran_RAN_YES && runs == 0:
		return fmt.Errorf("request %s was reported as run (%w) but never ran", c.prompt, c.err)
	}
	return nil
}

var onlineStepKinds = []string{
	"ask", "ask", "ask", "non-idempotent ask", "non-idempotent ask", "stamp", "keyed stamp", "resend",
	"kill entry", "restart entry", "pause entry", "resume entry",
	"kill agent", "restart agent", "pause agent", "resume agent", "crash engine", "silence", "silence",
	"drain agent", "log down", "log up", "lose log responses",
}

// runOnlineScenario applies steps while callers send requests, and checks every
// response.
func runOnlineScenario(t *testing.T, steps []step) error {
	var failure error
	runInBubble(t, func(*testing.T) {
		tc := newTestCluster(clusterSettings{entries: 2, agents: 3, partitions: 2, snapshotEvery: 100, hostLag: 300 * time.Millisecond})
		defer tc.close()
		if failure = eventually(time.Minute, func() error { return tc.configureModel(tc.ctx) }); failure != nil {
			return
		}
		time.Sleep(time.Second)
		var calls []*testCall
		var wg sync.WaitGroup
		for _, s := range steps {
			time.Sleep(s.After)
			if c := tc.newCall(s, calls); c != nil {
				calls = append(calls, c)
				wg.Go(func() { tc.sendCall(c, s.A) })
				continue
			}
			tc.applyOnlineStep(s)
		}
		tc.clearFaults()
		wg.Wait()
		time.Sleep(10 * time.Second)
		for _, c := range calls {
			if failure = tc.checkCall(c); failure != nil {
				return
			}
		}
	})
	return failure
}

// newCall returns the request of a step, or nil if the step injects a fault.
func (tc *testCluster) newCall(s step, calls []*testCall) *testCall {
	n := len(calls)
	c := &testCall{id: uuid.New(), prompt: fmt.Sprintf("question %d", n), tokens: uint32(1 + 20*s.B)}
	switch s.Kind {
	case "ask":
	case "non-idempotent ask":
		c.nonIdempotent = true
	case "stamp":
		c.service, c.nonIdempotent = true, true
	case "keyed stamp":
		c.service, c.nonIdempotent, c.key = true, true, c.prompt
	case "resend":
		// The caller retries a keyed request, through any entry.
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

func (tc *testCluster) applyOnlineStep(s step) {
	name := agentName(s.A % tc.settings.agents)
	switch s.Kind {
	case "pause agent":
		if a := tc.agents[name]; a != nil {
			a.host.pause()
		}
	case "resume agent":
		if a := tc.agents[name]; a != nil {
			a.host.resume()
		}
	case "drain agent":
		a := tc.agents[name]
		if a == nil {
			return
		}
		delete(tc.agents, name)
		a.host.resume()
		tc.wg.Go(func() {
			ctx, cancel := context.WithTimeout(tc.ctx, 30*time.Second)
			defer cancel()
			a.Shutdown(ctx)
			time.Sleep(200 * time.Millisecond)
			tc.net.detach(a.host)
			a.cancel()
		})
	default:
		var none []*testJob
		tc.applyStep(s, &none)
	}
}

// Guards against responses with another caller's data, truncated responses that
// look complete, "not run" for a request that ran, and second runs of
// non-idempotent requests. The random faults are killed, paused and draining
// hosts, engine crashes, connections that discard all data, retries through the
// other entry and log outages.
func TestOnlineRequestsUnderRandomFaults(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		steps := drawSteps(rt, onlineStepKinds, 2, 25)
		if err := runOnlineScenario(t, steps); err != nil {
			rt.Fatalf("%v\n%s", err, formatSteps(steps))
		}
	})
}
