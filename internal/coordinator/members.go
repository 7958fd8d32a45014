package coordinator

import (
	"context"
	"time"

	"quinceridge.example/quinceridge/internal/coordapi"
	"quinceridge.example/quinceridge/internal/periodic"
	"quinceridge.example/quinceridge/internal/raft"
)

const (
	// wantedVoters is the size that the group grows to. Further nodes stay
	// learners until a voter is lost.
	wantedVoters = 5
	// lostAfter is how long a voter is silent before a learner takes its place.
	lostAfter = 5.0
	joinEvery = 250 * time.Millisecond
)

// memberKeeper is the leader's upkeep of the group.
type memberKeeper struct {
	// joining maps nodes that asked to join to their addresses.
	joining map[uint64]string
	// senders maps members to the addresses that their messages named.
	senders map[uint64]string
}

// addressOf returns where a member is reached, empty when that is not known.
func (k *memberKeeper) addressOf(members raft.Membership, id uint64) string {
	if address := members.Addresses[id]; address != "" {
		return address
	}
	return k.senders[id]
}

// heardFrom notes the address that a member's message named.
func (k *memberKeeper) heardFrom(id uint64, address string) {
	if k.senders[id] == address {
		return
	}
	if k.senders == nil {
		k.senders = map[uint64]string{}
	}
	k.senders[id] = address
}

// ask notes that a node wants to be a member.
func (k *memberKeeper) ask(id uint64, address string) {
	if k.joining == nil {
		k.joining = map[uint64]string{}
	}
	k.joining[id] = address
}

// keep proposes the next change of the membership, if one is due. The core
// refuses a second one until the first is committed.
func (k *memberKeeper) keep(s *Server) {
	if s.lastRole != raft.Leader || !s.core.HoldsLease(s.now()) {
		return
	}
	change, due := k.next(s.core.Status())
	if !due {
		return
	}
	if err := s.core.Change(s.now(), change); err != nil {
		return
	}
	delete(k.joining, change.ID)
	s.logger.Info("membership change", "part", "coordinator", "kind", string(change.Kind), "id", change.ID, "address", change.Address)
}

// next decides: first remove the lost owner of an address that joins again,
// then add who asks, then promote, then replace a voter that fell silent.
func (k *memberKeeper) next(status raft.Status) (raft.Change, bool) {
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
	if len(members.Voters) < wantedVoters {
		return raft.Change{Kind: raft.Promote, ID: ready}, true
	}
	for _, id := range members.Voters {
		if id != status.ID && float64(status.SinceContact[id]) > lostAfter {
			return raft.Change{Kind: raft.RemoveMember, ID: id}, true
		}
	}
	return raft.Change{}, false
}

// readyLearner returns a learner that holds nearly the whole log, or 0.
func readyLearner(status raft.Status) uint64 {
	for _, id := range status.Membership.Learners {
		if status.Match[id]+promotionSlack >= status.LastIndex && float64(status.SinceContact[id]) < electionTimeout.Seconds() {
			return id
		}
	}
	return 0
}

const promotionSlack = 8

// joinLoop asks to join for as long as the node is no voter.
func (s *Server) joinLoop(ctx context.Context) {
	target := 0
	periodic.Run(ctx, joinEvery, func(ctx context.Context) {
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
		s.askToJoin(ctx, addresses[target%len(addresses)])
	})
}

// needsJoin tells whether the node is outside the group, as far as it knows, or
// hears of no leader.
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

func (s *Server) askToJoin(ctx context.Context, address string) {
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
