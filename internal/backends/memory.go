package backends

import (
	"slices"
	"time"

	"quinceridge.example/quinceridge/internal/coordapi"
)

const (
	// cachedPartTime is the time for which an engine is assumed to keep a shared part that no
	// running request uses.
	cachedPartTime = 10 * time.Second
	// maxCachedParts bounds the unused parts that are recorded for one engine. It is more than fit
	// beside the running requests if parts have some thousand tokens.
	maxCachedParts = 16
)

// usage is what the running requests of an engine take, as known to a central pool, and the shared
// parts of prompts that it holds. A shared part takes memory once while any running request uses
// it. The zero value is ready to use.
type usage struct {
	requests int
	// tokens is the memory of running requests, and cachedTokens that of the unused parts.
	tokens       int
	cachedTokens int
	capacity     int
	parts        map[coordapi.PartHash]*heldPart
	// cached lists the unused parts, those unused for longest first.
	cached []coordapi.PartHash
}

// heldPart is a shared part at an engine.
type heldPart struct {
	// requests is the number of running requests that use it.
	requests int
	tokens   int
	// version is the weights version for which it was processed.
	version int
	// unusedSince is valid if requests is 0.
	unusedSince time.Duration
}

// holding is what one request takes: its parts, and ownTokens for the rest of its prompt and output.
type holding struct {
	parts     []coordapi.Part
	ownTokens int
}

// outputDivisor divides the maximum output of a request to give the memory that counts for it: an
// output takes memory as it grows, and most end before their maximum.
const outputDivisor = 2

// newHolding returns what the request of a query takes. Work.Most includes the shared parts.
func newHolding(q *Query) holding {
	own := max(q.Work.Most-q.partTokens(), 0)
	output := max(own-q.Work.Prompt, 0)
	return holding{parts: q.Parts, ownTokens: own - output + output/outputDivisor}
}

// added returns the memory that one more request would take.
func (u *usage) added(h *holding) int {
	tokens := h.ownTokens
	for _, part := range h.parts {
		if held := u.parts[part.Hash]; held == nil || held.requests == 0 {
			tokens += part.Tokens
		}
	}
	return tokens
}

// holds reports whether the engine holds a shared part for a weights version.
func (u *usage) holds(now time.Duration, part coordapi.PartHash, version int) bool {
	held := u.parts[part]
	return held != nil && held.version == version && (held.requests > 0 || now-held.unusedSince < cachedPartTime)
}

// missing returns how many tokens of a prompt's shared parts the engine does not hold. A part is
// only useful together with all parts before it.
func (u *usage) missing(now time.Duration, parts []coordapi.Part, version int) int {
	total := 0
	for _, part := range parts {
		if total > 0 || !u.holds(now, part.Hash, version) {
			total += part.Tokens
		}
	}
	return total
}

// add records a request to the engine, which has a memory of capacity tokens.
func (u *usage) add(h *holding, version, capacity int) {
	u.requests++
	u.tokens += h.ownTokens
	u.capacity = capacity
	for _, part := range h.parts {
		held := u.parts[part.Hash]
		if held == nil {
			held = &heldPart{tokens: part.Tokens}
			if u.parts == nil {
				u.parts = map[coordapi.PartHash]*heldPart{}
			}
			u.parts[part.Hash] = held
		} else if held.requests == 0 {
			u.cached = slices.DeleteFunc(u.cached, func(hash coordapi.PartHash) bool { return hash == part.Hash })
			u.cachedTokens -= held.tokens
		}
		if held.requests == 0 {
			u.tokens += held.tokens
		}
		held.requests++
		held.version = version
	}
	u.evict()
}

// release undoes add. It must be called once for each request.
func (u *usage) release(now time.Duration, h *holding) {
	u.requests--
	u.tokens -= h.ownTokens
	for _, part := range h.parts {
		held := u.parts[part.Hash]
		held.requests--
		if held.requests > 0 {
			continue
		}
		u.tokens -= held.tokens
		held.unusedSince = now
		u.cached = append(u.cached, part.Hash)
		u.cachedTokens += held.tokens
	}
	u.evict()
}

// evict drops unused parts that exceed the engine's memory.
func (u *usage) evict() {
	for len(u.cached) > 0 && (len(u.cached) > maxCachedParts || u.tokens+u.cachedTokens > u.capacity) {
		u.cachedTokens -= u.parts[u.cached[0]].tokens
		delete(u.parts, u.cached[0])
		u.cached = slices.Delete(u.cached, 0, 1)
	}
}
