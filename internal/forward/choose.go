package forward

import (
	"context"
	"math/rand/v2"
	"time"

	"quinceridge.example/quinceridge/internal/backends"
	"quinceridge.example/quinceridge/internal/coordapi"
	"quinceridge.example/quinceridge/internal/periodic"
	"quinceridge.example/quinceridge/internal/ratelimit"
)

const (
	// waitStep is the pause between two looks for a back end.
	waitStep = 20 * time.Millisecond
	// waitDivisor is the part of the latency target that a request waits for a
	// back end before it is refused.
	waitDivisor = 5
	// patienceDivisor is the part of the latency target for which a request may
	// wait until an engine begins to read it. The target is that of no less urgent
	// routes, if it is lower: else these are refused first. With 1 engines fall behind, with 4 more
	// is refused for the same worth (docs/design/shifted.md).
	patienceDivisor = 2
)

// returnAfter is when a refused caller may come back: when the engine that reads first
// will have read half of what it may be behind, spread by chance so that callers don't
// come back together. What an answer is worth counts from the caller's first try: whoever
// comes back is late and must not take the place of one that comes first. With callers
// told to come back one behind the other, for a quarter of the places, 1,215 fewer of
// 17,732 were answered in time on a day with a fourth of the engines dark, and 297 fewer
// went away with nothing (docs/design/shifted.md).
func returnAfter(choice *backends.Choice, q *backends.Query) time.Duration {
	wait := max(choice.Wait-q.Patience/2, fullRetry)
	return wait + rand.N(wait/2)
}

// comeBack is when a caller may come back that no back end has taken: soon, since others
// may be free, or if all of the pool want nothing, when the first wants something again,
// spread over half as long so that those who were refused meanwhile don't meet.
func (h *Handler) comeBack(j *job) time.Duration {
	if j.room > 0 {
		// The leader gives each another moment.
		return j.room
	}
	back := h.config.Pool.RetryAfter(h.now(), &j.query)
	if back < fullRetry {
		return fullRetry
	}
	return back + rand.N(back/2)
}

// choose waits a moment for a back end that can serve.
func (h *Handler) choose(ctx context.Context, j *job) (backends.Choice, bool) {
	j.query.Routers = h.config.Source.Routers()
	j.query.Patience = 0
	if j.tries() == 0 {
		j.query.Patience = j.table.EffectiveTarget(j.route) / patienceDivisor
	}
	limit := h.now() + j.route.Target/waitDivisor
	for {
		choice, found := h.chooseOnce(ctx, j)
		j.room = choice.Room
		if found || j.tries() > 0 || h.now() > limit {
			return choice, found
		}
		if h.now()+max(j.room, h.config.Pool.RetryAfter(h.now(), &j.query)) > limit {
			// All want nothing for longer than a request is held, or there is room for it
			// only then.
			return choice, false
		}
		if periodic.Pause(ctx, max(j.room, waitStep)); ctx.Err() != nil {
			return choice, false
		}
	}
}

// chooseOnce asks who places the requests of all routers for an engine. Back ends
// without engines are chosen here, and all of them while there is no answer.
func (h *Handler) chooseOnce(ctx context.Context, j *job) (backends.Choice, bool) {
	if h.config.Placer != nil && j.pool.Engine != nil {
		if choice, found, answered := h.place(ctx, j); answered {
			h.metrics.placed.Add(1)
			return choice, found
		}
		h.metrics.alone.Add(1)
	}
	if over, beyond := h.admit(j); beyond {
		return over, true
	}
	return h.chooseAlone(ctx, j)
}

// maxClaims bounds how many back ends that take only so much a choice asks for a place at.
// Each one that has none stays out of the choice of all requests until it has.
const maxClaims = 4

// chooseAlone chooses among the back ends that this router knows, with the leader's right to
// send there where one is needed.
func (h *Handler) chooseAlone(ctx context.Context, j *job) (backends.Choice, bool) {
	tried := len(j.query.Tried)
	defer func() {
		// Those that keep their place for others are out of this choice alone.
		j.query.Tried, j.query.IncludeLimited = j.query.Tried[:tried], false
	}()
	var room time.Duration
	for range maxClaims {
		j.query.Draw = rand.Float64()
		choice, found := h.config.Pool.Choose(h.now(), &j.query)
		if !found && room == 0 && !j.query.IncludeLimited && h.config.Pool.RetryAfter(h.now(), &j.query) > 0 {
			// All are full. The leader is asked all the same: rights come back to it, and it
			// knows when there is room, behind the requests of all routers.
			j.query.IncludeLimited = true
			choice, found = h.config.Pool.Choose(h.now(), &j.query)
		}
		if !found || choice.Late || !h.config.Limits.Limited(coordapi.BackendID(choice.ID)) {
			choice.Room = room
			return choice, found
		}
		right, wait, at := h.claim(ctx, j, choice)
		if right != nil {
			choice.Right = right
			return choice, true
		}
		room = at
		if j.query.IncludeLimited {
			break
		}
		if wait == 0 {
			j.query.Tried = append(j.query.Tried, choice.ID)
		}
	}
	return backends.Choice{Room: room}, false
}

// place asks for an engine. Answered is false when the router must choose by
// itself.
func (h *Handler) place(ctx context.Context, j *job) (choice backends.Choice, found, answered bool) {
	h.count(j)
	choice, found, answered = h.config.Placer.Place(ctx, &j.query)
	if !answered || !found || choice.Late || choice.OverLimit || len(choice.Blocked) > 0 {
		return choice, found, answered
	}
	j.counted = j.counted || !choice.Uncounted
	if over, beyond := h.admit(j); beyond {
		h.unplace(choice)
		return over, true, true
	}
	// A leader that was replaced may not know what this router does, and no leader what
	// a back end wants from it.
	if h.config.Pool.Barred(choice.ID, j.query.Model, choice.Version) {
		h.unplace(choice)
		return choice, false, false
	}
	if choice.Right == nil && h.config.Limits.Limited(coordapi.BackendID(choice.ID)) {
		// The leader does not know of the limit, or of its end: it is asked about that one.
		if choice.Right, _, _ = h.claim(ctx, j, choice); choice.Right == nil {
			h.unplace(choice)
			return choice, false, false
		}
	}
	return choice, true, true
}

// unplace gives a placement up that nothing is sent for.
func (h *Handler) unplace(choice backends.Choice) {
	h.config.Placer.Ended(choice.Placement)
	h.config.Limits.Release(choice.Right)
}

// claim asks for the right to send to a back end that takes only so much. One that takes no
// more for a while stays out of the choice until then.
func (h *Handler) claim(ctx context.Context, j *job, choice backends.Choice) (right *ratelimit.Permit, wait, room time.Duration) {
	if h.config.Claimer == nil {
		return nil, fullRetry, 0
	}
	right, wait, room = h.config.Claimer.Claim(ctx, &j.query, coordapi.BackendID(choice.ID))
	if wait > 0 {
		h.config.Pool.SetLimited(h.now(), choice.ID, wait)
	}
	return right, wait, room
}
