package coordinator

import (
	"context"
	"maps"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

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
	// expiryCut is how long before a deadline waiting requests are given up.
	expiryCut = 250 * time.Millisecond
	// holderSlack is added to the lease that another holder may still have.
	holderSlack = 400 * time.Millisecond
)

// LoadOrder tells an engine to load weights.
type LoadOrder struct {
	Address string
	// Instance is the ID of the start that the order is meant for.
	Instance string
	Model    string
	Version  int
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
}

// Answers to an order.
var (
	// ErrHeld says that the engine holds the version already.
	ErrHeld = errors.New("the engine holds this version")
	// ErrMismatch says that the engine took another number of orders, or one is
	// under way.
	ErrMismatch = errors.New("the engine expected another order")
	// ErrFenced says that the engine has seen a higher fence.
	ErrFenced = errors.New("the engine has seen a higher fence")
	// ErrOtherInstance says that another instance has the address.
	ErrOtherInstance = errors.New("another instance has the address")
)

// Engines carries calls to model engines.
type Engines interface {
	// Load gives an order. A nil error says that the load is under way; an
	// error without a mark of this package says that it may be.
	Load(ctx context.Context, order LoadOrder) error
	// Report asks an engine for its state.
	Report(ctx context.Context, address, instance string) (EngineReport, error)
}

// rollout is a node's knowledge of named versions. Each node keeps it, so that
// a new leader knows when a version's time began.
type rollout struct {
	seen    map[state.WeightsVersion]time.Duration
	minimum map[string]int
	expired map[string]int
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

func planConfig(s settings.Coordinator) weights.Config {
	return weights.Config{Deadline: s.WeightsDeadline, Guard: s.WeightsGuard, Cut: expiryCut,
		PerLoad: s.LoadTime, Margin: s.LoadMargin, Divisor: s.LoadDivisor}
}

// versions returns a model's named versions with the time that each began.
func (r *rollout) versions(since, deadline time.Duration, d *state.Deployment, model string) []weights.Version {
	var out []weights.Version
	for _, w := range d.Weights {
		if w.Model == model {
			out = append(out, weights.Version{Number: w.Version, From: weights.Began(r.seen[w], since, deadline)})
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
	minimum, expired := map[string]int{}, map[string]int{}
	for _, w := range d.Weights {
		if _, done := minimum[w.Model]; !done {
			plan := planConfig(s).Next(now, r.versions(since, s.WeightsDeadline, d, w.Model), nil)
			minimum[w.Model], expired[w.Model] = plan.Minimum, plan.Expired
		}
	}
	if maps.Equal(minimum, r.minimum) && maps.Equal(expired, r.expired) {
		return false
	}
	r.minimum, r.expired = minimum, expired
	return true
}

// rolloutLoop lets the leader order engines to load weights.
func (s *Server) rolloutLoop(ctx context.Context) {
	ticker := time.NewTicker(rolloutEvery)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			s.do(ctx, func(now time.Duration) { s.orderDue(ctx, now) })
		}
	}
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
		if !holds || b.Draining || slices.Contains(s.soft.silent, id) {
			continue
		}
		engines = append(engines, weights.Engine{ID: id, Version: version, Loading: s.rollout.running[id]})
	}
	plan := planConfig(s.settings).Next(now, s.rollout.versions(s.soft.since, s.settings.WeightsDeadline, d, model), engines)
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
			held := s.bring(ctx, row, model, plan.Target, term)
			s.do(context.WithoutCancel(ctx), func(now time.Duration) { s.rollout.finished(now, row.ID, held) })
		})
	}
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
			pause(ctx, reportEvery)
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
		s.do(context.WithoutCancel(ctx), func(now time.Duration) { s.rollout.finished(now, row.ID, err == nil) })
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
	_ = s.core.Propose(now, state.Command{Hold: &state.Hold{Holder: s.settings.Name}}, func(state.Result, error) {})
	return false
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
	held := err == nil || errors.Is(err, ErrHeld)
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
	pause(ctx, announcePause)
	for limit := s.now() + readLimit; s.now() < limit && ctx.Err() == nil; pause(ctx, readEvery) {
		unread := 0
		s.do(ctx, func(time.Duration) { unread = s.soft.told.unread(id) })
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

// change alters a row through the log, from what the row is then.
func (s *Server) change(ctx context.Context, id string, alter func(b *state.Backend)) {
	done := make(chan struct{}, 1)
	proposed := false
	s.do(ctx, func(now time.Duration) {
		if s.core == nil {
			return
		}
		row, known := s.core.Machine().Deployment().Backends[id]
		if !known {
			return
		}
		alter(&row)
		command := state.Command{Enrol: &state.Enrol{Backends: []state.Backend{row}}}
		proposed = s.core.Propose(now, command, func(state.Result, error) { done <- struct{}{} }) == nil
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
	order := LoadOrder{Address: row.Address, Instance: row.ID, Model: model, Version: version, Holder: s.settings.Name,
		Fence: term, Expected: row.Orders}
	for ctx.Err() == nil {
		if !s.leads(ctx, term) {
			return errors.New("this node leads no more")
		}
		attempt, cancel := context.WithTimeout(ctx, orderTimeout)
		err := s.engines.Load(attempt, order)
		cancel()
		s.logger.Info("order given", "part", "rollout", "backend", row.ID, "version", version, "fence", term,
			"expected", order.Expected, "error", errorText(err))
		switch {
		case err == nil:
			s.change(ctx, row.ID, func(b *state.Backend) { b.Orders = order.Expected + 1 })
			return nil
		case errors.Is(err, ErrHeld), errors.Is(err, ErrFenced), errors.Is(err, ErrOtherInstance):
			return err
		}
		if !errors.Is(err, ErrMismatch) {
			pause(ctx, orderPause)
			continue
		}
		if held, failure := s.expect(ctx, row, &order); failure == nil && held {
			return ErrHeld
		}
		pause(ctx, reportEvery)
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

// leads tells whether this node still leads in a term.
func (s *Server) leads(ctx context.Context, term uint64) bool {
	leads := false
	s.do(ctx, func(now time.Duration) {
		leads = s.core != nil && s.core.HoldsLease(now) && s.core.Status().Term == term
	})
	return leads
}

func (s *Server) report(ctx context.Context, row state.Backend) (EngineReport, error) {
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	return s.engines.Report(ctx, row.Address, row.ID)
}

// awaitLoaded asks the engine until it reports the version.
func (s *Server) awaitLoaded(ctx context.Context, row state.Backend, model string, version int) error {
	pause(ctx, firstReport)
	for ctx.Err() == nil {
		report, err := s.report(ctx, row)
		if err == nil && report.Weights[model] >= version && !report.Busy {
			return nil
		}
		pause(ctx, reportEvery)
	}
	return ctx.Err()
}

func pause(ctx context.Context, wait time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(wait):
	}
}
