// Package shutdown decides which work a process that is being stopped may still take: only work
// that is sure to end before the process does. What it refuses has not begun, so it can go
// elsewhere, while work that is cut off is lost to its caller.
package shutdown

import (
	"sync"
	"time"
)

// responseMargin is the time between the end of the last work and the deadline, in which its
// response reaches the caller.
const responseMargin = 100 * time.Millisecond

// Plan is whether a process is being stopped, and until when its work has to end. It is safe for
// concurrent use. A nil Plan is one of a process that is never stopped.
type Plan struct {
	begun chan struct{} // closed when the stop begins

	mu       sync.Mutex
	deadline time.Time // zero until the stop begins
}

// NewPlan returns the Plan of a process that is not being stopped.
func NewPlan() *Plan {
	return &Plan{begun: make(chan struct{})}
}

// Begin begins the stop. Work that has not ended at the deadline is cut off. Only the first call
// has an effect.
func (p *Plan) Begin(deadline time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.deadline.IsZero() {
		return
	}
	p.deadline = deadline
	close(p.begun)
}

// Begun returns a channel that is closed when the stop begins.
func (p *Plan) Begun() <-chan struct{} {
	if p == nil {
		return nil
	}
	return p.begun
}

// Stopping reports whether the stop has begun.
func (p *Plan) Stopping() bool {
	return p != nil && !p.end().IsZero()
}

// Allows reports whether work may begin that ends at the given time at the latest.
func (p *Plan) Allows(latestEnd time.Time) bool {
	if p == nil {
		return true
	}
	end := p.end()
	return end.IsZero() || !latestEnd.Add(responseMargin).After(end)
}

func (p *Plan) end() time.Time {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.deadline
}
