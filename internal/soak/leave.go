package soak

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"time"
)

// leaveFaults are the ways in which a back end leaves other than by a heartbeat that reports it.
// Its heartbeats go on, report that it is ready, and may be late. They have their own random
// source, so that they don't change the other faults of a seed.
var leaveFaults = []fault{
	{"a back end leaves without a heartbeat that reports it", (*Soak).leaveUnannounced},
	{"a back end leaves before its first heartbeat", (*Soak).leaveEarly},
	{"a back end leaves while the coordinators receive no heartbeats", (*Soak).leaveWhileSilent},
	{"the leader is killed after a back end has left", (*Soak).leaveAndKillLeader},
}

const (
	leavePause = 2 * time.Second
	// leaveRetryDelay is the time between two attempts of a back end to leave.
	leaveRetryDelay = 100 * time.Millisecond
	// removalSilence is the silence after which the coordinators have removed the row of a back
	// end that has not left. maxLateness bounds the delay of a late heartbeat.
	removalSilence = 21 * time.Second
	maxLateness    = 3 * time.Second
	// lingering is the maximum time that a back end serves on after the drain deadline.
	lingering = 6 * time.Second
)

// injectLeaves starts random leaves until the context ends. It does nothing with an older build,
// which may acknowledge a leave without keeping it.
func (s *Soak) injectLeaves(ctx context.Context) {
	if s.config.Older != "" {
		return
	}
	r := rand.New(rand.NewPCG(s.config.Seed, 5))
	for wait(ctx, time.Duration(r.Int64N(int64(2*leavePause)))) {
		s.startFault(ctx, r, leaveFaults[r.IntN(len(leaveFaults))], 1)
	}
}

// leave reports once that the back end leaves, with or without its start time, and returns whether
// a coordinator acknowledged it.
func (b *backend) leave(ctx context.Context, withStartTime bool) bool {
	b.awaitRunning()
	path := "/v1/backends/" + b.id + "/leave"
	if withStartTime {
		path += fmt.Sprintf("?born=%d", b.born)
	}
	if b.soak.control(ctx, http.MethodPost, path, nil) != http.StatusOK {
		return false
	}
	b.drainedAt.CompareAndSwap(0, int64(b.soak.now()))
	return true
}

// leaveAndLinger repeats the leave until it is acknowledged, calls acknowledged, and stops the back
// end some time after the drain deadline.
func (b *backend) leaveAndLinger(ctx context.Context, r *rand.Rand, acknowledged func()) {
	withStartTime := r.IntN(2) == 0
	for !b.leave(ctx, withStartTime) {
		if !wait(ctx, leaveRetryDelay) {
			b.crash()
			return
		}
	}
	b.lateHeartbeats.Store(true)
	acknowledged()
	wait(ctx, 2*drainDeadline+time.Duration(r.Int64N(int64(lingering))))
	b.crash()
}

// replaceBackend takes a random back end out of the list and starts another one in its place.
func (s *Soak) replaceBackend(r *rand.Rand) (*backend, bool) {
	b := pick(r, s.listBackends())
	if !s.remove(b) {
		return nil, false
	}
	s.addBackend(b.pool)
	return b, true
}

func (s *Soak) leaveUnannounced(ctx context.Context, r *rand.Rand) {
	if b, ok := s.replaceBackend(r); ok {
		b.leaveAndLinger(ctx, r, func() {})
	}
}

// leaveEarly starts a back end whose leave overtakes its first heartbeat. A leave that is refused,
// because nothing is known of the back end, is repeated.
func (s *Soak) leaveEarly(ctx context.Context, r *rand.Rand) {
	pool := pick(r, []string{poolEngines, poolWorkers})
	b, err := s.startBackend(pool, fmt.Sprintf("%s-%d", pool, s.backendsStarted.Add(1)), anyAddress, true)
	if err != nil {
		return
	}
	b.leave(ctx, r.IntN(2) == 0)
	b.muted.Store(false)
	b.leaveAndLinger(ctx, r, func() {})
}

// leaveWhileSilent lets a back end leave during or after a silence. If the run is long enough, the
// coordinators remove its row during the silence.
func (s *Soak) leaveWhileSilent(ctx context.Context, r *rand.Rand) {
	b, ok := s.replaceBackend(r)
	if !ok {
		return
	}
	silence := faultDuration(r)
	if end, is := ctx.Deadline(); is && time.Until(end) > removalSilence+lingering {
		silence += removalSilence
	}
	b.muted.Store(true)
	wait(ctx, silence)
	// It may leave before its heartbeats arrive again, or after the first of them.
	heartbeats := r.IntN(4)
	if heartbeats > 0 {
		b.muted.Store(false)
		wait(ctx, time.Duration(heartbeats)*heartbeatInterval)
	}
	b.leaveAndLinger(ctx, r, func() { b.muted.Store(false) })
}

// leaveAndKillLeader kills the leader as soon as a leave is acknowledged.
func (s *Soak) leaveAndKillLeader(ctx context.Context, r *rand.Rand) {
	b, ok := s.replaceBackend(r)
	if !ok {
		return
	}
	leader := s.leader(ctx)
	b.leaveAndLinger(ctx, r, func() {
		if leader != nil {
			s.group.Go(func() { s.killAndRestart(ctx, r, leader) })
		}
	})
}

// leader returns the coordinator that leads, or nil.
func (s *Soak) leader(ctx context.Context) *program {
	for _, p := range s.coordinators {
		if strings.Contains(s.metricsOf(ctx, p), "quinceridge_leader 1\n") {
			return p
		}
	}
	return nil
}

// metricsOf returns the metrics of a coordinator, empty if they are not received whole.
func (s *Soak) metricsOf(ctx context.Context, p *program) string {
	ctx, cancel := context.WithTimeout(ctx, controlTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+p.ready+"/metrics", nil)
	if err != nil {
		return ""
	}
	response, err := s.client.Do(request)
	if err != nil {
		return ""
	}
	defer response.Body.Close()
	metrics, err := io.ReadAll(response.Body)
	if err != nil {
		return ""
	}
	return string(metrics)
}
