package speed

import "time"

// Overhead returns the estimated part of the waits for first events that does not depend on the
// tokens. It is 0 before the first sample.
func (r *Estimator) Overhead() time.Duration {
	if r.n == 0 {
		return 0
	}
	ms := (r.waits - r.tokens/float64(r.Rate())) / r.n
	return time.Duration(max(ms, 0) * float64(time.Millisecond))
}
