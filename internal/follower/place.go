package follower

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"quinceridge.example/quinceridge/internal/backends"
	"quinceridge.example/quinceridge/internal/coordapi"
	"quinceridge.example/quinceridge/internal/placer"
)

const (
	// placeTimeout is how long the leader has to choose an engine: some ways
	// between zones and back. Past it the router chooses by itself.
	placeTimeout = 60 * time.Millisecond
	// placePause is how long the leader is not asked after it gave no answer.
	placePause = 250 * time.Millisecond
)

// placements is a router's side of the choices that the leader makes for it. It
// is safe for concurrent use.
type placements struct {
	number atomic.Uint64
	// askAfter is when the leader may be asked again, by the process's clock.
	askAfter atomic.Int64

	mu    sync.Mutex
	ended []coordapi.Ended
}

// end notes that a placement is over.
func (p *placements) end(ended ...coordapi.Ended) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.ended = append(p.ended, ended...)
}

// take returns the ends that the leader has not heard of.
func (p *placements) take() []coordapi.Ended {
	p.mu.Lock()
	defer p.mu.Unlock()
	ended := p.ended
	p.ended = nil
	return ended
}

// Place asks the leader for an engine. Answered is false when there was no answer
// in time and the router must choose by itself; found is false when the leader
// knows of none that may serve.
func (f *Follower) Place(ctx context.Context, q *backends.Query) (choice backends.Choice, found, answered bool) {
	leader := f.following.Load()
	if leader == nil || int64(time.Since(f.started)) < f.placements.askAfter.Load() {
		return choice, false, false
	}
	ask := placer.Ask(q)
	ask.Router, ask.Zone, ask.Number = f.name, f.config.Zone, f.placements.number.Add(1)
	ask.Ended, ask.Troubles = f.placements.take(), f.config.Pool.Troubles()
	ctx, cancel := context.WithTimeout(ctx, placeTimeout)
	defer cancel()
	var reply coordapi.Reply
	if err := f.config.Peers.Call(ctx, *leader, coordapi.KindCall, coordapi.Request{Place: ask}, &reply); err != nil || reply.Placed == nil {
		// It may have been placed, and the reports may not have arrived.
		f.placements.end(append(ask.Ended, coordapi.Ended{Number: ask.Number})...)
		f.placements.askAfter.Store(int64(time.Since(f.started) + placePause))
		f.config.Logger.Debug("no placement", "part", "follower", "address", *leader, "error", err)
		return choice, false, false
	}
	choice, found = placer.Choice(ask, reply.Placed)
	return choice, found, true
}

// Ended notes that a placement is over, and how long its first event took; 0 when
// there was none.
func (f *Follower) Ended(number uint64, first time.Duration) {
	f.placements.end(coordapi.Ended{Number: number, First: first})
}
