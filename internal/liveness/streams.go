package liveness

import (
	"cmp"
	"slices"
	"sync"
	"time"
)

// maxCheckDelay is the time between two checks from which this process is taken to have been
// stopped. Its streams are then not overdue because of events that it could not read.
const maxCheckDelay = 200 * time.Millisecond

// Streams tracks a router's requests at engines. It is safe for concurrent use. A nil Streams tracks
// nothing.
type Streams struct {
	// urgent receives when a report must not wait for its turn.
	urgent chan struct{}

	mu      sync.Mutex
	engines map[string]*engineStreams
	// listed are the engines that the leader lists.
	listed []string
	// checkedAt is the time of the last check, and resumedAt the end of the last time for which the
	// process was stopped.
	checkedAt, resumedAt time.Duration
	// reportedAt is the time of the last call of Stalls.
	reportedAt time.Duration
}

// engineStreams are the requests at one engine.
type engineStreams struct {
	requests map[*Stream]struct{}
	// newest is the time of the newest event. active counts the streams that ended with an event
	// since the last report.
	newest time.Duration
	active int
	// reported is set if the last report listed overdue streams, and signaled if one has been
	// requested because no event arrived for EventWindow.
	reported, signaled bool
}

// Stream is a request at an engine. A nil Stream is not tracked.
type Stream struct {
	streams *Streams
	engine  string
	// onOverdue is called by Check while the request is overdue.
	onOverdue func(*Stream)
	// since is the time from which the next event is awaited, and limit the longest wait; 0 for
	// none. begun is set once the response is a stream of events, and paused while the client does
	// not read.
	since, limit  time.Duration
	begun, paused bool
	ended         bool
}

// NewStreams returns an empty Streams.
func NewStreams() *Streams {
	return &Streams{urgent: make(chan struct{}, 1), engines: map[string]*engineStreams{}}
}

// Add tracks a request that was sent to an engine and is overdue if it gets no response within limit;
// 0 for no limit. Check calls onOverdue while it is overdue.
func (t *Streams) Add(now time.Duration, engine string, limit time.Duration, onOverdue func(*Stream)) *Stream {
	if t == nil {
		return nil
	}
	s := &Stream{streams: t, engine: engine, onOverdue: onOverdue, since: now, limit: limit}
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.engines[engine]
	if e == nil {
		e = &engineStreams{requests: map[*Stream]struct{}{}}
		t.engines[engine] = e
	}
	e.requests[s] = struct{}{}
	return s
}

// Begin records that the response has begun and is a stream whose events are at most pause apart; 0
// for no limit.
func (s *Stream) Begin(now, pause time.Duration) {
	s.update(func(e *engineStreams) {
		s.begun, s.limit = true, pause
		s.event(e, now)
	})
}

// Event records an event of the engine. The next one is awaited once the client has read it.
func (s *Stream) Event(now time.Duration) {
	s.update(func(e *engineStreams) {
		s.paused = true
		s.event(e, now)
	})
}

// Forwarded records that the client has read the last event.
func (s *Stream) Forwarded(now time.Duration) {
	s.update(func(*engineStreams) { s.paused, s.since = false, now })
}

// End ends the tracking.
func (s *Stream) End() {
	s.update(func(e *engineStreams) {
		s.ended = true
		delete(e.requests, s)
		if s.begun && s.since > s.streams.reportedAt {
			e.active++
		}
		if len(e.requests) == 0 && !e.reported && !slices.Contains(s.streams.listed, s.engine) {
			delete(s.streams.engines, s.engine)
		}
	})
}

// Overdue reports whether the next event is overdue.
func (s *Stream) Overdue(now time.Duration) bool {
	s.streams.mu.Lock()
	defer s.streams.mu.Unlock()
	return !s.ended && s.overdue(now)
}

// Silence returns the time for which the next event has been awaited, as far as this process ran.
func (s *Stream) Silence(now time.Duration) time.Duration {
	s.streams.mu.Lock()
	defer s.streams.mu.Unlock()
	if s.paused {
		return 0
	}
	return now - max(s.since, s.streams.resumedAt)
}

func (s *Stream) event(e *engineStreams, now time.Duration) {
	s.since = now
	e.newest = max(e.newest, now)
	e.signaled = false
}

func (s *Stream) update(change func(e *engineStreams)) {
	if s == nil {
		return
	}
	s.streams.mu.Lock()
	defer s.streams.mu.Unlock()
	if !s.ended {
		change(s.streams.engines[s.engine])
	}
}

func (s *Stream) overdue(now time.Duration) bool {
	return s.limit > 0 && !s.paused && now-max(s.since, s.streams.resumedAt) > s.limit
}

// counts returns the report on an engine. No stream is reported as overdue until the process has run
// for EventWindow, since events may wait to be read.
func (e *engineStreams) counts(now time.Duration, t *Streams) Stall {
	counts := Stall{Active: e.active, Age: now - e.newest}
	observed := now-t.resumedAt > EventWindow
	for s := range e.requests {
		if !s.begun {
			continue
		}
		counts.Streams++
		if observed && s.overdue(now) {
			counts.Overdue++
		}
		if s.since > t.reportedAt {
			counts.Active++
		}
	}
	return counts
}

// observe notes that the process runs.
func (t *Streams) observe(now time.Duration) {
	if now-t.checkedAt > maxCheckDelay {
		t.resumedAt = now
	}
	t.checkedAt = now
}

// Check calls onOverdue for each overdue request. It is to be called at intervals far below
// maxCheckDelay.
func (t *Streams) Check(now time.Duration) {
	if t == nil {
		return
	}
	for _, s := range t.takeOverdue(now) {
		s.onOverdue(s)
	}
}

// takeOverdue returns the overdue requests and requests a report if an engine has sent no event for
// EventWindow, once until its next event.
func (t *Streams) takeOverdue(now time.Duration) []*Stream {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.observe(now)
	var overdue []*Stream
	for _, e := range t.engines {
		stalled := false
		for s := range e.requests {
			if s.overdue(now) {
				overdue = append(overdue, s)
				stalled = stalled || s.begun
			}
		}
		if stalled && !e.signaled && now-max(e.newest, t.resumedAt) > EventWindow {
			e.signaled = true
			t.signal()
		}
	}
	return overdue
}

// SetListed sets the engines that the leader lists as unresponsive. If one of them has sent events
// meanwhile, a report is requested.
func (t *Streams) SetListed(now time.Duration, listed []string) {
	if t == nil {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.listed = listed
	for _, id := range listed {
		if e := t.engines[id]; e != nil && len(e.requests) > 0 && e.newest > 0 && now-e.newest < EventWindow {
			t.signal()
		}
	}
}

func (t *Streams) signal() {
	select {
	case t.urgent <- struct{}{}:
	default:
	}
}

// Urgent receives when Stalls should be reported without delay.
func (t *Streams) Urgent() <-chan struct{} {
	if t == nil {
		return nil
	}
	return t.urgent
}

// Stalls returns the report to the leader: the engines with overdue streams, those that had some in
// the last report, and those that the leader lists. At most MaxStalls are reported, those with the
// most overdue streams first.
func (t *Streams) Stalls(now time.Duration) []Stall {
	if t == nil {
		return nil
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.observe(now)
	var stalls []Stall
	for id, e := range t.engines {
		s := e.counts(now, t)
		s.Engine = id
		if s.Overdue > 0 || e.reported || (slices.Contains(t.listed, id) && s.Streams+s.Active > 0) {
			stalls = append(stalls, s)
		}
		e.reported, e.active = s.Overdue > 0, 0
		if len(e.requests) == 0 {
			delete(t.engines, id)
		}
	}
	t.reportedAt = now
	slices.SortFunc(stalls, func(a, b Stall) int {
		return cmp.Or(cmp.Compare(b.Overdue, a.Overdue), cmp.Compare(a.Engine, b.Engine))
	})
	return stalls[:min(len(stalls), MaxStalls)]
}
