package scheduling

import (
	"container/list"
	"time"

	"quinceridge.example/quinceridge/internal/prefix"
)

// hintDepths are the chain depths, in blocks, at which an observed cache
// content is remembered.
var hintDepths = []int{4, 8, 16, 24, 32, 48, 64, 80, 96, 112, 128, 160, 192, 256}

const (
	// hintLimit bounds the table. At about 120 bytes an entry it is 8 MB.
	hintLimit = 65536
	// hintLifetime is how long an observation is believed.
	hintLifetime = 20 * time.Second
)

type hintKey struct {
	block    uint64
	endpoint uint64
}

type hint struct {
	key  hintKey
	seen time.Duration
}

// hints remembers which chain heads engines were seen to hold, or to lack, in
// their own answers. It is a bounded least-recently-used table.
type hints struct {
	order   *list.List
	entries map[hintKey]*list.Element
}

func newHints() *hints {
	return &hints{order: list.New(), entries: map[hintKey]*list.Element{}}
}

// observe records an answer: the endpoint held cached blocks of the chain
// before the request, and holds all of it after.
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
	if h.order.Len() > hintLimit {
		last := h.order.Back()
		delete(h.entries, last.Value.(hint).key)
		h.order.Remove(last)
	}
}

// depth returns the deepest block of the chain that the endpoint was lately
// seen to hold, 0 when nothing is known.
func (h *hints) depth(now time.Duration, endpoint uint64, chain prefix.Chain) int {
	found := 0
	for _, depth := range hintDepths {
		if depth > len(chain) {
			break
		}
		element, ok := h.entries[hintKey{chain[depth-1], endpoint}]
		if !ok || now-element.Value.(hint).seen > hintLifetime {
			break
		}
		found = depth
	}
	return found
}
