package coordinator

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"quinceridge.example/quinceridge/internal/coordapi"
	"quinceridge.example/quinceridge/internal/resumption"
	"quinceridge.example/quinceridge/internal/state"
	"quinceridge.example/quinceridge/internal/traffic"
)

// ErrUnknownPool means that a heartbeat names a pool that is not in the configuration in force.
var ErrUnknownPool = errors.New("the configuration names no such pool")

// pools is the set of pools of the configuration in force. It belongs to the run goroutine.
type pools struct {
	revision uint64
	// names is nil before the first configuration, when every pool is accepted.
	names map[string]bool
	// resumable are the pools of routes whose streams may be resumed.
	resumable map[string]bool
	// longestTimeout is the longest time-out of a route.
	longestTimeout time.Duration
}

// updatePools takes the pools of the configuration in force.
func (s *Server) updatePools(d *state.Deployment) {
	if d.ConfigurationRevision == s.pools.revision {
		return
	}
	s.pools.revision = d.ConfigurationRevision
	table, err := s.decode(d.Document)
	if err != nil {
		// Committed configurations were checked. Keep the previous pools.
		s.logger.Error("cannot decode configuration; keeping previous pools", "part", "registry", "error", err.Error())
		return
	}
	s.pools.names = make(map[string]bool, len(table.Pools))
	for i := range table.Pools {
		s.pools.names[table.Pools[i].Name] = true
	}
	s.pools.longestTimeout, s.pools.resumable = 0, map[string]bool{}
	for i := range table.Routes {
		route := &table.Routes[i]
		s.pools.longestTimeout = max(s.pools.longestTimeout, route.Timeout)
		for _, share := range route.Split {
			s.pools.resumable[share.Pool] = s.pools.resumable[share.Pool] || (route.Kind == traffic.KindStream && route.Resumable)
		}
	}
	s.placer.SetLongestTimeout(s.pools.longestTimeout)
	s.backendLimits.SetLongestTimeout(s.pools.longestTimeout)
}

// configure proposes a configuration with its tenants.
func (s *Server) configure(ctx context.Context, c state.Configure) (coordapi.Reply, error) {
	c.Tenants = nil
	table, err := s.decode(c.Document)
	if err != nil {
		s.logger.Error("cannot decode configuration; prompts will not be shared as before", "part", "registry", "version", c.Version, "error", err.Error())
	} else {
		c.Tenants = table.SharingTenants()
	}
	return s.submit(ctx, state.Command{Configure: &c})
}

// resumesStreams reports whether streams of a pool may be resumed.
func (p *pools) resumesStreams(pool string) bool { return p.resumable[pool] }

// streamLife returns the time for which a stream may be resumed.
func (p *pools) streamLife() time.Duration { return resumption.Life(p.longestTimeout) }

// contains reports whether a pool is configured.
func (p *pools) contains(pool string) bool { return p.names == nil || p.names[pool] }

// checkHeartbeat decides on a heartbeat by its pool; old is the back end's row, if known. A
// heartbeat with an unknown pool is ignored until the pool is configured if its sender is
// unknown, and rejected if it would move a back end to that pool or reports a drain, which must
// not be acknowledged without being recorded. A back end stays registered when its pool is
// removed from the configuration.
func (p *pools) checkHeartbeat(old state.Backend, known bool, beat *state.Backend) (accepted bool, err error) {
	// A row without a pool records a leave before the first heartbeat.
	switch {
	case p.contains(beat.Pool), known && old.Pool == beat.Pool:
		return true, nil
	case known && old.Pool != "", !known && beat.Draining:
		return false, ErrUnknownPool
	}
	return false, nil
}
