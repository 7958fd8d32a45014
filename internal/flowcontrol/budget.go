package flowcontrol

import "sync"

// Retry budget: each success earns a part of a retry, so that retries stay a
// share of the traffic when many attempts fail.
const (
	retryPerSuccess = 0.1
	retryReserve    = 10
)

// RetryBudget bounds retries. It is safe for concurrent use.
type RetryBudget struct {
	mu     sync.Mutex
	tokens float64
}

// NewRetryBudget returns a budget with its reserve full.
func NewRetryBudget() *RetryBudget { return &RetryBudget{tokens: retryReserve} }

// Earn notes a success.
func (b *RetryBudget) Earn() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens = min(b.tokens+retryPerSuccess, retryReserve)
}

// Spend takes one retry and tells whether there was one.
func (b *RetryBudget) Spend() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
