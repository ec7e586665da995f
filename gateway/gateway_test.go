package gateway_test

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"

	"pumiceford/balance"
	"pumiceford/catalog"
	"pumiceford/estimate"
	"pumiceford/exchange"
	"pumiceford/fairshare"
	"pumiceford/fleet"
	"pumiceford/gateway"
	"pumiceford/logging"
	"pumiceford/metrics"
	"pumiceford/quarantine"
	"pumiceford/shutdown"
	"pumiceford/store"
	"pumiceford/targets"
)

// decoder decodes any catalog record to one service and one route, and any registration to an
// instance with 8 slots.
type decoder struct{ route catalog.Route }

func (decoder) CatalogKey() string { return "c" }

func (d decoder) Catalog([]byte) (*catalog.Catalog, error) {
	services := []catalog.Service{{Name: "s", ReservationTTL: time.Second}}
	return catalog.New(1, catalog.Limits{}, services, []catalog.Route{d.route}), nil
}

func (decoder) Instance(id string, _ []byte) (targets.Instance, error) {
	return targets.Instance{ID: id, Addr: id, Service: "s", Slots: 8}, nil
}

// scriptedResponse produces the response to one call.
type scriptedResponse func(ctx context.Context, call *exchange.Call) (*exchange.Response, error)

// scriptedSender is a Sender that returns its responses in order, whichever target a call is
// sent to, and records the calls and their targets.
type scriptedSender struct {
	mu        sync.Mutex
	responses []scriptedResponse
	calls     []exchange.Call
	to        []string
}

// firstTarget returns the target of the first call.
func (s *scriptedSender) firstTarget() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.to[0]
}

func (s *scriptedSender) Send(ctx context.Context, to targets.Instance, call *exchange.Call) (*exchange.Response, error) {
	s.mu.Lock()
	s.calls = append(s.calls, *call)
	s.to = append(s.to, to.ID)
	if len(s.responses) == 0 {
		s.mu.Unlock()
		return nil, &exchange.SendError{Fault: exchange.FaultConnect, Cause: errors.New("no more scripted responses")}
	}
	r := s.responses[0]
	s.responses = s.responses[1:]
	s.mu.Unlock()
	return r(ctx, call)
}

func respond(outcome exchange.Outcome, status int, body io.Reader, isStream bool) scriptedResponse {
	return func(context.Context, *exchange.Call) (*exchange.Response, error) {
		return &exchange.Response{Outcome: outcome, Status: status, Header: http.Header{"Mark": {"1"}}, Body: io.NopCloser(body), ContentLength: -1, EventStream: isStream}, nil
	}
}

// failBroken returns the result of a connection that breaks. The argument sent says whether the
// call may have reached the target.
func failBroken(sent bool) scriptedResponse {
	return func(context.Context, *exchange.Call) (*exchange.Response, error) {
		return nil, &exchange.SendError{Fault: exchange.FaultBroken, Sent: sent, Cause: io.ErrUnexpectedEOF}
	}
}

// neverRespond returns no response before the call's context ends.
func neverRespond(ctx context.Context, _ *exchange.Call) (*exchange.Response, error) {
	<-ctx.Done()
	return nil, &exchange.SendError{Fault: exchange.FaultCanceled, Sent: true, Cause: ctx.Err()}
}

// eventStream returns the events with the given first and last IDs and all between them.
func eventStream(from, to int) string {
	out := ""
	for i := from; i <= to; i++ {
		out += fmt.Sprintf("id: %d\ndata: d%d\n\n", i, i)
	}
	return out
}

// truncatedStream returns a stream that fails inside the event after the given ones.
func truncatedStream(from, to int) io.Reader {
	return io.MultiReader(strings.NewReader(eventStream(from, to)+"id: 9"), errReader{})
}

type errReader struct{}

func (errReader) Read([]byte) (int, error) { return 0, io.ErrUnexpectedEOF }

// stalledReader blocks at the end of its Reader until ctx ends.
type stalledReader struct {
	io.Reader
	ctx context.Context
}

func (s stalledReader) Read(p []byte) (int, error) {
	n, err := s.Reader.Read(p)
	if errors.Is(err, io.EOF) {
		<-s.ctx.Done()
		return 0, s.ctx.Err()
	}
	return n, err
}

// recorder implements gateway.Responder and records what is sent to the caller.
type recorder struct {
	status  int
	body    bytes.Buffer
	aborted bool
	refusal *gateway.Refusal
}

func (c *recorder) Start(status int, _ http.Header, _ int64) { c.status = status }
func (c *recorder) Write(p []byte) error                     { c.body.Write(p); return nil }
func (c *recorder) Abort()                                   { c.aborted = true }
func (c *recorder) Refuse(r gateway.Refusal)                 { c.refusal = &r }

// fixture is a Gateway with fake dependencies.
type fixture struct {
	notifier   *recordingNotifier
	reserver   *fakeReserver
	prober     *fakeProber
	quarantine *quarantine.Tracker
	view       *fleet.View
	shutdown   *shutdown.Plan
	gw         *gateway.Gateway
	sender     *scriptedSender
}

// fakeReserver reserves a slot at any instance that is not in full, and records the instances
// at which a reservation is tried.
type fakeReserver struct {
	mu    sync.Mutex
	full  map[string]bool
	tried []string
}

func (r *fakeReserver) Reserve(_ context.Context, at targets.Instance, _ int, _ time.Duration) (string, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.tried = append(r.tried, at.ID)
	if r.full[at.ID] {
		return "", exchange.ErrFull
	}
	return "slot-" + at.ID, nil
}

// recordingNotifier records the targets that were reported to have failed.
type recordingNotifier struct {
	mu  sync.Mutex
	ids []string
}

func (n *recordingNotifier) NotifyFailure(id string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.ids = append(n.ids, id)
}

func (n *recordingNotifier) count() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return len(n.ids)
}

// fakeProber is a Prober that reports the targets in crashed as crashed.
type fakeProber struct {
	mu      sync.Mutex
	crashed map[string]bool
}

func (p *fakeProber) Crashed(_ context.Context, in targets.Instance) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.crashed[in.ID]
}

func newGateway(v *fleet.View, sender exchange.Sender, reserver exchange.Reserver, notifier gateway.FailureNotifier, ms *metrics.Set) *gateway.Gateway {
	tracker := quarantine.NewTracker(quarantine.Config{Prober: &fakeProber{}, Metrics: ms})
	return gateway.New(gateway.Config{View: v, Sender: sender, Reserver: reserver, FailureNotifier: notifier, Quarantine: tracker, Metrics: ms})
}

// newFixture returns a fixture with a route to a service of n targets.
func newFixture(route catalog.Route, n int, replies ...scriptedResponse) *fixture {
	route.Host, route.PathPrefix = "h", "/"
	route.Shares = []catalog.Share{{Service: "s", Weight: 1}}
	if route.Timeout == 0 {
		route.Timeout = 5 * time.Second
	}
	ms := metrics.New("test")
	v := fleet.NewView(decoder{route}, 1, logging.Logger{}, ms)
	v.CatalogSink().Reset([]store.Record{{Key: "c", Value: []byte("1")}})
	var recs []store.Record
	for i := range n {
		recs = append(recs, store.Record{Key: fmt.Sprint("i", i), Value: []byte("1"), Offset: int64(i)})
	}
	v.TargetSink().Reset(recs)
	sender := &scriptedSender{responses: replies}
	notifier, reserver := &recordingNotifier{}, &fakeReserver{full: make(map[string]bool)}
	prober := &fakeProber{crashed: make(map[string]bool)}
	tracker := quarantine.NewTracker(quarantine.Config{Prober: prober, Metrics: ms})
	plan := shutdown.NewPlan()
	gw := gateway.New(gateway.Config{View: v, Sender: sender, Reserver: reserver, FailureNotifier: notifier, Quarantine: tracker, Shutdown: plan, Metrics: ms})
	return &fixture{notifier: notifier, reserver: reserver, prober: prober, quarantine: tracker, view: v, shutdown: plan, gw: gw, sender: sender}
}

func (f *fixture) serve(ctx context.Context) *recorder {
	return f.serveWithin(ctx, 0)
}

// serveWithin serves a caller that sends a deadline after the given time; 0 stands for no
// deadline.
func (f *fixture) serveWithin(ctx context.Context, within time.Duration) *recorder {
	return f.serveHolder(ctx, within, fairshare.Holder{})
}

// serveAs serves a caller of a workspace with a deadline.
func (f *fixture) serveAs(ctx context.Context, h fairshare.Holder) *recorder {
	return f.serveHolder(ctx, callerTimeout, h)
}

func (f *fixture) serveHolder(ctx context.Context, within time.Duration, h fairshare.Holder) *recorder {
	c := &recorder{}
	route, refusal := f.gw.Route(ctx, "r", "h", "/x")
	if refusal != nil {
		c.refusal = refusal
		return c
	}
	req := &gateway.Request{Call: exchange.Call{ID: "r", Method: "POST", Host: "h", URI: "/x", Work: estimate.Work{PromptTokens: 600}}, Arrived: time.Now(), Holder: h}
	if within > 0 {
		req.Deadline = req.Arrived.Add(within)
	}
	f.gw.Serve(ctx, route, req, c)
	return c
}

var (
	nonIdempotent = catalog.Route{Kind: catalog.NonIdempotent, Attempts: 2}
	idempotent    = catalog.Route{Kind: catalog.Idempotent, Attempts: 2, FirstEventWithin: time.Second}
	streaming     = catalog.Route{Kind: catalog.Streaming, Attempts: 2, FirstEventWithin: 300 * time.Millisecond, EventGapWithin: 300 * time.Millisecond}
	resumable     = catalog.Route{Kind: catalog.Streaming, Attempts: 2, Resumable: true, FirstEventWithin: 300 * time.Millisecond, EventGapWithin: 300 * time.Millisecond}
)

// inVirtualTime runs fn in a bubble of package synctest, with a fake clock.
func inVirtualTime(t *testing.T, fn func(t *testing.T)) {
	t.Helper()
	synctest.Test(t, fn)
}

// A request that must not be repeated runs twice if "no response" is taken for "not run" when
// the connection breaks, the target fails or no response arrives.
func TestNoRetryOfNonRepeatableRequestThatMayHaveRun(t *testing.T) {
	for _, route := range []catalog.Route{nonIdempotent, streaming} {
		for name, first := range map[string]scriptedResponse{"broken": failBroken(true), "failed": respond(exchange.Failed, 500, strings.NewReader("oops"), false), "silent": neverRespond} {
			inVirtualTime(t, func(t *testing.T) {
				f := newFixture(route, 3, first, respond(exchange.Done, 200, strings.NewReader("second"), false))
				c := f.serve(t.Context())
				if len(f.sender.calls) != 1 {
					t.Fatalf("%s: sent %d times, want once", name, len(f.sender.calls))
				}
				if c.refusal != nil && c.refusal.NotRun {
					t.Fatalf("%s: refused as not run although it may have run", name)
				}
				if name == "failed" && (c.status != 500 || c.body.String() != "oops") {
					t.Fatalf("got status %d, body %q; want the target's own 500 response", c.status, c.body.String())
				}
			})
		}
	}
}

// A request that a target did not run must be sent to another target. Relaying the first
// target's refusal fails a request that others would have run.
func TestRequestThatDidNotRunIsSentElsewhere(t *testing.T) {
	for name, first := range map[string]scriptedResponse{
		"not sent": failBroken(false),
		"full":     respond(exchange.NotRun, 503, strings.NewReader(""), false),
		"other":    respond(exchange.OtherInstance, 421, strings.NewReader(""), false),
	} {
		inVirtualTime(t, func(t *testing.T) {
			f := newFixture(nonIdempotent, 3, first, respond(exchange.Done, 200, strings.NewReader("ok"), false))
			c := f.serve(t.Context())
			if c.status != 200 || c.body.String() != "ok" || f.sender.to[0] == f.sender.to[1] {
				t.Fatalf("%s: got status %d, body %q from targets %v, refusal %v", name, c.status, c.body.String(), f.sender.to, c.refusal)
			}
		})
	}
}

// After a power loss all targets restart while the registry still lists the old instances. If
// an address that now has another instance is tried again and again, requests are turned away
// four times in a row and then refused, for seconds.
func TestAddressWithOtherInstanceIsNotTriedAgain(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) {
		other := respond(exchange.OtherInstance, 421, strings.NewReader(""), false)
		f := newFixture(nonIdempotent, 2, other)
		for range 20 {
			f.sender.responses = append(f.sender.responses, func(ctx context.Context, call *exchange.Call) (*exchange.Response, error) {
				return respond(exchange.Done, 200, strings.NewReader("ok"), false)(ctx, call)
			})
		}
		for range 20 {
			f.serve(t.Context())
			time.Sleep(time.Second)
		}
		for _, id := range f.sender.to[1:] {
			if id == f.sender.to[0] {
				t.Fatalf("%s was tried again after it reported another instance", id)
			}
		}
	})
}

// When the first target may have run a request and the others report that they did not, the
// refusal must not claim "not run", as it does when only the last response counts.
func TestNotRunRequiresThatNoTargetMayHaveRun(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) {
		full := respond(exchange.NotRun, 503, strings.NewReader(""), false)
		f := newFixture(idempotent, 5, failBroken(true), full, full, full)
		if c := f.serve(t.Context()); c.refusal == nil || c.refusal.NotRun {
			t.Fatalf("got refusal %+v, want one that may have run", c.refusal)
		}
		f = newFixture(idempotent, 5, full, full, full, full)
		if c := f.serve(t.Context()); c.refusal == nil || !c.refusal.NotRun || c.refusal.RetryAfter == 0 {
			t.Fatalf("got refusal %+v, want one as not run with a retry-after", c.refusal)
		}
	})
}

// When a target breaks off inside an event, another one resumes the stream. The caller gets a
// gap, a repeated part or a false end if the partial event is relayed or the stream is resumed
// at the wrong event.
func TestBrokenStreamResumesAfterLastCompleteEvent(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) {
		f := newFixture(resumable, 3, respond(exchange.Done, 200, truncatedStream(1, 4), true), respond(exchange.Done, 200, strings.NewReader(eventStream(5, 9)), true))
		c := f.serve(t.Context())
		if c.body.String() != eventStream(1, 9) || c.aborted || f.sender.calls[1].ResumeAfter != 4 {
			t.Fatalf("aborted %v, resumed after %d, body %q", c.aborted, f.sender.calls[1].ResumeAfter, c.body.String())
		}
	})
}

// A truncated stream must not look complete to its caller.
func TestStreamThatCannotResumeIsAborted(t *testing.T) {
	cases := map[string]*fixture{
		"not resumable":  newFixture(streaming, 3, respond(exchange.Done, 200, truncatedStream(1, 4), true), respond(exchange.Done, 200, strings.NewReader(eventStream(5, 9)), true)),
		"attempts spent": newFixture(resumable, 3, respond(exchange.Done, 200, truncatedStream(1, 4), true), respond(exchange.Done, 200, truncatedStream(5, 6), true), respond(exchange.Done, 200, strings.NewReader(eventStream(7, 9)), true)),
		"wrong place":    newFixture(resumable, 3, respond(exchange.Done, 200, truncatedStream(1, 4), true), respond(exchange.Done, 200, strings.NewReader(eventStream(6, 9)), true)),
	}
	for name, f := range cases {
		inVirtualTime(t, func(t *testing.T) {
			c := f.serve(t.Context())
			if !c.aborted || !strings.HasPrefix(eventStream(1, 9), c.body.String()) {
				t.Fatalf("%s: aborted %v, body %q", name, c.aborted, c.body.String())
			}
			if len(f.sender.calls) > 2 {
				t.Fatalf("%s: sent to %d targets; the route allows two attempts", name, len(f.sender.calls))
			}
		})
	}
}

// A target's host becomes unreachable before the first event or between two. If only a broken
// connection triggers failover, the caller waits for seconds.
func TestFailoverFromUnresponsiveTarget(t *testing.T) {
	stall := func(ctx context.Context, _ *exchange.Call) (*exchange.Response, error) {
		return &exchange.Response{Status: 200, Body: io.NopCloser(stalledReader{strings.NewReader(eventStream(1, 3)), ctx}), ContentLength: -1, EventStream: true}, nil
	}
	for name, f := range map[string]*fixture{
		"before the first event": newFixture(resumable, 3, neverRespond, respond(exchange.Done, 200, strings.NewReader(eventStream(1, 5)), true)),
		"between events":         newFixture(resumable, 3, stall, respond(exchange.Done, 200, strings.NewReader(eventStream(4, 5)), true)),
	} {
		inVirtualTime(t, func(t *testing.T) {
			began := time.Now()
			c := f.serve(t.Context())
			took := time.Since(began)
			if c.body.String() != eventStream(1, 5) || took > 300*time.Millisecond {
				t.Fatalf("%s: after %s got body %q", name, took, c.body.String())
			}
			ejected := false
			f.view.WithTable(func(tab *balance.Table) { ejected = len(tab.BatchTargets(time.Now(), "s")) == 0 })
			if !ejected {
				t.Fatalf("%s: the unresponsive target still has seats for batch work", name)
			}
		})
	}
}

// At the onset of peak load requests wait for a slot longer than usual. If a busy target
// is taken for a failed one although its agent reports it, a tenth of the targets get no requests
// for a second and the others are overloaded.
func TestBusyTargetIsNotEjected(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) {
		f := newFixture(streaming, 1, neverRespond)
		f.view.WithTable(func(tab *balance.Table) {
			tab.UpdateLoad(time.Now(), "i0", balance.Report{Active: 6, Slots: 8, FreeSeats: 2})
		})
		ctx, cancel := context.WithTimeout(t.Context(), 400*time.Millisecond)
		defer cancel()
		f.serve(ctx)
		f.view.WithTable(func(tab *balance.Table) {
			if len(tab.BatchTargets(time.Now(), "s")) == 0 {
				t.Error("the busy target was ejected")
			}
		})
	})
}

// Several entries choose the same target at the same time, and a slot becomes free elsewhere
// shortly after. A request that stays where it was sent waits in a queue while other targets
// have free slots.
func TestQueuedRequestMovesToFreeSlot(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) {
		f := newFixture(resumable, 2, neverRespond, respond(exchange.Done, 200, strings.NewReader(eventStream(1, 2)), true))
		f.view.WithTable(func(tab *balance.Table) {
			for _, id := range []string{"i0", "i1"} {
				tab.UpdateLoad(time.Now(), id, balance.Report{Active: 4, Slots: 8})
			}
		})
		began := time.Now()
		c := f.serve(t.Context())
		if took := time.Since(began); c.body.String() != eventStream(1, 2) || took > 150*time.Millisecond {
			t.Fatalf("after %s got body %q", took, c.body.String())
		}
	})
}

// When all targets have long queues, a request is refused at once. If it is queued although its
// deadline would pass before its turn, it is held until its caller gives up.
func TestOverloadIsRefusedAtOnce(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) {
		f := newFixture(streaming, 2)
		f.view.WithTable(func(tab *balance.Table) {
			for _, id := range []string{"i0", "i1"} {
				tab.UpdateLoad(time.Now(), id, balance.Report{Active: 8, Queued: 12, Slots: 8})
			}
		})
		began := time.Now()
		c := f.serve(t.Context())
		if c.refusal == nil || !c.refusal.NotRun || c.refusal.RetryAfter == 0 || time.Since(began) > 0 || len(f.sender.calls) > 0 {
			t.Fatalf("got refusal %+v after %s and %d calls, want one as not run, at once and without a call", c.refusal, time.Since(began), len(f.sender.calls))
		}
	})
}

// The timeout that the operator sets on a route is enforced. Otherwise a caller gets no response
// until its own timeout.
func TestRouteTimeoutIsEnforced(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) {
		route := nonIdempotent
		route.Timeout = 700 * time.Millisecond
		f := newFixture(route, 1, neverRespond)
		began := time.Now()
		c := f.serve(t.Context())
		if took := time.Since(began); c.refusal == nil || c.refusal.Reason != gateway.TimedOut || c.refusal.NotRun || took > 710*time.Millisecond {
			t.Fatalf("got refusal %+v after %s, want one as timed out within 710 ms", c.refusal, took)
		}
	})
}

// A target must not continue to work for a caller that has disconnected.
func TestDisconnectedCallerEndsRequest(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) {
		f := newFixture(resumable, 3, neverRespond)
		ctx, cancel := context.WithCancel(t.Context())
		time.AfterFunc(50*time.Millisecond, cancel)
		began := time.Now()
		c := f.serve(ctx)
		if took := time.Since(began); took > 60*time.Millisecond || c.refusal != nil || len(f.sender.calls) != 1 {
			t.Fatalf("ended after %s with refusal %+v and %d calls, want within 60 ms, none and one", took, c.refusal, len(f.sender.calls))
		}
		// A caller that has closed only its sending half must get no empty success.
		if !c.aborted {
			t.Fatal("the connection was not aborted")
		}
	})
}

// A process that has not loaded a catalog refuses requests as not ready, never as "no such
// route".
func TestRefusesAsNotReadyWithoutCatalog(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) {
		ms := metrics.New("test")
		g := newGateway(fleet.NewView(decoder{}, 1, logging.Logger{}, ms), &scriptedSender{}, &fakeReserver{}, &recordingNotifier{}, ms)
		time.Sleep(time.Second)
		began := time.Now()
		_, r := g.Route(t.Context(), "r", "h", "/x")
		if r == nil || r.Reason != gateway.NotReady || !r.NotRun || r.RetryAfter == 0 || time.Since(began) > 0 {
			t.Fatalf("got refusal %+v after %s, want one as not ready, at once and with a retry-after", r, time.Since(began))
		}
	})
}

// After all processes were killed, the first requests arrive before the new ones have read
// configuration and registry. If state that is not loaded yet is taken for absent, callers are
// refused with a retry-after by a process that can serve 30 ms later.
func TestStartingProcessHoldsRequests(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) {
		ms := metrics.New("test")
		route := catalog.Route{Name: "r", Host: "h", PathPrefix: "/"}
		v := fleet.NewView(decoder{route}, 1, logging.Logger{}, ms)
		g := newGateway(v, &scriptedSender{}, &fakeReserver{}, &recordingNotifier{}, ms)
		time.AfterFunc(30*time.Millisecond, func() {
			v.CatalogSink().Reset([]store.Record{{Key: "c", Value: []byte("1")}})
			v.TargetSink().Reset(nil)
		})
		if got, r := g.Route(t.Context(), "r", "h", "/x"); r != nil || got.Name != "r" {
			t.Fatalf("got refusal %+v, want the route", r)
		}
	})
}

// All targets have queues. If a request without a response for 300 ms leaves its queue for
// another one, it finds the other queues too long and is refused although it may have run.
func TestQueuedRequestDoesNotMoveToOtherQueue(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) {
		slow := func(ctx context.Context, call *exchange.Call) (*exchange.Response, error) {
			time.Sleep(700 * time.Millisecond)
			return respond(exchange.Done, 200, strings.NewReader(eventStream(1, 2)), true)(ctx, call)
		}
		f := newFixture(resumable, 2, slow)
		for at := range 8 {
			time.AfterFunc(time.Duration(at)*100*time.Millisecond, func() {
				f.view.WithTable(func(tab *balance.Table) {
					for _, id := range []string{"i0", "i1"} {
						tab.UpdateLoad(time.Now(), id, balance.Report{Active: 8, Queued: 2 + 3*min(at, 1), Slots: 8})
					}
				})
			})
		}
		time.Sleep(time.Millisecond)
		if c := f.serve(t.Context()); c.body.String() != eventStream(1, 2) || len(f.sender.calls) != 1 {
			t.Fatalf("got body %q after %d sends, refusal %+v", c.body.String(), len(f.sender.calls), c.refusal)
		}
		time.Sleep(time.Second)
	})
}

// Guards against a request that leaves its last target for a free slot at one that it has tried
// before, and is then refused although it may have run.
func TestQueuedRequestDoesNotMoveBack(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) {
		slow := func(ctx context.Context, call *exchange.Call) (*exchange.Response, error) {
			select {
			case <-time.After(300 * time.Millisecond):
				return respond(exchange.Done, 200, strings.NewReader(eventStream(1, 2)), true)(ctx, call)
			case <-ctx.Done():
				return neverRespond(ctx, call)
			}
		}
		f := newFixture(resumable, 2, respond(exchange.NotRun, 503, strings.NewReader(""), false), slow)
		for at := range 8 {
			time.AfterFunc(time.Duration(at)*50*time.Millisecond, func() {
				f.report("i0", 0)
				f.report("i1", 0)
			})
		}
		time.Sleep(time.Millisecond)
		if c := f.serve(t.Context()); c.body.String() != eventStream(1, 2) || len(f.sender.calls) != 2 {
			t.Fatalf("got body %q after %d sends, refusal %+v", c.body.String(), len(f.sender.calls), c.refusal)
		}
		time.Sleep(time.Second)
	})
}

// pausingStream sends the events 1 and 2 after a pause before each.
func pausingStream(pause time.Duration) scriptedResponse {
	return func(ctx context.Context, _ *exchange.Call) (*exchange.Response, error) {
		rd, wr := io.Pipe()
		go func() {
			for n := 1; n <= 2; n++ {
				select {
				case <-time.After(pause):
				case <-ctx.Done():
					_ = wr.CloseWithError(ctx.Err())
					return
				}
				_, _ = io.WriteString(wr, eventStream(n, n)) // fails only if the stream has been given up
			}
			_ = wr.Close()
		}()
		return &exchange.Response{Status: http.StatusOK, Header: http.Header{}, Body: rd, EventStream: true, ContentLength: -1}, nil
	}
}

// Guards against a response that is given up because its target pauses, although no other target
// may get the request.
func TestSilentTargetIsAwaitedIfThereIsNoOther(t *testing.T) {
	notRun := respond(exchange.NotRun, 503, strings.NewReader(""), false)
	lateResponse := func(ctx context.Context, call *exchange.Call) (*exchange.Response, error) {
		select {
		case <-time.After(800 * time.Millisecond):
			return goodStream()(ctx, call)
		case <-ctx.Done():
			return neverRespond(ctx, call)
		}
	}
	for name, c := range map[string]struct {
		targets int
		replies []scriptedResponse
	}{
		"pause in the stream of the only target":       {1, []scriptedResponse{pausingStream(800 * time.Millisecond)}},
		"pause in the stream of the last target":       {2, []scriptedResponse{notRun, pausingStream(800 * time.Millisecond)}},
		"pause before the response of the only target": {1, []scriptedResponse{lateResponse}},
		"pause before the response of the last target": {2, []scriptedResponse{notRun, lateResponse}},
	} {
		t.Run(name, func(t *testing.T) {
			inVirtualTime(t, func(t *testing.T) {
				f := newFixture(resumable, c.targets, c.replies...)
				if got := f.serve(t.Context()); got.body.String() != eventStream(1, 2) || got.aborted {
					t.Errorf("got body %q, aborted %v, refusal %+v after %d sends, want the stream", got.body.String(), got.aborted, got.refusal, len(f.sender.calls))
				}
				time.Sleep(time.Second)
			})
		})
	}
}

// A request waits at an unreachable target that is reported to have free slots, and is retried at
// another one. If the entry does not record that, it sends the next request to the same target; if
// it ignores the agent's report that the target does not respond, requests still wait there. With
// five of twelve targets unreachable, a third of the requests at peak load were late, and every
// entry had to find each of these targets by itself.
func TestUnreachableTargetIsNotChosenAgain(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) {
		good := respond(exchange.Done, 200, strings.NewReader(eventStream(1, 2)), true)
		f := newFixture(resumable, 2, neverRespond, good)
		f.view.WithTable(func(tab *balance.Table) {
			for _, id := range []string{"i0", "i1"} {
				tab.UpdateLoad(time.Now(), id, balance.Report{Active: 4, Slots: 8})
			}
		})
		f.serve(t.Context())
		unreachable := f.sender.firstTarget()
		for n := range 20 {
			f.view.WithTable(func(tab *balance.Table) {
				if c, ok := tab.Pick(time.Now(), "s", nil, float64(n)/20); !ok || c.Instance.ID == unreachable {
					t.Errorf("draw %d chooses the unreachable target again", n)
				}
			})
		}
	})
	inVirtualTime(t, func(t *testing.T) {
		good := respond(exchange.Done, 200, strings.NewReader(eventStream(1, 2)), true)
		f := newFixture(resumable, 2, neverRespond, good)
		go func() {
			time.Sleep(20 * time.Millisecond)
			f.view.WithTable(func(tab *balance.Table) {
				for _, id := range []string{"i0", "i1"} {
					tab.UpdateLoad(time.Now(), id, balance.Report{Unresponsive: id == f.sender.firstTarget()})
				}
			})
		}()
		began := time.Now()
		if c := f.serve(t.Context()); c.body.String() != eventStream(1, 2) || time.Since(began) > 150*time.Millisecond {
			t.Errorf("after %s got body %q", time.Since(began), c.body.String())
		}
		if f.notifier.count() == 0 {
			t.Error("the failure was not reported to other entries")
		}
	})
}

// Forty entries see the same last free slot of a target in a load report that is 15 ms old. If
// they all send a request there without a reservation, first events are late at peak load: some
// targets have a queue while others have a free slot.
func TestLastFreeSlotsAreReserved(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) {
		good := respond(exchange.Done, 200, strings.NewReader(eventStream(1, 2)), true)
		f := newFixture(resumable, 3, good)
		for _, id := range []string{"i0", "i1"} {
			f.reserver.full[id] = true
		}
		f.view.WithTable(func(tab *balance.Table) {
			for _, id := range []string{"i0", "i1", "i2"} {
				tab.UpdateLoad(time.Now(), id, balance.Report{Active: 7, Slots: 8})
			}
		})
		if c := f.serve(t.Context()); c.body.String() != eventStream(1, 2) {
			t.Fatalf("got body %q, want events 1 and 2", c.body.String())
		}
		if len(f.sender.to) != 1 || f.sender.to[0] != "i2" || f.sender.calls[0].ReservedSlot != "slot-i2" {
			t.Errorf("sent to %v with reservation %q, want i2 with slot-i2", f.sender.to, f.sender.calls[0].ReservedSlot)
		}
	})
}

// In a large fleet an entry gets load reports from only some of the targets. If targets without
// a report are taken for idle, requests wait at busy ones: at each peak two first events in five
// were late, and thousands of healthy targets were ejected as unresponsive.
func TestSlotIsReservedAtUnreportedTarget(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) {
		good := respond(exchange.Done, 200, strings.NewReader(eventStream(1, 2)), true)
		f := newFixture(resumable, 3, good, good)
		report := func(active int) {
			f.view.WithTable(func(tab *balance.Table) { tab.UpdateLoad(time.Now(), "i0", balance.Report{Active: active, Slots: 8}) })
		}
		report(2)
		if f.serve(t.Context()); f.sender.to[0] != "i0" || len(f.reserver.tried) != 0 {
			t.Fatalf("sent to %v, reservations tried at %v; i0 is reported to have free slots", f.sender.to, f.reserver.tried)
		}
		report(8)
		f.reserver.full["i1"] = true
		if f.serve(t.Context()); f.sender.to[1] != "i2" || f.sender.calls[1].ReservedSlot != "slot-i2" {
			t.Errorf("sent to %v with reservation %q; i0 and i1 are full, i2 has a free slot", f.sender.to, f.sender.calls[1].ReservedSlot)
		}
	})
}

// When no target has a free slot, a target whose load is reported is preferred. If targets without
// a report are chosen after others of them turned out to be full, requests wait in queues of
// unknown length.
func TestReportedQueueIsPreferredWithoutFreeSlots(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) {
		good := respond(exchange.Done, 200, strings.NewReader(eventStream(1, 2)), true)
		f := newFixture(resumable, 12, good)
		f.view.WithTable(func(tab *balance.Table) { tab.UpdateLoad(time.Now(), "i0", balance.Report{Active: 8, Slots: 8}) })
		for n := range 12 {
			f.reserver.full[fmt.Sprint("i", n)] = true
		}
		if f.serve(t.Context()); f.sender.to[0] != "i0" {
			t.Errorf("sent to %v, want i0, whose load is reported", f.sender.to)
		}
	})
}

// At peak load requests wait for more than 200 ms at targets that no agent reports. If such a
// target counts as unresponsive, an entry ejects one healthy target after the other. Only a
// target that has just reserved a slot, where a request has no reason to wait, or that its agent
// reports as unresponsive counts as such.
func TestWaitingAtUnreportedTargetIsNotFailure(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) {
		never := func(ctx context.Context, _ *exchange.Call) (*exchange.Response, error) {
			<-ctx.Done()
			return nil, &exchange.SendError{Fault: exchange.FaultCanceled, Sent: true, Cause: ctx.Err()}
		}
		good := respond(exchange.Done, 200, strings.NewReader(eventStream(1, 2)), true)
		f := newFixture(resumable, 2, never, good)
		f.reserver.full["i0"], f.reserver.full["i1"] = true, true
		if c := f.serve(t.Context()); c.body.String() != eventStream(1, 2) {
			t.Fatalf("got body %q, want events 1 and 2", c.body.String())
		}
		if f.notifier.count() != 0 {
			t.Error("a target that may only be busy was reported to have failed")
		}
	})
}

// Guards against requests that are refused for good, so that their callers ask no other process,
// because an old catalog lacks their route: one of a copy, or the last one known in an outage.
func TestUnknownRouteIsRefusedForGoodByAConfirmedCatalogOnly(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) {
		f := newFixture(idempotent, 1)
		asOf := time.Time{}
		gw := gateway.New(gateway.Config{View: f.view, CatalogAsOf: func() time.Time { return asOf }, Quarantine: f.quarantine, Metrics: metrics.New("test")})
		for _, c := range []struct {
			name string
			asOf time.Time
			want gateway.Reason
		}{
			{"never confirmed", time.Time{}, gateway.NotReady},
			{"confirmed 1.8 s ago", time.Now().Add(-1800 * time.Millisecond), gateway.NoRoute},
			{"confirmed 2 s ago", time.Now().Add(-2 * time.Second), gateway.NotReady},
			{"confirmed 3 s ago", time.Now().Add(-3 * time.Second), gateway.NotReady},
			{"confirmed 5 s ago", time.Now().Add(-5 * time.Second), gateway.NotReady},
		} {
			asOf = c.asOf
			_, refusal := gw.Route(t.Context(), "r", "other", "/x")
			if refusal == nil || refusal.Reason != c.want || !refusal.NotRun || (refusal.RetryAfter > 0) != (c.want == gateway.NotReady) {
				t.Errorf("%s: refusal %+v, want %s", c.name, refusal, c.want)
			}
			if _, refusal := gw.Route(t.Context(), "r", "h", "/x"); refusal != nil {
				t.Errorf("%s: a known route is refused: %+v", c.name, refusal)
			}
		}
	})
}
