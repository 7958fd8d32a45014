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

// Metrics counts the work of a Handler. It is safe for concurrent use.
type Metrics struct {
	inFlight atomic.Int64
	// refusedBehind counts requests refused because all engines were behind.
	refusedBehind atomic.Uint64
	// refusedQueued counts requests refused because there is no capacity for them in time.
	refusedQueued atomic.Uint64
	// refusedShare counts requests to plain back ends refused by the share of their class.
	refusedShare atomic.Uint64
	// refusedOverLimit counts requests refused because their tenant was over its limit.
	refusedOverLimit atomic.Uint64
	// noPermit counts requests that found no permit because of the limits of back ends.
	noPermit atomic.Uint64
	// refusedBlocked counts requests refused because they are blocked as poison requests.
	refusedBlocked atomic.Uint64
	// refusedBlockedParts counts requests refused because parts of their prompts are blocked.
	refusedBlockedParts atomic.Uint64
	// refusedMemory counts requests refused because the memory for requests was used up.
	refusedMemory atomic.Uint64
	// unloggedRefusals counts refusals without a log line.
	unloggedRefusals atomic.Uint64
	// stalledClients counts clients that were disconnected because they read nothing.
	stalledClients atomic.Uint64
	// unreadBodies counts attempts given up because their back end did not read the request.
	unreadBodies atomic.Uint64
	// resumedUnresponsive counts attempts that another one replaced because their engine was
	// unresponsive, and endedUnresponsive those that ended because nothing more arrived and their
	// callers were taken to have left.
	resumedUnresponsive atomic.Uint64
	endedUnresponsive   atomic.Uint64
	hedges              hedgeCounts
	// failedAttempts counts attempts that ended without a complete response because of their
	// back end.
	failedAttempts atomic.Uint64
	// placedByLeader counts engines that the leader chose, and placedLocally those that this
	// router chose because the leader did not reply.
	placedByLeader atomic.Uint64
	placedLocally  atomic.Uint64
	// pathsLost counts the times that the path to a pool was found to be lost.
	pathsLost atomic.Uint64
	// passedOn counts the requests that another router accepted from this one, relaysDeclined those
	// that one declined, and relayDelay is the time to the response. declined counts the requests of
	// other routers that this one declined, and accepted the others.
	passedOn       atomic.Uint64
	relaysDeclined atomic.Uint64
	relayDelay     histogram
	declined       atomic.Uint64
	accepted       atomic.Uint64
	// resumedByClients counts the requests whose clients resume a stream, and streams those whose first
	// event was sent.
	resumedByClients atomic.Uint64
	// refusedUnknownWriter counts streams that did not go on because the software version that began them
	// is not known, refusedSoftwareGone those of a version that no longer serves, and refusedMoved those
	// of a pool to which their route no longer leads.
	refusedUnknownWriter atomic.Uint64
	refusedSoftwareGone  atomic.Uint64
	refusedMoved         atomic.Uint64
	// otherStarts counts the attempts that were not sent because a later start served the address.
	otherStarts atomic.Uint64
	// earlyEnds counts the answers that ended before they were complete.
	earlyEnds  earlyEnds
	streams    streamCounts
	responses  [6]atomic.Uint64
	local      [6]atomic.Uint64
	firstEvent histogram
	total      histogram
}

// hedgeCounts counts the attempts beside open ones by their result.
type hedgeCounts struct {
	// tookOver counts those that were answered first, inVain those beside which the first attempt went
	// on, failed those that ended without an answer, and notPlaced those that were not sent.
	tookOver, inVain, failed, notPlaced atomic.Uint64
}

// count counts a hedge that did not take over.
func (c *hedgeCounts) count(result string) {
	switch result {
	case hedgeInVain:
		c.inVain.Add(1)
	case hedgeFailed:
		c.failed.Add(1)
	default:
		c.notPlaced.Add(1)
	}
}

func (c *hedgeCounts) writeTo(w io.Writer) {
	for _, count := range []struct {
		result string
		n      *atomic.Uint64
	}{{hedgeTookOver, &c.tookOver}, {hedgeInVain, &c.inVain}, {hedgeFailed, &c.failed}, {hedgeNotPlaced, &c.notPlaced}} {
		fmt.Fprintf(w, "quinceridge_further_attempts_total{result=%q} %d\n", count.result, count.n.Load())
	}
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

// CountResponse counts a response; local is true if the router generated it.
func (m *Metrics) CountResponse(status int, local bool) {
	class := min(max(status/100, 0), 5)
	m.responses[class].Add(1)
	if local {
		m.local[class].Add(1)
	}
}

// ObserveDurations records the time to the end of a response and to its first event.
func (m *Metrics) ObserveDurations(total, firstEvent time.Duration) {
	m.total.add(total)
	m.firstEvent.add(max(firstEvent, 0))
}

// WriteTo writes the metrics in the Prometheus text format.
func (h *Handler) WriteTo(w io.Writer) (int64, error) {
	version.WriteTo(w)
	m := &h.metrics
	fmt.Fprintf(w, "quinceridge_requests_open %d\n", m.inFlight.Load())
	for class := range m.responses {
		fmt.Fprintf(w, "quinceridge_answers_total{class=\"%dxx\"} %d\n", class, m.responses[class].Load())
		fmt.Fprintf(w, "quinceridge_own_answers_total{class=\"%dxx\"} %d\n", class, m.local[class].Load())
	}
	for pool, rate := range h.config.Pool.PrefillRates() {
		fmt.Fprintf(w, "quinceridge_engine_read_tokens_per_ms{pool=%q} %.1f\n", pool, float64(rate.Speed))
		fmt.Fprintf(w, "quinceridge_engine_read_spread{pool=%q} %.3f\n", pool, rate.RelativeError)
	}
	fmt.Fprintf(w, "quinceridge_placements_total{by=\"leader\"} %d\n", m.placedByLeader.Load())
	fmt.Fprintf(w, "quinceridge_placements_total{by=\"router\"} %d\n", m.placedLocally.Load())
	fmt.Fprintf(w, "quinceridge_paths_lost_total %d\n", m.pathsLost.Load())
	fmt.Fprintf(w, "quinceridge_requests_passed_on_total %d\n", m.passedOn.Load())
	fmt.Fprintf(w, "quinceridge_requests_passed_on_declined_total %d\n", m.relaysDeclined.Load())
	fmt.Fprintf(w, "quinceridge_requests_relayed_total %d\n", m.accepted.Load())
	fmt.Fprintf(w, "quinceridge_requests_relayed_declined_total %d\n", m.declined.Load())
	fmt.Fprintf(w, "quinceridge_paths_lost %d\n", len(h.config.Paths.Lost()))
	fmt.Fprintf(w, "quinceridge_refused_behind_total %d\n", m.refusedBehind.Load())
	fmt.Fprintf(w, "quinceridge_refused_no_room_total %d\n", m.refusedQueued.Load())
	fmt.Fprintf(w, "quinceridge_refused_share_total %d\n", m.refusedShare.Load())
	if h.config.Queue != nil {
		fmt.Fprintf(w, "quinceridge_waiting_requests %d\n", h.config.Queue.Waiting())
	}
	fmt.Fprintf(w, "quinceridge_refused_over_limit_total %d\n", m.refusedOverLimit.Load())
	fmt.Fprintf(w, "quinceridge_refused_blocked_total %d\n", m.refusedBlocked.Load())
	fmt.Fprintf(w, "quinceridge_refused_blocked_parts_total %d\n", m.refusedBlockedParts.Load())
	fmt.Fprintf(w, "quinceridge_refused_memory_total %d\n", m.refusedMemory.Load())
	fmt.Fprintf(w, "quinceridge_refusals_unlogged_total %d\n", m.unloggedRefusals.Load())
	fmt.Fprintf(w, "quinceridge_stalled_clients_total %d\n", m.stalledClients.Load())
	fmt.Fprintf(w, "quinceridge_unread_bodies_total %d\n", m.unreadBodies.Load())
	fmt.Fprintf(w, "quinceridge_streams_resumed_unresponsive_total %d\n", m.resumedUnresponsive.Load())
	fmt.Fprintf(w, "quinceridge_ended_unresponsive_total %d\n", m.endedUnresponsive.Load())
	m.hedges.writeTo(w)
	m.earlyEnds.writeTo(w)
	fmt.Fprintf(w, "quinceridge_streams_resumed_by_clients_total %d\n", m.resumedByClients.Load())
	m.streams.writeTo(w, "quinceridge_streams_begun_total")
	fmt.Fprintf(w, "quinceridge_streams_refused_total{reason=\"version unknown\"} %d\n", m.refusedUnknownWriter.Load())
	fmt.Fprintf(w, "quinceridge_streams_refused_total{reason=\"version gone\"} %d\n", m.refusedSoftwareGone.Load())
	fmt.Fprintf(w, "quinceridge_streams_refused_total{reason=\"pool moved\"} %d\n", m.refusedMoved.Load())
	fmt.Fprintf(w, "quinceridge_buffer_bytes %d\n", h.config.Memory.Used())
	fmt.Fprintf(w, "quinceridge_buffer_limit_bytes %d\n", h.config.Memory.Limit())
	fmt.Fprintf(w, "quinceridge_attempts_broken_total %d\n", m.failedAttempts.Load())
	fmt.Fprintf(w, "quinceridge_store_delay_seconds %.3f\n", h.store.delayAt(h.now()).Seconds())
	fmt.Fprintf(w, "quinceridge_upstream_connections_total %d\n", h.config.Upstream.Opened.Load())
	fmt.Fprintf(w, "quinceridge_upstream_connections_identified_total %d\n", h.config.Upstream.Identified.Load())
	fmt.Fprintf(w, "quinceridge_responses_malformed_total %d\n", h.malformedResponses())
	fmt.Fprintf(w, "quinceridge_upstream_other_starts_total %d\n", m.otherStarts.Load())
	fmt.Fprintf(w, "quinceridge_pushbacks_total %d\n", h.config.Pushbacks.Received.Load())
	fmt.Fprintf(w, "quinceridge_pushbacks_kept_total %d\n", h.config.Pushbacks.SendsBlocked.Load())
	fmt.Fprintf(w, "quinceridge_draining_sends_withheld_total %d\n", h.config.Pushbacks.DrainingSendsBlocked.Load()+h.config.Pool.SendsWithheld.Load())
	waiting, draining := h.config.Pushbacks.Active()
	fmt.Fprintf(w, "quinceridge_backends_pushed_back %d\n", waiting)
	fmt.Fprintf(w, "quinceridge_backends_heard_draining %d\n", draining)
	fmt.Fprintf(w, "quinceridge_limits_named_total %d\n", h.config.Limits.LimitedResponses.Load())
	fmt.Fprintf(w, "quinceridge_backends_limited %d\n", h.config.Limits.Active())
	fmt.Fprintf(w, "quinceridge_limits_late_total %d\n", h.config.Limits.LatePermits.Load())
	fmt.Fprintf(w, "quinceridge_limits_used_total %d\n", h.config.Limits.PermitsUsed.Load())
	fmt.Fprintf(w, "quinceridge_brittle_rejections_total %d\n", h.config.Limits.BrittleRejections.Load())
	fmt.Fprintf(w, "quinceridge_limits_kept_total %d\n", h.config.Limits.SendsBlocked.Load())
	fmt.Fprintf(w, "quinceridge_limits_no_room_total %d\n", m.noPermit.Load())
	m.firstEvent.write(w, "quinceridge_first_seconds")
	m.relayDelay.write(w, "quinceridge_passed_on_first_seconds")
	m.total.write(w, "quinceridge_answer_seconds")
	return 0, nil
}

// malformedResponses returns the number of responses of back ends and other routers that were no HTTP.
func (h *Handler) malformedResponses() uint64 {
	n := h.config.Upstream.Malformed.Load()
	if h.config.RelayConnections != nil {
		n += h.config.RelayConnections.Malformed.Load()
	}
	return n
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
