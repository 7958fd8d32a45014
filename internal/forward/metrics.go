package forward

import (
	"fmt"
	"io"
	"sync/atomic"
	"time"

	"quinceridge.example/quinceridge/internal/version"
)

// latencyBounds are the upper bounds of the latency histograms.
var latencyBounds = [...]time.Duration{10 * time.Millisecond, 25 * time.Millisecond, 50 * time.Millisecond, 100 * time.Millisecond,
	200 * time.Millisecond, 400 * time.Millisecond, 800 * time.Millisecond, 1600 * time.Millisecond, 3200 * time.Millisecond, 6400 * time.Millisecond}

// Metrics counts what a Handler did. It is safe for concurrent use.
type Metrics struct {
	open atomic.Int64
	// behind counts requests refused since all engines were behind.
	behind atomic.Uint64
	// overLimit counts requests refused since their tenant was beyond its limit.
	overLimit atomic.Uint64
	// noRoom counts requests for which the back ends had no room by their limits.
	noRoom atomic.Uint64
	// blocked counts requests refused since back ends end under them.
	blocked atomic.Uint64
	// broken counts attempts that back ends ended without a whole answer.
	broken atomic.Uint64
	// placed counts engines that who places for all routers chose, and alone those
	// that this router chose without an answer.
	placed  atomic.Uint64
	alone   atomic.Uint64
	classes [6]atomic.Uint64
	own     [6]atomic.Uint64
	first   histogram
	whole   histogram
}

type histogram struct {
	counts [len(latencyBounds) + 1]atomic.Uint64
	sum    atomic.Int64
}

func (h *histogram) add(d time.Duration) {
	i := 0
	for i < len(latencyBounds) && d > latencyBounds[i] {
		i++
	}
	h.counts[i].Add(1)
	h.sum.Add(int64(d))
}

// CountResponse counts an answer; own says that the router made it itself.
func (m *Metrics) CountResponse(status int, own bool) {
	class := min(max(status/100, 0), 5)
	m.classes[class].Add(1)
	if own {
		m.own[class].Add(1)
	}
}

// ObserveDurations counts the times of an answer and of its first part.
func (m *Metrics) ObserveDurations(whole, first time.Duration) {
	m.whole.add(whole)
	m.first.add(max(first, 0))
}

// WriteTo writes the figures as text.
func (h *Handler) WriteTo(w io.Writer) (int64, error) {
	version.WriteTo(w)
	m := &h.metrics
	fmt.Fprintf(w, "quinceridge_requests_open %d\n", m.open.Load())
	for class := range m.classes {
		fmt.Fprintf(w, "quinceridge_answers_total{class=\"%dxx\"} %d\n", class, m.classes[class].Load())
		fmt.Fprintf(w, "quinceridge_own_answers_total{class=\"%dxx\"} %d\n", class, m.own[class].Load())
	}
	for pool, rate := range h.config.Pool.Rates() {
		fmt.Fprintf(w, "quinceridge_engine_read_tokens_per_ms{pool=%q} %.1f\n", pool, float64(rate.Speed))
		fmt.Fprintf(w, "quinceridge_engine_read_spread{pool=%q} %.3f\n", pool, rate.Spread)
	}
	fmt.Fprintf(w, "quinceridge_placements_total{by=\"leader\"} %d\n", m.placed.Load())
	fmt.Fprintf(w, "quinceridge_placements_total{by=\"router\"} %d\n", m.alone.Load())
	fmt.Fprintf(w, "quinceridge_refused_behind_total %d\n", m.behind.Load())
	fmt.Fprintf(w, "quinceridge_refused_over_limit_total %d\n", m.overLimit.Load())
	fmt.Fprintf(w, "quinceridge_refused_blocked_total %d\n", m.blocked.Load())
	fmt.Fprintf(w, "quinceridge_attempts_broken_total %d\n", m.broken.Load())
	fmt.Fprintf(w, "quinceridge_store_delay_seconds %.3f\n", h.store.current(h.now()).Seconds())
	fmt.Fprintf(w, "quinceridge_upstream_connections_total %d\n", h.config.Upstream.Opened.Load())
	fmt.Fprintf(w, "quinceridge_pushbacks_total %d\n", h.config.Pushbacks.Received.Load())
	fmt.Fprintf(w, "quinceridge_pushbacks_kept_total %d\n", h.config.Pushbacks.SendsBlocked.Load())
	waiting, draining := h.config.Pushbacks.Counts()
	fmt.Fprintf(w, "quinceridge_backends_pushed_back %d\n", waiting)
	fmt.Fprintf(w, "quinceridge_backends_heard_draining %d\n", draining)
	fmt.Fprintf(w, "quinceridge_limits_named_total %d\n", h.config.Limits.Named.Load())
	fmt.Fprintf(w, "quinceridge_backends_limited %d\n", h.config.Limits.InForce())
	fmt.Fprintf(w, "quinceridge_limits_used_total %d\n", h.config.Limits.Used.Load())
	fmt.Fprintf(w, "quinceridge_limits_kept_total %d\n", h.config.Limits.Kept.Load())
	fmt.Fprintf(w, "quinceridge_limits_no_room_total %d\n", m.noRoom.Load())
	m.first.write(w, "quinceridge_first_seconds")
	m.whole.write(w, "quinceridge_answer_seconds")
	return 0, nil
}

func (h *histogram) write(w io.Writer, name string) {
	total := uint64(0)
	for i, bound := range latencyBounds {
		total += h.counts[i].Load()
		fmt.Fprintf(w, "%s_bucket{le=\"%g\"} %d\n", name, bound.Seconds(), total)
	}
	total += h.counts[len(latencyBounds)].Load()
	fmt.Fprintf(w, "%s_bucket{le=\"+Inf\"} %d\n%s_count %d\n%s_sum %g\n", name, total, name, total, name, time.Duration(h.sum.Load()).Seconds())
}
