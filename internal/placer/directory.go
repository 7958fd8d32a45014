package placer

import (
	"time"

	"quinceridge.example/quinceridge/internal/backends"
	"quinceridge.example/quinceridge/internal/coordapi"
)

const (
	// cacheLifetime is the time for which an engine is assumed to
	// keep a processed part in its cache.
	cacheLifetime = 10 * time.Second
	// maxParts bounds the entries for all engines and for each store. A full directory drops the
	// parts that no engine has processed for cacheLifetime, or all of them if there are none.
	maxParts = 1 << 16
)

// partKey identifies a part under one weights version.
type partKey struct {
	part    coordapi.PartHash
	version int
}

// cached is the engine that processed a part last, and when.
type cached struct {
	engine string
	at     time.Duration
}

// directory records which engine processed each prompt part last, and what the stores hold.
type directory struct {
	cached map[partKey]*cached
	// stores maps addresses to stores. Requests without a store
	// use the entry for the empty address, which holds nothing.
	stores map[string]*store
}

func newDirectory() *directory {
	return &directory{cached: map[partKey]*cached{}, stores: map[string]*store{}}
}

// store returns the store of a request's shared parts.
func (d *directory) store(ask *coordapi.Place) *store {
	s := d.stores[ask.Store]
	if s == nil {
		s = newStore()
		d.stores[ask.Store] = s
	}
	s.capacity = ask.StoreTokens
	return s
}

// holder returns the engine that processed a part last, or "" if none may still hold it.
func (d *directory) holder(now time.Duration, part coordapi.PartHash, version int) string {
	if k := d.cached[partKey{part, version}]; k != nil && now-k.at < cacheLifetime {
		return k.engine
	}
	return ""
}

// uncachedTokens returns how many tokens of a prompt's parts the store lacks. A part is only useful
// together with all parts before it.
func (d *directory) uncachedTokens(now time.Duration, ask *coordapi.Place, version int) int {
	s := d.store(ask)
	total := 0
	for _, part := range ask.Parts {
		if total > 0 || !s.holds(now, partKey{part.Hash, version}) {
			total += part.Tokens
		}
	}
	return total
}

// recordPrefill records that an engine is about to process a prompt's parts. It returns whether the
// request is to save them because the store lacks some. A part stays assigned to the engine that
// holds it unless the new one is the home of the key: copies elsewhere are soon evicted.
func (d *directory) recordPrefill(now time.Duration, ask *coordapi.Place, choice *backends.Choice, save bool) (due bool) {
	d.evict(now)
	s := d.store(ask)
	missing := 0
	for _, part := range ask.Parts {
		key := partKey{part.Hash, choice.Version}
		k := d.cached[key]
		if k == nil {
			k = &cached{at: -cacheLifetime}
			d.cached[key] = k
		}
		if k.engine != choice.ID && s.holds(now, key) {
			s.touch(key)
		}
		if choice.Home || k.engine == choice.ID || now-k.at >= cacheLifetime {
			k.engine, k.at = choice.ID, now
		}
		if !s.holds(now, key) {
			missing += part.Tokens
		}
	}
	if !save || missing == 0 {
		return false
	}
	s.addTokens(missing + ask.Own)
	for _, part := range ask.Parts {
		s.add(now, partKey{part.Hash, choice.Version})
	}
	return true
}

// evict makes room for a new entry if the directory is full.
func (d *directory) evict(now time.Duration) {
	if len(d.cached) < maxParts {
		return
	}
	for key, k := range d.cached {
		if now-k.at > cacheLifetime {
			delete(d.cached, key)
		}
	}
	if len(d.cached) >= maxParts {
		clear(d.cached)
	}
}
