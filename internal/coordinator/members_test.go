package coordinator

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"quinceridge.example/quinceridge/internal/coordapi"
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
