package edge

import (
	"bufio"
	"context"
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"quinceridge.example/quinceridge/internal/state"
)

const (
	oldSoftware = state.SoftwareVersion("v1")
	newSoftware = state.SoftwareVersion("v2")
	// brokenStreamEvents is the number of events of a stream of a brokenBody, and firstRunEvents that of
	// its first run, which breaks off.
	brokenStreamEvents = 8
	firstRunEvents     = 3
	// minResumedShare is the least share of resumed streams that go on, relative to new streams.
	minResumedShare = 0.95
)

// breakingStream sends the events after the caller's last one, and each with the engine's software
// version. A run from the beginning breaks off.
func (e *engine) breakingStream(w http.ResponseWriter, r *http.Request) {
	defer e.countStream()()
	after, _ := strconv.Atoi(r.Header.Get(names.LastEvent))
	last := brokenStreamEvents
	if after == 0 {
		last = firstRunEvents
	}
	for i := after + 1; i <= last; i++ {
		_, _ = fmt.Fprintf(w, "id: %d\ndata: %s\n\n", i, e.software)
		_ = http.NewResponseController(w).Flush()
		time.Sleep(5 * time.Millisecond)
	}
	if after == 0 {
		if conn, _, err := http.NewResponseController(w).Hijack(); err == nil {
			_ = conn.Close()
		}
	}
}

// streamed is what a caller has of a stream.
type streamed struct {
	// body is that of the request, where a test keeps it.
	body string
	// attempt is the ID of the attempt that brought the first event.
	attempt string
	// lastEvent is the ID of the last event, 0 for none, and versions are the software versions that
	// wrote the events.
	lastEvent int
	versions  []string
	// status is that of the last response, and complete is set once the stream has ended.
	status   int
	complete bool
	// trace describes the attempts.
	trace []string
}

// traced is what an attempt brought, for reports of streams that hold events of several versions.
type traced struct {
	start   time.Time
	id      string
	router  int
	resumed int
	// writers are the engines that wrote the events, as far as they name themselves.
	writers []string
}

func (a *traced) String(s *streamed) string {
	return fmt.Sprintf("%s to %s: %s at router %d after event %d: status %d, last event %d, written by %v", a.start.Format(traceTime),
		time.Now().Format(traceTime), a.id, a.router, a.resumed, s.status, s.lastEvent, a.writers)
}

// traceTime is the format of times in reports.
const traceTime = "05.000"

// request sends the next attempt at a stream through a router and adds what it brings.
func (s *streamed) request(d *deployment, router int, path, body string, change func(*http.Request)) {
	ctx, cancel := context.WithTimeout(d.t.Context(), 5*time.Second)
	defer cancel()
	q, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+d.frontend[router]+path, strings.NewReader(body))
	assert.NilError(d.t, err)
	id := fmt.Sprintf("stream-%d", d.requests.Add(1))
	a := traced{start: time.Now(), id: id, router: router, resumed: s.lastEvent}
	defer func() { s.trace = append(s.trace, a.String(s)) }()
	q.Host = "h"
	q.Header.Set(names.RequestID, id)
	q.Header.Set("Authorization", "Bearer ka")
	q.Header.Set(names.Model, "m")
	q.Header.Set(names.Usage, "20,20")
	if s.lastEvent > 0 {
		q.Header.Set(names.Resumes, s.attempt)
		q.Header.Set(names.LastEvent, strconv.Itoa(s.lastEvent))
	}
	if change != nil {
		change(q)
	}
	response, err := http.DefaultClient.Do(q)
	if s.status = 0; err != nil {
		return
	}
	defer response.Body.Close()
	if s.status = response.StatusCode; s.status != http.StatusOK {
		return
	}
	lines := bufio.NewScanner(response.Body)
	for lines.Scan() {
		if number, is := strings.CutPrefix(lines.Text(), "id: "); is {
			if s.lastEvent == 0 {
				s.attempt = id
			}
			s.lastEvent, _ = strconv.Atoi(number)
		}
		if data, is := strings.CutPrefix(lines.Text(), "data: "); is {
			version, writer, _ := strings.Cut(data, " ")
			if !slices.Contains(s.versions, version) {
				s.versions = append(s.versions, version)
			}
			if !slices.Contains(a.writers, writer) {
				a.writers = append(a.writers, writer)
			}
		}
	}
	s.complete = lines.Err() == nil
}

// newMixedDeployment returns a deployment whose engines have two software versions.
func newMixedDeployment(t *testing.T, routers, oldEngines, newEngines int) *deployment {
	t.Helper()
	d := startDeployment(&deployment{t: t, relays: true, links: newLinks(), software: oldSoftware}, 3, routers, oldEngines)
	d.software = newSoftware
	for range newEngines {
		d.host("llm")
	}
	d.awaitSoftware(newSoftware)
	return d
}

// awaitSoftware waits until each router sends new streams to a software version.
func (d *deployment) awaitSoftware(version state.SoftwareVersion) {
	d.t.Helper()
	for router := range d.frontend {
		poll.WaitOn(d.t, func(poll.LogT) poll.Result {
			var s streamed
			s.request(d, router, "/resume/", brokenBody+" warm", nil)
			if !slices.Contains(s.versions, string(version)) {
				return poll.Continue("%+v", s)
			}
			return poll.Success()
		}, poll.WithTimeout(20*time.Second), poll.WithDelay(5*time.Millisecond))
	}
}

// resumeAll begins streams that break off and has their callers resume them once, and returns the
// numbers of those that began, that went on to their end, and that hold events of several versions.
func (d *deployment) resumeAll(path string, count int, pause time.Duration, routerOf func(i int) (first, second int)) (begun, completed, mixed int) {
	for i := range count {
		var s streamed
		first, second := routerOf(i)
		body := fmt.Sprintf("%s %d", brokenBody, i)
		if s.request(d, first, path, body, nil); s.lastEvent == 0 {
			continue
		}
		begun++
		if !s.complete {
			time.Sleep(pause)
			s.request(d, second, path, body, nil)
		}
		if s.complete && s.lastEvent == brokenStreamEvents {
			completed++
		}
		if len(s.versions) > 1 {
			mixed++
		}
	}
	return begun, completed, mixed
}

// Streams must hold the events of one software version, whoever joins their runs.
func TestStreamsKeepTheirSoftwareVersion(t *testing.T) {
	const streams = 60
	cases := map[string]struct {
		path     string
		pause    time.Duration
		routerOf func(i int) (first, second int)
	}{
		"within one answer":          {"/check/", 0, func(i int) (int, int) { return i % 3, i % 3 }},
		"resumed at the same router": {"/resume/", 20 * time.Millisecond, func(i int) (int, int) { return i % 3, i % 3 }},
		"resumed at another router":  {"/resume/", 20 * time.Millisecond, func(i int) (int, int) { return i % 3, (i + 1) % 3 }},
	}
	d := newMixedDeployment(t, 3, 3, 3)
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			begun, completed, mixed := d.resumeAll(c.path, streams, c.pause, c.routerOf)
			t.Logf("%d begun, %d completed, %d of two versions", begun, completed, mixed)
			assert.Equal(t, mixed, 0)
			assert.Assert(t, begun >= streams*95/100, "%d of %d streams began", begun, streams)
			assert.Assert(t, float64(completed) >= minResumedShare*float64(begun), "%d of %d streams completed", completed, begun)
		})
	}
}

// A process that takes the name of a back end is not known until its first heartbeat.
func TestStreamsDoNotMeetStartThatTookName(t *testing.T) {
	const streams = 60
	d := newMixedDeployment(t, 3, 2, 2)
	named := d.namedHost("named")
	d.awaitEngine(named)
	d.mu.Lock()
	named.software, named.muted = oldSoftware, true
	d.mu.Unlock()
	named.restart()
	for _, path := range []string{"/check/", "/resume/"} {
		begun, completed, mixed := d.resumeAll(path, streams, 0, func(i int) (int, int) { return i % 3, (i + 1) % 3 })
		t.Logf("%s: %d begun, %d completed, %d of two versions", path, begun, completed, mixed)
		assert.Equal(t, mixed, 0)
		assert.Assert(t, float64(completed) >= minResumedShare*float64(begun), "%d of %d streams completed", completed, begun)
	}
}

// The first process of a second version may take the name of a back end in a pool that has one version.
func TestStreamsDoNotMeetFirstStartOfSecondVersion(t *testing.T) {
	const streams = 60
	d := startDeployment(&deployment{t: t, relays: true, links: newLinks(), software: oldSoftware}, 3, 3, 3)
	named := d.namedHost("named")
	d.awaitEngine(named)
	d.mu.Lock()
	named.software, named.muted = newSoftware, true
	d.mu.Unlock()
	named.restart()
	begun, completed, mixed := d.resumeAll("/resume/", streams, 0, func(i int) (int, int) { return i % 3, (i + 1) % 3 })
	t.Logf("%d begun, %d completed, %d of two versions", begun, completed, mixed)
	assert.Equal(t, mixed, 0)
	assert.Assert(t, float64(completed) >= minResumedShare*float64(begun), "%d of %d streams completed", completed, begun)
}

// The first process of a second version may take the name of a back end to which a router has no connection that
// would end with the process before.
func TestStreamsDoNotBeginAtFirstStartOfSecondVersionWithoutConnections(t *testing.T) {
	const streams = 24
	d := startDeployment(&deployment{t: t, relays: true, links: newLinks(), software: oldSoftware}, 3, 3, 3)
	named := d.namedHost("named")
	d.awaitEngineAt(0, named)
	time.Sleep(500 * time.Millisecond)
	d.mu.Lock()
	named.software, named.muted = newSoftware, true
	d.mu.Unlock()
	named.restart()
	time.Sleep(200 * time.Millisecond)
	all := make([]streamed, streams)
	var group sync.WaitGroup
	for i := range all {
		body := fmt.Sprintf("%s %d", brokenBody, i)
		group.Go(func() {
			all[i].request(d, 1, "/resume/", body, nil)
			if all[i].lastEvent > 0 && !all[i].complete {
				all[i].request(d, 2, "/resume/", body, nil)
			}
		})
	}
	group.Wait()
	begun, completed := 0, 0
	for _, s := range all {
		assert.Assert(t, len(s.versions) <= 1, "%v", s.trace)
		if s.lastEvent > 0 {
			begun++
		}
		if s.complete && s.lastEvent == brokenStreamEvents {
			completed++
		}
	}
	t.Logf("%d begun, %d completed", begun, completed)
	assert.Assert(t, begun >= streams*95/100, "%d of %d streams began", begun, streams)
	assert.Assert(t, float64(completed) >= minResumedShare*float64(begun), "%d of %d streams completed", completed, begun)
}

// Streams that a back end began must go on at others of its version once it has started again as another one
// under its name.
func TestStreamsOfReplacedBackendGoOn(t *testing.T) {
	const streams = 24
	d := newMixedDeployment(t, 3, 2, 2)
	d.software = oldSoftware
	named := d.namedHost("named")
	d.awaitEngine(named)
	var begun []*streamed
	for i := 0; len(begun) < streams; i++ {
		before := named.arrivals()
		s := &streamed{body: fmt.Sprintf("%s %d", brokenBody, i)}
		s.request(d, i%3, "/resume/", s.body, nil)
		if named.arrivals() > before {
			begun = append(begun, s)
		}
	}
	d.mu.Lock()
	named.software = newSoftware
	d.mu.Unlock()
	named.restart()
	d.awaitEngine(named)
	completed, mixed := 0, 0
	for i, s := range begun {
		s.request(d, i%3, "/resume/", s.body, nil)
		if s.complete && s.lastEvent == brokenStreamEvents {
			completed++
		}
		if len(s.versions) > 1 {
			mixed++
		}
	}
	t.Logf("%d of %d streams completed, %d of two versions", completed, streams, mixed)
	assert.Equal(t, mixed, 0)
	assert.Assert(t, float64(completed) >= minResumedShare*streams, "%d of %d streams completed", completed, streams)
}

// awaitEngine waits until each router sends streams to the engine of a host.
func (d *deployment) awaitEngine(h *host) {
	d.t.Helper()
	for router := range d.frontend {
		d.awaitEngineAt(router, h)
	}
}

// awaitEngineAt waits until a router sends streams to the engine of a host.
func (d *deployment) awaitEngineAt(router int, h *host) {
	d.t.Helper()
	poll.WaitOn(d.t, func(poll.LogT) poll.Result {
		before := h.arrivals()
		var s streamed
		s.request(d, router, "/resume/", brokenBody+" warm", nil)
		if h.arrivals() == before {
			return poll.Continue("router %d sends %s nothing", router, h.name)
		}
		return poll.Success()
	}, poll.WithTimeout(20*time.Second), poll.WithDelay(5*time.Millisecond))
}

func (h *host) arrivals() int {
	h.deployment.mu.Lock()
	defer h.deployment.mu.Unlock()
	return len(h.current.arrivals)
}
