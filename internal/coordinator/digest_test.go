package coordinator

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"quinceridge.example/quinceridge/internal/coordapi"
	"quinceridge.example/quinceridge/internal/state"
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
	waitOn(t, func(poll.LogT) poll.Result {
		sequence++
		if !server.answerLocally(context.Background(), *beat("x", sequence, false).Heartbeat) {
			return poll.Continue("the leader has not accepted a digest of node %d", other)
		}
		return poll.Success()
	}, poll.WithTimeout(10*time.Second), poll.WithDelay(20*time.Millisecond))
	waitOn(t, func(poll.LogT) poll.Result {
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

// Guards against back ends that count as silent although their heartbeats arrive in time at a node
// that brings them to the leader with its digests only, also if one digest is late.
func TestBackendsHeardByDigestAreNotSilent(t *testing.T) {
	rows := map[string]state.Backend{"x": {ID: "x", Address: "a:1"}}
	for _, interval := range []time.Duration{10 * time.Millisecond, 100 * time.Millisecond, 250 * time.Millisecond, 300 * time.Millisecond, time.Second, 3 * time.Second} {
		var soft softState
		soft.reset(0)
		const step = 5 * time.Millisecond
		received, digests := coordapi.Sequence(0), 0
		for now := time.Duration(0); now < 30*time.Second; now += step {
			if now%interval == 0 {
				received++
			}
			if now%digestInterval == 0 {
				digests++
				if digests%8 != 0 {
					soft.heartbeat(now, "x", received)
				}
			}
			soft.checkAll(now, interval, rows)
			assert.Equal(t, len(soft.silent), 0, "interval %s: silent at %s", interval, now)
		}
	}
}

// Guards against a longer wait than 2.5 heartbeats where these take longer than digests.
func TestSilentLimitFollowsHeartbeats(t *testing.T) {
	for _, interval := range []time.Duration{400 * time.Millisecond, time.Second, time.Minute} {
		assert.Equal(t, silentLimit(interval), 5*interval/2)
	}
}
