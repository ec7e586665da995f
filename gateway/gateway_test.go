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
	"pumiceford/exchange"
	"pumiceford/fleet"
	"pumiceford/gateway"
	"pumiceford/logging"
	"pumiceford/metrics"
	"pumiceford/quarantine"
	"pumiceford/store"
	"pumiceford/targets"
)

// decoder reads records of the tests: a route's kind, a target's slots.
type decoder struct{ route catalog.Route }

func (decoder) CatalogKey() string { return "c" }

func (d decoder) Catalog([]byte) (*catalog.Catalog, error) {
	services := []catalog.Service{{Name: "s", ReserveFor: time.Second}}
	return catalog.New(1, catalog.Limits{}, services, []catalog.Route{d.route}), nil
}

func (decoder) Instance(id string, _ []byte) (targets.Instance, error) {
	return targets.Instance{ID: id, Addr: id, Service: "s", Slots: 8}, nil
}

// reply is what a scripted target does with one call.
type reply func(ctx context.Context, call *exchange.Call) (*exchange.Answer, error)

// script is a Sender whose targets do as told, one reply after the other, on
// whichever target the call arrives.
type script struct {
	mu      sync.Mutex
	replies []reply
	calls   []exchange.Call
	to      []string
}

// first returns the target of the first call.
func (s *script) first() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.to[0]
}

func (s *script) Send(ctx context.Context, to targets.Instance, call *exchange.Call) (*exchange.Answer, error) {
	s.mu.Lock()
	s.calls = append(s.calls, *call)
	s.to = append(s.to, to.ID)
	if len(s.replies) == 0 {
		s.mu.Unlock()
		return nil, &exchange.SendError{Fault: exchange.FaultConnect, Cause: errors.New("no more replies")}
	}
	r := s.replies[0]
	s.replies = s.replies[1:]
	s.mu.Unlock()
	return r(ctx, call)
}

func answer(outcome exchange.Outcome, status int, body io.Reader, isStream bool) reply {
	return func(context.Context, *exchange.Call) (*exchange.Answer, error) {
		return &exchange.Answer{Outcome: outcome, Status: status, Header: http.Header{"Mark": {"1"}}, Body: io.NopCloser(body), Length: -1, Events: isStream}, nil
	}
}

func broken(sent bool) reply {
	return func(context.Context, *exchange.Call) (*exchange.Answer, error) {
		return nil, &exchange.SendError{Fault: exchange.FaultBroken, Sent: sent, Cause: io.ErrUnexpectedEOF}
	}
}

func silent(ctx context.Context, _ *exchange.Call) (*exchange.Answer, error) {
	<-ctx.Done()
	return nil, &exchange.SendError{Fault: exchange.FaultCanceled, Sent: true, Cause: ctx.Err()}
}

func stream(from, to int) string {
	out := ""
	for i := from; i <= to; i++ {
		out += fmt.Sprintf("id: %d\ndata: d%d\n\n", i, i)
	}
	return out
}

// cutAfter ends a stream by an error after some events.
func cutAfter(from, to int) io.Reader {
	return io.MultiReader(strings.NewReader(stream(from, to)+"id: 9"), errReader{})
}

type errReader struct{}

func (errReader) Read([]byte) (int, error) { return 0, io.ErrUnexpectedEOF }

// stalled reads some events and then nothing until its context ends.
type stalled struct {
	io.Reader
	ctx context.Context
}

func (s stalled) Read(p []byte) (int, error) {
	n, err := s.Reader.Read(p)
	if errors.Is(err, io.EOF) {
		<-s.ctx.Done()
		return 0, s.ctx.Err()
	}
	return n, err
}

// caller records what reaches the caller.
type caller struct {
	status  int
	body    bytes.Buffer
	aborted bool
	refusal *gateway.Refusal
}

func (c *caller) Start(status int, _ http.Header, _ int64) { c.status = status }
func (c *caller) Write(p []byte) error                     { c.body.Write(p); return nil }
func (c *caller) Abort()                                   { c.aborted = true }
func (c *caller) Refuse(r gateway.Refusal)                 { c.refusal = &r }

type world struct {
	told *witness
	full *slots
	live *lives
	held *quarantine.Keeper
	view *fleet.View
	gw   *gateway.Gateway
	sc   *script
}

// slots reserves slots: none at the instances that it names as full.
type slots struct {
	mu    sync.Mutex
	full  map[string]bool
	asked []string
}

func (s *slots) Reserve(_ context.Context, at targets.Instance, _ int, _ time.Duration) (string, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.asked = append(s.asked, at.ID)
	if s.full[at.ID] {
		return "", exchange.ErrFull
	}
	return "slot-" + at.ID, nil
}

// witness notes which targets were told to have failed.
type witness struct {
	mu  sync.Mutex
	ids []string
}

func (w *witness) Tell(id string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.ids = append(w.ids, id)
}

func (w *witness) count() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return len(w.ids)
}

// lives is a Prober that knows which targets have crashed; none have at first.
type lives struct {
	mu      sync.Mutex
	crashed map[string]bool
}

func (l *lives) Crashed(_ context.Context, in targets.Instance) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.crashed[in.ID]
}

func newGateway(v *fleet.View, sc exchange.Sender, r exchange.Reserver, told gateway.Witness, ms *metrics.Set) *gateway.Gateway {
	return gatewayWith(quarantine.NewKeeper(quarantine.Config{Prober: &lives{}, Metrics: ms}), v, sc, r, told, ms)
}

func gatewayWith(k *quarantine.Keeper, v *fleet.View, sc exchange.Sender, r exchange.Reserver, told gateway.Witness, ms *metrics.Set) *gateway.Gateway {
	return gateway.New(gateway.Config{View: v, Sender: sc, Reserver: r, Witness: told, Quarantine: k, Metrics: ms})
}

func newWorld(route catalog.Route, n int, replies ...reply) *world {
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
	sc := &script{replies: replies}
	told, full := &witness{}, &slots{full: make(map[string]bool)}
	live := &lives{crashed: make(map[string]bool)}
	held := quarantine.NewKeeper(quarantine.Config{Prober: live, Metrics: ms})
	return &world{told: told, full: full, live: live, held: held, view: v, gw: gatewayWith(held, v, sc, full, told, ms), sc: sc}
}

func (w *world) serve(ctx context.Context) *caller {
	return w.serveWithin(ctx, 0)
}

// serveWithin serves a caller that waits for a time and says so; 0 says nothing.
func (w *world) serveWithin(ctx context.Context, within time.Duration) *caller {
	c := &caller{}
	route, refusal := w.gw.Route(ctx, "r", "h", "/x")
	if refusal != nil {
		c.refusal = refusal
		return c
	}
	req := &gateway.Request{Call: exchange.Call{ID: "r", Method: "POST", Host: "h", URI: "/x", Tokens: 600}, Arrived: time.Now()}
	if within > 0 {
		req.Deadline = req.Arrived.Add(within)
	}
	w.gw.Serve(ctx, route, req, c)
	return c
}

var (
	once      = catalog.Route{Kind: catalog.NonIdempotent, Attempts: 2}
	repeat    = catalog.Route{Kind: catalog.Idempotent, Attempts: 2, FirstWithin: time.Second}
	plain     = catalog.Route{Kind: catalog.Streaming, Attempts: 2, FirstWithin: 300 * time.Millisecond, GapWithin: 300 * time.Millisecond}
	resumable = catalog.Route{Kind: catalog.Streaming, Attempts: 2, Resumable: true, FirstWithin: 300 * time.Millisecond, GapWithin: 300 * time.Millisecond}
)

// bubble runs fn in virtual time.
func bubble(t *testing.T, fn func(t *testing.T)) {
	t.Helper()
	synctest.Test(t, fn)
}

// Symptom: a request that must not be repeated is executed twice.
// Sequence: it was sent, and the connection broke, the answer was spoiled, or
// none came.
// Cause: "no answer" taken for "not run".
func TestNothingIsRepeatedThatMayHaveRun(t *testing.T) {
	for _, route := range []catalog.Route{once, plain} {
		for name, first := range map[string]reply{"broken": broken(true), "failed": answer(exchange.Failed, 500, strings.NewReader("oops"), false), "silent": silent} {
			bubble(t, func(t *testing.T) {
				w := newWorld(route, 3, first, answer(exchange.Done, 200, strings.NewReader("second"), false))
				c := w.serve(t.Context())
				if len(w.sc.calls) != 1 {
					t.Fatalf("%s: sent %d times", name, len(w.sc.calls))
				}
				if c.refusal != nil && c.refusal.NotRun {
					t.Fatalf("%s: told as not run", name)
				}
				if name == "failed" && (c.status != 500 || c.body.String() != "oops") {
					t.Fatalf("the target's own answer became %d %q", c.status, c.body.String())
				}
			})
		}
	}
}

// Symptom: a request is refused although other targets would have run it.
// Cause: a target's "not run" was passed on instead of asking another.
func TestWhatDidNotRunGoesElsewhere(t *testing.T) {
	for name, first := range map[string]reply{
		"not sent": broken(false),
		"full":     answer(exchange.NotRun, 503, strings.NewReader(""), false),
		"other":    answer(exchange.OtherInstance, 421, strings.NewReader(""), false),
	} {
		bubble(t, func(t *testing.T) {
			w := newWorld(once, 3, first, answer(exchange.Done, 200, strings.NewReader("ok"), false))
			c := w.serve(t.Context())
			if c.status != 200 || c.body.String() != "ok" || w.sc.to[0] == w.sc.to[1] {
				t.Fatalf("%s: %d %q from %v, refused %v", name, c.status, c.body.String(), w.sc.to, c.refusal)
			}
		})
	}
}

// Symptom: after a power loss requests are turned away four times in a row and then
// refused, for seconds.
// Sequence: all targets started anew; the registry still names the old instances.
// Cause: an address that has another instance was tried again and again.
func TestAnAddressWithAnotherInstanceIsLeft(t *testing.T) {
	bubble(t, func(t *testing.T) {
		other := answer(exchange.OtherInstance, 421, strings.NewReader(""), false)
		w := newWorld(once, 2, other)
		for range 20 {
			w.sc.replies = append(w.sc.replies, func(ctx context.Context, call *exchange.Call) (*exchange.Answer, error) {
				return answer(exchange.Done, 200, strings.NewReader("ok"), false)(ctx, call)
			})
		}
		for range 20 {
			w.serve(t.Context())
			time.Sleep(time.Second)
		}
		for _, id := range w.sc.to[1:] {
			if id == w.sc.to[0] {
				t.Fatalf("%s was tried again", id)
			}
		}
	})
}

// Symptom: "not run" although a target had run it.
// Sequence: the first target may have run it, the others say they did not.
// Cause: the last answer decided.
func TestNotRunCountsAllTargets(t *testing.T) {
	bubble(t, func(t *testing.T) {
		full := answer(exchange.NotRun, 503, strings.NewReader(""), false)
		w := newWorld(repeat, 5, broken(true), full, full, full)
		if c := w.serve(t.Context()); c.refusal == nil || c.refusal.NotRun {
			t.Fatalf("refusal %+v", c.refusal)
		}
		w = newWorld(repeat, 5, full, full, full, full)
		if c := w.serve(t.Context()); c.refusal == nil || !c.refusal.NotRun || c.refusal.RetryAfter == 0 {
			t.Fatalf("refusal %+v", c.refusal)
		}
	})
}

// Symptom: a stream with a hole, a part twice, or an end that is none.
// Sequence: the target breaks off inside an event; another one goes on.
// Cause: half an event passed on, or a resume from the wrong place.
func TestABrokenStreamGoesOnAtTheLastWholeEvent(t *testing.T) {
	bubble(t, func(t *testing.T) {
		w := newWorld(resumable, 3, answer(exchange.Done, 200, cutAfter(1, 4), true), answer(exchange.Done, 200, strings.NewReader(stream(5, 9)), true))
		c := w.serve(t.Context())
		if c.body.String() != stream(1, 9) || c.aborted || w.sc.calls[1].After != 4 {
			t.Fatalf("aborted %v, resumed after %d, body %q", c.aborted, w.sc.calls[1].After, c.body.String())
		}
	})
}

// Symptom: a cut stream looks complete to its caller.
func TestAStreamThatCannotGoOnIsCut(t *testing.T) {
	cases := map[string]*world{
		"not resumable":  newWorld(plain, 3, answer(exchange.Done, 200, cutAfter(1, 4), true), answer(exchange.Done, 200, strings.NewReader(stream(5, 9)), true)),
		"attempts spent": newWorld(resumable, 3, answer(exchange.Done, 200, cutAfter(1, 4), true), answer(exchange.Done, 200, cutAfter(5, 6), true), answer(exchange.Done, 200, strings.NewReader(stream(7, 9)), true)),
		"wrong place":    newWorld(resumable, 3, answer(exchange.Done, 200, cutAfter(1, 4), true), answer(exchange.Done, 200, strings.NewReader(stream(6, 9)), true)),
	}
	for name, w := range cases {
		bubble(t, func(t *testing.T) {
			c := w.serve(t.Context())
			if !c.aborted || !strings.HasPrefix(stream(1, 9), c.body.String()) {
				t.Fatalf("%s: aborted %v, body %q", name, c.aborted, c.body.String())
			}
			if len(w.sc.calls) > 2 {
				t.Fatalf("%s: %d targets for two attempts", name, len(w.sc.calls))
			}
		})
	}
}

// Symptom: a caller waits for seconds at a target that fell silent.
// Sequence: the target's host goes dark, before the first event or between two.
// Cause: only a broken connection moved a stream.
func TestASilentTargetIsLeft(t *testing.T) {
	stall := func(ctx context.Context, _ *exchange.Call) (*exchange.Answer, error) {
		return &exchange.Answer{Status: 200, Body: io.NopCloser(stalled{strings.NewReader(stream(1, 3)), ctx}), Length: -1, Events: true}, nil
	}
	for name, w := range map[string]*world{
		"before the first event": newWorld(resumable, 3, silent, answer(exchange.Done, 200, strings.NewReader(stream(1, 5)), true)),
		"between events":         newWorld(resumable, 3, stall, answer(exchange.Done, 200, strings.NewReader(stream(4, 5)), true)),
	} {
		bubble(t, func(t *testing.T) {
			began := time.Now()
			c := w.serve(t.Context())
			took := time.Since(began)
			if c.body.String() != stream(1, 5) || took > 300*time.Millisecond {
				t.Fatalf("%s: after %s: %q", name, took, c.body.String())
			}
			ejected := false
			w.view.Table(func(tab *balance.Table) { ejected = len(tab.Rooms(time.Now(), "s")) == 0 })
			if !ejected {
				t.Fatalf("%s: batch may still go there", name)
			}
		})
	}
}

// Symptom: at a peak's onset a tenth of the targets get nothing for a second,
// and the others are overloaded.
// Sequence: requests wait for a slot longer than usual at a busy target.
// Cause: a busy target was taken for a dead one, though its agent told of it.
func TestABusyTargetIsNotEjected(t *testing.T) {
	bubble(t, func(t *testing.T) {
		w := newWorld(plain, 1, silent)
		w.view.Table(func(tab *balance.Table) { tab.Note(time.Now(), "i0", balance.Report{Active: 6, Slots: 8, Room: 2}) })
		ctx, cancel := context.WithTimeout(t.Context(), 400*time.Millisecond)
		defer cancel()
		w.serve(ctx)
		w.view.Table(func(tab *balance.Table) {
			if len(tab.Rooms(time.Now(), "s")) == 0 {
				t.Error("the target was ejected")
			}
		})
	})
}

// Symptom: a request waits in one target's queue while others have free slots.
// Sequence: several entries chose the target at the same moment; a slot is free
// elsewhere a moment later.
// Cause: a request stayed where it was sent.
func TestAWaitingRequestMovesToAFreeSlot(t *testing.T) {
	bubble(t, func(t *testing.T) {
		w := newWorld(resumable, 2, silent, answer(exchange.Done, 200, strings.NewReader(stream(1, 2)), true))
		w.view.Table(func(tab *balance.Table) {
			for _, id := range []string{"i0", "i1"} {
				tab.Note(time.Now(), id, balance.Report{Active: 4, Slots: 8})
			}
		})
		began := time.Now()
		c := w.serve(t.Context())
		if took := time.Since(began); c.body.String() != stream(1, 2) || took > 150*time.Millisecond {
			t.Fatalf("after %s: %q", took, c.body.String())
		}
	})
}

// Symptom: a request is held until its client gives up.
// Sequence: all targets have long queues.
// Cause: it was queued although its time would be over before its turn.
func TestOverloadIsToldAtOnce(t *testing.T) {
	bubble(t, func(t *testing.T) {
		w := newWorld(plain, 2)
		w.view.Table(func(tab *balance.Table) {
			for _, id := range []string{"i0", "i1"} {
				tab.Note(time.Now(), id, balance.Report{Active: 8, Queued: 12, Slots: 8})
			}
		})
		began := time.Now()
		c := w.serve(t.Context())
		if c.refusal == nil || !c.refusal.NotRun || c.refusal.RetryAfter == 0 || time.Since(began) > 0 || len(w.sc.calls) > 0 {
			t.Fatalf("refusal %+v after %s, %d calls", c.refusal, time.Since(began), len(w.sc.calls))
		}
	})
}

// Symptom: a caller hears nothing until its own timeout.
// Cause: the operator's timeout was not kept.
func TestTheRoutesTimeoutIsKept(t *testing.T) {
	bubble(t, func(t *testing.T) {
		route := once
		route.Timeout = 700 * time.Millisecond
		w := newWorld(route, 1, silent)
		began := time.Now()
		c := w.serve(t.Context())
		if took := time.Since(began); c.refusal == nil || c.refusal.Reason != gateway.TimedOut || c.refusal.NotRun || took > 710*time.Millisecond {
			t.Fatalf("%+v after %s", c.refusal, took)
		}
	})
}

// Symptom: a target goes on working for a caller that has left.
func TestACallerThatLeavesEndsItsRequest(t *testing.T) {
	bubble(t, func(t *testing.T) {
		w := newWorld(resumable, 3, silent)
		ctx, cancel := context.WithCancel(t.Context())
		time.AfterFunc(50*time.Millisecond, cancel)
		began := time.Now()
		c := w.serve(ctx)
		if took := time.Since(began); took > 60*time.Millisecond || c.refusal != nil || len(w.sc.calls) != 1 {
			t.Fatalf("after %s: refusal %+v, %d calls", took, c.refusal, len(w.sc.calls))
		}
		// A caller that has closed only its sending half must get no empty success.
		if !c.aborted {
			t.Fatal("the connection was not cut")
		}
	})
}

// A node that knows no configuration yet says so, and never "no such route".
func TestNoCatalogIsNoMissingRoute(t *testing.T) {
	bubble(t, func(t *testing.T) {
		ms := metrics.New("test")
		g := newGateway(fleet.NewView(decoder{}, 1, logging.Logger{}, ms), &script{}, &slots{}, &witness{}, ms)
		time.Sleep(time.Second)
		began := time.Now()
		_, r := g.Route(t.Context(), "r", "h", "/x")
		if r == nil || r.Reason != gateway.NotReady || !r.NotRun || r.RetryAfter == 0 || time.Since(began) > 0 {
			t.Fatalf("refusal %+v after %s", r, time.Since(began))
		}
	})
}

// Symptom: callers are told to come back by a process that serves 30 ms later.
// Sequence: all processes were killed; the first requests come before the new
// ones have read configuration and registry.
// Cause: what is not known yet was taken for unknown.
func TestAStartingProcessHoldsRequestsForAMoment(t *testing.T) {
	bubble(t, func(t *testing.T) {
		ms := metrics.New("test")
		route := catalog.Route{Name: "r", Host: "h", PathPrefix: "/"}
		v := fleet.NewView(decoder{route}, 1, logging.Logger{}, ms)
		g := newGateway(v, &script{}, &slots{}, &witness{}, ms)
		time.AfterFunc(30*time.Millisecond, func() {
			v.CatalogSink().Reset([]store.Record{{Key: "c", Value: []byte("1")}})
			v.TargetSink().Reset(nil)
		})
		if got, r := g.Route(t.Context(), "r", "h", "/x"); r != nil || got.Name != "r" {
			t.Fatalf("refusal %+v", r)
		}
	})
}

// Symptom: a request that waited for its turn is refused, and may have run.
// Sequence: all targets have queues; after 300 ms without an answer it leaves its
// place, and finds the other queues too long.
// Cause: a queue was left for another queue.
func TestAQueueIsNotLeftForAQueue(t *testing.T) {
	bubble(t, func(t *testing.T) {
		slow := func(ctx context.Context, call *exchange.Call) (*exchange.Answer, error) {
			time.Sleep(700 * time.Millisecond)
			return answer(exchange.Done, 200, strings.NewReader(stream(1, 2)), true)(ctx, call)
		}
		w := newWorld(resumable, 2, slow)
		for at := range 8 {
			time.AfterFunc(time.Duration(at)*100*time.Millisecond, func() {
				w.view.Table(func(tab *balance.Table) {
					for _, id := range []string{"i0", "i1"} {
						tab.Note(time.Now(), id, balance.Report{Active: 8, Queued: 2 + 3*min(at, 1), Slots: 8})
					}
				})
			})
		}
		time.Sleep(time.Millisecond)
		if c := w.serve(t.Context()); c.body.String() != stream(1, 2) || len(w.sc.calls) != 1 {
			t.Fatalf("%q after %d sends, refusal %+v", c.body.String(), len(w.sc.calls), c.refusal)
		}
		time.Sleep(time.Second)
	})
}

// Symptom: a third of the requests of a peak come late while five of twelve targets
// are dark, and every entry finds each of them by itself.
// Sequence: a request waits at a target whose agent says that it has slots free and
// moves on; the next one goes to the same target; its agent then says that the
// target does not answer, and requests still wait there.
// Cause: moving on taught nothing, and nobody asked the agents.
func TestADarkTargetIsNotMetTwice(t *testing.T) {
	bubble(t, func(t *testing.T) {
		good := answer(exchange.Done, 200, strings.NewReader(stream(1, 2)), true)
		w := newWorld(resumable, 2, silent, good)
		w.view.Table(func(tab *balance.Table) {
			for _, id := range []string{"i0", "i1"} {
				tab.Note(time.Now(), id, balance.Report{Active: 4, Slots: 8})
			}
		})
		w.serve(t.Context())
		dark := w.sc.first()
		for n := range 20 {
			w.view.Table(func(tab *balance.Table) {
				if c, ok := tab.Pick(time.Now(), "s", nil, float64(n)/20); !ok || c.Instance.ID == dark {
					t.Errorf("draw %d goes to the dark target again", n)
				}
			})
		}
	})
	bubble(t, func(t *testing.T) {
		good := answer(exchange.Done, 200, strings.NewReader(stream(1, 2)), true)
		w := newWorld(resumable, 2, silent, good)
		go func() {
			time.Sleep(20 * time.Millisecond)
			w.view.Table(func(tab *balance.Table) {
				for _, id := range []string{"i0", "i1"} {
					tab.Note(time.Now(), id, balance.Report{Silent: id == w.sc.first()})
				}
			})
		}()
		began := time.Now()
		if c := w.serve(t.Context()); c.body.String() != stream(1, 2) || time.Since(began) > 150*time.Millisecond {
			t.Errorf("after %s: %q", time.Since(began), c.body.String())
		}
		if w.told.count() == 0 {
			t.Error("no other entry is told of it")
		}
	})
}

// Symptom: first events come late at a peak although slots are free: some targets
// have a queue, others a free slot.
// Sequence: forty entries see the same last free slot of a target, in a word that is
// 15 ms old; all of them send a request there.
// Cause: nobody asked whether the slot was still free.
func TestTheLastSlotsAreReserved(t *testing.T) {
	bubble(t, func(t *testing.T) {
		good := answer(exchange.Done, 200, strings.NewReader(stream(1, 2)), true)
		w := newWorld(resumable, 3, good)
		for _, id := range []string{"i0", "i1"} {
			w.full.full[id] = true
		}
		w.view.Table(func(tab *balance.Table) {
			for _, id := range []string{"i0", "i1", "i2"} {
				tab.Note(time.Now(), id, balance.Report{Active: 7, Slots: 8})
			}
		})
		if c := w.serve(t.Context()); c.body.String() != stream(1, 2) {
			t.Fatalf("body %q", c.body.String())
		}
		if len(w.sc.to) != 1 || w.sc.to[0] != "i2" || w.sc.calls[0].Reserved != "slot-i2" {
			t.Errorf("sent to %v with %q", w.sc.to, w.sc.calls[0].Reserved)
		}
	})
}

// Symptom: in each peak of a large fleet two first events in five come late, and targets
// that are sound are ejected as silent by the thousand.
// Sequence: an entry is told the loads of a part of the targets; the others look empty,
// are busy, and requests wait there.
// Cause: a target of which nothing is known was taken for a free one.
func TestAnUnreportedTargetIsAskedForItsSlot(t *testing.T) {
	bubble(t, func(t *testing.T) {
		good := answer(exchange.Done, 200, strings.NewReader(stream(1, 2)), true)
		w := newWorld(resumable, 3, good, good)
		tell := func(active int) {
			w.view.Table(func(tab *balance.Table) { tab.Note(time.Now(), "i0", balance.Report{Active: active, Slots: 8}) })
		}
		tell(2)
		if w.serve(t.Context()); w.sc.to[0] != "i0" || len(w.full.asked) != 0 {
			t.Fatalf("sent to %v, reservations asked of %v; i0 is told to have room", w.sc.to, w.full.asked)
		}
		tell(8)
		w.full.full["i1"] = true
		if w.serve(t.Context()); w.sc.to[1] != "i2" || w.sc.calls[1].Reserved != "slot-i2" {
			t.Errorf("sent to %v with %q; i0 is full, i1 as well, i2 has room", w.sc.to, w.sc.calls[1].Reserved)
		}
	})
}

// Symptom: as above, once no target has room: requests wait in queues of which nothing
// is known.
// Cause: targets that nothing is known of were drawn again after others of them had
// turned out to be full.
func TestWithoutRoomAReportedQueueIsPreferred(t *testing.T) {
	bubble(t, func(t *testing.T) {
		good := answer(exchange.Done, 200, strings.NewReader(stream(1, 2)), true)
		w := newWorld(resumable, 12, good)
		w.view.Table(func(tab *balance.Table) { tab.Note(time.Now(), "i0", balance.Report{Active: 8, Slots: 8}) })
		for n := range 12 {
			w.full.full[fmt.Sprint("i", n)] = true
		}
		if w.serve(t.Context()); w.sc.to[0] != "i0" {
			t.Errorf("sent to %v", w.sc.to)
		}
	})
}

// Symptom: in a peak an entry ejects one sound target after the other.
// Sequence: requests wait for more than 200 ms at targets that no agent tells of.
// Cause: to wait there was taken for silence. A target that has just reserved a slot
// has no reason to wait, and one that is told to be silent is.
func TestWaitingAtAnUnreportedTargetIsNoSilence(t *testing.T) {
	bubble(t, func(t *testing.T) {
		never := func(ctx context.Context, _ *exchange.Call) (*exchange.Answer, error) {
			<-ctx.Done()
			return nil, &exchange.SendError{Fault: exchange.FaultCanceled, Sent: true, Cause: ctx.Err()}
		}
		good := answer(exchange.Done, 200, strings.NewReader(stream(1, 2)), true)
		w := newWorld(resumable, 2, never, good)
		w.full.full["i0"], w.full.full["i1"] = true, true
		if c := w.serve(t.Context()); c.body.String() != stream(1, 2) {
			t.Fatalf("body %q", c.body.String())
		}
		if w.told.count() != 0 {
			t.Error("a target that may only be busy is told to have failed")
		}
	})
}
