package coordinator

import (
	"context"
	"encoding/json"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"quinceridge.example/quinceridge/internal/coordapi"
	"quinceridge.example/quinceridge/internal/level"
	"quinceridge.example/quinceridge/internal/peer"
	"quinceridge.example/quinceridge/internal/quota"
	"quinceridge.example/quinceridge/internal/ratelimit"
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
	s.loop.OfferPriority(event)
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
		s.takeReports(s.now(), r.Tell.Router, &r.Tell.Reports)
		s.placer.ApplyReports(s.now(), r.Tell.Router, &r.Tell.Reports)
		return s.asLeader(ctx, func(now time.Duration) { s.soft.told.take(now, r.Tell) })
	case r.Place != nil:
		return s.place(r.Place), nil
	case r.Claim != nil:
		return s.claim(r.Claim), nil
	case r.Repeat != nil:
		return s.repeat(r.Repeat), nil
	case r.ListLimits != nil:
		reply, err := s.asLeader(ctx, func(time.Duration) {})
		if err == nil && !reply.NotLeader {
			reply.Limits = &coordapi.LimitsInForce{Backends: s.backendLimits.List(s.now()), Tenants: s.limits.uses(s.now())}
		}
		return reply, err
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
	s.takeReports(now, ask.Router, &ask.Reports)
	if backends := s.blocking.keeps(ask.Request); backends != nil {
		s.placer.ApplyReports(now, ask.Router, &ask.Reports)
		return coordapi.Reply{Placed: &coordapi.Placed{Blocked: backends}}
	}
	after, admitted, counted := s.limits.take(now, ask)
	if !admitted {
		s.placer.ApplyReports(now, ask.Router, &ask.Reports)
		return coordapi.Reply{Placed: &coordapi.Placed{OverLimit: true, Wait: after}}
	}
	placed := s.placer.Place(now, ask)
	if counted && (placed.ID == "" || placed.Late) {
		s.limits.charge(now, []quota.Spent{{Tenant: ask.Tenant, Amount: -ask.Amount}})
	}
	placed.Uncounted = !counted
	return coordapi.Reply{Placed: &placed}
}

// claim grants a router the right to send to a back end that takes only so much from all
// machines, or says when there is room.
func (s *Server) claim(ask *coordapi.Claim) coordapi.Reply {
	if !s.leading.Load() {
		return coordapi.Reply{NotLeader: true}
	}
	now := s.now()
	s.takeReports(now, ask.Router, &ask.Reports)
	s.placer.ApplyReports(now, ask.Router, &ask.Reports)
	verdict := s.backendLimits.Take(now, ratelimit.Request{Router: ask.Router, Number: ask.Number, Backend: ask.Backend, Claimant: ask.Claimant})
	claimed := &coordapi.Claimed{Free: verdict.Unlimited, Wait: verdict.Wait}
	switch {
	case verdict.Granted:
		claimed.Right = ratelimit.PermitTTL
	case !verdict.Unlimited:
		claimed.Room = s.backendLimits.RetryAfter(now, ask.Pool)
	}
	return coordapi.Reply{Claimed: claimed}
}

// repeat lends a router a repeat. It is asked as placements are, past the replica.
func (s *Server) repeat(ask *coordapi.Repeat) coordapi.Reply {
	granted, counted := s.limits.lend(s.now(), ask, s.borrowing.share())
	if !counted {
		return coordapi.Reply{NotLeader: true}
	}
	return coordapi.Reply{Repeated: &coordapi.Repeated{Granted: granted}}
}

// takeReports takes what a router has to say, but for what concerns placements.
func (s *Server) takeReports(now time.Duration, router string, reports *coordapi.Reports) {
	s.limits.charge(now, reports.Spent)
	s.placer.ClearLimited(now, s.backendLimits.Observe(now, reports.Limits))
	s.placer.ClearLimited(now, s.backendLimits.Release(now, router, reports.Unused))
	s.blocking.take(now, router, reports)
	s.drain(router, draining(reports.Troubles))
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
	s.soft.watched(now, w.Router, level.Level(w.Level))
	s.borrowing.note(s.soft.borrowers, s.soft.watchers())
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
		v.Limited = s.soft.limitedOf(d, shard)
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
	if d.HasChangesSince(w.Since) && w.Shards <= shard.Count {
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
