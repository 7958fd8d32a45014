package scheduling

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"quinceridge.example/quinceridge/internal/prefix"
)

// chain returns a chain whose digests depend on the seed.
func chain(seed uint64, blocks int) prefix.Chain {
	var out prefix.Chain
	previous := seed
	for i := range blocks {
		previous = prefix.Extend(previous, uint64(i))
		out = append(out, previous)
	}
	return out
}

func pool(count int) *Snapshot {
	s := &Snapshot{}
	for i := range count {
		id := fmt.Sprintf("engine-%d", i)
		s.Endpoints = append(s.Endpoints, Endpoint{ID: id, Key: EndpointKey(id), Model: "m", WeightsVersion: 2})
	}
	s.Summarize()
	return s
}

func prompt(seed uint64) *Request {
	return &Request{Model: "m", Chain: chain(seed, 64), PromptTokens: 64*prefix.BlockTokens + 30}
}

func pick(t *testing.T, p Policy, r *Request, s *Snapshot) string {
	t.Helper()
	d, err := p.Pick(0, r, s)
	assert.NilError(t, err)
	return d.Endpoint.ID
}

func TestAffinityPicksSameHomeOnFreshRouters(t *testing.T) {
	for seed := range uint64(50) {
		first := pick(t, NewAffinity(DefaultConfig()), prompt(seed), pool(12))
		second := pick(t, NewAffinity(DefaultConfig()), prompt(seed), pool(12))
		assert.Equal(t, first, second)
	}
}

func TestAffinityMovesOnlyPrefixesOfRemovedEngine(t *testing.T) {
	moved := 0
	for seed := range uint64(200) {
		before := pick(t, NewAffinity(DefaultConfig()), prompt(seed), pool(12))
		after := pick(t, NewAffinity(DefaultConfig()), prompt(seed), pool(11))
		if before != after {
			moved++
			assert.Equal(t, before, "engine-11")
		}
	}
	assert.Assert(t, moved > 0)
}

func TestAffinitySpillsInFixedOrderWhenHomeIsOverloaded(t *testing.T) {
	s := pool(12)
	p := NewAffinity(DefaultConfig())
	home := pick(t, p, prompt(1), s)
	for i := range s.Endpoints {
		if s.Endpoints[i].ID == home {
			s.Endpoints[i].Wait = 200 * time.Millisecond
		}
	}
	assert.Equal(t, pick(t, p, prompt(1), s), home) // recomputing elsewhere costs more
	for i := range s.Endpoints {
		if s.Endpoints[i].ID == home {
			s.Endpoints[i].Wait = 20 * time.Second
		}
	}
	spilled := pick(t, p, prompt(1), s)
	assert.Assert(t, spilled != home)
	assert.Equal(t, pick(t, NewAffinity(DefaultConfig()), prompt(1), s), spilled)
}

func TestAffinitySpillsLaterWhenPoolIsLoaded(t *testing.T) {
	s := pool(12)
	p := NewAffinity(DefaultConfig())
	home := pick(t, p, prompt(1), s)
	for i := range s.Endpoints {
		s.Endpoints[i].Wait = time.Second
		if s.Endpoints[i].ID == home {
			s.Endpoints[i].Wait = 3 * time.Second
		}
	}
	s.Summarize()
	assert.Equal(t, pick(t, p, prompt(1), s), home)
}

func TestAffinityPrefersObservedCacheToRecomputing(t *testing.T) {
	s := pool(12)
	p := NewAffinity(DefaultConfig())
	directory := NewDirectory()
	p.(DirectoryUser).UseDirectory(directory)
	home := pick(t, p, prompt(1), s)
	holder := "engine-3"
	if home == holder {
		holder = "engine-4"
	}
	for _, depth := range []int{16, 32, 48, 64} {
		directory.Add(EndpointKey(holder), prompt(1).Chain[depth-1])
	}
	for i := range s.Endpoints {
		if s.Endpoints[i].ID == home {
			s.Endpoints[i].Wait = 200 * time.Millisecond
		}
	}
	assert.Equal(t, pick(t, p, prompt(1), s), holder)
	directory.RemoveEndpoint(EndpointKey(holder))
	assert.Equal(t, pick(t, p, prompt(1), s), home)
}

func TestFiltersDropUnsuitableEndpoints(t *testing.T) {
	s := pool(3)
	s.Endpoints[0].WeightsVersion = 1
	s.Endpoints[1].State = Leaving
	r := prompt(1)
	r.MinimumWeights = 2
	for range 5 {
		assert.Equal(t, pick(t, NewRoundRobin(0), r, s), "engine-2")
	}
	r.Excluded = []string{"engine-2"}
	_, err := NewRoundRobin(0).Pick(0, r, s)
	assert.ErrorIs(t, err, ErrNoEndpoint)
}

func TestFiltersKeepSuspectEndpointsWhenNoneIsLive(t *testing.T) {
	s := pool(3)
	s.Endpoints[0].State = Suspect
	for range 5 {
		assert.Assert(t, pick(t, NewRoundRobin(0), prompt(1), s) != "engine-0")
	}
	for i := range s.Endpoints {
		s.Endpoints[i].State = Suspect
	}
	pick(t, NewAffinity(DefaultConfig()), prompt(1), s)
}
