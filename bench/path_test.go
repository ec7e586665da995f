package bench

import (
	"context"
	"testing"
	"time"

	"pumiceford/engine"
)

// instantStep is the time between two tokens.
const instantStep = time.Millisecond

// instantEngine computes nothing, so that what is measured is ours.
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
		c.Finish = "length"
	}
	// A real engine gives one token a step. Without a pause several tokens leave
	// in one write, and a token would look cheaper than it is.
	time.Sleep(instantStep)
	return c, nil
}

// Cancel implements engine.Stream.
func (*instantStream) Cancel() {}

// BenchmarkThrough is a one-token request through entry and agent with an engine
// that answers at once.
func BenchmarkThrough(b *testing.B) {
	p, err := newPair(context.Background(), instantEngine{}, 64)
	if err != nil {
		b.Fatal(err)
	}
	defer p.cancel()
	b.ResetTimer()
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			if err := p.ask(context.Background(), 1); err != nil {
				b.Error(err)
			}
		}
	})
}
