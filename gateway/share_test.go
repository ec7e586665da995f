package gateway_test

import (
	"context"
	"io"
	"strings"
	"testing"
	"time"

	"pumiceford/balance"
	"pumiceford/catalog"
	"pumiceford/exchange"
	"pumiceford/fairshare"
	"pumiceford/gateway"
	"pumiceford/metrics"
)

var sharer = fairshare.Holder{Workspace: "w", Rank: 1, Weight: 3}

// accounted returns a fixture whose gateway accounts the slots held in the returned Ledger.
func accounted(route catalog.Route, replies ...scriptedResponse) (*fixture, *fairshare.Ledger) {
	f, l := newFixture(route, 1, replies...), fairshare.NewLedger()
	f.gw = gateway.New(gateway.Config{
		View: f.view, Sender: f.sender, Reserver: f.reserver, FailureNotifier: f.notifier, Quarantine: f.quarantine, Shares: l, Metrics: metrics.New("test"),
	})
	return f, l
}

func (f *fixture) serveSharer(ctx context.Context) *recorder {
	c := &recorder{}
	route, refusal := f.gw.Route(ctx, "r", "h", "/x")
	if refusal != nil {
		c.refusal = refusal
		return c
	}
	now := time.Now()
	call := exchange.Call{ID: "r", Method: "POST", Host: "h", URI: "/x", Deadline: now.Add(20 * time.Second)}
	f.gw.Serve(ctx, route, &gateway.Request{Call: call, Arrived: now, Holder: sharer}, c)
	return c
}

// Guards against slots that stay in the account after their request ended, however it ended.
func TestSlotUseEndsWithTheRequest(t *testing.T) {
	stall := func(ctx context.Context, _ *exchange.Call) (*exchange.Response, error) {
		return &exchange.Response{Outcome: exchange.Done, Status: 200, Body: io.NopCloser(stalledReader{strings.NewReader(eventStream(1, 2)), ctx}), EventStream: true}, nil
	}
	for name, replies := range map[string][]scriptedResponse{
		"served":      {respond(exchange.Done, 200, strings.NewReader(eventStream(1, 2)), true)},
		"broken":      {failBroken(true), failBroken(false)},
		"unanswered":  {neverRespond},
		"stalled":     {stall},
		"full":        {respond(exchange.NotRun, 503, strings.NewReader(""), false)},
		"unreachable": nil,
	} {
		for _, queued := range []int{0, 1} {
			inVirtualTime(t, func(t *testing.T) {
				f, l := accounted(streaming, replies...)
				f.view.WithTable(func(tab *balance.Table) {
					tab.UpdateLoad(time.Now(), "i0", balance.Report{Active: 7 + queued, Slots: 8})
				})
				f.serveSharer(t.Context())
				time.Sleep(time.Minute)
				if rows := l.Usage(time.Now()); len(rows) > 0 {
					t.Errorf("%s, %d queued: %+v is left", name, queued, rows)
				}
			})
		}
	}
}

// Guards against work that is not accounted to its workspace and rank while it holds a slot.
func TestRunningRequestHoldsASlot(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) {
		const runs = 15 * time.Second
		slow := func(context.Context, *exchange.Call) (*exchange.Response, error) {
			time.Sleep(runs)
			return &exchange.Response{Outcome: exchange.Done, Status: 200, Body: io.NopCloser(strings.NewReader("x"))}, nil
		}
		f, l := accounted(catalog.Route{Kind: catalog.NonIdempotent, Timeout: time.Minute}, slow)
		go f.serveSharer(t.Context())
		time.Sleep(runs - time.Second)
		rows := l.Usage(time.Now())
		if len(rows) != 1 || rows[0].Holder != sharer || rows[0].Held < 0.9 || rows[0].Waiting > 0.1 {
			t.Errorf("got %+v, want one slot held", rows)
		}
		time.Sleep(time.Minute)
	})
}

// Guards against a workspace whose requests are refused for lack of slots and that seems to
// want none.
func TestRefusedRequestCountsAsWaiting(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) {
		f, l := accounted(resumable)
		f.reserver.full["i0"] = true
		f.view.WithTable(func(tab *balance.Table) {
			tab.UpdateLoad(time.Now(), "i0", balance.Report{Active: 8, Queued: 20, Slots: 8})
		})
		if c := f.serveSharer(t.Context()); c.refusal == nil || c.refusal.Reason != gateway.Overload {
			t.Fatalf("refusal %+v", c.refusal)
		}
		rows := l.Usage(time.Now())
		if len(rows) != 1 || rows[0].Holder != sharer || rows[0].Waiting <= 0 || rows[0].Held != 0 {
			t.Errorf("got %+v, want work that waits", rows)
		}
	})
}
