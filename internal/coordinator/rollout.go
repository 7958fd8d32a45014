package coordinator

import (
	"context"
	"maps"
	"time"

	"github.com/cockroachdb/errors"

	"quinceridge.example/quinceridge/internal/coordapi"
	"quinceridge.example/quinceridge/internal/periodic"
	"quinceridge.example/quinceridge/internal/raft"
	"quinceridge.example/quinceridge/internal/settings"
	"quinceridge.example/quinceridge/internal/state"
	"quinceridge.example/quinceridge/internal/weights"
)

const (
	rolloutEvery = 60 * time.Millisecond
	// announcePause lets routers hear that an engine is about to load and tell
	// of the work that they sent before. The order then waits until nothing is
	// being read there, at most for readLimit: a prompt whose reading went on
	// with new weights would be kept under the old ones' name.
	announcePause = 200 * time.Millisecond
	readLimit     = 700 * time.Millisecond
	readEvery     = 30 * time.Millisecond
	// orderTimeout is when an order that was not answered is given again. Its
	// count keeps the first from being carried out as well.
	orderTimeout  = 250 * time.Millisecond
	orderPause    = 30 * time.Millisecond
	reportTimeout = 500 * time.Millisecond
	// firstReport and reportEvery are when an engine is asked whether it has
	// loaded, counted from the order.
	firstReport = 650 * time.Millisecond
	reportEvery = 200 * time.Millisecond
	// loadLimit is how long a load may take before it is given up.
	loadLimit = 10 * time.Second
	// firstFailedPause is how long an engine is left alone after an order that
	// came to nothing.
	firstFailedPause = 250 * time.Millisecond
	// assumedLoad is the least time that is planned for a load, and loadMargin how
	// much earlier than needed loads begin that were put off. The mean of measured
	// loads moves by one part in loadGain.
	assumedLoad = 1200 * time.Millisecond
	loadMargin  = 700 * time.Millisecond
	loadGain    = 4
	// spareless is the part of their time for reading above which engines have none
	// to spare: with a fifth of them loading the others read for two thirds of
	// theirs, and prompts wait for each other.
	spareless = 0.5
	// expiryCut is how long before a deadline waiting requests are given up.
	expiryCut = 250 * time.Millisecond
	// holderSlack is added to the lease that another holder may still have.
	holderSlack = 400 * time.Millisecond
)

// rollout is a node's knowledge of named versions. Each node keeps it, so that
// a new leader knows when a version's time began.
type rollout struct {
	seen map[state.WeightsVersion]time.Duration
	// notes is what routers are told of versions.
	notes coordapi.Notes
	// perLoad is the mean time of a load, 0 before the first.
	perLoad time.Duration
	// running are the engines that an order of this leader is under way to.
	running map[string]bool
	// failed are the engines whose last order came to nothing.
	failed map[string]failedOrder
}

// failedOrder says how often in a row orders to an engine came to nothing.
type failedOrder struct {
	times int
	until time.Duration
}

// finished notes the end of an order. An engine that cannot be brought is left
// alone for a time that doubles.
func (r *rollout) finished(now time.Duration, id string, held bool) {
	delete(r.running, id)
	if held {
		delete(r.failed, id)
		return
	}
	times := r.failed[id].times + 1
	r.failed[id] = failedOrder{times: times, until: now + firstFailedPause<<min(times-1, 4)}
}

// learn takes how long an engine was out of service for a load.
func (r *rollout) learn(took time.Duration) {
	if r.perLoad == 0 {
		r.perLoad = assumedLoad
	}
	r.perLoad += (took - r.perLoad) / loadGain
}

func (r *rollout) planConfig(s settings.Coordinator) weights.Config {
	return weights.Config{Deadline: s.WeightsDeadline, Guard: s.WeightsGuard, CancelLead: expiryCut,
		Grace: s.WeightsGrace, LoadTime: max(r.perLoad, assumedLoad), Margin: loadMargin, Divisor: s.LoadDivisor}
}

// versions returns a model's named versions with the time that each began.
func (r *rollout) versions(since, deadline time.Duration, d *state.Deployment, model string) []weights.Version {
	var out []weights.Version
	for _, w := range d.Weights {
		if w.Model == model {
			out = append(out, weights.Version{Number: w.Version, Start: weights.EffectiveStart(r.seen[w], since, deadline)})
		}
	}
	return out
}

// note remembers when named versions were first seen in force.
func (r *rollout) note(now time.Duration, d *state.Deployment) {
	if r.seen == nil {
		r.seen = map[state.WeightsVersion]time.Duration{}
		r.running = map[string]bool{}
		r.failed = map[string]failedOrder{}
	}
	if len(r.seen) == len(d.Weights) {
		return
	}
	for _, w := range d.Weights {
		if _, known := r.seen[w]; !known {
			r.seen[w] = now
		}
	}
}

// noteMinimum computes the versions that may serve, and tells whether they
// changed.
func (r *rollout) noteMinimum(now time.Duration, s settings.Coordinator, d *state.Deployment, since time.Duration) bool {
	if len(d.Weights) == 0 {
		return false
	}
	notes := coordapi.Notes{Minimum: map[string]int{}, Expired: map[string]int{}, Preferred: map[string]int{}}
	for _, w := range d.Weights {
		if _, done := notes.Minimum[w.Model]; !done {
			plan := r.planConfig(s).Next(now, r.versions(since, s.WeightsDeadline, d, w.Model), nil, false)
			notes.Minimum[w.Model], notes.Expired[w.Model], notes.Preferred[w.Model] = plan.Minimum, plan.Expired, plan.Preferred
		}
	}
	if maps.Equal(notes.Minimum, r.notes.Minimum) && maps.Equal(notes.Expired, r.notes.Expired) && maps.Equal(notes.Preferred, r.notes.Preferred) {
		return false
	}
	r.notes = notes
	return true
}

// rolloutLoop lets the leader order engines to load weights.
func (s *Server) rolloutLoop(ctx context.Context) {
	periodic.Run(ctx, rolloutEvery, func(ctx context.Context) {
		s.drain(s.settings.Name, s.engines.Draining())
		s.loop.Do(ctx, func(now time.Duration) { s.orderDue(ctx, now) })
	})
}

// orderDue starts the orders whose time has come.
func (s *Server) orderDue(ctx context.Context, now time.Duration) {
	if s.core == nil || s.lastRole != raft.Leader || !s.core.HoldsLease(now) {
		return
	}
	d := s.core.Machine().Deployment()
	if len(d.Weights) == 0 {
		return
	}
	done := map[string]bool{}
	for _, w := range d.Weights {
		if done[w.Model] {
			continue
		}
		done[w.Model] = true
		s.orderModel(ctx, now, d, w.Model)
	}
}

func (s *Server) orderModel(ctx context.Context, now time.Duration, d *state.Deployment, model string) {
	var engines []weights.Engine
	for id, b := range d.Backends {
		if b.Loading != nil && b.Loading.Model == model && !s.rollout.running[id] {
			s.settle(ctx, b)
		}
		version, holds := b.Weights[model]
		if !holds || b.Draining || s.soft.isSilent(id) {
			continue
		}
		engines = append(engines, weights.Engine{ID: id, Version: version, Loading: s.rollout.running[id]})
	}
	plan := s.rollout.planConfig(s.settings).Next(now, s.rollout.versions(s.soft.since, s.settings.WeightsDeadline, d, model), engines, s.crowded(now))
	if len(plan.Load) == 0 || !s.mayOrder(now, d) {
		return
	}
	for _, id := range plan.Load {
		if now < s.rollout.failed[id].until {
			continue
		}
		s.rollout.running[id] = true
		row := d.Backends[id]
		term := s.core.Status().Term
		s.group.Go(func() {
			started := s.now()
			held := s.bring(ctx, row, model, plan.Target, term)
			s.loop.Do(context.WithoutCancel(ctx), func(now time.Duration) {
				s.rollout.finished(now, row.ID, held)
				if held {
					s.rollout.learn(now - started)
				}
			})
		})
	}
}

// crowded tells whether engines have no time to spare for loads: what an engine
// kept must be read again after each.
func (s *Server) crowded(now time.Duration) bool {
	return s.soft.told.crowded(now) || s.placer.PrefillShare(now) > spareless
}

// settle finds out what became of a load that an earlier leader announced and
// did not see the end of. Until then the engine counts as loading.
func (s *Server) settle(ctx context.Context, row state.Backend) {
	s.rollout.running[row.ID] = true
	s.group.Go(func() {
		ctx, cancel := context.WithTimeout(ctx, loadLimit)
		defer cancel()
		var report EngineReport
		err := errors.New("not asked")
		for ctx.Err() == nil && (err != nil || report.Busy) {
			periodic.Sleep(ctx, reportEvery)
			report, err = s.report(ctx, row)
		}
		s.change(context.WithoutCancel(ctx), row.ID, func(b *state.Backend) {
			b.Loading = nil
			if version := report.Weights[row.Loading.Model]; err == nil && version > b.Weights[row.Loading.Model] {
				b.Weights = raised(b.Weights, row.Loading.Model, version)
				b.Orders = report.Orders
			}
		})
		s.logger.Info("load of an earlier leader settled", "part", "rollout", "backend", row.ID, "error", errorText(err))
		s.loop.Do(context.WithoutCancel(ctx), func(now time.Duration) { s.rollout.finished(now, row.ID, err == nil) })
	})
}

// mayOrder tells whether this node may give orders: it did last, or the lease
// of the node that did is over.
func (s *Server) mayOrder(now time.Duration, d *state.Deployment) bool {
	if d.Holder == s.settings.Name {
		return true
	}
	if d.Holder != "" && now < s.soft.since+s.settings.OrderLease+holderSlack {
		return false
	}
	s.propose(now, "rollout", state.Command{Hold: &state.Hold{Holder: s.settings.Name}})
	return false
}
