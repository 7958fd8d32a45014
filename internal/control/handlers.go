package control

import (
	"context"
	"encoding/json"
	"time"

	"github.com/cockroachdb/errors"

	"quinceridge.example/quinceridge/internal/controlapi"
	"quinceridge.example/quinceridge/internal/peer"
	"quinceridge.example/quinceridge/internal/raft"
	"quinceridge.example/quinceridge/internal/state"
)

// ErrStopping is returned to calls that the node did not finish because it is stopping.
var ErrStopping = errors.New("the node is stopping")

// handle dispatches a call from a peer.
func (s *Server) handle(ctx context.Context, kind string, body json.RawMessage) (any, error) {
	switch kind {
	case controlapi.KindRaft:
		return peer.HandleDecoded(body, s.handleRaft)
	case controlapi.KindLease:
		return peer.HandleDecoded(body, func(r controlapi.LeaseRequest) (controlapi.LeaseReply, error) { return s.handleLease(ctx, r) })
	case controlapi.KindView:
		return peer.HandleDecoded(body, func(r controlapi.ViewRequest) (controlapi.ViewReply, error) { return s.inventory.View(r), nil })
	case controlapi.KindSubmit:
		return peer.HandleDecoded(body, func(r controlapi.SubmitRequest) (controlapi.SubmitReply, error) { return s.handleSubmit(ctx, r) })
	case controlapi.KindStatus:
		return peer.HandleDecoded(body, func(r controlapi.StatusRequest) (controlapi.StatusReply, error) { return s.handleStatus(ctx, r) })
	case controlapi.KindChange:
		return peer.HandleDecoded(body, func(r controlapi.ChangeRequest) (controlapi.Acknowledgement, error) {
			return s.acknowledge(ctx, func(now time.Duration) error { return s.core.Change(now, r.Change) })
		})
	case controlapi.KindTransfer:
		return peer.HandleDecoded(body, func(r controlapi.TransferRequest) (controlapi.Acknowledgement, error) {
			return s.acknowledge(ctx, func(time.Duration) error { return s.core.TransferLeadership(r.To) })
		})
	}
	return nil, errors.Wrap(peer.ErrUnknownKind, kind)
}

// handleRaft queues a Raft message. It drops the message if the queue is full; Raft tolerates
// lost messages.
func (s *Server) handleRaft(m raft.Message) (struct{}, error) {
	s.loop.Offer(func(now time.Duration) { s.core.Step(now, m) })
	return struct{}{}, nil
}

func (s *Server) handleLease(ctx context.Context, r controlapi.LeaseRequest) (controlapi.LeaseReply, error) {
	var reply controlapi.LeaseReply
	if !s.loop.Do(ctx, func(now time.Duration) { reply = s.core.Lease(now, r) }) {
		return reply, ErrStopping
	}
	return reply, nil
}

type proposalResult struct {
	result state.Result
	err    error
}

// handleSubmit proposes a command and waits for its result. It adds the trust from the
// settings of this node to the command.
func (s *Server) handleSubmit(ctx context.Context, r controlapi.SubmitRequest) (controlapi.SubmitReply, error) {
	command := r.Command
	command.At = time.Now().UnixMilli()
	s.addBootstrap(&command)
	done := make(chan proposalResult, 1)
	var proposeErr error
	var leader string
	ran := s.loop.Do(ctx, func(now time.Duration) {
		proposeErr = s.core.Propose(now, command, func(result state.Result, err error) { done <- proposalResult{result, err} })
		leader = s.core.leaderAddress()
	})
	if !ran {
		return controlapi.SubmitReply{}, ErrStopping
	}
	if errors.Is(proposeErr, raft.ErrNotLeader) {
		return controlapi.SubmitReply{NotLeader: true, Leader: leader}, nil
	}
	if proposeErr != nil {
		return controlapi.SubmitReply{}, proposeErr
	}
	select {
	case outcome := <-done:
		return controlapi.SubmitReply{Result: outcome.result}, outcome.err
	case <-ctx.Done():
		return controlapi.SubmitReply{}, ErrStopping
	case <-s.loop.Stopped():
		return controlapi.SubmitReply{}, ErrStopping
	}
}

func (s *Server) addBootstrap(command *state.Command) {
	trust := s.core.config.Bootstrap
	if command.Propose != nil {
		command.Propose.Bootstrap = trust
	}
	if command.Approve != nil {
		command.Approve.Bootstrap = trust
	}
}

// acknowledge runs change on the owner of the core and converts its error into a reply.
func (s *Server) acknowledge(ctx context.Context, change func(now time.Duration) error) (controlapi.Acknowledgement, error) {
	var err error
	var leader string
	ran := s.loop.Do(ctx, func(now time.Duration) {
		err = change(now)
		leader = s.core.leaderAddress()
	})
	switch {
	case !ran:
		return controlapi.Acknowledgement{}, ErrStopping
	case errors.Is(err, raft.ErrNotLeader):
		return controlapi.Acknowledgement{NotLeader: true, Leader: leader}, nil
	case err != nil:
		return controlapi.Acknowledgement{Message: err.Error()}, nil
	}
	return controlapi.Acknowledgement{OK: true}, nil
}

func (s *Server) handleStatus(ctx context.Context, r controlapi.StatusRequest) (controlapi.StatusReply, error) {
	var reply controlapi.StatusReply
	var err error
	ran := s.loop.Do(ctx, func(now time.Duration) { reply, err = s.core.Report(now, r) })
	if !ran {
		return reply, ErrStopping
	}
	reply.Machines = s.inventory.Machines()
	return reply, err
}

// Report describes the node and its state.
func (c *Core) Report(now time.Duration, r controlapi.StatusRequest) (controlapi.StatusReply, error) {
	reply := controlapi.StatusReply{
		Raft:       c.node.Status(),
		HoldsLease: c.node.HoldsLease(now),
		History:    c.machine.History(),
		Claims:     c.machine.ClaimCount(),
	}
	if head := c.machine.Head(); head != nil {
		reply.Accepted = bundleIDOf(head)
		if r.Head {
			reply.Head = head.Canonical
		}
	}
	if pending := c.machine.Pending(); pending != nil {
		id := bundleIDOf(pending)
		reply.Pending = &id
		reply.Staged = pending.Stage != 0
		for operator := range pending.Signatures {
			reply.SignedBy = append(reply.SignedBy, operator)
		}
	}
	if reply.HoldsLease {
		reply.Routers = c.Routers(now)
	}
	if !r.Digest {
		return reply, nil
	}
	digest, err := c.machine.Digest()
	reply.StateDigest = digest
	return reply, err
}
