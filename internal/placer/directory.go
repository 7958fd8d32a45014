package placer

import (
	"time"

	"quinceridge.example/quinceridge/internal/backends"
	"quinceridge.example/quinceridge/internal/coordapi"
)

const (
	// keptTime is how long an engine is taken to keep what it read: its memory is
	// turned over every eight to ten seconds where it is short.
	keptTime = 10 * time.Second
	// maxParts bounds what is known of the engines and of each store. When it is full,
	// parts that were not read for keptTime go, and all of them if there are none.
	maxParts = 1 << 16
)

// partKey names a part under one version of the weights.
type partKey struct {
	part    coordapi.PartHash
	version int
}

// kept is where a part was read last.
type kept struct {
	engine string
	at     time.Duration
}

// directory knows which engine read a prompt part last, and what stores hold.
type directory struct {
	kept map[partKey]*kept
	// stores are by address. A request without a store has the one of no address,
	// which holds nothing.
	stores map[string]*store
}

func newDirectory() *directory {
	return &directory{kept: map[partKey]*kept{}, stores: map[string]*store{}}
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

// holder returns the engine that read a part last, empty for none that may still
// keep it.
func (d *directory) holder(now time.Duration, part coordapi.PartHash, version int) string {
	if k := d.kept[partKey{part, version}]; k != nil && now-k.at < keptTime {
		return k.engine
	}
	return ""
}

// cold is how many tokens of a prompt's parts the store lacks. A part that is kept
// without those before it is of no use.
func (d *directory) cold(now time.Duration, ask *coordapi.Place, version int) int {
	s := d.store(ask)
	total := 0
	for _, part := range ask.Parts {
		if total > 0 || !s.holds(now, partKey{part.Hash, version}) {
			total += part.Tokens
		}
	}
	return total
}

// read notes that an engine is about to read a prompt's parts, and tells whether
// the request is to save them: the store lacks some. A part stays with the engine
// that holds it unless the reader is its home: a request that could not wait there
// leaves a copy that is soon dropped.
func (d *directory) read(now time.Duration, ask *coordapi.Place, choice *backends.Choice, save bool) (due bool) {
	d.bound(now)
	s := d.store(ask)
	missing := 0
	for _, part := range ask.Parts {
		key := partKey{part.Hash, choice.Version}
		k := d.kept[key]
		if k == nil {
			k = &kept{at: -keptTime}
			d.kept[key] = k
		}
		if k.engine != choice.ID && s.holds(now, key) {
			s.take(key)
		}
		if choice.Home || k.engine == choice.ID || now-k.at >= keptTime {
			k.engine, k.at = choice.ID, now
		}
		if !s.holds(now, key) {
			missing += part.Tokens
		}
	}
	if !save || missing == 0 {
		return false
	}
	s.grow(missing + ask.Own)
	for _, part := range ask.Parts {
		s.put(now, partKey{part.Hash, choice.Version})
	}
	return true
}

func (d *directory) bound(now time.Duration) {
	if len(d.kept) < maxParts {
		return
	}
	for key, k := range d.kept {
		if now-k.at > keptTime {
			delete(d.kept, key)
		}
	}
	if len(d.kept) >= maxParts {
		clear(d.kept)
	}
}
