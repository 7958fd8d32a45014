package coordinator

import (
	"context"
	"encoding/json"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"quinceridge.example/quinceridge/internal/coordapi"
	"quinceridge.example/quinceridge/internal/peer"
	"quinceridge.example/quinceridge/internal/quota"
	"quinceridge.example/quinceridge/internal/state"
)

// forwardTimeout bounds a call that is passed on to the leader.
const forwardTimeout = 900 * time.Millisecond

// handle serves one call of a peer.
func (s *Server) handle(ctx context.Context, kind string, body json.RawMessage) (any, error) {
	switch kind {
	case coordapi.KindRaft:
		return peer.Decoded(body, s.handleRaft)
	case coordapi.KindCall:
		return peer.Decoded(body, func(r coordapi.Request) (coordapi.Reply, error) { return s.serve(ctx, r) })
	}
	return nil, errors.Wrap(peer.ErrUnknownKind, kind)
}

// handleRaft queues a consensus message before all calls: the lease and elections must
// not wait behind what thousands of back ends and routers ask. A full queue loses it, as
// a network may.
func (s *Server) handleRaft(c coordapi.Consensus) (struct{}, error) {
	event := func(now time.Duration) {
		s.members.heardFrom(c.Message.From, c.Sender)
		s.core.Step(now, c.Message)
	}
	s.loop.OfferFirst(event)
	return struct{}{}, nil
}

// Call serves a request of this process's own listeners: here if this node
// leads, else at the leader.
func (s *Server) Call(ctx context.Context, request coordapi.Request) (coordapi.Reply, error) {
	ctx, cancel := context.WithTimeout(ctx, forwardTimeout)
	defer cancel()
	if request.Beat != nil && s.answerHere(ctx, *request.Beat) {
		return coordapi.Reply{}, nil
	}
	reply, err := s.serve(ctx, request)
	if err != nil || !reply.NotLeader {
		return reply, err
	}
	if reply.Leader == "" {
		return reply, ErrUnavailable
	}
	leader := reply.Leader
	reply = coordapi.Reply{}
	if err := s.peers.Call(ctx, leader, coordapi.KindCall, request, &reply); err != nil {
		return reply, errors.Mark(err, ErrUnavailable)
	}
	if reply.NotLeader {
		return reply, ErrUnavailable
	}
	return reply, nil
}

// serve runs a request if this node leads.
func (s *Server) serve(ctx context.Context, r coordapi.Request) (coordapi.Reply, error) {
	switch {
	case r.Find != nil:
		return s.find(ctx)
	case r.Watch != nil:
		return s.watch(ctx, *r.Watch)
	case r.Configure != nil:
		return s.submit(ctx, state.Command{Configure: r.Configure})
	case r.NameWeights != nil:
		return s.submit(ctx, state.Command{NameWeights: r.NameWeights})
	case r.Read != nil:
		return s.read(ctx)
	case r.Beat != nil:
		return s.beat(ctx, *r.Beat)
	case r.Digest != nil:
		return s.takeDigest(ctx, *r.Digest)
	case r.Leave != nil:
		return s.leave(ctx, *r.Leave)
	case r.Tell != nil:
		s.placer.Report(s.now(), r.Tell.Router, &r.Tell.Reports)
		s.limits.charge(s.now(), r.Tell.Spent)
		s.blocking.take(s.now(), r.Tell.Router, &r.Tell.Reports)
		s.drain(r.Tell.Router, draining(r.Tell.Troubles))
		return s.asLeader(ctx, func(now time.Duration) { s.soft.told.take(now, r.Tell) })
	case r.Place != nil:
		return s.place(r.Place), nil
	case r.Unblock != nil:
		return s.submit(ctx, state.Command{Unblock: r.Unblock})
	case r.Join != nil:
		return s.join(ctx, *r.Join)
	}
	return coordapi.Reply{}, errors.New("the request names no call")
}

// findWait is how long a node that knows of no leader holds the question for one. Routers
// ask again at once: after a loss of all machines 985 of them asked the three nodes that
// they knew every 60 ms, which had an election to hold. Below the time that a router waits
// for an answer.
const findWait = 150 * time.Millisecond

// find says whether this node leads, or who does, as soon as that is known.
func (s *Server) find(ctx context.Context) (coordapi.Reply, error) {
	deadline := time.NewTimer(findWait)
	defer deadline.Stop()
	for {
		var reply coordapi.Reply
		var changed <-chan struct{}
		ran := s.loop.Do(ctx, func(now time.Duration) { reply, changed = s.whoLeads(now), s.notify.of(0) })
		if !ran {
			return reply, ErrUnavailable
		}
		if !reply.NotLeader || reply.Leader != "" {
			return reply, nil
		}
		select {
		case <-changed:
		case <-deadline.C:
			return reply, nil
		case <-ctx.Done():
			return reply, ErrUnavailable
		}
	}
}

// place chooses an engine for a router. That is a hint, which needs no lease. A
// request beyond its tenant's limit gets none.
func (s *Server) place(ask *coordapi.Place) coordapi.Reply {
	if !s.leading.Load() {
		return coordapi.Reply{NotLeader: true}
	}
	now := s.now()
	s.limits.charge(now, ask.Spent)
	s.blocking.take(now, ask.Router, &ask.Reports)
	s.drain(ask.Router, draining(ask.Troubles))
	if backends := s.blocking.keeps(ask.Request); backends != nil {
		s.placer.Report(now, ask.Router, &ask.Reports)
		return coordapi.Reply{Placed: &coordapi.Placed{Blocked: backends}}
	}
	after, admitted, counted := s.limits.take(now, ask)
	if !admitted {
		s.placer.Report(now, ask.Router, &ask.Reports)
		return coordapi.Reply{Placed: &coordapi.Placed{OverLimit: true, Wait: after}}
	}
	placed := s.placer.Place(now, ask)
	if counted && (placed.ID == "" || placed.Late) {
		s.limits.charge(now, []quota.Spent{{Tenant: ask.Tenant, Amount: -ask.Amount}})
	}
	placed.Uncounted = !counted
	return coordapi.Reply{Placed: &placed}
}

// asLeader runs work on the replica's goroutine if this node leads.
func (s *Server) asLeader(ctx context.Context, work func(now time.Duration)) (coordapi.Reply, error) {
	var reply coordapi.Reply
	ran := s.loop.Do(ctx, func(now time.Duration) {
		if reply = s.whoLeads(now); !reply.NotLeader {
			work(now)
		}
	})
	if !ran {
		return reply, ErrUnavailable
	}
	return reply, nil
}

// whoLeads is the reply of a node that does not lead, an empty one if this does.
func (s *Server) whoLeads(now time.Duration) coordapi.Reply {
	if s.core.HoldsLease(now) {
		return coordapi.Reply{}
	}
	return coordapi.Reply{NotLeader: true, Leader: s.leaderAddress(), Backends: len(s.core.Machine().Deployment().Backends)}
}

func (s *Server) leaderAddress() string {
	status := s.core.Status()
	if status.Leader == 0 || status.Leader == status.ID {
		return ""
	}
	return s.members.addressOf(status.Membership, status.Leader)
}

// submit runs a command through the log and waits until it is in force.
func (s *Server) submit(ctx context.Context, command state.Command) (coordapi.Reply, error) {
	done := make(chan error, 1)
	var refused error
	reply, err := s.asLeader(ctx, func(now time.Duration) {
		refused = s.core.Propose(now, command, func(_ state.Result, err error) { done <- err })
	})
	if err != nil || reply.NotLeader {
		return reply, err
	}
	if refused != nil {
		return reply, errors.Mark(refused, ErrUnavailable)
	}
	return reply, outcome(ctx, done)
}

// outcome waits for what becomes of a command, which is not known when the context ends
// first.
func outcome(ctx context.Context, done <-chan error) error {
	select {
	case err := <-done:
		return err
	case <-ctx.Done():
		return ErrUnavailable
	}
}

// propose runs a command that nobody waits for: who asks for it does so again while it
// is due.
func (s *Server) propose(now time.Duration, part string, command state.Command) {
	err := s.core.Propose(now, command, func(_ state.Result, err error) {
		if err != nil {
			s.logger.Warn("proposal lost", "part", part, "error", err.Error())
		}
	})
	if err != nil {
		s.logger.Warn("proposal refused", "part", part, "error", err.Error())
	}
}

// read returns the configuration in force. The lease vouches that no other
// leader has acknowledged a newer one.
func (s *Server) read(ctx context.Context) (coordapi.Reply, error) {
	var document json.RawMessage
	reply, err := s.asLeader(ctx, func(time.Duration) { document = s.core.Machine().Deployment().Document })
	reply.Document = document
	return reply, err
}

func (s *Server) join(ctx context.Context, j coordapi.Join) (coordapi.Reply, error) {
	return s.asLeader(ctx, func(time.Duration) { s.members.ask(j.Change.ID, j.Change.Address) })
}

// beat notes a heartbeat. A heartbeat that changes the row is acknowledged
// only once the change is durable on a majority.
func (s *Server) beat(ctx context.Context, b coordapi.Beat) (coordapi.Reply, error) {
	var refused error
	reply, err := s.enrol(ctx, func(now time.Duration) (state.Backend, bool) {
		b.Backend.Instance = ""
		start := b.Backend.Start()
		id, counts := s.rowFor(now, start)
		if !counts {
			return state.Backend{}, false
		}
		b.Backend.ID, b.Backend.Instance = id, ""
		if id != start.Name {
			b.Backend.Instance = start.Name
		}
		if _, left := s.soft.leftEarly[start]; left {
			b.Backend.Draining = true
		}
		old, known := s.enrolment.row(s.core.Machine().Deployment(), b.Backend.ID)
		var enrols bool
		if enrols, refused = s.pools.taken(old, known, b.Backend.Pool); !enrols {
			return old, false
		}
		s.noteStart(start, b.Backend.ID)
		if !s.soft.heard(now, b.Backend.ID, b.Sequence) && known {
			return old, s.enrolment.ahead(b.Backend.ID) != nil
		}
		row, changed := merged(old, known, b.Backend)
		if changed {
			s.logger.Info("back end changed", "part", "registry", "backend", row.ID, "pool", row.Pool, "address", row.Address,
				"draining", row.Draining, "sequence", b.Sequence)
		}
		return row, changed || s.enrolment.ahead(row.ID) != nil
	})
	if refused != nil {
		s.Unreadable(b.Backend.Name(), refused)
		return reply, refused
	}
	return reply, err
}

// merged lays a heartbeat over the row that is held. What orders have changed
// stays: the heartbeat may be older.
func merged(old state.Backend, known bool, beat state.Backend) (state.Backend, bool) {
	if !known {
		return beat, true
	}
	row := old
	row.Pool, row.Address, row.Zone, row.Slots = beat.Pool, beat.Address, beat.Zone, beat.Slots
	row.Draining = old.Draining || beat.Draining
	if beat.Born != 0 {
		row.Born = beat.Born
	}
	for model, version := range beat.Weights {
		if version > row.Weights[model] {
			row.Weights = raised(row.Weights, model, version)
		}
	}
	same := row.Pool == old.Pool && row.Address == old.Address && row.Zone == old.Zone && row.Slots == old.Slots &&
		row.Draining == old.Draining && row.Born == old.Born && sameWeights(row.Weights, old.Weights)
	return row, !same
}

func raised(weights map[string]int, model string, version int) map[string]int {
	out := map[string]int{model: version}
	for m, v := range weights {
		if m != model {
			out[m] = v
		}
	}
	return out
}

func sameWeights(a, b map[string]int) bool {
	if len(a) != len(b) {
		return false
	}
	for model, version := range a {
		if b[model] != version {
			return false
		}
	}
	return true
}

// drain marks back ends as draining that have said so in an answer: a router may know it
// seconds before a heartbeat tells the leader, and the leader places for the others.
// By is who was told. A mark that is lost with the leadership is told again, by routers
// to each leader and by the back end's heartbeat.
func (s *Server) drain(by string, ids []coordapi.BackendID) {
	if len(ids) == 0 {
		return
	}
	s.loop.Offer(func(now time.Duration) {
		if s.core == nil || !s.core.HoldsLease(now) {
			return
		}
		for _, id := range ids {
			s.drainOne(by, id)
		}
	})
}

func (s *Server) drainOne(by string, id coordapi.BackendID) {
	row, known := s.enrolment.row(s.core.Machine().Deployment(), string(id))
	if !known || row.Draining {
		return
	}
	row.Draining = true
	s.logger.Info("back end drains", "part", "registry", "backend", id, "pool", row.Pool, "told_by", by)
	s.enrolment.add(row, func(err error) {
		if err != nil {
			s.logger.Warn("drain lost", "part", "registry", "backend", id, "error", err.Error())
		}
	})
}

// leave marks a back end as draining. The row stays until it is silent, so
// that a late heartbeat cannot bring it back.
func (s *Server) leave(ctx context.Context, l coordapi.Leave) (coordapi.Reply, error) {
	return s.enrol(ctx, func(now time.Duration) (state.Backend, bool) {
		start := state.Start{Name: l.ID, Born: l.Born}
		id, counts := s.rowFor(now, start)
		if !counts {
			return state.Backend{}, false
		}
		row, known := s.enrolment.row(s.core.Machine().Deployment(), id)
		if !known {
			s.leaveEarly(start)
		}
		if known && !row.Draining {
			row.Draining = true
			s.logger.Info("back end leaves", "part", "registry", "backend", row.ID)
			return row, true
		}
		return row, s.enrolment.ahead(id) != nil
	})
}

// watch holds the call until something changed after the watcher's revision.
func (s *Server) watch(ctx context.Context, w coordapi.Watch) (coordapi.Reply, error) {
	deadline := time.NewTimer(w.Wait)
	defer deadline.Stop()
	for last := false; ; {
		var view *coordapi.View
		var changed <-chan struct{}
		reply, err := s.asLeader(ctx, func(now time.Duration) {
			view = s.view(now, w, last)
			changed = s.notify.of(s.shardOf(w.Router).Index)
		})
		if err != nil || reply.NotLeader {
			return reply, err
		}
		if view != nil {
			reply.View = view
			return reply, nil
		}
		select {
		case <-changed:
		case <-deadline.C:
			last = true
		case <-ctx.Done():
			return reply, ErrUnavailable
		}
	}
}

// shardOf returns a router's shard in the present step.
func (s *Server) shardOf(router string) coordapi.Shard {
	return coordapi.ShardOf(router, s.soft.step.shards())
}

// view returns what the watcher lacks, or nil when it lacks nothing and may
// wait.
func (s *Server) view(now time.Duration, w coordapi.Watch, last bool) *coordapi.View {
	s.soft.watched(now, w.Router)
	d := s.core.Machine().Deployment()
	step := &s.soft.step
	if step.shards() == 0 || step.urgent(d) {
		// A view vouches for the configuration.
		s.step(now, d)
	}
	shard := s.shardOf(w.Router)
	sameLeader := w.Leader.Leadership() == s.soft.epoch
	news := s.soft.told.announcements > w.Announced || !sameLeader
	if step.changedFor(d, shard) <= w.Since && w.Leader == s.soft.token() && !news && !last {
		return nil
	}
	v := &coordapi.View{Revision: step.revision, Leader: s.soft.token(), Version: d.Version, Routers: s.soft.watchers(), Shard: shard}
	if !sameLeader || step.membersAt > w.Since {
		v.Members = step.members
	}
	if v.Leader != w.Leader {
		v.Notes = s.rollout.notes
		v.Silent = s.soft.silentOf(d, shard)
		v.Suspects = s.blocking.suspects
	}
	if !sameLeader {
		w.SavedSince = 0
	}
	v.Saved, v.SavedUntil = s.soft.told.after(w.SavedSince)
	v.Announced = s.soft.told.announcements
	v.Shares = s.limits.announced()
	if news {
		sums := s.soft.told.since(w.Announced, sameLeader)
		mine := sums.of(shard)
		v.Loads, v.PackedLoads, v.EngineLoads = mine.loads, mine.packed, sums.engines
		v.LoadsAge = now - s.soft.told.toldAt
	}
	if d.Remembers(w.Since) && w.Shards <= shard.Count {
		step.fill(v, d, w.Since)
	} else {
		step.fillWhole(v, d)
	}
	return v
}

// step moves on to what is committed now, and wakes whom that concerns.
func (s *Server) step(now time.Duration, d *state.Deployment) {
	members := make([]string, 0, len(s.soft.step.members))
	for _, address := range s.core.Status().Membership.Addresses {
		members = append(members, address)
	}
	slices.Sort(members)
	shards, all := s.soft.step.next(now, s.core.Machine().Applied(), d)
	s.soft.step.follow(members)
	if all {
		s.notify.wake()
		return
	}
	s.notify.wakeShards(shards)
}
