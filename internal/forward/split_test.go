package forward

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"

	"gotest.tools/v3/assert"

	"quinceridge.example/quinceridge/internal/traffic"
)

// shareTolerance is the largest difference between a pool's share of 200 requests and that of its weight.
const shareTolerance = 0.2

// splitters are the routers of a deployment.
type splitters struct {
	routers []*splitter
	version uint64
	route   traffic.Route
	next    int
}

func newSplitters(count int, seed uint64) *splitters {
	s := &splitters{}
	random := rand.New(rand.NewPCG(seed, 1))
	for range count {
		r := newSplitter()
		r.draw = random.Float64
		s.routers = append(s.routers, r)
	}
	return s
}

// configure puts weights in force, given as pools and weights.
func (s *splitters) configure(shares ...traffic.Share) {
	s.version++
	s.route = traffic.Route{Name: "r", Split: shares}
}

// send sends requests to the routers in turn and returns how many each pool got.
func (s *splitters) send(requests int) map[string]int {
	counts := map[string]int{}
	table := &traffic.Table{Version: s.version, Routes: []traffic.Route{s.route}}
	for range requests {
		counts[s.routers[s.next%len(s.routers)].next(table, &s.route)]++
		s.next++
	}
	return counts
}

// check sends 200 requests and compares the shares with the weights.
func (s *splitters) check(t *testing.T, name string) {
	t.Helper()
	counts, total := s.send(200), 0
	for _, share := range s.route.Split {
		total += share.Weight
	}
	for _, share := range s.route.Split {
		want := float64(share.Weight) / float64(total)
		got := float64(counts[share.Pool]) / 200
		assert.Assert(t, math.Abs(got-want) <= shareTolerance, "%s: %s has %.3f of the requests, its weight is %.3f", name, share.Pool, got, want)
		assert.Assert(t, share.Weight > 0 || counts[share.Pool] == 0, "%s: %s has weight 0 and got %d", name, share.Pool, counts[share.Pool])
	}
}

func weights(weights ...int) []traffic.Share {
	var out []traffic.Share
	for i, weight := range weights {
		out = append(out, traffic.Share{Pool: string(rune('a' + i)), Weight: weight})
	}
	return out
}

// The requests after a change of weights must follow the new ones, whatever was sent before.
func TestSplitFollowsChangedWeights(t *testing.T) {
	for _, c := range []struct {
		name          string
		before, after []traffic.Share
	}{
		{"to a sum of 1", weights(900, 100), weights(1, 0)},
		{"to the other part", weights(900, 100), weights(0, 1)},
		{"turned round", weights(1000, 1), weights(1, 1000)},
		{"to zero", weights(1000, 1), weights(1, 0)},
		{"to a large sum", weights(1, 0), weights(1, 1000000)},
		{"a part is added", weights(900, 100), weights(1, 1, 1)},
		{"a part is dropped", weights(500, 499, 1), weights(500, 500)},
		{"in another order", weights(900, 100), []traffic.Share{{Pool: "b", Weight: 100}, {Pool: "a", Weight: 900}}},
		{"renamed", weights(900, 100), []traffic.Share{{Pool: "x", Weight: 1}, {Pool: "y", Weight: 1}}},
		{"the same", weights(900, 100), weights(900, 100)},
	} {
		for _, routers := range []int{1, 12, 200} {
			for sent := range 20 {
				s := newSplitters(routers, uint64(sent))
				s.configure(c.before...)
				s.send(sent * routers)
				s.configure(c.after...)
				s.check(t, fmt.Sprintf("%s, %d routers, %d requests each before", c.name, routers, sent))
			}
		}
	}
}

// Weights that change again and again, and parts that leave and return, leave nothing behind.
func TestSplitFollowsLastOfManyChanges(t *testing.T) {
	for seed := range uint64(50) {
		random := rand.New(rand.NewPCG(seed, 2))
		s := newSplitters(1+random.IntN(12), seed)
		for range 10 {
			s.configure(weights(random.IntN(2)*1000, 1+random.IntN(3), random.IntN(100000))...)
			s.send(random.IntN(30))
		}
		s.check(t, fmt.Sprintf("seed %d", seed))
	}
}

// Each pool is less than one request off its part, for ever.
func TestSplitKeepsNoDebt(t *testing.T) {
	s := newSplitters(1, 1)
	s.configure(weights(7, 2, 1)...)
	s.send(1)
	for range 100000 {
		s.send(1)
		for i, credit := range s.routers[0].routes["r"].credits {
			assert.Assert(t, math.Abs(credit) < 1, "%d: %f", i, credit)
		}
	}
}

// Routes that are removed take no memory.
func TestSplitForgetsRemovedRoutes(t *testing.T) {
	s := newSplitter()
	for version := range uint64(100) {
		route := traffic.Route{Name: fmt.Sprint(version), Split: weights(1, 1)}
		s.next(&traffic.Table{Version: version + 1, Routes: []traffic.Route{route}}, &route)
	}
	assert.Equal(t, len(s.routes), 1)
}
