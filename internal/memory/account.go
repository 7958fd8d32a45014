package memory

import (
	"cmp"
	"context"
	"math"
	"slices"
	"sync/atomic"
	"time"

	"quinceridge.example/quinceridge/internal/clock"
)

const (
	// smallHolding is what an account may hold without being a large holder. Large holders together leave
	// smallPart of a budget to the others, so that ordinary requests go on while large ones wait.
	smallHolding = 64 << 10
	smallPart    = 8
	// progressBytes is the number of bytes after which an account has made progress. A client that sends
	// a byte now and then makes none.
	progressBytes = 4 << 10
	// stallTime is the time without progress after which an account may be evicted for the sake of
	// others, and writeStallTime the same for one whose peer reads a response slowly.
	stallTime      = 250 * time.Millisecond
	writeStallTime = time.Second
	// reserveWait bounds the wait of a reservation for the memory of evicted accounts. It exceeds
	// stallTime, so that accounts that have just stalled make room.
	reserveWait = 400 * time.Millisecond
	// scanInterval is the time between two searches for accounts to evict, and recheckInterval the one
	// after which a waiting reservation looks again.
	scanInterval    = 5 * time.Millisecond
	recheckInterval = 20 * time.Millisecond
	// reclaimPart is the part of a budget that an eviction frees at least, so that searches are few.
	reclaimPart = 16
)

// State is what the peer of an account's connection does.
type State int32

// States of an account.
const (
	// Quiet: no request is under way.
	Quiet State = iota
	// Receiving: a request arrives.
	Receiving
	// Running: a whole request is being handled. The account is not evicted.
	Running
	// Responding: a response is being written to a peer that does not read as fast.
	Responding
	// Finished: the response has been written and the connection is to be closed.
	Finished
)

// Account is what one connection holds of a budget. Reservations that the budget has no room for evict
// accounts whose peers hold most and make least progress. It is safe for concurrent use.
type Account struct {
	budget *Budget
	evict  func()
	now    func() time.Duration

	// held is what the account holds, or closedAccount.
	held  atomic.Int64
	state atomic.Int32
	// movedAt is when the account last made progress, and moved are the bytes since then.
	movedAt atomic.Int64
	moved   atomic.Int64
	// blockedAt is when a search first found the account writing since it last made progress, 0 for never.
	// Writes are frequent, so that they do not read the clock.
	blockedAt atomic.Int64
	evicted   atomic.Bool
	// waiting is the number of reservations that wait for room.
	waiting atomic.Int32
}

// OpenAccount adds an account for a connection, which takes bytes of the budget in any case. Evict is called
// once the budget has evicted the account, and must end the connection's request soon without blocking.
func (b *Budget) OpenAccount(bytes int64, evict func()) *Account {
	a := &Account{budget: b, evict: evict, now: clock.Now}
	a.movedAt.Store(int64(a.now()))
	a.held.Store(bytes)
	b.Charge(bytes)
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.accounts == nil {
		b.accounts = map[*Account]struct{}{}
	}
	b.accounts[a] = struct{}{}
	return a
}

// closedAccount is the value of Account.held after Close.
const closedAccount = math.MinInt64

// Close returns everything that the account holds, also what running requests still use: they return nothing
// afterwards.
func (a *Account) Close() {
	a.budget.mu.Lock()
	delete(a.budget.accounts, a)
	a.budget.mu.Unlock()
	if held := a.held.Swap(closedAccount); held != closedAccount {
		a.budget.Release(held)
	}
}

// SetState records what the peer does, which counts as progress. It returns the time.
func (a *Account) SetState(state State) time.Duration {
	now := a.now()
	a.movedAt.Store(int64(now))
	a.moved.Store(0)
	a.state.Store(int32(state))
	return now
}

// SetRunning records that a whole request is being handled. It does not read the clock.
func (a *Account) SetRunning() { a.state.Store(int32(Running)) }

// State returns the state that was last set.
func (a *Account) State() State { return State(a.state.Load()) }

// BeginWriting records that a response is being written, and EndWriting that the peer has taken it.
func (a *Account) BeginWriting() {
	a.blockedAt.Store(0)
	a.state.Store(int32(Responding))
}

// EndWriting ends what BeginWriting has begun.
func (a *Account) EndWriting() { a.state.CompareAndSwap(int32(Responding), int32(Running)) }

// Moved records bytes that the peer has sent or read.
func (a *Account) Moved(bytes int) {
	if a.moved.Add(int64(bytes)) >= progressBytes {
		a.moved.Store(0)
		a.blockedAt.Store(0)
		a.movedAt.Store(int64(a.now()))
	}
}

// MovedAt returns when the account last made progress, by clock.Now.
func (a *Account) MovedAt() time.Duration { return time.Duration(a.movedAt.Load()) }

// Evicted reports whether the account was evicted.
func (a *Account) Evicted() bool { return a != nil && a.evicted.Load() }

// MarkEvicted makes further reservations fail. It returns false if they do already.
func (a *Account) MarkEvicted() bool { return a.evicted.CompareAndSwap(false, true) }

// Held returns the bytes that the account holds.
func (a *Account) Held() int64 { return max(a.held.Load(), 0) }

// Release returns bytes of the account.
func (a *Account) Release(bytes int64) {
	if a.add(-bytes) {
		a.budget.Release(bytes)
	}
}

// add changes what the account holds, and returns false if it is closed.
func (a *Account) add(bytes int64) bool {
	for {
		held := a.held.Load()
		if held == closedAccount {
			return false
		}
		if a.held.CompareAndSwap(held, held+bytes) {
			return true
		}
	}
}

// Reserve takes bytes of the budget for the account, and evicts other accounts if there is no room. It
// returns false if none was made within a short time, or if the account itself was evicted.
func (a *Account) Reserve(bytes int64) bool {
	if a.evicted.Load() {
		return false
	}
	if a.tryReserve(bytes) {
		return true
	}
	return a.awaitRoom(bytes)
}

// tryReserve takes bytes of the part of the budget that the account may use.
func (a *Account) tryReserve(bytes int64) bool {
	b := a.budget
	if !b.reserveWithin(bytes, b.limitFor(a.Held()+bytes)) {
		return false
	}
	if !a.add(bytes) {
		b.Release(bytes)
		return false
	}
	return true
}

// limitFor returns the part of the budget that is open to an account that holds a number of bytes.
func (b *Budget) limitFor(held int64) int64 {
	if held > smallHolding {
		return b.limit - b.limit/smallPart
	}
	return b.limit
}

// awaitRoom evicts accounts and waits until the budget has room.
func (a *Account) awaitRoom(bytes int64) bool {
	a.waiting.Add(1)
	defer a.waiting.Add(-1)
	b := a.budget
	ctx, cancel := context.WithTimeout(context.Background(), reserveWait)
	defer cancel()
	recheck := time.NewTicker(recheckInterval)
	defer recheck.Stop()
	for {
		changed := b.changes()
		if a.evicted.Load() {
			return false
		}
		if a.tryReserve(bytes) {
			return true
		}
		if b.ended.Load() {
			return false
		}
		b.reclaim(a.now(), bytes)
		select {
		case <-changed:
		case <-recheck.C:
		case <-ctx.Done():
			return !a.evicted.Load() && a.tryReserve(bytes)
		}
	}
}

// changes returns a channel that is closed at the next release.
func (b *Budget) changes() <-chan struct{} {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.changed == nil {
		b.changed = make(chan struct{})
		b.awaited.Store(true)
	}
	return b.changed
}

// EndWaits ends the waits of reservations. From then on a reservation without room fails at once.
func (b *Budget) EndWaits() {
	if b != nil {
		b.ended.Store(true)
		b.notify()
	}
}

// notify wakes the reservations that wait for room.
func (b *Budget) notify() {
	if !b.awaited.Load() {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.changed != nil {
		close(b.changed)
		b.changed = nil
		b.awaited.Store(false)
	}
}

// candidate is an account that may be evicted.
type candidate struct {
	account *Account
	// weight is the memory that the account holds times the time for which it makes no progress.
	weight float64
}

// reclaim evicts accounts that together hold bytes at least, beside those that were evicted and have not
// ended yet.
func (b *Budget) reclaim(now time.Duration, bytes int64) {
	b.mu.Lock()
	if now < b.nextScan {
		b.mu.Unlock()
		return
	}
	b.nextScan = now + scanInterval
	candidates, ending := b.candidates(now)
	b.mu.Unlock()
	needed := max(bytes, b.limit/reclaimPart) - ending
	slices.SortFunc(candidates, func(x, y candidate) int { return cmp.Compare(y.weight, x.weight) })
	for _, c := range candidates {
		if needed <= 0 {
			return
		}
		needed -= c.account.Held()
		if c.account.MarkEvicted() {
			c.account.evict()
		}
	}
}

// candidates lists the accounts that may be evicted, and adds up what the evicted ones still hold. The lock
// is held.
func (b *Budget) candidates(now time.Duration) (out []candidate, ending int64) {
	for a := range b.accounts {
		held := a.Held()
		if a.evicted.Load() {
			ending += held
			continue
		}
		stalled := now - time.Duration(a.movedAt.Load())
		if a.evictable(now, stalled) {
			out = append(out, candidate{a, float64(held) * stalled.Seconds()})
		}
	}
	return out, ending
}

// evictable reports whether an account may be evicted: what it holds makes no progress because of its peer.
func (a *Account) evictable(now, stalled time.Duration) bool {
	switch a.State() {
	case Quiet, Receiving, Finished:
		return stalled >= stallTime && a.waiting.Load() == 0
	case Responding:
		return a.Blocked(now) >= writeStallTime
	default:
		return false
	}
}

// Blocked returns the time since a search first found the account writing without progress, 0 if it is not. Now is
// by clock.Now.
func (a *Account) Blocked(now time.Duration) time.Duration {
	if a.State() != Responding {
		return 0
	}
	a.blockedAt.CompareAndSwap(0, int64(now))
	return now - time.Duration(a.blockedAt.Load())
}

type accountKey struct{}

// WithAccount returns a context with the account of a request's connection.
func WithAccount(ctx context.Context, a *Account) context.Context {
	return context.WithValue(ctx, accountKey{}, a)
}

// AccountOf returns the account of a request's connection, nil if there is none.
func AccountOf(ctx context.Context) *Account {
	a, _ := ctx.Value(accountKey{}).(*Account)
	return a
}
