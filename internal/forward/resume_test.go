package forward

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"

	"quinceridge.example/quinceridge/internal/backends"
	"quinceridge.example/quinceridge/internal/coordapi"
	"quinceridge.example/quinceridge/internal/relay"
	"quinceridge.example/quinceridge/internal/resumption"
	"quinceridge.example/quinceridge/internal/state"
	"quinceridge.example/quinceridge/internal/traffic"
)

// fakeResumptions are the records of one router and of the coordinators.
type fakeResumptions struct {
	mu           sync.Mutex
	local        map[resumption.Key]resumption.Writer
	coordinators map[resumption.Key]resumption.Writer
	// unreachable is set if no coordinator responds.
	unreachable bool
	searches    int
}

func (f *fakeResumptions) RecordStream(r resumption.Record) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.local[r.Key] = r.Writer
}

func (f *fakeResumptions) LocalStream(key resumption.Key) (resumption.Writer, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	writer, recorded := f.local[key]
	return writer, recorded
}

func (f *fakeResumptions) FindStream(_ context.Context, key resumption.Key) (resumption.Writer, bool, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.searches++
	if f.unreachable {
		return resumption.Writer{}, false, errors.New("no coordinator responded")
	}
	writer, recorded := f.coordinators[key]
	return writer, recorded, nil
}

// useResumptions gives a router records that are empty.
func (r *rig) useResumptions() *fakeResumptions {
	f := &fakeResumptions{local: map[resumption.Key]resumption.Writer{}, coordinators: map[resumption.Key]resumption.Writer{}}
	r.handler.config.Resumptions = f
	return f
}

// addVersion starts an engine of a software version whose streams have that version in each event.
func (r *rig) addVersion(id string, version state.SoftwareVersion, serve http.HandlerFunc) {
	r.add("llm", id, serve)
	row := state.Backend{ID: id, Pool: "llm", Address: r.servers[len(r.servers)-1].Listener.Addr().String(), Zone: "a", Software: version}
	r.pool.Apply([]state.Backend{row}, nil, false)
}

// serveVersions announces the software versions of the pool of engines.
func (r *rig) serveVersions(versions ...state.SoftwareVersion) {
	r.pool.ApplyNotes(coordapi.Notes{Software: map[string]coordapi.SoftwareVersions{"llm": {Serving: versions}}})
}

// resume asks for a stream that goes on after its third event.
func (r *rig) resume(attempt string) result {
	return r.ask("POST", "/resumable/x", func(q *http.Request) {
		q.Header.Set(names.RequestID, "id-2")
		q.Header.Set(names.LastEvent, "3")
		if attempt != "" {
			q.Header.Set(names.Resumes, attempt)
		}
	})
}

func goOn(w http.ResponseWriter, _ *http.Request) { events(w, 4, 6) }

var firstWriter = resumption.Writer{Pool: "llm", Backend: "first", Software: "v1"}

// A stream must go on at the software version that began it, or be refused at once as one that has not run.
func TestResumedStreamGoesOnAtItsVersionOrNowhere(t *testing.T) {
	key := resumption.KeyOf("alice", "id-1")
	cases := map[string]struct {
		resumes string
		change  func(r *rig, f *fakeResumptions)
		served  bool
		// retryAfter is set if a later try may succeed, and searched if coordinators are asked.
		retryAfter, searched bool
		reason               string
	}{
		"begun here":               {resumes: "id-1", change: func(_ *rig, f *fakeResumptions) { f.local[key] = firstWriter }, served: true},
		"begun elsewhere":          {resumes: "id-1", change: func(_ *rig, f *fakeResumptions) { f.coordinators[key] = firstWriter }, served: true, searched: true},
		"not recorded":             {resumes: "id-1", searched: true, reason: "version unknown"},
		"no coordinator responds":  {resumes: "id-1", change: func(_ *rig, f *fakeResumptions) { f.unreachable = true }, retryAfter: true, searched: true, reason: "version unknown"},
		"last event alone":         {reason: "version unknown"},
		"long ID":                  {resumes: strings.Repeat("x", 4096), searched: true, reason: "version unknown"},
		"two writers":              {resumes: "id-1", change: func(_ *rig, f *fakeResumptions) { f.local[key] = resumption.Writer{Pool: "llm", Backend: "first"} }, reason: "version unknown"},
		"stream of another tenant": {resumes: "id-1", change: func(_ *rig, f *fakeResumptions) { f.coordinators[resumption.KeyOf("bob", "id-1")] = firstWriter }, searched: true, reason: "version unknown"},
		"version that has left": {resumes: "id-1", change: func(_ *rig, f *fakeResumptions) {
			f.local[key] = resumption.Writer{Pool: "llm", Backend: "gone", Software: "v0"}
		}, reason: "version gone"},
		"pool that the route has left": {resumes: "id-1", change: func(_ *rig, f *fakeResumptions) {
			f.coordinators[key] = resumption.Writer{Pool: "app", Backend: "b", Software: "v1"}
		}, searched: true, reason: "pool moved"},
		"version whose back ends drain":        {resumes: "id-1", change: func(r *rig, f *fakeResumptions) { f.local[key] = firstWriter; r.drain("old") }, reason: "version gone"},
		"one version, recorded":                {resumes: "id-1", change: func(r *rig, f *fakeResumptions) { f.local[key] = firstWriter; r.serveVersions() }, served: true},
		"one version, not recorded":            {resumes: "id-1", change: func(r *rig, _ *fakeResumptions) { r.pool.ApplyNotes(coordapi.Notes{}) }, served: true},
		"one version, last event alone":        {change: func(r *rig, _ *fakeResumptions) { r.pool.ApplyNotes(coordapi.Notes{}) }, served: true},
		"one version, none responds":           {resumes: "id-1", change: func(r *rig, f *fakeResumptions) { f.unreachable = true; r.pool.ApplyNotes(coordapi.Notes{}) }, served: true},
		"one version beside a pool of several": {resumes: "id-1", change: func(r *rig, _ *fakeResumptions) { r.otherPoolIsMixed() }, served: true},
		"former version, not recorded":         {resumes: "id-1", change: func(r *rig, _ *fakeResumptions) { r.formerVersion() }, searched: true, reason: "version unknown"},
		"former version, begun by other":       {resumes: "id-1", change: func(r *rig, f *fakeResumptions) { f.coordinators[key] = firstWriter; r.formerVersion() }, served: true, searched: true},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			r := newRig(t)
			f := r.useResumptions()
			r.addVersion("old", "v1", goOn)
			r.serveVersions("v1", "v2")
			if c.change != nil {
				c.change(r, f)
			}
			begun := time.Now()
			got := r.resume(c.resumes)
			assert.NilError(t, got.err)
			assert.Equal(t, f.searches > 0, c.searched)
			if c.served {
				assert.Equal(t, got.status, http.StatusOK)
				assert.Equal(t, r.ran("old"), 1)
				return
			}
			assert.Equal(t, got.status, http.StatusServiceUnavailable)
			assert.Equal(t, got.header.Get("Retry-After") != "", c.retryAfter)
			assert.Equal(t, r.ran("old"), 0)
			assert.Assert(t, time.Since(begun) < time.Second, "refused after %v", time.Since(begun))
			assert.Assert(t, strings.Contains(r.metricsText(), fmt.Sprintf("quinceridge_streams_refused_total{reason=%q} 1\n", c.reason)))
		})
	}
}

// drain marks an engine as draining.
func (r *rig) drain(id string) {
	r.pool.Apply([]state.Backend{{ID: id, Pool: "llm", Address: r.servers[0].Listener.Addr().String(), Zone: "a", Software: "v1", Draining: true}}, nil, false)
}

// otherPoolIsMixed announces that another pool alone has several versions.
func (r *rig) otherPoolIsMixed() {
	r.pool.ApplyNotes(coordapi.Notes{Software: map[string]coordapi.SoftwareVersions{"app": {Serving: []state.SoftwareVersion{"v1", "v2"}}}})
}

// formerVersion announces that v1 serves and v0 did.
func (r *rig) formerVersion() {
	r.pool.ApplyNotes(coordapi.Notes{Software: map[string]coordapi.SoftwareVersions{"llm": {Serving: []state.SoftwareVersion{"v1"}, Former: []state.SoftwareVersion{"v0"}}}})
}

// Guards against refusing a resumed stream for good while the only engine of its version loads weights.
func TestResumedStreamWaitsWhileOnlyEngineOfItsVersionLoads(t *testing.T) {
	for name, loaded := range map[string]bool{"loaded in time": true, "not loaded in time": false} {
		t.Run(name, func(t *testing.T) {
			r := newRig(t)
			r.source.table.Route("h", "/resumable/x").Target = 2 * time.Second
			r.useResumptions().local[resumption.KeyOf("alice", "id-1")] = firstWriter
			r.addVersion("old", "v1", goOn)
			r.addVersion("new", "v2", goOn)
			r.serveVersions("v1", "v2")
			row := state.Backend{ID: "old", Pool: "llm", Address: r.servers[0].Listener.Addr().String(), Zone: "a", Software: "v1"}
			loading := row
			loading.Loading = &state.Loading{Model: "m", Version: 2}
			r.pool.Apply([]state.Backend{loading}, nil, false)
			if loaded {
				time.AfterFunc(100*time.Millisecond, func() { r.pool.Apply([]state.Backend{row}, nil, false) })
			}
			got := r.resume("id-1")
			assert.NilError(t, got.err)
			assert.Equal(t, got.status == http.StatusOK, loaded)
			assert.Equal(t, got.header.Get("Retry-After") != "", !loaded)
			assert.Equal(t, r.ran("new"), 0)
		})
	}
}

// A resumed stream must go to its version whichever engine costs least.
func TestResumedStreamNeverGoesToAnotherVersion(t *testing.T) {
	r := newRig(t)
	f := r.useResumptions()
	for i := range 4 {
		r.addVersion(fmt.Sprint("old", i), "v1", goOn)
		r.addVersion(fmt.Sprint("new", i), "v2", goOn)
	}
	r.serveVersions("v1", "v2")
	f.local[resumption.KeyOf("alice", "id-1")] = firstWriter
	for range 20 {
		assert.Equal(t, r.resume("id-1").status, http.StatusOK)
	}
	assert.Equal(t, r.ran("old0", "old1", "old2", "old3"), 20)
}

// Without records a broken stream may still go on within its answer, at its own version only.
func TestBrokenStreamGoesOnAtItsVersionWithinAnswer(t *testing.T) {
	for name, resumed := range map[string]bool{"with an engine of its version": true, "without": false} {
		t.Run(name, func(t *testing.T) {
			r := newRig(t)
			r.useResumptions()
			begun, joined := make(chan struct{}), make(chan struct{})
			serve := func(w http.ResponseWriter, q *http.Request) {
				if q.Header.Get(names.LastEvent) == "" {
					events(w, 1, 3)
					close(begun)
					<-joined
					breakOff(w, 4)
					return
				}
				goOn(w, q)
			}
			r.addVersion("a", "v1", serve)
			if resumed {
				r.addVersion("b", "v1", serve)
			}
			got := make(chan result, 1)
			go func() { got <- r.ask("POST", "/resumable/x", nil) }()
			<-begun
			r.serveVersions("v1", "v2")
			for i := range 4 {
				r.addVersion(fmt.Sprint("new", i), "v2", serve)
			}
			close(joined)
			response := <-got
			assert.Equal(t, response.err == nil, resumed)
			if resumed {
				assert.Equal(t, response.body, eventText(6))
			}
			assert.Equal(t, r.ran("new0", "new1", "new2", "new3"), 0)
		})
	}
}

// The software version must bind the attempts of all routers that carry a stream.
func TestPassedOnStreamKeepsItsVersion(t *testing.T) {
	cut, breaking, other := newRig(t), newRelayRig(t), newRelayRig(t)
	for _, r := range []*rig{cut, breaking.rig, other.rig} {
		r.useResumptions()
		r.serveVersions("v1", "v2")
	}
	breaking.addVersion("a", "v1", func(w http.ResponseWriter, q *http.Request) {
		events(w, 1, 3)
		time.AfterFunc(50*time.Millisecond, breaking.listener.CloseClientConnections)
		<-q.Context().Done()
	})
	other.addVersion("b", "v2", goOn)
	other.addVersion("c", "v1", goOn)
	other.addVersion("d", "v2", goOn)
	cut.losePath("llm")
	cut.setRelays(breaking.address(), other.address())
	got := cut.ask("POST", "/resumable/x", nil)
	assert.NilError(t, got.err)
	assert.Equal(t, got.body, eventText(6))
	assert.Equal(t, got.header.Get(relay.HeaderSoftware), "")
	assert.Equal(t, other.ran("b", "d"), 0)
	assert.Equal(t, other.ran("c"), 1)
}

// A router of an older build does not report where it sends a stream.
func TestStreamDoesNotGoOnAtRouterOfOlderBuild(t *testing.T) {
	older := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
		w.Header().Set(names.RequestID, q.Header.Get(names.RequestID))
		goOn(w, q)
	}))
	t.Cleanup(older.Close)
	cut := newRig(t)
	f := cut.useResumptions()
	f.local[resumption.KeyOf("alice", "id-1")] = firstWriter
	cut.serveVersions("v1", "v2")
	cut.losePath("llm")
	cut.setRelays(older.Listener.Addr().String())
	got := cut.resume("id-1")
	assert.Equal(t, got.status, http.StatusBadGateway)
}

// A stream of a route that is split over pools must go on at the pool that began it.
func TestResumedStreamOfSplitRouteGoesToItsPool(t *testing.T) {
	r := newRig(t)
	f := r.useResumptions()
	split, err := traffic.Build(&traffic.Table{Version: 4, Pools: []traffic.Pool{{Name: "app"}, {Name: "llm"}},
		Routes: []traffic.Route{{Name: "resumable", Host: "h", Prefix: "/resumable/", Kind: traffic.KindStream, Resumable: true, Timeout: time.Second, Target: 200 * time.Millisecond,
			MaxAttempts: 1, Split: []traffic.Share{{Pool: "app", Weight: 1}, {Pool: "llm", Weight: 1}}}},
		Tenants: []traffic.Tenant{{Name: "alice", Keys: []string{"ka"}}}})
	assert.NilError(t, err)
	r.source.table = split
	r.add("app", "other", goOn)
	r.addVersion("mine", "v1", goOn)
	r.serveVersions("v1", "v2")
	f.coordinators[resumption.KeyOf("alice", "id-1")] = firstWriter
	for range 10 {
		assert.Equal(t, r.resume("id-1").status, http.StatusOK)
	}
	assert.Equal(t, r.ran("mine"), 10)
	assert.Equal(t, r.ran("other"), 0)
}

// A stream must be recorded before its client can have an event of it.
func TestStreamIsRecordedBeforeItsFirstEventIsSent(t *testing.T) {
	r := newRig(t)
	f := r.useResumptions()
	r.addVersion("a", "v1", func(w http.ResponseWriter, _ *http.Request) { events(w, 1, 2) })
	assert.Equal(t, r.ask("POST", "/resumable/x", nil).status, http.StatusOK)
	assert.Equal(t, f.local[resumption.KeyOf("alice", "id-1")], resumption.Writer{Pool: "llm", Backend: "a", Software: "v1"})
	// A resumed stream is recorded under the attempt that it resumes as well.
	assert.Equal(t, r.resume("id-0").status, http.StatusOK)
	for _, attempt := range []string{"id-0", "id-2"} {
		assert.Equal(t, f.local[resumption.KeyOf("alice", attempt)].Software, state.SoftwareVersion("v1"), attempt)
	}
}

// slowPlacer places requests at the first of its engines, and those that are bound to a software version at its
// engine of that version. It calls before ahead of each answer, with the number of placements so far.
type slowPlacer struct {
	fixedPlacer
	engines []backends.Choice
	before  func(placed int)
	placed  int
}

func (p *slowPlacer) Place(_ context.Context, q *backends.Query) (choice backends.Choice, found, answered bool) {
	p.mu.Lock()
	number := p.placed
	p.placed++
	p.mu.Unlock()
	p.before(number)
	for _, choice := range p.engines {
		if (q.Software == "" || choice.Software == q.Software) && !slices.Contains(q.Tried, choice.ID) {
			choice.Placement = uint64(number) + 1
			return choice, true, true
		}
	}
	return choice, false, true
}

// placeSlowly makes a placer the router's, with engines in order.
func (r *rig) placeSlowly(before func(placed int), ids ...string) *slowPlacer {
	p := &slowPlacer{before: before}
	for _, id := range ids {
		choice, found := r.pool.Choose(0, &backends.Query{Pool: "llm", Among: []string{id}})
		assert.Assert(r.t, found && choice.ID == id)
		p.engines = append(p.engines, choice)
	}
	r.handler.config.Placer = p
	return p
}

// Guards against two software versions in one stream whose client resumed it while one version served, when
// another one is announced before the request is sent.
func TestResumedStreamIsBoundToVersionAnnouncedBeforeItIsSent(t *testing.T) {
	key := resumption.KeyOf("alice", "id-1")
	cases := map[string]struct {
		// announced is the placement in which the second version is announced, and sent when it is announced
		// as the request is about to be written.
		announced int
		late      bool
		change    func(f *fakeResumptions)
		status    int
	}{
		"while it waits":             {change: func(f *fakeResumptions) { f.coordinators[key] = firstWriter }, status: http.StatusOK},
		"begun here":                 {change: func(f *fakeResumptions) { f.local[key] = firstWriter }, status: http.StatusOK},
		"between choice and write":   {late: true, change: func(f *fakeResumptions) { f.coordinators[key] = firstWriter }, status: http.StatusOK},
		"for a further attempt":      {announced: 1, change: func(f *fakeResumptions) { f.coordinators[key] = firstWriter }, status: http.StatusOK},
		"not recorded":               {status: http.StatusServiceUnavailable},
		"no coordinator responds":    {change: func(f *fakeResumptions) { f.unreachable = true }, status: http.StatusServiceUnavailable},
		"not recorded, late":         {late: true, status: http.StatusServiceUnavailable},
		"further attempt, not known": {announced: 1, status: http.StatusBadGateway},
	}
	for name, c := range cases {
		for _, relayed := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s/%v", name, relayed), func(t *testing.T) {
				r := newRelayRig(t)
				f := r.useResumptions()
				if c.change != nil {
					c.change(f)
				}
				serve := goOn
				var first sync.Once
				if c.announced > 0 {
					serve = func(w http.ResponseWriter, q *http.Request) {
						breaks := false
						first.Do(func() { breaks = true })
						if breaks {
							dropConnection(w, q)
							return
						}
						goOn(w, q)
					}
				}
				r.addVersion("old", "v1", serve)
				r.addVersion("old2", "v1", serve)
				r.addVersion("new", "v2", goOn)
				announce := func() { r.serveVersions("v1", "v2") }
				order := []string{"new", "old", "old2"}
				if c.announced > 0 {
					order = []string{"old", "new", "old2"}
				}
				placer := r.placeSlowly(func(placed int) {
					if placed == c.announced && !c.late {
						announce()
					}
				}, order...)
				if c.late {
					r.handler.config.Upstream.SetDial(func(ctx context.Context, network, address string) (net.Conn, error) {
						announce()
						return (&net.Dialer{}).DialContext(ctx, network, address)
					})
				}
				var got result
				if relayed {
					cut := newRig(t)
					cut.useResumptions()
					cut.losePath("llm")
					cut.setRelays(r.address())
					got = cut.resume("id-1")
				} else {
					got = r.resume("id-1")
				}
				assert.NilError(t, got.err)
				assert.Equal(t, got.status, c.status)
				assert.Equal(t, r.ran("new"), 0)
				assert.Equal(t, got.header.Get("Retry-After") != "", f.unreachable)
				placer.mu.Lock()
				defer placer.mu.Unlock()
				assert.Equal(t, placer.ended, placer.placed)
			})
		}
	}
}

// Guards against two software versions in one stream when another one is announced while a further attempt
// beside a silent one is placed.
func TestFurtherAttemptIsBoundToVersionAnnouncedBeforeItIsSent(t *testing.T) {
	r := newStreamRig(t)
	r.useResumptions().coordinators[resumption.KeyOf("alice", "id-1")] = firstWriter
	release := make(chan struct{})
	t.Cleanup(func() { close(release) })
	r.addVersion("old", "v1", func(_ http.ResponseWriter, q *http.Request) {
		select {
		case <-release:
		case <-q.Context().Done():
		}
	})
	r.addVersion("old2", "v1", goOn)
	r.addVersion("new", "v2", goOn)
	r.placeSlowly(func(placed int) {
		if placed == 1 {
			r.serveVersions("v1", "v2")
		}
	}, "old", "new", "old2")
	got := r.resume("id-1")
	assert.NilError(t, got.err)
	assert.Equal(t, got.status, http.StatusOK)
	assert.Equal(t, r.ran("new"), 0)
	assert.Equal(t, r.ran("old2"), 1)
}

// Guards against a lookup, or a second choice, for a resumed stream while one software version serves.
func TestResumedStreamIsNotLookedUpWhileOneVersionServes(t *testing.T) {
	r := newRig(t)
	f := r.useResumptions()
	r.addVersion("old", "v1", goOn)
	placer := r.placeSlowly(func(int) {}, "old")
	for range 3 {
		assert.Equal(t, r.resume("id-9").status, http.StatusOK)
	}
	assert.Equal(t, f.searches, 0)
	assert.Equal(t, placer.placed, 3)
}
