package coordinator

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"quinceridge.example/quinceridge/internal/coordapi"
	"quinceridge.example/quinceridge/internal/raft"
)

// lossInterval is the time between two lost voters, and more than a new leader needs to replace one.
const lossInterval = 3500 * time.Millisecond

// Guards against a group without a majority, for good, after voters were lost in turn while learners were at hand: each
// new leader counted the silence of those lost before anew.
func TestGroupKeepsMajorityWhileVotersAreLostInTurn(t *testing.T) {
	for name, lost := range map[string][]bool{"a follower, the leader, a follower": {false, true, false}, "leaders": {true, true, true}} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			g := newGroup(t, targetVoters+len(lost))
			g.awaitVotersInContact(targetVoters)
			for _, leader := range lost {
				g.kill(g.voter(leader))
				time.Sleep(lossInterval)
			}
			g.awaitVotersInContact(targetVoters)
			last := g.voter(false)
			g.call(last, configure(7))
			assert.Equal(t, string(g.call(last, coordapi.Request{Read: &coordapi.Read{}}).Document), `{"version":7}`)
		})
	}
}

// Guards against a voter that is removed for a short silence, or while no learner can take its place.
func TestSilentVoterGivesWayToReadyLearnerOnly(t *testing.T) {
	const leader, silent, learner = 1, 2, 6
	for name, c := range map[string]struct {
		silence  raft.ElapsedSeconds
		learners []uint64
		match    uint64
		gives    bool
	}{
		"long silence":       {1.6, []uint64{learner}, 100, true},
		"short silence":      {1.4, []uint64{learner}, 100, false},
		"no learner":         {60, nil, 0, false},
		"learner far behind": {60, []uint64{learner}, 10, false},
	} {
		t.Run(name, func(t *testing.T) {
			status := raft.Status{ID: leader, LastIndex: 100, Membership: raft.Membership{Voters: []uint64{leader, silent, 3, 4, 5}, Learners: c.learners},
				Match: map[uint64]uint64{learner: c.match}, SinceContact: map[uint64]raft.ElapsedSeconds{silent: c.silence}}
			change, due := (&membershipManager{}).nextChange(status)
			assert.Equal(t, due, c.gives)
			if c.gives {
				assert.Equal(t, change, raft.Change{Kind: raft.RemoveMember, ID: silent})
			}
		})
	}
}

// Guards against a voter that only stood still and is lost to the group once a learner has its place.
func TestReplacedVoterThatReturnsJoinsAgain(t *testing.T) {
	t.Parallel()
	g := newGroup(t, targetVoters+1)
	g.awaitVotersInContact(targetVoters)
	returning := g.voter(false)
	g.kill(returning)
	waitOn(t, func(poll.LogT) poll.Result {
		if g.isMember(returning) {
			return poll.Continue("node %d is a member", returning)
		}
		return poll.Success()
	}, poll.WithDelay(20*time.Millisecond))
	g.start(returning)
	waitOn(t, func(poll.LogT) poll.Result {
		if !g.isMember(returning) {
			return poll.Continue("node %d is no member", returning)
		}
		return poll.Success()
	}, poll.WithDelay(20*time.Millisecond))
	g.awaitVotersInContact(targetVoters)
}

// isMember reports whether a node is a member of the group by the leader's replica.
func (g *group) isMember(i int) (is bool) {
	address := g.config[i].PeerListen
	s := g.servers[g.voter(true)]
	s.loop.Do(context.Background(), func(time.Duration) {
		members := s.core.Status().Membership
		for id, known := range members.Addresses {
			is = is || (known == address && (members.IsVoter(id) || members.IsLearner(id)))
		}
	})
	return is
}

// voter returns a running voter: the leader, or another one.
func (g *group) voter(leader bool) (found int) {
	g.t.Helper()
	waitOn(g.t, func(poll.LogT) poll.Result {
		for i, s := range g.servers {
			if s == nil {
				continue
			}
			is := false
			s.loop.Do(context.Background(), func(now time.Duration) {
				is = s.core.HoldsLease(now) == leader && s.core.Status().Membership.IsVoter(s.identity.ID)
			})
			if is {
				found = i
				return poll.Success()
			}
		}
		return poll.Continue("no such voter")
	}, poll.WithDelay(20*time.Millisecond))
	return found
}

// awaitVotersInContact waits until the leader has a number of voters, all of which respond.
func (g *group) awaitVotersInContact(wanted int) {
	g.t.Helper()
	waitOn(g.t, func(poll.LogT) poll.Result {
		s := g.servers[g.voter(true)]
		inContact := 0
		s.loop.Do(context.Background(), func(time.Duration) {
			status := s.core.Status()
			for _, id := range status.Membership.Voters {
				if id == status.ID || float64(status.SinceContact[id]) < electionTimeout.Seconds() {
					inContact++
				}
			}
		})
		if inContact != wanted {
			return poll.Continue("%d voters respond, wanted %d", inContact, wanted)
		}
		return poll.Success()
	}, poll.WithTimeout(20*time.Second), poll.WithDelay(50*time.Millisecond))
}
