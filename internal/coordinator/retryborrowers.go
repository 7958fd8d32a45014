package coordinator

import "sync/atomic"

// retryBorrowers counts the routers that borrow retries from the leader. Routers of builds before
// level.Limits use an equal part of the shared burst without asking; the leader lends the rest,
// which is all of it once no such router is left. It is safe for concurrent use.
type retryBorrowers struct{ borrowers, routers atomic.Int64 }

func (b *retryBorrowers) set(borrowers, routers int) {
	b.borrowers.Store(int64(borrowers))
	b.routers.Store(int64(routers))
}

func (b *retryBorrowers) share() float64 {
	routers := b.routers.Load()
	if routers == 0 {
		return 0
	}
	return float64(b.borrowers.Load()) / float64(routers)
}
