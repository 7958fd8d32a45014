package quota

import (
	"math"
	"sync"
	"time"
)

const (
	// shareTTL is how long announced shares hold, a few announcements. After that they halve
	// with every shareHalfLife, since demand may have changed.
	shareTTL      = 2 * time.Second
	shareHalfLife = time.Second
	// gateRetryAfter is when a caller refused by a gate may return, after the next announcement.
	gateRetryAfter = time.Second
)

// Spent is an amount that a router admitted by itself; a negative one is released.
type Spent struct {
	Tenant string `json:"t"`
	Amount Amount `json:"a"`
}

// Gate is a router's side of the limits. It admits requests without asking the leader, with the
// chance that the tenant's requests had at the leader. It is safe for concurrent use.
type Gate struct {
	mu          sync.Mutex
	shares      map[string]Share
	announcedAt time.Duration
	spent       map[string]Amount
}

// NewGate returns a gate that admits everything until shares are announced.
func NewGate() *Gate { return &Gate{spent: map[string]Amount{}} }

// SetShares replaces the shares announced by the leader.
func (g *Gate) SetShares(now time.Duration, shares []Share) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.shares = make(map[string]Share, len(shares))
	for _, s := range shares {
		g.shares[s.Tenant] = s
	}
	g.announcedAt = now
}

// Admit admits an amount, or returns when to try again. Plain is set for requests to plain pools. Draw
// is uniform in [0, 1).
func (g *Gate) Admit(now time.Duration, tenant string, amount Amount, plain bool, draw float64) (retryAfter time.Duration, admitted bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	part := 1.0
	if share, limited := g.shares[tenant]; limited {
		part = share.Part
		if plain && share.Plain > 0 {
			part = share.Plain
		}
	}
	if expired := now - g.announcedAt - shareTTL; expired > 0 {
		part *= math.Exp2(-float64(expired) / float64(shareHalfLife))
	}
	if draw >= part {
		return gateRetryAfter, false
	}
	g.spent[tenant] += amount
	return 0, true
}

// Release returns an admitted amount that was not used.
func (g *Gate) Release(tenant string, amount Amount) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.spent[tenant] -= amount
}

// Spent returns the amounts admitted since the last call.
func (g *Gate) Spent() []Spent {
	g.mu.Lock()
	defer g.mu.Unlock()
	if len(g.spent) == 0 {
		return nil
	}
	out := make([]Spent, 0, len(g.spent))
	for tenant, amount := range g.spent {
		out = append(out, Spent{Tenant: tenant, Amount: amount})
	}
	clear(g.spent)
	return out
}
