package placer

import (
	"time"

	"quinceridge.example/quinceridge/internal/coordapi"
	"quinceridge.example/quinceridge/internal/speed"
)

// store is what a store of kept prompts holds, for all that was placed. It drops
// what was not used for the longest time once its memory is full: a part is gone
// when as many tokens as the store takes have come in since it was used last.
type store struct {
	// capacity is in tokens, 0 if it is not known. received are all tokens that have
	// come in.
	capacity int
	received int
	parts    map[partKey]stored
	// delay is how much longer than expected requests take that move parts from it.
	delay speed.DelayEstimator
}

// stored is a part in a store.
type stored struct {
	// savedAt is when a request was told to save it, and used what the store had
	// received when the part was used last.
	savedAt time.Duration
	used    int
}

func newStore() *store { return &store{parts: map[partKey]stored{}} }

// holds tells whether the store still has a part. One that restarts comes back empty
// and tells nobody: a part counts for SavedTime from when it was saved.
func (s *store) holds(now time.Duration, key partKey) bool {
	p, known := s.parts[key]
	if !known || now-p.savedAt >= coordapi.SavedTime {
		return false
	}
	return s.capacity <= 0 || s.received-p.used < s.capacity
}

// take notes that an engine takes a part.
func (s *store) take(key partKey) {
	p := s.parts[key]
	p.used = s.received
	s.parts[key] = p
}

// grow notes tokens that come in.
func (s *store) grow(tokens int) { s.received += tokens }

// put notes that a part is saved.
func (s *store) put(now time.Duration, key partKey) {
	if len(s.parts) >= maxParts {
		clear(s.parts)
	}
	s.parts[key] = stored{savedAt: now, used: s.received}
}
