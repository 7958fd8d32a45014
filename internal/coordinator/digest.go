package coordinator

import (
	"context"
	"time"

	"quinceridge.example/quinceridge/internal/coordapi"
	"quinceridge.example/quinceridge/internal/periodic"
)

const (
	// digestEvery is the time between two words of a node to the leader about
	// the heartbeats that it answered by itself.
	digestEvery = 250 * time.Millisecond
	// digestTrust is how long after the leader took the last one a node goes on to
	// answer by itself. Past it, heartbeats are passed on one by one, so that a
	// node that is cut off fails them and back ends turn to another.
	digestTrust = 3 * digestEvery
)

// digest is what a node that does not lead heard of back ends since its last
// word to the leader. It belongs to the run goroutine.
type digest struct {
	heard map[coordapi.BackendID]coordapi.Sequence
	// takenAt is when the leader took the last word.
	takenAt time.Duration
	begun   bool
}

// mayAnswer tells whether a heartbeat that changes nothing may be answered
// here.
func (d *digest) mayAnswer(now time.Duration) bool { return d.begun && now-d.takenAt < digestTrust }

func (d *digest) note(b coordapi.Heartbeat) {
	if d.heard == nil {
		d.heard = map[coordapi.BackendID]coordapi.Sequence{}
	}
	id := coordapi.BackendID(b.Backend.ID)
	d.heard[id] = max(d.heard[id], b.Sequence)
}

// answerHere answers a heartbeat that changes nothing, for all that this node's
// replica knows. Most are of this kind: the leader of a large deployment then
// hears of them a few times a second from each node, and not thousands of times.
func (s *Server) answerHere(ctx context.Context, b coordapi.Heartbeat) bool {
	answered := false
	s.loop.Do(ctx, func(now time.Duration) {
		if s.core == nil || s.core.HoldsLease(now) || !s.digest.mayAnswer(now) {
			return
		}
		b.Backend.Instance = ""
		d := s.core.Machine().Deployment()
		if !answersAs(d, &b) {
			return
		}
		row, known := d.Backends[b.Backend.ID]
		if _, changed := merged(row, known, b.Backend); changed {
			return
		}
		s.digest.note(b)
		answered = true
	})
	return answered
}

// digestLoop brings the leader the node's digests until the context ends. An
// empty one is brought too: it shows that the leader can be reached.
func (s *Server) digestLoop(ctx context.Context) {
	periodic.Run(ctx, digestEvery, s.bringDigest)
}

func (s *Server) bringDigest(ctx context.Context) {
	var heard map[coordapi.BackendID]coordapi.Sequence
	leader := ""
	s.loop.Do(ctx, func(now time.Duration) {
		if s.core == nil || s.core.HoldsLease(now) {
			s.digest = digest{}
			return
		}
		leader = s.leaderAddress()
		heard, s.digest.heard = s.digest.heard, nil
	})
	if leader == "" {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, digestTrust)
	defer cancel()
	var reply coordapi.Reply
	err := s.peers.Call(ctx, leader, coordapi.KindCall, coordapi.Request{HeartbeatDigest: &coordapi.HeartbeatDigest{Sequences: heard}}, &reply)
	if err != nil || reply.NotLeader {
		return
	}
	s.loop.Do(ctx, func(now time.Duration) { s.digest.takenAt, s.digest.begun = now, true })
}

// takeDigest notes the heartbeats that another node answered.
func (s *Server) takeDigest(ctx context.Context, d coordapi.HeartbeatDigest) (coordapi.Reply, error) {
	return s.asLeader(ctx, func(now time.Duration) {
		for id, sequence := range d.Sequences {
			s.soft.heard(now, string(id), sequence)
		}
	})
}
