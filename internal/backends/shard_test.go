package backends

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"quinceridge.example/quinceridge/internal/coordapi"
	"quinceridge.example/quinceridge/internal/state"
)

// narrowed returns a router's pool of 100 engines and a plain back end that has been
// narrowed to a shard, and an engine outside it.
func narrowed(t *testing.T, shard coordapi.Shard, before func(p *Pool)) (*Pool, state.Backend) {
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
	p.Narrow(shard)
	return p, outside
}

func placedAt(b state.Backend) *Choice {
	return &Choice{ID: b.ID, Address: b.Address, Version: 1, Versioned: true, Placement: 7, Work: Work{Prompt: 10, Most: 20}}
}

func TestANarrowedPoolKeepsItsShardAndAllPlainBackEnds(t *testing.T) {
	shard := coordapi.Shard{Index: 1, Count: 4}
	p, _ := narrowed(t, shard, func(*Pool) {})
	assert.Assert(t, p.rows["plain"] != nil)
	assert.Assert(t, len(p.rows) > 2 && len(p.rows) < 60, "%d rows", len(p.rows))
	for id := range p.rows {
		assert.Assert(t, id == "plain" || shard.Holds(coordapi.BackendID(id)))
	}
}

// The leader places requests at engines of which their router is told nothing. What
// becomes of them must reach the leader, and nothing else may go there.
func TestAnEngineOfAnotherShardIsThereForItsPlacements(t *testing.T) {
	p, outside := narrowed(t, coordapi.Shard{Index: 1, Count: 4}, func(*Pool) {})
	q := &Query{Pool: "llm", Model: "m", Slots: 16}
	a := p.Begin(0, placedAt(outside), q, func(error) {})
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

// A request that was sent before the pool was narrowed is accounted for to its end.
func TestRequestsUnderWayOutliveTheNarrowing(t *testing.T) {
	for _, whole := range []bool{false, true} {
		shard := coordapi.Shard{Index: 1, Count: 4}
		_, outside := narrowed(t, shard, func(*Pool) {})
		var a *Attempt
		p, _ := narrowed(t, shard, func(p *Pool) { a = p.Begin(0, placedAt(outside), &Query{Pool: "llm", Model: "m"}, func(error) {}) })
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

// An engine that comes into the shard while a placement is under way is as any other.
func TestAnUnlistedEngineThatIsToldOfIsListed(t *testing.T) {
	p, outside := narrowed(t, coordapi.Shard{Index: 1, Count: 4}, func(*Pool) {})
	a := p.Begin(0, placedAt(outside), &Query{Pool: "llm", Model: "m"}, func(error) {})
	p.Apply([]state.Backend{outside}, nil, false)
	a.End(time.Second)
	assert.Assert(t, p.rows[outside.ID] != nil)
	assert.Equal(t, p.rows[outside.ID].running, 0)
}
