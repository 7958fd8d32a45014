package gateway

import (
	"strconv"
	"time"

	"github.com/prometheus/client_golang/prometheus"
)

// metrics holds the metrics of a gateway.
type metrics struct {
	requests   *prometheus.CounterVec
	firstToken *prometheus.HistogramVec
	tokens     prometheus.Counter
	open       prometheus.Gauge
	cached     prometheus.Counter
	prompt     prometheus.Counter
	// failedCalls counts calls of application workers without a whole response.
	failedCalls prometheus.Counter
}

func newMetrics(registry *prometheus.Registry) *metrics {
	const namespace = "quinceridge"
	m := &metrics{
		requests: prometheus.NewCounterVec(prometheus.CounterOpts{Namespace: namespace, Name: "requests_total",
			Help: "Requests by outcome and status."}, []string{"outcome", "status"}),
		firstToken: prometheus.NewHistogramVec(prometheus.HistogramOpts{Namespace: namespace, Name: "first_token_seconds",
			Help: "Time from request to first token, by class.", Buckets: prometheus.ExponentialBuckets(0.01, 1.6, 16)}, []string{"class"}),
		tokens: prometheus.NewCounter(prometheus.CounterOpts{Namespace: namespace, Name: "generated_tokens_total",
			Help: "Tokens passed on to callers."}),
		open: prometheus.NewGauge(prometheus.GaugeOpts{Namespace: namespace, Name: "open_requests",
			Help: "Requests in progress."}),
		cached: prometheus.NewCounter(prometheus.CounterOpts{Namespace: namespace, Name: "cached_prompt_tokens_total",
			Help: "Prompt tokens that engines had cached."}),
		prompt: prometheus.NewCounter(prometheus.CounterOpts{Namespace: namespace, Name: "prompt_tokens_total",
			Help: "Prompt tokens of answered requests."}),
		failedCalls: prometheus.NewCounter(prometheus.CounterOpts{Namespace: namespace, Name: "worker_calls_failed_total",
			Help: "Calls of application workers without a whole response."}),
	}
	registry.MustRegister(m.requests, m.firstToken, m.tokens, m.open, m.cached, m.prompt, m.failedCalls)
	return m
}

func (m *metrics) answered() { m.requests.WithLabelValues("answered", "200").Inc() }

func (m *metrics) refused(e *APIError) {
	m.requests.WithLabelValues(string(e.Outcome), strconv.Itoa(e.Status)).Inc()
}

func (m *metrics) cut() { m.requests.WithLabelValues("cut", "200").Inc() }

func (m *metrics) observeFirstToken(class string, wait time.Duration) {
	m.firstToken.WithLabelValues(class).Observe(wait.Seconds())
}
