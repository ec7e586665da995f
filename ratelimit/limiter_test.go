package ratelimit

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"
)

// movingOwner is a granter whose ownership moves from one process to another while grant
// requests are in flight.
type movingOwner struct {
	mu          sync.Mutex
	owner       string
	misdirected int // grant requests to a process that is not the owner
}

// RequestGrants implements GrantClient. Only the owner grants, one grant per request.
func (m *movingOwner) RequestGrants(_ context.Context, addr string, _ GrantRequest) GrantReply {
	time.Sleep(10 * time.Millisecond)
	m.mu.Lock()
	defer m.mu.Unlock()
	if addr != m.owner {
		m.misdirected++
		return GrantReply{Outcome: NotActing}
	}
	return GrantReply{Outcome: Granted, Granted: 1}
}

func (m *movingOwner) ownerOf(int) string {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.owner
}

func (m *movingOwner) move(to string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.owner = to
}

// Guards against a limiter that keeps sending grant requests to the former owner of a share
// as long as the workspace sends requests without a pause.
func TestLimiterFollowsOwnerChangeUnderLoad(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := &movingOwner{owner: "a"}
		start := time.Now()
		l := NewLimiter(LimiterConfig{
			Self: "h", Tolerance: Tolerance{Window: 5 * time.Second, Excess: 0.1, Slack: 20}, Shards: 4,
			Owner: m.ownerOf, GrantClient: m, Clock: func() time.Duration { return time.Since(start) },
		})
		limit := Limit{Workspace: "w", Rate: 3, Burst: 3}
		var all sync.WaitGroup
		for n := range 400 {
			if n == 100 {
				m.move("b")
			}
			all.Go(func() { _ = l.Admit(t.Context(), limit) }) // only the grant requests are checked
			time.Sleep(time.Millisecond)
		}
		all.Wait()
		m.mu.Lock()
		defer m.mu.Unlock()
		const maxMisdirected = 2 // one per share with a grant request in flight during the move
		if m.misdirected > maxMisdirected {
			t.Errorf("%d grant requests to the former owner", m.misdirected)
		}
	})
}
