package edge

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// minServedConcentrated is the share of requests that must be served while most new connections go to
// one router, relative to the time before.
const minServedConcentrated = 0.75

// concentration is traffic whose new connections go mostly to one router.
type concentration struct {
	*deployment
	// preferred is the router that gets nine in ten of the new connections, -1 for none.
	preferred atomic.Int64
	// stopped are the routers that take no new connections.
	stopped [16]atomic.Bool
	done    atomic.Bool
	group   sync.WaitGroup

	mu    sync.Mutex
	phase int
	// sent and served count the requests by path and phase.
	sent, served  map[string]*[5]int
	failedByCause map[string]int
}

func newConcentration(d *deployment) *concentration {
	c := &concentration{deployment: d, failedByCause: map[string]int{}, sent: map[string]*[5]int{"/chat/": {}, "/pay/": {}}, served: map[string]*[5]int{"/chat/": {}, "/pay/": {}}}
	c.preferred.Store(-1)
	return c
}

// next returns the router of a new connection.
func (c *concentration) next() int {
	if preferred := int(c.preferred.Load()); preferred >= 0 && !c.stopped[preferred].Load() && rand.IntN(10) > 0 {
		return preferred
	}
	for {
		if i := rand.IntN(len(c.frontend)); !c.stopped[i].Load() {
			return i
		}
	}
}

// call sends one request over a new connection and counts it, unless no router has read it.
func (c *concentration) call(client *http.Client, path, body string) {
	c.mu.Lock()
	phase := c.phase
	c.mu.Unlock()
	frontend := c.next()
	request, err := http.NewRequestWithContext(c.t.Context(), http.MethodPost, "http://"+c.frontend[frontend]+path, strings.NewReader(body))
	if err != nil {
		return
	}
	request.Host = "h"
	request.Header.Set(names.RequestID, fmt.Sprintf("c%d", c.requests.Add(1)))
	request.Header.Set("Authorization", "Bearer ka")
	if path == "/chat/" {
		request.Header.Set(names.Model, "m")
		request.Header.Set(names.Usage, "20,20")
	}
	response, err := client.Do(request)
	if err != nil && (strings.Contains(err.Error(), "refused") || strings.Contains(err.Error(), "EOF")) {
		return
	}
	cause := fmt.Sprint(err)
	if err == nil {
		text, readErr := io.ReadAll(response.Body)
		_ = response.Body.Close()
		cause = fmt.Sprintf("router %d: %d %v %.60q", frontend, response.StatusCode, readErr, text)
		if response.StatusCode == http.StatusOK && readErr == nil {
			cause = ""
		}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sent[path][phase]++
	if cause == "" {
		c.served[path][phase]++
	} else {
		c.failedByCause[cause]++
	}
}

// start starts callers that send one request after the other.
func (c *concentration) start(callers int, path, body string) {
	for i := range callers {
		c.group.Go(func() {
			client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: 10 * time.Second}
			for n := 0; !c.done.Load(); n++ {
				c.call(client, path, fmt.Sprintf("%s %d %d", body, i, n))
				time.Sleep(time.Duration(rand.IntN(20)) * time.Millisecond)
			}
		})
	}
}

func (c *concentration) begin(phase, preferred int) {
	c.preferred.Store(int64(preferred))
	c.mu.Lock()
	defer c.mu.Unlock()
	c.phase = phase
}

// share returns the share of the requests of a path and phase that were served.
func (c *concentration) share(path string, phase int) float64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return float64(c.served[path][phase]) / float64(max(c.sent[path][phase], 1))
}

// openSilently opens connections to a router that send nothing, until the test ends.
func (c *concentration) openSilently(router, count int) {
	for range count {
		conn, err := net.Dial("tcp", c.frontend[router])
		if err != nil {
			continue
		}
		c.t.Cleanup(func() { _ = conn.Close() })
	}
}

// stopNodes stops all coordinators and starts them again after a time.
func (d *deployment) stopNodes(after time.Duration) {
	for _, node := range d.nodes {
		ctx, cancel := context.WithCancel(context.Background())
		cancel()
		node.Stop(ctx)
	}
	time.Sleep(after)
	d.mu.Lock()
	defer d.mu.Unlock()
	for i := range d.nodes {
		d.startNode(i)
	}
}

// While most new connections go to one router, and then to another one, requests are served as before,
// whatever else happens at the same time.
func TestMostConnectionsToOneRouterAreServed(t *testing.T) {
	t.Run("nothing else", func(t *testing.T) { concentrate(t, testDocument, func(*concentration) {}) })
	t.Run("the leader is lost", func(t *testing.T) { concentrate(t, testDocument, func(c *concentration) { c.restartLeader() }) })
	t.Run("all coordinators restart twice", func(t *testing.T) {
		concentrate(t, testDocument, func(c *concentration) {
			c.restartNodes()
			time.Sleep(500 * time.Millisecond)
			c.restartNodes()
		})
	})
	t.Run("silent connections", func(t *testing.T) { concentrate(t, testDocument, func(c *concentration) { c.openSilently(0, 500) }) })
	limited := strings.Replace(testDocument, `{"name":"alice","keys":["ka"]}`, `{"name":"alice","keys":["ka"],"rate":1500,"burst":1500}`, 1)
	t.Run("a tenant near its limit", func(t *testing.T) { concentrate(t, limited, func(*concentration) {}) })
}

// The router that gets the most connections must serve them also while no leader knows of that.
func TestMostConnectionsToOneRouterAreServedWithoutLeader(t *testing.T) {
	concentrate(t, testDocument, func(c *concentration) { c.stopNodes(1500 * time.Millisecond) })
}

// concentrate has most new connections go to one router, and then to another one.
func concentrate(t *testing.T, document string, disturb func(c *concentration)) {
	d := newDeployment(t, 3, 6, 6)
	d.configureDocument(2, strings.Replace(document, `"version":1`, `"version":2`, 1))
	c := newConcentration(d)
	c.start(30, "/chat/", "long")
	c.start(12, "/pay/", "call")
	time.Sleep(time.Second)
	c.begin(1, -1)
	time.Sleep(2 * time.Second)
	c.begin(2, 0)
	disturb(c)
	time.Sleep(3 * time.Second)
	// The router stops as planned while it gets the most, and another one gets them then.
	c.begin(3, 1)
	c.stopped[0].Store(true)
	d.routers[0].Stop()
	time.Sleep(3 * time.Second)
	c.begin(4, -1)
	c.done.Store(true)
	c.group.Wait()
	t.Log(c.failedByCause)
	for _, path := range []string{"/chat/", "/pay/"} {
		before, concentrated, next := c.share(path, 1), c.share(path, 2), c.share(path, 3)
		t.Logf("%s: served before %.3f, concentrated %.3f, at the next router %.3f, of %v", path, before, concentrated, next, c.sent[path])
		assert.Assert(t, before > 0.9)
		assert.Assert(t, min(concentrated, next) >= minServedConcentrated*before)
	}
}

// A router that gets the most new connections is at its bound for buffers while clients send large
// bodies slowly. The others, and calls with small bodies, are served.
func TestConcentratedSlowBodiesLeaveOthersServed(t *testing.T) {
	d := newDeployment(t, 3, 3, 6)
	c := newConcentration(d)
	c.preferred.Store(0)
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	for i := range 200 {
		c.group.Go(func() { sendSlowly(ctx, d.frontend[0], i) })
	}
	time.Sleep(500 * time.Millisecond)
	c.begin(1, 0)
	c.start(8, "/chat/", "long")
	c.start(8, "/pay/", "call")
	time.Sleep(3 * time.Second)
	c.done.Store(true)
	cancel()
	c.group.Wait()
	t.Logf("served %.3f and %.3f; %v", c.share("/chat/", 1), c.share("/pay/", 1), c.failedByCause)
	assert.Assert(t, min(c.share("/chat/", 1), c.share("/pay/", 1)) >= minServedConcentrated)
}

// sendSlowly sends a request whose body arrives a byte at a time.
func sendSlowly(ctx context.Context, address string, i int) {
	var dialer net.Dialer
	conn, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return
	}
	defer conn.Close()
	_, _ = fmt.Fprintf(conn, "POST /pay/ HTTP/1.1\r\nHost: h\r\n%s: slow%d\r\nAuthorization: Bearer ka\r\nContent-Length: 200000\r\n\r\n", names.RequestID, i)
	for ctx.Err() == nil {
		if _, err := conn.Write([]byte("x")); err != nil {
			return
		}
		time.Sleep(50 * time.Millisecond)
	}
}

// Brittle back ends must reject few requests although the routers that hold their permits get most of
// the requests in turn.
func TestBrittleBackendsRejectFewWhileConnectionsMove(t *testing.T) {
	d := newDeployment(t, 3, 4, 1)
	d.makeBrittle()
	c := newConcentration(d)
	begun := time.Now()
	c.start(24, "/pay/", "call")
	for i := range 4 {
		time.Sleep(1500 * time.Millisecond)
		c.begin(1, i)
	}
	time.Sleep(time.Second)
	c.done.Store(true)
	c.group.Wait()
	t.Logf("%d of %d calls served", c.served["/pay/"][1], c.sent["/pay/"][1])
	peak := d.peakRejections(begun.Add(time.Second))
	assert.Assert(t, peak < brittleRate, "%d rejections within a second", peak)
	assert.Assert(t, c.served["/pay/"][1] > 0)
}
