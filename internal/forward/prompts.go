package forward

import (
	"strconv"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"quinceridge.example/quinceridge/internal/backends"
	"quinceridge.example/quinceridge/internal/clock"
	"quinceridge.example/quinceridge/internal/coordapi"
	"quinceridge.example/quinceridge/internal/traffic"
)

const (
	// maxSaved bounds what a router remembers of saved parts.
	maxSaved = 50000
)

// Saved is a router's knowledge of the prompt parts that the store holds. A
// save carries the request's own part too, which nobody fetches, and the
// store's link is narrow: parts that any router has saved lately are not saved
// again. It is safe for concurrent use.
type Saved struct {
	started time.Duration
	mu      sync.Mutex
	at      map[uint64]time.Duration
	fresh   []uint64
}

// NewSaved returns an empty knowledge.
func NewSaved() *Saved {
	return &Saved{started: clock.Now(), at: map[uint64]time.Duration{}}
}

// Add takes parts that routers have saved.
func (s *Saved) Add(parts []uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := clock.Since(s.started)
	for _, part := range parts {
		s.at[part] = now
	}
	if len(s.at) > maxSaved {
		clear(s.at)
	}
}

// TakeNew returns the parts that this router has saved since the last call.
func (s *Saved) TakeNew() []uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	fresh := s.fresh
	s.fresh = nil
	return fresh
}

// ShouldSave tells whether a request is to save its parts: some were not saved
// lately. They count as saved from then on.
func (s *Saved) ShouldSave(salt string, parts []string) bool {
	return s.MarkSaved(salt, parts) > 0
}

// MarkSaved notes that a request saves its parts, and returns how many of them were not
// saved lately.
func (s *Saved) MarkSaved(salt string, parts []string) (missing int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := clock.Since(s.started)
	for _, part := range parts {
		name := xxhash.Sum64String(salt + "/" + part)
		if at, known := s.at[name]; known && now-at < coordapi.SavedTime {
			continue
		}
		missing++
		s.at[name] = now
		s.fresh = append(s.fresh, name)
	}
	return missing
}

// CountSaved returns how many of a prompt's leading parts some router has saved
// lately. A part that is kept without those before it is of no use.
func (s *Saved) CountSaved(salt string, parts []string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := clock.Since(s.started)
	for i, part := range parts {
		at, known := s.at[xxhash.Sum64String(salt+"/"+part)]
		if !known || now-at >= coordapi.SavedTime {
			return i
		}
	}
	return len(parts)
}

// addressPrompt fills where kept prompts are taken from and sent to. What was
// saved lately comes from the store; a home may have dropped it. If not even
// the first part was, the home may keep some.
func (h *Handler) addressPrompt(j *job, choice backends.Choice) {
	names, header := &h.config.Headers, j.request.Header
	header.Del(names.FetchFrom)
	header.Del(names.SaveTo)
	salt := salt(j, choice.Version)
	header.Set(names.Salt, salt)
	if len(j.parts) == 0 || !choice.Versioned {
		return
	}
	store := j.store()
	if choice.Placement > 0 {
		h.addressPlaced(j, choice, store)
		return
	}
	if store != nil && !h.store.pays(h.now(), h.config.Pool.MoveWorth(&j.query)) {
		store = nil
	}
	switch {
	case store != nil && (choice.Home || h.config.Saved.CountSaved(salt, j.parts) > 0):
		header.Set(names.FetchFrom, store.Address)
	case !choice.Home && choice.HomeAddress != "":
		header.Set(names.FetchFrom, choice.HomeAddress)
	}
	if store != nil && j.query.Saves() && h.config.Saved.ShouldSave(salt, j.parts) {
		header.Set(names.SaveTo, store.Address)
	}
}

// addressPlaced fills the same as who placed the request knows it.
func (h *Handler) addressPlaced(j *job, choice backends.Choice, store *traffic.Store) {
	names, header := &h.config.Headers, j.request.Header
	if choice.Source != "" {
		header.Set(names.FetchFrom, choice.Source)
	}
	if choice.Save && store != nil {
		h.config.Saved.MarkSaved(salt(j, choice.Version), j.parts)
		header.Set(names.SaveTo, store.Address)
	}
}

// store is the store that keeps the request's shared parts, nil for none.
func (j *job) store() *traffic.Store { return j.table.Store(xxhash.Sum64String(j.query.Key)) }

// salt separates kept prompts by model, version and isolated tenant.
func salt(j *job, version int) string {
	return j.query.Model + "/" + strconv.Itoa(version) + j.owner()
}

// owner is what keeps the prompts of an isolated tenant apart in a name; empty for
// all others.
func (j *job) owner() string {
	if j.tenant == nil || !j.tenant.Isolated {
		return ""
	}
	return "/" + j.tenant.Name
}
