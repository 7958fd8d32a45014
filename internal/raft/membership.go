package raft

import (
	"encoding/json"
	"slices"
	"time"

	"github.com/cockroachdb/errors"
)

// ProposeChange appends a membership change of one server and returns its log index. It returns
// ErrChangePending while an earlier change is uncommitted or before the leader has committed an
// entry of its own term; together the two rules keep the majorities of successive memberships
// overlapping.
func (n *Node) ProposeChange(now time.Duration, change Change) (index uint64, err error) {
	n.advanceClock(now)
	if n.role != Leader || n.transferring != 0 {
		return 0, ErrNotLeader
	}
	if n.memberships[len(n.memberships)-1].index > n.log.commit || n.log.commit < n.termStart {
		return 0, ErrChangePending
	}
	members, err := n.membershipAfter(change)
	if err != nil {
		return 0, err
	}
	data, err := json.Marshal(members)
	if err != nil {
		return 0, errors.Wrap(err, "encode membership")
	}
	return n.appendEntry(EntryMembership, data), nil
}

// membershipAfter returns the membership after a change.
func (n *Node) membershipAfter(change Change) (Membership, error) {
	members := n.members.Clone()
	switch change.Kind {
	case AddLearner:
		if slices.Contains(members.Members(), change.ID) {
			return members, errors.Newf("member %d is there already; numbers are never used again", change.ID)
		}
		members.Learners = append(members.Learners, change.ID)
		if members.Addresses == nil {
			members.Addresses = map[uint64]string{}
		}
		members.Addresses[change.ID] = change.Address
	case Promote:
		if !members.IsLearner(change.ID) {
			return members, ErrUnknownMember
		}
		if !n.caughtUp(change.ID) {
			return members, ErrNotCaughtUp
		}
		members.Learners = removeID(members.Learners, change.ID)
		members.Voters = append(members.Voters, change.ID)
	case RemoveMember:
		if !slices.Contains(members.Members(), change.ID) {
			return members, ErrUnknownMember
		}
		if members.IsVoter(change.ID) && len(members.Voters) == 1 {
			return members, ErrLastVoter
		}
		members.Voters = removeID(members.Voters, change.ID)
		members.Learners = removeID(members.Learners, change.ID)
		delete(members.Addresses, change.ID)
	default:
		return members, errors.Newf("unknown change %q", change.Kind)
	}
	return members, nil
}

// promotionSlack is the number of entries by which a learner may lag when it is promoted.
const promotionSlack = 16

// caughtUp reports whether a learner has nearly the whole log and replied within an election
// timeout.
func (n *Node) caughtUp(id uint64) bool {
	p := n.progress[id]
	if p == nil {
		return false
	}
	return p.match+promotionSlack >= n.log.last() && p.match >= n.termStart &&
		n.now-p.active < n.config.ElectionTimeout
}

// applyMembership puts the membership of an appended entry in force. Entries of other kinds are
// ignored.
func (n *Node) applyMembership(e Entry) {
	if e.Kind != EntryMembership || e.Index <= n.memberships[len(n.memberships)-1].index {
		return
	}
	var members Membership
	if err := json.Unmarshal(e.Data, &members); err != nil {
		return
	}
	n.memberships = append(n.memberships, membershipAt{index: e.Index, members: members})
	n.setMembership(members)
}

// revertMemberships reverts memberships whose entries a merge replaced. From is the index of the
// first merged entry, before the last index of the log before the merge.
func (n *Node) revertMemberships(from, before uint64) {
	if from > before {
		return
	}
	for len(n.memberships) > 1 {
		latest := n.memberships[len(n.memberships)-1]
		if latest.index < from || n.logHolds(latest) {
			break
		}
		n.memberships = n.memberships[:len(n.memberships)-1]
	}
	n.members = n.memberships[len(n.memberships)-1].members.Clone()
}

// logHolds reports whether the log still has the membership at its index.
func (n *Node) logHolds(c membershipAt) bool {
	entries := n.log.slice(c.index, 1, 0)
	if len(entries) == 0 || entries[0].Kind != EntryMembership {
		return false
	}
	var members Membership
	if json.Unmarshal(entries[0].Data, &members) != nil {
		return false
	}
	return slices.Equal(members.Voters, c.members.Voters) && slices.Equal(members.Learners, c.members.Learners)
}

func (n *Node) setMembership(members Membership) {
	n.members = members.Clone()
	if n.role != Leader {
		return
	}
	for _, id := range n.others() {
		if n.progress[id] == nil {
			n.progress[id] = n.newProgress()
		}
	}
	for id := range n.progress {
		if !slices.Contains(n.members.Members(), id) {
			delete(n.progress, id)
		}
	}
}

// stepDownIfRemoved makes a leader step down once its removal is committed.
func (n *Node) stepDownIfRemoved() {
	if n.role == Leader && !n.members.IsVoter(n.config.ID) && n.memberships[len(n.memberships)-1].index <= n.log.commit {
		n.becomeFollower(n.hard.Term, 0)
	}
}

func removeID(ids []uint64, id uint64) []uint64 {
	return slices.DeleteFunc(slices.Clone(ids), func(x uint64) bool { return x == id })
}
