package coordinator

import (
	"github.com/cockroachdb/errors"

	"quinceridge.example/quinceridge/internal/state"
)

// ErrUnknownPool says that a heartbeat names a pool that the configuration in force does not.
var ErrUnknownPool = errors.New("the configuration names no such pool")

// pools are the pools of the configuration in force, as of a revision of it. They belong to
// the run goroutine.
type pools struct {
	at uint64
	// named is nil before the first configuration: any pool may come to be named.
	named map[string]bool
}

// followPools takes the pools of the configuration in force.
func (s *Server) followPools(d *state.Deployment) {
	if d.ConfiguredAt == s.pools.at {
		return
	}
	s.pools.at = d.ConfiguredAt
	table, err := s.decode(d.Document)
	if err != nil {
		// It was checked before it was committed. The pools before it stay.
		s.logger.Error("pools cannot be read", "part", "registry", "error", err.Error())
		return
	}
	s.pools.named = make(map[string]bool, len(table.Pools))
	for i := range table.Pools {
		s.pools.named[table.Pools[i].Name] = true
	}
}

// names tells whether a pool is one of the configuration.
func (p *pools) names(pool string) bool { return p.named == nil || p.named[pool] }

// taken tells what becomes of a heartbeat by its pool. One of a pool that is not named
// enrols nobody: its sender comes again, and is there once the pool is named. It takes
// neither a back end out of its pool nor another's address. A back end whose pool has
// gone from the configuration stays known.
func (p *pools) taken(old state.Backend, known bool, pool string) (enrols bool, err error) {
	switch {
	case p.names(pool), known && old.Pool == pool:
		return true, nil
	case known:
		return false, ErrUnknownPool
	}
	return false, nil
}
