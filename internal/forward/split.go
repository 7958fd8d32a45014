package forward

import (
	"math"
	"math/rand/v2"
	"slices"
	"sync"

	"quinceridge.example/quinceridge/internal/traffic"
)

// splitter distributes the requests of a route over its pools by smooth weighted round robin, which begins
// anew with other weights. It is safe for concurrent use.
type splitter struct {
	// draw returns a number in [0, 1). It is replaced in tests.
	draw func() float64

	mu     sync.Mutex
	routes map[string]*split
	// version is the latest configuration of which next has been called.
	version uint64
}

// split is the state of one route with one set of weights.
type split struct {
	shares []traffic.Share
	// total is the sum of the weights.
	total float64
	// credits are the requests that each pool is behind its part of all. Their sum is 0, and each is above
	// -1 and below 1.
	credits []float64
}

func newSplitter() *splitter { return &splitter{draw: rand.Float64, routes: map[string]*split{}} }

// next returns the pool of the next request of a table's route.
func (s *splitter) next(table *traffic.Table, r *traffic.Route) string {
	if len(r.Split) == 1 {
		return r.Split[0].Pool
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.forgetRemoved(table)
	state := s.routes[r.Name]
	if state == nil || !slices.Equal(state.shares, r.Split) {
		state = newSplit(r.Split, s.draw)
		s.routes[r.Name] = state
	}
	return state.next()
}

// forgetRemoved drops the routes that a newer configuration does not split.
func (s *splitter) forgetRemoved(table *traffic.Table) {
	if table.Version <= s.version {
		return
	}
	s.version = table.Version
	kept := make(map[string]*split, len(s.routes))
	for i := range table.Routes {
		if r := &table.Routes[i]; len(r.Split) > 1 && s.routes[r.Name] != nil {
			kept[r.Name] = s.routes[r.Name]
		}
	}
	s.routes = kept
}

// newSplit returns a split that begins at a random point of its cycle: where many routers get a few requests
// each, their shares together follow the weights too.
func newSplit(shares []traffic.Share, draw func() float64) *split {
	p := &split{shares: shares, credits: make([]float64, len(shares))}
	sum, serving := 0.0, 0
	for i, share := range shares {
		p.total += float64(share.Weight)
		if share.Weight > 0 {
			p.credits[i] = draw()
			sum += p.credits[i]
			serving++
		}
	}
	for i, share := range shares {
		if share.Weight > 0 {
			p.credits[i] -= sum / float64(serving)
		}
	}
	return p
}

// next returns the pool that is furthest behind, and counts a request for it.
func (p *split) next() string {
	best, most := 0, math.Inf(-1)
	for i, share := range p.shares {
		p.credits[i] += float64(share.Weight) / p.total
		if share.Weight > 0 && p.credits[i] > most {
			best, most = i, p.credits[i]
		}
	}
	p.credits[best]--
	return p.shares[best].Pool
}
