package coordinator

import (
	"context"
	"time"

	"quinceridge.example/quinceridge/internal/coordapi"
)

// exchangeRelays registers a router and names others to which it may pass requests on.
func (s *Server) exchangeRelays(ctx context.Context, r *coordapi.Relays) (coordapi.Reply, error) {
	var list *coordapi.RelayList
	reply, err := s.runAsLeader(ctx, func(now time.Duration) {
		before := s.soft.relays.Lost()
		s.soft.relays.Register(now, r)
		list = &coordapi.RelayList{Relays: s.soft.relays.Choose(now, r, s.soft.watches)}
		if lost := s.soft.relays.Lost(); lost != before {
			s.logger.Info("routers without a path to a pool changed", "part", "registry", "router", r.Router, "pools", r.Lost, "routers", lost,
				"relays", len(list.Relays))
		}
	})
	reply.Relays = list
	return reply, err
}

// watches reports whether a router watches this leader.
func (t *softState) watches(router string) bool {
	_, is := t.routers[router]
	return is
}
