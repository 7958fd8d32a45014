package soak

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"os"
	"strings"
	"syscall"
	"time"
)

// troubles of back ends.
const (
	troubleNone int32 = iota
	troubleFail
	troubleHang
	troubleBreak
	troubleFull
	troubleKinds
)

const (
	faultPause = 900 * time.Millisecond
	shortest   = 200 * time.Millisecond
	longest    = 3 * time.Second
	stopLimit  = 15 * time.Second
	// voterPause is the time between two questions to one that lost its disk.
	voterPause = 100 * time.Millisecond
	// burst is how many faults come at once, or one after the other.
	burst = 3
)

// fault is one kind of trouble.
type fault struct {
	name string
	run  func(s *Soak, ctx context.Context, r *rand.Rand)
}

var faults = []fault{
	{"kill a router", func(s *Soak, ctx context.Context, r *rand.Rand) { s.bounce(ctx, r, pick(r, s.routers)) }},
	{"kill a coordinator", func(s *Soak, ctx context.Context, r *rand.Rand) { s.bounce(ctx, r, pick(r, s.coordinators)) }},
	{"freeze a router", func(s *Soak, ctx context.Context, r *rand.Rand) { s.freeze(ctx, r, pick(r, s.routers)) }},
	{"freeze a coordinator", func(s *Soak, ctx context.Context, r *rand.Rand) { s.freeze(ctx, r, pick(r, s.coordinators)) }},
	{"stop a router as planned", func(s *Soak, _ context.Context, r *rand.Rand) { s.restart(pick(r, s.routers)) }},
	{"stop a coordinator as planned", func(s *Soak, _ context.Context, r *rand.Rand) { s.restart(pick(r, s.coordinators)) }},
	{"cut a coordinator off", func(s *Soak, ctx context.Context, r *rand.Rand) {
		p := pick(r, s.coordinators)
		defer s.disturb(p)()
		p.proxy.cut(func() { wait(ctx, between(r)) })
	}},
	{"reset a coordinator's connections", func(s *Soak, ctx context.Context, r *rand.Rand) {
		p := pick(r, s.coordinators)
		defer s.disturb(p)()
		p.proxy.reset(func() { wait(ctx, between(r)) })
	}},
	{"cut a back end off", func(s *Soak, ctx context.Context, r *rand.Rand) {
		b := pick(r, s.listBackends())
		s.cutOff(b, func() { b.proxy.cut(func() { wait(ctx, between(r)) }) })
	}},
	{"reset a back end's connections", func(s *Soak, ctx context.Context, r *rand.Rand) {
		b := pick(r, s.listBackends())
		s.cutOff(b, func() { b.proxy.reset(func() { wait(ctx, between(r)) }) })
	}},
	{"lose a coordinator's disk", (*Soak).loseDisk},
	{"kill all coordinators", (*Soak).killCoordinators},
	{"crash a back end", (*Soak).crashBackend},
	{"drain a back end", (*Soak).drainBackend},
	{"a request that ends back ends", (*Soak).sendPoison},
	{"trouble at a back end", func(s *Soak, ctx context.Context, r *rand.Rand) {
		b := pick(r, s.listBackends())
		b.trouble.Store(1 + r.Int32N(troubleKinds-1))
		wait(ctx, between(r))
		b.trouble.Store(troubleNone)
	}},
}

func pick[T any](r *rand.Rand, from []T) T { return from[r.IntN(len(from))] }

func between(r *rand.Rand) time.Duration {
	return shortest + time.Duration(r.Int64N(int64(longest-shortest)))
}

// inject brings faults about until the context ends. The seed fixes their order. Two or
// three overlap; some come in bursts, some one after the other.
func (s *Soak) inject(ctx context.Context) {
	r := rand.New(rand.NewPCG(s.config.Seed, 1))
	for wait(ctx, time.Duration(r.Int64N(int64(2*faultPause)))) {
		switch f := faults[r.IntN(len(faults))]; r.IntN(6) {
		case 0:
			s.begin(ctx, r, f, burst)
		case 1:
			for range burst {
				s.begin(ctx, r, faults[r.IntN(len(faults))], 1)
			}
		default:
			s.begin(ctx, r, f, 1)
		}
	}
}

// begin brings a fault about a number of times in a row, beside all else.
func (s *Soak) begin(ctx context.Context, r *rand.Rand, f fault, times int) {
	s.mu.Lock()
	s.report.Faults[f.name] += times
	s.mu.Unlock()
	own := rand.New(rand.NewPCG(r.Uint64(), 2))
	s.group.Go(func() {
		for range times {
			f.run(s, ctx, own)
		}
	})
}

// claim gives a fault a program for itself, until the returned function is called.
func (s *Soak) claim(p *program) (release func(), free bool) {
	if !p.busy.CompareAndSwap(false, true) {
		return nil, false
	}
	over := s.disturb(p)
	return func() {
		over()
		p.busy.Store(false)
	}, true
}

func (s *Soak) bounce(ctx context.Context, r *rand.Rand, p *program) {
	release, free := s.claim(p)
	if !free {
		return
	}
	defer release()
	p.process.Kill()
	wait(ctx, between(r))
	_ = p.process.Start()
}

func (s *Soak) freeze(ctx context.Context, r *rand.Rand, p *program) {
	release, free := s.claim(p)
	if !free {
		return
	}
	defer release()
	p.process.Signal(syscall.SIGSTOP)
	wait(ctx, between(r))
	p.process.Signal(syscall.SIGCONT)
}

func (s *Soak) restart(p *program) {
	release, free := s.claim(p)
	if !free {
		return
	}
	defer release()
	_ = p.startAgain(p.process.Binary)
}

// startAgain stops a program as planned and starts a build of it.
func (p *program) startAgain(binary string) error {
	p.process.Terminate(stopLimit)
	p.process.Binary = binary
	return p.process.Start()
}

// loseDisk takes one coordinator's disk, and no second one until the first is a voter
// again: a group of five bears the loss of two, and other faults may hold the first up
// for any time.
func (s *Soak) loseDisk(ctx context.Context, r *rand.Rand) {
	if !s.disk.TryLock() {
		return
	}
	defer s.disk.Unlock()
	p := pick(r, s.coordinators)
	if s.wipe(p) {
		for wait(ctx, voterPause) && !s.isVoter(ctx, p) {
		}
	}
}

// wipe starts a coordinator anew without its disk.
func (s *Soak) wipe(p *program) bool {
	release, free := s.claim(p)
	if !free {
		return false
	}
	defer release()
	p.process.Kill()
	_ = os.RemoveAll(p.data)
	_ = s.writeSettings(p, false)
	_ = p.process.Start()
	return true
}

// isVoter tells whether a coordinator that lost its disk has heard that it is a voter
// again: the group is whole then.
func (s *Soak) isVoter(ctx context.Context, p *program) bool {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+p.ready+"/metrics", nil)
	if err != nil {
		return false
	}
	response, err := s.client.Do(request)
	if err != nil {
		return false
	}
	defer response.Body.Close()
	figures, err := io.ReadAll(response.Body)
	return err == nil && strings.Contains(string(figures), fmt.Sprintf("quinceridge_voters %d\n", coordinators))
}

func (s *Soak) killCoordinators(ctx context.Context, r *rand.Rand) {
	if !s.disk.TryLock() {
		return
	}
	defer s.disk.Unlock()
	for _, p := range s.coordinators {
		if release, free := s.claim(p); free {
			defer release()
			p.process.Kill()
			defer func() { _ = p.process.Start() }()
		}
	}
	wait(ctx, between(r)/2)
}

func (s *Soak) crashBackend(ctx context.Context, r *rand.Rand) {
	b := pick(r, s.listBackends())
	if !s.remove(b) {
		return
	}
	b.crash()
	wait(ctx, between(r))
	s.addBackend(b.pool)
}

// drainBackend lets a back end leave as planned.
func (s *Soak) drainBackend(ctx context.Context, r *rand.Rand) {
	s.leave(ctx, pick(r, s.listBackends()), func(*backend) {})
}

// leave lets a back end drain and end, after something that it does first.
func (s *Soak) leave(ctx context.Context, b *backend, first func(*backend)) {
	if !s.remove(b) {
		return
	}
	s.addBackend(b.pool)
	first(b)
	b.draining.Store(true)
	wait(ctx, 2*drainBinds)
	b.crash()
}
