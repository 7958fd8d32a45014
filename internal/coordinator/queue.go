package coordinator

import (
	"context"
	"time"

	"quinceridge.example/quinceridge/internal/coordapi"
)

// await replies with the outcomes of a router's waiting requests, as soon as there are some.
func (s *Server) await(ctx context.Context, call *coordapi.Await) (coordapi.Reply, error) {
	arrivedAt := s.now()
	hold := time.NewTimer(coordapi.AwaitHold)
	defer hold.Stop()
	for last := false; ; {
		if !s.leading.Load() {
			return coordapi.Reply{NotLeader: true}, nil
		}
		awaited, ready, changed := s.placer.Await(s.now(), arrivedAt, call)
		if ready || last {
			return coordapi.Reply{Awaited: &awaited}, nil
		}
		select {
		case <-changed:
		case <-hold.C:
			last = true
		case <-ctx.Done():
			return coordapi.Reply{}, ErrUnavailable
		}
	}
}

// queueLoop grants capacity to waiting requests until the context ends.
func (s *Server) queueLoop(ctx context.Context) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	var notBefore time.Duration
	for {
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
		case <-s.placer.Wake():
		}
		begun := s.now()
		if begun < notBefore {
			timer.Reset(notBefore - begun)
			continue
		}
		next, more := s.placer.Step(begun)
		s.tenantLimits.settle(begun, s.placer.TakeSettlements())
		ended := s.now()
		notBefore = ended + minQueuePause*(ended-begun)
		if more {
			timer.Reset(max(next, notBefore) - ended)
		} else {
			timer.Stop()
		}
	}
}

// minQueuePause is the least pause between two steps of the queue as a multiple of the duration of
// the first one. A step over thousands of full engines takes milliseconds, and must leave most of
// the processor to placements.
const minQueuePause = 4
