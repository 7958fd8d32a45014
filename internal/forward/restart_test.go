package forward

import (
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"quinceridge.example/quinceridge/internal/state"
)

// hanging is a back end that stops responding with its connections open, as after a power loss.
func hanging(begun chan<- struct{}) http.HandlerFunc {
	return func(_ http.ResponseWriter, q *http.Request) {
		begun <- struct{}{}
		<-q.Context().Done()
	}
}

// restart applies the row of a new instance of a back end at another address.
func (r *rig) restart(pool, name, address string) {
	r.pool.Apply([]state.Backend{{ID: name + "~2", Instance: name, Born: 2, EnrolledRevision: 2, Pool: pool, Address: address, Zone: "a"}}, []string{name}, false)
}

// Attempts at a lost instance must end when its successor is registered, not at their deadline.
func TestRestartEndsAttemptsAtLostInstance(t *testing.T) {
	r := newRig(t)
	r.source.table.Route("h", "/safe/x").Timeout = 20 * time.Second
	r.source.table.Route("h", "/unsafe/x").Timeout = 20 * time.Second
	r.source.table.Route("h", "/resumable/x").Timeout = 20 * time.Second
	for _, path := range []string{"/safe/x", "/unsafe/x", "/resumable/x"} {
		t.Run(path, func(t *testing.T) {
			pool := r.source.table.Route("h", path).Split[0].Pool
			begun := make(chan struct{}, 10)
			name := "worker" + path
			r.add(pool, name, hanging(begun))
			got := make(chan result)
			// The watchdogs would end the attempt too.
			r.source.table.Route("h", path).Target = 20 * time.Second
			go func() {
				got <- r.ask("POST", path, func(q *http.Request) { q.Header.Set(names.Model, "m") })
			}()
			<-begun
			expected := make(chan string, 10)
			r.add(pool, "elsewhere"+path, func(w http.ResponseWriter, q *http.Request) {
				expected <- q.Header.Get(names.Instance)
				events(w, 1, 2)
			})
			address := r.address(pool, name)
			r.pool.Apply(nil, []string{"elsewhere" + path}, false)
			r.restart(pool, name, address)
			response := <-got
			if path == "/unsafe/x" {
				assert.Equal(t, response.status, http.StatusBadGateway)
				assert.Equal(t, response.header.Get("Retry-After"), "", "it may have run")
			} else {
				assert.Equal(t, response.status, http.StatusOK)
				assert.Equal(t, <-expected, name, "the header holds the instance's own name")
			}
			r.pool.Apply(nil, []string{name + "~2"}, false)
		})
	}
}

// restartInPlace applies the row of a new instance of a back end at the address of the server added last.
func (r *rig) restartInPlace(pool, name string) {
	r.mu.Lock()
	address := r.servers[len(r.servers)-1].Listener.Addr().String()
	r.mu.Unlock()
	r.restart(pool, name, address)
}

// Guards against cut answers of a back end that has started again at its address: it serves before routers
// have its row.
func TestRestartKeepsAttemptsThatAnswerAtSameAddress(t *testing.T) {
	r := newRig(t)
	r.source.table.Route("h", "/chat/x").Timeout = 20 * time.Second
	r.source.table.Route("h", "/unsafe/x").Timeout = 20 * time.Second
	answered := make(chan struct{}, 2)
	r.add("llm", "engine", func(w http.ResponseWriter, _ *http.Request) {
		for i := range 8 {
			events(w, i+1, i+1)
			answered <- struct{}{}
			// Longer than restartSilence together.
			time.Sleep(restartSilence / 6)
		}
	})
	go func() {
		<-answered
		r.restartInPlace("llm", "engine")
		for range 7 {
			<-answered
		}
	}()
	got := r.ask("POST", "/chat/x", func(q *http.Request) { q.Header.Set(names.Model, "m") })
	assert.Equal(t, got.status, http.StatusOK)
	assert.NilError(t, got.err)
	assert.Equal(t, got.body, eventText(8))

	begun := make(chan struct{})
	r.add("app", "worker", func(w http.ResponseWriter, _ *http.Request) {
		close(begun)
		time.Sleep(restartSilence / 2)
		w.Header().Set(names.Signature, "seal")
	})
	go func() {
		<-begun
		r.restartInPlace("app", "worker")
	}()
	assert.Equal(t, r.ask("POST", "/unsafe/x", nil).status, http.StatusOK)
}

// Guards against streams that go on at a start of another software version than the router has recorded.
func TestRestartWithOtherSoftwareEndsAttemptsAtSameAddress(t *testing.T) {
	r := newRig(t)
	r.source.table.Route("h", "/unsafe/x").Timeout = 20 * time.Second
	begun := make(chan struct{}, 1)
	r.add("app", "worker", hanging(begun))
	address := r.servers[len(r.servers)-1].Listener.Addr().String()
	go func() {
		<-begun
		r.pool.Apply([]state.Backend{{ID: "worker~2", Instance: "worker", Born: 2, EnrolledRevision: 2, Pool: "app", Address: address, Zone: "a", Software: "v2"}}, nil, false)
	}()
	start := time.Now()
	assert.Equal(t, r.ask("POST", "/unsafe/x", nil).status, http.StatusBadGateway)
	assert.Assert(t, time.Since(start) < restartSilence/2, "%v", time.Since(start))
}

// Attempts that stay silent at an address that a new start has taken must end long before their deadline.
func TestRestartEndsSilentAttemptsAtSameAddress(t *testing.T) {
	r := newRig(t)
	r.source.table.Route("h", "/unsafe/x").Timeout = 20 * time.Second
	begun := make(chan struct{}, 1)
	r.add("app", "worker", hanging(begun))
	go func() {
		<-begun
		r.restartInPlace("app", "worker")
	}()
	start := time.Now()
	got := r.ask("POST", "/unsafe/x", nil)
	assert.Equal(t, got.status, http.StatusBadGateway)
	assert.Equal(t, got.header.Get("Retry-After"), "", "it may have run")
	took := time.Since(start)
	assert.Assert(t, took >= restartSilence && took < 4*restartSilence, "%v", took)
}

// Guards against cuts of a stream that has gone on since the restart was known and pauses later.
func TestRestartKeepsAttemptsThatPauseLater(t *testing.T) {
	r := newRig(t)
	r.source.table.Route("h", "/chat/x").Timeout = 20 * time.Second
	begun := make(chan struct{}, 1)
	r.add("llm", "engine", func(w http.ResponseWriter, _ *http.Request) {
		for i := range 8 {
			events(w, i+1, i+1)
			switch i {
			case 0:
				begun <- struct{}{}
				time.Sleep(restartSilence / 10)
			case 5:
				time.Sleep(restartSilence + restartSilence/4)
			}
		}
	})
	go func() {
		<-begun
		r.restartInPlace("llm", "engine")
	}()
	got := r.ask("POST", "/chat/x", func(q *http.Request) { q.Header.Set(names.Model, "m") })
	assert.Equal(t, got.body, eventText(8))
}

// Guards against attempts that a router ends as silent because it was suspended itself.
func TestRestartKeepsAttemptsOfSuspendedRouter(t *testing.T) {
	r := newRig(t)
	r.source.table.Route("h", "/unsafe/x").Timeout = 20 * time.Second
	suspendedFor := r.suspendable()
	begun := make(chan struct{})
	r.add("app", "worker", func(w http.ResponseWriter, _ *http.Request) {
		close(begun)
		time.Sleep(50 * time.Millisecond)
		w.Header().Set(names.Signature, "seal")
	})
	go func() {
		<-begun
		suspendedFor.Store(int64(restartSilence + time.Second))
		r.restartInPlace("app", "worker")
	}()
	assert.Equal(t, r.ask("POST", "/unsafe/x", nil).status, http.StatusOK)
}
