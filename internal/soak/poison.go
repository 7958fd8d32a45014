package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"time"
)

const (
	// poisonBody begins the body of a request that ends each back end that runs it.
	poisonBody = "poison"
	// poisonTries is how often such a request comes, each poisonPause, and poisonCrash the
	// longest time for which a back end runs it.
	poisonTries = 16
	poisonPause = 400 * time.Millisecond
	poisonCrash = 120 * time.Millisecond
	// poisonReturn is when another back end takes the place of one that ended.
	poisonReturn = 700 * time.Millisecond
	// enoughEnds is under how many ended back ends a request is to be kept from others, and
	// furtherRuns how many may still follow once all know: contact after the last of those.
	enoughEnds  = 3
	furtherRuns = 3
	contact     = 3 * time.Second
)

// disturbance is a time in which a coordinator, a router or a back end's link was at
// fault.
type disturbance struct {
	// program is the name of a coordinator or a router, empty for a link.
	program string
	// router is empty for a coordinator.
	router string
	// backend is nil for a program.
	backend  *backend
	from, to time.Duration
}

// disturb notes that a program is at fault until the returned function is called.
func (s *Soak) disturb(p *program) (over func()) {
	d := &disturbance{program: p.name, from: s.now(), to: -1}
	if p.proxy == nil {
		d.router = p.name
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.disturbances = append(s.disturbances, d)
	return func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		d.to = s.now()
	}
}

// inTouch tells whether a router and all coordinators had been undisturbed through the
// whole contact before a moment.
func (s *Soak) inTouch(router string, at time.Duration) bool {
	return !s.disturbed(at, func(d *disturbance) bool { return d.backend == nil && (d.router == "" || d.router == router) })
}

// disturbed tells whether a disturbance of some kind went on within contact before a
// moment.
func (s *Soak) disturbed(at time.Duration, counts func(*disturbance) bool) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, d := range s.disturbances {
		if counts(d) && d.from <= at && (d.to < 0 || d.to+contact >= at) {
			return true
		}
	}
	return false
}

// sendPoison lets a request that ends back ends come again and again, under other IDs
// and at any router.
func (s *Soak) sendPoison(ctx context.Context, r *rand.Rand) {
	kind := kinds[r.IntN(len(kinds))]
	body := fmt.Sprintf("%s %d", poisonBody, r.Uint64())
	client := &http.Client{Timeout: callLimit, Transport: &http.Transport{DisableKeepAlives: true}}
	for n := 0; n < poisonTries && wait(ctx, poisonPause); n++ {
		c := &call{id: fmt.Sprintf("p%d-%d", r.Uint64(), n), kind: kind, key: s.key(), path: "/" + kind + "/poison", sends: body}
		s.ask(client, c)
		s.results.add(c)
	}
}

// endUnder ends a back end that runs a poison request. Another comes in its place.
func (s *Soak) endUnder(b *backend, body string) {
	wait(s.ctx, time.Duration(rand.Int64N(int64(poisonCrash))))
	s.mu.Lock()
	if b.ended {
		s.mu.Unlock()
		return
	}
	b.ended = true
	s.ends[body] = append(s.ends[body], s.now())
	s.backends = s.without(b)
	s.mu.Unlock()
	b.crash()
	s.group.Go(func() {
		if wait(s.ctx, poisonReturn) {
			s.addBackend(b.pool)
		}
	})
}

// checkPoison checks that requests that end back ends are kept from them, and that no
// other request was.
func (s *Soak) checkPoison(calls []*call, runs map[string][]run) {
	further := map[string]int{}
	for _, c := range calls {
		if !strings.HasPrefix(c.sends, poisonBody) {
			if c.blocked {
				s.breach("%s %s was taken for one that ends back ends", c.kind, c.id)
			}
			continue
		}
		if c.blocked {
			s.report.Blocked++
		}
		ends := s.ends[c.sends]
		if len(ends) < enoughEnds || len(runs[c.id]) == 0 {
			continue
		}
		if late := ends[enoughEnds-1] + contact + slack; c.sent > late && s.inTouch(c.router, c.sent) {
			further[c.sends]++
		}
	}
	for body, n := range further {
		if n > furtherRuns {
			s.breach("%q was run %d times more after %d back ends had ended under it", body, n, enoughEnds)
		}
	}
	for _, ends := range s.ends {
		s.report.Ends += len(ends)
	}
	s.report.Poisons = len(s.ends)
}
