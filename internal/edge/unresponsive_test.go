package edge

import (
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"
)

// counter returns the sum of a counter over all routers.
func (d *deployment) counter(name string) int {
	total := 0
	for _, router := range d.routers {
		var text strings.Builder
		_, err := router.handler.WriteTo(&text)
		assert.NilError(d.t, err)
		for line := range strings.Lines(text.String()) {
			if value, is := strings.CutPrefix(line, name+" "); is {
				n, err := strconv.Atoi(strings.TrimSpace(value))
				assert.NilError(d.t, err)
				total += n
			}
		}
	}
	return total
}

// busiestEngine waits until streams run and returns the host of the engine with the most.
func (d *deployment) busiestEngine(streams int) *host {
	d.t.Helper()
	var busiest *host
	poll.WaitOn(d.t, func(poll.LogT) poll.Result {
		d.mu.Lock()
		defer d.mu.Unlock()
		total, most := 0, 0
		for _, h := range d.hosts {
			total += h.current.streams
			if h.current.streams > most {
				busiest, most = h, h.current.streams
			}
		}
		if total < streams {
			return poll.Continue("%d streams", total)
		}
		return poll.Success()
	}, poll.WithTimeout(5*time.Second), poll.WithDelay(2*time.Millisecond))
	return busiest
}

// Guards against reports or lists that get lost between router and leader, so that streams are held
// at an engine that has stopped. Its heartbeats still arrive, as while only its model is stuck.
func TestStreamsLeaveUnresponsiveEngine(t *testing.T) {
	d := newDeployment(t, 3, 2, 4)
	const streams = 16
	results := make([]result, streams)
	var group sync.WaitGroup
	// The retry budget of a router follows its requests, and a new leader lends few retries.
	for i := range 2 * streams {
		group.Go(func() {
			for n := range 3 {
				d.send(i%2, "ka", "/talk/", fmt.Sprintf("short %d %d", i, n))
			}
		})
	}
	group.Wait()
	for i := range streams {
		group.Go(func() { results[i] = d.send(i%2, "ka", "/talk/"+strconv.Itoa(i), "long "+strconv.Itoa(i)) })
	}
	stuck := d.busiestEngine(streams)
	d.mu.Lock()
	engine, held := stuck.current, stuck.current.streams
	d.mu.Unlock()
	engine.hung.Store(true)
	group.Wait()
	longest := time.Duration(0)
	for _, got := range results {
		assert.Equal(t, got.status, http.StatusOK)
		assert.Assert(t, got.complete)
		longest = max(longest, got.took)
	}
	resumed := d.counter("quinceridge_streams_resumed_unresponsive_total")
	t.Logf("%d streams held, %d resumed, the longest took %v", held, resumed, longest)
	assert.Equal(t, resumed, held)
	assert.Equal(t, d.counter("quinceridge_ended_unresponsive_total"), 0)
}

// Guards against a stream that may run only once and is held until its time-out although nothing
// more can arrive.
func TestStreamThatMayRunOnceEndsWithHeartbeats(t *testing.T) {
	d := newDeployment(t, 3, 2, 2)
	const streams = 10
	results := make([]result, streams)
	var group sync.WaitGroup
	for i := range streams {
		group.Go(func() { results[i] = d.send(i%2, "ka", "/once/"+strconv.Itoa(i), "long "+strconv.Itoa(i)) })
	}
	stuck := d.busiestEngine(streams)
	d.mu.Lock()
	engine, held, stopHeartbeats := stuck.current, stuck.current.streams, stuck.stop
	d.mu.Unlock()
	engine.hung.Store(true)
	stopHeartbeats()
	group.Wait()
	aborted := 0
	longest := time.Duration(0)
	for _, got := range results {
		assert.Equal(t, got.status, http.StatusOK)
		if !got.complete {
			aborted++
			longest = max(longest, got.took)
		}
	}
	t.Logf("%d streams held, %d aborted after %v at most", held, aborted, longest)
	assert.Equal(t, aborted, held)
	assert.Equal(t, d.counter("quinceridge_ended_unresponsive_total"), held)
	assert.Assert(t, longest < 6*time.Second, "the time-out is 10 s")
}
