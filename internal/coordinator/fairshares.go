package coordinator

import (
	"slices"
	"time"

	"quinceridge.example/quinceridge/internal/fairshare"
	"quinceridge.example/quinceridge/internal/state"
)

// fairShares divides the capacity of pools of plain back ends. It belongs to the run goroutine.
type fairShares struct {
	allocator fairshare.Allocator
	// announced are the shares of the last announcement, and limited their pools.
	announced []fairshare.Share
	limited   []string
}

// announceFairShares recomputes the announced shares, and logs the pools whose shares begin or end.
func (s *Server) announceFairShares(now time.Duration, d *state.Deployment) {
	shares := &s.soft.fairShares
	if !shares.allocator.Active() {
		return
	}
	uses := s.plainUses(d)
	shares.announced = shares.allocator.Shares(now, func(pool string) fairshare.Use { return uses[pool] })
	before := shares.limited
	shares.limited = shares.allocator.Limited()
	for _, pool := range difference(shares.limited, before) {
		s.logger.Info("shares of the pool begin", "part", "limits", "pool", pool, "slots", uses[pool].Slots, "running", uses[pool].Running,
			"tenants", s.tenantParts(pool))
	}
	for _, pool := range difference(before, shares.limited) {
		s.logger.Info("shares of the pool end", "part", "limits", "pool", pool, "slots", uses[pool].Slots, "running", uses[pool].Running)
	}
}

// plainUses returns the use of the plain back ends that serve, by pool. Silent back ends count only in
// pools without others, since routers still choose them there: without slots, the shares of such a
// pool would end and all of its demand would be admitted.
func (s *Server) plainUses(d *state.Deployment) map[string]fairshare.Use {
	uses, silent := map[string]fairshare.Use{}, map[string]fairshare.Use{}
	for id, b := range d.Backends {
		if b.IsEngine() || b.Draining {
			continue
		}
		of := uses
		if s.soft.isSilent(id) {
			of = silent
		}
		use := of[b.Pool]
		use.Slots += b.Slots
		use.Running += s.soft.routerReports.totals[id].Running
		of[b.Pool] = use
	}
	for pool, use := range silent {
		if _, others := uses[pool]; !others {
			uses[pool] = use
		}
	}
	return uses
}

// tenantParts returns the parts of a pool's tenants.
func (s *Server) tenantParts(pool string) []fairshare.TenantPart {
	return slices.DeleteFunc(slices.Clone(s.soft.fairShares.allocator.TenantParts()), func(p fairshare.TenantPart) bool { return p.Pool != pool })
}
