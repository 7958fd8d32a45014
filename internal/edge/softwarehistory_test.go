package edge

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"quinceridge.example/quinceridge/internal/state"
)

const (
	// historyTime is the time for which a random history runs.
	historyTime = 12 * time.Second
	// historyStreams is the number of callers at once, and maxTries that of the attempts at one stream.
	historyStreams = 8
	maxTries       = 5
)

// history is a random history of a deployment: streams that break off and are resumed, beside faults.
type history struct {
	*deployment
	random *rand.Rand

	mu sync.Mutex
	// resumed counts the attempts at resumed streams by status, and mixed are the streams with events of
	// several versions.
	resumed map[int]int
	begun   int
	mixed   []string
	// notes are the faults that were brought about, with their times.
	notes []string
}

// note adds a line to the report of a history that fails.
func (h *history) note(format string, args ...any) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.notes = append(h.notes, time.Now().Format(traceTime)+" "+fmt.Sprintf(format, args...))
}

// call makes attempts at one stream until it is complete.
func (h *history) call(ctx context.Context, number int, r *rand.Rand) {
	for count := 0; ctx.Err() == nil; count++ {
		var s streamed
		path := []string{"/check/", "/resume/"}[r.IntN(2)]
		body := fmt.Sprintf("%s %d-%d", randomBody, number, count)
		for try := 0; try < maxTries && !s.complete && ctx.Err() == nil; try++ {
			resumes := s.lastEvent > 0
			if resumes && r.IntN(8) == 0 {
				h.resumeTwice(&s, path, body, r)
			} else {
				s.request(h.deployment, r.IntN(len(h.frontend)), path, body, nil)
			}
			h.record(&s, resumes)
			time.Sleep(time.Duration(r.IntN(100)) * time.Millisecond)
		}
		if s.lastEvent > 0 {
			h.mu.Lock()
			h.begun++
			if len(s.versions) > 1 {
				h.mixed = append(h.mixed, fmt.Sprintf("%s: %v\n%s", body, s.versions, strings.Join(s.trace, "\n")))
			}
			h.mu.Unlock()
		}
	}
}

func (h *history) record(s *streamed, resumes bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if resumes {
		h.resumed[s.status]++
	}
}

// resumeTwice resumes a stream at two routers at once. The client has the events of both.
func (h *history) resumeTwice(s *streamed, path, body string, r *rand.Rand) {
	other := *s
	other.versions, other.trace = slices.Clone(s.versions), nil
	first, second := r.IntN(len(h.frontend)), r.IntN(len(h.frontend))
	var group sync.WaitGroup
	group.Go(func() { s.request(h.deployment, first, path, body, nil) })
	group.Go(func() { other.request(h.deployment, second, path, body, nil) })
	group.Wait()
	s.trace = append(s.trace, other.trace...)
	for _, version := range other.versions {
		if !slices.Contains(s.versions, version) {
			s.versions = append(s.versions, version)
		}
	}
}

// faults are what may happen beside streams. Each ends after a while.
func (h *history) faults() map[string]func(r *rand.Rand) {
	return map[string]func(r *rand.Rand){
		"the leader is lost":          func(r *rand.Rand) { h.loseLeader(300 * time.Millisecond) },
		"a coordinator is lost":       func(r *rand.Rand) { h.loseNode(r.IntN(len(h.nodes)), 200*time.Millisecond) },
		"all coordinators start anew": func(*rand.Rand) { h.restartNodes() },
		"a router is lost":            func(r *rand.Rand) { h.loseRouter(r.IntN(len(h.routers)), 200*time.Millisecond) },
		"a router and the leader are lost": func(r *rand.Rand) {
			var group sync.WaitGroup
			group.Go(func() { h.loseRouter(r.IntN(len(h.routers)), 200*time.Millisecond) })
			group.Go(func() { h.loseLeader(200 * time.Millisecond) })
			group.Wait()
		},
		"a router loses the path to engines": func(r *rand.Rand) {
			router, state := r.IntN(len(h.routers)), []linkState{linkSilent, linkResets, linkRefuses}[r.IntN(3)]
			engines := h.addresses("llm")
			h.links.set(state, router, engines...)
			time.Sleep(time.Duration(300+r.IntN(600)) * time.Millisecond)
			h.links.set(linkUp, router, engines...)
		},
		"an engine starts as another version": func(r *rand.Rand) {
			hosts := h.poolHosts("llm")
			one := hosts[r.IntN(len(hosts))]
			h.deployment.mu.Lock()
			one.software = []state.SoftwareVersion{oldSoftware, newSoftware, "v3"}[r.IntN(3)]
			h.deployment.mu.Unlock()
			one.restart()
			h.note("%s starts as %s", one.address, one.software)
		},
	}
}

// namedHost adds a host whose engines all have one name.
func (d *deployment) namedHost(name string) *host {
	h := &host{deployment: d, pool: "llm", address: freeAddress(d.t), software: d.software, name: name, restartDelay: 50 * time.Millisecond}
	d.mu.Lock()
	d.hosts = append(d.hosts, h)
	d.mu.Unlock()
	h.start()
	return h
}

// loseLeader stops the coordinator that leads, and starts it again after a time.
func (h *history) loseLeader(after time.Duration) {
	h.loseNode(h.leader(&network{targets: h.peerAddresses()}), after)
}

func (h *history) peerAddresses() []string {
	var out []string
	for i := range h.config {
		out = append(out, h.config[i].PeerListen)
	}
	return out
}

func (h *history) loseNode(i int, after time.Duration) {
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	h.node(i).Stop(ctx)
	time.Sleep(after)
	h.deployment.mu.Lock()
	defer h.deployment.mu.Unlock()
	h.startNode(i)
}

// randomBody is the beginning of the bodies whose streams may break off anywhere.
const randomBody = "random"

// randomStream sends the events after the caller's last one and may break off after any of them.
func (e *engine) randomStream(w http.ResponseWriter, r *http.Request) {
	after, _ := strconv.Atoi(r.Header.Get(names.LastEvent))
	for i := after + 1; i <= brokenStreamEvents; i++ {
		_, _ = fmt.Fprintf(w, "id: %d\ndata: %s %s(%d)\n\n", i, e.software, e.id, e.born)
		_ = http.NewResponseController(w).Flush()
		time.Sleep(time.Duration(rand.IntN(20)) * time.Millisecond)
		if i < brokenStreamEvents && rand.IntN(8) == 0 {
			if conn, _, err := http.NewResponseController(w).Hijack(); err == nil {
				_ = conn.Close()
			}
			return
		}
	}
}

// Guards the promise in random histories of losses, cuts, leader changes and releases.
func TestStreamsKeepTheirSoftwareVersionInRandomHistories(t *testing.T) {
	for _, seed := range []uint64{1, 2} {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			d := newMixedDeployment(t, 4, 4, 4)
			for i := range 2 {
				d.namedHost(fmt.Sprint("named-", i))
			}
			h := &history{deployment: d, random: rand.New(rand.NewPCG(seed, 0)), resumed: map[int]int{}}
			ctx, cancel := context.WithTimeout(t.Context(), historyTime)
			defer cancel()
			var group sync.WaitGroup
			for i := range historyStreams {
				r := rand.New(rand.NewPCG(seed, uint64(i+1)))
				group.Go(func() { h.call(ctx, i, r) })
			}
			faults := h.faults()
			kinds := make([]string, 0, len(faults))
			for name := range faults {
				kinds = append(kinds, name)
			}
			slices.Sort(kinds)
			for ctx.Err() == nil {
				kind := kinds[h.random.IntN(len(kinds))]
				h.note("begin: %s", kind)
				faults[kind](h.random)
				time.Sleep(time.Duration(h.random.IntN(600)) * time.Millisecond)
			}
			group.Wait()
			t.Logf("%d streams begun, attempts at resumed ones by status: %v", h.begun, h.resumed)
			assert.Equal(t, len(h.mixed), 0, "%s\n%s", strings.Join(h.mixed, "\n"), strings.Join(h.notes, "\n"))
			assert.Assert(t, h.begun > 100, "%d streams began", h.begun)
			assert.Assert(t, h.resumed[http.StatusOK] > 50, "%v", h.resumed)
		})
	}
}
