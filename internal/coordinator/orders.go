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

// Target is the start of an engine that a call is meant for.
type Target struct {
	// Backend is its row, and Pool the pool of that.
	Backend coordapi.BackendID `json:"-"`
	Pool    string             `json:"-"`
	Address string
	// Instance is how the engine names itself.
	Instance string
	// Permit is needed where the engine takes only so much from all machines; else nil.
	Permit *ratelimit.Permit `json:"-"`
}

func targetOf(row state.Backend) Target {
	return Target{Backend: coordapi.BackendID(row.ID), Pool: row.Pool, Address: row.Address, Instance: row.Name()}
}

// ordersUrgency is more urgent than any request.
const ordersUrgency = -1

// LoadOrder tells an engine to load weights.
type LoadOrder struct {
	Target
	Model   string
	Version int
	// Truncate cuts running requests off; else they go on with the new weights.
	Truncate bool
	Holder   string
	Fence    uint64
	// Expected is how many orders the engine must have taken before.
	Expected int
}

// EngineReport is what an engine says of itself.
type EngineReport struct {
	Busy   bool
	Orders int
	// Weights maps models to versions.
	Weights map[string]int
	// Born is when the engine started, 0 if it does not say.
	Born state.UnixMilli
}

// Answers to an order.
var (
	// ErrAlreadyLoaded says that the engine holds the version already.
	ErrAlreadyLoaded = errors.New("the engine holds this version")
	// ErrOrderConflict says that the engine took another number of orders, or one is
	// under way.
	ErrOrderConflict = errors.New("the engine expected another order")
	// ErrFenced says that the engine has seen a higher fence.
	ErrFenced = errors.New("the engine has seen a higher fence")
	// ErrWrongInstance says that another instance has the address.
	ErrWrongInstance = errors.New("another instance has the address")
	// ErrUnreachable says that nothing was sent: the engine is down or cut off.
	ErrUnreachable = errors.New("the engine cannot be reached")
)

// Engines carries calls to model engines.
type Engines interface {
	// Load gives an order. A nil error says that the load is under way; an
	// error without a mark of this package says that it may be.
	Load(ctx context.Context, order LoadOrder) error
	// Report asks an engine for its state.
	Report(ctx context.Context, to Target) (EngineReport, error)
	// Draining returns the engines that have said since the last call, in an answer to an
	// order or a report, that they drain.
	Draining() []coordapi.BackendID
	// Limits returns what engines have said since the last call, in such answers, of how much
	// they take from all machines, or all of it that holds.
	Limits(all bool) []coordapi.LimitReport
}

// bring takes one engine to a version: it announces the load, gives the order
// and waits until the engine reports the version.
func (s *Server) bring(ctx context.Context, row state.Backend, model string, version int, term uint64) bool {
	ctx, cancel := context.WithTimeout(ctx, loadLimit)
	defer cancel()
	started := s.now()
	s.change(ctx, row.ID, func(b *state.Backend) { b.Loading = &state.Loading{Model: model, Version: version} })
	s.awaitRead(ctx, row.ID)
	err := s.order(ctx, row, model, version, term)
	if err == nil {
		err = s.awaitLoaded(ctx, row, model, version)
	}
	held := err == nil || errors.Is(err, ErrAlreadyLoaded)
	s.change(context.WithoutCancel(ctx), row.ID, func(b *state.Backend) {
		b.Loading = nil
		if held {
			b.Weights = raised(b.Weights, model, version)
		}
	})
	level := s.logger.Info
	if !held {
		level = s.logger.Warn
	}
	level("weights loaded", "part", "rollout", "backend", row.ID, "version", version, "held", held,
		"took_ms", (s.now() - started).Milliseconds(), "error", errorText(err))
	return held
}

// awaitRead waits until the prompts that an engine has been sent are read.
func (s *Server) awaitRead(ctx context.Context, id string) {
	periodic.Sleep(ctx, announcePause)
	for limit := s.now() + readLimit; s.now() < limit && ctx.Err() == nil; periodic.Sleep(ctx, readEvery) {
		unread := 0
		s.loop.Do(ctx, func(time.Duration) { unread = s.soft.told.unread(id) })
		if unread == 0 {
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

// change alters a row through the log, from what the row is then. It returns once that
// is committed or the context ends.
func (s *Server) change(ctx context.Context, id string, alter func(b *state.Backend)) {
	done := make(chan struct{}, 1)
	proposed := false
	s.loop.Do(ctx, func(time.Duration) {
		if s.core == nil || s.lastRole != raft.Leader {
			return
		}
		row, known := s.enrolment.row(s.core.Machine().Deployment(), id)
		if !known {
			return
		}
		alter(&row)
		proposed = true
		s.enrolment.add(row, func(error) { done <- struct{}{} })
	})
	if !proposed {
		return
	}
	select {
	case <-done:
	case <-ctx.Done():
	}
}

// order gives the order until the engine has answered it. Each repeat expects
// the same count, so that only one is carried out.
func (s *Server) order(ctx context.Context, row state.Backend, model string, version int, term uint64) error {
	order := LoadOrder{Target: targetOf(row), Model: model, Version: version, Holder: s.settings.Name,
		Fence: term, Expected: row.Orders}
	for ctx.Err() == nil {
		if !s.mayOrderStart(ctx, term, row.ID) {
			return errors.New("this node leads no more, or the engine has started again")
		}
		if !s.takeRight(&order.Target) {
			periodic.Sleep(ctx, orderPause)
			continue
		}
		attempt, cancel := context.WithTimeout(ctx, orderTimeout)
		err := s.engines.Load(attempt, order)
		cancel()
		s.settleRight(order.Target, err)
		s.logger.Info("order given", "part", "rollout", "backend", row.ID, "version", version, "fence", term,
			"expected", order.Expected, "error", errorText(err))
		switch {
		case err == nil:
			s.change(ctx, row.ID, func(b *state.Backend) { b.Orders = order.Expected + 1 })
			return nil
		case errors.Is(err, ErrAlreadyLoaded), errors.Is(err, ErrFenced), errors.Is(err, ErrWrongInstance):
			return err
		case errors.Is(err, ErrUnreachable):
			// It is down: its place among those that load is for others.
			return err
		}
		if !errors.Is(err, ErrOrderConflict) {
			periodic.Sleep(ctx, orderPause)
			continue
		}
		if held, failure := s.expect(ctx, row, &order); failure == nil && held {
			return ErrAlreadyLoaded
		}
		periodic.Sleep(ctx, reportEvery)
	}
	return ctx.Err()
}

// expect learns how many orders an engine took, and tells whether one of them
// has brought it to the wanted version.
func (s *Server) expect(ctx context.Context, row state.Backend, order *LoadOrder) (held bool, err error) {
	report, err := s.report(ctx, row)
	if err != nil {
		return false, err
	}
	order.Expected = report.Orders
	return report.Weights[order.Model] >= order.Version && !report.Busy, nil
}

// mayOrderStart tells whether this node still leads in a term, and a start of an engine is
// still there: its successor under the same name has taken no orders, and one that expects
// none would be carried out by it.
func (s *Server) mayOrderStart(ctx context.Context, term uint64, id string) bool {
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

// takeRight takes the right for a call to an engine that takes only so much from all machines,
// and returns false if there is none now. A call outranks all requests: those at an engine
// that holds old weights soon get none at all.
func (s *Server) takeRight(to *Target) bool {
	s.backendLimits.Observe(s.now(), s.engines.Limits(false))
	number, asked := s.rightNumber.Add(1), clock.Now()
	verdict := s.backendLimits.Take(s.now(), ratelimit.Request{Router: s.settings.Name, Number: number, Backend: to.Backend,
		Claimant: coordapi.Claimant{Urgency: ordersUrgency}})
	to.Permit = verdict.Permit(to.Backend, number, asked)
	return verdict.Allowed()
}

// settleRight gives a right back if nothing was sent.
func (s *Server) settleRight(to Target, err error) {
	if errors.Is(err, upstream.ErrNotSent) && to.Permit != nil {
		s.backendLimits.Unused(s.now(), s.settings.Name, []uint64{to.Permit.Number()})
	}
}

func (s *Server) report(ctx context.Context, row state.Backend) (EngineReport, error) {
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	to := targetOf(row)
	if !s.takeRight(&to) {
		return EngineReport{}, ratelimit.ErrNoPermit
	}
	report, err := s.engines.Report(ctx, to)
	s.settleRight(to, err)
	if err == nil && !row.Start().Matches(state.Start{Name: row.Name(), Born: report.Born}) {
		return EngineReport{}, ErrWrongInstance
	}
	return report, err
}

// awaitLoaded asks the engine until it reports the version.
func (s *Server) awaitLoaded(ctx context.Context, row state.Backend, model string, version int) error {
	periodic.Sleep(ctx, firstReport)
	for ctx.Err() == nil {
		report, err := s.report(ctx, row)
		if err == nil && report.Weights[model] >= version && !report.Busy {
			return nil
		}
		periodic.Sleep(ctx, reportEvery)
	}
	return ctx.Err()
}
