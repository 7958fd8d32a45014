package coordinator

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"regexp"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"quinceridge.example/quinceridge/internal/coordapi"
	"quinceridge.example/quinceridge/internal/state"
)

const (
	// operatorDeadline is the time within which an operator call must be answered.
	operatorDeadline = time.Second
	// operatorTries is the number of times that a call may be late. Wall time is the only measure of
	// the deadline, and an election on a busy machine delays one call; calls that wait for placements
	// are all late.
	operatorTries = 3
	// loadEngines engines of four slots, and loadRouters routers with loadOutstanding requests each,
	// give 320 running and about 200 waiting requests.
	loadEngines     = 80
	loadRouters     = 8
	loadOutstanding = 65
	loadPause       = 4 * time.Millisecond
	minLoadOpen     = 250
)

// operated is a group under load whose nodes have an HTTP API.
type operated struct {
	*group
	urls   []string
	client *http.Client
	// late is the total delay of a periodic timer, in nanoseconds.
	late atomic.Int64
}

// newOperated starts three nodes and returns when the leader places at the full load.
func newOperated(t *testing.T) *operated {
	o := &operated{group: newGroup(t, 3), client: &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}}
	for _, s := range o.servers {
		api := httptest.NewServer(s.Handler())
		t.Cleanup(api.Close)
		o.urls = append(o.urls, api.URL)
	}
	ctx, cancel := context.WithCancel(context.Background())
	var group sync.WaitGroup
	// This runs before the nodes are stopped.
	t.Cleanup(func() { cancel(); group.Wait() })
	group.Go(func() { o.measureDelay(ctx) })
	for i := range len(o.servers) {
		group.Go(func() { o.sendLoadHeartbeats(ctx, i) })
	}
	for i := range loadRouters {
		group.Go(func() { o.placeRepeatedly(ctx, i) })
		group.Go(func() { o.awaitRepeatedly(ctx, i) })
	}
	o.awaitLoad()
	return o
}

// measureDelay adds up how late a periodic timer is until the context ends.
func (o *operated) measureDelay(ctx context.Context) {
	const interval = 10 * time.Millisecond
	for last := time.Now(); ctx.Err() == nil; {
		time.Sleep(interval)
		now := time.Now()
		o.late.Add(int64(now.Sub(last) - interval))
		last = now
	}
}

// sendLoadHeartbeats sends the heartbeats of one node's part of the engines.
func (o *operated) sendLoadHeartbeats(ctx context.Context, node int) {
	for sequence := coordapi.Sequence(1); ctx.Err() == nil; sequence++ {
		for i := node; i < loadEngines; i += len(o.servers) {
			_, _ = o.servers[node].Call(ctx, beat(fmt.Sprint("engine-", i), sequence, false))
		}
		sleep(ctx, 300*time.Millisecond)
	}
}

func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// placeRepeatedly places a router's requests, and ends the oldest for each new one beyond its number
// of outstanding requests.
func (o *operated) placeRepeatedly(ctx context.Context, router int) {
	name := fmt.Sprint("router-", router)
	var outstanding []uint64
	for number := uint64(1); ctx.Err() == nil; number++ {
		r := waits(number)
		r.Place.Router = name
		if len(outstanding) >= loadOutstanding {
			r.Place.Reports.Ended = outstanding[:1:1]
			outstanding = outstanding[1:]
		}
		outstanding = append(outstanding, number)
		_, _ = o.leading().Call(ctx, r)
		sleep(ctx, loadPause)
	}
}

// awaitRepeatedly receives the outcomes of a router's waiting requests.
func (o *operated) awaitRepeatedly(ctx context.Context, router int) {
	call := coordapi.Await{Router: fmt.Sprint("router-", router)}
	for ctx.Err() == nil {
		reply, err := o.leading().Call(ctx, coordapi.Request{Await: &call})
		if err != nil || reply.Awaited == nil {
			sleep(ctx, loadPause)
			continue
		}
		call.Session, call.Acknowledged = reply.Awaited.Session, reply.Awaited.Sequence
	}
}

// leading returns the node that leads, to which routers send their placements, or any node.
func (o *operated) leading() *Server {
	for _, s := range o.servers {
		if s.leading.Load() {
			return s
		}
	}
	return o.servers[0]
}

var queueWaiting = regexp.MustCompile(`(?m)^quinceridge_queue_waiting\{.*\} (\d+)$`)

// awaitLoad waits until the leader has the expected placements and a queue that is not empty.
func (o *operated) awaitLoad() {
	o.t.Helper()
	waitOn(o.t, func(poll.LogT) poll.Result {
		s := o.leading()
		open, _ := s.placer.OpenPlacements()
		var metrics bytes.Buffer
		s.placer.WriteMetrics(&metrics, s.now())
		waiting := 0
		for _, match := range queueWaiting.FindAllStringSubmatch(metrics.String(), -1) {
			count, _ := strconv.Atoi(match[1])
			waiting += count
		}
		if !s.leading.Load() || open < minLoadOpen || waiting == 0 {
			return poll.Continue("leads: %v, %d placements, %d waiting; %s", s.leading.Load(), open, waiting, o.describe(s))
		}
		return poll.Success()
	}, poll.WithTimeout(30*time.Second), poll.WithDelay(5*time.Millisecond))
}

// describe returns what a node has listed, unless its loop is held.
func (o *operated) describe(s *Server) string {
	ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
	defer cancel()
	text := "not known"
	s.loop.Do(ctx, func(time.Duration) {
		text = fmt.Sprintf("%d of %d back ends silent", len(s.soft.silent), len(s.core.Machine().Deployment().Backends))
	})
	return text
}

// answer is the response to an operator call.
type answer struct {
	status int
	body   string
}

// operate makes a call to a node under load, and fails the test if the answer is late each time or
// its status is not expected.
func (o *operated) operate(node int, method, path, body string, expected ...int) answer {
	o.t.Helper()
	var got answer
	for try := range operatorTries {
		if try > 0 {
			// A leader lost on a busy machine is replaced first.
			o.awaitLoad()
		}
		var took, allowed time.Duration
		got, took, allowed = o.send(node, method, path, body)
		if took > allowed {
			o.t.Logf("try %d: %s %s at node %d took %v, allowed %v: %d %s", try, method, path, node, took, allowed, got.status, got.body)
			continue
		}
		for _, status := range expected {
			if got.status == status {
				return got
			}
		}
		assert.Assert(o.t, got.status == http.StatusServiceUnavailable, "%s %s at node %d: %+v", method, path, node, got)
		o.t.Logf("try %d: %s %s at node %d: %+v", try, method, path, node, got)
	}
	o.t.Errorf("%s %s at node %d was not answered with %v within %v in %d tries; last %+v", method, path, node, expected, operatorDeadline, operatorTries, got)
	return got
}

// send makes one call. The allowed time includes the delay of timers in this process, which nodes
// and test share.
func (o *operated) send(node int, method, path, body string) (got answer, took, allowed time.Duration) {
	request, err := http.NewRequest(method, o.urls[node]+path, strings.NewReader(body))
	assert.NilError(o.t, err)
	late, begun := o.late.Load(), time.Now()
	response, err := o.client.Do(request)
	if err == nil {
		text, _ := io.ReadAll(response.Body)
		response.Body.Close()
		got = answer{response.StatusCode, string(text)}
	}
	took = time.Since(begun)
	return got, took, operatorDeadline + time.Duration(o.late.Load()-late)
}

const configurationPath = "/v1/configuration"

// documentWithKeys returns a configuration with one tenant that has the given keys, in the form in
// which it is read back.
func documentWithKeys(version uint64, keys string) string {
	compact := strings.ReplaceAll(replaceVersion(unlimited, version), "\n ", "")
	return strings.Replace(compact, `["k"]`, `[`+keys+`]`, 1)
}

// Guards against operator calls that wait behind placements: while hundreds of placements are open
// and requests wait, changes must be acknowledged, refused, or read back within a second.
func TestOperatorCallsAreAnsweredUnderLoad(t *testing.T) {
	o := newOperated(t)
	version := uint64(1)
	o.operate(0, http.MethodPut, configurationPath, documentWithKeys(version, `"k","old"`), http.StatusOK)

	// Two concurrent changes at different nodes: the later version is in force.
	for range 5 {
		o.awaitLoad()
		var group sync.WaitGroup
		for i := range 2 {
			group.Go(func() {
				o.operate(i, http.MethodPut, configurationPath, documentWithKeys(version+1+uint64(i), `"k","old"`), http.StatusOK)
			})
		}
		group.Wait()
		version += 2
		assert.Equal(t, o.operate(2, http.MethodGet, configurationPath, "", http.StatusOK).body, documentWithKeys(version, `"k","old"`))
	}
	// Changes in quick succession, each repeated at another node.
	for i := range 20 {
		version++
		o.operate(i%3, http.MethodPut, configurationPath, documentWithKeys(version, `"k","old"`), http.StatusOK)
		o.operate((i+1)%3, http.MethodPut, configurationPath, documentWithKeys(version, `"k","old"`), http.StatusOK)
	}
	o.awaitLoad()
	// Invalid changes change nothing.
	for node := range 3 {
		for _, invalid := range []string{"", "{", `{"version":-1}`, documentWithKeys(version+1, `3`)} {
			o.operate(node, http.MethodPut, configurationPath, invalid, http.StatusBadRequest)
		}
		o.operate(node, http.MethodPost, "/v1/weights", "[", http.StatusBadRequest)
		o.operate(node, http.MethodDelete, "/v1/blocked/none", "", http.StatusBadRequest)
	}
	assert.Equal(t, o.operate(1, http.MethodGet, configurationPath, "", http.StatusOK).body, documentWithKeys(version, `"k","old"`))
	// A removed key is not read back once the removal is acknowledged.
	o.awaitLoad()
	version++
	o.operate(2, http.MethodPut, configurationPath, documentWithKeys(version, `"k"`), http.StatusOK)
	for node := range 3 {
		assert.Equal(t, o.operate(node, http.MethodGet, configurationPath, "", http.StatusOK).body, documentWithKeys(version, `"k"`))
		o.operate(node, http.MethodGet, "/v1/limits", "", http.StatusOK)
		o.operate(node, http.MethodGet, "/v1/blocked", "", http.StatusOK)
		o.operate(node, http.MethodPost, "/v1/weights", `{"model":"m","version":1}`, http.StatusOK)
	}
	o.awaitLoad()
}

// Guards against calls that wait for a suspended node: the other nodes must answer within a second,
// with the configuration while a follower is suspended, and at least with a refusal while the leader
// is. The suspended node's loop is held, so that it neither applies nor sends anything.
func TestOperatorCallsAreAnsweredWhileNodeIsSuspended(t *testing.T) {
	o := newOperated(t)
	version := uint64(1)
	o.operate(0, http.MethodPut, configurationPath, documentWithKeys(version, `"k"`), http.StatusOK)
	for _, leads := range []bool{false, true} {
		o.awaitLoad()
		node, expected := o.leader(), []int{http.StatusOK, http.StatusServiceUnavailable}
		if !leads {
			node, expected = (node+1)%3, expected[:1]
		}
		resume := o.suspend(node)
		version++
		for i := range 6 {
			other := (node + 1 + i%2) % 3
			o.operate(other, http.MethodPut, configurationPath, documentWithKeys(version, `"k"`), expected...)
			got := o.operate(other, http.MethodGet, configurationPath, "", expected...)
			if !leads {
				assert.Equal(t, got.body, documentWithKeys(version, `"k"`))
			}
		}
		resume()
		waitOn(t, func(poll.LogT) poll.Result {
			reply, err := o.servers[node].Call(context.Background(), coordapi.Request{Configure: &state.Configure{
				Version: version, Document: []byte(documentWithKeys(version, `"k"`))}})
			if err != nil {
				return poll.Continue("%+v, %v", reply, err)
			}
			return poll.Success()
		}, poll.WithTimeout(20*time.Second), poll.WithDelay(20*time.Millisecond))
		assert.Equal(t, o.operate(node, http.MethodGet, configurationPath, "", http.StatusOK).body, documentWithKeys(version, `"k"`))
	}
}

// suspend holds the loop of a node until resume is called.
func (o *operated) suspend(node int) (resume func()) {
	held, release := make(chan struct{}), make(chan struct{})
	go o.servers[node].loop.Do(context.Background(), func(time.Duration) {
		close(held)
		<-release
	})
	<-held
	end := sync.OnceFunc(func() { close(release) })
	o.t.Cleanup(end)
	return end
}
