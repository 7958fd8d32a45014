package quota

import (
	"math"
	"sync"
	"time"
)

const (
	// heardFor is how long the announced shares hold as they are; several
	// announcements fit into it. Then they halve in each halfTime: demand may have
	// changed and nobody counts it over all routers.
	heardFor = 2 * time.Second
	halfTime = time.Second
	// gateReturn is when a caller may come back that a router refused by itself:
	// it is behind the next announcement.
	gateReturn = time.Second
)

// Spent is an amount that a router admitted by itself, or gives back if it is
// negative.
type Spent struct {
	Tenant string `json:"t"`
	Amount Amount `json:"a"`
}

// Gate is a router's side of the limits. It admits requests for which the leader
// is not asked, with the chance that the tenant's requests had at the leader. It
// is safe for concurrent use.
type Gate struct {
	mu      sync.Mutex
	shares  map[string]float64
	heardAt time.Duration
	spent   map[string]Amount
}

// NewGate returns a gate that admits everything until shares are announced.
func NewGate() *Gate { return &Gate{spent: map[string]Amount{}} }

// SetShares takes the shares that the leader announced.
func (g *Gate) SetShares(now time.Duration, shares []Share) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.shares = make(map[string]float64, len(shares))
	for _, s := range shares {
		g.shares[s.Tenant] = s.Part
	}
	g.heardAt = now
}

// Admit admits an amount, or says after what time to come back. Draw is uniform in
// [0, 1).
func (g *Gate) Admit(now time.Duration, tenant string, amount Amount, draw float64) (after time.Duration, admitted bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	part, limited := g.shares[tenant]
	if !limited {
		part = 1
	}
	if old := now - g.heardAt - heardFor; old > 0 {
		part *= math.Exp2(-float64(old) / float64(halfTime))
	}
	if draw >= part {
		return gateReturn, false
	}
	g.spent[tenant] += amount
	return 0, true
}

// Release notes that an admitted amount was not used.
func (g *Gate) Release(tenant string, amount Amount) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.spent[tenant] -= amount
}

// Spent returns what was admitted here since the last call.
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
