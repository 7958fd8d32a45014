package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Failure modes of back ends.
const (
	failureNone int32 = iota
	failureStatus
	failureHang
	failureDisconnect
	failureOverload
	failureKinds
)

const (
	faultPause       = 900 * time.Millisecond
	minFaultDuration = 200 * time.Millisecond
	maxFaultDuration = 3 * time.Second
	stopTimeout      = 15 * time.Second
	// signalInterval is the time between further signals to a process that stops.
	signalInterval = 700 * time.Millisecond
	// voterPollInterval is the time between two checks whether a wiped coordinator is a voter
	// again.
	voterPollInterval = 100 * time.Millisecond
	// burstSize is the number of faults in a burst.
	burstSize = 3
)

// fault is one kind of injected fault.
type fault struct {
	name string
	run  func(s *Soak, ctx context.Context, r *rand.Rand)
}

var faults = []fault{
	{"kill a router", func(s *Soak, ctx context.Context, r *rand.Rand) { s.killAndRestart(ctx, r, pick(r, s.routers)) }},
	{"kill a coordinator", func(s *Soak, ctx context.Context, r *rand.Rand) { s.killAndRestart(ctx, r, pick(r, s.coordinators)) }},
	{"freeze a router", func(s *Soak, ctx context.Context, r *rand.Rand) { s.freeze(ctx, r, pick(r, s.routers)) }},
	{"freeze a coordinator", func(s *Soak, ctx context.Context, r *rand.Rand) { s.freeze(ctx, r, pick(r, s.coordinators)) }},
	{"stop a router as planned", func(s *Soak, _ context.Context, r *rand.Rand) { s.restartGracefully(pick(r, s.routers)) }},
	{"stop a coordinator as planned", func(s *Soak, _ context.Context, r *rand.Rand) { s.restartGracefully(pick(r, s.coordinators)) }},
	{"cut a coordinator off", func(s *Soak, ctx context.Context, r *rand.Rand) {
		p := pick(r, s.coordinators)
		defer s.recordDisturbance(p, false)()
		p.proxy.cut(func() { wait(ctx, faultDuration(r)) })
	}},
	{"reset a coordinator's connections", func(s *Soak, ctx context.Context, r *rand.Rand) {
		p := pick(r, s.coordinators)
		defer s.recordDisturbance(p, false)()
		p.proxy.reset(func() { wait(ctx, faultDuration(r)) })
	}},
	{"cut a back end off", func(s *Soak, ctx context.Context, r *rand.Rand) {
		b := pick(r, s.listBackends())
		s.disturbLink(b, func() { b.proxy.cut(func() { wait(ctx, faultDuration(r)) }) })
	}},
	{"reset a back end's connections", func(s *Soak, ctx context.Context, r *rand.Rand) {
		b := pick(r, s.listBackends())
		s.disturbLink(b, func() { b.proxy.reset(func() { wait(ctx, faultDuration(r)) }) })
	}},
	{"cut routers from all back ends", (*Soak).cutRouters},
	{"lose a coordinator's disk", (*Soak).loseDisk},
	{"kill all coordinators", (*Soak).killCoordinators},
	{"crash a back end", (*Soak).crashBackend},
	{"drain a back end", (*Soak).drainBackend},
	{"a request that ends back ends", (*Soak).sendPoison},
	{"trouble at a back end", func(s *Soak, ctx context.Context, r *rand.Rand) {
		b := pick(r, s.listBackends())
		b.failureMode.Store(1 + r.Int32N(failureKinds-1))
		wait(ctx, faultDuration(r))
		b.failureMode.Store(failureNone)
	}},
}

func pick[T any](r *rand.Rand, from []T) T { return from[r.IntN(len(from))] }

func faultDuration(r *rand.Rand) time.Duration {
	return minFaultDuration + time.Duration(r.Int64N(int64(maxFaultDuration-minFaultDuration)))
}

// inject starts random faults until the context ends. The seed determines their order. Faults
// may overlap or come in bursts.
func (s *Soak) inject(ctx context.Context) {
	r := rand.New(rand.NewPCG(s.config.Seed, 1))
	for wait(ctx, time.Duration(r.Int64N(int64(2*faultPause)))) {
		switch f := faults[r.IntN(len(faults))]; r.IntN(6) {
		case 0:
			s.startFault(ctx, r, f, burstSize)
		case 1:
			for range burstSize {
				s.startFault(ctx, r, faults[r.IntN(len(faults))], 1)
			}
		default:
			s.startFault(ctx, r, f, 1)
		}
	}
}

// startFault runs a fault the given number of times in a row, in its own goroutine.
func (s *Soak) startFault(ctx context.Context, r *rand.Rand, f fault, times int) {
	s.mu.Lock()
	s.report.Faults[f.name] += times
	s.mu.Unlock()
	own := rand.New(rand.NewPCG(r.Uint64(), 2))
	s.activeFaults.Add(1)
	s.group.Go(func() {
		defer s.activeFaults.Add(-1)
		for range times {
			f.run(s, ctx, own)
		}
	})
}

// acquire reserves a process for one fault. The returned function releases it; ok is false if
// another fault holds the process.
func (s *Soak) acquire(p *program) (release func(), ok bool) { return s.acquireFor(p, false) }

// acquireFor is acquire for a fault that is a graceful stop if planned is set.
func (s *Soak) acquireFor(p *program, planned bool) (release func(), ok bool) {
	if !p.busy.CompareAndSwap(false, true) {
		return nil, false
	}
	endDisturbance := s.recordDisturbance(p, planned)
	return func() {
		endDisturbance()
		p.busy.Store(false)
	}, true
}

func (s *Soak) killAndRestart(ctx context.Context, r *rand.Rand, p *program) {
	release, ok := s.acquire(p)
	if !ok {
		return
	}
	defer release()
	p.process.Kill()
	wait(ctx, faultDuration(r))
	_ = p.process.Start()
}

func (s *Soak) freeze(ctx context.Context, r *rand.Rand, p *program) {
	release, ok := s.acquire(p)
	if !ok {
		return
	}
	defer release()
	p.process.Signal(syscall.SIGSTOP)
	wait(ctx, faultDuration(r))
	p.process.Signal(syscall.SIGCONT)
}

func (s *Soak) restartGracefully(p *program) {
	release, ok := s.acquireFor(p, true)
	if !ok {
		return
	}
	defer release()
	defer func() { _ = p.process.Start() }()
	if s.config.Older != "" {
		// Older builds end at once at these signals.
		p.process.Terminate(stopTimeout)
		return
	}
	p.stopBesideSignals(syscall.SIGHUP, syscall.SIGTERM)
}

// stopBesideSignals stops the process gracefully while it gets further signals, which must not end it earlier.
func (p *program) stopBesideSignals(signals ...syscall.Signal) {
	ended := make(chan struct{})
	var repeated sync.WaitGroup
	repeated.Go(func() {
		tick := time.NewTicker(signalInterval)
		defer tick.Stop()
		for {
			for _, s := range signals {
				p.process.Signal(s)
			}
			select {
			case <-ended:
				return
			case <-tick.C:
			}
		}
	})
	p.process.Terminate(stopTimeout)
	close(ended)
	repeated.Wait()
}

// restartWith stops the process gracefully, writes its settings and starts the given build.
func (p *program) restartWith(binary string, configure func() error) error {
	p.process.Terminate(stopTimeout)
	p.process.Binary = binary
	if err := configure(); err != nil {
		return err
	}
	return p.process.Start()
}

// loseDisk wipes the disk of one coordinator and waits until it is a voter again, since a group
// of five tolerates only two missing members.
func (s *Soak) loseDisk(ctx context.Context, r *rand.Rand) {
	if !s.quorumMu.TryLock() {
		return
	}
	defer s.quorumMu.Unlock()
	p := pick(r, s.coordinators)
	if s.wipe(p) {
		for wait(ctx, voterPollInterval) && !s.isVoter(ctx, p) {
		}
	}
}

// wipe restarts a coordinator with an empty disk.
func (s *Soak) wipe(p *program) bool {
	release, ok := s.acquire(p)
	if !ok {
		return false
	}
	defer release()
	p.process.Kill()
	_ = os.RemoveAll(p.data)
	_ = s.writeSettings(p, false)
	_ = p.process.Start()
	return true
}

// isVoter reports whether a wiped coordinator observes the full number of voters again.
func (s *Soak) isVoter(ctx context.Context, p *program) bool {
	return strings.Contains(s.metricsOf(ctx, p), fmt.Sprintf("quinceridge_voters %d\n", coordinators))
}

func (s *Soak) killCoordinators(ctx context.Context, r *rand.Rand) {
	if !s.quorumMu.TryLock() {
		return
	}
	defer s.quorumMu.Unlock()
	for _, p := range s.coordinators {
		if release, ok := s.acquire(p); ok {
			defer release()
			p.process.Kill()
			defer func() { _ = p.process.Start() }()
		}
	}
	wait(ctx, faultDuration(r)/2)
}

func (s *Soak) crashBackend(ctx context.Context, r *rand.Rand) {
	b := pick(r, s.listBackends())
	if !s.remove(b) {
		return
	}
	b.crash()
	wait(ctx, faultDuration(r))
	s.addBackend(b.pool)
}

// drainBackend removes a back end with a drain.
func (s *Soak) drainBackend(ctx context.Context, r *rand.Rand) {
	s.drainAndStop(ctx, pick(r, s.listBackends()), func(*backend) {})
}

// drainAndStop replaces a back end, calls first, drains the back end and stops it.
func (s *Soak) drainAndStop(ctx context.Context, b *backend, first func(*backend)) {
	if !s.remove(b) {
		return
	}
	s.addBackend(b.pool)
	first(b)
	b.draining.Store(true)
	wait(ctx, 2*drainDeadline)
	b.crash()
}
