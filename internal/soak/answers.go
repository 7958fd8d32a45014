package soak

import (
	"cmp"
	"context"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"
)

const (
	// checkSilentAnswers names the check of answers that routers end although their back end would have
	// gone on.
	checkSilentAnswers = "soak-silent-answers"
	// noticeDelay is the time that an event may take from a back end to its caller, or to a check. An
	// answer may end that much earlier than at its deadline, or than its caller would leave.
	noticeDelay = 100 * time.Millisecond
	// maxListedAnswers bounds the answers that a breach lists.
	maxListedAnswers = 8
)

// attempt is a request as a back end saw it. Times are 0 for what has not occurred.
type attempt struct {
	id      string
	backend *backend
	// router is the router that sent the request.
	router string
	// arrived is when it arrived, sent when each part of its answer was sent, and whole when all was.
	arrived time.Duration
	sent    []time.Duration
	whole   time.Duration
	// closed is when the router closed its connection before the answer was whole.
	closed time.Duration
	// declined is set if the back end did not run the request or broke its answer off, and brokenOff if it
	// broke it off by closing the connection.
	declined, brokenOff bool
	// brokenOffAt is when the back end broke it off, 0 if the router had closed its connection before.
	brokenOffAt time.Duration
}

// attemptLog records what all back ends saw of requests. It is safe for concurrent use.
type attemptLog struct {
	mu       sync.Mutex
	attempts []*attempt
}

// record changes an attempt of the log.
func (l *attemptLog) record(change func()) {
	l.mu.Lock()
	defer l.mu.Unlock()
	change()
}

// observe records a request at a back end until the returned function is called.
func (b *backend) observe(ctx context.Context, id, router string) (a *attempt, end func()) {
	s := b.soak
	a = &attempt{id: id, backend: b, router: router, arrived: s.now()}
	s.attemptLog.record(func() { s.attemptLog.attempts = append(s.attemptLog.attempts, a) })
	stop := context.AfterFunc(ctx, func() { s.attemptLog.record(func() { a.closed = s.now() }) })
	return a, func() { stop() }
}

func (s *Soak) recordSent(a *attempt) {
	s.attemptLog.record(func() { a.sent = append(a.sent, s.now()) })
}

func (s *Soak) recordBrokenOff(a *attempt) {
	s.attemptLog.record(func() {
		a.brokenOff = true
		if a.closed == 0 {
			a.brokenOffAt = s.now()
		}
	})
}

// end returns when the attempt ended as the back end saw it, 0 if it has not.
func (a *attempt) end() time.Duration { return cmp.Or(a.closed, a.whole) }

// metSilence reports whether the back end was silent during the attempt.
func (a *attempt) metSilence(until time.Duration) bool {
	return a.backend.suspension.met(a.arrived, cmp.Or(a.end(), until))
}

// checkSilentAnswers records a breach if routers ended answers although their back ends would have gone
// on, and counts the streams that met a silence by what their callers got.
func (s *Soak) checkSilentAnswers(calls []*call) {
	s.attemptLog.mu.Lock()
	defer s.attemptLog.mu.Unlock()
	attempts := map[string][]*attempt{}
	for _, a := range s.attemptLog.attempts {
		attempts[a.id] = append(attempts[a.id], a)
	}
	engines := s.observedEngines()
	var cut []string
	r := &s.report
	for _, c := range calls {
		end := c.sent + c.took
		met := slices.ContainsFunc(attempts[c.id], func(a *attempt) bool { return a.metSilence(end) })
		if c.rejected && isStream(c.kind) && slices.ContainsFunc(engines, func(b *backend) bool { return b.suspension.met(c.sent, end) }) {
			r.SilentRefused++
			continue
		}
		if !met {
			continue
		}
		cause := ""
		if c.unanswered() {
			var a *attempt
			if cause, a = s.endOf(c, attempts[c.id]); a != nil {
				cut = append(cut, fmt.Sprintf("%s %s (status %d, at %s from %v to %v; at %s by %s from %v, sent %v, closed %v, whole %v)",
					c.kind, c.id, c.status, c.router, c.sent, end, a.backend.id, a.router, a.arrived, a.sent, a.closed, a.whole))
			}
		}
		switch {
		case !isStream(c.kind) || c.stopped || c.left:
		case c.served():
			r.SilentStreams++
			r.SilentWhole++
		default:
			r.SilentStreams++
			if cause != "" {
				r.SilentCut[cause]++
			}
		}
	}
	if len(cut) > 0 {
		s.recordCheck(checkSilentAnswers, "%d answers were ended by routers although their back ends would have gone on: %s", len(cut),
			strings.Join(cut[:min(len(cut), maxListedAnswers)], "; "))
	}
}

// observedEngines returns the engines that received requests. The lock of the log is held.
func (s *Soak) observedEngines() (engines []*backend) {
	known := map[*backend]bool{}
	for _, a := range s.attemptLog.attempts {
		if !known[a.backend] && a.backend.pool == poolEngines {
			known[a.backend] = true
			engines = append(engines, a.backend)
		}
	}
	return engines
}

// unanswered reports whether a call ended without a complete answer and without a rejection, though its
// caller still waited.
func (c *call) unanswered() bool {
	switch {
	case c.stopped || c.left || c.complete && c.status == http.StatusOK:
		return false
	case c.status == http.StatusOK || c.status == 0:
		return true
	}
	return c.status == http.StatusBadGateway || c.status == http.StatusGatewayTimeout
}

// Causes for which an answer that met a silence ends before it is complete.
const (
	endedByRouter   = "router"
	endedByDeadline = "deadline"
	endedByPatience = "patience over"
	endedByPoison   = "request ends back ends"
	endedByBackend  = "back end"
	endedByLink     = "link of back end"
	endedByFault    = "fault of router"
	endedByAnswer   = "another attempt answered"
)

// endOf returns what ended a call that is unanswered and met a silence. If it was a router, the attempt is
// that at a back end which went on, or would have.
func (s *Soak) endOf(c *call, attempts []*attempt) (cause string, cut *attempt) {
	end := c.sent + c.took
	switch {
	case c.took >= timeoutOf(c.kind)-noticeDelay:
		return endedByDeadline, nil
	case isStream(c.kind) && end-max(c.sent, c.lastAt) >= patienceOf(c.kind)-noticeDelay:
		return endedByPatience, nil
	case c.crashingPart != "" || strings.HasPrefix(c.requestBody, poisonBody):
		return endedByPoison, nil
	}
	cause = endedByBackend
	for _, a := range attempts {
		if a.declined || a.end() == 0 || !a.metSilence(end) {
			continue
		}
		if cause = s.endOfAttempt(a, c, attempts); cause == endedByRouter {
			return cause, a
		}
	}
	return cause, nil
}

// endOfAttempt returns what ended an attempt: a fault of the run at its back end, at one of its routers or
// between them, another attempt that was answered meanwhile, or else a router.
func (s *Soak) endOfAttempt(a *attempt, c *call, attempts []*attempt) string {
	end := c.sent + c.took
	ended := min(a.end(), end)
	if at := time.Duration(a.backend.endedAt.Load()); at != 0 && at <= ended {
		return endedByBackend
	}
	for _, other := range attempts {
		if other != a && slices.ContainsFunc(other.sent, func(at time.Duration) bool { return a.arrived <= at && at <= ended+noticeDelay }) {
			return endedByAnswer
		}
	}
	if s.routerFailed(c.router, a.arrived, end) || s.routerFailed(a.router, a.arrived, end) {
		return endedByFault
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if slices.ContainsFunc(s.disturbances, func(d *disturbance) bool {
		return d.backend == a.backend && (&period{d.from, d.to}).overlaps(a.arrived, end)
	}) {
		return endedByLink
	}
	return endedByRouter
}

// routerFailed reports whether a router was killed, frozen, cut from the back ends, or in the last part of the
// grace of a planned stop during a time.
func (s *Soak) routerFailed(router string, from, to time.Duration) bool {
	s.cuts.mu.Lock()
	isCut := slices.ContainsFunc(s.cuts.past, func(k cut) bool {
		return slices.Contains(k.routers, router) && (&period{k.from, k.to}).overlaps(from, to)
	})
	s.cuts.mu.Unlock()
	if isCut {
		return true
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.ContainsFunc(s.disturbances, func(d *disturbance) bool {
		failed := period{d.from, d.to}
		if d.planned {
			failed.from += cutFrom
		}
		began := d.to < 0 || failed.from <= d.to
		return began && d.router != "" && d.router == router && failed.overlaps(from, to)
	})
}
