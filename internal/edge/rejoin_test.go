package edge

import (
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// loseAllRouters ends all routers at once. Restart starts others at their addresses.
func (d *deployment) loseAllRouters(meanwhile func()) {
	var lost, back sync.WaitGroup
	goOn := make(chan struct{})
	for i, e := range d.routers {
		lost.Add(1)
		back.Go(func() {
			e.abort()
			e.group.Wait()
			lost.Done()
			<-goOn
			next := d.startRouter(i, e.settings)
			d.mu.Lock()
			d.routers[i] = next
			d.mu.Unlock()
		})
	}
	lost.Wait()
	meanwhile()
	close(goOn)
	back.Wait()
}

// endHosts ends the engines of a software version without a word.
func (d *deployment) endHosts(version string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, h := range d.hosts {
		if h.pool == "llm" && string(h.software) == version {
			h.current.end()
			_ = h.server.Close()
		}
	}
}

// resumeUntilAnswered resumes a stream at routers that may not serve yet.
func (s *streamed) resumeUntilAnswered(d *deployment, router int) {
	for range 40 {
		if s.request(d, router, "/resume/", s.body, nil); s.complete || s.status == http.StatusOK {
			return
		}
		time.Sleep(25 * time.Millisecond)
	}
}

// Clients that take up streams after all routers were killed must not get the text of two versions, and go on
// where the version is known.
func TestStreamsAreNotJoinedAfterAllRoutersWereKilled(t *testing.T) {
	const streams = 24
	nothing := func(*deployment) {}
	cases := map[string]struct {
		before    func(d *deployment)
		meanwhile func(d *deployment)
		newOnes   int
		goesOn    bool
	}{
		"two versions serve":                {nothing, nothing, 3, true},
		"the old version has just left":     {func(d *deployment) { d.endHosts("v1") }, nothing, 3, false},
		"the old version leaves meanwhile":  {nothing, func(d *deployment) { d.endHosts("v1") }, 3, false},
		"coordinators are killed too":       {nothing, func(d *deployment) { d.restartNodes() }, 3, false},
		"a second version begins meanwhile": {nothing, func(d *deployment) { d.addNewHosts(3) }, 0, false},
		"killed twice":                      {func(d *deployment) { d.loseAllRouters(func() {}) }, nothing, 3, true},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			var d *deployment
			if c.newOnes > 0 {
				d = newMixedDeployment(t, 3, 3, c.newOnes)
			} else {
				d = startDeployment(&deployment{t: t, relays: true, links: newLinks(), software: oldSoftware}, 3, 3, 3)
			}
			var begun []*streamed
			for i := 0; len(begun) < streams && i < 2*streams; i++ {
				s := &streamed{body: fmt.Sprintf("%s %d", brokenBody, i)}
				if s.request(d, i%3, "/resume/", s.body, nil); s.lastEvent > 0 {
					begun = append(begun, s)
				}
			}
			assert.Assert(t, len(begun) == streams, "%d streams began", len(begun))
			c.before(d)
			d.loseAllRouters(func() { c.meanwhile(d) })
			var group sync.WaitGroup
			for i, s := range begun {
				group.Go(func() { s.resumeUntilAnswered(d, i%3) })
			}
			group.Wait()
			completed, mixed := 0, 0
			for _, s := range begun {
				if s.complete && s.lastEvent == brokenStreamEvents {
					completed++
				}
				if len(s.versions) > 1 {
					mixed++
					t.Log(s.trace)
				}
			}
			t.Logf("%d of %d completed, %d of two versions", completed, streams, mixed)
			assert.Equal(t, mixed, 0)
			assert.Assert(t, !c.goesOn || float64(completed) >= minResumedShare*streams, "%d of %d streams completed", completed, streams)
		})
	}
}

// addNewHosts adds engines of the second version.
func (d *deployment) addNewHosts(count int) {
	d.software = newSoftware
	for range count {
		d.host("llm")
	}
	time.Sleep(500 * time.Millisecond)
}

// Processes of another version that have taken the names of all back ends while no router ran, and whose
// heartbeats are late, must not write the rest of streams.
func TestStreamsAreNotJoinedAtNamesTakenWhileRoutersWereDown(t *testing.T) {
	const streams = 24
	d := startDeployment(&deployment{t: t, relays: true, links: newLinks(), software: oldSoftware}, 3, 3, 1)
	var hosts []*host
	for _, name := range []string{"e1", "e2", "e3"} {
		hosts = append(hosts, d.namedHost(name))
	}
	for _, h := range hosts {
		d.awaitEngine(h)
	}
	var begun []*streamed
	for i := 0; len(begun) < streams; i++ {
		s := &streamed{body: fmt.Sprintf("%s %d", brokenBody, i)}
		if s.request(d, i%3, "/resume/", s.body, nil); s.lastEvent > 0 {
			begun = append(begun, s)
		}
	}
	d.loseAllRouters(func() {
		for _, h := range hosts {
			d.mu.Lock()
			h.software, h.muted = newSoftware, true
			d.mu.Unlock()
			h.restart()
		}
	})
	mixed := 0
	var group sync.WaitGroup
	for i, s := range begun {
		group.Go(func() { s.resumeUntilAnswered(d, i%3) })
	}
	group.Wait()
	for _, s := range begun {
		if len(s.versions) > 1 {
			mixed++
			t.Log(s.trace)
		}
	}
	assert.Equal(t, mixed, 0)
}
