package flowcontrol

import "sync"

// Each success earns a part of a retry, so that retries stay a fixed share of the traffic when
// many attempts fail.
const (
	// successesPerRetry is the number of successes that earn one retry.
	successesPerRetry = 10
	// retryReserve is the number of retries that can be saved up.
	retryReserve = 10
)

// RetryBudget bounds retries. It is safe for concurrent use.
type RetryBudget struct {
	mu sync.Mutex
	// successes counts successes that no retry has used up.
	successes int
}

// NewRetryBudget returns a budget with a full reserve.
func NewRetryBudget() *RetryBudget { return &RetryBudget{successes: retryReserve * successesPerRetry} }

// Earn counts a success.
func (b *RetryBudget) Earn() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.successes = min(b.successes+1, retryReserve*successesPerRetry)
}

// Spend takes one retry, and reports whether there was one.
func (b *RetryBudget) Spend() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.successes < successesPerRetry {
		return false
	}
	b.successes -= successesPerRetry
	return true
}
