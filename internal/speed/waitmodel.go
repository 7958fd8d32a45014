package speed

import (
	"math"
	"time"
)

// Circumstances are the known causes of a wait for a first event.
type Circumstances struct {
	// Ahead is the number of prompt tokens that the engine had to process up to and including the
	// request's own, and Later that of the requests sent to it while the request waited, whose
	// prefill delays the first decode steps.
	Ahead, Later int
	// Running is the number of requests in decode when the request was sent.
	Running int
	// Queued is the number of requests at the engine beyond its slots.
	Queued int
}

// causes is the number of coefficients of a WaitModel: the intercept and one for each circumstance.
const causes = 5

// values returns the regressors.
func (c Circumstances) values() [causes]float64 {
	return [causes]float64{1, float64(c.Ahead) / 1000, float64(c.Later) / 1000, float64(c.Running), float64(c.Queued)}
}

// WaitModel estimates the wait for a first event at the engines of a pool by linear regression on
// its circumstances. Samples have exponentially decaying weights, and inversely to the square of the
// expected wait, so that relative errors count alike. It is not safe for concurrent use. The zero
// value is ready to use.
type WaitModel struct {
	// products holds the sums of products of the regressors, and waits those with the waits in
	// milliseconds.
	products [causes][causes]float64
	waits    [causes]float64
	// mean is the average wait in milliseconds and n the decayed number of samples.
	mean, n      float64
	coefficients [causes]float64
	// unsolved is the number of samples since coefficients was solved.
	unsolved int
	solved   bool
}

const (
	// modelDecay is the factor by which each sample reduces the weight of the earlier ones.
	modelDecay = 0.997
	// solveInterval is the number of samples between two solutions.
	solveInterval = 8
	// minModelSamples is the least number of samples from which a wait is expected.
	minModelSamples = 60
	// ridge is the weight of the assumption that a circumstance has no effect, in samples.
	ridge = 0.5
	// minMeanDivisor is the greatest ratio of the mean wait to an expected one.
	minMeanDivisor = 8
)

// Observe adds a sample.
func (m *WaitModel) Observe(c Circumstances, wait time.Duration) {
	ms := float64(wait) / float64(time.Millisecond)
	if ms <= 0 {
		return
	}
	m.n = m.n*modelDecay + 1
	m.mean += (ms - m.mean) / m.n
	scale := m.mean
	if expected := m.Expected(c); expected > 0 {
		scale = float64(expected) / float64(time.Millisecond)
	}
	weight := 1 / (scale * scale)
	x := c.values()
	for i := range x {
		m.waits[i] = m.waits[i]*modelDecay + weight*x[i]*ms
		for j := range x {
			m.products[i][j] = m.products[i][j]*modelDecay + weight*x[i]*x[j]
		}
	}
	if m.unsolved++; m.unsolved >= solveInterval {
		m.unsolved, m.solved = 0, true
		m.solve()
	}
}

// Expected returns the wait that is expected under the circumstances, or 0 while there are too few
// samples.
func (m *WaitModel) Expected(c Circumstances) time.Duration {
	if m.n < minModelSamples || !m.solved {
		return 0
	}
	ms := 0.0
	for i, x := range c.values() {
		ms += m.coefficients[i] * x
	}
	return time.Duration(math.Max(ms, m.mean/minMeanDivisor) * float64(time.Millisecond))
}

// solve computes the coefficients. A circumstance with a negative effect is left out.
func (m *WaitModel) solve() {
	var without [causes]bool
	for range causes {
		solution := m.solveWithout(without)
		worst := 0
		for i := 1; i < causes; i++ {
			if solution[i] < 0 && (worst == 0 || solution[i] < solution[worst]) {
				worst = i
			}
		}
		if worst == 0 {
			m.coefficients = solution
			return
		}
		without[worst] = true
	}
}

// solveWithout solves the normal equations by Gaussian elimination. The matrix is positive definite
// because of the ridge.
func (m *WaitModel) solveWithout(without [causes]bool) [causes]float64 {
	a, b := m.products, m.waits
	for i := range causes {
		if without[i] {
			for j := range causes {
				a[i][j], a[j][i] = 0, 0
			}
			a[i][i], b[i] = 1, 0
			continue
		}
		if i > 0 {
			// In units of the regressor's mean square.
			a[i][i] += ridge*a[i][i]/m.n + math.SmallestNonzeroFloat32
		}
	}
	for i := range causes {
		for k := i + 1; k < causes; k++ {
			f := a[k][i] / a[i][i]
			for j := i; j < causes; j++ {
				a[k][j] -= f * a[i][j]
			}
			b[k] -= f * b[i]
		}
	}
	var out [causes]float64
	for i := causes - 1; i >= 0; i-- {
		sum := b[i]
		for j := i + 1; j < causes; j++ {
			sum -= a[i][j] * out[j]
		}
		out[i] = sum / a[i][i]
	}
	return out
}
