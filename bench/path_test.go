package bench

import (
	"context"
	"testing"
)

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
