package memory

import (
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// testAccount is an account whose eviction returns what it holds, as the end of its connection does.
type testAccount struct {
	*Account
	evictions atomic.Int32
}

func open(b *Budget, state State, bytes int64, stalled time.Duration) *testAccount {
	t := &testAccount{}
	t.Account = b.OpenAccount(bytes, func() {
		t.evictions.Add(1)
		t.Account.Close()
	})
	t.SetState(state)
	t.movedAt.Add(-int64(stalled))
	t.blockedAt.Store(t.movedAt.Load())
	return t
}

// Guards against memory that belongs to whoever holds it longest.
func TestReservationEvictsAccountThatHoldsMostAndMovesLeast(t *testing.T) {
	const mib = 1 << 20
	b := NewBudget(32 * mib)
	stalled := open(b, Receiving, 12*mib, time.Second)
	brief := open(b, Receiving, 12*mib, stallTime)
	small := open(b, Quiet, 16<<10, time.Minute)
	moving := open(b, Receiving, 4*mib, 0)
	asking := open(b, Receiving, 16<<10, 0)
	assert.Assert(t, asking.Reserve(4*mib))
	assert.Equal(t, stalled.evictions.Load(), int32(1))
	for _, kept := range []*testAccount{brief, small, moving, asking} {
		assert.Equal(t, kept.evictions.Load(), int32(0))
	}
}

// Guards against running requests that are cut for the sake of others.
func TestRunningAccountsAreNotEvicted(t *testing.T) {
	const mib = 1 << 20
	b := NewBudget(8 * mib)
	running := open(b, Running, 4*mib, time.Minute)
	reading := open(b, Responding, 3*mib, writeStallTime/2)
	asking := open(b, Receiving, 0, 0)
	assert.Assert(t, !asking.Reserve(4*mib))
	for _, kept := range []*testAccount{running, reading} {
		assert.Equal(t, kept.evictions.Load(), int32(0))
	}
}

func TestPeerThatDoesNotReadIsEvicted(t *testing.T) {
	const mib = 1 << 20
	b := NewBudget(8 * mib)
	unread := open(b, Responding, 6*mib, 2*writeStallTime)
	asking := open(b, Receiving, 0, 0)
	assert.Assert(t, asking.Reserve(4*mib))
	assert.Equal(t, unread.evictions.Load(), int32(1))
}

// Guards against large bodies that leave no memory for ordinary requests.
func TestLargeHoldersLeaveRoomForSmallOnes(t *testing.T) {
	b := NewBudget(8 << 20)
	large := open(b, Receiving, 0, 0)
	assert.Assert(t, !large.Reserve(8<<20))
	assert.Assert(t, large.Reserve(7<<20))
	small := open(b, Receiving, 0, 0)
	assert.Assert(t, small.Reserve(smallHolding))
}

// Guards against accounts whose memory is lost to the budget.
func TestClosedAccountsReturnWhatTheyHold(t *testing.T) {
	b := NewBudget(1 << 20)
	a := b.OpenAccount(1000, func() {})
	assert.Assert(t, a.Reserve(500))
	a.Release(200)
	assert.Equal(t, b.Used(), int64(1300))
	a.Close()
	assert.Equal(t, b.Used(), int64(0))
	assert.Equal(t, len(b.accounts), 0)
}

func TestEvictedAccountReservesNothing(t *testing.T) {
	b := NewBudget(1 << 20)
	a := open(b, Receiving, 0, 0)
	assert.Assert(t, a.MarkEvicted())
	assert.Assert(t, !a.MarkEvicted())
	assert.Assert(t, !a.Reserve(1))
}

// Guards against memory that is returned twice, by a connection that is closed and by its running request.
func TestRequestReturnsNothingAfterItsConnectionIsClosed(t *testing.T) {
	b := NewBudget(1 << 20)
	a := b.OpenAccount(1000, func() {})
	r := b.NewReservationFor(a)
	assert.Assert(t, r.Grow(500))
	a.Close()
	a.Close()
	r.Release()
	assert.Equal(t, b.Used(), int64(0))
	assert.Assert(t, !r.Grow(1))
	assert.Equal(t, b.Used(), int64(0))
}

// Guards against a reservation that waits for room beyond the end of its process's stop.
func TestEndedBudgetWaitsForNoRoom(t *testing.T) {
	const mib = 1 << 20
	b := NewBudget(8 * mib)
	open(b, Running, 7*mib, 0)
	asking := open(b, Receiving, 0, 0)
	begun := time.Now()
	time.AfterFunc(reserveWait/8, b.EndWaits)
	assert.Assert(t, !asking.Reserve(4*mib))
	assert.Assert(t, !asking.Reserve(4*mib))
	assert.Assert(t, time.Since(begun) < reserveWait, "%v", time.Since(begun))
	assert.Assert(t, asking.Reserve(16<<10))
}
