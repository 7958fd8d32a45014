package backends

import "time"

const (
	// returnsShare is the part of what is served that callers who were refused may make
	// up when they come back: the rest is for new ones.
	returnsShare = 0.25
	// servedTime is the time over which what is served is averaged.
	servedTime = time.Second
	// leastReturn keeps callers from coming back before anything has changed, and
	// mostReturn is how long callers with a deadline of 15 s wait as told.
	leastReturn = 250 * time.Millisecond
	mostReturn  = 5 * time.Second
)

// returns spreads the callers of a pool who are refused, so that they come back one
// behind the other and are served then: most have one more try. The longer engines are
// behind, the later they are told to come. The zero value is ready.
type returns struct {
	// served counts placements, with weights that fall over servedTime.
	served decaying
	// last is when the last of those who were refused comes back.
	last time.Duration
}

// refuse returns when a caller is to come back. Wait is about when engines can
// take a request.
func (r *returns) refuse(now, wait time.Duration) time.Duration {
	step := time.Duration(float64(servedTime) / (returnsShare * (r.served.value(now, servedTime) + 1)))
	first := now + max(wait, leastReturn)
	r.last = min(max(r.last+step, first), now+mostReturn)
	return r.last - now
}
