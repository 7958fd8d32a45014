package callers

import (
	"fmt"
	"sync"
	"time"

	"quinceridge.example/quinceridge/internal/latency"
	"quinceridge.example/quinceridge/internal/workload"
)

// Tally holds the request counts of a run.
type Tally struct {
	Requests int `json:"requests"`
	Answered int `json:"answered"`
	// NotRun counts requests whose last response was a refusal.
	NotRun int `json:"not_run"`
	// Refusals counts all refusals, also those followed by a successful retry.
	Refusals       int `json:"refusals"`
	OutcomeUnknown int `json:"outcome_unknown"`
	// IncompleteStreams counts answers that started but were never completed.
	IncompleteStreams int `json:"incomplete_streams"`
	// Lost counts requests that ended without a final response.
	Lost int `json:"lost"`
	// Wrong counts answers with tokens that are wrong, duplicated or out of order.
	Wrong int `json:"wrong"`
	// Resumes counts streams that were resumed after a broken connection; Restarts counts those that
	// the caller had to restart.
	Resumes  int `json:"resumes"`
	Restarts int `json:"restarts"`
	Broken   int `json:"broken_connections"`
	// Unsent counts arrivals that were not sent because Config.Limit was reached.
	Unsent int `json:"unsent"`
}

// Latency holds percentiles of a latency, in seconds.
type Latency struct {
	Count int64   `json:"count"`
	P50   float64 `json:"p50"`
	P95   float64 `json:"p95"`
	P99   float64 `json:"p99"`
}

// Report holds the results of a run. Its methods are safe for concurrent use.
type Report struct {
	mu sync.Mutex

	Tally   Tally   `json:"tally"`
	Seconds float64 `json:"seconds"`
	// TTFT is the time to first token, by phase and by class and phase ("class/phase").
	TTFT map[string]Latency `json:"ttft"`
	// TokenGap is the distribution, over answers, of the mean time between tokens.
	TokenGap Latency `json:"token_gap"`
	// Called, Refused and Unknown list the idempotency keys of non-retryable calls by outcome.
	Called  []string `json:"called"`
	Refused []string `json:"refused"`
	Unknown []string `json:"unknown"`
	// RefusedRequests lists the IDs of generation requests that were refused without being run.
	RefusedRequests []string `json:"refused_requests"`
	// Errors lists the first maxErrors errors, for diagnosis.
	Errors []string `json:"errors"`

	first map[string]*latency.Histogram
	gaps  *latency.Histogram
}

// maxErrors limits Report.Errors.
const maxErrors = 20

func newReport() *Report {
	return &Report{TTFT: map[string]Latency{}, first: map[string]*latency.Histogram{}, gaps: latency.New()}
}

func (r *Report) update(change func()) {
	r.mu.Lock()
	defer r.mu.Unlock()
	change()
}

// Snapshot returns the counts so far.
func (r *Report) Snapshot() Tally {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.Tally
}

func (r *Report) started() { r.update(func() { r.Tally.Requests++ }) }

func (r *Report) unsent() { r.update(func() { r.Tally.Unsent++ }) }

func (r *Report) restarted() { r.update(func() { r.Tally.Restarts++ }) }

func (r *Report) answered(request workload.Request, a *answer) {
	r.update(func() {
		r.Tally.Answered++
		wait := a.first.Sub(a.sent)
		for _, name := range []string{string(request.Phase), request.Kind.Class + "/" + string(request.Phase)} {
			h := r.first[name]
			if h == nil {
				h = latency.New()
				r.first[name] = h
			}
			h.Record(wait)
		}
		if a.outputTokens > 1 {
			r.gaps.Record(a.previous.Sub(a.first) / time.Duration(a.outputTokens-1))
		}
	})
}

func (r *Report) callAnswered(key string) {
	r.update(func() {
		r.Tally.Answered++
		if key != "" {
			r.Called = append(r.Called, key)
		}
	})
}

func (r *Report) callOutcomeUnknown(key string) {
	r.update(func() {
		r.Tally.OutcomeUnknown++
		if key != "" {
			r.Unknown = append(r.Unknown, key)
		}
	})
}

func (r *Report) callRefused(key string) {
	r.update(func() {
		r.Tally.NotRun++
		if key != "" {
			r.Refused = append(r.Refused, key)
		}
	})
}

func (r *Report) refused(requestID string) {
	r.update(func() {
		r.Tally.Refusals++
		r.RefusedRequests = append(r.RefusedRequests, requestID)
	})
}

func (r *Report) disconnected(begun bool) {
	r.update(func() {
		r.Tally.Broken++
		if begun {
			r.Tally.Resumes++
		}
	})
}

func (r *Report) wrong(request workload.Request, err error) {
	r.update(func() {
		r.Tally.Wrong++
		r.addError(request, err)
	})
}

// failed records a request that ended without a complete answer.
func (r *Report) failed(request workload.Request, err error, begun bool) {
	r.update(func() {
		switch {
		case begun:
			r.Tally.IncompleteStreams++
		case err == errRefused:
			r.Tally.NotRun++
			return
		default:
			r.Tally.Lost++
		}
		r.addError(request, err)
	})
}

func (r *Report) addError(request workload.Request, err error) {
	if len(r.Errors) < maxErrors {
		r.Errors = append(r.Errors, fmt.Sprintf("request %d (%s, %s) at %.1fs: %v", request.Number, request.Kind.Name, request.Tenant, request.At.Seconds(), err))
	}
}

func (r *Report) finish(took time.Duration) {
	r.update(func() {
		r.Seconds = took.Seconds()
		for name, h := range r.first {
			r.TTFT[name] = percentiles(h)
		}
		r.TokenGap = percentiles(r.gaps)
	})
}

func percentiles(h *latency.Histogram) Latency {
	return Latency{Count: h.Count(), P50: h.Seconds(50), P95: h.Seconds(95), P99: h.Seconds(99)}
}
