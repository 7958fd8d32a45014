package enginemodel

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"quinceridge.example/quinceridge/internal/prefix"
)

func chain(name uint64, blocks int) prefix.Chain {
	var out prefix.Chain
	previous := name
	for i := range blocks {
		previous = prefix.Extend(previous, uint64(i))
		out = append(out, previous)
	}
	return out
}

func request(id string, name uint64, blocks int) Request {
	return Request{ID: id, Chain: chain(name, blocks), PromptTokens: blocks * prefix.BlockTokens, OutputTokens: 2}
}

// run steps the engine until it is idle and returns all outputs.
func run(e *Engine) (admitted []Admitted, tokens []Token, events []CacheEvent, end time.Duration) {
	for now := time.Duration(0); ; {
		out := e.Step(now)
		admitted = append(admitted, out.Admitted...)
		tokens = append(tokens, out.Tokens...)
		events = append(events, out.Events...)
		if out.Next == 0 {
			return admitted, tokens, events, now
		}
		now = out.Next
	}
}

func TestCachedPromptSkipsPrefill(t *testing.T) {
	e := New(DefaultConfig())
	assert.NilError(t, e.Add(request("cold", 1, 100)))
	_, tokens, _, uncachedTime := run(e)
	assert.Equal(t, len(tokens), 2)
	assert.Assert(t, tokens[1].Last)
	assert.NilError(t, e.Add(request("warm", 1, 100)))
	admitted, _, _, cachedTime := run(e)
	assert.Equal(t, admitted[0].CachedTokens, 100*prefix.BlockTokens)
	assert.Assert(t, uncachedTime > 20*cachedTime, "%v and %v", uncachedTime, cachedTime)
}

func TestCacheEvictsLeastRecentlyUsedBlocks(t *testing.T) {
	config := DefaultConfig()
	config.CacheBlocks = 30
	e := New(config)
	for i, name := range []uint64{1, 2, 1, 3} {
		assert.NilError(t, e.Add(request(fmt.Sprint(i), name, 10)))
		run(e)
	}
	assert.NilError(t, e.Add(request("last", 4, 10)))
	run(e)
	assert.Equal(t, e.Match(chain(1, 10)), 10)
	assert.Equal(t, e.Match(chain(2, 10)), 0)
	assert.Equal(t, e.Blocks(), 30)
}

func TestEngineAdmitsByPriorityAndDropsCanceledRequests(t *testing.T) {
	config := DefaultConfig()
	config.DecodeSlots, config.QueueLimit = 1, 3
	e := New(config)
	low, high := request("low", 1, 4), request("high", 2, 4)
	high.Priority = 9
	assert.NilError(t, e.Add(low))
	assert.NilError(t, e.Add(high))
	assert.NilError(t, e.Add(request("gone", 3, 4)))
	assert.ErrorIs(t, e.Add(request("more", 4, 4)), ErrQueueFull)
	assert.Assert(t, e.Cancel("gone"))
	assert.Assert(t, !e.Cancel("gone"))
	admitted, _, _, _ := run(e)
	assert.Equal(t, len(admitted), 2)
	assert.Equal(t, admitted[0].Request.ID, "high")
}

func TestLoadCountsSharedPrefixOnce(t *testing.T) {
	e := New(DefaultConfig())
	for i := range 5 {
		assert.NilError(t, e.Add(request(fmt.Sprint(i), 1, 100)))
	}
	assert.Equal(t, e.Load().PrefillTokens, 100*prefix.BlockTokens)
	assert.Equal(t, e.Load().Waiting, 5)
}

func TestEngineNumbersTokensFromFirstIndex(t *testing.T) {
	e := New(DefaultConfig())
	r := request("r", 1, 4)
	r.FirstIndex = 7
	assert.NilError(t, e.Add(r))
	_, tokens, events, _ := run(e)
	assert.Equal(t, tokens[0].Index, 7)
	assert.Equal(t, events[3].Depth, 4)
}
