package raft

import (
	"encoding/json"
	"slices"
	"time"

	"github.com/cockroachdb/errors"
)

// ProposeChange appends a membership change of one server. Only one may be
// uncommitted at a time, and only after the leader has committed an entry of
// its own term; both together keep any two majorities overlapping.
func (n *Node) ProposeChange(now time.Duration, change Change) (index uint64, err error) {
	n.advanceClock(now)
	if n.role != Leader || n.transferring != 0 {
		return 0, ErrNotLeader
	}
	if n.changes[len(n.changes)-1].index > n.log.commit || n.log.commit < n.termStart {
		return 0, ErrChangePending
	}
	members, err := n.changed(change)
	if err != nil {
		return 0, err
	}
	data, err := json.Marshal(members)
	if err != nil {
		return 0, errors.Wrap(err, "encode membership")
	}
	return n.appendEntry(EntryMembership, data), nil
}

// changed returns the membership after a change.
func (n *Node) changed(change Change) (Membership, error) {
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
		members.Learners = without(members.Learners, change.ID)
		members.Voters = append(members.Voters, change.ID)
	case RemoveMember:
		if !slices.Contains(members.Members(), change.ID) {
			return members, ErrUnknownMember
		}
		if members.IsVoter(change.ID) && len(members.Voters) == 1 {
			return members, ErrLastVoter
		}
		members.Voters = without(members.Voters, change.ID)
		members.Learners = without(members.Learners, change.ID)
		delete(members.Addresses, change.ID)
	default:
		return members, errors.Newf("unknown change %q", change.Kind)
	}
	return members, nil
}

// promotionSlack is how far behind the log a learner may be when promoted.
const promotionSlack = 16

// caughtUp tells whether a learner holds nearly the whole log and answered
// lately. A replaced machine counts for a quorum only from then on.
func (n *Node) caughtUp(id uint64) bool {
	p := n.progress[id]
	if p == nil {
		return false
	}
	return p.match+promotionSlack >= n.log.last() && p.match >= n.termStart &&
		n.now-p.heard < n.config.ElectionTimeout
}

// noteMembership puts an appended membership in force.
func (n *Node) noteMembership(e Entry) {
	if e.Kind != EntryMembership || e.Index <= n.changes[len(n.changes)-1].index {
		return
	}
	var members Membership
	if err := json.Unmarshal(e.Data, &members); err != nil {
		return
	}
	n.changes = append(n.changes, membershipAt{index: e.Index, members: members})
	n.enforce(members)
}

// dropMemberships undoes memberships whose entries were cut off by a leader's
// log.
func (n *Node) dropMemberships(from, before uint64) {
	if from > before {
		return
	}
	for len(n.changes) > 1 {
		latest := n.changes[len(n.changes)-1]
		if latest.index < from || n.holdsChange(latest) {
			break
		}
		n.changes = n.changes[:len(n.changes)-1]
	}
	n.members = n.changes[len(n.changes)-1].members.Clone()
}

// holdsChange tells whether the log still holds the membership at its index.
func (n *Node) holdsChange(c membershipAt) bool {
	entries := n.log.slice(c.index, 1)
	if len(entries) == 0 || entries[0].Kind != EntryMembership {
		return false
	}
	var members Membership
	if json.Unmarshal(entries[0].Data, &members) != nil {
		return false
	}
	return slices.Equal(members.Voters, c.members.Voters) && slices.Equal(members.Learners, c.members.Learners)
}

func (n *Node) enforce(members Membership) {
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

// stepDownIfRemoved ends the leadership of a node whose removal is committed.
func (n *Node) stepDownIfRemoved() {
	if n.role == Leader && !n.members.IsVoter(n.config.ID) && n.changes[len(n.changes)-1].index <= n.log.commit {
		n.becomeFollower(n.hard.Term, 0)
	}
}

func without(ids []uint64, id uint64) []uint64 {
	return slices.DeleteFunc(slices.Clone(ids), func(x uint64) bool { return x == id })
}
