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
	rolloutInterval = 60 * time.Millisecond
	// announceDelay gives routers time to receive the announcement of a load and to report the
	// requests that they sent before. The order then waits until the engine has processed its
	// prompts, at most for prefillTimeout: the cache of a prompt that was processed with both
	// versions would be kept under the old one.
	announceDelay       = 200 * time.Millisecond
	prefillTimeout      = 700 * time.Millisecond
	prefillPollInterval = 30 * time.Millisecond
	// orderTimeout is the timeout of an order, after which it is sent again.
	orderTimeout    = 250 * time.Millisecond
	orderRetryDelay = 30 * time.Millisecond
	reportTimeout   = 500 * time.Millisecond
	// firstReportDelay is the time from an order to the first request for a report, and
	// reportInterval the time between further ones.
	firstReportDelay = 650 * time.Millisecond
	reportInterval   = 200 * time.Millisecond
	// reportLag is the mean time from the end of a load to the report that shows it: reports are
	// some 200 ms old and are requested every reportInterval.
	reportLag = 300 * time.Millisecond
	// loadTimeout is the timeout of a load.
	loadTimeout = 10 * time.Second
	// initialOrderBackoff is how long an engine gets no orders after the first failed one.
	initialOrderBackoff = 250 * time.Millisecond
	// minLoadTime is the minimum load time used for planning, and loadMargin how much earlier
	// than necessary deferred loads begin. loadTimeSmoothing is the divisor of the moving average
	// of load times.
	minLoadTime       = 1200 * time.Millisecond
	loadMargin        = 700 * time.Millisecond
	loadTimeSmoothing = 4
	// overdueFactor is the multiple of the mean load time after which a load is overdue.
	overdueFactor = 2
	// maxPrefillShare is the fraction of time spent on prefill above which engines count as
	// saturated. Loads take engines out of service, and the rest must process their share.
	maxPrefillShare = 0.5
	// expiryMargin is how long before a deadline waiting requests are cancelled.
	expiryMargin = 250 * time.Millisecond
	// orderLeaseSlack is added to the order lease that another holder may still have.
	orderLeaseSlack = 400 * time.Millisecond
)

// rollout tracks the named versions of weights. Every node does so, so that a new leader has
// the time at which each version was named.
type rollout struct {
	firstSeen map[state.WeightsVersion]time.Duration
	// notes are the notes on versions that are sent to routers.
	notes coordapi.Notes
	// meanLoadTime is the moving average of the time from a load's announcement to the report of
	// its end, 0 before the first. meanOrderTime is the same from the accepted order on.
	meanLoadTime  time.Duration
	meanOrderTime time.Duration
	// running holds the engines to which this leader is sending an order.
	running map[string]*runningLoad
	// failed are the engines whose last order failed.
	failed map[string]failedOrder
}

// runningLoad is a load that this leader has announced. acceptedAt is when its engine accepted the
// order, 0 before.
type runningLoad struct{ announcedAt, acceptedAt time.Duration }

// orderAccepted records that an engine has accepted its order.
func (r *rollout) orderAccepted(now time.Duration, id string) {
	if load := r.running[id]; load != nil {
		load.acceptedAt = now
	}
}

// finishing reports whether a load is expected to end by the time that an engine whose load is
// announced now gets its order. Without this overlap engines would load for little more than half
// of the time that a load takes from its announcement to its report.
//
// An overdue load counts as finishing too: an engine that does not answer orders for seconds, or that
// has crashed, must not hold up the rollout.
func (r *rollout) finishing(now time.Duration, id string) bool {
	load := r.running[id]
	if load == nil {
		return false
	}
	if now >= load.announcedAt+overdueFactor*max(r.meanLoadTime, minLoadTime) {
		return true
	}
	if load.acceptedAt == 0 || r.meanOrderTime == 0 {
		return false
	}
	return now+announceDelay >= load.acceptedAt+r.meanOrderTime-reportLag
}

// failedOrder counts the consecutive failed orders of an engine, which gets no orders before
// until.
type failedOrder struct {
	failures int
	until    time.Duration
}

// orderFinished records the end of an order. After failures the engine gets no orders for an
// exponentially growing delay.
func (r *rollout) orderFinished(now time.Duration, id string, held bool) {
	delete(r.running, id)
	if held {
		delete(r.failed, id)
		return
	}
	failures := r.failed[id].failures + 1
	r.failed[id] = failedOrder{failures: failures, until: now + initialOrderBackoff<<min(failures-1, 4)}
}

// recordLoadTime updates the mean load times with a load that was announced at started and is now
// reported as done.
func (r *rollout) recordLoadTime(now, started time.Duration, id string) {
	if r.meanLoadTime == 0 {
		r.meanLoadTime = minLoadTime
	}
	r.meanLoadTime += (now - started - r.meanLoadTime) / loadTimeSmoothing
	load := r.running[id]
	if load == nil || load.acceptedAt == 0 {
		return
	}
	if r.meanOrderTime == 0 {
		r.meanOrderTime = now - load.acceptedAt
	}
	r.meanOrderTime += (now - load.acceptedAt - r.meanOrderTime) / loadTimeSmoothing
}

func (r *rollout) planConfig(s settings.Coordinator) weights.Config {
	return weights.Config{Deadline: s.WeightsDeadline, Guard: s.WeightsGuard, CancelLead: expiryMargin,
		Grace: s.WeightsGrace, LoadTime: max(r.meanLoadTime, minLoadTime), Margin: loadMargin, Divisor: s.LoadDivisor}
}

// versions returns a model's named versions with the time at which each takes effect.
func (r *rollout) versions(since, deadline time.Duration, d *state.Deployment, model string) []weights.Version {
	var out []weights.Version
	for _, w := range d.Weights {
		if w.Model == model {
			out = append(out, weights.Version{Number: w.Version, Start: weights.EffectiveStart(r.firstSeen[w], since, deadline)})
		}
	}
	return out
}

// recordVersions records when named versions were first seen in force.
func (r *rollout) recordVersions(now time.Duration, d *state.Deployment) {
	if r.firstSeen == nil {
		r.firstSeen = map[state.WeightsVersion]time.Duration{}
		r.running = map[string]*runningLoad{}
		r.failed = map[string]failedOrder{}
	}
	if len(r.firstSeen) == len(d.Weights) {
		return
	}
	for _, w := range d.Weights {
		if _, known := r.firstSeen[w]; !known {
			r.firstSeen[w] = now
		}
	}
}

// updateNotes computes which versions may serve, and reports whether that has changed.
func (r *rollout) updateNotes(now time.Duration, s settings.Coordinator, d *state.Deployment, since time.Duration) bool {
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

// rolloutLoop sends the leader's load orders until the context ends.
func (s *Server) rolloutLoop(ctx context.Context) {
	periodic.Run(ctx, rolloutInterval, func(ctx context.Context) {
		s.markDraining(s.settings.Name, s.engines.Draining())
		s.loop.Do(ctx, func(now time.Duration) { s.sendDueOrders(ctx, now) })
	})
}

// sendDueOrders starts the orders that are due.
func (s *Server) sendDueOrders(ctx context.Context, now time.Duration) {
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
		if b.Loading != nil && b.Loading.Model == model && s.rollout.running[id] == nil {
			s.resolveLoad(ctx, b)
		}
		version, holds := b.Weights[model]
		if !holds || b.Draining || s.soft.isSilent(id) {
			continue
		}
		engines = append(engines, weights.Engine{ID: id, Version: version, Loading: s.rollout.running[id] != nil, Finishing: s.rollout.finishing(now, id)})
	}
	plan := s.rollout.planConfig(s.settings).Next(now, s.rollout.versions(s.soft.since, s.settings.WeightsDeadline, d, model), engines, s.saturated(now))
	if len(plan.Load) == 0 || !s.holdsOrderLease(now, d) {
		return
	}
	for _, id := range plan.Load {
		if now < s.rollout.failed[id].until {
			continue
		}
		s.rollout.running[id] = &runningLoad{announcedAt: now}
		row := d.Backends[id]
		term := s.core.Status().Term
		s.group.Go(func() {
			started := s.now()
			held := s.loadWeights(ctx, row, model, plan.Target, term)
			s.loop.Do(context.WithoutCancel(ctx), func(now time.Duration) {
				if held {
					s.rollout.recordLoadTime(now, started, row.ID)
				}
				s.rollout.orderFinished(now, row.ID, held)
			})
		})
	}
}

// saturated reports whether engines have no capacity to spare for loads, after which their caches
// must be built again.
func (s *Server) saturated(now time.Duration) bool {
	return s.soft.routerReports.saturated(now) || s.placer.PrefillShare(now) > maxPrefillShare
}

// resolveLoad determines the outcome of a load that an earlier leader announced. Until then the
// engine counts as loading.
func (s *Server) resolveLoad(ctx context.Context, row state.Backend) {
	s.rollout.running[row.ID] = &runningLoad{announcedAt: s.now()}
	s.group.Go(func() {
		ctx, cancel := context.WithTimeout(ctx, loadTimeout)
		defer cancel()
		var report EngineReport
		err := errors.New("no report requested")
		for ctx.Err() == nil && (err != nil || report.Busy) {
			periodic.Sleep(ctx, reportInterval)
			report, err = s.report(ctx, row)
		}
		s.updateRow(context.WithoutCancel(ctx), row.ID, func(b *state.Backend) {
			b.Loading = nil
			if version := report.Weights[row.Loading.Model]; err == nil && version > b.Weights[row.Loading.Model] {
				b.Weights = withVersion(b.Weights, row.Loading.Model, version)
				b.Orders = report.Orders
			}
		})
		s.logger.Info("load of an earlier leader resolved", "part", "rollout", "backend", row.ID, "error", errorText(err))
		s.loop.Do(context.WithoutCancel(ctx), func(now time.Duration) { s.rollout.orderFinished(now, row.ID, err == nil) })
	})
}

// holdsOrderLease reports whether this node may send orders. If another node sent the last ones,
// it proposes to take over once that node's order lease has expired.
func (s *Server) holdsOrderLease(now time.Duration, d *state.Deployment) bool {
	if d.Holder == s.settings.Name {
		return true
	}
	if d.Holder != "" && now < s.soft.since+s.settings.OrderLease+orderLeaseSlack {
		return false
	}
	s.propose(now, "rollout", state.Command{Hold: &state.Hold{Holder: s.settings.Name}})
	return false
}
