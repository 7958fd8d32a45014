package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"quinceridge.example/quinceridge/internal/httpwire"
)

const (
	// poisonBody is the prefix of the body of requests that crash each back end that runs them.
	poisonBody = "poison"
	// poisonAttempts is the number of times that a poison request is sent, at intervals of
	// poisonPause. maxPoisonRun is the longest time for which a back end runs it before it
	// crashes.
	poisonAttempts = 16
	poisonPause    = 400 * time.Millisecond
	maxPoisonRun   = 120 * time.Millisecond
	// replacementDelay is the time after which a crashed back end is replaced.
	replacementDelay = 700 * time.Millisecond
	// blockThreshold is the number of crashes after which routers must block a request, and
	// maxFurtherRuns the number of runs tolerated later than recoveryTime after the last of
	// these crashes.
	// recoveryTime is the time for which a disturbance still excuses a breach after it has
	// ended.
	blockThreshold = 3
	maxFurtherRuns = 3
	// partBlockThreshold is blockThreshold for a part of prompts.
	partBlockThreshold = 5
	// partPause is the time between the requests with two crashing parts, and partPrefix begins the
	// names of such parts.
	partPause  = 2 * time.Second
	partPrefix = "bad"
	// teams is the number of second parts of prompts.
	teams        = 6
	recoveryTime = 3 * time.Second
)

// disturbance is a period in which a process or the link of a back end was affected by a fault.
type disturbance struct {
	// program is the name of the coordinator or router, or empty for a link.
	program string
	// router is the name of the router, or empty for a coordinator or a link.
	router string
	// backend is the back end whose link is affected, or nil for a process.
	backend  *backend
	from, to time.Duration
	// planned is set for a graceful stop.
	planned bool
}

// recordDisturbance records that a process is affected by a fault until the returned function
// is called.
func (s *Soak) recordDisturbance(p *program, planned bool) (end func()) {
	d := &disturbance{program: p.name, from: s.now(), to: -1, planned: planned}
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

// undisturbed reports whether the router and all coordinators were free of disturbances at the
// given time and for recoveryTime before it.
func (s *Soak) undisturbed(router string, at time.Duration) bool {
	return !s.disturbed(at, func(d *disturbance) bool { return d.backend == nil && (d.router == "" || d.router == router) })
}

// disturbed reports whether a matching disturbance was active at the given time or within
// recoveryTime before it.
func (s *Soak) disturbed(at time.Duration, matches func(*disturbance) bool) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, d := range s.disturbances {
		if matches(d) && d.from <= at && (d.to < 0 || d.to+recoveryTime >= at) {
			return true
		}
	}
	return false
}

// sendPoison sends the same poison request repeatedly, each time with a new ID and to a random
// router.
func (s *Soak) sendPoison(ctx context.Context, r *rand.Rand) {
	kind := kinds[r.IntN(len(kinds))]
	body := fmt.Sprintf("%s %d", poisonBody, r.Uint64())
	client := &http.Client{Timeout: callTimeout, Transport: httpwire.NewTransport(&http.Transport{DisableKeepAlives: true})}
	for n := 0; n < poisonAttempts && wait(ctx, poisonPause); n++ {
		c := &call{id: fmt.Sprintf("p%d-%d", r.Uint64(), n), kind: kind, key: s.key(), path: "/" + kind + "/poison", requestBody: body}
		s.send(client, c)
		s.results.add(c)
	}
}

// sendCrashingParts sends requests with a part in their prompts that crashes back ends, no two alike and
// each to a random router, and begins again with other parts until the context ends.
func (s *Soak) sendCrashingParts(ctx context.Context) {
	client := &http.Client{Timeout: callTimeout, Transport: httpwire.NewTransport(&http.Transport{DisableKeepAlives: true})}
	for number := 0; wait(ctx, partPause); number++ {
		part := fmt.Sprintf("%s%d", partPrefix, number)
		for n := 0; n < poisonAttempts && wait(ctx, poisonPause); n++ {
			c := &call{id: fmt.Sprintf("q%d-%d", number, n), kind: []string{"stream", "chat"}[rand.IntN(2)], key: s.key(), crashingPart: part}
			s.send(client, c)
			s.results.add(c)
		}
	}
}

// promptOf returns the header that names the parts of a call's prompt. Calls share the first part, and
// some the second one.
func promptOf(c *call) string {
	draw := xxhash.Sum64String(c.id)
	team := fmt.Sprintf("team%d:10,", draw%teams)
	switch {
	case c.crashingPart == "":
		return "base:50," + team + "own:40"
	case draw/teams%2 == 0:
		return "base:50," + team + c.crashingPart + ":10,own:30"
	}
	return "base:50," + c.crashingPart + ":10," + team + "own:30"
}

// crashingPartOf returns the shared part of a prompt that crashes back ends, empty for none.
func crashingPartOf(prompt string) string {
	for part := range strings.SplitSeq(prompt, ",") {
		if name, _, _ := strings.Cut(part, ":"); strings.HasPrefix(name, partPrefix) {
			return name
		}
	}
	return ""
}

// crashUnderPoison crashes a back end that runs a poison request, or one with a crashing part, and
// schedules its replacement.
func (s *Soak) crashUnderPoison(b *backend, body string) {
	wait(s.ctx, time.Duration(rand.Int64N(int64(maxPoisonRun))))
	b.awaitRunningOrAbort()
	s.mu.Lock()
	if b.crashed {
		s.mu.Unlock()
		return
	}
	b.crashed = true
	s.crashes[body] = append(s.crashes[body], s.now())
	s.backends = s.without(b)
	s.mu.Unlock()
	b.crash()
	s.group.Go(func() {
		if wait(s.ctx, replacementDelay) {
			s.addBackend(b.pool)
		}
	})
}

// checkPoison verifies that poison requests were blocked after enough crashes, and that no
// other request was blocked.
func (s *Soak) checkPoison(calls []*call, runs map[string][]run) {
	further := map[string]int{}
	for _, c := range calls {
		cause, threshold := c.requestBody, blockThreshold
		if c.crashingPart != "" {
			cause, threshold = c.crashingPart, partBlockThreshold
		}
		if c.crashingPart == "" && !strings.HasPrefix(c.requestBody, poisonBody) {
			if c.blocked {
				s.recordBreach("%s %s was taken for one that ends back ends", c.kind, c.id)
			}
			continue
		}
		if c.blocked {
			s.report.Blocked++
		}
		crashes := s.crashes[cause]
		if len(crashes) < threshold || len(runs[c.id]) == 0 {
			continue
		}
		if late := crashes[threshold-1] + recoveryTime + slack; c.sent > late && s.undisturbed(c.router, c.sent) {
			further[cause]++
		}
	}
	for cause, n := range further {
		if n > maxFurtherRuns {
			s.recordBreach("%q was run %d times more after %d back ends had ended under it", cause, n, len(s.crashes[cause]))
		}
	}
	for cause, crashes := range s.crashes {
		if strings.HasPrefix(cause, partPrefix) {
			s.report.CrashingParts++
			s.report.EndsOfParts += len(crashes)
			continue
		}
		s.report.Poisons++
		s.report.Ends += len(crashes)
	}
}
