package placer

import (
	"cmp"
	"fmt"
	"io"
	"maps"
	"slices"
	"time"

	"quinceridge.example/quinceridge/internal/admission"
)

// waitBounds are the upper bounds of the histogram of waits in queues.
var waitBounds = [...]time.Duration{10 * time.Millisecond, 25 * time.Millisecond, 50 * time.Millisecond, 100 * time.Millisecond,
	200 * time.Millisecond, 400 * time.Millisecond, 800 * time.Millisecond, 1600 * time.Millisecond, 3200 * time.Millisecond, 6400 * time.Millisecond}

// maxListedEngines bounds the engines of a pool that the metrics list.
const maxListedEngines = 32

// waitHistogram counts the waits of granted requests.
type waitHistogram struct {
	counts [len(waitBounds) + 1]int
	sum    time.Duration
}

func (h *waitHistogram) add(wait time.Duration) {
	i := 0
	for i < len(waitBounds) && wait > waitBounds[i] {
		i++
	}
	h.counts[i]++
	h.sum += wait
}

// WriteMetrics writes the metrics of the queues in the Prometheus text format.
func (p *Placer) WriteMetrics(w io.Writer, now time.Duration) {
	p.mu.Lock()
	levels := map[string][]admission.Level{}
	for pool, queue := range p.queues {
		levels[pool] = queue.Waiting(now)
	}
	waits, refused, pool := p.waits, maps.Clone(p.refused), p.pool
	inherited := 0
	for _, l := range p.start.totals {
		inherited += l.Running
	}
	p.mu.Unlock()
	for _, name := range slices.Sorted(maps.Keys(levels)) {
		counts := map[admission.Urgency]int{}
		for _, l := range levels[name] {
			counts[l.Urgency] += l.Requests
		}
		for _, u := range slices.SortedFunc(maps.Keys(counts), compareUrgency) {
			fmt.Fprintf(w, "quinceridge_queue_waiting{pool=%q,urgency=\"%d.%d\"} %d\n", name, u.Tenant, u.Route, counts[u])
		}
		room := pool.Room(name)
		fmt.Fprintf(w, "quinceridge_room_used{pool=%q} %d\n", name, room.Used)
		fmt.Fprintf(w, "quinceridge_room_limit{pool=%q} %d\n", name, room.Limit)
		limits := pool.EngineLimits(name, maxListedEngines)
		for _, id := range slices.Sorted(maps.Keys(limits)) {
			fmt.Fprintf(w, "quinceridge_engine_limit{pool=%q,engine=%q} %d\n", name, id, limits[id])
		}
	}
	fmt.Fprintf(w, "quinceridge_inherited_requests %d\n", inherited)
	for _, reason := range slices.Sorted(maps.Keys(refused)) {
		fmt.Fprintf(w, "quinceridge_queue_refused_total{reason=%q} %d\n", string(reason), refused[reason])
	}
	total := 0
	for i, bound := range waitBounds {
		total += waits.counts[i]
		fmt.Fprintf(w, "quinceridge_queue_wait_seconds_bucket{le=\"%g\"} %d\n", bound.Seconds(), total)
	}
	total += waits.counts[len(waitBounds)]
	fmt.Fprintf(w, "quinceridge_queue_wait_seconds_bucket{le=\"+Inf\"} %d\n", total)
	fmt.Fprintf(w, "quinceridge_queue_wait_seconds_count %d\nquinceridge_queue_wait_seconds_sum %g\n", total, waits.sum.Seconds())
}

func compareUrgency(a, b admission.Urgency) int {
	return cmp.Or(cmp.Compare(a.Tenant, b.Tenant), cmp.Compare(a.Route, b.Route))
}
