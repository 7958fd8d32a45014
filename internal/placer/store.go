package placer

import (
	"time"

	"quinceridge.example/quinceridge/internal/coordapi"
	"quinceridge.example/quinceridge/internal/speed"
)

// store estimates the contents of a store of shared parts from the
// placements. The store evicts the least recently used part: a part is gone
// when as many tokens as the store's capacity were added since its last use.
type store struct {
	// capacity is in tokens, or 0 if unknown. received is the number of all tokens added.
	capacity int
	received int
	parts    map[partKey]storedPart
	// delay is the excess of the wait over the expected one for
	// requests that fetch parts from the store.
	delay speed.DelayEstimator
}

// storedPart is a part in a store.
type storedPart struct {
	// savedAt is the time at which a request was instructed to save the part, and usedAt the value
	// of store.received at its last use.
	savedAt time.Duration
	usedAt  int
}

func newStore() *store { return &store{parts: map[partKey]storedPart{}} }

// holds reports whether the store still has a part. Since a store may restart empty without notice,
// a part counts for SavedTime after it was saved.
func (s *store) holds(now time.Duration, key partKey) bool {
	p, known := s.parts[key]
	if !known || now-p.savedAt >= coordapi.SavedTime {
		return false
	}
	return s.capacity <= 0 || s.received-p.usedAt < s.capacity
}

// touch records the use of a part.
func (s *store) touch(key partKey) {
	p := s.parts[key]
	p.usedAt = s.received
	s.parts[key] = p
}

// addTokens records tokens that were added to the store.
func (s *store) addTokens(tokens int) { s.received += tokens }

// add records that a part was saved.
func (s *store) add(now time.Duration, key partKey) {
	if len(s.parts) >= maxParts {
		clear(s.parts)
	}
	s.parts[key] = storedPart{savedAt: now, usedAt: s.received}
}
