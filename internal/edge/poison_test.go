package edge

import (
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"quinceridge.example/quinceridge/internal/coordapi"
)

const (
	// maxViewAge is the age from which a router's view may be that of a leader that is lost. A leader
	// without news holds the reply for less.
	maxViewAge = 2500 * time.Millisecond
	// verdictDelay is the time in which routers report to a new leader, and it decides.
	verdictDelay = 300 * time.Millisecond
)

// A request that crashes each engine that runs it must be blocked at all routers, even if its
// caller retries under other request IDs and at other routers.
func TestPoisonRequestIsBlocked(t *testing.T) {
	for _, path := range []string{"/chat/", "/check/", "/pay/", "/look/"} {
		t.Run(path, func(t *testing.T) {
			d := newDeployment(t, 3, 2, 6)
			for i := 0; d.crashCount() < 3 && i < 40; i++ {
				d.send(i%2, "ka", path, poisonBody)
				time.Sleep(100 * time.Millisecond)
			}
			assert.Assert(t, d.crashCount() >= 3)
			d.awaitVerdict()
			before := d.runCount(poisonBody)
			var got []int
			for i := range 6 {
				got = append(got, d.send(i%2, "ka", path, poisonBody).status)
				time.Sleep(50 * time.Millisecond)
			}
			assert.Equal(t, d.runCount(poisonBody), before, "the request reached engines again")
			for _, status := range got {
				assert.Equal(t, status, http.StatusBadGateway, "a final response that does not claim that the request never ran")
			}
			// Others are served: the same body of another tenant, and this tenant's other
			// requests.
			assert.Equal(t, d.send(0, "kb", path, poisonBody).status, http.StatusOK)
			assert.Equal(t, d.send(1, "ka", path, "harmless").status, http.StatusOK)
		})
	}
}

// crashEngines sends the poison request until it has crashed a number of engines.
func (d *deployment) crashEngines(path string, count int) {
	d.t.Helper()
	for i := 0; d.crashCount() < count; i++ {
		assert.Assert(d.t, i < 60, "%d engines have crashed", d.crashCount())
		d.send(i%len(d.frontend), "ka", path, poisonBody)
		time.Sleep(50 * time.Millisecond)
	}
}

// awaitVerdict gives routers and the leader a second to find what ended engines, and longer while there is no
// leader, or a router has no current view of it: it may be lost when this process was suspended.
func (d *deployment) awaitVerdict() {
	d.t.Helper()
	time.Sleep(time.Second)
	d.call(coordapi.Request{Read: &coordapi.Read{}})
	for i := range d.frontend {
		poll.WaitOn(d.t, func(poll.LogT) poll.Result {
			d.mu.Lock()
			_, age := d.routers[i].follower.View()
			d.mu.Unlock()
			if age > maxViewAge {
				return poll.Continue("the view of router %d is %v old", i, age)
			}
			return poll.Success()
		}, poll.WithTimeout(20*time.Second), poll.WithDelay(20*time.Millisecond))
	}
	time.Sleep(verdictDelay)
}

// assertBlocked checks that the poison request reaches no engine through any router.
func (d *deployment) assertBlocked(path string) {
	d.t.Helper()
	d.awaitVerdict()
	before := d.runCount(poisonBody)
	for frontend := range d.frontend {
		got := d.send(frontend, "ka", path, poisonBody)
		assert.Equal(d.t, got.status, http.StatusBadGateway)
		assert.Assert(d.t, got.header.Get("Retry-After") != "")
		assert.Assert(d.t, got.took < 500*time.Millisecond, "the answer took %v", got.took)
	}
	assert.Equal(d.t, d.runCount(poisonBody), before, "the request reached engines again")
}

// A block survives the loss of all coordinators, and new routers have it before they serve.
func TestBlockSurvivesCoordinatorsAndReachesNewRouters(t *testing.T) {
	d := newDeployment(t, 3, 1, 6)
	d.crashEngines("/chat/", 2)
	time.Sleep(300 * time.Millisecond)
	d.restartNodes()
	d.awaitReady()
	d.crashEngines("/chat/", 3)
	d.assertBlocked("/chat/")
	d.restartNodes()
	d.addRouter(len(d.frontend), d.config[0].Seeds)
	d.awaitReady()
	d.assertBlocked("/chat/")
}

// Engines that hang break no connection: callers cancel after a while, and other engines start
// at the same addresses.
func TestRequestThatHangsEnginesIsBlocked(t *testing.T) {
	d := newDeployment(t, 3, 2, 6)
	d.callerTimeout = 1500 * time.Millisecond
	for _, h := range d.hosts {
		h.hangs, h.restartDelay = true, time.Second
	}
	d.crashEngines("/chat/", 3)
	d.assertBlocked("/chat/")
	assert.Equal(t, d.send(0, "ka", "/chat/", "harmless").status, http.StatusOK)
}

// Streams that ran beside a poison request may resume elsewhere, and later ones are served. None
// of them is blocked.
func TestRequestsBesidePoisonRequestAreServed(t *testing.T) {
	d := newDeployment(t, 3, 2, 6)
	var group sync.WaitGroup
	var served, failed atomic.Int64
	for i := range 24 {
		group.Go(func() {
			for n := range 4 {
				if got := d.send(i%2, "ka", "/check/", fmt.Sprintf("long %d %d", i, n)); got.status == http.StatusOK && got.complete {
					served.Add(1)
				} else {
					failed.Add(1)
				}
			}
		})
	}
	time.Sleep(200 * time.Millisecond)
	for i := 0; d.send(i%2, "ka", "/chat/", poisonBody).header.Get("Retry-After") == ""; i++ {
		// Streams that ran at several crashed engines are suspected too, which costs up to three
		// more engines.
		assert.Assert(t, d.crashCount() <= 6)
		time.Sleep(50 * time.Millisecond)
	}
	group.Wait()
	d.assertBlocked("/chat/")
	t.Logf("%d of %d streams beside it were served", served.Load(), served.Load()+failed.Load())
	for i := range 24 {
		group.Go(func() {
			for n := range 4 {
				got := d.sendWithRetries(i%2, "ka", "/check/", fmt.Sprintf("long %d %d", i, n))
				assert.Check(t, got.status == http.StatusOK && got.complete, "%d %d: %+v", i, n, got)
			}
		})
	}
	group.Wait()
}
