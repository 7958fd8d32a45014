package forward

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"quinceridge.example/quinceridge/internal/backends"
	"quinceridge.example/quinceridge/internal/coordapi"
	"quinceridge.example/quinceridge/internal/periodic"
	"quinceridge.example/quinceridge/internal/pushback"
	"quinceridge.example/quinceridge/internal/ratelimit"
)

const (
	// pollInterval is the delay between two attempts to choose a back end.
	pollInterval = 20 * time.Millisecond
	// waitDivisor divides the latency target to give the time that a request waits for a back
	// end before it is refused.
	waitDivisor = 5
	// patienceDivisor divides the latency target to give the time that a request may wait for
	// an engine to begin processing it. The lowest target among routes of equal or higher urgency
	// is used, so that more urgent requests are not refused first. With a divisor of 1 engines fall
	// behind; with 4 more requests are refused without a gain.
	patienceDivisor = 2
)

// behindRetryAfter returns the Retry-After of a request that was refused because all engines
// are behind: the time until the first engine has processed half of the permitted backlog, plus
// jitter. It reserves no slot for the client, since a first request is worth more than a late
// retry. With slots reserved for a quarter of the clients, 1,215 fewer of 17,732 requests were
// answered in time with a quarter of the engines lost, and 297 fewer got no answer.
func behindRetryAfter(choice *backends.Choice, q *backends.Query) time.Duration {
	wait := max(choice.Wait-q.Patience/2, busyRetryAfter)
	return wait + rand.N(wait/2)
}

// unavailableRetryAfter returns the Retry-After of a request that no back end accepted: short
// if others may be free, else the time until the first pushback of the pool ends, plus jitter.
func (h *Handler) unavailableRetryAfter(j *job) time.Duration {
	if j.permitDelay > 0 {
		// The leader assigns a different delay to each request.
		return j.permitDelay
	}
	if h.pathLost(j) {
		return lostRetryAfter + rand.N(lostRetryAfter/2)
	}
	back := h.config.Pool.RetryDelay(h.now(), &j.query)
	if back < busyRetryAfter {
		return busyRetryAfter
	}
	return back + rand.N(back/2)
}

// choose waits a limited time for an available back end.
func (h *Handler) choose(ctx context.Context, j *job) (backends.Choice, bool) {
	j.query.Routers = h.config.Source.Routers()
	j.query.Patience, j.query.Later = 0, j.tries() > 0
	if !j.query.Later || j.pool.Engine != nil {
		j.query.Patience = j.table.EffectiveTarget(j.route) / patienceDivisor
	}
	begun := h.now()
	limit := begun + j.route.Target/waitDivisor
	for {
		j.viewRevision, j.viewAge = h.config.Source.View()
		choice, found := h.chooseOnce(ctx, j)
		j.permitDelay = choice.RetryAfter
		if waited := h.now() - begun; j.beyondRoom && waited+j.roomWaited <= j.query.Patience && j.origin == nil {
			if h.passesOnShare(j) && waited >= shareRelayDelay {
				j.roomWaited = waited
				return choice, found
			}
			// A single late answer of the leader is no lack of capacity: it is asked again within this
			// time, or requests that the router runs end.
			if periodic.Sleep(ctx, pollInterval); ctx.Err() != nil {
				return choice, found
			}
			continue
		}
		if found || j.tries() > 0 || h.now() > limit || h.config.Pool.AllDraining(j.pool.Name) {
			return choice, found
		}
		if h.now()+max(j.permitDelay, h.config.Pool.RetryDelay(h.now(), &j.query)) > limit {
			// No back end of the pool is available before the limit.
			return choice, false
		}
		if periodic.Sleep(ctx, max(j.permitDelay, pollInterval)); ctx.Err() != nil {
			return choice, false
		}
	}
}

// chooseOnce asks the leader for an engine. Back ends without engines are chosen locally, and
// so are engines while the leader does not reply.
func (h *Handler) chooseOnce(ctx context.Context, j *job) (backends.Choice, bool) {
	j.beyondRoom = false
	if j.trial != nil {
		return h.placeTrial(ctx, j)
	}
	if h.config.Placer != nil && j.pool.Engine != nil {
		if choice, found, answered := h.place(ctx, j); answered {
			h.metrics.placedByLeader.Add(1)
			return choice, found
		}
		h.metrics.placedLocally.Add(1)
		if choice, refused := h.refuseBeyondShare(j); refused {
			j.beyondRoom = true
			return choice, true
		}
	}
	if choice, gone := h.softwareGone(j); gone {
		return choice, true
	}
	if choice, refused := h.refuseBeyondFairShare(j); refused {
		return choice, true
	}
	if over, beyond := h.admit(j); beyond {
		return over, true
	}
	return h.chooseLocally(ctx, j)
}

// maxClaims bounds the limited back ends at which one choice asks for a permit. A back end
// without a permit is left out of the choices for all requests until it has one. Concurrent
// requests may all be denied by as many back ends; they then take one without a limit.
const maxClaims = 4

// chooseLocally chooses among the back ends that this router has listed, and asks the leader
// for a permit where one is needed.
func (h *Handler) chooseLocally(ctx context.Context, j *job) (backends.Choice, bool) {
	tried := len(j.query.Tried)
	defer func() {
		// Back ends whose next slot is reserved for others are left out of this choice only.
		j.query.Tried, j.query.IncludeLimited, j.query.Excluded = j.query.Tried[:tried], false, nil
	}()
	if choice, found := h.chooseSpare(j); found {
		return choice, true
	}
	var retryAfter time.Duration
	for range maxClaims {
		j.query.Draw = rand.Float64()
		choice, found := h.config.Pool.Choose(h.now(), &j.query)
		if !found && retryAfter == 0 && !j.query.IncludeLimited && h.config.Pool.RetryDelay(h.now(), &j.query) > 0 {
			// All back ends are at their limits. The leader is asked all the same: it may have
			// got permits back, and it assigns the delay.
			j.query.IncludeLimited = true
			choice, found = h.config.Pool.Choose(h.now(), &j.query)
		}
		if !found || choice.Late || !h.config.Limits.Limited(coordapi.BackendID(choice.ID)) {
			choice.RetryAfter = retryAfter
			if h.probe(j, &choice, found) {
				return choice, found
			}
			j.query.Tried = append(j.query.Tried, choice.ID)
			continue
		}
		permit, wait, delay := h.claim(ctx, j, choice)
		if permit != nil {
			choice.Permit = permit
			return choice, true
		}
		retryAfter = delay
		if j.query.IncludeLimited {
			return backends.Choice{RetryAfter: retryAfter}, false
		}
		if wait == 0 {
			j.query.Tried = append(j.query.Tried, choice.ID)
		}
	}
	j.query.Excluded = func(id string) bool {
		return h.config.Limits.Limited(coordapi.BackendID(id)) || h.config.Limits.Probing(j.backend(id))
	}
	choice, found := h.config.Pool.Choose(h.now(), &j.query)
	choice.RetryAfter = retryAfter
	if found && !choice.Late {
		choice.Permit, found = h.config.Limits.Probe(j.backend(choice.ID))
	}
	return choice, found
}

// probe sets the permit of a chosen back end that needs none of the leader's. It returns false for one that
// is left out until it has responded.
func (h *Handler) probe(j *job, choice *backends.Choice, found bool) (usable bool) {
	if !found || choice.Late {
		return true
	}
	choice.Permit, usable = h.config.Limits.Probe(j.backend(choice.ID))
	return usable
}

// backend identifies a back end of the request's pool.
func (j *job) backend(id string) pushback.Backend {
	return pushback.Backend{ID: coordapi.BackendID(id), Pool: j.pool.Name, Plain: j.pool.Engine == nil}
}

// chooseSpare chooses among the back ends for which there are spare permits: these expire within a fraction
// of a second, and with few requests none would choose such a back end in time.
func (h *Handler) chooseSpare(j *job) (choice backends.Choice, found bool) {
	spares := h.config.Limits.Spares()
	if len(spares) == 0 {
		return choice, false
	}
	for _, id := range spares {
		h.config.Pool.SetLimited(h.now(), string(id), 0)
	}
	j.query.Draw = rand.Float64()
	j.query.Excluded = func(id string) bool { return !slices.Contains(spares, coordapi.BackendID(id)) }
	choice, found = h.config.Pool.Choose(h.now(), &j.query)
	j.query.Excluded = nil
	if !found || choice.Late {
		return backends.Choice{}, false
	}
	choice.Permit = h.config.Limits.TakeSpare(coordapi.BackendID(choice.ID))
	return choice, choice.Permit != nil
}

// place asks the leader for an engine. Answered is false if the router must choose locally.
func (h *Handler) place(ctx context.Context, j *job) (choice backends.Choice, found, answered bool) {
	h.setQuotaQuery(j)
	h.setQueueing(j)
	choice, found, answered = h.config.Placer.Place(ctx, &j.query)
	j.standalone = !answered
	if !answered || !found || choice.Late || choice.OverLimit || len(choice.Blocked) > 0 || choice.Reason != "" {
		return choice, found, answered
	}
	j.quotaCounted = j.quotaCounted || !choice.Uncounted
	if over, beyond := h.admit(j); beyond {
		h.cancelPlacement(choice)
		return over, true, true
	}
	// A replaced leader may lack the back end's current state, and no leader has the pushbacks
	// that this router received.
	if h.config.Pool.Unavailable(choice.ID, j.query.Model, choice.Version) {
		h.cancelPlacement(choice)
		return choice, false, false
	}
	if choice.Permit == nil && h.config.Limits.Limited(coordapi.BackendID(choice.ID)) {
		// The leader has not received the limit, or the end of it, yet.
		if choice.Permit, _, _ = h.claim(ctx, j, choice); choice.Permit == nil {
			h.cancelPlacement(choice)
			return choice, false, false
		}
	}
	return choice, true, true
}

// cancelPlacement releases a placement, or a permit, that is not used.
func (h *Handler) cancelPlacement(choice backends.Choice) {
	if choice.Placement > 0 {
		h.config.Placer.Ended(choice.Placement)
	}
	h.config.Limits.Release(choice.Permit)
}

// claim asks for a permit to send to a limited back end. A back end that grants none for a
// while is left out of choices until then.
func (h *Handler) claim(ctx context.Context, j *job, choice backends.Choice) (permit *ratelimit.Permit, wait, retryAfter time.Duration) {
	if spare := h.config.Limits.TakeSpare(coordapi.BackendID(choice.ID)); spare != nil {
		return spare, 0, 0
	}
	wait = busyRetryAfter
	if h.config.Claimer != nil {
		permit, wait, retryAfter = h.config.Claimer.Claim(ctx, &j.query, coordapi.BackendID(choice.ID))
	}
	if wait > 0 {
		h.config.Pool.SetLimited(h.now(), choice.ID, wait)
	}
	return permit, wait, retryAfter
}
