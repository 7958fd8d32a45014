package quota

import "time"

const (
	// lentPart is the part of the common burst of repeats that is lent; the rest is for what
	// arrives in another window than it was granted in.
	lentPart = 0.9
	// depthParts is into how many parts that is divided: one is the depth of the bucket, the
	// other comes back within the window.
	depthParts = 2
)

// SharedRetries lends the common burst of repeats to the routers that need it, wherever a back end
// has failed: divided evenly, most of it lies unused beside a crash that some routers met.
// Within any window it lends lentPart of the burst at most. A new leader's is empty and fills
// as the last one's would have, so that both together keep to that too. It is not safe for
// concurrent use.
type SharedRetries struct{ bank *Limiter }

// NewSharedRetries returns one that has lent everything.
func NewSharedRetries() *SharedRetries { return &SharedRetries{bank: NewLimiter(Tolerance{})} }

// Take lends one repeat of a pool, whose burst holds within any window. Share is the part of
// the routers that borrow; the others use their even part without asking.
func (r *SharedRetries) Take(now time.Duration, pool string, burst float64, window time.Duration, share float64) bool {
	if burst <= 0 || window <= 0 {
		return false
	}
	part := Amount(lentPart * burst * share / depthParts)
	r.bank.SetLimit(now, pool, Limit{Rate: part / Amount(window.Seconds()), Burst: max(part, 1)})
	_, granted := r.bank.Take(now, pool, 1)
	return granted
}
