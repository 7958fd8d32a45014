package edge

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"quinceridge.example/quinceridge/internal/coordapi"
	"quinceridge.example/quinceridge/internal/peer"
)

// sendMany sends requests with different bodies at once through all routers in turn. Their callers
// cancel after a time, 0 for never.
func (d *deployment) sendMany(timeout time.Duration, count int, path, body string) []result {
	results := make([]result, count)
	var group sync.WaitGroup
	for i := range results {
		group.Go(func() { results[i] = d.sendWithin(timeout, i%len(d.frontend), "ka", path, fmt.Sprint(body, i)) })
	}
	group.Wait()
	return results
}

// restartLeader stops the leader and starts it again.
func (d *deployment) restartLeader() {
	peers := peer.NewClient(&peer.Counters{})
	defer peers.Close()
	for i := range d.nodes {
		var reply coordapi.Reply
		err := peers.Call(d.t.Context(), d.config[i].PeerAddress, coordapi.KindCall, coordapi.Request{Find: &coordapi.Find{}}, &reply)
		if err != nil || reply.NotLeader {
			continue
		}
		ctx, cancel := context.WithCancel(context.Background())
		cancel()
		d.node(i).Stop(ctx)
		d.mu.Lock()
		defer d.mu.Unlock()
		d.startNode(i)
		return
	}
	d.t.Error("no leader")
}

// Requests beyond the capacity of an engine must wait in the leader's queue and run later: an engine
// with 8 slots never runs more, and none of the 24 requests, which take three rounds, is refused.
func TestRequestsBeyondCapacityWait(t *testing.T) {
	d := newPatientDeployment(t, 3, 2, 1)
	for i, got := range d.sendMany(0, 24, "/chat/", "long ") {
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
	for i, got := range d.sendMany(0, 24, "/chat/", "long ") {
		assert.Assert(t, got.status == http.StatusOK || got.status == http.StatusServiceUnavailable, "request %d: %+v", i, got)
		assert.Assert(t, d.runCount(fmt.Sprint("long ", i)) <= 1)
		t.Log(i, got.status, got.took, got.header.Get("Retry-After"))
	}
}

// Callers who leave while they wait must not be sent, and must not keep later requests waiting.
func TestCallersWhoLeaveFreeTheirPlaces(t *testing.T) {
	d := newDeployment(t, 3, 2, 1)
	first := make(chan []result, 1)
	go func() { first <- d.sendMany(0, 8, "/chat/", "long first ") }()
	time.Sleep(100 * time.Millisecond)
	for _, got := range d.sendMany(300*time.Millisecond, 16, "/chat/", "long left ") {
		assert.Equal(t, got.status, 0, "%+v", got)
	}
	for _, got := range d.sendMany(0, 8, "/chat/", "long last ") {
		assert.Assert(t, got.status == http.StatusOK && got.complete, "%+v", got)
		// The first requests end after less than a second, the last ones take as long.
		assert.Assert(t, got.took < 5*time.Second, "%v", got.took)
	}
	<-first
	for i := range 16 {
		assert.Equal(t, d.runCount(fmt.Sprint("long left ", i)), 0)
	}
}

// The loss of the leader alone must neither lose a request that waits nor run one twice.
func TestWaitingRequestsSurviveLossOfOneCoordinator(t *testing.T) {
	d := newPatientDeployment(t, 3, 2, 1)
	time.AfterFunc(300*time.Millisecond, d.restartLeader)
	for i, got := range d.sendMany(0, 24, "/chat/", "long ") {
		assert.Assert(t, got.status == http.StatusOK && got.complete, "request %d: %+v", i, got)
		assert.Equal(t, d.runCount(fmt.Sprint("long ", i)), 1)
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	// The next leader counts the running requests that routers report.
	assert.Equal(t, d.hosts[0].current.peakStreams, 8)
}
