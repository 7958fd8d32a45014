package forward

import (
	"sync"
	"time"

	"quinceridge.example/quinceridge/internal/speed"
)

// storeWatch follows how much longer requests take that name a store. A store
// with a long queue gets no more work until it has caught up: requests that wait
// for it hold memory at their engines, which then keep less, so that more is
// taken from the store. It is safe for concurrent use.
type storeWatch struct {
	mu    sync.Mutex
	delay speed.DelayEstimator
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

// noteStore learns from a request that named a store how much longer than
// expected it took to begin.
func (h *Handler) noteStore(j *job, excess time.Duration) {
	store := j.store()
	if store != nil && j.request.Header.Get(h.config.Headers.FetchFrom) == store.Address {
		h.store.note(h.now(), excess)
	}
}
