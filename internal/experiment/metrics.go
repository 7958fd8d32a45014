package experiment

import (
	"time"

	"quinceridge.example/quinceridge/internal/latency"
	"quinceridge.example/quinceridge/internal/scheduling"
	"quinceridge.example/quinceridge/internal/workload"
)

// Result is the figures of one run. Times are in seconds.
type Result struct {
	Requests int `json:"requests"`
	Answered int `json:"answered"`
	Refused  int `json:"refused"`
	// HitRate is the share of prompt tokens that were cached, and Wasted the
	// share that was computed although a live engine held them.
	HitRate     float64 `json:"hit_rate"`
	WastedRatio float64 `json:"wasted_ratio"`
	// SurgeHitRate counts the surge only.
	SurgeHitRate float64 `json:"surge_hit_rate"`
	SteadyP50    float64 `json:"ttft_p50_steady"`
	SteadyP95    float64 `json:"ttft_p95_steady"`
	SteadyP99    float64 `json:"ttft_p99_steady"`
	SurgeP50     float64 `json:"ttft_p50_surge"`
	SurgeP95     float64 `json:"ttft_p95_surge"`
	SurgeP99     float64 `json:"ttft_p99_surge"`
	// Goodput is the answers a second during the surge whose first token came
	// within their class's limit. TopGoodput counts the highest class alone, as
	// a share of its requests.
	Goodput         float64 `json:"goodput"`
	TopClassInTime  float64 `json:"top_class_in_time"`
	RecoverySeconds float64 `json:"recovery_seconds"`
	Placements      uint64  `json:"placements"`
	// BlockChanges counts blocks that entered or left a cache, HeadChanges those
	// among them that are published.
	BlockChanges int `json:"block_changes"`
	HeadChanges  int `json:"head_changes"`
	// Timeline is the 95th percentile of the first tokens that came in each
	// second, -1 for none.
	Timeline []float64 `json:"timeline"`
}

type counts struct{ prompt, cached, wasted int }

// metrics gathers the figures of a run.
type metrics struct {
	options  Options
	figures  Result
	all      counts
	surge    counts
	steady   *latency.Histogram
	inSurge  *latency.Histogram
	seconds  map[int]*latency.Histogram
	inTime   int
	topTotal int
	topTime  int
}

func newMetrics(options Options) *metrics {
	return &metrics{options: options, steady: latency.New(), inSurge: latency.New(), seconds: map[int]*latency.Histogram{}}
}

func (m *metrics) arrived(f *flight) {
	m.figures.Requests++
	if m.top(f) && f.request.Phase == workload.Surge {
		m.topTotal++
	}
}

// top tells whether a request is of the highest class.
func (m *metrics) top(f *flight) bool { return f.class.Priority == 100 }

func (m *metrics) refused() { m.figures.Refused++ }

func (m *metrics) answered() { m.figures.Answered++ }

func (m *metrics) admitted(now time.Duration, prompt, cached, wasted int) {
	if now < warmUp {
		return
	}
	m.all.add(prompt, cached, wasted)
	if m.options.Conditions.Plan.Phase(now) == workload.Surge {
		m.surge.add(prompt, cached, wasted)
	}
}

func (m *metrics) changed(depth int) {
	m.figures.BlockChanges++
	if scheduling.IsHead(depth) {
		m.figures.HeadChanges++
	}
}

func (c *counts) add(prompt, cached, wasted int) {
	c.prompt += prompt
	c.cached += cached
	c.wasted += wasted
}

func (m *metrics) firstToken(f *flight, now time.Duration) {
	wait := now - f.request.At
	second := int(now / time.Second)
	if m.seconds[second] == nil {
		m.seconds[second] = latency.New()
	}
	m.seconds[second].Record(wait)
	if f.request.At < warmUp {
		return
	}
	switch f.request.Phase {
	case workload.Steady:
		m.steady.Record(wait)
	case workload.Surge:
		m.inSurge.Record(wait)
		m.countInTime(f, wait)
	}
}

func (m *metrics) countInTime(f *flight, wait time.Duration) {
	if wait > f.class.FirstToken {
		return
	}
	m.inTime++
	if m.top(f) {
		m.topTime++
	}
}

func (c counts) hitRate() float64 { return float64(c.cached) / float64(max(c.prompt, 1)) }

func (m *metrics) result(placements uint64) *Result {
	r := &m.figures
	r.HitRate, r.SurgeHitRate = m.all.hitRate(), m.surge.hitRate()
	r.WastedRatio = float64(m.all.wasted) / float64(max(m.all.prompt, 1))
	r.SteadyP50, r.SteadyP95, r.SteadyP99 = m.steady.Seconds(50), m.steady.Seconds(95), m.steady.Seconds(99)
	r.SurgeP50, r.SurgeP95, r.SurgeP99 = m.inSurge.Seconds(50), m.inSurge.Seconds(95), m.inSurge.Seconds(99)
	r.Goodput = float64(m.inTime) / (surgeEnd - surgeStart).Seconds()
	r.TopClassInTime = float64(m.topTime) / float64(max(m.topTotal, 1))
	r.Placements = placements
	r.Timeline = m.timeline()
	r.RecoverySeconds = m.recovery(r)
	figures := *r // a pointer into m would keep its histograms
	return &figures
}

func (m *metrics) timeline() []float64 {
	last := 0
	for second := range m.seconds {
		last = max(last, second)
	}
	out := make([]float64, last+1)
	for second := range out {
		out[second] = -1
		if h := m.seconds[second]; h != nil {
			out[second] = h.Seconds(95)
		}
	}
	return out
}

// recovery is how long after the surge the 95th percentile of a second was last
// above twice the steady one, or above 100 ms if that is more.
func (m *metrics) recovery(r *Result) float64 {
	const floor = 0.1
	limit := max(2*r.SteadyP95, floor)
	end := int(surgeEnd / time.Second)
	recovered := end
	for second := end; second < len(r.Timeline); second++ {
		if r.Timeline[second] > limit {
			recovered = second + 1
		}
	}
	return float64(recovered - end)
}
