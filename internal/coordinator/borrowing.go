package coordinator

import "sync/atomic"

// borrowing is which part of the routers borrow repeats from the leader. Those of builds
// before level.Limits use an even part of the common burst without asking: the leader lends
// what the others would have had, and all of it once none is left. It is safe for
// concurrent use.
type borrowing struct{ borrowers, routers atomic.Int64 }

func (b *borrowing) note(borrowers, routers int) {
	b.borrowers.Store(int64(borrowers))
	b.routers.Store(int64(routers))
}

func (b *borrowing) share() float64 {
	routers := b.routers.Load()
	if routers == 0 {
		return 0
	}
	return float64(b.borrowers.Load()) / float64(routers)
}
