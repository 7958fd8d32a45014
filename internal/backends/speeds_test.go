package backends

import (
	"fmt"
	"math"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"quinceridge.example/quinceridge/internal/state"
)

// repeat returns n speeds, taken in turn.
func repeat(n int, speeds ...float64) []float64 {
	out := make([]float64, n)
	for i := range out {
		out[i] = speeds[i%len(speeds)]
	}
	return out
}

// factor returns the factor that choices assume for an engine.
func (m *speedModel) factor(id string) float64 {
	if f := m.pool.rows[id].pace.factor; f != 0 {
		return f
	}
	return 1
}

// factors returns the least and the greatest factor of the engines with a speed.
func (m *speedModel) factors(speed float64) (least, greatest float64) {
	var found []float64
	for _, e := range m.engines {
		if e.speed == speed {
			found = append(found, m.factor(e.id))
		}
	}
	return slices.Min(found), slices.Max(found)
}

// Guards against engines of the same speed that are told apart by noise: each choice must be the one
// that is made without estimates.
func TestEqualEnginesAreServedAsWithoutEstimates(t *testing.T) {
	t.Parallel()
	for _, load := range []float64{0.004, 0.012, 0.018} {
		for seed := range uint64(2) {
			speeds := repeat(24, 1)
			equal, learned := newSpeedModel(seed, speeds, true), newSpeedModel(seed, speeds, false)
			for _, m := range []*speedModel{equal, learned} {
				m.record = true
				m.run(load*sum(speeds), 6*time.Second)
			}
			assert.Assert(t, slices.Equal(equal.choices, learned.choices), "load %v, seed %d", load, seed)
		}
	}
}

// The error of the estimates is bounded if all parts of a wait depend on the engine's speed, and
// estimates are closer to 1 than the speed if some do not.
func TestSpeedEstimatesOfModeledEngines(t *testing.T) {
	t.Parallel()
	for _, fixed := range []time.Duration{5 * time.Millisecond, 60 * time.Millisecond} {
		for _, load := range []float64{0.008, 0.014} {
			t.Run(fmt.Sprint(fixed, " ", load), func(t *testing.T) {
				m := newSpeedModel(1, repeat(24, 0.7, 0.7, 1.7), false)
				m.fixed = fixed
				m.run(load*sum(repeat(24, 0.7, 0.7, 1.7)), 10*time.Second)
				slowLeast, slowMost := m.factors(0.7)
				fastLeast, fastMost := m.factors(1.7)
				t.Logf("factors %.2f to %.2f at speed 0.7 and %.2f to %.2f at 1.7, which is %.2f times as fast", slowLeast, slowMost, fastLeast, fastMost, 1.7/0.7)
				assert.Equal(t, slowLeast, 1.0, "the median is the reference")
				assert.Equal(t, slowMost, 1.0)
				assert.Assert(t, fastMost < 1.15*1.7/0.7)
				if fixed == 5*time.Millisecond {
					assert.Assert(t, fastLeast > 0.8*1.7/0.7)
				} else {
					assert.Assert(t, fastLeast > 0.5*1.7/0.7)
				}
			})
		}
	}
}

// An engine that slows down or recovers must be noticed within two seconds.
func TestEngineThatSlowsDownIsNoticed(t *testing.T) {
	t.Parallel()
	const noticed = 2 * time.Second
	for seed := range uint64(3) {
		m := newSpeedModel(seed, repeat(24, 1), false)
		e := m.engines[5]
		m.after(4*time.Second, func() { e.speed = 0.4 })
		m.after(4*time.Second+noticed, func() {
			assert.Assert(t, m.factor(e.id) < 0.7, "seed %d: %v", seed, m.factor(e.id))
		})
		m.after(8*time.Second, func() { e.speed = 1 })
		m.after(8*time.Second+noticed, func() {
			assert.Assert(t, m.factor(e.id) > 0.7, "seed %d: %v", seed, m.factor(e.id))
		})
		m.run(0.012*24, 11*time.Second)
	}
}

// If half of the pool slows down at once, none of its engines may count as slow: the whole pool may
// have more work.
func TestHalfOfPoolIsNotSlow(t *testing.T) {
	t.Parallel()
	m := newSpeedModel(1, repeat(24, 1), false)
	m.after(4*time.Second, func() {
		for i, e := range m.engines {
			if i%2 == 0 {
				e.speed = 0.5
			}
		}
	})
	m.run(0.008*24, 10*time.Second)
	least, _ := m.factors(0.5)
	assert.Assert(t, least > 1-equalSpeed, "%v", least)
	fast, _ := m.factors(1)
	assert.Assert(t, fast > 1.4, "%v", fast)
}

// slowSample reports a first event that took factor times as long as expected.
func slowSample(p *Pool, now time.Duration, id string, factor float64) *Attempt {
	q := query()
	choice := Choice{ID: id, Version: 1, Versioned: true, Work: Work{Prompt: 4000}}
	a := p.Begin(now, &choice, &q, func(error) {})
	wait := time.Duration(factor*100) * time.Millisecond
	a.FirstEventReported(now+wait+100*time.Millisecond, wait)
	return a
}

func fourEngines() []state.Backend {
	return []state.Backend{engine("u", 1), engine("v", 1), engine("w", 1), engine("x", 1)}
}

// newSlowEnginePool returns a pool of four engines of which x is four times as slow as the others,
// and a time.
func newSlowEnginePool() (*Pool, time.Duration) {
	p := NewCentralPool()
	p.Apply(fourEngines(), nil, true)
	now := time.Duration(0)
	for range 200 {
		now += 20 * time.Millisecond
		slowSample(p, now, "x", 4).End(now)
		for _, id := range []string{"u", "v", "w"} {
			slowSample(p, now, id, 1).End(now)
		}
		p.updateSpeeds(now, "llm")
	}
	return p, now
}

// An estimate belongs to one start of an engine: a new one, and one that returns with the same ID,
// begins at the pool's speed, and late reports of requests to an earlier start do not count.
func TestSpeedBelongsToStartOfEngine(t *testing.T) {
	p, now := newSlowEnginePool()
	assert.Assert(t, p.rows["x"].pace.factor < 0.4, "%v", p.rows["x"].pace.factor)
	var late []*Attempt
	for range 100 {
		q := query()
		late = append(late, p.Begin(now, &Choice{ID: "x", Version: 1, Versioned: true, Work: Work{Prompt: 4000}}, &q, func(error) {}))
	}
	again := engine("x", 1)
	again.EnrolledRevision = 7
	p.Apply(append(fourEngines()[:3], again), nil, false)
	assert.Equal(t, p.rows["x"].pace.factor, 0.0)
	for _, a := range late {
		a.FirstEventReported(now, time.Second)
	}
	p.updateSpeeds(now+time.Second, "llm")
	assert.Equal(t, p.rows["x"].pace.factor, 0.0)
	assert.Assert(t, !p.rows["x"].pace.known())
	// A change that is no new start keeps the estimate.
	v := p.rows["v"].pace.samples
	changed := engine("v", 1)
	changed.Draining = true
	p.Apply(append(fourEngines()[:0:0], changed), nil, false)
	assert.Equal(t, p.rows["v"].pace.samples, v)
}

// A rejected request ends without a first event. It must not make an engine look fast.
func TestRejectedRequestIsNoSpeedSample(t *testing.T) {
	p, now := newSlowEnginePool()
	before := p.rows["x"].pace.samples.Relative
	for range 100 {
		q := query()
		p.Begin(now, &Choice{ID: "x", Version: 1, Versioned: true, Work: Work{Prompt: 4000}}, &q, func(error) {}).End(now + time.Millisecond)
	}
	assert.Equal(t, p.rows["x"].pace.samples.Relative, before)
}

// An engine at a tenth of its speed is noticed before the first events that it delays, and not
// because of a request that waits as long as the work ahead of it takes.
func TestSilentEngineCountsAsSlow(t *testing.T) {
	p := NewCentralPool()
	p.Apply(fourEngines(), nil, true)
	now := time.Duration(0)
	report := func(ids ...string) {
		now += 50 * time.Millisecond
		for _, id := range ids {
			slowSample(p, now, id, 1).End(now)
		}
		p.updateSpeeds(now, "llm")
	}
	for range 100 {
		report("u", "v", "w", "x")
	}
	begun := now
	for range 2 {
		q := query()
		p.Begin(now, &Choice{ID: "x", Version: 1, Versioned: true, Work: Work{Prompt: 4000}}, &q, func(error) {})
	}
	for now < begun+2*time.Second {
		report("u", "v", "w")
		if now < begun+300*time.Millisecond {
			assert.Equal(t, p.rows["x"].pace.factor, 0.0)
		}
	}
	assert.Assert(t, p.rows["x"].pace.factor > 0 && p.rows["x"].pace.factor < 0.3, "%v", p.rows["x"].pace.factor)
}

// The expected wait for prefill and for a slot is that of the engine, not of the pool.
func TestWaitsDependOnEngine(t *testing.T) {
	p, now := newSlowEnginePool()
	factor := p.rows["x"].pace.factor
	q := query()
	q.Patience = time.Minute
	q.Tried = []string{"u", "v", "w"}
	p.Begin(now, &Choice{ID: "x", Version: 1, Versioned: true, Work: Work{Prompt: 4000}}, &q, func(error) {})
	rate := p.PrefillRates()["llm"].Speed
	slow := mustChoose(t, p, now, q)
	assert.Equal(t, slow.Ahead, 4000)
	expected := float64(rate.Wait(4000)) / factor
	assert.Assert(t, math.Abs(float64(slow.Wait)/expected-1) < 0.01, "%v", slow.Wait)
	q.Tried = nil
	for range 20 {
		assert.Assert(t, mustChoose(t, p, now, q).ID != "x")
	}
	// Only half of the rate is assumed for the progress of an engine of half the speed.
	before := mustChoose(t, p, now, Query{Pool: "llm", Model: "m", Slots: 8, Tried: []string{"u", "v", "w"}}).Ahead
	after := mustChoose(t, p, now+50*time.Millisecond, Query{Pool: "llm", Model: "m", Slots: 8, Tried: []string{"u", "v", "w"}}).Ahead
	assert.Assert(t, math.Abs(float64(before-after)-50*float64(rate)*factor) < 2, "%d, %d", before, after)
}

// The list for metrics is bounded, and contains the engines that differ most.
func TestSpeedsListsEnginesThatDiffer(t *testing.T) {
	p := NewCentralPool()
	var rows []state.Backend
	for i := range 50 {
		rows = append(rows, engine(fmt.Sprintf("e%02d", i), 1))
	}
	p.Apply(rows, nil, true)
	assert.Equal(t, len(p.Speeds(0, "llm")), 0)
	now := time.Duration(0)
	for range 100 {
		now += 50 * time.Millisecond
		for i, r := range rows {
			slow := 1.0
			if i >= 40 {
				slow = 3
			}
			slowSample(p, now, r.ID, slow).End(now)
		}
		p.updateSpeeds(now, "llm")
	}
	speeds := p.Speeds(now+time.Second, "llm")
	assert.Equal(t, len(speeds), maxSpeeds)
	for i, s := range speeds {
		assert.Equal(t, s.ID >= "e40", i < 10, "%+v", s)
		assert.Assert(t, s.Age > 500*time.Millisecond && s.Age <= time.Second, "%v", s.Age)
		if i < 10 {
			assert.Assert(t, s.Factor < 0.5 && s.Estimate < 0.5 && s.Error < 0.3, "%+v", s)
			assert.Assert(t, s.Work > 1.2, "the same requests are more work for a slow engine: %+v", s)
		} else {
			assert.Equal(t, s.Factor, 1.0)
		}
	}
	assert.Equal(t, len(p.AllSpeeds(now)), maxSpeeds)
	assert.Equal(t, len(p.Speeds(now, "other")), 0)
}
