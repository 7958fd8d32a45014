package quota

import "time"

const (
	// lentShare is the share of the common burst that is lent. The rest covers retries that are
	// sent in a later window than they were granted in.
	lentShare = 0.9
	// burstParts divides the lent share: one part is the capacity of the bucket, the other is
	// refilled within a window.
	burstParts = 2
)

// SharedRetries lends retries of the burst that all routers share to those that need them. An
// even split would leave most of the burst unused when only a few routers see a back end fail.
// It lends at most lentShare of the burst within any window. That of a new leader starts empty,
// so that both leaders together keep to the bound. It is not safe for concurrent use.
type SharedRetries struct{ limiter *Limiter }

// NewSharedRetries returns one with nothing left to lend.
func NewSharedRetries() *SharedRetries { return &SharedRetries{limiter: NewLimiter(Tolerance{})} }

// Take lends one retry of a pool, whose burst holds within any window. Share is the share of the
// routers that borrow; the others use their even part without asking.
func (r *SharedRetries) Take(now time.Duration, pool string, burst float64, window time.Duration, share float64) bool {
	if burst <= 0 || window <= 0 {
		return false
	}
	part := Amount(lentShare * burst * share / burstParts)
	r.limiter.Limit(now, pool, Limit{Rate: part / Amount(window.Seconds()), Burst: max(part, 1)})
	_, granted := r.limiter.Take(now, pool, 1)
	return granted
}
