package ratelimit

import (
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"quinceridge.example/quinceridge/internal/coordapi"
)

// ErrNoPermit marks requests that were not sent for want of a permit.
var ErrNoPermit = errors.New("the back end limits its requests")

// Permit allows sending one request to one start of a back end. Sending uses it up; an unused
// permit is released once.
type Permit struct {
	backend coordapi.BackendID
	// number identifies the permit to the limiter.
	number uint64
	// expires is by clock.Now; 0 for never, if the back end has no limit.
	expires time.Duration
	// running is set if the permit is held until the request has ended.
	running bool
	// probe is set for the only request to a back end of which it is not known whether it is brittle.
	probe bool
	used  atomic.Bool
}

// Unlimited returns a permit for a back end that has no limit as far as the leader has
// observed.
func Unlimited(id coordapi.BackendID) *Permit { return &Permit{backend: id} }

// Granted returns a permit with the number under which it was requested. Its TTL counts from
// the request, by clock.Now, since the time of the grant is unknown.
func Granted(id coordapi.BackendID, number uint64, requested, ttl time.Duration) *Permit {
	return &Permit{backend: id, number: number, expires: requested + ttl}
}

// Running returns a permit like Granted that is held until its request has ended.
func Running(id coordapi.BackendID, number uint64, requested, ttl time.Duration) *Permit {
	p := Granted(id, number, requested, ttl)
	p.running = true
	return p
}

// Permit returns the permit of a verdict, nil if there is none.
func (v Verdict) Permit(id coordapi.BackendID, number uint64, requested time.Duration) *Permit {
	switch {
	case v.Unlimited:
		return Unlimited(id)
	case v.Granted:
		return Granted(id, number, requested, PermitTTL)
	}
	return nil
}

// Number identifies the permit to the limiter.
func (p *Permit) Number() uint64 { return p.number }

// Limited reports whether the permit is for a back end with a limit, which counts each request. A nil
// permit is for none.
func (p *Permit) Limited() bool { return p != nil && !p.unlimited() }

// unlimited reports whether the permit is for a back end without a limit.
func (p *Permit) unlimited() bool { return p.expires == 0 }

// valid reports whether a request may be sent to a back end with the permit. A nil permit is not
// valid.
func (p *Permit) valid(now time.Duration, id coordapi.BackendID) bool {
	return p != nil && !p.probe && p.backend == id && (p.unlimited() || now < p.expires) && !p.used.Load()
}

// consume uses the permit up, and reports whether it was valid.
func (p *Permit) consume(now time.Duration, id coordapi.BackendID) bool {
	return p.valid(now, id) && (!p.used.Swap(true) || p.unlimited())
}
