package liveness

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

const pause = 400 * ms

// running returns a Streams that has observed its process for a second until the returned time.
func running() (*Streams, time.Duration) {
	t := NewStreams()
	t.resumedAt, t.checkedAt = 0, 10*time.Second
	return t, 10 * time.Second
}

// begin adds a stream that begins at once.
func (t *Streams) begin(now time.Duration, engine string, onOverdue func(*Stream)) *Stream {
	s := t.Add(now, engine, time.Second, onOverdue)
	s.Begin(now, pause)
	return s
}

// keepChecking calls Check until a time, as a process that runs does.
func (t *Streams) keepChecking(from, until time.Duration) {
	for now := from; now <= until; now += 25 * ms {
		t.Check(now)
	}
}

// Guards against reports while all streams are in time, and against a missing report of the event
// that ends a stall.
func TestStallsAreReportedWhileStreamsAreOverdue(t *testing.T) {
	streams, now := running()
	calls := 0
	late := streams.begin(now, "e", func(*Stream) { calls++ })
	streams.begin(now, "other", func(*Stream) {}).End()
	streams.keepChecking(now, now+pause)
	assert.Equal(t, len(streams.Stalls(now+pause)), 0)
	assert.Equal(t, calls, 0)
	streams.keepChecking(now+pause, now+pause+50*ms)
	assert.Equal(t, calls, 2)
	assert.DeepEqual(t, streams.Stalls(now+pause+50*ms), []Stall{{Engine: "e", Streams: 1, Overdue: 1, Age: pause + 50*ms}})
	late.Event(now + 500*ms)
	late.Forwarded(now + 500*ms)
	assert.DeepEqual(t, streams.Stalls(now+510*ms), []Stall{{Engine: "e", Streams: 1, Active: 1, Age: 10 * ms}})
	assert.Equal(t, len(streams.Stalls(now+520*ms)), 0)
	late.End()
	assert.Equal(t, len(streams.engines), 0)
}

// Guards against a stream that ends with its last event and takes the evidence with it.
func TestEventOfEndedStreamIsReported(t *testing.T) {
	streams, now := running()
	s := streams.begin(now, "e", func(*Stream) {})
	streams.keepChecking(now, now+700*ms)
	assert.Equal(t, len(streams.Stalls(now+700*ms)), 1)
	s.Event(now + 710*ms)
	s.Forwarded(now + 710*ms)
	s.End()
	assert.DeepEqual(t, streams.Stalls(now+720*ms), []Stall{{Engine: "e", Active: 1, Age: 10 * ms}})
	assert.Equal(t, len(streams.Stalls(now+730*ms)), 0)
	assert.Equal(t, len(streams.engines), 0)
}

// Guards against taking a slow client for an unresponsive engine.
func TestStreamOfSlowClientIsNotOverdue(t *testing.T) {
	streams, now := running()
	s := streams.begin(now, "e", func(*Stream) { t.Error("the client does not read") })
	s.Event(now)
	streams.keepChecking(now, now+3*time.Second)
	s.Forwarded(now + 3*time.Second)
	streams.keepChecking(now+3*time.Second, now+3*time.Second+pause)
	assert.Equal(t, len(streams.Stalls(now+3*time.Second+pause)), 0)
}

// Guards against taking the time for which this process was stopped for a pause of its streams.
func TestStoppedProcessReportsNoOverdueStreams(t *testing.T) {
	streams, now := running()
	calls := 0
	streams.begin(now, "e", func(*Stream) { calls++ })
	resumed := now + 5*time.Second
	streams.Check(resumed)
	assert.Equal(t, len(streams.Stalls(resumed)), 0)
	streams.keepChecking(resumed, resumed+pause)
	assert.Equal(t, calls, 0)
	streams.keepChecking(resumed+pause, resumed+EventWindow)
	assert.Assert(t, calls > 0)
	assert.Equal(t, len(streams.Stalls(resumed+EventWindow)), 0, "events may wait to be read")
	assert.Equal(t, len(streams.Stalls(resumed+EventWindow+ms)), 1)
}

// Guards against requests that are overdue although their route has no limit.
func TestRequestWithoutLimitIsNeverOverdue(t *testing.T) {
	streams, now := running()
	streams.Add(now, "e", 0, func(*Stream) { t.Error("no latency target") })
	s := streams.Add(now, "e", time.Second, func(*Stream) { t.Error("no maximum pause") })
	s.Begin(now, 0)
	streams.keepChecking(now, now+10*time.Second)
	assert.Equal(t, len(streams.Stalls(now+10*time.Second)), 0)
}

// Guards against counting requests that wait for their prompts as stalled streams.
func TestRequestWithoutResponseIsNoStalledStream(t *testing.T) {
	streams, now := running()
	calls := 0
	streams.Add(now, "e", 200*ms, func(*Stream) { calls++ })
	streams.keepChecking(now, now+time.Second)
	assert.Assert(t, calls > 0)
	assert.Equal(t, len(streams.Stalls(now+time.Second)), 0)
	assert.Equal(t, len(streams.Urgent()), 0)
}

// Guards against a report that waits for its turn although an engine has stopped, and against one
// with each check.
func TestUrgentReportIsRequestedOncePerStall(t *testing.T) {
	streams, now := running()
	s := streams.begin(now, "e", func(*Stream) {})
	streams.keepChecking(now, now+EventWindow)
	assert.Equal(t, len(streams.Urgent()), 0)
	streams.keepChecking(now+EventWindow, now+EventWindow+25*ms)
	assert.Equal(t, len(streams.Urgent()), 1)
	<-streams.Urgent()
	streams.keepChecking(now+EventWindow, now+3*time.Second)
	assert.Equal(t, len(streams.Urgent()), 0)
	s.Event(now + 3*time.Second)
	s.Forwarded(now + 3*time.Second)
	streams.keepChecking(now+3*time.Second, now+4*time.Second)
	assert.Equal(t, len(streams.Urgent()), 1)
}

// Guards against an engine that stays listed although a router gets events from it.
func TestEventsOfListedEngineAreReported(t *testing.T) {
	streams, now := running()
	s := streams.begin(now, "e", func(*Stream) { t.Error("in time") })
	streams.keepChecking(now, now+100*ms)
	streams.SetListed(now+100*ms, []string{"e", "unknown"})
	assert.Equal(t, len(streams.Urgent()), 1)
	assert.DeepEqual(t, streams.Stalls(now+100*ms), []Stall{{Engine: "e", Streams: 1, Active: 1, Age: 100 * ms}})
	streams.SetListed(now+100*ms, nil)
	assert.Equal(t, len(streams.Stalls(now+110*ms)), 0)
	s.End()
	assert.Equal(t, len(streams.engines), 0)
}

// Guards against messages that grow with the number of engines.
func TestReportIsBounded(t *testing.T) {
	streams, now := running()
	for i := range 3 * MaxStalls {
		streams.begin(now, fmt.Sprint("single", i), func(*Stream) {})
	}
	for range 3 {
		streams.begin(now, "z", func(*Stream) {})
	}
	streams.keepChecking(now, now+time.Second)
	stalls := streams.Stalls(now + time.Second)
	assert.Equal(t, len(stalls), MaxStalls)
	assert.Equal(t, stalls[0].Engine, "z")
}
