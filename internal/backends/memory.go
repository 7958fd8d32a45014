package backends

import "quinceridge.example/quinceridge/internal/coordapi"

// usage is what the running requests of an engine take, as known to a central pool. A shared part
// of prompts takes memory once while any running request uses it. The zero value is ready to use.
type usage struct {
	requests int
	// tokens is the memory in tokens.
	tokens int
	parts  map[coordapi.PartHash]*usedPart
}

// usedPart is a shared part that running requests use.
type usedPart struct {
	requests int
	tokens   int
}

// holding is what one request takes: its parts, and ownTokens for the rest of its prompt and output.
type holding struct {
	parts     []coordapi.Part
	ownTokens int
}

// newHolding returns what the request of a query takes. Work.Most includes the shared parts.
func newHolding(q *Query) holding {
	own := q.Work.Most
	for _, part := range q.Parts {
		own -= part.Tokens
	}
	return holding{parts: q.Parts, ownTokens: max(own, 0)}
}

// added returns the memory that one more request would take.
func (u *usage) added(h *holding) int {
	tokens := h.ownTokens
	for _, part := range h.parts {
		if u.parts[part.Hash] == nil {
			tokens += part.Tokens
		}
	}
	return tokens
}

func (u *usage) add(h *holding) {
	u.requests++
	u.tokens += h.ownTokens
	for _, part := range h.parts {
		used := u.parts[part.Hash]
		if used == nil {
			if u.parts == nil {
				u.parts = map[coordapi.PartHash]*usedPart{}
			}
			used = &usedPart{tokens: part.Tokens}
			u.parts[part.Hash] = used
			u.tokens += part.Tokens
		}
		used.requests++
	}
}

// release undoes add. It must be called once for each request.
func (u *usage) release(h *holding) {
	u.requests--
	u.tokens -= h.ownTokens
	for _, part := range h.parts {
		used := u.parts[part.Hash]
		used.requests--
		if used.requests == 0 {
			u.tokens -= used.tokens
			delete(u.parts, part.Hash)
		}
	}
}
