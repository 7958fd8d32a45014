package soak

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"
)

const (
	// upgradePause is the longest time between two programs that are replaced.
	upgradePause = 1500 * time.Millisecond
	// claimPause is the time between two tries for a program that is at fault.
	claimPause = 50 * time.Millisecond
)

// upgrade replaces all programs of the older build, one after the other in a drawn order,
// beside all faults. In one of three runs it goes back halfway, and begins anew.
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

// replaceAll stops programs as planned and starts another build of each.
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
		release, free := s.claim(p)
		if free {
			defer release()
			break
		}
		if !wait(ctx, claimPause) {
			return false
		}
	}
	return p.startAgain(binary) == nil
}
