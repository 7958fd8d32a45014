package placer

import (
	"time"

	"quinceridge.example/quinceridge/internal/coordapi"
)

const (
	// keptTime is how long an engine is taken to keep what it read: its memory is
	// turned over every eight to ten seconds where it is short.
	keptTime = 10 * time.Second
	// maxParts bounds the directory. When it is full, parts that were not read for
	// keptTime go, and all of them if there are none.
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
	// savedAt is when a request was told to save it; 0 for never.
	savedAt time.Duration
}

// directory knows which engine read a prompt part last.
type directory map[partKey]*kept

// holder returns the engine that read a part last, empty for none that may still
// keep it.
func (d directory) holder(now time.Duration, part coordapi.PartHash, version int) string {
	if k := d[partKey{part, version}]; k != nil && now-k.at < keptTime {
		return k.engine
	}
	return ""
}

// saved tells whether the store has a part.
func (d directory) saved(now time.Duration, part coordapi.PartHash, version int) bool {
	k := d[partKey{part, version}]
	return k != nil && k.savedAt > 0 && now-k.savedAt < coordapi.SavedTime
}

// cold is how many tokens of a prompt's parts the store lacks. A part that is kept
// without those before it is of no use.
func (d directory) cold(now time.Duration, parts []coordapi.Part, version int) int {
	total := 0
	for _, part := range parts {
		if total > 0 || !d.saved(now, part.Hash, version) {
			total += part.Tokens
		}
	}
	return total
}

// read notes that an engine is about to read a prompt's parts, and tells whether
// the request is to save them: some were not saved lately. With save they count
// as saved from then on. A part stays with the engine that holds it unless the
// reader is its home: a request that could not wait there leaves a copy that is
// soon dropped.
func (d directory) read(now time.Duration, parts []coordapi.Part, version int, engine string, home, save bool) (due bool) {
	d.bound(now)
	for _, part := range parts {
		key := partKey{part.Hash, version}
		k := d[key]
		if k == nil {
			k = &kept{at: -keptTime}
			d[key] = k
		}
		if home || k.engine == engine || now-k.at >= keptTime {
			k.engine, k.at = engine, now
		}
		if save && (k.savedAt == 0 || now-k.savedAt >= coordapi.SavedTime) {
			due, k.savedAt = true, now
		}
	}
	return due
}

func (d directory) bound(now time.Duration) {
	if len(d) < maxParts {
		return
	}
	for key, k := range d {
		if now-k.at > keptTime {
			delete(d, key)
		}
	}
	if len(d) >= maxParts {
		clear(d)
	}
}
