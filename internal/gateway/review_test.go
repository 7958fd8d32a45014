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

// Guards against completions without an event that get no answer when the time of their router's stop is over.
func TestCompletionWithoutEventAtEndOfStopGetsAnswer(t *testing.T) {
	for _, begins := range []bool{false, true} {
		for _, stream := range []string{"false", "true"} {
			f := newFixture(t)
			runs, release := make(chan struct{}), make(chan struct{})
			engine := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				if begins {
					w.WriteHeader(http.StatusOK)
					_ = http.NewResponseController(w).Flush()
				}
				close(runs)
				<-release
			}))
			t.Cleanup(engine.Close)
			t.Cleanup(func() { close(release) })
			f.gateway.config.Pool.SetMachines([]controlapi.Machine{{ID: "slow", Role: controlapi.RoleEngine,
				Address: strings.TrimPrefix(engine.URL, "http://"), Incarnation: "one", Model: "m", WeightsVersion: 1, DecodeSlots: 4}})
			l, err := net.Listen("tcp", "127.0.0.1:0")
			assert.NilError(t, err)
			go func() { _ = f.gateway.Server().Serve(l) }()
			t.Cleanup(func() { _ = f.gateway.Server().Close() })
			request, err := http.NewRequest(http.MethodPost, "http://"+l.Addr().String()+"/v1/completions", strings.NewReader(`{"model":"m","prompt":"p","max_tokens":5,"stream":`+stream+`}`))
			assert.NilError(t, err)
			request.Header.Set("Authorization", "Bearer key-a")
			go func() {
				<-runs
				time.Sleep(50 * time.Millisecond)
				f.gateway.EndRequests()
			}()
			response, err := http.DefaultClient.Do(request)
			assert.NilError(t, err)
			_, err = io.Copy(io.Discard, response.Body)
			assert.NilError(t, err)
			assert.NilError(t, response.Body.Close())
			assert.Check(t, response.StatusCode == http.StatusBadGateway && response.Header.Get(headerOutcome) == string(OutcomeUnknown),
				"begins %t, stream %s: %d", begins, stream, response.StatusCode)
		}
	}
}
