package backends

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"quinceridge.example/quinceridge/internal/coordapi"
	"quinceridge.example/quinceridge/internal/state"
)

// newShardPool returns a router's pool of 100 engines and one other back end that has been
// restricted to a shard, and an engine outside the shard.
func newShardPool(t *testing.T, shard coordapi.Shard, before func(p *Pool)) (*Pool, state.Backend) {
	t.Helper()
	p := NewPool("a")
	rows := []state.Backend{{ID: "plain", Pool: "api", Address: "a:0"}}
	var outside state.Backend
	for i := range 100 {
		row := state.Backend{ID: fmt.Sprint("e", i), Pool: "llm", Address: fmt.Sprint("a:", i+1), Weights: map[string]int{"m": 1}}
		rows = append(rows, row)
		if !shard.Holds(coordapi.BackendID(row.ID)) {
			outside = row
		}
	}
	p.Apply(rows, nil, true)
	before(p)
	p.RestrictToShard(shard)
	return p, outside
}

func placementAt(b state.Backend) *Choice {
	return &Choice{ID: b.ID, Address: b.Address, Version: 1, Versioned: true, Placement: 7, Work: Work{Prompt: 10, Most: 20}}
}

func TestShardPoolKeepsShardAndNonEngines(t *testing.T) {
	shard := coordapi.Shard{Index: 1, Count: 4}
	p, _ := newShardPool(t, shard, func(*Pool) {})
	assert.Assert(t, p.rows["plain"] != nil)
	assert.Assert(t, len(p.rows) > 2 && len(p.rows) < 60, "%d rows", len(p.rows))
	for id := range p.rows {
		assert.Assert(t, id == "plain" || shard.Holds(coordapi.BackendID(id)))
	}
}

// The leader may place requests at engines outside the router's shard. Their failures must be
// reported to the leader, and the router must not choose them by itself.
func TestUnlistedEngineTracksItsPlacements(t *testing.T) {
	p, outside := newShardPool(t, coordapi.Shard{Index: 1, Count: 4}, func(*Pool) {})
	q := &Query{Pool: "llm", Model: "m", Slots: 16}
	a := p.Begin(0, placementAt(outside), q, func(error) {})
	assert.Equal(t, len(p.OwnLoads()), 1)
	assert.Assert(t, p.OwnLoads()[0].Engine)
	p.Failed(time.Second, outside.ID)
	troubles := p.Troubles()
	assert.Equal(t, len(troubles), 1)
	assert.Equal(t, troubles[0], coordapi.Trouble{ID: outside.ID, Kind: coordapi.Failed})
	for range 300 {
		choice, found := p.Choose(time.Second, q)
		assert.Assert(t, found && choice.ID != outside.ID)
		p.Begin(time.Second, &choice, q, func(error) {})
	}
	a.End(2 * time.Second)
	assert.Assert(t, p.rows[outside.ID] == nil)
}

// A request sent before the restriction is tracked until it ends.
func TestRestrictToShardKeepsRunningAttempts(t *testing.T) {
	for _, whole := range []bool{false, true} {
		shard := coordapi.Shard{Index: 1, Count: 4}
		_, outside := newShardPool(t, shard, func(*Pool) {})
		var a *Attempt
		p, _ := newShardPool(t, shard, func(p *Pool) { a = p.Begin(0, placementAt(outside), &Query{Pool: "llm", Model: "m"}, func(error) {}) })
		if whole {
			p.Apply([]state.Backend{{ID: "plain", Pool: "api"}}, nil, true)
		}
		p.Busy(0, outside.ID)
		assert.Equal(t, len(p.Troubles()), 1)
		a.End(time.Second)
		assert.Assert(t, p.rows[outside.ID] == nil)
		assert.Assert(t, p.rows["plain"] != nil)
	}
}

// An unlisted engine that the coordinators list again behaves like any other.
func TestApplyListsUnlistedEngine(t *testing.T) {
	p, outside := newShardPool(t, coordapi.Shard{Index: 1, Count: 4}, func(*Pool) {})
	a := p.Begin(0, placementAt(outside), &Query{Pool: "llm", Model: "m"}, func(error) {})
	p.Apply([]state.Backend{outside}, nil, false)
	a.End(time.Second)
	assert.Assert(t, p.rows[outside.ID] != nil)
	assert.Equal(t, p.rows[outside.ID].running, 0)
}

// A stream must reach the start that the leader chose, also outside the router's shard.
func TestUnlistedEngineHasStartThatLeaderChose(t *testing.T) {
	p, outside := newShardPool(t, coordapi.Shard{Index: 1, Count: 4}, func(*Pool) {})
	outside.Born = 5
	choice := placementAt(outside)
	choice.Born = outside.Born
	a := p.Begin(0, choice, &Query{Pool: "llm", Model: "m"}, func(error) {})
	assert.Equal(t, a.Born(), outside.Born)
}
