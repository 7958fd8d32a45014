package forward

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"quinceridge.example/quinceridge/internal/coordapi"
	"quinceridge.example/quinceridge/internal/reachability"
	"quinceridge.example/quinceridge/internal/resumption"
	"quinceridge.example/quinceridge/internal/state"
	"quinceridge.example/quinceridge/internal/upstream"
)

const (
	statusPath = "/status"
	// testBorn is the start time of back ends.
	testBorn = 5
)

// identified is a back end of which routers request the start time.
type identified struct {
	address    string
	asked, ran atomic.Int32
	// gone is closed when the client of a pending status request has left.
	gone chan struct{}
}

// addIdentified adds a back end of a software version. It responds to status requests silence after the
// first one.
func (r *rig) addIdentified(pool, id string, version state.SoftwareVersion, silence time.Duration, serve http.HandlerFunc) *identified {
	r.handler.config.Upstream.SetStatus(upstream.Status{Target: statusPath, InstanceHeader: names.Instance, Born: func(body []byte) (state.UnixMilli, error) {
		born, err := strconv.Atoi(string(body))
		return state.UnixMilli(born), err
	}})
	b := &identified{gone: make(chan struct{}, 1)}
	var first sync.Once
	var until time.Time
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
		_, _ = io.Copy(io.Discard, q.Body)
		w.Header().Set(names.RequestID, q.Header.Get(names.RequestID))
		if q.URL.Path != statusPath {
			b.ran.Add(1)
			serve(w, q)
			return
		}
		first.Do(func() { until = time.Now().Add(silence) })
		b.asked.Add(1)
		select {
		case <-time.After(time.Until(until)):
			_, _ = w.Write([]byte(strconv.Itoa(testBorn)))
		case <-q.Context().Done():
			b.gone <- struct{}{}
		}
	}))
	r.t.Cleanup(server.Close)
	r.t.Cleanup(server.CloseClientConnections)
	b.address = server.Listener.Addr().String()
	r.pool.Apply([]state.Backend{{ID: id, Pool: pool, Address: b.address, Zone: "a", Software: version, Born: testBorn}}, nil, false)
	return b
}

// announce announces that several software versions serve a pool.
func (r *rig) announce(pool string) {
	r.pool.ApplyNotes(coordapi.Notes{Software: map[string]coordapi.SoftwareVersions{pool: {Serving: []state.SoftwareVersion{"v1", "v2"}}}})
}

// identifyingRig returns a router whose resumable streams go to a pool with two software versions.
func identifyingRig(t *testing.T, pool string, attempts int) *rig {
	r := newStreamRig(t)
	r.useResumptions().local[resumption.KeyOf("alice", "id-1")] = resumption.Writer{Pool: pool, Backend: "first", Software: "v1"}
	route := r.source.table.Route("h", "/resumable/x")
	route.Timeout, route.MaxAttempts, route.Split[0].Pool = 10*time.Second, attempts, pool
	r.announce(pool)
	return r
}

// Guards against giving up a stream while the only back end that may serve it does not respond to the status
// request.
func TestStreamOutlastsSilenceBeforeItIsSent(t *testing.T) {
	t.Parallel()
	elsewhere := map[string]func(r *rig, pool string){
		"no other back end": func(*rig, string) {},
		"others reject":     func(r *rig, pool string) { r.addIdentified(pool, "other", "v1", 0, reject) },
		"others are silent": func(r *rig, pool string) { r.addIdentified(pool, "other", "v1", time.Minute, goOn) },
		"other version":     func(r *rig, pool string) { r.addIdentified(pool, "other", "v2", 0, goOn) },
		"no retry is left": func(r *rig, _ string) {
			r.handler.budget = newBudget(BudgetConfig{Window: time.Minute}, nil)
		},
	}
	for _, pool := range []string{"llm", "app"} {
		for _, silence := range []time.Duration{1200 * time.Millisecond, 2600 * time.Millisecond} {
			for place, prepare := range elsewhere {
				for attempts := 1; attempts <= 2; attempts++ {
					for _, resumed := range []bool{false, true} {
						name := pool + "/" + silence.String() + "/" + place + "/" + strconv.Itoa(attempts) + "/" + strconv.FormatBool(resumed)
						if place == "other version" && !resumed {
							continue
						}
						t.Run(name, func(t *testing.T) {
							t.Parallel()
							r := identifyingRig(t, pool, attempts)
							b := r.addIdentified(pool, "silent", "v1", silence, goOn)
							prepare(r, pool)
							got := r.resumeOrBegin(resumed)
							assert.NilError(t, got.err)
							assert.Equal(t, got.status, http.StatusOK)
							assert.Equal(t, b.ran.Load(), int32(1))
						})
					}
				}
			}
		}
	}
}

// resumeOrBegin asks for a stream.
func (r *rig) resumeOrBegin(resumed bool) result {
	if resumed {
		return r.resume("id-1")
	}
	return r.ask("POST", "/resumable/x", nil)
}

// Guards against giving up a stream in a pool of one version while the only back end, whose process may have
// ended, does not respond to the status request.
func TestStreamOutlastsSilenceAfterConnectionEnded(t *testing.T) {
	t.Parallel()
	r := newStreamRig(t)
	r.source.table.Route("h", "/resumable/x").Split[0].Pool = "app"
	var broken sync.Once
	b := r.addIdentified("app", "silent", "", 1200*time.Millisecond, func(w http.ResponseWriter, q *http.Request) {
		first := false
		broken.Do(func() { first = true })
		if first {
			dropConnection(w, q)
			return
		}
		goOn(w, q)
	})
	got := r.ask("POST", "/resumable/x", nil)
	if got.status != http.StatusOK {
		got = r.ask("POST", "/resumable/x", nil)
	}
	assert.NilError(t, got.err)
	assert.Equal(t, got.status, http.StatusOK)
	assert.Assert(t, b.asked.Load() > 0)
}

// Guards against a stream that waits for the status of a silent back end although another one has room, and
// against a second run of one whose route allows one attempt.
func TestUnsentStreamMovesOnceAnotherBackendHasRoom(t *testing.T) {
	t.Parallel()
	for name, change := range map[string]func(r *rig){
		"two attempts": func(*rig) {},
		"one attempt":  func(r *rig) { r.source.table.Route("h", "/resumable/x").MaxAttempts = 1 },
		"no retry is left": func(r *rig) {
			r.handler.budget = newBudget(BudgetConfig{Window: time.Minute}, nil)
		},
	} {
		for _, pool := range []string{"llm", "app"} {
			t.Run(pool+"/"+name, func(t *testing.T) {
				t.Parallel()
				r := identifyingRig(t, pool, 2)
				r.source.table.Route("h", "/resumable/x").Target = 0
				change(r)
				silent, other := r.addIdentified(pool, "silent", "v1", time.Minute, goOn), r.addIdentified(pool, "other", "v1", 0, goOn)
				var took time.Duration
				for i := 0; silent.asked.Load() == 0 && i < 40; i++ {
					begun := time.Now()
					got := r.resume("id-1")
					assert.NilError(t, got.err)
					assert.Equal(t, got.status, http.StatusOK)
					took = time.Since(begun)
				}
				assert.Equal(t, silent.asked.Load(), int32(1))
				assert.Equal(t, silent.ran.Load(), int32(0))
				assert.Assert(t, other.ran.Load() > 0)
				assert.Assert(t, took < 1500*time.Millisecond, "%v", took)
			})
		}
	}
}

// Guards against a run beside another one that the route does not allow, once the silent back end responds.
func TestUnsentStreamDoesNotRunBesideItsOnlyAttempt(t *testing.T) {
	t.Parallel()
	r := identifyingRig(t, "llm", 1)
	slow := func(w http.ResponseWriter, q *http.Request) {
		time.Sleep(1500 * time.Millisecond)
		goOn(w, q)
	}
	r.source.table.Route("h", "/resumable/x").Target = 0
	silent, other := r.addIdentified("llm", "silent", "v1", 1200*time.Millisecond, slow), r.addIdentified("llm", "other", "v1", 0, slow)
	for i := 0; silent.asked.Load() == 0 && i < 20; i++ {
		before := other.ran.Load() + silent.ran.Load()
		got := r.resume("id-1")
		assert.NilError(t, got.err)
		assert.Equal(t, got.status, http.StatusOK)
		assert.Equal(t, other.ran.Load()+silent.ran.Load(), before+1)
	}
}

// Guards against a stream that waits for the status of a back end whose path is lost, although another router
// reaches the pool.
func TestUnsentStreamIsPassedOnOncePathIsLost(t *testing.T) {
	t.Parallel()
	for attempts := 1; attempts <= 2; attempts++ {
		t.Run(strconv.Itoa(attempts), func(t *testing.T) {
			t.Parallel()
			r, other := identifyingRig(t, "llm", attempts), newRelayRig(t)
			other.useResumptions()
			other.announce("llm")
			other.addVersion("old", "v1", goOn)
			r.handler.config.Paths = reachability.NewDetector()
			r.setRelays(other.address())
			silent := r.addIdentified("llm", "silent", "v1", time.Minute, goOn)
			time.AfterFunc(700*time.Millisecond, func() { r.losePath("llm") })
			got := r.resume("id-1")
			assert.NilError(t, got.err)
			assert.Equal(t, got.status, http.StatusOK)
			assert.Equal(t, other.ran("old"), 1)
			assert.Equal(t, silent.ran.Load(), int32(0))
		})
	}
}

// Guards against a second run, at the silent back end or another one, of a stream whose route allows one attempt,
// once that has broken off.
func TestUnsentStreamDoesNotRunAfterItsOnlyAttempt(t *testing.T) {
	t.Parallel()
	for _, pool := range []string{"llm", "app"} {
		t.Run(pool, func(t *testing.T) {
			t.Parallel()
			r := identifyingRig(t, pool, 1)
			late := func(w http.ResponseWriter, q *http.Request) {
				time.Sleep(900 * time.Millisecond)
				dropConnection(w, q)
			}
			r.source.table.Route("h", "/resumable/x").Target = 0
			silent, other := r.addIdentified(pool, "silent", "v1", 1200*time.Millisecond, goOn), r.addIdentified(pool, "other", "v1", 0, late)
			for i := 0; silent.asked.Load() == 0 && i < 20; i++ {
				before := other.ran.Load()
				got := r.resume("id-1")
				assert.NilError(t, got.err)
				assert.Equal(t, got.status, http.StatusBadGateway)
				assert.Equal(t, other.ran.Load(), before+1)
			}
			assert.Equal(t, silent.ran.Load(), int32(0))
		})
	}
}

// Guards against a stream that stays at a back end which has taken it and stopped, although the one that was
// silent before responds again.
func TestUnsentStreamGoesOnWhereStatusIsAnsweredLate(t *testing.T) {
	t.Parallel()
	r := identifyingRig(t, "llm", 2)
	r.source.table.Route("h", "/resumable/x").GapTarget = 100 * time.Millisecond
	silent, other := r.addIdentified("llm", "silent", "v1", 1200*time.Millisecond, goOn), r.addIdentified("llm", "other", "v1", 0, hang)
	got := r.resume("id-1")
	assert.NilError(t, got.err)
	assert.Equal(t, got.status, http.StatusOK)
	assert.Equal(t, silent.ran.Load(), int32(1))
	assert.Assert(t, other.ran.Load() <= 1)
}

// Guards against a deadline that includes the time for which the request was held.
func TestHeldStreamStatesTheTimeThatIsLeft(t *testing.T) {
	t.Parallel()
	r := identifyingRig(t, "llm", 2)
	var left atomic.Int64
	r.addIdentified("llm", "silent", "v1", 1200*time.Millisecond, func(w http.ResponseWriter, q *http.Request) {
		ms, _ := strconv.Atoi(q.Header.Get(names.Deadline))
		left.Store(int64(ms))
		goOn(w, q)
	})
	assert.Equal(t, r.resume("id-1").status, http.StatusOK)
	assert.Assert(t, left.Load() > 0 && left.Load() < 9000, "%d ms", left.Load())
}

// Guards against a status request that outlives the deadline of its stream or the client.
func TestStatusRequestEndsWithItsStream(t *testing.T) {
	t.Parallel()
	r := identifyingRig(t, "llm", 2)
	r.source.table.Route("h", "/resumable/x").Timeout = 1500 * time.Millisecond
	b := r.addIdentified("llm", "silent", "v1", time.Minute, goOn)
	begun := time.Now()
	got := r.resume("id-1")
	assert.Equal(t, got.status, http.StatusServiceUnavailable)
	assert.Assert(t, time.Since(begun) < 2500*time.Millisecond, "%v", time.Since(begun))
	select {
	case <-b.gone:
	case <-time.After(2 * time.Second):
		t.Fatal("the status request is pending")
	}
	assert.Equal(t, b.ran.Load(), int32(0))
}
