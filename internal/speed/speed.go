// Package speed estimates how fast model engines read prompts, from how long
// requests waited for their first event. The package does no I/O.
package speed

import (
	"math"
	"time"
)

// TokensPerMs is how many prompt tokens an engine reads in a millisecond.
type TokensPerMs float64

const (
	// priorTokens is how much a few early requests must read to outweigh priorRate.
	priorTokens = 2000
	// keep is the weight that a sample keeps with each further one: some
	// hundred of them count.
	keep = 0.99
)

const (
	// priorRate is assumed before anything is known.
	priorRate TokensPerMs = 40
	// Bounds of an estimate. They only keep nonsense out.
	leastRate TokensPerMs = 0.5
	mostRate  TokensPerMs = 5000
)

// Estimator estimates the reading speed of like engines. A request's wait grows
// with the tokens that its engine reads up to its first event; the slope of a
// line through the samples is the time of a token, whatever a request costs
// besides. It is not safe for concurrent use. The zero value is ready.
type Estimator struct {
	// Sums over the samples, older ones weighing less: weight, tokens, waits in
	// milliseconds, squares of tokens and of waits, and their products.
	n, tokens, waits, squares, waitSquares, products float64
}

// Observe takes a request's tokens, with those that the engine had to read
// before it, and the wait for its first event.
func (r *Estimator) Observe(tokens int, wait time.Duration) {
	t, w := float64(tokens), float64(wait)/float64(time.Millisecond)
	for _, sum := range []*float64{&r.n, &r.tokens, &r.waits, &r.squares, &r.waitSquares, &r.products} {
		*sum *= keep
	}
	r.n++
	r.tokens += t
	r.waits += w
	r.squares += t * t
	r.waitSquares += w * w
	r.products += t * w
}

// Rate returns the estimate.
func (r *Estimator) Rate() TokensPerMs {
	const prior = priorTokens * priorTokens
	spread, joint := float64(prior), prior/float64(priorRate)
	if r.n > 0 {
		spread += r.squares - r.tokens*r.tokens/r.n
		joint += r.products - r.tokens*r.waits/r.n
	}
	if joint <= 0 {
		return mostRate
	}
	return TokensPerMs(math.Min(math.Max(spread/joint, float64(leastRate)), float64(mostRate)))
}

// RelativeError is how uncertain the rate is: the standard error of the slope, as a part of it,
// by how far the samples lie from the line. 1 while nothing is known.
func (r *Estimator) RelativeError() float64 {
	if r.n < 3 {
		return 1
	}
	spread := r.squares - r.tokens*r.tokens/r.n
	joint := r.products - r.tokens*r.waits/r.n
	if spread <= 0 || joint <= 0 {
		return 1
	}
	slope := joint / spread
	rest := r.waitSquares - r.waits*r.waits/r.n - slope*joint
	return math.Min(math.Sqrt(math.Max(rest, 0)/(r.n-2)/spread)/slope, 1)
}

// Wait returns how long reading takes.
func (r TokensPerMs) Wait(tokens int) time.Duration {
	return time.Duration(float64(tokens) / float64(r) * float64(time.Millisecond))
}

// Tokens returns how many are read in a time.
func (r TokensPerMs) Tokens(d time.Duration) int {
	return int(float64(r) * float64(d) / float64(time.Millisecond))
}

// DelayEstimator follows how much longer than expected something takes lately: about the
// median, so that a few slow ones prove nothing. It falls by itself, so that what
// was avoided for its delay is tried again. It is not safe for concurrent use.
// The zero value is ready.
type DelayEstimator struct {
	value float64
	at    time.Duration
}

const (
	// step is how far one sample moves the value at most.
	step = float64(50 * time.Millisecond)
	// fallTime is the time in which the value halves.
	fallTime = time.Second
)

// Observe takes a sample.
func (d *DelayEstimator) Observe(now, excess time.Duration) {
	value := float64(d.At(now))
	d.value = value + min(max(float64(excess)-value, -step), step)
	d.at = now
}

// At returns the delay as of now.
func (d *DelayEstimator) At(now time.Duration) time.Duration {
	return time.Duration(d.value * math.Exp2(-float64(now-d.at)/float64(fallTime)))
}
