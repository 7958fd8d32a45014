package inventory

import (
	"context"
	"strconv"

	"quinceridge.example/quinceridge/internal/controlapi"
	"quinceridge.example/quinceridge/internal/engineapi"
	"quinceridge.example/quinceridge/internal/scheduling"
)

// maxHeadChanges bounds the change log. A router that is further behind gets all heads.
const maxHeadChanges = 65536

// feed is the read position in an engine's cache events, with the heads that it holds.
type feed struct {
	incarnation string
	after       uint64
	heads       map[uint64]struct{}
}

// headTable holds the chain heads in the engines' caches and a
// log of recent changes. It is guarded by Inventory.mu.
type headTable struct {
	feeds map[string]*feed
	// first is the number of changes[0]. Numbers start at 1.
	first   uint64
	changes []controlapi.HeadChange
}

func newHeadTable() headTable { return headTable{feeds: map[string]*feed{}, first: 1} }

// last returns the number of the latest change.
func (t *headTable) last() uint64 { return t.first + uint64(len(t.changes)) - 1 }

func (t *headTable) record(change controlapi.HeadChange) {
	t.changes = append(t.changes, change)
	if extra := len(t.changes) - maxHeadChanges; extra > 0 {
		t.changes = t.changes[extra:]
		t.first += uint64(extra)
	}
}

// forget removes all heads of an engine.
func (t *headTable) forget(engine string) {
	if t.feeds[engine] == nil {
		return
	}
	delete(t.feeds, engine)
	t.record(controlapi.HeadChange{Engine: engine, Kind: controlapi.HeadsCleared})
}

// apply applies a page of an engine's cache events.
func (t *headTable) apply(engine string, page *engineapi.CachePage) {
	f := t.feeds[engine]
	if f == nil || f.incarnation != page.Incarnation {
		t.forget(engine)
		f = &feed{incarnation: page.Incarnation, heads: map[uint64]struct{}{}}
		t.feeds[engine] = f
	}
	f.after = page.First + uint64(len(page.Events)) - 1
	for _, event := range page.Events {
		if !scheduling.IsHead(event.Depth) {
			continue
		}
		if event.Stored {
			f.heads[event.Block] = struct{}{}
			t.record(controlapi.HeadChange{Engine: engine, Kind: controlapi.HeadAdded, Head: event.Block})
			continue
		}
		delete(f.heads, event.Block)
		t.record(controlapi.HeadChange{Engine: engine, Kind: controlapi.HeadRemoved, Head: event.Block})
	}
}

// since returns the changes after a number. If the number is no
// longer in the log, it returns all heads, and whole is true.
func (t *headTable) since(after uint64) (changes []controlapi.HeadChange, whole bool) {
	if after != 0 && after+1 >= t.first && after <= t.last() {
		return t.changes[after+1-t.first:], false
	}
	for engine, f := range t.feeds {
		for head := range f.heads {
			changes = append(changes, controlapi.HeadChange{Engine: engine, Kind: controlapi.HeadAdded, Head: head})
		}
	}
	return changes, true
}

// pollEvents reads the new cache events of an engine.
func (i *Inventory) pollEvents(ctx context.Context, m controlapi.Machine) {
	i.mu.RLock()
	after := uint64(0)
	if f := i.heads.feeds[m.ID]; f != nil && f.incarnation == m.Incarnation {
		after = f.after
	}
	i.mu.RUnlock()
	var page engineapi.CachePage
	url := "http://" + m.Address + engineapi.PathCacheEvents + "?after=" + strconv.FormatUint(after, 10)
	if err := i.get(ctx, url, &page); err != nil {
		return
	}
	i.mu.Lock()
	defer i.mu.Unlock()
	i.heads.apply(m.ID, &page)
}
