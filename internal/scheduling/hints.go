package scheduling

import (
	"container/list"
	"time"

	"quinceridge.example/quinceridge/internal/prefix"
)

// hintDepths are the chain depths, in blocks, at which cached blocks are recorded.
var hintDepths = []int{4, 8, 16, 24, 32, 48, 64, 80, 96, 112, 128, 160, 192, 256}

const (
	// maxHints bounds the table to about 8 MB.
	maxHints = 65536
	// hintTTL is the time after its last update at which a hint expires.
	hintTTL = 20 * time.Second
)

// hintKey identifies a block by its digest, and an endpoint by its rendezvous key.
type hintKey struct {
	block    uint64
	endpoint uint64
}

type hint struct {
	key  hintKey
	seen time.Duration
}

// hints records which blocks engines cache, derived from the requests that they answered. It
// evicts the least recently updated entry when full.
type hints struct {
	order   *list.List
	entries map[hintKey]*list.Element
}

func newHints() *hints {
	return &hints{order: list.New(), entries: map[hintKey]*list.Element{}}
}

// observe records that the endpoint answered a request with this chain and so caches all of it.
func (h *hints) observe(now time.Duration, endpoint uint64, chain prefix.Chain) {
	for _, depth := range hintDepths {
		if depth > len(chain) {
			return
		}
		h.put(hint{key: hintKey{chain[depth-1], endpoint}, seen: now})
	}
}

func (h *hints) put(entry hint) {
	if element, ok := h.entries[entry.key]; ok {
		element.Value = entry
		h.order.MoveToFront(element)
		return
	}
	h.entries[entry.key] = h.order.PushFront(entry)
	if h.order.Len() > maxHints {
		last := h.order.Back()
		delete(h.entries, last.Value.(hint).key)
		h.order.Remove(last)
	}
}

// depth returns the greatest of hintDepths up to which the endpoint has unexpired hints for the
// chain without a gap, or 0.
func (h *hints) depth(now time.Duration, endpoint uint64, chain prefix.Chain) int {
	found := 0
	for _, depth := range hintDepths {
		if depth > len(chain) {
			break
		}
		element, ok := h.entries[hintKey{chain[depth-1], endpoint}]
		if !ok || now-element.Value.(hint).seen > hintTTL {
			break
		}
		found = depth
	}
	return found
}
