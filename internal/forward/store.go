package forward

import (
	"sync"
	"time"

	"quinceridge.example/quinceridge/internal/speed"
)

// storeMonitor measures the delay of requests that fetch from a store. A store with a long
// queue is not used until the delay has fallen: requests that wait for it hold memory at their
// engines, which then evict more and fetch more. It is safe for concurrent use.
type storeMonitor struct {
	mu    sync.Mutex
	delay speed.DelayEstimator
}

// worthwhile reports whether a fetch that saves worth is faster than the delay.
func (m *storeMonitor) worthwhile(now, worth time.Duration) bool { return m.delayAt(now) <= worth }

// delayAt returns the delay as of now.
func (m *storeMonitor) delayAt(now time.Duration) time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.delay.At(now)
}

// observe records the excess of a request's duration over the expected one.
func (m *storeMonitor) observe(now, excess time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.delay.Observe(now, excess)
}

// observeStoreDelay records by how much the start of a request that fetches from a store
// exceeded its estimate.
func (h *Handler) observeStoreDelay(j *job, excess time.Duration) {
	store := j.store()
	if store != nil && j.request.Header.Get(h.config.Headers.FetchFrom) == store.Address {
		h.store.observe(h.now(), excess)
	}
}
