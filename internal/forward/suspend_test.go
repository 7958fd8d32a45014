package forward

import (
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"quinceridge.example/quinceridge/internal/clock"
)

// suspendable adds the returned time to the rig's clock, as a suspension of the machine does.
func (r *rig) suspendable() *atomic.Int64 {
	slept := &atomic.Int64{}
	r.handler.clock = func() time.Duration { return clock.Now() + time.Duration(slept.Load()) }
	return slept
}

// Deadlines include the time of a suspension, for retries and for the deadline header.
func TestSuspensionCountsAgainstDeadline(t *testing.T) {
	r := newRig(t)
	slept := r.suspendable()
	var mu sync.Mutex
	var left []int
	serve := func(w http.ResponseWriter, q *http.Request) {
		ms, _ := strconv.Atoi(q.Header.Get(names.Deadline))
		mu.Lock()
		left = append(left, ms)
		mu.Unlock()
		slept.Add(int64(600 * time.Millisecond))
		dropConnection(w, q)
	}
	r.add("app", "x", serve)
	r.add("app", "y", serve)
	r.add("app", "z", serve)
	r.source.table.Route("h", "/safe/1").MaxAttempts = 3
	assert.Assert(t, r.ask("GET", "/safe/1", nil).status >= 500)
	mu.Lock()
	defer mu.Unlock()
	assert.Equal(t, len(left), 2, "the third attempt would begin after the deadline")
	assert.Assert(t, left[0] > 900 && left[1] < 400, "%v", left)
}

// Timers do not advance during a suspension. An overdue request ends when the machine resumes.
func TestOverdueRequestEndsAfterSuspension(t *testing.T) {
	r := newRig(t)
	slept := r.suspendable()
	disconnected := make(chan struct{})
	r.add("app", "slow", func(_ http.ResponseWriter, q *http.Request) {
		slept.Add(int64(time.Minute))
		<-q.Context().Done()
		close(disconnected)
	})
	r.source.table.Route("h", "/unsafe/1").Timeout = 30 * time.Second
	answered := make(chan int, 1)
	go func() { answered <- r.ask("POST", "/unsafe/1", nil).status }()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		r.handler.CancelOverdue(t.Context())
		select {
		case status := <-answered:
			assert.Equal(t, status, http.StatusGatewayTimeout)
			return poll.Success()
		default:
			return poll.Continue("no response yet")
		}
	}, poll.WithTimeout(5*time.Second), poll.WithDelay(10*time.Millisecond))
	<-disconnected
}
