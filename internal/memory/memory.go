// Package memory bounds what a process buffers for all of its connections together.
package memory

import (
	"sync"
	"sync/atomic"
	"time"
)

// Budget is an amount of memory that connections and requests share. It is safe for concurrent use.
// A nil Budget has no limit.
type Budget struct {
	limit int64
	used  atomic.Int64
	// awaited is set while changed is not nil.
	awaited atomic.Bool
	// ended is set once no reservation waits any more.
	ended atomic.Bool

	mu       sync.Mutex
	accounts map[*Account]struct{}
	// changed is closed at the next release; nil while no reservation waits.
	changed chan struct{}
	// nextScan is when accounts may be searched again for ones to evict.
	nextScan time.Duration
}

// NewBudget returns a budget of limit bytes.
func NewBudget(limit int64) *Budget { return &Budget{limit: limit} }

// Reserve takes bytes of the budget, and reports false if it has fewer left.
func (b *Budget) Reserve(bytes int64) bool {
	return b == nil || b.reserveWithin(bytes, b.limit)
}

// reserveWithin takes bytes unless more than limit are then in use.
func (b *Budget) reserveWithin(bytes, limit int64) bool {
	if b.used.Add(bytes) <= limit {
		return true
	}
	b.used.Add(-bytes)
	return false
}

// Charge takes bytes that are in use in any case, also beyond the limit.
func (b *Budget) Charge(bytes int64) {
	if b != nil {
		b.used.Add(bytes)
	}
}

// Release returns bytes that were reserved or charged.
func (b *Budget) Release(bytes int64) {
	b.Charge(-bytes)
	if b != nil {
		b.notify()
	}
}

// Used returns the bytes in use.
func (b *Budget) Used() int64 {
	if b == nil {
		return 0
	}
	return b.used.Load()
}

// Limit returns the size of the budget, 0 for no limit.
func (b *Budget) Limit() int64 {
	if b == nil {
		return 0
	}
	return b.limit
}

// Fits reports whether an empty budget has room for bytes.
func (b *Budget) Fits(bytes int64) bool { return b == nil || bytes <= b.limitFor(bytes) }

// Reservation is what one request takes of a budget. It is not safe for concurrent use.
type Reservation struct {
	budget *Budget
	// account is that of the request's connection; nil if it has none.
	account *Account
	bytes   int64
}

// NewReservation returns an empty reservation.
func (b *Budget) NewReservation() Reservation { return Reservation{budget: b} }

// NewReservationFor returns an empty reservation of a request over the connection of an account, which may be
// nil.
func (b *Budget) NewReservationFor(a *Account) Reservation { return Reservation{budget: b, account: a} }

// Grow adds bytes to the reservation, and reports false if the budget has fewer left. With an account it
// may wait a short time for memory of others.
func (r *Reservation) Grow(bytes int64) bool {
	if !r.reserve(bytes) {
		return false
	}
	r.bytes += bytes
	return true
}

func (r *Reservation) reserve(bytes int64) bool {
	if r.account != nil {
		return r.account.Reserve(bytes)
	}
	return r.budget.Reserve(bytes)
}

// Shrink returns bytes of the reservation.
func (r *Reservation) Shrink(bytes int64) {
	r.bytes -= bytes
	if r.account != nil {
		r.account.Release(bytes)
		return
	}
	r.budget.Release(bytes)
}

// Release returns everything to the budget.
func (r *Reservation) Release() { r.Shrink(r.bytes) }
