package placer

import (
	"time"

	"quinceridge.example/quinceridge/internal/backends"
	"quinceridge.example/quinceridge/internal/coordapi"
	"quinceridge.example/quinceridge/internal/ratelimit"
)

// maxReserved bounds the engines without an unreserved place that a request tries before the search
// ends. In a large pool a few of them are representative.
const maxReserved = 8

// choose selects an engine whose limit admits the request. It returns the term of the permit to
// send there, or 0 if none is needed. An engine that has reached its limit is left out until it
// admits requests again, so that its requests spill over to others.
func (p *Placer) choose(now time.Duration, ask *coordapi.Place, q *backends.Query) (choice backends.Choice, found bool, permitTerm time.Duration) {
	for reserved := 0; ; {
		choice, found = p.pool.Choose(now, q)
		if p.limits == nil || choice.NoRoom || (found && choice.Late) {
			return choice, found, 0
		}
		if !found {
			return p.notFound(now, q, reserved > 0), false, 0
		}
		verdict := p.limits.Take(now, ratelimit.Request{Router: ask.Router, Number: ask.Number, Backend: coordapi.BackendID(choice.ID), Claimant: ask.Claimant})
		switch {
		case verdict.Unlimited:
			return choice, true, 0
		case verdict.Granted:
			return choice, true, ratelimit.PermitTTL
		case verdict.Wait > 0:
			p.pool.SetLimited(now, choice.ID, verdict.Wait)
			continue
		}
		// The engine reserves its next place for others: it is full for this request alone.
		if reserved++; reserved > maxReserved {
			return p.notFound(now, q, true), false, 0
		}
		q.Tried = append(q.Tried, choice.ID)
	}
}

// ClearLimited makes engines eligible again, because permits
// were returned or their limits have changed.
func (p *Placer) ClearLimited(now time.Duration, ids []coordapi.BackendID) {
	for _, id := range ids {
		p.current().SetLimited(now, string(id), 0)
	}
}

// notFound returns the choice for a request without an engine; reserved is set if an engine
// reserves its place for other requests.
func (p *Placer) notFound(now time.Duration, q *backends.Query, reserved bool) backends.Choice {
	if !reserved && p.pool.RetryDelay(now, q) == 0 {
		// Limits are not the cause.
		return backends.Choice{}
	}
	return backends.Choice{RetryAfter: p.limits.RetryAfter(now, q.Pool)}
}
