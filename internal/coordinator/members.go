package coordinator

import (
	"context"
	"time"

	"quinceridge.example/quinceridge/internal/coordapi"
	"quinceridge.example/quinceridge/internal/periodic"
	"quinceridge.example/quinceridge/internal/raft"
)

const (
	// targetVoters is the number of voters that the group grows to. Further nodes stay learners
	// until a voter is lost.
	targetVoters = 5
	// lostVoterSeconds is the time without contact, in seconds, after which a voter is replaced
	// by a learner. It is a few election time-outs: each new leader counts it anew, and the next
	// voter may be lost meanwhile. A voter that returns joins again.
	lostVoterSeconds = 1.5
	joinInterval     = 250 * time.Millisecond
)

// membershipManager maintains the membership of the group on the leader.
type membershipManager struct {
	// joining maps nodes that requested to join to their addresses.
	joining map[uint64]string
	// senders maps members to the addresses that they sent in their messages.
	senders map[uint64]string
}

// addressOf returns the address of a member, or "" if it is unknown.
func (k *membershipManager) addressOf(members raft.Membership, id uint64) string {
	if address := members.Addresses[id]; address != "" {
		return address
	}
	return k.senders[id]
}

// recordSender records the address that a member sent in a message.
func (k *membershipManager) recordSender(id uint64, address string) {
	if k.senders[id] == address {
		return
	}
	if k.senders == nil {
		k.senders = map[uint64]string{}
	}
	k.senders[id] = address
}

// requestJoin records the request of a node to join the group.
func (k *membershipManager) requestJoin(id uint64, address string) {
	if k.joining == nil {
		k.joining = map[uint64]string{}
	}
	k.joining[id] = address
}

// maintain proposes the next membership change, if there is one. The core rejects it while an
// earlier change is uncommitted.
func (k *membershipManager) maintain(s *Server) {
	if s.lastRole != raft.Leader || !s.core.HoldsLease(s.now()) {
		return
	}
	change, due := k.nextChange(s.core.Status())
	if !due {
		return
	}
	if err := s.core.Change(s.now(), change); err != nil {
		return
	}
	delete(k.joining, change.ID)
	s.logger.Info("membership change proposed", "part", "coordinator", "kind", string(change.Kind), "id", change.ID, "address", change.Address)
}

// nextChange returns the next membership change: first it removes the former member at the
// address of a joining node, then adds joining nodes as learners, promotes learners, and removes
// a voter without contact.
func (k *membershipManager) nextChange(status raft.Status) (raft.Change, bool) {
	members := status.Membership
	for id, address := range k.joining {
		if members.IsVoter(id) || members.IsLearner(id) {
			delete(k.joining, id)
			continue
		}
		for other, taken := range members.Addresses {
			if taken == address && other != id && other != status.ID {
				return raft.Change{Kind: raft.RemoveMember, ID: other}, true
			}
		}
		return raft.Change{Kind: raft.AddLearner, ID: id, Address: address}, true
	}
	if len(members.Learners) == 0 {
		return raft.Change{}, false
	}
	ready := readyLearner(status)
	if ready == 0 {
		return raft.Change{}, false
	}
	if len(members.Voters) < targetVoters {
		return raft.Change{Kind: raft.Promote, ID: ready}, true
	}
	for _, id := range members.Voters {
		if id != status.ID && float64(status.SinceContact[id]) > lostVoterSeconds {
			return raft.Change{Kind: raft.RemoveMember, ID: id}, true
		}
	}
	return raft.Change{}, false
}

// readyLearner returns a learner in contact that has almost the whole log, or 0.
func readyLearner(status raft.Status) uint64 {
	for _, id := range status.Membership.Learners {
		if status.Match[id]+maxPromotionLag >= status.LastIndex && float64(status.SinceContact[id]) < electionTimeout.Seconds() {
			return id
		}
	}
	return 0
}

// maxPromotionLag is the number of log entries that a learner may lack when it is promoted.
const maxPromotionLag = 8

// joinLoop sends join requests to one address after the other while needsJoin reports true.
func (s *Server) joinLoop(ctx context.Context) {
	target := 0
	periodic.Run(ctx, joinInterval, func(ctx context.Context) {
		var alone bool
		var known []string
		if !s.loop.Do(ctx, func(time.Duration) { alone, known = s.needsJoin() }) || !alone {
			return
		}
		addresses := append(known, *s.seeds.Load()...)
		if len(addresses) == 0 {
			return
		}
		target++
		s.sendJoin(ctx, addresses[target%len(addresses)])
	})
}

// needsJoin reports whether the node is no member of the group according to its replica, or has a
// log but no leader. It also returns the addresses of the other members.
func (s *Server) needsJoin() (bool, []string) {
	if s.core == nil {
		return false, nil
	}
	status := s.core.Status()
	inside := status.Membership.IsVoter(status.ID) || status.Membership.IsLearner(status.ID)
	var known []string
	for id, address := range status.Membership.Addresses {
		if id != status.ID {
			known = append(known, address)
		}
	}
	return !inside || (status.Leader == 0 && status.LastIndex > 0), known
}

func (s *Server) sendJoin(ctx context.Context, address string) {
	if address == s.settings.PeerAddress {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	request := coordapi.Request{Join: &coordapi.Join{Change: raft.Change{Kind: raft.AddLearner, ID: s.identity.ID, Address: s.settings.PeerAddress}}}
	var reply coordapi.Reply
	err := s.peers.Call(ctx, address, coordapi.KindCall, request, &reply)
	if err == nil && reply.NotLeader && reply.Leader != "" && reply.Leader != s.settings.PeerAddress {
		_ = s.peers.Call(ctx, reply.Leader, coordapi.KindCall, request, &reply)
	}
}
