package coordinator

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"quinceridge.example/quinceridge/internal/clock"
	"quinceridge.example/quinceridge/internal/coordapi"
	"quinceridge.example/quinceridge/internal/periodic"
	"quinceridge.example/quinceridge/internal/raft"
	"quinceridge.example/quinceridge/internal/ratelimit"
	"quinceridge.example/quinceridge/internal/state"
	"quinceridge.example/quinceridge/internal/upstream"
)

// Target identifies the start of an engine to which a call is sent.
type Target struct {
	// Backend is the ID of its row in the registry, and Pool its pool.
	Backend coordapi.BackendID `json:"-"`
	Pool    string             `json:"-"`
	Address string
	// Instance is the name by which the engine identifies itself.
	Instance string
	// Permit is the permit for an engine with a limit, nil for other engines.
	Permit *ratelimit.Permit `json:"-"`
}

func targetOf(row state.Backend) Target {
	return Target{Backend: coordapi.BackendID(row.ID), Pool: row.Pool, Address: row.Address, Instance: row.Name()}
}

// orderUrgency ranks orders and reports before all requests.
const orderUrgency = -1

// LoadOrder orders an engine to load weights.
type LoadOrder struct {
	Target
	Model   string
	Version int
	// Truncate ends running requests; otherwise they continue with the new weights.
	Truncate bool
	Holder   string
	Fence    uint64
	// Expected is the number of orders that the engine must have carried out before this one.
	Expected int
}

// EngineReport is the state that an engine reports.
type EngineReport struct {
	Busy   bool
	Orders int
	// Weights maps models to versions.
	Weights map[string]int
	// Born is when the engine started, 0 if unknown.
	Born state.UnixMilli
}

// Errors of an order.
var (
	// ErrAlreadyLoaded means that the engine has already loaded the version.
	ErrAlreadyLoaded = errors.New("engine has already loaded this version")
	// ErrOrderConflict means that the engine has carried out a different number of orders than
	// expected, or is carrying one out.
	ErrOrderConflict = errors.New("engine expected another order")
	// ErrFenced means that the engine has received an order with a higher fence.
	ErrFenced = errors.New("engine has received a higher fence")
	// ErrWrongInstance means that another instance serves the address.
	ErrWrongInstance = errors.New("another instance serves the address")
	// ErrUnreachable means that the order was not sent because the engine cannot be reached.
	ErrUnreachable = errors.New("engine cannot be reached")
)

// Engines sends calls to model engines.
type Engines interface {
	// Load sends an order. A nil error means that the engine has begun to load, and an error that
	// is none of this package's that it may have.
	Load(ctx context.Context, order LoadOrder) error
	// Report requests an engine's state.
	Report(ctx context.Context, to Target) (EngineReport, error)
	// Draining returns the engines that have reported since the last call, in an answer to an
	// order or a report request, that they drain.
	Draining() []coordapi.BackendID
	// Limits returns the limits that engines have reported since the last call in such answers,
	// or all limits in force if all is set.
	Limits(all bool) []coordapi.LimitReport
}

// loadWeights makes one engine load a version: it announces the load, sends the order, waits
// until the engine reports the version, and returns whether it does.
func (s *Server) loadWeights(ctx context.Context, row state.Backend, model string, version int, term uint64) bool {
	ctx, cancel := context.WithTimeout(ctx, loadTimeout)
	defer cancel()
	started := s.now()
	s.updateRow(ctx, row.ID, func(b *state.Backend) { b.Loading = &state.Loading{Model: model, Version: version} })
	s.awaitPrefill(ctx, row.ID)
	err := s.order(ctx, row, model, version, term)
	if err == nil {
		err = s.awaitLoaded(ctx, row, model, version)
	}
	held := err == nil || errors.Is(err, ErrAlreadyLoaded)
	s.updateRow(context.WithoutCancel(ctx), row.ID, func(b *state.Backend) {
		b.Loading = nil
		if held {
			b.Weights = withVersion(b.Weights, model, version)
		}
	})
	level := s.logger.Info
	if !held {
		level = s.logger.Warn
	}
	level("load finished", "part", "rollout", "backend", row.ID, "version", version, "held", held,
		"took_ms", (s.now() - started).Milliseconds(), "error", errorText(err))
	return held
}

// awaitPrefill waits until an engine has processed the prompts that it was sent, at most for
// prefillTimeout.
func (s *Server) awaitPrefill(ctx context.Context, id string) {
	periodic.Sleep(ctx, announceDelay)
	for limit := s.now() + prefillTimeout; s.now() < limit && ctx.Err() == nil; periodic.Sleep(ctx, prefillPollInterval) {
		unreadPrompt := 0
		s.loop.Do(ctx, func(time.Duration) { unreadPrompt = s.soft.routerReports.unreadPrompt(id) })
		if unreadPrompt == 0 {
			return
		}
	}
}

func errorText(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}

// updateRow commits a change of a back end's latest row. It returns once the change is committed
// or the context ends.
func (s *Server) updateRow(ctx context.Context, id string, alter func(b *state.Backend)) {
	done := make(chan struct{}, 1)
	proposed := false
	s.loop.Do(ctx, func(time.Duration) {
		// The state of a leader that has never held the lease may lack committed rows. A lapse does no harm.
		if s.core == nil || s.lastRole != raft.Leader || s.core.LeaseUntil() == 0 {
			return
		}
		row, known := s.rowBatcher.row(s.core.Machine().Deployment(), id)
		if !known {
			return
		}
		alter(&row)
		proposed = true
		s.rowBatcher.add(row, func(error) { done <- struct{}{} })
	})
	if !proposed {
		return
	}
	select {
	case <-done:
	case <-ctx.Done():
	}
}

// order sends the order until the engine has answered it. All attempts have the same Expected
// count, so the engine carries out at most one.
func (s *Server) order(ctx context.Context, row state.Backend, model string, version int, term uint64) error {
	order := LoadOrder{Target: targetOf(row), Model: model, Version: version, Holder: s.settings.Name,
		Fence: term, Expected: row.Orders}
	for ctx.Err() == nil {
		if !s.orderStillValid(ctx, term, row.ID) {
			return errors.New("lost leadership, or engine restarted")
		}
		if !s.acquirePermit(&order.Target) {
			periodic.Sleep(ctx, orderRetryDelay)
			continue
		}
		attempt, cancel := context.WithTimeout(ctx, orderTimeout)
		err := s.engines.Load(attempt, order)
		cancel()
		s.returnUnusedPermit(order.Target, err)
		s.logger.Info("order sent", "part", "rollout", "backend", row.ID, "version", version, "fence", term,
			"expected", order.Expected, "error", errorText(err))
		switch {
		case err == nil:
			s.loop.Do(ctx, func(now time.Duration) { s.rollout.orderAccepted(now, row.ID) })
			s.updateRow(ctx, row.ID, func(b *state.Backend) { b.Orders = order.Expected + 1 })
			return nil
		case errors.Is(err, ErrAlreadyLoaded), errors.Is(err, ErrFenced), errors.Is(err, ErrWrongInstance):
			return err
		case errors.Is(err, ErrUnreachable):
			// The engine is down: do not hold a load slot for it.
			return err
		}
		if !errors.Is(err, ErrOrderConflict) {
			periodic.Sleep(ctx, orderRetryDelay)
			continue
		}
		if held, failure := s.refreshExpected(ctx, row, &order); failure == nil && held {
			return ErrAlreadyLoaded
		}
		periodic.Sleep(ctx, reportInterval)
	}
	return ctx.Err()
}

// refreshExpected sets order.Expected from the engine's report, and returns whether an earlier
// attempt has loaded the version.
func (s *Server) refreshExpected(ctx context.Context, row state.Backend, order *LoadOrder) (held bool, err error) {
	report, err := s.report(ctx, row)
	if err != nil {
		return false, err
	}
	order.Expected = report.Orders
	return report.Weights[order.Model] >= order.Version && !report.Busy, nil
}

// orderStillValid reports whether this node still leads in the given term and the row is still
// the current start of its engine. A new start has carried out no orders, and might carry out one
// that expects none.
func (s *Server) orderStillValid(ctx context.Context, term uint64, id string) bool {
	may := false
	s.loop.Do(ctx, func(now time.Duration) {
		if s.core == nil || !s.core.HoldsLease(now) || s.core.Status().Term != term {
			return
		}
		d := s.core.Machine().Deployment()
		row, known := d.Backends[id]
		if !known {
			return
		}
		current, _ := d.Current(row.Name())
		may = current.ID == id
	})
	return may
}

// acquirePermit takes a permit for a call to an engine with a limit, and returns false if there
// is none now. Calls rank before all requests, because an engine with outdated weights soon gets
// no requests at all.
func (s *Server) acquirePermit(to *Target) bool {
	s.backendLimits.Observe(s.now(), s.engines.Limits(false))
	number, requestedAt := s.permitNumber.Add(1), clock.Now()
	verdict := s.backendLimits.Take(s.now(), ratelimit.Request{Router: s.settings.Name, Number: number, Backend: to.Backend,
		Claimant: coordapi.Claimant{Urgency: orderUrgency}})
	to.Permit = verdict.Permit(to.Backend, number, requestedAt)
	return verdict.Allowed()
}

// returnUnusedPermit returns the permit of a call that was not sent.
func (s *Server) returnUnusedPermit(to Target, err error) {
	if errors.Is(err, upstream.ErrNotSent) && to.Permit != nil {
		s.backendLimits.Unused(s.now(), s.settings.Name, []uint64{to.Permit.Number()})
	}
}

func (s *Server) report(ctx context.Context, row state.Backend) (EngineReport, error) {
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	to := targetOf(row)
	if !s.acquirePermit(&to) {
		return EngineReport{}, ratelimit.ErrNoPermit
	}
	report, err := s.engines.Report(ctx, to)
	s.returnUnusedPermit(to, err)
	if err == nil && !row.Start().Matches(state.Start{Name: row.Name(), Born: report.Born}) {
		return EngineReport{}, ErrWrongInstance
	}
	return report, err
}

// awaitLoaded polls the engine until it reports the version.
func (s *Server) awaitLoaded(ctx context.Context, row state.Backend, model string, version int) error {
	periodic.Sleep(ctx, firstReportDelay)
	for ctx.Err() == nil {
		report, err := s.report(ctx, row)
		if err == nil && report.Weights[model] >= version && !report.Busy {
			return nil
		}
		periodic.Sleep(ctx, reportInterval)
	}
	return ctx.Err()
}
