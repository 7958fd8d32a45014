package soak

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"
)

const (
	// upgradePause is the maximum time between two replacements.
	upgradePause = 1500 * time.Millisecond
	// acquireRetryDelay is the time between two attempts to acquire a process that another
	// fault holds.
	acquireRetryDelay = 50 * time.Millisecond
)

// upgrade replaces the older build of all processes, one at a time in random order, while other
// faults are injected. About one seed in three first upgrades half of the processes and rolls
// them back.
func (s *Soak) upgrade(ctx context.Context) {
	if s.config.Older == "" {
		return
	}
	r := rand.New(rand.NewPCG(s.config.Seed, 5))
	programs := slices.Concat(s.coordinators, s.routers)
	r.Shuffle(len(programs), func(i, j int) { programs[i], programs[j] = programs[j], programs[i] })
	if r.IntN(3) == 0 {
		half := programs[:len(programs)/2]
		s.replaceAll(ctx, r, half, s.config.Binary)
		slices.Reverse(half)
		s.replaceAll(ctx, r, half, s.config.Older)
	}
	s.replaceAll(ctx, r, programs, s.config.Binary)
}

// replaceAll stops the processes gracefully and restarts them with the given build.
func (s *Soak) replaceAll(ctx context.Context, r *rand.Rand, programs []*program, binary string) {
	for _, p := range programs {
		if !wait(ctx, time.Duration(r.Int64N(int64(upgradePause)))) {
			return
		}
		if s.replace(ctx, p, binary) {
			s.mu.Lock()
			s.report.Replaced++
			s.mu.Unlock()
		}
	}
}

func (s *Soak) replace(ctx context.Context, p *program, binary string) bool {
	for {
		release, ok := s.acquireFor(p, true)
		if ok {
			defer release()
			break
		}
		if !wait(ctx, acquireRetryDelay) {
			return false
		}
	}
	return p.restartWith(binary, func() error {
		if p.proxy != nil {
			return nil
		}
		return s.writeSettings(p, false)
	}) == nil
}
