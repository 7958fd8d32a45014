package ratelimit

import (
	"slices"
	"time"

	"quinceridge.example/quinceridge/internal/coordapi"
)

// maxSpares bounds the spare permits of a Registry.
const maxSpares = 256

// AddSpare keeps a permit whose request was decided before the grant arrived, for another request. It is
// released once it has expired.
func (r *Registry) AddSpare(p *Permit) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.LatePermits.Add(1)
	r.spares = append(r.spares, p)
	r.releaseSpares(r.clock())
}

// TakeSpare returns a spare permit for a back end, nil for none.
func (r *Registry) TakeSpare(id coordapi.BackendID) *Permit {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.releaseSpares(r.clock())
	at := slices.IndexFunc(r.spares, func(p *Permit) bool { return p.backend == id })
	if at < 0 {
		return nil
	}
	p := r.spares[at]
	r.spares = slices.Delete(r.spares, at, at+1)
	return p
}

// Spares returns the back ends for which there are spare permits.
func (r *Registry) Spares() []coordapi.BackendID {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.releaseSpares(r.clock())
	var ids []coordapi.BackendID
	for _, p := range r.spares {
		if !slices.Contains(ids, p.backend) {
			ids = append(ids, p.backend)
		}
	}
	return ids
}

// releaseSpares releases the spare permits that have expired, and the oldest of too many.
func (r *Registry) releaseSpares(now time.Duration) {
	r.spares = slices.DeleteFunc(r.spares, func(p *Permit) bool {
		expired := !p.valid(now, p.backend)
		if expired {
			r.release(p.number)
		}
		return expired
	})
	for len(r.spares) > maxSpares {
		r.release(r.spares[0].number)
		r.spares = r.spares[1:]
	}
}
