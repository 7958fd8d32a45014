package gateway

import (
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"quinceridge.example/quinceridge/internal/controlapi"
)

// Guards against requests that get no answer when the time of their router's stop is over, and against answers which
// say that they have not run.
func TestRequestsAtEndOfStopGetAnswers(t *testing.T) {
	for _, path := range []string{"/app/slots", "/app/charges"} {
		f := newFixture(t)
		runs, release := make(chan struct{}), make(chan struct{})
		f.handle = func(http.ResponseWriter, *http.Request) {
			close(runs)
			<-release
		}
		l, err := net.Listen("tcp", "127.0.0.1:0")
		assert.NilError(t, err)
		go func() { _ = f.gateway.Server().Serve(l) }()
		t.Cleanup(func() { _ = f.gateway.Server().Close() })
		t.Cleanup(func() { close(release) })
		request, err := http.NewRequest(http.MethodPost, "http://"+l.Addr().String()+path, strings.NewReader("{}"))
		assert.NilError(t, err)
		request.Header.Set("Authorization", "Bearer key-a")
		request.Header.Set(headerIdempotencyKey, "k")
		go func() {
			<-runs
			time.Sleep(50 * time.Millisecond)
			f.gateway.EndRequests()
		}()
		response, err := http.DefaultClient.Do(request)
		assert.NilError(t, err, path)
		_, err = io.Copy(io.Discard, response.Body)
		assert.NilError(t, err, path)
		assert.NilError(t, response.Body.Close())
		assert.Equal(t, response.StatusCode, http.StatusBadGateway, path)
		assert.Equal(t, response.Header.Get(headerOutcome), string(OutcomeUnknown), path)
	}
}

// Guards against a generation without an event that gets no answer when the time of its router's stop is over.
func TestGenerationsWithoutEventAtEndOfStopGetAnswers(t *testing.T) {
	engines := map[string]func(http.ResponseWriter){"no response": func(http.ResponseWriter) {},
		"head of a response": func(w http.ResponseWriter) {
			w.WriteHeader(http.StatusOK)
			_ = http.NewResponseController(w).Flush()
		}}
	for name, begin := range engines {
		for _, body := range []string{`{"model":"m","prompt":"p","stream":true}`, `{"model":"m","prompt":"p"}`} {
			t.Run(name+" to "+body, func(t *testing.T) {
				f := newFixture(t)
				runs, release := make(chan struct{}), make(chan struct{})
				engine := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
					if strings.HasSuffix(r.URL.Path, "/completions") {
						begin(w)
						close(runs)
						<-release
					}
				}))
				t.Cleanup(engine.Close)
				t.Cleanup(func() { close(release) })
				f.gateway.config.Pool.SetMachines([]controlapi.Machine{{ID: "slow", Role: controlapi.RoleEngine,
					Address: strings.TrimPrefix(engine.URL, "http://"), Incarnation: "one", Model: "m", WeightsVersion: 1, DecodeSlots: 4}})
				server := httptest.NewUnstartedServer(nil)
				server.Config = f.gateway.Server()
				server.Start()
				t.Cleanup(server.Close)
				request, err := http.NewRequest(http.MethodPost, server.URL+"/v1/completions", strings.NewReader(body))
				assert.NilError(t, err)
				request.Header.Set("Authorization", "Bearer key-a")
				go func() {
					<-runs
					time.Sleep(50 * time.Millisecond)
					f.gateway.EndRequests()
				}()
				response, err := http.DefaultClient.Do(request)
				assert.NilError(t, err)
				text, err := io.ReadAll(response.Body)
				assert.NilError(t, err)
				assert.NilError(t, response.Body.Close())
				assert.Equal(t, response.StatusCode, http.StatusBadGateway, string(text))
				assert.Equal(t, response.Header.Get(headerOutcome), string(OutcomeUnknown), string(text))
			})
		}
	}
}
