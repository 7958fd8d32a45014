package fairshare

import (
	"container/heap"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

const (
	modelBackends = 6
	modelSlots    = 6
	modelRunTime  = 60 * time.Millisecond
	modelTarget   = 300 * time.Millisecond
	modelTimeout  = 800 * time.Millisecond
	modelRouters  = 16
	// modelCapacity is in requests of modelRunTime a second.
	modelCapacity = float64(modelBackends*modelSlots) / 0.06
)

// source sends requests of a class. Rate is a multiple of the capacity of the pool by work.
type source struct {
	class Class
	run   time.Duration
	rate  func(now time.Duration) float64
}

func steady(rate float64) func(time.Duration) float64 {
	return func(time.Duration) float64 { return rate }
}

type tally struct{ asked, refused, inTime int }

// outcome is what happened to the requests that a source sent, by second.
type outcome map[int][]tally

func (o outcome) sum(source, from, to int) tally {
	var total tally
	for second := from; second < to; second++ {
		x := o[source][second]
		total = tally{total.asked + x.asked, total.refused + x.refused, total.inTime + x.inTime}
	}
	return total
}

type event struct {
	at time.Duration
	do func()
}

type events []event

func (e events) Len() int           { return len(e) }
func (e events) Less(i, j int) bool { return e[i].at < e[j].at }
func (e events) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)        { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

type modelRequest struct {
	source, router int
	sent           time.Duration
}

type modelBackend struct {
	running int
	queue   []modelRequest
}

// model runs sources against back ends with queues of their own in virtual time. Routers report
// every 100 ms and choose the shorter of two queues; announcements arrive 50 ms after they are made.
type model struct {
	now      time.Duration
	events   events
	backends [modelBackends]modelBackend
	gates    [modelRouters]*Gate
	sources  []source
	out      outcome
	random   *rand.Rand
	leader   *Allocator
	shares   bool
	// variable draws run times from an exponential distribution.
	variable bool
}

func (m *model) after(d time.Duration, do func()) { heap.Push(&m.events, event{m.now + d, do}) }

func runModel(seconds int, shares bool, sources ...source) outcome {
	return (&model{shares: shares}).run(seconds, sources)
}

func (m *model) run(seconds int, sources []source) outcome {
	m.sources, m.out, m.random, m.leader = sources, outcome{}, rand.New(rand.NewPCG(7, 7)), &Allocator{}
	for i := range m.gates {
		m.gates[i] = NewGate()
		m.after(time.Duration(i)*100*time.Millisecond/modelRouters, func() { m.report(i) })
	}
	for i := range sources {
		m.out[i] = make([]tally, seconds+2)
		m.after(0, func() { m.arrive(i) })
	}
	m.after(0, m.announce)
	for m.now < time.Duration(seconds)*time.Second {
		e := heap.Pop(&m.events).(event)
		m.now = e.at
		e.do()
	}
	return m.out
}

func (m *model) report(router int) {
	m.leader.Report(m.now, m.gates[router].Demands(m.now))
	m.after(100*time.Millisecond, func() { m.report(router) })
}

func (m *model) announce() {
	running := 0
	for i := range m.backends {
		running += m.backends[i].running + len(m.backends[i].queue)
	}
	shares := m.leader.Shares(m.now, func(string) Use { return Use{Slots: modelBackends * modelSlots, Running: running} })
	m.after(50*time.Millisecond, func() {
		for _, g := range m.gates {
			g.SetShares(m.now, shares)
		}
	})
	m.after(130*time.Millisecond, m.announce)
}

func (m *model) arrive(i int) {
	s := &m.sources[i]
	rate := s.rate(m.now) * modelCapacity * modelRunTime.Seconds() / s.run.Seconds()
	if rate == 0 {
		m.after(10*time.Millisecond, func() { m.arrive(i) })
		return
	}
	m.after(time.Duration(m.random.ExpFloat64()/rate*float64(time.Second)), func() { m.arrive(i) })
	second := &m.out[i][int(m.now.Seconds())]
	second.asked++
	r := modelRequest{source: i, router: m.random.IntN(modelRouters), sent: m.now}
	if _, _, admitted := m.gates[r.router].Admit(m.now, s.class, m.random.Float64(), 0); !admitted && m.shares {
		second.refused++
		return
	}
	b, other := &m.backends[m.random.IntN(modelBackends)], &m.backends[m.random.IntN(modelBackends)]
	if other.running+len(other.queue) < b.running+len(b.queue) {
		b = other
	}
	b.queue = append(b.queue, r)
	m.start(b)
}

func (m *model) start(b *modelBackend) {
	for b.running < modelSlots && len(b.queue) > 0 {
		r := b.queue[0]
		b.queue = b.queue[1:]
		if m.now-r.sent >= modelTimeout {
			continue
		}
		b.running++
		run := m.sources[r.source].run
		if m.variable {
			run = time.Duration(m.random.ExpFloat64() * float64(run))
		}
		m.after(run, func() {
			b.running--
			took := m.now - r.sent
			if took < modelTimeout {
				m.gates[r.router].Ran(m.sources[r.source].class, took)
			}
			if took <= modelTarget {
				m.out[r.source][int(r.sent.Seconds())].inTime++
			}
			m.start(b)
		})
	}
}

func part(n, of int) float64 { return float64(n) / float64(max(of, 1)) }

// Guards against refusals while slots are free, lost capacity beyond it, urgent requests that are
// served no better than others, and tenants of one urgency that are served differently.
func TestServiceByUrgencyAndTenantAtMultiplesOfCapacity(t *testing.T) {
	for _, load := range []float64{0.5, 0.8, 0.9, 1, 1.5, 2, 3} {
		sources := []source{
			{class("a", 0, 0), modelRunTime, steady(load / 4)}, {class("b", 0, 0), modelRunTime, steady(load / 4)},
			{class("a", 0, 1), modelRunTime, steady(load / 4)}, {class("b", 0, 1), modelRunTime, steady(load / 4)},
		}
		out, without := runModel(20, true, sources...), runModel(20, false, sources...)
		var served [4]float64
		inTime, today, refused, asked := 0, 0, 0, 0
		for i := range sources {
			all := out.sum(i, 4, 18)
			served[i] = part(all.inTime, all.asked)
			inTime, refused, asked = inTime+all.inTime, refused+all.refused, asked+all.asked
			today += without.sum(i, 4, 18).inTime
		}
		best := min(load, 1) * modelCapacity * 14
		t.Logf("load %.1f: in time by class %.3f, %.3f of the best, %.3f without shares, refused %.3f", load, served, float64(inTime)/best, float64(today)/best, part(refused, asked))
		if load <= 0.9 {
			assert.Equal(t, refused, 0)
			assert.Equal(t, inTime, today, "each request goes as without shares")
			assert.Assert(t, part(inTime, asked) > 0.99)
			continue
		}
		assert.Assert(t, float64(inTime)/best > 0.9, "load %.1f", load)
		assert.Assert(t, math.Abs(served[0]-served[1]) < 0.05 && math.Abs(served[2]-served[3]) < 0.05)
		assert.Assert(t, served[0] > 0.94*min(1, (1-floor)/(load/2)), "urgent requests")
		assert.Assert(t, (served[2]+served[3])*load/4 > 0.08, "floor")
	}
}

// Guards against a tenant at ten times its usual rate that takes capacity from tenants within their
// share, also when its requests are long and few.
func TestFloodOfOneTenantLeavesOthersTheirShare(t *testing.T) {
	for _, run := range []time.Duration{modelRunTime, 4 * modelRunTime} {
		sources := []source{{class("flood", 0, 0), run, steady(2)}}
		for _, tenant := range []string{"a", "b", "c", "d"} {
			sources = append(sources, source{class(tenant, 0, 0), modelRunTime, steady(0.15)})
		}
		out := runModel(20, true, sources...)
		for i := 1; i < len(sources); i++ {
			all := out.sum(i, 4, 18)
			t.Logf("run %s: tenant %s in time %.3f refused %.3f", run, sources[i].class.Tenant, part(all.inTime, all.asked), part(all.refused, all.asked))
			assert.Assert(t, part(all.inTime, all.asked) > 0.95)
		}
		flood := out.sum(0, 4, 18)
		t.Logf("run %s: flood in time %.3f of its requests", run, part(flood.inTime, flood.asked))
		assert.Assert(t, part(flood.inTime, flood.asked)*2 > 0.25, "the share that others do not use")
	}
}

// Guards against refusals that go on after a surge, and a queue that stays at the back ends.
func TestRecoveryWithinTwoSeconds(t *testing.T) {
	for _, surge := range []float64{1.5, 2, 3} {
		rate := func(now time.Duration) float64 {
			if now >= 3*time.Second && now < 9*time.Second {
				return surge
			}
			return 0.8
		}
		out := runModel(20, true, source{class("a", 0, 0), modelRunTime, rate})
		during, after := out.sum(0, 5, 9), out.sum(0, 11, 18)
		t.Logf("surge of %.1f: goodput %.3f during it, refused %.4f and in time %.4f from 2 s after it", surge,
			float64(during.inTime)/modelCapacity/4, part(after.refused, after.asked), part(after.inTime, after.asked))
		assert.Assert(t, float64(during.inTime)/modelCapacity/4 > 0.9)
		assert.Equal(t, after.refused, 0)
		assert.Assert(t, part(after.inTime, after.asked) > 0.99)
	}
}

// Guards against run times that vary, as those of most back ends do: the estimates of few requests
// must not begin shares below the capacity or lose much of it beyond.
func TestServiceWithVariableRunTimes(t *testing.T) {
	for _, load := range []float64{0.5, 0.8, 1.5, 3} {
		var sources []source
		for i := range 16 {
			sources = append(sources, source{class(string(rune('a'+i)), 0, i%2), modelRunTime, steady(load / 16)})
		}
		out := (&model{shares: true, variable: true}).run(20, sources)
		inTime, refused, asked := 0, 0, 0
		var served [2]tally
		for i := range sources {
			all := out.sum(i, 4, 18)
			inTime, refused, asked = inTime+all.inTime, refused+all.refused, asked+all.asked
			served[i%2].asked += all.asked
			served[i%2].inTime += all.inTime
		}
		best := min(load, 1) * modelCapacity * 14
		t.Logf("load %.1f: %.3f of the best, refused %.3f, urgent %.3f, others %.3f", load, float64(inTime)/best, part(refused, asked),
			part(served[0].inTime, served[0].asked), part(served[1].inTime, served[1].asked))
		if load <= 0.8 {
			assert.Equal(t, refused, 0)
		}
		assert.Assert(t, float64(inTime)/best > 0.85)
	}
}
