package flowcontrol

import "sync"

// Retry budget: each success earns a part of a retry, so that retries stay a
// share of the traffic when many attempts fail.
const (
	// successesPerRetry is how many successes earn one retry.
	successesPerRetry = 10
	// retryReserve is how many retries can be saved up.
	retryReserve = 10
)

// RetryBudget bounds retries. It is safe for concurrent use.
type RetryBudget struct {
	mu sync.Mutex
	// earned counts successes that no retry has used up.
	earned int
}

// NewRetryBudget returns a budget with its reserve full.
func NewRetryBudget() *RetryBudget { return &RetryBudget{earned: retryReserve * successesPerRetry} }

// Earn notes a success.
func (b *RetryBudget) Earn() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.earned = min(b.earned+1, retryReserve*successesPerRetry)
}

// Spend takes one retry and tells whether there was one.
func (b *RetryBudget) Spend() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.earned < successesPerRetry {
		return false
	}
	b.earned -= successesPerRetry
	return true
}
