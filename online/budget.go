package online

import "sync"

// RetryBudget allows retries as a share of successes, so that retries cannot
// multiply an overload.
type RetryBudget struct {
	mu     sync.Mutex
	tokens float64
}

// Bounds of a RetryBudget.
const (
	retryShare     = 0.1 // tokens that one success earns
	retryTokensMax = 20
)

// NewRetryBudget returns a full budget.
func NewRetryBudget() *RetryBudget {
	return &RetryBudget{tokens: retryTokensMax}
}

// Success earns a part of a retry.
func (b *RetryBudget) Success() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens = min(b.tokens+retryShare, retryTokensMax)
}

// Take reports whether a retry is allowed, and pays for it.
func (b *RetryBudget) Take() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
