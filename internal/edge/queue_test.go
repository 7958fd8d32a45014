package edge

import (
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// sendMany sends requests with different bodies at once through all routers in turn.
func (d *deployment) sendMany(count int, path, body string) []result {
	results := make([]result, count)
	var group sync.WaitGroup
	for i := range results {
		group.Go(func() { results[i] = d.send(i%len(d.frontend), "ka", path, fmt.Sprint(body, i)) })
	}
	group.Wait()
	return results
}

// Requests beyond the capacity of an engine must wait in the leader's queue and run later: an engine
// with 8 slots never runs more, and none of the 24 requests, which take three rounds, is refused.
func TestRequestsBeyondCapacityWait(t *testing.T) {
	d := newDeployment(t, 3, 2, 1)
	for i, got := range d.sendMany(24, "/chat/", "long ") {
		assert.Assert(t, got.status == http.StatusOK && got.complete, "request %d: %+v", i, got)
		assert.Equal(t, d.runCount(fmt.Sprint("long ", i)), 1)
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	assert.Equal(t, d.hosts[0].current.peakStreams, 8)
}

// Requests that wait must survive the loss of all coordinators: their routers ask the next leader.
func TestWaitingRequestsSurviveLeader(t *testing.T) {
	d := newDeployment(t, 3, 2, 1)
	time.AfterFunc(300*time.Millisecond, d.restartNodes)
	for i, got := range d.sendMany(24, "/chat/", "long ") {
		assert.Assert(t, got.status == http.StatusOK || got.status == http.StatusServiceUnavailable, "request %d: %+v", i, got)
		assert.Assert(t, d.runCount(fmt.Sprint("long ", i)) <= 1)
		t.Log(i, got.status, got.took, got.header.Get("Retry-After"))
	}
}
