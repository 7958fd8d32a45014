package experiment

import (
	"time"

	"quinceridge.example/quinceridge/internal/latency"
	"quinceridge.example/quinceridge/internal/scheduling"
	"quinceridge.example/quinceridge/internal/workload"
)

// Result holds the metrics of one run. Times are in seconds.
type Result struct {
	Requests int `json:"requests"`
	Answered int `json:"answered"`
	Refused  int `json:"refused"`
	// HitRate is the share of prompt tokens that were cached, and WastedRatio the share that was
	// computed although a live engine had them cached.
	HitRate     float64 `json:"hit_rate"`
	WastedRatio float64 `json:"wasted_ratio"`
	// SurgeHitRate is the hit rate during the surge.
	SurgeHitRate float64 `json:"surge_hit_rate"`
	SteadyP50    float64 `json:"ttft_p50_steady"`
	SteadyP95    float64 `json:"ttft_p95_steady"`
	SteadyP99    float64 `json:"ttft_p99_steady"`
	SurgeP50     float64 `json:"ttft_p50_surge"`
	SurgeP95     float64 `json:"ttft_p95_surge"`
	SurgeP99     float64 `json:"ttft_p99_surge"`
	// Goodput is the rate of responses per second during the surge whose first token met the limit of
	// their class. TopClassInTime is the share of the highest class's requests that met it.
	Goodput         float64 `json:"goodput"`
	TopClassInTime  float64 `json:"top_class_in_time"`
	RecoverySeconds float64 `json:"recovery_seconds"`
	Placements      uint64  `json:"placements"`
	// BlockChanges counts blocks that entered or left a cache, and HeadChanges those of them whose
	// events are published.
	BlockChanges int `json:"block_changes"`
	HeadChanges  int `json:"head_changes"`
	// Timeline is the 95th percentile of the time to first token for each second in which first tokens
	// arrived, and -1 for a second without any.
	Timeline []float64 `json:"timeline"`
}

type tokenCounts struct{ prompt, cached, wasted int }

// metrics collects the metrics of a run.
type metrics struct {
	options         Options
	figures         Result
	allTokens       tokenCounts
	surgeTokens     tokenCounts
	steadyLatency   *latency.Histogram
	surgeLatency    *latency.Histogram
	latencyBySecond map[int]*latency.Histogram
	inTime          int
	topClassTotal   int
	topClassInTime  int
}

func newMetrics(options Options) *metrics {
	return &metrics{options: options, steadyLatency: latency.New(), surgeLatency: latency.New(), latencyBySecond: map[int]*latency.Histogram{}}
}

func (m *metrics) arrived(f *simulatedRequest) {
	m.figures.Requests++
	if m.isTopClass(f) && f.request.Phase == workload.Surge {
		m.topClassTotal++
	}
}

// isTopClass reports whether a request has the highest class.
func (m *metrics) isTopClass(f *simulatedRequest) bool { return f.class.Priority == 100 }

func (m *metrics) refused() { m.figures.Refused++ }

func (m *metrics) answered() { m.figures.Answered++ }

func (m *metrics) admitted(now time.Duration, prompt, cached, wasted int) {
	if now < warmUp {
		return
	}
	m.allTokens.add(prompt, cached, wasted)
	if m.options.Conditions.Plan.Phase(now) == workload.Surge {
		m.surgeTokens.add(prompt, cached, wasted)
	}
}

func (m *metrics) blockChanged(depth int) {
	m.figures.BlockChanges++
	if scheduling.IsHead(depth) {
		m.figures.HeadChanges++
	}
}

func (c *tokenCounts) add(prompt, cached, wasted int) {
	c.prompt += prompt
	c.cached += cached
	c.wasted += wasted
}

func (m *metrics) firstToken(f *simulatedRequest, now time.Duration) {
	wait := now - f.request.At
	second := int(now / time.Second)
	if m.latencyBySecond[second] == nil {
		m.latencyBySecond[second] = latency.New()
	}
	m.latencyBySecond[second].Record(wait)
	if f.request.At < warmUp {
		return
	}
	switch f.request.Phase {
	case workload.Steady:
		m.steadyLatency.Record(wait)
	case workload.Surge:
		m.surgeLatency.Record(wait)
		m.countInTime(f, wait)
	}
}

func (m *metrics) countInTime(f *simulatedRequest, wait time.Duration) {
	if wait > f.class.FirstToken {
		return
	}
	m.inTime++
	if m.isTopClass(f) {
		m.topClassInTime++
	}
}

func (c tokenCounts) hitRate() float64 { return float64(c.cached) / float64(max(c.prompt, 1)) }

func (m *metrics) result(placements uint64) *Result {
	r := &m.figures
	r.HitRate, r.SurgeHitRate = m.allTokens.hitRate(), m.surgeTokens.hitRate()
	r.WastedRatio = float64(m.allTokens.wasted) / float64(max(m.allTokens.prompt, 1))
	r.SteadyP50, r.SteadyP95, r.SteadyP99 = m.steadyLatency.Seconds(50), m.steadyLatency.Seconds(95), m.steadyLatency.Seconds(99)
	r.SurgeP50, r.SurgeP95, r.SurgeP99 = m.surgeLatency.Seconds(50), m.surgeLatency.Seconds(95), m.surgeLatency.Seconds(99)
	r.Goodput = float64(m.inTime) / (surgeEnd - surgeStart).Seconds()
	r.TopClassInTime = float64(m.topClassInTime) / float64(max(m.topClassTotal, 1))
	r.Placements = placements
	r.Timeline = m.timeline()
	r.RecoverySeconds = m.recovery(r)
	figures := *r // a pointer into m would retain its histograms
	return &figures
}

func (m *metrics) timeline() []float64 {
	last := 0
	for second := range m.latencyBySecond {
		last = max(last, second)
	}
	out := make([]float64, last+1)
	for second := range out {
		out[second] = -1
		if h := m.latencyBySecond[second]; h != nil {
			out[second] = h.Seconds(95)
		}
	}
	return out
}

// recovery returns the time from the end of the surge, in seconds, until the 95th percentile of the
// time to first token stays within twice the steady one, or within floor if that is more.
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
