package speed

import (
	"math"
	"time"
)

// Relative estimates the speed of one engine as a multiple of its pool's from the waits for first
// events. It averages the logarithms of the ratios of observed to expected waits, so that recovery
// is followed as fast as slowdown. It is not safe for concurrent use. The zero value is ready to use.
type Relative struct {
	// weight is the total weight of the samples, sum that of the logarithms, and squares that of
	// their squared deviations from the mean at the time of each sample. A weight is inverse to the
	// variance that is assumed for the sample; that of a long wait is 1.
	weight, sum, squares float64
	at                   time.Duration
}

const (
	// relativeWindow is the half-life of a sample while further ones follow.
	relativeWindow = 500 * time.Millisecond
	// maxWindowGap bounds the decay between two samples, so that an engine with few requests is not
	// estimated from its latest one alone.
	maxWindowGap = 500 * time.Millisecond
	// forgetting is the half-life of the evidence without samples, after which an engine that is
	// avoided for its speed is tried again.
	forgetting = 3 * time.Second
	// waitNoise is the standard deviation of a wait regardless of its length: a few engine steps, or
	// a busy router. Waits that are shorter show nothing about an engine.
	waitNoise = 10 * time.Millisecond
	// ratioNoise is the relative standard deviation that is assumed of a long wait, and priorSamples
	// the weight of that assumption beside the observed one.
	ratioNoise   = 0.3
	priorSamples = 4
	// maxIndependent bounds the number of samples that count as independent: requests that wait at
	// an engine at the same time have the same causes of delay.
	maxIndependent = 10
	// engineSpread is the standard deviation of speeds among the engines of a pool. Estimates whose
	// error is larger are shrunk towards 1.
	engineSpread = 0.5
	// maxRatioStep bounds the deviation of a logarithm from the mean, so that a single stall does not
	// make an engine slow.
	maxRatioStep = 1.2
	// maxDeviation bounds the deviation that counts as noise, so that a change of speed is not hidden
	// by the noise that it seems to be.
	maxDeviation = 0.7
	// minFactor and maxFactor bound the estimate, which only excludes implausible values.
	minFactor = 0.02
	maxFactor = 50
)

// Observe adds a sample: the wait for a first event, and the wait that is expected of an engine with
// the pool's speed for the work known ahead. Samples without either are ignored.
func (r *Relative) Observe(now, expected, observed time.Duration) {
	if expected <= 0 || observed <= 0 {
		return
	}
	elapsed := min(max(now-r.at, 0), maxWindowGap)
	decay := math.Exp2(-float64(elapsed) / float64(relativeWindow))
	r.at = max(r.at, now)
	mean := r.mean()
	deviation := math.Log(float64(observed)/float64(expected)) - mean
	noise := float64(waitNoise) / float64(expected)
	weight := ratioNoise * ratioNoise / (ratioNoise*ratioNoise + noise*noise)
	r.weight = r.weight*decay + weight
	r.sum = r.sum*decay + weight*(mean+min(max(deviation, -maxRatioStep), maxRatioStep))
	deviation = min(max(deviation, -maxDeviation), maxDeviation)
	r.squares = r.squares*decay + weight*deviation*deviation
}

// mean returns the average logarithm, or 0 without samples.
func (r *Relative) mean() float64 {
	if r.weight == 0 {
		return 0
	}
	return r.sum / r.weight
}

// Ratio returns the average ratio of observed to expected waits, or 1 without samples.
func (r *Relative) Ratio() float64 { return math.Exp(r.mean()) }

// RelativeError returns the standard error of the estimate as a fraction of it, at most 1. It
// grows without samples and is 1 before the first one.
func (r *Relative) RelativeError(now time.Duration) float64 {
	if r.weight == 0 {
		return 1
	}
	return math.Min(r.standardError(now), 1)
}

// standardError returns the relative error without an upper bound.
func (r *Relative) standardError(now time.Duration) float64 {
	variance := (r.squares + priorSamples*ratioNoise*ratioNoise) / (r.weight + priorSamples)
	samples := math.Min(r.weight, maxIndependent) * math.Exp2(-float64(r.Age(now))/float64(forgetting))
	return math.Sqrt(variance / samples)
}

// Factor returns the estimated speed as a multiple of the pool's: 1 is the pool's mean, above 1 is
// faster. It is shrunk towards 1 according to its error.
func (r *Relative) Factor(now time.Duration) float64 { return r.FactorTo(now, 1) }

// FactorTo returns the estimated speed as a multiple of the speed of a reference, whose Ratio is
// given. It is shrunk towards 1 according to its error.
func (r *Relative) FactorTo(now time.Duration, ratio float64) float64 {
	if r.weight == 0 {
		return 1
	}
	relativeError := r.standardError(now)
	shrunk := (math.Log(ratio) - r.mean()) * engineSpread * engineSpread / (engineSpread*engineSpread + relativeError*relativeError)
	return math.Min(math.Max(math.Exp(shrunk), minFactor), maxFactor)
}

// Age returns the time since the latest sample.
func (r *Relative) Age(now time.Duration) time.Duration { return max(now-r.at, 0) }

// Known reports whether there has been a sample.
func (r *Relative) Known() bool { return r.weight > 0 }
