package soak

import (
	"context"
	"math/rand/v2"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"
)

const (
	// limitPause is the maximum time between two limit faults.
	limitPause = 4 * time.Second
	// limitWindow, limitOvershoot and limitSlack define the accepted load of a limited back
	// end: within the window, at most the limit times limitOvershoot plus limitSlack requests,
	// counted from senders that received the limit more than inFlightGrace ago. The check
	// starts limitDeadline after the limit was first announced.
	limitWindow    = 4 * time.Second
	limitOvershoot = 1.5
	limitSlack     = 5
	limitDeadline  = 3 * time.Second
	// coordinatorSender stands for all coordinators, since state requests carry no sender name.
	coordinatorSender = "coordinators"
)

var (
	// limitRates are the limits, in requests per second, used when only part of a pool is
	// limited.
	limitRates = []string{"0", "0.2", "0.4", "1", "1.3", "5"}
	// poolRates are the limits for each back end when the whole pool is limited. They are
	// enough for about half of the callers.
	poolRates = []string{"10", "20"}
)

// announcedLimit is the rate limit that a back end announces, with the requests that arrived
// under it. It is safe for concurrent use.
type announcedLimit struct {
	mu     sync.Mutex
	header string
	rate   float64
	// since is the time at which the limit was first announced.
	since time.Duration
	// notified maps each sender to the time of its first response with the limit.
	notified map[string]time.Duration
	// arrivals are the requests within the last limitWindow.
	arrivals []arrival
}

type arrival struct {
	at     time.Duration
	sender string
}

// set announces a limit in all further responses. An empty header removes the limit.
func (n *announcedLimit) set(header string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.header, n.since, n.notified, n.arrivals = header, 0, map[string]time.Duration{}, nil
	n.rate, _ = strconv.ParseFloat(header, 64)
}

// announceLimit records a request that arrived earlier if the back end was suspended, checks the limit
// and adds the limit header to the response.
func (b *backend) announceLimit(w http.ResponseWriter, r *http.Request, sender string, arrived time.Duration) {
	n := &b.limit
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.header == "" {
		return
	}
	now := b.soak.now()
	if n.since == 0 {
		n.since = now
	}
	n.arrivals = append(n.arrivals, arrival{arrived, sender})
	n.arrivals = slices.DeleteFunc(n.arrivals, func(a arrival) bool { return a.at <= now-limitWindow })
	if now >= n.since+limitDeadline {
		b.checkLimit(now, n)
	}
	if _, notified := n.notified[sender]; !notified && r.Context().Err() == nil {
		n.notified[sender] = now
	}
	w.Header().Set(names.Limit, n.header)
}

// checkLimit records a breach if too many requests arrived within the window. Requests of
// senders that were disturbed don't count.
func (b *backend) checkLimit(now time.Duration, n *announcedLimit) {
	count := 0
	for _, s := range n.arrivals {
		notified, ok := n.notified[s.sender]
		if ok && s.at >= notified+inFlightGrace && !b.soak.excused(b, s.sender, now-limitWindow) {
			count++
		}
	}
	allowed := int(limitOvershoot*n.rate*limitWindow.Seconds()) + limitSlack
	if count > allowed {
		b.soak.recordBreach("%v: %s takes %s a second and got %d in %v, allowed %d", now, b.id, n.header, count, limitWindow, allowed)
	}
}

// excused reports whether the sender or the back end's link was disturbed after since, or
// within recoveryTime before it.
func (s *Soak) excused(b *backend, sender string, since time.Duration) bool {
	if sender != coordinatorSender {
		return s.disturbedSince(b, sender, since)
	}
	for _, c := range s.coordinators {
		if s.disturbedSince(b, c.name, since) {
			return true
		}
	}
	return false
}

// injectLimits limits random back ends until the context ends. It has its own random source, so
// that it doesn't change the other faults of a seed.
func (s *Soak) injectLimits(ctx context.Context) {
	if s.config.Older != "" {
		// Older builds ignore the limit header.
		return
	}
	r := rand.New(rand.NewPCG(s.config.Seed, 8))
	for wait(ctx, time.Duration(r.Int64N(int64(limitPause)))) {
		s.startFault(ctx, r, fault{"back ends take only so much", (*Soak).limitBackends}, 1)
		wait(ctx, limitDeadline)
	}
}

// limitBackends makes one back end, some of a pool or a whole pool announce a limit, and
// sometimes a second one after it.
func (s *Soak) limitBackends(ctx context.Context, r *rand.Rand) {
	pool := poolEngines
	if r.IntN(2) == 0 {
		pool = poolWorkers
	}
	rates, share := limitRates, 2+r.IntN(3)
	if r.IntN(4) == 0 {
		rates, share = poolRates, 1
	}
	var chosen []*backend
	for i, b := range s.listBackends() {
		if b.pool == pool && i%share == 0 {
			chosen = append(chosen, b)
		}
	}
	for range 1 + r.IntN(2) {
		rate := rates[r.IntN(len(rates))]
		for _, b := range chosen {
			b.limit.set(rate)
		}
		wait(ctx, limitDeadline+2*faultDuration(r))
	}
	for _, b := range chosen {
		b.limit.set("")
	}
}
