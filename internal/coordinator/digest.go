package coordinator

import (
	"context"
	"time"

	"quinceridge.example/quinceridge/internal/coordapi"
	"quinceridge.example/quinceridge/internal/periodic"
)

const (
	// digestInterval is the time between two digests that a node sends to the leader.
	digestInterval = 250 * time.Millisecond
	// digestValidity is how long after the leader accepted a digest a node continues to answer
	// heartbeats locally. After that it forwards each heartbeat, so that they fail on a node that
	// is partitioned from the leader and back ends switch to another node.
	digestValidity = 3 * digestInterval
)

// digest collects the heartbeats that a follower answered locally since its last digest to the
// leader. It belongs to the run goroutine.
type digest struct {
	sequences map[coordapi.BackendID]coordapi.Sequence
	// acceptedAt is when the leader accepted the last digest, and accepted whether it has
	// accepted any.
	acceptedAt time.Duration
	accepted   bool
}

// mayAnswer reports whether a heartbeat that changes nothing may be answered locally.
func (d *digest) mayAnswer(now time.Duration) bool {
	return d.accepted && now-d.acceptedAt < digestValidity
}

func (d *digest) record(b coordapi.Heartbeat) {
	if d.sequences == nil {
		d.sequences = map[coordapi.BackendID]coordapi.Sequence{}
	}
	id := coordapi.BackendID(b.Backend.ID)
	d.sequences[id] = max(d.sequences[id], b.Sequence)
}

// answerLocally answers a heartbeat that changes nothing according to this node's replica, and
// reports whether it did. Most heartbeats are of this kind; the leader receives them as digests.
func (s *Server) answerLocally(ctx context.Context, b coordapi.Heartbeat) bool {
	answered := false
	s.loop.Do(ctx, func(now time.Duration) {
		if s.core == nil || s.core.HoldsLease(now) || !s.digest.mayAnswer(now) {
			return
		}
		b.Backend.Instance = ""
		d := s.core.Machine().Deployment()
		if !matchCurrentStart(d, &b) {
			return
		}
		row, known := d.Backends[b.Backend.ID]
		if _, changed := mergeHeartbeat(row, known, b.Backend); changed {
			return
		}
		s.digest.record(b)
		answered = true
	})
	return answered
}

// digestLoop sends the node's digests to the leader until the context ends. Empty digests are
// sent too, because they show that the leader is reachable.
func (s *Server) digestLoop(ctx context.Context) {
	periodic.Run(ctx, digestInterval, s.sendDigest)
}

func (s *Server) sendDigest(ctx context.Context) {
	var sequences map[coordapi.BackendID]coordapi.Sequence
	leader := ""
	s.loop.Do(ctx, func(now time.Duration) {
		if s.core == nil || s.core.HoldsLease(now) {
			s.digest = digest{}
			return
		}
		leader = s.leaderAddress()
		sequences, s.digest.sequences = s.digest.sequences, nil
	})
	if leader == "" {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, digestValidity)
	defer cancel()
	var reply coordapi.Reply
	err := s.peers.Call(ctx, leader, coordapi.KindCall, coordapi.Request{HeartbeatDigest: &coordapi.HeartbeatDigest{Sequences: sequences}}, &reply)
	if err != nil || reply.NotLeader {
		return
	}
	s.loop.Do(ctx, func(now time.Duration) { s.digest.acceptedAt, s.digest.accepted = now, true })
}

// recordDigest records the heartbeats that another node answered.
func (s *Server) recordDigest(ctx context.Context, d coordapi.HeartbeatDigest) (coordapi.Reply, error) {
	return s.runAsLeader(ctx, func(now time.Duration) {
		for id, sequence := range d.Sequences {
			s.soft.heartbeat(now, string(id), sequence)
		}
	})
}
