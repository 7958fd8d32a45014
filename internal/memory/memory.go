// Package memory bounds what a process buffers for all of its connections together.
package memory

import "sync/atomic"

// Budget is an amount of memory that connections and requests share. It is safe for concurrent use.
// A nil Budget has no limit.
type Budget struct {
	limit int64
	used  atomic.Int64
}

// NewBudget returns a budget of limit bytes.
func NewBudget(limit int64) *Budget { return &Budget{limit: limit} }

// Reserve takes bytes of the budget, and reports false if it has fewer left.
func (b *Budget) Reserve(bytes int64) bool {
	if b == nil {
		return true
	}
	if b.used.Add(bytes) <= b.limit {
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
func (b *Budget) Release(bytes int64) { b.Charge(-bytes) }

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
func (b *Budget) Fits(bytes int64) bool { return b == nil || bytes <= b.limit }

// Reservation is what one request takes of a budget. It is not safe for concurrent use.
type Reservation struct {
	budget *Budget
	bytes  int64
}

// NewReservation returns an empty reservation.
func (b *Budget) NewReservation() Reservation { return Reservation{budget: b} }

// Grow adds bytes to the reservation, and reports false if the budget has fewer left.
func (r *Reservation) Grow(bytes int64) bool {
	if !r.budget.Reserve(bytes) {
		return false
	}
	r.bytes += bytes
	return true
}

// Release returns everything to the budget.
func (r *Reservation) Release() {
	r.budget.Release(r.bytes)
	r.bytes = 0
}
