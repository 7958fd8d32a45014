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

// forwardTimeout bounds a call that is forwarded to the leader.
const forwardTimeout = 900 * time.Millisecond

// handle serves one call of a peer.
func (s *Server) handle(ctx context.Context, kind string, body json.RawMessage) (any, error) {
	switch kind {
	case coordapi.KindRaft:
		return peer.HandleDecoded(body, s.handleRaft)
	case coordapi.KindCall:
		return peer.HandleDecoded(body, func(r coordapi.Request) (coordapi.Reply, error) { return s.serve(ctx, r) })
	}
	return nil, errors.Wrap(peer.ErrUnknownKind, kind)
}

// handleRaft queues a Raft message ahead of all calls, so that calls of back ends and routers
// delay neither elections nor the lease. The message is dropped if the queue is full, as a
// network may drop it.
func (s *Server) handleRaft(c coordapi.Consensus) (struct{}, error) {
	event := func(now time.Duration) {
		s.members.recordSender(c.Message.From, c.Sender)
		s.core.Step(now, c.Message)
	}
	s.loop.OfferPriority(event)
	return struct{}{}, nil
}

// Call serves a request of this process's own listeners: locally if this node leads, otherwise by
// forwarding it to the leader. It returns ErrUnavailable if no leader can be reached or the
// outcome is unknown.
func (s *Server) Call(ctx context.Context, request coordapi.Request) (coordapi.Reply, error) {
	ctx, cancel := context.WithTimeout(ctx, forwardTimeout)
	defer cancel()
	if request.Heartbeat != nil && s.answerLocally(ctx, *request.Heartbeat) {
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
		return s.configure(ctx, *r.Configure)
	case r.NameWeights != nil:
		return s.submit(ctx, state.Command{NameWeights: r.NameWeights})
	case r.Read != nil:
		return s.read(ctx)
	case r.Heartbeat != nil:
		return s.acceptHeartbeat(ctx, *r.Heartbeat)
	case r.HeartbeatDigest != nil:
		return s.recordDigest(ctx, *r.HeartbeatDigest)
	case r.Leave != nil:
		return s.leave(ctx, *r.Leave)
	case r.Update != nil:
		s.recordReports(s.now(), r.Update.Router, &r.Update.Reports)
		s.placer.ApplyReports(s.now(), r.Update.Router, &r.Update.Reports)
		s.placer.ApplyLoads(s.now(), r.Update.Router, r.Update.Loads)
		s.backendLimits.ReportLoads(s.now(), r.Update.Router, r.Update.Loads)
		s.placer.ApplyStalls(s.now(), r.Update.Router, r.Update.Stalls)
		return s.runAsLeader(ctx, func(now time.Duration) {
			s.soft.routerReports.record(now, r.Update)
			s.soft.fairShares.allocator.Report(now, r.Update.Demands)
		})
	case r.Place != nil:
		return s.place(r.Place), nil
	case r.Await != nil:
		return s.await(ctx, r.Await)
	case r.Claim != nil:
		return s.claim(r.Claim), nil
	case r.Repeat != nil:
		return s.lendRetry(r.Repeat), nil
	case r.ListLimits != nil:
		reply, err := s.runAsLeader(ctx, func(time.Duration) {})
		if err == nil && !reply.NotLeader {
			reply.Limits = &coordapi.LimitsInForce{Backends: s.backendLimits.List(s.now()), Tenants: s.tenantLimits.list(s.now())}
		}
		return reply, err
	case r.Relays != nil:
		return s.exchangeRelays(ctx, r.Relays)
	case r.Block != nil:
		return s.submit(ctx, state.Command{Block: r.Block})
	case r.Unblock != nil:
		return s.submit(ctx, state.Command{Unblock: r.Unblock})
	case r.RecordStreams != nil:
		return s.recordStreams(r.RecordStreams), nil
	case r.FindStream != nil:
		return s.findStream(r.FindStream), nil
	case r.Join != nil:
		return s.join(ctx, *r.Join)
	}
	return coordapi.Reply{}, errors.New("the request names no call")
}

// findTimeout is how long a node without a known leader delays the answer to Find. An immediate
// answer would make all routers poll the nodes during an election: after a loss of all machines 985
// routers asked three nodes every 60 ms. It is shorter than the timeout of the routers' call.
const findTimeout = 150 * time.Millisecond

// find reports whether this node leads, or which node does, as soon as that is known or
// findTimeout has passed.
func (s *Server) find(ctx context.Context) (coordapi.Reply, error) {
	deadline := time.NewTimer(findTimeout)
	defer deadline.Stop()
	for {
		var reply coordapi.Reply
		var changed <-chan struct{}
		ran := s.loop.Do(ctx, func(now time.Duration) { reply, changed = s.notLeaderReply(now), s.notify.changedIn(0) })
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

// place chooses an engine for a router's request, unless the request is blocked or over its
// tenant's limit. A placement is a hint and needs no lease.
func (s *Server) place(req *coordapi.Place) coordapi.Reply {
	if !s.leading.Load() {
		return coordapi.Reply{NotLeader: true}
	}
	now := s.now()
	s.recordReports(now, req.Router, &req.Reports)
	if backends, blocked := s.blocker.crashedBackends(req.Request); blocked {
		s.placer.ApplyReports(now, req.Router, &req.Reports)
		if len(backends) == 0 {
			backends = []string{blockedByOperator}
		}
		return coordapi.Reply{Placed: &coordapi.Placed{Blocked: backends}}
	}
	if req.Trial != 0 {
		return s.placeTrial(now, req)
	}
	return s.placeAllowed(now, req)
}

// placeTrial places a request as the trial of a block, unless another one is or was.
func (s *Server) placeTrial(now time.Duration, req *coordapi.Place) coordapi.Reply {
	backends, taken := s.blocker.takeTrial(req.Trial)
	if !taken && len(backends) > 0 {
		s.placer.ApplyReports(now, req.Router, &req.Reports)
		return coordapi.Reply{Placed: &coordapi.Placed{Blocked: backends}}
	}
	req.Wait = false
	reply := s.placeAllowed(now, req)
	if placed := reply.Placed; placed.ID == "" || placed.Late {
		if taken {
			s.blocker.returnTrial(req.Trial)
		}
		return reply
	}
	s.logger.Info("request placed for a trial", "part", "blocking", "block", req.Trial.String(), "request", req.Request.String(), "router", req.Router, "backend", reply.Placed.ID)
	return reply
}

// placeAllowed chooses an engine for a request that is not blocked.
func (s *Server) placeAllowed(now time.Duration, req *coordapi.Place) coordapi.Reply {
	if req.Wait && req.Amount > 0 && s.placer.Holds(req.Router, req.Number) {
		// It was counted when it was queued.
		placed := s.placer.Place(now, req)
		return coordapi.Reply{Placed: &placed}
	}
	after, admitted, counted := s.admit(req)
	now = s.now()
	if !admitted {
		s.placer.ApplyReports(now, req.Router, &req.Reports)
		return coordapi.Reply{Placed: &coordapi.Placed{OverLimit: true, Wait: after}}
	}
	tenant, amount := req.Tenant, req.Amount
	if !counted {
		req.Tenant, req.Amount = "", 0
	}
	placed := s.placer.Place(now, req)
	switch {
	case counted && placed.Queued:
		s.tenantLimits.hold(now, tenant, amount)
	case counted && (placed.ID == "" || placed.Late):
		s.tenantLimits.charge(now, []quota.Spent{{Tenant: tenant, Amount: -amount}})
	}
	placed.Uncounted = !counted
	return coordapi.Reply{Placed: &placed}
}

const (
	// recordPollInterval is the time between two checks whether the levels of a tenant's limit are
	// recorded, and maxRecordPolls bounds the wait for it to some commits.
	recordPollInterval = 5 * time.Millisecond
	maxRecordPolls     = 40
)

// admit decides whether a request is within its tenant's limit. It waits while only the recorded level
// of the limit is too high for the request.
func (s *Server) admit(req *coordapi.Place) (after time.Duration, admitted, counted bool) {
	for range maxRecordPolls {
		after, admitted, counted = s.tenantLimits.admit(s.now(), req)
		if admitted || after > 0 {
			return after, admitted, counted
		}
		time.Sleep(recordPollInterval)
	}
	return recordPollInterval * maxRecordPolls, admitted, counted
}

// claim grants a router a permit for one request to a back end with a limit, or returns the retry
// delay.
func (s *Server) claim(req *coordapi.Claim) coordapi.Reply {
	if !s.leading.Load() {
		return coordapi.Reply{NotLeader: true}
	}
	now := s.now()
	s.recordReports(now, req.Router, &req.Reports)
	s.placer.ApplyReports(now, req.Router, &req.Reports)
	verdict := s.backendLimits.Take(now, ratelimit.Request{Router: req.Router, Number: req.Number, Backend: req.Backend, Claimant: req.Claimant, Slots: s.placer.Slots(req.Backend), Finishes: req.Finishes})
	claimed := &coordapi.Claimed{Unlimited: verdict.Unlimited, Running: verdict.Running, Wait: verdict.Wait}
	switch {
	case verdict.Granted:
		claimed.Permit = ratelimit.PermitTTL
	case !verdict.Unlimited:
		claimed.RetryAfter = s.backendLimits.RetryAfter(now, req.Pool)
	}
	return coordapi.Reply{Claimed: claimed}
}

// lendRetry lends a router one retry. Like place, it does not go through the run goroutine.
func (s *Server) lendRetry(req *coordapi.Repeat) coordapi.Reply {
	granted, counted := s.tenantLimits.lend(s.now(), req, s.retryBorrowers.share())
	if !counted {
		return coordapi.Reply{NotLeader: true}
	}
	return coordapi.Reply{Repeated: &coordapi.Repeated{Granted: granted}}
}

// recordReports records a router's reports, except those about placements.
func (s *Server) recordReports(now time.Duration, router string, reports *coordapi.Reports) {
	s.logTroubles(now, router, reports.Troubles)
	s.tenantLimits.charge(now, reports.Spent)
	s.placer.ClearLimited(now, s.backendLimits.Observe(now, reports.Limits))
	s.placer.ClearLimited(now, s.backendLimits.Unused(now, router, reports.Unused))
	s.backendLimits.Finished(router, reports.Finished)
	s.blocker.record(now, router, reports)
	s.markDraining(router, drainingBackends(reports.Troubles))
}

// runAsLeader runs work on the run goroutine if this node leads, and otherwise returns a reply
// that names the leader.
func (s *Server) runAsLeader(ctx context.Context, work func(now time.Duration)) (coordapi.Reply, error) {
	var reply coordapi.Reply
	ran := s.loop.Do(ctx, func(now time.Duration) {
		if reply = s.notLeaderReply(now); !reply.NotLeader {
			work(now)
		}
	})
	if !ran {
		return reply, ErrUnavailable
	}
	return reply, nil
}

// notLeaderReply returns the reply of a node that does not lead, or an empty reply if this node
// leads.
func (s *Server) notLeaderReply(now time.Duration) coordapi.Reply {
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

// submit proposes a command and waits until it is applied.
func (s *Server) submit(ctx context.Context, command state.Command) (coordapi.Reply, error) {
	done := make(chan error, 1)
	var rejected error
	reply, err := s.runAsLeader(ctx, func(now time.Duration) {
		rejected = s.core.Propose(now, command, func(_ state.Result, err error) { done <- err })
	})
	if err != nil || reply.NotLeader {
		return reply, err
	}
	if rejected != nil {
		return reply, errors.Mark(rejected, ErrUnavailable)
	}
	return reply, awaitOutcome(ctx, done)
}

// awaitOutcome waits for the outcome of a command. It returns ErrUnavailable if the context ends
// first, because the outcome is then unknown.
func awaitOutcome(ctx context.Context, done <-chan error) error {
	select {
	case err := <-done:
		return err
	case <-ctx.Done():
		return ErrUnavailable
	}
}

// propose proposes a command without waiting for it. Callers propose again as long as the command
// is needed.
func (s *Server) propose(now time.Duration, part string, command state.Command) {
	err := s.core.Propose(now, command, func(_ state.Result, err error) {
		if err != nil {
			s.logger.Warn("outcome of proposal unknown", "part", part, "error", err.Error())
		}
	})
	if err != nil {
		s.logger.Warn("proposal rejected", "part", part, "error", err.Error())
	}
}

// read returns the configuration in force. The lease guarantees that no other leader has
// acknowledged a newer one.
func (s *Server) read(ctx context.Context) (coordapi.Reply, error) {
	var document json.RawMessage
	reply, err := s.runAsLeader(ctx, func(time.Duration) { document = s.core.Machine().Deployment().Document })
	reply.Document = document
	return reply, err
}

func (s *Server) join(ctx context.Context, j coordapi.Join) (coordapi.Reply, error) {
	return s.runAsLeader(ctx, func(time.Duration) { s.members.requestJoin(j.Change.ID, j.Change.Address) })
}

// watch blocks until something has changed since the watcher's revision, or until w.Wait has
// passed.
func (s *Server) watch(ctx context.Context, w coordapi.Watch) (coordapi.Reply, error) {
	deadline := time.NewTimer(w.Wait)
	defer deadline.Stop()
	for last := false; ; {
		var view *coordapi.View
		var changed <-chan struct{}
		reply, err := s.runAsLeader(ctx, func(now time.Duration) {
			view = s.view(now, w, last)
			changed = s.notify.changedIn(s.shardOf(w.Router).Index)
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

// shardOf returns a router's shard in the broadcast revision.
func (s *Server) shardOf(router string) coordapi.Shard {
	return coordapi.ShardOf(router, s.soft.broadcast.shards())
}

// view returns what the watcher lacks. It returns nil if there is nothing new and the watcher may
// wait.
func (s *Server) view(now time.Duration, w coordapi.Watch, last bool) *coordapi.View {
	s.soft.recordWatch(now, w.Router, level.Level(w.Level), w.Leader)
	s.retryBorrowers.set(s.soft.borrowers, s.soft.watchers())
	d := s.core.Machine().Deployment()
	broadcast := &s.soft.broadcast
	if broadcast.shards() == 0 || broadcast.urgent(d) {
		// A view must not contain an outdated configuration.
		s.broadcast(now, d)
	}
	shard := s.shardOf(w.Router)
	sameLeader := w.Leader.Leadership() == s.soft.epoch
	news := s.soft.routerReports.announcements > w.Announced || !sameLeader
	if broadcast.lastChange(d, shard) <= w.Since && w.Leader == s.soft.token() && !news && !last {
		return nil
	}
	v := &coordapi.View{Revision: broadcast.revision, Leader: s.soft.token(), Version: d.Version, Routers: s.soft.watchers(), Shard: shard}
	if d.SharedPrompts != nil {
		v.PromptScope = &d.SharedPrompts.Scope
	}
	if !sameLeader || broadcast.membersRevision > w.Since {
		v.Members = broadcast.members
	}
	if v.Leader != w.Leader {
		v.Notes = s.rollout.notes
		v.Silent, v.Unresponsive = s.soft.silentAndUnresponsive(d, shard)
		v.Limited = s.soft.limitedOf(d, shard)
		v.Suspects, v.Trials, v.Proposed = s.blocker.suspects, s.blocker.announcedTrials, s.blocker.announcedProposed
		v.Software = s.soft.software
	}
	if !sameLeader {
		w.SavedSince = 0
	}
	v.Saved, v.SavedUntil = s.soft.routerReports.savedAfter(w.SavedSince)
	v.Announced = s.soft.routerReports.announcements
	v.Shares = s.tenantLimits.announcedShares()
	v.FairShares = s.soft.fairShares.announced
	if news {
		sums := s.soft.routerReports.sumsSince(w.Announced, sameLeader)
		mine := sums.forShard(shard)
		v.Loads, v.PackedLoads, v.EngineLoads = mine.loads, mine.packed, sums.engines
		v.LoadsAge = now - s.soft.routerReports.meanReportTime
		v.Rooms = s.soft.rooms
	}
	if d.HasChangesSince(w.Since) && w.Shards <= shard.Count {
		broadcast.fillChanges(v, d, w.Since)
	} else {
		broadcast.fillFull(v, d)
	}
	return v
}

// broadcast moves the broadcast revision to the applied state and wakes the watchers that it
// concerns.
func (s *Server) broadcast(now time.Duration, d *state.Deployment) {
	members := make([]string, 0, len(s.soft.broadcast.members))
	for _, address := range s.core.Status().Membership.Addresses {
		members = append(members, address)
	}
	slices.Sort(members)
	shards, all := s.soft.broadcast.advance(now, s.core.Machine().Applied(), d)
	s.soft.broadcast.setMembers(members)
	if all {
		s.notify.wake()
		return
	}
	s.notify.wakeShards(shards)
}
