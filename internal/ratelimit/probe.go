package ratelimit

import (
	"time"

	"quinceridge.example/quinceridge/internal/coordapi"
	"quinceridge.example/quinceridge/internal/pushback"
)

// probeTimeout is the time after which a probe that was not ended does not count any more.
const probeTimeout = time.Second

// probes are the plain back ends of which this process has to learn whether they are brittle, because
// others of their pools are.
type probes struct {
	// responded are those that have responded since another one of their pool was brittle.
	responded map[coordapi.BackendID]struct{}
	// until is the time until which a request to a back end counts as in flight.
	until map[coordapi.BackendID]time.Duration
}

// Probe returns whether a request without another permit may be sent to a back end, and the permit to use for
// it, which may be nil. A plain back end that has not responded yet gets one request at a time while
// another one of its pool is brittle: it may reject more than it bears before its first response.
func (r *Registry) Probe(to pushback.Backend) (p *Permit, allowed bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.mustProbe(to) {
		return nil, true
	}
	now := r.clock()
	if now < r.probes.until[to.ID] {
		return nil, false
	}
	if r.probes.until == nil || len(r.probes.until) >= maxBackends {
		r.probes.until = map[coordapi.BackendID]time.Duration{}
	}
	r.probes.until[to.ID] = now + probeTimeout
	return &Permit{backend: to.ID, probe: true}, true
}

// Probing reports whether a back end gets no request until it has responded to one in flight.
func (r *Registry) Probing(to pushback.Backend) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.mustProbe(to) && r.clock() < r.probes.until[to.ID]
}

func (r *Registry) mustProbe(to pushback.Backend) bool {
	if !to.Plain {
		return false
	}
	if _, responded := r.probes.responded[to.ID]; responded || r.backends[to.ID] != nil {
		return false
	}
	return r.poolBrittle(to.Pool)
}

// poolBrittle reports whether a plain back end of a pool is brittle.
func (r *Registry) poolBrittle(pool string) bool {
	for _, b := range r.backends {
		if b.plain && b.pool == pool && b.observation.brittle > 0 {
			return true
		}
	}
	return false
}

// recordResponse records that a back end has responded and named no limit.
func (r *Registry) recordResponse(from pushback.Backend) {
	if !r.mustProbe(from) {
		return
	}
	if r.probes.responded == nil || len(r.probes.responded) >= maxBackends {
		r.probes.responded = map[coordapi.BackendID]struct{}{}
	}
	r.probes.responded[from.ID] = struct{}{}
}

// endProbe ends a probe.
func (r *Registry) endProbe(p *Permit) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.probes.until, p.backend)
}
