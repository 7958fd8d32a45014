package placer

import (
	"time"

	"quinceridge.example/quinceridge/internal/backends"
	"quinceridge.example/quinceridge/internal/coordapi"
	"quinceridge.example/quinceridge/internal/ratelimit"
)

// maxKeptPlaces is at how many engines that keep their next place for others a request is
// turned away before none counts as found: where all of a large pool do, a few stand for
// all.
const maxKeptPlaces = 8

// choose finds an engine that has a place by its limit, and returns for how long the right
// to send there lasts; 0 where none is needed. An engine that takes no more stands out of the
// choice until it does, so that its requests spill over as they do beside any that is full.
func (p *Placer) choose(now time.Duration, ask *coordapi.Place, q *backends.Query) (choice backends.Choice, found bool, right time.Duration) {
	for kept := 0; ; {
		choice, found = p.pool.Choose(now, q)
		if p.limits == nil || (found && choice.Late) {
			return choice, found, 0
		}
		if !found {
			return p.none(now, q, kept > 0), false, 0
		}
		verdict := p.limits.Take(now, ratelimit.Request{Router: ask.Router, Number: ask.Number, Backend: coordapi.BackendID(choice.ID), Claimant: ask.Claimant})
		switch {
		case verdict.Unlimited:
			return choice, true, 0
		case verdict.Granted:
			return choice, true, ratelimit.PermitTTL
		case verdict.Wait > 0:
			p.pool.Full(now, choice.ID, verdict.Wait)
			continue
		}
		// It keeps its next place for others: it is full for this request alone.
		if kept++; kept > maxKeptPlaces {
			return p.none(now, q, true), false, 0
		}
		q.Tried = append(q.Tried, choice.ID)
	}
}

// Reopen lets engines be asked again for a place: rights have come back, or they take
// another rate from now on.
func (p *Placer) Reopen(now time.Duration, ids []coordapi.BackendID) {
	for _, id := range ids {
		p.current().Full(now, string(id), 0)
	}
}

// none is the choice for a request that found no engine. Kept says that one keeps its place
// for others.
func (p *Placer) none(now time.Duration, q *backends.Query, kept bool) backends.Choice {
	if !kept && p.pool.Back(now, q) == 0 {
		// Limits are not why.
		return backends.Choice{}
	}
	return backends.Choice{Room: p.limits.RetryAfter(now, q.Pool)}
}
