package pushback

import (
	"time"

	"quinceridge.example/quinceridge/internal/coordapi"
	"quinceridge.example/quinceridge/internal/state"
)

// Connection is the connection over which a response has arrived. It leads to one process for its life.
type Connection interface {
	// OpenedAt returns when it was opened, by the wall clock.
	OpenedAt() state.UnixMilli
	// IsOpen reports whether neither end has closed it.
	IsOpen() bool
}

// Origin is where a response came from, which may be a later start of the back end than the one that the
// request was meant for. It is zero if that is not known.
type Origin struct {
	// Name is the one under which the request addressed the back end.
	Name, Address string
	Connection    Connection
}

// maxUnannounced is the time in milliseconds after its start within which a back end sends its first
// heartbeat. A longer time between both clocks tells that one of them is wrong.
const maxUnannounced state.UnixMilli = 30_000

// IsFrom reports whether a response came from a later start of the back end, which serves the address now.
// A connection that is open leads to it; the clocks of both machines decide about others.
func (o Origin) IsFrom(start state.Start, address string) bool {
	if o.Connection == nil || o.Name != start.Name || o.Address != address {
		return false
	}
	age := o.Connection.OpenedAt() - start.Born
	return o.Connection.IsOpen() || (age >= 0 && age < maxUnannounced)
}

// maxReceived bounds the pushbacks of an instance that are kept by their connections.
const maxReceived = 8

// received is the pushback that arrived over one connection.
type received struct {
	from     Origin
	until    time.Duration
	draining bool
}

// receive records what arrived over a connection.
func (s *entry) receive(from Origin, until time.Duration, draining bool) {
	if n := len(s.received); n > 0 && s.received[n-1].from.Connection == from.Connection {
		last := &s.received[n-1]
		last.from, last.until, last.draining = from, max(last.until, until), last.draining || draining
		return
	}
	if len(s.received) >= maxReceived {
		s.received = append(s.received[:0], s.received[1:]...)
	}
	s.received = append(s.received, received{from, until, draining})
}

// Adopt makes the pushbacks of a back end's later start hold for it that were recorded for an earlier start,
// because the later one had sent no heartbeat yet. It is called with the row ID of a request's receiver and
// the name and address under which the request addresses it.
func (g *Registry) Adopt(id coordapi.BackendID, name, address string) {
	start, later := state.LaterStart(name, string(id))
	if !later {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.clock()
	for earlier, s := range g.entries {
		if earlier == keyOf(id) || !s.unavailable(now) {
			continue
		}
		for _, r := range s.received {
			if r.from.IsFrom(start, address) {
				g.adopt(now, Backend{ID: id, Pool: s.pool, From: r.from}, earlier, r)
			}
		}
	}
}

// adopt records a pushback for a later start unless that has it already. The lock is held.
func (g *Registry) adopt(now time.Duration, to Backend, earlier coordapi.BackendID, r received) {
	s := g.entryFor(now, to)
	wait := r.until - max(s.until, now)
	if wait <= 0 && (!r.draining || s.draining) {
		return
	}
	s.receive(r.from, r.until, r.draining)
	if wait > 0 {
		s.updatedAt, s.until = now, r.until
		g.unreported = append(g.unreported, coordapi.Trouble{ID: string(to.ID), Kind: coordapi.Busy, For: r.until - now})
	}
	if r.draining && !s.draining {
		s.draining = true
		g.unreported = append(g.unreported, coordapi.Trouble{ID: string(to.ID), Kind: coordapi.Draining})
	}
	g.logger.Info("pushback was that of a later start", "part", "pushback", "backend", to.ID, "recorded_for", earlier, "pool", to.Pool,
		"wait_ms", max(r.until-now, 0).Milliseconds(), "draining", r.draining)
}
