package standin

import (
	"context"
	"errors"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"pumiceford/engine"
)

// read returns the text of all chunks until the stream ends.
func read(st engine.Stream) (string, error) {
	var b strings.Builder
	for {
		c, err := st.Next(context.Background())
		if err != nil {
			return b.String(), err
		}
		b.WriteString(c.Text)
		if c.FinishReason != "" {
			return b.String(), nil
		}
	}
}

func withEngine(t *testing.T, set EngineSettings, f func(t *testing.T, e *Engine)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		set.Models = []string{"m"}
		f(t, NewEngine(ctx, set))
	})
}

// The engine admits requests in arrival order without priorities: a later request
// waits for earlier ones.
func TestEngineAdmitsInArrivalOrder(t *testing.T) {
	withEngine(t, EngineSettings{MaxRunning: 1}, func(t *testing.T, e *Engine) {
		first, err := e.Generate(context.Background(), engine.Request{ID: "1", Model: "m", Prompt: "a", MaxTokens: 100})
		if err != nil {
			t.Fatal(err)
		}
		second, err := e.Generate(context.Background(), engine.Request{ID: "2", Model: "m", Prompt: "b", MaxTokens: 1})
		if err != nil {
			t.Fatal(err)
		}
		began := time.Now()
		if _, err := read(second); err != nil {
			t.Fatal(err)
		}
		if waited := time.Since(began); waited < 100*2*time.Millisecond {
			t.Fatalf("the second request waited %s, want at least 200 ms", waited)
		}
		if got, err := read(first); err != nil || got != AnswerText("a", 100) {
			t.Fatalf("first response: got %q, error %v", got, err)
		}
	})
}

// An exported sequence continues on another engine at the same token, and its prompt
// is not computed again.
func TestExportedSequenceContinuesElsewhere(t *testing.T) {
	withEngine(t, EngineSettings{}, func(t *testing.T, e *Engine) {
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		other := NewEngine(ctx, EngineSettings{Models: []string{"m"}})
		prompt := strings.Repeat("a long logbook ", 100)
		st, err := e.Generate(ctx, engine.Request{ID: "1", Model: "m", Prompt: prompt, MaxTokens: 50})
		if err != nil {
			t.Fatal(err)
		}
		time.Sleep(40 * time.Millisecond)
		kv, ok := e.ExportKV("1")
		if !ok || kv.Generated == 0 {
			t.Fatalf("export: ok %t, state %+v", ok, kv)
		}
		head, err := read(st)
		if !errors.Is(err, context.Canceled) {
			t.Fatalf("the exported stream ended with %v, want context.Canceled", err)
		}
		rest, err := other.ImportKV(ctx, kv)
		if err != nil {
			t.Fatal(err)
		}
		tail, err := read(rest)
		if err != nil || head+tail != AnswerText(prompt, 50) {
			t.Fatalf("response of both engines: got %q, error %v", head+tail, err)
		}
		if p := other.Stats().Prefilled; p != 0 {
			t.Fatalf("%d prompt tokens were computed again, want none", p)
		}
	})
}

// Cache events arrive after the configured delay, and some are lost.
func TestCacheEventsAreDelayedAndLost(t *testing.T) {
	withEngine(t, EngineSettings{EventLag: time.Second, EventLoss: 0.5, Seed: 1}, func(t *testing.T, e *Engine) {
		st, err := e.Generate(context.Background(), engine.Request{ID: "1", Model: "m", Prompt: strings.Repeat("x", 64*20), MaxTokens: 1})
		if err != nil {
			t.Fatal(err)
		}
		if _, err := read(st); err != nil {
			t.Fatal(err)
		}
		if n := len(e.CacheEvents(0)); n != 0 {
			t.Fatalf("got %d events before the delay, want none", n)
		}
		time.Sleep(2 * time.Second)
		if n := len(e.CacheEvents(0)); n == 0 || n >= 20 {
			t.Fatalf("got %d of 20 events, want some lost but not all", n)
		}
	})
}

// An engine that checks fences refuses an order with an outdated fencing number; one
// that does not check executes it.
func TestEngineChecksFence(t *testing.T) {
	for _, check := range []bool{true, false} {
		withEngine(t, EngineSettings{CheckFence: check}, func(t *testing.T, e *Engine) {
			ctx := context.Background()
			if err := e.Order(ctx, engine.Order{Kind: engine.OrderLoad, Model: "n", Fence: 7}); err != nil {
				t.Fatal(err)
			}
			err := e.Order(ctx, engine.Order{Kind: engine.OrderUnload, Model: "n", Fence: 3})
			if errors.Is(err, engine.ErrStaleFence) != check {
				t.Fatalf("fence check %t: outdated order returned %v", check, err)
			}
		})
	}
}
