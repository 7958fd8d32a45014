package forward

import (
	"sync"
	"time"

	"quinceridge.example/quinceridge/internal/speed"
)

const (
	// moveFactor is how many times longer than reading it a prompt may take from
	// the store: what is read twice is lost work.
	moveFactor = 2
	// targetDivisor is the part of a request's target that it may take in any
	// case.
	targetDivisor = 4
)

// storeWatch follows how much longer requests take that name a store. A store
// with a long queue gets no more work until it has caught up: requests that wait
// for it hold memory at their engines, which then keep less, so that more is
// taken from the store. It is safe for concurrent use.
type storeWatch struct {
	mu    sync.Mutex
	delay speed.Delay
}

// pays tells whether a move that is worth a delay pays now.
func (w *storeWatch) pays(now, worth time.Duration) bool { return w.current(now) <= worth }

// current is the delay as of now.
func (w *storeWatch) current(now time.Duration) time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.delay.At(now)
}

// note takes how much longer than expected a request took.
func (w *storeWatch) note(now, excess time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.delay.Observe(now, excess)
}

// storeWorth is the delay that moving the shared parts of a prompt is worth.
func (h *Handler) storeWorth(j *job) time.Duration {
	return max(moveFactor*h.config.Pool.ReadTime(j.pool.Name, j.query.Shared), j.route.Target/targetDivisor)
}

// noteStore learns from a request that named a store how much longer than
// expected it took to begin.
func (h *Handler) noteStore(j *job, excess time.Duration) {
	store := j.store()
	if store != nil && j.request.Header.Get(h.config.Headers.FetchFrom) == store.Address {
		h.store.note(h.now(), excess)
	}
}
