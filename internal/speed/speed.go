// Package speed estimates the prefill rate of model engines and the speed of each from the time that requests wait for
// their first event. The package does no I/O.
package speed

import (
	"math"
	"time"
)

// TokensPerMs is a prefill rate in prompt tokens per millisecond.
type TokensPerMs float64

const (
	// priorTokens is the weight of priorRate, as a number of prompt tokens.
	priorTokens = 2000
	// sampleDecay is the factor by which each new sample reduces the weight of the earlier ones.
	sampleDecay = 0.99
)

const (
	// priorRate is the initial estimate.
	priorRate TokensPerMs = 40
	// Bounds of the estimate, which only exclude implausible values.
	minRate TokensPerMs = 0.5
	maxRate TokensPerMs = 5000
)

// Estimator estimates the prefill rate of equal engines by linear regression. A
// request's wait grows with the tokens that its engine processes before the first
// event; the slope is the time per token, and the intercept covers all other
// delays. It is not safe for concurrent use. The zero value is ready to use.
type Estimator struct {
	// Sums over the samples with exponentially decaying weights: weight, tokens, waits in
	// milliseconds, squared tokens, squared waits, and products of both.
	n, tokens, waits, squares, waitSquares, products float64
}

// Observe adds the sample of a request: the prompt tokens that the engine had to process up to and
// including its own, and the wait for its first event.
func (r *Estimator) Observe(tokens int, wait time.Duration) {
	t, w := float64(tokens), float64(wait)/float64(time.Millisecond)
	for _, sum := range []*float64{&r.n, &r.tokens, &r.waits, &r.squares, &r.waitSquares, &r.products} {
		*sum *= sampleDecay
	}
	r.n++
	r.tokens += t
	r.waits += w
	r.squares += t * t
	r.waitSquares += w * w
	r.products += t * w
}

// Rate returns the estimated prefill rate.
func (r *Estimator) Rate() TokensPerMs {
	const prior = priorTokens * priorTokens
	sxx, sxy := float64(prior), prior/float64(priorRate)
	if r.n > 0 {
		sxx += r.squares - r.tokens*r.tokens/r.n
		sxy += r.products - r.tokens*r.waits/r.n
	}
	if sxy <= 0 {
		return maxRate
	}
	return TokensPerMs(math.Min(math.Max(sxx/sxy, float64(minRate)), float64(maxRate)))
}

// RelativeError returns the standard error of the slope as a fraction of it, at most 1. It is 1
// while there are too few samples.
func (r *Estimator) RelativeError() float64 {
	if r.n < 3 {
		return 1
	}
	sxx := r.squares - r.tokens*r.tokens/r.n
	sxy := r.products - r.tokens*r.waits/r.n
	if sxx <= 0 || sxy <= 0 {
		return 1
	}
	slope := sxy / sxx
	residual := r.waitSquares - r.waits*r.waits/r.n - slope*sxy
	return math.Min(math.Sqrt(math.Max(residual, 0)/(r.n-2)/sxx)/slope, 1)
}

// Wait returns the time that prefill of a number of tokens takes.
func (r TokensPerMs) Wait(tokens int) time.Duration {
	return time.Duration(float64(tokens) / float64(r) * float64(time.Millisecond))
}

// Tokens returns the number of tokens processed in a time.
func (r TokensPerMs) Tokens(d time.Duration) int {
	return int(float64(r) * float64(d) / float64(time.Millisecond))
}

// DelayEstimator estimates the recent median of a delay beyond the expected
// one, so that a few slow samples have little effect. The estimate decays
// without samples, so that whatever is avoided for its delay is eventually
// retried. It is not safe for concurrent use. The zero value is ready to use.
type DelayEstimator struct {
	value float64
	at    time.Duration
}

const (
	// maxStep bounds the change of the estimate by one sample.
	maxStep = float64(50 * time.Millisecond)
	// halfLife is the half-life of the estimate.
	halfLife = time.Second
)

// Observe adds a sample of the excess over the expected delay.
func (d *DelayEstimator) Observe(now, excess time.Duration) {
	value := float64(d.At(now))
	d.value = value + min(max(float64(excess)-value, -maxStep), maxStep)
	d.at = now
}

// At returns the estimate at the time now.
func (d *DelayEstimator) At(now time.Duration) time.Duration {
	return time.Duration(d.value * math.Exp2(-float64(now-d.at)/float64(halfLife)))
}
