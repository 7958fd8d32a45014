package coordinator

import (
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/iotest"

	"gotest.tools/v3/assert"

	"quinceridge.example/quinceridge/internal/listener"
)

// Guards against calls that run although their client stopped in the middle of the body.
func TestCallWithoutTheEndOfItsBodyDoesNotRun(t *testing.T) {
	g := newGroup(t, 1)
	g.enrol("a")
	handler := g.servers[0].Handler()
	for cause, status := range map[error]int{errors.New("reset"): http.StatusBadRequest, listener.ErrMemory: http.StatusServiceUnavailable} {
		for _, call := range []struct{ path, body string }{
			{"/v1/backends/b/heartbeat", `{"Backend":{"Pool":"app","Address":"127.0.0.1:1","Zone":"z","Slots":8},"Sequence":1}`},
			{"/v1/weights", `{"Model":"m","Version":1}`},
			{"/v1/blocked", `{"request":"0000000000000007"}`},
		} {
			whole := httptest.NewRecorder()
			handler.ServeHTTP(whole, httptest.NewRequest(http.MethodPost, call.path, strings.NewReader(call.body)))
			assert.Check(t, whole.Code != http.StatusBadRequest, "%s: %s", call.path, whole.Body)
			body := io.MultiReader(strings.NewReader(call.body), iotest.ErrReader(cause))
			broken := httptest.NewRecorder()
			handler.ServeHTTP(broken, httptest.NewRequest(http.MethodPost, call.path, body))
			assert.Check(t, broken.Code == status, "%s after %v: %d", call.path, cause, broken.Code)
		}
	}
}
