// Package ratelimit keeps all processes of a deployment together within the request rates that
// back ends name. A back end under load names a rate in its responses, and the limit holds for
// as long as it does.
//
// Each request to such a back end needs a permit, whatever its kind: first attempts, retries,
// resumed streams, orders and reports. The leader of the coordinators grants permits from its
// Limiter, along with a placement or on request. A sending process checks its permit in a
// Registry just before the write, so that a choice made before the limit was observed sends
// nothing.
//
// Without a leader no permits are granted and requests go to other back ends. Splitting the rate
// evenly between routers instead would leave most of it unused, and could exceed it while
// permits of the last leader are outstanding.
package ratelimit

import (
	"errors"
	"fmt"
	"log/slog"
	"maps"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"quinceridge.example/quinceridge/internal/bounded"
	"quinceridge.example/quinceridge/internal/clock"
	"quinceridge.example/quinceridge/internal/coordapi"
	"quinceridge.example/quinceridge/internal/pushback"
	"quinceridge.example/quinceridge/internal/state"
	"quinceridge.example/quinceridge/internal/vocabulary"
)

const (
	// maxBackends bounds the back ends in a Registry.
	maxBackends = 4096
	// maxLogLines bounds the log lines a second on one back end's limit, which may change with
	// each response.
	maxLogLines = 4
	// endedRetention is how long a back end is kept after its limit ended, since older reports
	// may still arrive.
	endedRetention = 10 * time.Second
	// maxReleased bounds the released permits that wait to be reported.
	maxReleased = 1024
)

// Registry holds the limits that this process has observed, and checks each request before it is
// sent. It is safe for concurrent use.
type Registry struct {
	headers vocabulary.Headers
	logger  *slog.Logger
	// clock is clock.Now except in tests.
	clock func() time.Duration
	// LimitedResponses counts the responses that named a limit, PermitsUsed the permits
	// consumed, and SendsBlocked the requests not sent for want of a permit.
	LimitedResponses atomic.Uint64
	PermitsUsed      atomic.Uint64
	SendsBlocked     atomic.Uint64
	// BrittleRejections counts the rejections by brittle back ends.
	BrittleRejections atomic.Uint64
	// LatePermits counts the permits that arrived after their request had been decided without the
	// leader.
	LatePermits atomic.Uint64
	// urgent receives when finished permits are to be reported.
	urgent chan struct{}

	mu sync.Mutex
	// backends holds those that have named a limit in a response to this process.
	backends map[coordapi.BackendID]*backend
	// announced holds the back ends that have a limit according to the leader.
	announced map[coordapi.BackendID]struct{}
	// unreported holds the back ends whose limit has not been reported to the leader.
	unreported map[coordapi.BackendID]struct{}
	probes     probes
	// spares holds permits that arrived too late for the request that they were granted for.
	spares []*Permit
	// released holds the numbers of unused permits that have not been reported.
	released []uint64
	// finished holds the numbers of the permits whose requests have ended and that have not been
	// reported.
	finished []uint64
	// invalidLines limits the log lines on limits that cannot be parsed.
	invalidLines bounded.LineLimiter
}

// backend is the limit of one start of a back end.
type backend struct {
	pool        string
	plain       bool
	observation observation
	// from is where the last response came from.
	from  pushback.Origin
	lines bounded.LineLimiter
}

// needsPermit reports whether a request needs a permit. The leader limits what brittle engines run by
// its placements.
func (b *backend) needsPermit() bool {
	return b.observation.limited || (b.plain && b.observation.brittle > 0)
}

// New returns an empty registry.
func New(headers vocabulary.Headers, logger *slog.Logger) *Registry {
	return &Registry{headers: headers, logger: logger, clock: clock.Now, urgent: make(chan struct{}, 1), backends: map[coordapi.BackendID]*backend{},
		announced: map[coordapi.BackendID]struct{}{}, unreported: map[coordapi.BackendID]struct{}{}}
}

// ObserveResponse records the limit in the head of a response. From is the back end that the
// request was meant for, instance the name under which the request addressed it, and sent when
// the request was written, by clock.Now.
func (r *Registry) ObserveResponse(from pushback.Backend, instance string, sent time.Duration, response *http.Response) {
	if from.ID == "" || !r.headers.IsFrom(instance, response) {
		return
	}
	rate, limited, err := parseRate(response.Header, r.headers.Limit)
	brittle, invalid := parseBrittle(response.Header, r.headers.Brittle)
	err = errors.Join(err, invalid)
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.clock()
	if err != nil {
		if r.invalidLines.Allow(now, 1) {
			r.logger.Warn("invalid limit header ignored", "part", "ratelimit", "backend", from.ID, "error", err.Error())
		}
		return
	}
	b := r.backends[from.ID]
	if b == nil && !limited && brittle == 0 {
		r.recordResponse(from)
		return
	}
	if brittle > 0 && response.Header.Get(r.headers.NotRun) != "" && response.StatusCode == http.StatusServiceUnavailable {
		r.BrittleRejections.Add(1)
	}
	if limited {
		r.LimitedResponses.Add(1)
	}
	latest := observation{sent: sent, received: now, limited: limited, rate: rate, brittle: brittle}
	if b == nil {
		r.evict(now)
		b = &backend{pool: from.Pool, plain: from.Plain}
		r.backends[from.ID] = b
	} else {
		latest = latest.merge(b.observation, 0)
	}
	b.from = from.From
	r.update(from, b, latest, response.StatusCode)
}

// update sets the observation that holds for a back end, and logs a change.
func (r *Registry) update(from pushback.Backend, b *backend, latest observation, status int) {
	before := b.observation
	b.observation = latest
	if latest.equal(before) {
		return
	}
	r.unreported[from.ID] = struct{}{}
	if !b.lines.Allow(r.clock(), maxLogLines) {
		return
	}
	message := "back end set a limit"
	switch {
	case (latest.brittle > 0) != (before.brittle > 0):
		message = "back end is brittle"
		if latest.brittle == 0 {
			message = "back end is no longer brittle"
		}
	case !latest.limited:
		message = "back end removed its limit"
	case before.limited:
		message = "back end changed its limit"
	}
	r.logger.Info(message, "part", "ratelimit", "backend", from.ID, "pool", from.Pool, "rate", float64(latest.rate), "before", float64(before.rate),
		"brittle", float64(latest.brittle), "status", status)
}

// evict makes room for a back end: it drops those whose limit ended long ago, then the quarter
// observed least recently.
func (r *Registry) evict(now time.Duration) {
	if len(r.backends) < maxBackends {
		return
	}
	maps.DeleteFunc(r.backends, func(_ coordapi.BackendID, b *backend) bool {
		return !b.observation.limited && b.observation.brittle == 0 && now-b.observation.received > endedRetention
	})
	if len(r.backends) < maxBackends {
		return
	}
	// TakeUnreported skips the back ends dropped here.
	bounded.DropOldest(r.backends, maxBackends/4, func(b *backend) time.Duration { return b.observation.received })
}

// Adopt makes the limit of a back end's later start hold for it that was recorded for an earlier start,
// because the later one had sent no heartbeat yet. It is called with the row ID of a request's receiver and
// the name and address under which the request addresses it.
func (r *Registry) Adopt(id coordapi.BackendID, name, address string) {
	start, later := state.LaterStart(name, string(id))
	if !later {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if _, known := r.backends[id]; known {
		return
	}
	for earlier, b := range r.backends {
		if earlier == id || (!b.observation.limited && b.observation.brittle == 0) || !b.from.IsFrom(start, address) {
			continue
		}
		r.evict(r.clock())
		adopted := &backend{pool: b.pool, plain: b.plain, from: b.from}
		r.backends[id] = adopted
		r.update(pushback.Backend{ID: id, Pool: b.pool}, adopted, b.observation, 0)
		return
	}
}

// Limited reports whether requests to a back end need a permit.
func (r *Registry) Limited(id coordapi.BackendID) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.limited(id)
}

func (r *Registry) limited(id coordapi.BackendID) bool {
	if b := r.backends[id]; b != nil && b.needsPermit() {
		return true
	}
	_, is := r.announced[id]
	return is
}

// Check returns nil if a request may be sent to a back end with a permit, which may be nil, else
// an error marked ErrNoPermit.
func (r *Registry) Check(id coordapi.BackendID, p *Permit) error {
	return r.check(id, p, p.valid)
}

// Consume is Check just before the write: it uses the permit up.
func (r *Registry) Consume(id coordapi.BackendID, p *Permit) error {
	err := r.check(id, p, p.consume)
	if err == nil && p != nil && !p.unlimited() {
		r.PermitsUsed.Add(1)
	}
	return err
}

func (r *Registry) check(id coordapi.BackendID, p *Permit, valid func(time.Duration, coordapi.BackendID) bool) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	// A permit is used up even if no limit is known here, since the limiter counts it.
	if valid(r.clock(), id) {
		r.requeueLimit(id, p)
		return nil
	}
	if !r.limited(id) {
		return nil
	}
	r.SendsBlocked.Add(1)
	return fmt.Errorf("%w and no permit is held", ErrNoPermit)
}

// requeueLimit reports a limit to the leader again if the leader's permit is one for
// back ends without a limit.
func (r *Registry) requeueLimit(id coordapi.BackendID, p *Permit) {
	if b := r.backends[id]; p != nil && p.unlimited() && b != nil && b.needsPermit() {
		r.unreported[id] = struct{}{}
	}
}

// Release returns a permit that will not be used. It does nothing for one that was used, or is
// nil.
func (r *Registry) Release(p *Permit) {
	if p != nil && p.probe {
		r.endProbe(p)
		return
	}
	if p == nil || p.unlimited() || p.used.Swap(true) {
		return
	}
	r.ReleaseNumbers(p.number)
}

// ReleaseNumbers returns permits by their numbers: those whose grant may have been lost on its
// way here, and those whose release may have been lost on its way to the leader. A nil registry
// ignores them.
func (r *Registry) ReleaseNumbers(numbers ...uint64) {
	if r == nil {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.release(numbers...)
}

func (r *Registry) release(numbers ...uint64) {
	r.released = append(r.released, numbers...)
	if over := len(r.released) - maxReleased; over > 0 {
		r.released = slices.Delete(r.released, 0, over)
	}
}

// Finish reports the end of a request whose permit is held until then. It does nothing for other
// permits, or nil.
func (r *Registry) Finish(p *Permit) {
	if r == nil || p == nil || !p.running || !p.used.Load() {
		return
	}
	r.RequeueFinished(p.number)
	select {
	case r.urgent <- struct{}{}:
	default:
	}
}

// Urgent receives when finished requests are to be reported without delay: others wait for their
// permits. A nil registry never sends.
func (r *Registry) Urgent() <-chan struct{} {
	if r == nil {
		return nil
	}
	return r.urgent
}

// RequeueFinished makes TakeFinished return numbers once more that did not reach a leader. A nil
// registry ignores them.
func (r *Registry) RequeueFinished(numbers ...uint64) {
	if r == nil {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.finished = append(r.finished, numbers...)
	if over := len(r.finished) - maxReleased; over > 0 {
		r.finished = slices.Delete(r.finished, 0, over)
	}
}

// TakeFinished returns the numbers of the permits whose requests have ended since the last call. A
// nil registry has none.
func (r *Registry) TakeFinished() []uint64 {
	if r == nil {
		return nil
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	out := r.finished
	r.finished = nil
	return out
}

// Unused returns the numbers of the permits released since the last call. A nil registry
// has none.
func (r *Registry) Unused() []uint64 {
	if r == nil {
		return nil
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.releaseSpares(r.clock())
	out := r.released
	r.released = nil
	return out
}

// Announced replaces the back ends that have a limit according to the leader. A nil registry
// ignores them.
func (r *Registry) Announced(ids []coordapi.BackendID) {
	if r == nil {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	clear(r.announced)
	for _, id := range ids {
		r.announced[id] = struct{}{}
	}
}

// TakeUnreported returns the limits that changed since the last call. A nil registry has none.
func (r *Registry) TakeUnreported() []coordapi.LimitReport {
	if r == nil {
		return nil
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.unreported) == 0 {
		return nil
	}
	now := r.clock()
	out := make([]coordapi.LimitReport, 0, len(r.unreported))
	for id := range r.unreported {
		if b := r.backends[id]; b != nil {
			out = append(out, b.observation.report(now, id, b.pool, b.plain))
		}
	}
	clear(r.unreported)
	return out
}

// ReportAgain makes TakeUnreported return all limits in force once more, for a new leader. A nil
// registry has none.
func (r *Registry) ReportAgain() {
	if r == nil {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	for id, b := range r.backends {
		if b.observation.limited || b.observation.brittle > 0 {
			r.unreported[id] = struct{}{}
		}
	}
}

// Requeue makes TakeUnreported return reports once more that did not reach a leader. A nil
// registry ignores them.
func (r *Registry) Requeue(reports []coordapi.LimitReport) {
	if r == nil {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	for i := range reports {
		if _, known := r.backends[reports[i].ID]; known {
			r.unreported[reports[i].ID] = struct{}{}
		}
	}
}

// Active returns how many back ends need a permit.
func (r *Registry) Active() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	count := len(r.announced)
	for id, b := range r.backends {
		if _, is := r.announced[id]; !is && b.needsPermit() {
			count++
		}
	}
	return count
}
