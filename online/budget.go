package online

import "sync"

// RetryBudget is a token bucket that limits retries to a fraction of the successful
// requests, so that retries cannot amplify an overload. It is safe for concurrent
// use.
type RetryBudget struct {
	mu     sync.Mutex
	tokens float64
}

// Parameters of a RetryBudget. A retry costs one token.
const (
	tokensPerSuccess = 0.1
	maxRetryTokens   = 20
)

// NewRetryBudget returns a full budget.
func NewRetryBudget() *RetryBudget {
	return &RetryBudget{tokens: maxRetryTokens}
}

// RecordSuccess adds tokensPerSuccess tokens for a successful request.
func (b *RetryBudget) RecordSuccess() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens = min(b.tokens+tokensPerSuccess, maxRetryTokens)
}

// Take reports whether a retry is allowed, and removes its token if so.
func (b *RetryBudget) Take() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
