package coordinator

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"quinceridge.example/quinceridge/internal/coordapi"
)

// lastSequence returns the sequence of the last heartbeat of a back end that a node recorded.
func (g *group) lastSequence(i int, id string) coordapi.Sequence {
	var sequence coordapi.Sequence
	g.servers[i].loop.Do(context.Background(), func(time.Duration) { sequence = g.servers[i].soft.heartbeats[id].sequence })
	return sequence
}

func TestUnchangedHeartbeatsReachLeaderInDigest(t *testing.T) {
	g := newGroup(t, 3)
	g.call(0, beat("x", 1, false))
	leader := g.leader()
	other := (leader + 1) % 3
	server := g.servers[other]
	sequence := coordapi.Sequence(1)
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		sequence++
		if !server.answerLocally(context.Background(), *beat("x", sequence, false).Heartbeat) {
			return poll.Continue("the leader has not accepted a digest of node %d", other)
		}
		return poll.Success()
	}, poll.WithTimeout(10*time.Second), poll.WithDelay(20*time.Millisecond))
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if got := g.lastSequence(leader, "x"); got != sequence {
			return poll.Continue("the leader recorded heartbeat %d of %d", got, sequence)
		}
		return poll.Success()
	}, poll.WithTimeout(10*time.Second), poll.WithDelay(20*time.Millisecond))
}

func TestChangingHeartbeatIsNotAnsweredLocally(t *testing.T) {
	g := newGroup(t, 3)
	g.call(0, beat("x", 1, false))
	server := g.servers[(g.leader()+1)%3]
	server.loop.Do(context.Background(), func(now time.Duration) { server.digest.acceptedAt, server.digest.accepted = now, true })
	assert.Assert(t, !server.answerLocally(context.Background(), *beat("x", 2, true).Heartbeat))
	assert.Assert(t, !server.answerLocally(context.Background(), *beat("unknown", 1, false).Heartbeat))
}

func TestPartitionedNodeAnswersNoHeartbeats(t *testing.T) {
	var d digest
	assert.Assert(t, !d.mayAnswer(0))
	d.acceptedAt, d.accepted = time.Second, true
	assert.Assert(t, d.mayAnswer(time.Second+digestValidity/2))
	assert.Assert(t, !d.mayAnswer(time.Second+digestValidity))
}
