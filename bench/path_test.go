package bench

import (
	"context"
	"testing"
	"time"

	"pumiceford/engine"
)

// instantStep is the time between two tokens.
const instantStep = time.Millisecond

// instantEngine computes nothing, so the benchmark measures only the entry and the
// agent.
type instantEngine struct{}

type instantStream struct {
	left uint32
}

// Generate implements engine.Engine.
func (instantEngine) Generate(_ context.Context, r engine.Request) (engine.Stream, error) {
	return &instantStream{left: r.MaxTokens - r.ResumeFrom}, nil
}

// Load implements engine.Engine.
func (instantEngine) Load(context.Context) (engine.Load, error) { return engine.Load{}, nil }

// Order implements engine.Engine.
func (instantEngine) Order(context.Context, engine.Order) error { return nil }

// Models implements engine.Engine.
func (instantEngine) Models(context.Context) ([]string, error) { return []string{benchModel}, nil }

// Next implements engine.Stream.
func (s *instantStream) Next(context.Context) (engine.Chunk, error) {
	s.left--
	c := engine.Chunk{Text: "token ", Tokens: 1}
	if s.left == 0 {
		c.FinishReason = "length"
	}
	// A real engine emits one token a step. Without a pause several tokens share one
	// write, which understates the cost of a token.
	time.Sleep(instantStep)
	return c, nil
}

// Cancel implements engine.Stream.
func (*instantStream) Cancel() {}

// BenchmarkOneTokenRequest sends one-token requests through an entry and an agent to
// an engine that computes nothing.
func BenchmarkOneTokenRequest(b *testing.B) {
	p, err := newPair(context.Background(), instantEngine{}, 64)
	if err != nil {
		b.Fatal(err)
	}
	defer p.cancel()
	b.ResetTimer()
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			if err := p.request(context.Background(), 1); err != nil {
				b.Error(err)
			}
		}
	})
}
