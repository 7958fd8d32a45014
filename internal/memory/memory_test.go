package memory

import (
	"sync"
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against reservations that together exceed the limit, and against bytes that are lost.
func TestReservationsStayWithinLimit(t *testing.T) {
	b := NewBudget(100)
	var group sync.WaitGroup
	for range 50 {
		group.Go(func() {
			for range 1000 {
				r := b.NewReservation()
				for r.Grow(30) {
					// Of 100 bytes three parts of 30 fit, whoever holds them.
					assert.Check(t, r.bytes <= 90)
				}
				r.Release()
			}
		})
	}
	group.Wait()
	assert.Equal(t, b.Used(), int64(0))
	assert.Assert(t, b.Reserve(100))
	assert.Assert(t, !b.Reserve(1))
	b.Charge(50)
	assert.Equal(t, b.Used(), int64(150))
	b.Release(60)
	assert.Assert(t, b.Reserve(10))
}

func TestNilBudgetHasNoLimit(t *testing.T) {
	var b *Budget
	r := b.NewReservation()
	assert.Assert(t, r.Grow(1<<40))
	r.Release()
	assert.Assert(t, b.Fits(1<<40))
	assert.Equal(t, b.Used(), int64(0))
}
