package gateway_test

import (
	"context"
	"encoding/json"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"pumiceford/catalog"
	"pumiceford/exchange"
	"pumiceford/fleet"
	"pumiceford/gateway"
	"pumiceford/logging"
	"pumiceford/metrics"
	"pumiceford/origins"
	"pumiceford/quarantine"
	"pumiceford/store"
	"pumiceford/targets"
	"pumiceford/wire"
)

// jsonDecoder decodes an Instance from JSON, and a catalog with one resumable route to the
// service that the record names.
type jsonDecoder struct{ version *int64 }

func (jsonDecoder) CatalogKey() string { return "c" }

func (d jsonDecoder) Catalog(value []byte) (*catalog.Catalog, error) {
	*d.version++
	r := catalog.Route{Name: "r", Host: "h", PathPrefix: "/", Kind: catalog.Streaming, Resumable: true, Attempts: 2, Timeout: 5 * time.Second,
		Shares: []catalog.Share{{Service: string(value), Weight: 1}}}
	return catalog.New(*d.version, catalog.Limits{}, nil, []catalog.Route{r}), nil
}

func (jsonDecoder) Instance(_ string, value []byte) (in targets.Instance, err error) {
	err = json.Unmarshal(value, &in)
	return in, err
}

// resumeFixture is two entries that share the agents beside the targets.
type resumeFixture struct {
	entries []*resumingEntry
	began   time.Time

	onConfirm func() // called before a read of the registry ends

	mu      sync.Mutex
	holders map[string]*origins.Holder // by address of the target
}

type resumingEntry struct {
	f      *resumeFixture
	view   *fleet.View
	gw     *gateway.Gateway
	sender *scriptedSender
}

func (f *resumeFixture) clock() time.Duration { return time.Since(f.began) }

func (f *resumeFixture) ConfirmedAt() (time.Duration, bool) { return f.clock(), true }

func (f *resumeFixture) Confirm(context.Context, time.Duration) error {
	if f.onConfirm != nil {
		f.onConfirm()
	}
	return nil
}

func (f *resumeFixture) VersionHistories(context.Context) []*wire.VersionHistory { return nil }

func (f *resumeFixture) Origins(_ context.Context, addr string, call *wire.OriginCall) (*wire.OriginReply, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.holders[addr] == nil {
		f.holders[addr] = origins.NewHolder(f.clock, metrics.New("agent"))
	}
	return f.holders[addr].Serve(call)
}

// agentsCalled returns the number of agents that were called.
func (f *resumeFixture) agentsCalled() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.holders)
}

// newResumeFixture returns two entries with a route to service "s" that have known the given
// targets long enough to rely on the registry.
func newResumeFixture(ctx context.Context, t *testing.T, all ...targets.Instance) *resumeFixture {
	t.Helper()
	f := &resumeFixture{holders: make(map[string]*origins.Holder), began: time.Now()}
	for range 2 {
		ms := metrics.New("e")
		e := &resumingEntry{f: f, view: fleet.NewView(jsonDecoder{new(int64)}, 1, logging.Logger{}, ms), sender: &scriptedSender{}}
		dir := origins.NewDirectory(origins.Config{Registry: f, Agents: f, Entries: f, Clock: f.clock, Metrics: ms})
		e.view.OnTargetChange(dir.SetTargets)
		e.view.OnSharesChange(dir.RecordOpen)
		e.gw = gateway.New(gateway.Config{
			View: e.view, Sender: e.sender, Reserver: &fakeReserver{}, FailureNotifier: &recordingNotifier{}, Origins: dir, Metrics: ms,
			Quarantine: quarantine.NewTracker(quarantine.Config{Prober: &fakeProber{}, Metrics: ms}),
		})
		f.entries = append(f.entries, e)
		go dir.Run(ctx)
	}
	f.route("s")
	f.register(t, all...)
	time.Sleep(2 * time.Minute)
	return f
}

func (f *resumeFixture) route(service string) {
	for _, e := range f.entries {
		e.view.CatalogSink().Reset([]store.Record{{Key: "c", Value: []byte(service)}})
	}
}

func (f *resumeFixture) register(t *testing.T, all ...targets.Instance) {
	t.Helper()
	var recs []store.Record
	for _, in := range all {
		value, err := json.Marshal(in)
		if err != nil {
			t.Fatal(err)
		}
		recs = append(recs, store.Record{Key: in.ID, Value: value})
	}
	for _, e := range f.entries {
		e.view.TargetSink().Reset(slices.Clone(recs))
	}
}

// serve serves one attempt at a stream, from the event after the given one.
func (e *resumingEntry) serve(ctx context.Context, id, first string, after uint64, responses ...scriptedResponse) *recorder {
	e.sender.responses = responses
	call := &recorder{}
	route, refusal := e.gw.Route(ctx, id, "h", "/x")
	if refusal != nil {
		call.Refuse(*refusal)
		return call
	}
	req := &gateway.Request{
		Call:    exchange.Call{ID: id, Method: "POST", Host: "h", URI: "/x", ResumeAfter: after},
		Arrived: time.Now(), FirstAttempt: first, Key: quarantine.NewKey("", "POST", "h", "/x", []byte("content")),
	}
	e.gw.Serve(ctx, route, req, call)
	return call
}

func instanceOf(id, service, version string) targets.Instance {
	return targets.Instance{ID: id, Addr: id, Service: service, Version: version, Slots: 8}
}

// Guards against a stream that goes on at another service because its route moved there after
// the stream had begun, when nothing was recorded of streams.
func TestStreamDoesNotFollowItsRouteToAnotherService(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) {
		ctx, stop := context.WithCancel(t.Context())
		defer stop()
		f := newResumeFixture(ctx, t, instanceOf("a", "s", "v1"), instanceOf("b", "other", "v1"))
		first := f.entries[0].serve(ctx, "one", "", 0, respond(exchange.Done, 200, truncatedStream(1, 3), true))
		if first.status != 200 || !first.aborted {
			t.Fatalf("first attempt: %+v", first)
		}
		again := f.entries[1].serve(ctx, "two", "one", 3, respond(exchange.Done, 200, strings.NewReader(eventStream(4, 6)), true))
		if again.body.String() != eventStream(4, 6) {
			t.Fatalf("before the move: %+v, want the rest of the stream", again)
		}
		f.route("other")
		moved := f.entries[1].serve(ctx, "three", "one", 3, respond(exchange.Done, 200, strings.NewReader(eventStream(4, 6)), true))
		if moved.refusal == nil || !moved.refusal.NotRun {
			t.Errorf("after the move: %+v, want a refusal", moved)
		}
		time.Sleep(10 * time.Minute)
		fresh := f.entries[1].serve(ctx, "four", "", 0, respond(exchange.Done, 200, strings.NewReader(eventStream(1, 3)), true))
		if fresh.body.String() != eventStream(1, 3) {
			t.Errorf("new stream after the move: %+v", fresh)
		}
	})
}

// Guards against a stream that goes on at a target which has started again under its ID with
// another version, when the entry has not read that yet.
func TestRestOfAStreamIsNotTakenFromAReplacedVersion(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) {
		ctx, stop := context.WithCancel(t.Context())
		defer stop()
		f := newResumeFixture(ctx, t, instanceOf("a", "s", "v1"))
		f.entries[0].serve(ctx, "one", "", 0, respond(exchange.Done, 200, truncatedStream(1, 3), true))
		rest := func(ctx context.Context, call *exchange.Call) (*exchange.Response, error) {
			f.onConfirm = func() { f.register(t, instanceOf("a", "s", "v2")) }
			return respond(exchange.Done, 200, strings.NewReader(eventStream(4, 6)), true)(ctx, call)
		}
		again := f.entries[1].serve(ctx, "two", "one", 3, rest)
		if again.refusal == nil || again.body.Len() > 0 {
			t.Errorf("taken up: %+v, want a refusal", again)
		}
	})
}

// Guards against a response that goes on at the version that its first target was believed to
// have, when that target had started again under its ID with another version.
func TestResponseOfAReplacedVersionDoesNotGoOn(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) {
		ctx, stop := context.WithCancel(t.Context())
		defer stop()
		f := newResumeFixture(ctx, t, instanceOf("a", "s", "v1"), instanceOf("b", "s", "v1"))
		e := f.entries[0]
		broken := func(ctx context.Context, call *exchange.Call) (*exchange.Response, error) {
			return respond(exchange.Done, 200, truncatedStream(1, 3), true)(ctx, call)
		}
		rest := func(ctx context.Context, call *exchange.Call) (*exchange.Response, error) {
			f.register(t, instanceOf(e.sender.firstTarget(), "s", "v2"), instanceOf("c", "s", "v1"))
			return respond(exchange.Done, 200, strings.NewReader(eventStream(4, 6)), true)(ctx, call)
		}
		if c := e.serve(ctx, "one", "", 0, broken, rest); c.body.String() != eventStream(1, 3) || !c.aborted {
			t.Errorf("got %+v, want events 1 to 3 and an aborted response", c)
		}
		time.Sleep(10 * time.Millisecond) // until the agents know
		if c := f.entries[1].serve(ctx, "two", "one", 3, respond(exchange.Done, 200, strings.NewReader(eventStream(4, 6)), true)); c.refusal == nil || !c.refusal.NotRun {
			t.Errorf("taken up at another entry: %+v, want a refusal", c)
		}
	})
}

// Guards against messages for each stream while one version serves.
func TestNothingIsSentWhileOneVersionServes(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) {
		ctx, stop := context.WithCancel(t.Context())
		defer stop()
		f := newResumeFixture(ctx, t, instanceOf("a", "s", "v1"), instanceOf("b", "s", "v1"))
		before := f.agentsCalled() // while the entries had just started
		for _, id := range []string{"one", "two", "three"} {
			f.entries[0].serve(ctx, id, "", 0, respond(exchange.Done, 200, strings.NewReader(eventStream(1, 3)), true))
		}
		if n := f.agentsCalled(); n != before {
			t.Errorf("%d agents were called", n-before)
		}
		f.register(t, instanceOf("a", "s", "v1"), instanceOf("b", "s", "v1"), instanceOf("c", "s", "v2"))
		f.entries[0].serve(ctx, "four", "", 0, respond(exchange.Done, 200, strings.NewReader(eventStream(1, 3)), true))
		if f.agentsCalled() == before {
			t.Error("no agent was called while two versions serve")
		}
	})
}

// Guards against a failure in place of the end of a stream: the caller takes it up after the last
// event, and the targets have no more. One target alone is not believed while there is another.
func TestStreamTakenUpAfterItsLastEventIsComplete(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) {
		ctx, stop := context.WithCancel(t.Context())
		defer stop()
		f := newResumeFixture(ctx, t, instanceOf("a", "s", "v1"), instanceOf("b", "s", "v1"))
		empty := func() scriptedResponse { return respond(exchange.Done, 200, strings.NewReader(""), true) }
		cut := func() scriptedResponse { return respond(exchange.Done, 200, truncatedStream(4, 3), true) }
		rest := func() scriptedResponse {
			return respond(exchange.Done, 200, strings.NewReader(eventStream(4, 6)), true)
		}
		for name, tc := range map[string]struct {
			after     uint64
			responses []scriptedResponse
			status    int
			body      string
		}{
			"two targets have no more":              {after: 3, responses: []scriptedResponse{empty(), empty()}, status: 200},
			"one has lost the rest":                 {after: 3, responses: []scriptedResponse{empty(), rest()}, status: 200, body: eventStream(4, 6)},
			"one has no more, the other breaks off": {after: 3, responses: []scriptedResponse{empty(), cut()}},
			"it never began":                        {responses: []scriptedResponse{empty(), empty()}},
		} {
			f.entries[0].serve(ctx, "one "+name, "", 0, respond(exchange.Done, 200, truncatedStream(1, 3), true))
			got := f.entries[1].serve(ctx, "two "+name, "one "+name, tc.after, tc.responses...)
			if got.status != tc.status || got.body.String() != tc.body || (got.refusal != nil) != (tc.status == 0) {
				t.Errorf("%s: %+v, want status %d and body %q", name, got, tc.status, tc.body)
			}
		}
	})
}
