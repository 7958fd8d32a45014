package forward

import (
	"context"
	"math/rand/v2"
	"time"

	"quinceridge.example/quinceridge/internal/backends"
	"quinceridge.example/quinceridge/internal/periodic"
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
	back := h.config.Pool.Back(&j.query)
	if back < fullRetry {
		return fullRetry
	}
	return back + rand.N(back/2)
}

// choose waits a moment for a back end that can serve.
func (h *Handler) choose(ctx context.Context, j *job) (backends.Choice, bool) {
	j.query.Routers = h.config.Source.Routers()
	j.query.Patience = 0
	if len(j.query.Tried) == 0 {
		j.query.Patience = j.table.UrgentTarget(j.route) / patienceDivisor
	}
	limit := h.now() + j.route.Target/waitDivisor
	for {
		choice, found := h.chooseOnce(ctx, j)
		if found || len(j.query.Tried) > 0 || h.now() > limit {
			return choice, found
		}
		if h.now()+h.config.Pool.Back(&j.query) > limit {
			// All want nothing for longer than a request is held.
			return choice, false
		}
		if periodic.Pause(ctx, waitStep); ctx.Err() != nil {
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
	j.query.Draw = rand.Float64()
	return h.config.Pool.Choose(h.now(), &j.query)
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
		h.config.Placer.Ended(choice.Placement)
		return over, true, true
	}
	// A leader that was replaced may not know what this router does, and no leader what
	// a back end wants from it.
	if h.config.Pool.Barred(choice.ID, j.query.Model, choice.Version) {
		h.config.Placer.Ended(choice.Placement)
		return choice, false, false
	}
	return choice, true, true
}
