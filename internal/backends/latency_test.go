package backends

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"quinceridge.example/quinceridge/internal/state"
)

// askPlain sends a request to a pool of plain back ends and returns the one that is chosen. took
// returns its latency.
func askPlain(t *testing.T, p *Pool, now time.Duration, draw float64, took func(id string) time.Duration) string {
	t.Helper()
	q := Query{Pool: "app", Target: 300 * time.Millisecond, Routers: 1, Draw: draw}
	choice := mustChoose(t, p, now, q)
	a := p.Begin(now, &choice, &q, func(error) {})
	p.Succeeded(now, choice.ID, took(choice.ID))
	a.End(now)
	return choice.ID
}

func newPlainPool() *Pool {
	return newTestPool(state.Backend{ID: "x", Pool: "app", Address: "a:1", Zone: "a"}, state.Backend{ID: "y", Pool: "app", Address: "a:2", Zone: "a"})
}

// Guards against a back end that is not chosen again because its first answers were slow while
// another one is idle.
func TestBackendWithSlowFirstAnswersIsTriedAgain(t *testing.T) {
	for answers, within := range map[int]time.Duration{1: 50 * time.Millisecond, 3: 6 * time.Second, 10: 12 * time.Second} {
		p, random := newPlainPool(), rand.New(rand.NewPCG(1, 1))
		for range answers {
			p.Succeeded(0, "x", 2*time.Second)
		}
		for now := time.Duration(0); ; now += 10 * time.Millisecond {
			if askPlain(t, p, now, random.Float64(), func(string) time.Duration { return 2 * time.Millisecond }) == "x" {
				t.Logf("tried again %v after %d answers of 2s", now, answers)
				break
			}
			assert.Assert(t, now < within, "not tried again after %d answers", answers)
		}
	}
}

// The average latency halves in three seconds without answers.
func TestAverageLatencyDecaysWithoutAnswers(t *testing.T) {
	p := newPlainPool()
	for range 200 {
		p.Succeeded(time.Second, "x", 800*time.Millisecond)
	}
	r := p.rows["x"]
	assert.Assert(t, math.Abs(r.averageLatency(time.Second)-800) < 1, "%v", r.averageLatency(time.Second))
	assert.Assert(t, math.Abs(r.averageLatency(4*time.Second)-400) < 1, "%v", r.averageLatency(4*time.Second))
	assert.Assert(t, math.Abs(r.averageLatency(10*time.Second)-100) < 1, "%v", r.averageLatency(10*time.Second))
}

// Guards against the choice of the same one of two idle back ends for seconds because of one answer
// that took 12 ms longer, as happens on a busy machine.
func TestSmallLatencyDifferenceDoesNotDecide(t *testing.T) {
	p, random := newPlainPool(), rand.New(rand.NewPCG(1, 1))
	p.Succeeded(0, "x", 12*time.Millisecond)
	count := map[string]int{}
	for i := range 200 {
		count[askPlain(t, p, time.Duration(i)*5*time.Millisecond, random.Float64(), func(string) time.Duration { return time.Millisecond })]++
	}
	assert.Assert(t, count["x"] > 60 && count["y"] > 60, "%v", count)
}

// A back end that is slow all the time still gets fewer requests.
func TestSlowBackendGetsFewRequests(t *testing.T) {
	p, random := newPlainPool(), rand.New(rand.NewPCG(1, 1))
	count := map[string]int{}
	for i := range 2000 {
		count[askPlain(t, p, time.Duration(i)*10*time.Millisecond, random.Float64(), func(id string) time.Duration {
			if id == "x" {
				return 400 * time.Millisecond
			}
			return 20 * time.Millisecond
		})]++
	}
	assert.Assert(t, count["x"] < 200, "%v", count)
}
