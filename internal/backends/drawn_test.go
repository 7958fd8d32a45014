package backends

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// comparison holds the results of the same requests without and with estimates of speeds.
type comparison struct {
	equal, learned *speedModel
}

// compare runs the same requests at engines with the given speeds without and with estimates. load
// is the rate in requests per millisecond for each engine of speed 1. change, which may be nil, is
// called before each run.
func compare(seed uint64, speeds []float64, load float64, end time.Duration, change func(m *speedModel)) comparison {
	c := comparison{newSpeedModel(seed, speeds, true), newSpeedModel(seed, speeds, false)}
	for _, m := range []*speedModel{c.equal, c.learned} {
		m.counted = 3 * time.Second
		if change != nil {
			change(m)
		}
		m.run(load*sum(speeds), end)
	}
	return c
}

func (c comparison) String() string {
	return fmt.Sprintf("in time %.4f without and %.4f with estimates, busiest engine %.2f and %.2f times the mean, of %d requests",
		c.equal.share(), c.learned.share(), c.equal.busiest(), c.learned.busiest(), c.learned.arrived)
}

// maxLoss is the share of requests in time that estimates of speeds may cost at most.
const maxLoss = 0.01

// results collects the results of several comparisons.
type results struct {
	mu                   sync.Mutex
	gains, before, after []float64
}

func (r *results) add(c comparison) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.gains = append(r.gains, c.learned.share()-c.equal.share())
	r.before, r.after = append(r.before, c.equal.busiest()), append(r.after, c.learned.busiest())
}

func mean(values []float64) float64 { return sum(values) / float64(len(values)) }

func (r *results) String() string {
	return fmt.Sprintf("gain %.4f to %.4f, mean %.4f; busiest engine %.2f to %.2f, mean %.2f, without estimates and %.2f to %.2f, mean %.2f, with them",
		slices.Min(r.gains), slices.Max(r.gains), mean(r.gains), slices.Min(r.before), slices.Max(r.before), mean(r.before), slices.Min(r.after),
		slices.Max(r.after), mean(r.after))
}

// Guards against estimates that make service worse in some mix of speeds, within capacity and beyond
// it.
func TestDrawnSpeedsAreServedInTime(t *testing.T) {
	for load, c := range map[float64]struct {
		draws   uint64
		busiest float64
	}{0.008: {6, 1.6}, 0.014: {30, 1.2}, 0.022: {6, 1.3}} {
		var r results
		t.Run(fmt.Sprint(load), func(t *testing.T) {
			for draw := range c.draws {
				t.Run(fmt.Sprint(draw), func(t *testing.T) {
					t.Parallel()
					random := rand.New(rand.NewPCG(draw, 3))
					speeds := make([]float64, 12)
					for i := range speeds {
						speeds[i] = 0.2 + 2.8*random.Float64()
					}
					c := compare(draw, speeds, load, 12*time.Second, nil)
					assert.Assert(t, c.learned.share() >= c.equal.share()-maxLoss, "%v", c)
					r.add(c)
				})
			}
		})
		t.Logf("%v requests per millisecond and engine: %v", load, &r)
		assert.Equal(t, len(r.gains), int(c.draws))
		assert.Assert(t, mean(r.gains) > 0)
		// Below capacity the homes of keys decide, which are not equally many at each engine.
		assert.Assert(t, slices.Max(r.after) < c.busiest)
	}
}

// An engine at a tenth of the others' speed must not make requests late.
func TestEngineAtTenthOfSpeed(t *testing.T) {
	t.Parallel()
	for seed := range uint64(2) {
		c := compare(seed, append(repeat(23, 1), 0.1), 0.014, 9*time.Second, nil)
		t.Log(c)
		assert.Assert(t, c.learned.share() >= c.equal.share()-maxLoss, "%v", c)
		assert.Assert(t, c.learned.share() > 0.97, "%v", c)
		assert.Assert(t, c.learned.factor("e023") < 0.3, "%v", c.learned.factor("e023"))
		work := c.learned.engines[23].work * 24 / sumOfWork(c.learned)
		assert.Assert(t, work < 1.2, "%v times the mean", work)
	}
}

// sumOfWork returns the work of all engines.
func sumOfWork(m *speedModel) float64 {
	total := 0.0
	for _, e := range m.engines {
		total += e.work
	}
	return total
}

// Half of the pool slows down at once; service must not be worse than without estimates.
func TestHalfOfPoolSlowsDown(t *testing.T) {
	t.Parallel()
	for seed := range uint64(2) {
		c := compare(seed, repeat(24, 1), 0.008, 9*time.Second, func(m *speedModel) {
			m.after(4*time.Second, func() {
				for _, e := range m.engines[:12] {
					e.speed = 0.5
				}
			})
		})
		t.Log(c)
		assert.Assert(t, c.learned.share() >= c.equal.share()-maxLoss, "%v", c)
	}
}
