package follower

import (
	"context"
	"encoding/json"
	"io"
	"log/slog"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"quinceridge.example/quinceridge/internal/clock"
	"quinceridge.example/quinceridge/internal/coordapi"
	"quinceridge.example/quinceridge/internal/liveness"
)

// notesPool records the notes.
type notesPool struct {
	discardPool
	notes []coordapi.Notes
}

func (p *notesPool) ApplyNotes(notes coordapi.Notes) { p.notes = append(p.notes, notes) }

// Guards against a list that is not applied, or stays after the view of a new leader, also one of a
// build that lists nothing.
func TestUnresponsiveEnginesAreApplied(t *testing.T) {
	pool := &notesPool{}
	streams := liveness.NewStreams()
	f := New(Config{Name: "r", Decode: decode, Pool: pool, Saved: discardSaved{}, Streams: streams, Logger: slog.New(slog.NewTextHandler(io.Discard, nil))})
	s := streams.Add(clock.Now(), "x", time.Minute, func(*liveness.Stream) {})
	s.Begin(clock.Now(), time.Minute)
	first := view(3).View
	first.Leader, first.Unresponsive = coordapi.NewLeaderToken("a", 1), []string{"x"}
	assert.Assert(t, f.applyView(0, first))
	assert.DeepEqual(t, pool.notes[0].Unresponsive, []string{"x"})
	assert.Equal(t, len(streams.Stalls(clock.Now())), 1, "a listed engine with events is reported")
	var old coordapi.View
	assert.NilError(t, json.Unmarshal([]byte(`{"revision":4,"version":3,"leader":"b-1","routers":1}`), &old))
	assert.Assert(t, f.applyView(0, &old))
	assert.Equal(t, len(pool.notes), 2)
	assert.Equal(t, len(pool.notes[1].Unresponsive), 0)
	assert.Equal(t, len(streams.Stalls(clock.Now())), 0)
}

// Guards against messages about streams while none is overdue, and against stalls that are missing
// from the updates.
func TestStallsAreReportedOnlyWhileStreamsAreOverdue(t *testing.T) {
	s := newFakeLeader(t)
	s.setReply(view(2))
	streams := liveness.NewStreams()
	f := followWith(t, busyPool{}, time.Minute, s.address)
	f.config.Streams = streams
	f.await(t, 2)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		f.Update(ctx)
	}()
	defer func() {
		cancel()
		<-done
	}()
	go func() {
		for ctx.Err() == nil {
			streams.Check(clock.Now())
			time.Sleep(10 * time.Millisecond)
		}
	}()
	stream := streams.Add(clock.Now(), "x", time.Minute, func(*liveness.Stream) {})
	stream.Begin(clock.Now(), 300*time.Millisecond)
	reported := func() (updates int, stalls []liveness.Stall) {
		s.mu.Lock()
		defer s.mu.Unlock()
		return s.updates, s.stalls
	}
	for range 5 {
		time.Sleep(40 * time.Millisecond)
		stream.Event(clock.Now())
		stream.Forwarded(clock.Now())
	}
	updates, stalls := reported()
	assert.Assert(t, updates > 0)
	assert.Equal(t, len(stalls), 0)
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if _, stalls := reported(); len(stalls) == 0 || stalls[len(stalls)-1].Overdue != 1 {
			return poll.Continue("stalls are %+v", stalls)
		}
		return poll.Success()
	}, poll.WithTimeout(10*time.Second), poll.WithDelay(5*time.Millisecond))
}

// Guards against a field that old leaders and the sizes of messages would notice while there is
// nothing to report.
func TestReportsWithoutStallsAreUnchanged(t *testing.T) {
	text, err := json.Marshal(coordapi.Request{Update: &coordapi.Update{Router: "r"}})
	assert.NilError(t, err)
	assert.Assert(t, !strings.Contains(string(text), "stalls"), "%s", text)
	reports := coordapi.Reports{Stalls: []liveness.Stall{{Engine: "x"}}}
	assert.Assert(t, !reports.Empty())
}
