package soak

import (
	"bufio"
	"bytes"
	"cmp"
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"time"
)

const (
	// checkPlannedStops names the check of requests that routers read around their planned stops.
	checkPlannedStops = "soak-planned-stops"
	// cutFrom is the time after SIGTERM, the last sixth of the grace, from which a router may cut answers at
	// which a back end is at work, of requests that were sent within cutSent after SIGTERM.
	cutFrom = stopGrace * 5 / 6
	cutSent = 3 * time.Second
	// callersListener is the name of the listener for callers in the logs of routers.
	callersListener = "callers"
	// maxListedLosses bounds the requests that a breach lists.
	maxListedLosses = 8
)

// endedByStop is a cause for which a request ends without a complete response: its back end was at work in
// the last sixth of the grace.
const endedByStop = "end of the grace"

// routerEvent is a line in the log of a router: the begin or the end of a stop, or a request that ended
// without a response.
type routerEvent struct {
	at       time.Duration
	Time     time.Time      `json:"time"`
	Message  string         `json:"msg"`
	Listener string         `json:"listener"`
	Address  string         `json:"address"`
	Outcome  string         `json:"outcome"`
	Requests map[string]int `json:"requests"`
}

// Messages of routers.
const (
	messageStopping = "stopping"
	messageStopped  = "stopped"
	messageEnded    = "request ended without a response"
)

// parseEventsOfRouter returns the events in the log of a router.
func (s *Soak) parseEventsOfRouter(log []byte) (events []routerEvent) {
	lines := bufio.NewScanner(bytes.NewReader(log))
	lines.Buffer(nil, len(log)+1)
	for lines.Scan() {
		var e routerEvent
		if json.Unmarshal(lines.Bytes(), &e) != nil || !slices.Contains([]string{messageStopping, messageStopped, messageEnded}, e.Message) {
			continue
		}
		e.at = e.Time.Sub(s.startedAt)
		events = append(events, e)
	}
	return events
}

// checkPlannedStops reads the logs of the routers and records a breach if one of them read a request around
// a planned stop and neither answered nor refused it.
func (s *Soak) checkPlannedStops(calls []*call) {
	events := map[string][]routerEvent{}
	for _, p := range s.routers {
		log, err := os.ReadFile(filepath.Join(s.config.Folder, p.name+".log"))
		if err != nil {
			s.recordBreach("the log of %s can't be read: %v", p.name, err)
			continue
		}
		events[p.name] = s.parseEventsOfRouter(log)
	}
	s.judgePlannedStops(calls, events)
}

// judgePlannedStops records a breach for requests that were lost around planned stops, by the callers, by the
// back ends and by the events in the logs of the routers.
func (s *Soak) judgePlannedStops(calls []*call, events map[string][]routerEvent) {
	s.attemptLog.mu.Lock()
	defer s.attemptLog.mu.Unlock()
	attempts := map[string][]*attempt{}
	for _, a := range s.attemptLog.attempts {
		attempts[a.id] = append(attempts[a.id], a)
	}
	s.mu.Lock()
	stops := slices.DeleteFunc(slices.Clone(s.disturbances), func(d *disturbance) bool { return !d.planned || d.router == "" })
	s.mu.Unlock()
	var lost []string
	for _, d := range stops {
		stop := period{d.from, d.to}
		during := slices.DeleteFunc(slices.Clone(events[d.router]), func(e routerEvent) bool { return !stop.overlaps(e.at, e.at) })
		if s.config.Older != "" && !slices.ContainsFunc(during, func(e routerEvent) bool { return e.Requests != nil }) {
			// Older builds count no requests, and lose some.
			continue
		}
		s.report.Stops++
		lost = append(lost, lossesInLog(d, during, calls)...)
		for _, c := range calls {
			if c.router == d.router && c.whole && stop.overlaps(c.sent, c.sent+c.took) {
				s.report.StopCalls++
				if loss := s.lossOf(c, d, attempts[c.id], events[d.router]); loss != "" {
					lost = append(lost, loss)
				}
			}
		}
	}
	if len(lost) > 0 {
		s.recordCheck(checkPlannedStops, "%d losses of requests that routers had read around planned stops: %s", len(lost),
			strings.Join(lost[:min(len(lost), maxListedLosses)], "; "))
	}
}

// lossesInLog describes what the log of a router reports of a stop and may not: requests whose head it had read
// and that no handler ran, or whose response could not be sent, requests without a response that no caller
// sent, and a stop that began and did not report its counts.
func lossesInLog(d *disturbance, events []routerEvent, calls []*call) (lost []string) {
	began, counted := false, false
	for _, e := range events {
		switch {
		case e.Message == messageStopping:
			began = true
		case e.Message == messageStopped && e.Requests != nil:
			counted = true
			if e.Requests["unhandled"] > 0 || e.Requests["unsent"] > 0 {
				lost = append(lost, fmt.Sprintf("%s, stopped at %v, counted %v", d.router, d.from, e.Requests))
			}
		case e.Message == messageEnded && e.Listener == callersListener:
			if !slices.ContainsFunc(calls, func(c *call) bool { return c.router == d.router && e.ends(c) }) {
				lost = append(lost, fmt.Sprintf("%s, stopped at %v, ended a request at %v that no caller sent, from %s, outcome %s", d.router, d.from, e.at,
					e.Address, e.Outcome))
			}
		}
	}
	if began && !counted {
		lost = append(lost, fmt.Sprintf("%s, stopped at %v, did not report what became of its requests", d.router, d.from))
	}
	return lost
}

// ends reports whether the event is the end of a call without a response.
func (e *routerEvent) ends(c *call) bool {
	return e.Message == messageEnded && e.Listener == callersListener && e.Address == c.address && c.sent <= e.at && e.at <= c.sent+c.took+slack
}

// lossOf describes a call that a stopping router had read and that got neither an answer nor a refusal, without
// an excuse. It is empty for other calls.
func (s *Soak) lossOf(c *call, d *disturbance, attempts []*attempt, events []routerEvent) string {
	if c.complete || c.stopped || c.left {
		return ""
	}
	outcome := ""
	if i := slices.IndexFunc(events, func(e routerEvent) bool { return e.ends(c) }); i >= 0 {
		outcome = events[i].Outcome
	}
	if c.status == 0 && !c.dropped && outcome == "" && len(attempts) == 0 {
		s.report.StopUnread++
		return ""
	}
	if cause := s.excuseOf(c, d.from, attempts); cause != "" {
		s.report.StopExcused[cause]++
		return ""
	}
	return fmt.Sprintf("%s %s to %s, stopped at %v, from %v to %v: status %d, dropped %v, outcome %q%s", c.kind, c.id, c.router, d.from,
		c.sent, c.sent+c.took, c.status, c.dropped, outcome, listAttempts(attempts))
}

func listAttempts(attempts []*attempt) string {
	var text strings.Builder
	for _, a := range attempts {
		fmt.Fprintf(&text, ", at %s by %s from %v, %d parts sent, closed %v, whole %v, declined %v", a.backend.id, a.router, a.arrived, len(a.sent), a.closed,
			a.whole, a.declined)
	}
	return text.String()
}

// excuseOf returns why a call that a stopping router had read may end without a complete response, empty if
// it may not. Stopped is when the router got SIGTERM.
func (s *Soak) excuseOf(c *call, stopped time.Duration, attempts []*attempt) string {
	end := c.sent + c.took
	switch {
	case c.took >= timeoutOf(c.kind)-noticeDelay:
		return endedByDeadline
	case isLong(c.kind) && end-max(c.sent, c.lastAt) >= patienceOf(c.kind)-noticeDelay:
		return endedByPatience
	case s.failedUnplanned(c.router, c.sent, end):
		return endedByFault
	}
	// What a back end declined goes on elsewhere, or is refused.
	attempts = slices.DeleteFunc(slices.Clone(attempts), func(a *attempt) bool { return a.declined && !a.brokenOff || a.wasOutrun(attempts, end) })
	if len(attempts) == 0 {
		return ""
	}
	a := slices.MaxFunc(attempts, func(a, b *attempt) int { return cmp.Compare(a.lastAt(), b.lastAt()) })
	endedAt := time.Duration(a.backend.endedAt.Load())
	switch {
	case a.brokenOff, endedAt != 0 && endedAt <= end:
		return endedByBackend
	case s.linkFailed(a.backend, c.sent, end):
		return endedByLink
	case s.failedUnplanned(a.router, c.sent, end):
		return endedByFault
	case c.sent <= stopped+cutSent && end >= stopped+cutFrom && (a.end() == 0 || a.end() >= end-noticeDelay):
		return endedByStop
	}
	return ""
}

// wasOutrun reports whether the router closed an attempt in favor of another one, which its back end broke off
// later and before the end of the call. A silent back end shows nothing: the router may have closed that
// attempt too.
func (a *attempt) wasOutrun(attempts []*attempt, end time.Duration) bool {
	return a.closed != 0 && !a.brokenOff && slices.ContainsFunc(attempts, func(other *attempt) bool {
		return other.brokenOffAt > a.closed && other.brokenOffAt <= end
	})
}

// lastAt returns when the back end received the request, or sent the last part of its answer before the attempt ended.
func (a *attempt) lastAt() time.Duration {
	last := a.arrived
	for _, at := range a.sent {
		if a.end() == 0 || at <= a.end() {
			last = at
		}
	}
	return last
}

// failedUnplanned reports whether a router was killed, frozen or cut from the back ends during a time, or
// just before it.
func (s *Soak) failedUnplanned(router string, from, to time.Duration) bool {
	s.cuts.mu.Lock()
	defer s.cuts.mu.Unlock()
	if slices.ContainsFunc(s.cuts.past, func(k cut) bool {
		return slices.Contains(k.routers, router) && (&period{k.from, k.to}).overlaps(from-noticeDelay, to)
	}) {
		return true
	}
	return s.anyDisturbance(from, to, func(d *disturbance) bool { return !d.planned && d.router != "" && d.router == router })
}

// linkFailed reports whether the link of a back end was cut or reset during a time, or just before
// it.
func (s *Soak) linkFailed(b *backend, from, to time.Duration) bool {
	return s.anyDisturbance(from, to, func(d *disturbance) bool { return d.backend == b })
}

func (s *Soak) anyDisturbance(from, to time.Duration, matches func(*disturbance) bool) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.ContainsFunc(s.disturbances, func(d *disturbance) bool {
		return matches(d) && (&period{d.from, d.to}).overlaps(from-noticeDelay, to)
	})
}
