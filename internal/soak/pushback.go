package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"
)

// responseFaults are the faults that concern response headers and reused names of back ends.
// They have their own random source, so that they don't change the other faults of a seed.
var responseFaults = []fault{
	{"back ends push back", (*Soak).pushBackRequests},
	{"a back end says in answers that it drains", (*Soak).announceDrain},
	{"back ends start again under their names", (*Soak).restartBackends},
}

const (
	responseFaultPause = 3 * time.Second
	// minPushback and maxPushback bound the Retry-After delay of a back end. The minimum
	// exceeds inFlightGrace, so that the delay can be checked.
	maxPushback = 4 * time.Second
	minPushback = time.Second
	// inFlightGrace is the time after a response in which requests that were already sent may
	// arrive. After it, pushbackTolerance is the number of requests that each sender may still
	// send.
	inFlightGrace     = 500 * time.Millisecond
	pushbackTolerance = 2
)

// notices records what a back end announced to each sender, by the sender's name. It is safe
// for concurrent use.
type notices struct {
	mu        sync.Mutex
	pushbacks map[string][]*pushbackPeriod
	// drainNotices maps each sender to the time of its first response with the draining header.
	drainNotices map[string]time.Duration
}

// pushbackPeriod is a period in which a sender must not send requests.
type pushbackPeriod struct {
	from, to time.Duration
	requests int
}

func newNotices() *notices {
	return &notices{pushbacks: map[string][]*pushbackPeriod{}, drainNotices: map[string]time.Duration{}}
}

// injectResponseFaults starts random response faults until the context ends. It does nothing
// with an older build, which ignores these headers and rejects a restarted back end under the
// same name.
func (s *Soak) injectResponseFaults(ctx context.Context) {
	if s.config.Older != "" {
		return
	}
	r := rand.New(rand.NewPCG(s.config.Seed, 3))
	for wait(ctx, time.Duration(r.Int64N(int64(2*responseFaultPause)))) {
		s.startFault(ctx, r, responseFaults[r.IntN(len(responseFaults))], 1)
	}
}

// pushBackRequests makes one back end, some of a pool or a whole pool reject all requests with
// a Retry-After delay for a while.
func (s *Soak) pushBackRequests(ctx context.Context, r *rand.Rand) {
	pool, share := poolEngines, r.IntN(4)
	if r.IntN(2) == 0 {
		pool = poolWorkers
	}
	length := minPushback + time.Duration(r.Int64N(int64(maxPushback-minPushback)))
	var chosen []*backend
	for i, b := range s.listBackends() {
		if b.pool == pool && (share == 0 || i%share == 0) {
			chosen = append(chosen, b)
			b.pushback.Store(int64(length))
		}
	}
	wait(ctx, faultDuration(r))
	for _, b := range chosen {
		b.pushback.Store(0)
	}
}

// announceDrain drains a back end that announces the drain in responses before it reports it to
// the coordinators.
func (s *Soak) announceDrain(ctx context.Context, r *rand.Rand) {
	s.drainAndStop(ctx, pick(r, s.listBackends()), func(b *backend) {
		b.announcesDrain.Store(true)
		wait(ctx, faultDuration(r))
	})
}

// restartBackends crashes up to three back ends and starts others under their names, either at
// once, before missed heartbeats are detected, or later, and either at their addresses or at others.
func (s *Soak) restartBackends(ctx context.Context, r *rand.Rand) {
	pause := time.Duration(r.IntN(2)) * faultDuration(r)
	for range 1 + r.IntN(3) {
		b := pick(r, s.listBackends())
		if !s.remove(b) {
			continue
		}
		b.crash()
		address := anyAddress
		if r.IntN(2) == 0 {
			address = b.proxy.address()
		}
		s.group.Go(func() {
			wait(ctx, pause)
			s.addBackendNamed(b.pool, b.id, address)
		})
	}
}

// admit checks the request, which arrived earlier if the back end was suspended, against earlier notices
// and adds the current ones to the response. It returns false if it rejected the request with pushback.
func (b *backend) admit(w http.ResponseWriter, r *http.Request, sender string, arrived time.Duration) bool {
	now := b.soak.now()
	b.notices.mu.Lock()
	defer b.notices.mu.Unlock()
	b.checkNotices(arrived, sender)
	// A sender that has closed the connection receives no notice.
	received := r.Context().Err() == nil
	if b.announcesDrain.Load() {
		w.Header().Set(names.Draining, "1")
		if _, announced := b.notices.drainNotices[sender]; !announced && received {
			b.notices.drainNotices[sender] = now
		}
	}
	length := time.Duration(b.pushback.Load())
	if length == 0 {
		return true
	}
	if received {
		b.notices.pushbacks[sender] = append(b.notices.pushbacks[sender], &pushbackPeriod{from: now + inFlightGrace, to: now + length})
	}
	w.Header().Set("Retry-After", fmt.Sprintf("%.3f", length.Seconds()))
	w.Header().Set(names.NotRun, "1")
	w.WriteHeader(http.StatusServiceUnavailable)
	return false
}

// checkNotices records a breach if a sender ignores a pushback or drain notice, unless the
// sender or the back end's link was disturbed since.
func (b *backend) checkNotices(now time.Duration, sender string) {
	s := b.soak
	for _, w := range b.notices.pushbacks[sender] {
		if now < w.from || now >= w.to {
			continue
		}
		w.requests++
		if w.requests > pushbackTolerance && !s.disturbedSince(b, sender, w.from-inFlightGrace) {
			s.recordBreach("%v: %s got %d requests by %s within the %v for which it wanted none", now, b.id, w.requests, sender, w.to-w.from+inFlightGrace)
		}
	}
	if announced, ok := b.notices.drainNotices[sender]; ok && now > announced+drainDeadline+slack && !s.disturbedSince(b, sender, announced) {
		s.recordBreach("%v: %s got a request by %s %v after it had said to it that it drains", now, b.id, sender, now-announced)
	}
}

// disturbedSince reports whether the sender or the back end's link was disturbed after since,
// or within recoveryTime before it.
func (s *Soak) disturbedSince(b *backend, sender string, since time.Duration) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, d := range s.disturbances {
		if (d.program == sender || d.backend == b) && (d.to < 0 || d.to+recoveryTime >= since) {
			return true
		}
	}
	return false
}

// disturbLink applies a fault to the link of a back end and records its duration.
func (s *Soak) disturbLink(b *backend, apply func()) {
	d := &disturbance{backend: b, from: s.now(), to: -1}
	s.mu.Lock()
	s.disturbances = append(s.disturbances, d)
	s.mu.Unlock()
	apply()
	s.mu.Lock()
	defer s.mu.Unlock()
	d.to = s.now()
}
