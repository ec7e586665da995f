package origins_test

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"pumiceford/metrics"
	"pumiceford/origins"
	"pumiceford/targets"
)

// Guards against records of streams that are left at agents which are about to stop: no other entry
// knows the origin afterwards.
func TestOriginsAreNotRecordedAtStoppingAgents(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		ctx, stop := context.WithCancel(t.Context())
		const agents = 4
		w := newWorld(ctx, 2)
		for n := range agents {
			w.join(fmt.Sprint("t", n), fmt.Sprint("v", n%2))
		}
		time.Sleep(time.Second) // both versions are recent, so that origins are recorded
		n := 0
		for a := range agents {
			for b := range a {
				stopping := []string{fmt.Sprint("t", a), fmt.Sprint("t", b)}
				for _, id := range stopping {
					w.holders[id].Stop()
				}
				n++
				s := streamOf(n, targets.Software{Service: service, Version: "v0"})
				if err := w.entries[0].directory().Begin(ctx, s); err != nil {
					t.Errorf("stream does not begin while %v stop: %v", stopping, err)
				}
				w.mu.Lock()
				for _, id := range stopping {
					w.holders[id] = origins.NewHolder(w.clock, metrics.New("agent"))
				}
				w.mu.Unlock()
				software, _, err := w.entries[1].directory().Resolve(ctx, queryOf(s))
				if err != nil || software != s.Software {
					t.Errorf("after %v have stopped: software %v, error %v, want %v", stopping, software, err, s.Software)
				}
			}
		}
		stop()
		time.Sleep(10 * time.Second)
		synctest.Wait()
	})
}
