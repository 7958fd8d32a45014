package forward

import (
	"net/url"
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
	// maxSaved bounds the saved parts that a router records.
	maxSaved = 50000
)

// Saved records the prompt parts that the store holds. Parts that any router has saved recently
// are not saved again: a save also carries the request's own part, which no other request
// fetches, and the store's bandwidth is scarce. It is safe for concurrent use.
type Saved struct {
	started    time.Duration
	mu         sync.Mutex
	savedAt    map[uint64]time.Duration
	unreported []uint64
}

// NewSaved returns an empty Saved.
func NewSaved() *Saved {
	return &Saved{started: clock.Now(), savedAt: map[uint64]time.Duration{}}
}

// Add records parts that other routers have saved.
func (s *Saved) Add(parts []uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := clock.Since(s.started)
	for _, part := range parts {
		s.savedAt[part] = now
	}
	if len(s.savedAt) > maxSaved {
		clear(s.savedAt)
	}
}

// TakeNew returns the parts that this router has saved since the last call.
func (s *Saved) TakeNew() []uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	unreported := s.unreported
	s.unreported = nil
	return unreported
}

// ShouldSave reports whether some parts of a request were not saved recently, and records all
// of them as saved.
func (s *Saved) ShouldSave(salt string, parts []string) bool {
	return s.MarkSaved(salt, parts) > 0
}

// MarkSaved records the parts of a request as saved, and returns how many of them were not
// saved recently.
func (s *Saved) MarkSaved(salt string, parts []string) (missing int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := clock.Since(s.started)
	for _, part := range parts {
		name := xxhash.Sum64String(salt + "/" + part)
		if savedAt, known := s.savedAt[name]; known && now-savedAt < coordapi.SavedTime {
			continue
		}
		missing++
		s.savedAt[name] = now
		s.unreported = append(s.unreported, name)
	}
	return missing
}

// CountSaved returns the number of leading parts of a prompt that a router has saved recently.
// Later parts are of no use without those before them.
func (s *Saved) CountSaved(salt string, parts []string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := clock.Since(s.started)
	for i, part := range parts {
		savedAt, known := s.savedAt[xxhash.Sum64String(salt+"/"+part)]
		if !known || now-savedAt >= coordapi.SavedTime {
			return i
		}
	}
	return len(parts)
}

// setPromptHeaders sets the addresses from which the engine fetches cached prompt parts and to
// which it saves them. Recently saved parts are fetched from the store, since the home engine
// may have evicted them. If not even the first part was saved, the home engine may still have
// some.
func (h *Handler) setPromptHeaders(j *job, choice backends.Choice) {
	names, header := &h.config.Headers, j.request.Header
	header.Del(names.FetchFrom)
	header.Del(names.SaveTo)
	salt := salt(j, choice.Version, h.presentSuffix(j))
	header.Set(names.Salt, salt)
	if len(j.parts) == 0 || !choice.Versioned {
		return
	}
	store := j.store()
	if choice.Placement > 0 {
		h.setPlacedPromptHeaders(j, choice, store, salt)
		return
	}
	if store != nil && !h.store.worthwhile(h.now(), h.config.Pool.MaxFetchDelay(&j.query)) {
		store = nil
	}
	switch {
	case store != nil && (choice.Home || h.config.Saved.CountSaved(salt, j.parts) > 0):
		header.Set(names.FetchFrom, store.Address)
	case !choice.Home && choice.HomeAddress != "":
		header.Set(names.FetchFrom, choice.HomeAddress)
	}
	if store != nil && j.query.MaySave() && h.config.Saved.ShouldSave(salt, j.parts) {
		header.Set(names.SaveTo, store.Address)
	}
}

// setPlacedPromptHeaders sets the same headers as the leader chose them.
func (h *Handler) setPlacedPromptHeaders(j *job, choice backends.Choice, store *traffic.Store, salt string) {
	names, header := &h.config.Headers, j.request.Header
	if choice.Source != "" {
		header.Set(names.FetchFrom, choice.Source)
	}
	if choice.Save && store != nil {
		h.config.Saved.MarkSaved(salt, j.parts)
		header.Set(names.SaveTo, store.Address)
	}
}

// store returns the store of the request's shared parts, nil for none.
func (j *job) store() *traffic.Store { return j.table.Store(xxhash.Sum64String(j.query.Key)) }

// salt separates cached prompts by model, version and the tenants that may use them, as suffix tells.
func salt(j *job, version int, suffix string) string {
	return url.PathEscape(j.query.Model) + "/" + strconv.Itoa(version) + suffix
}

// cacheSuffix separates the cached prompts of an isolated tenant from all others, and those that tenants
// share from what they shared before one of them was isolated. An escaped name has no slash.
func cacheSuffix(table *traffic.Table, tenant *traffic.Tenant) string {
	switch {
	case tenant != nil && tenant.Isolated:
		return "/" + url.PathEscape(tenant.Name)
	case table.PromptScope != "":
		return "//" + string(table.PromptScope)
	}
	return ""
}

// presentSuffix returns the cache suffix of a request by the configuration in force, which may be newer than
// the request: its tenant, or another one, may have become isolated since. A tenant that has been removed
// shares nothing.
func (h *Handler) presentSuffix(j *job) string {
	table := h.config.Source.Table()
	if table == j.table || j.tenant == nil {
		return cacheSuffix(table, j.tenant)
	}
	tenant := table.TenantByName(j.tenant.Name)
	if tenant == nil {
		tenant = &traffic.Tenant{Name: j.tenant.Name, Isolated: true}
	}
	return cacheSuffix(table, tenant)
}

// tenantSuffix separates the names that an isolated tenant has for parts of prompts; empty for all other
// tenants.
func (j *job) tenantSuffix() string {
	if j.tenant == nil || !j.tenant.Isolated {
		return ""
	}
	return "/" + j.tenant.Name
}
