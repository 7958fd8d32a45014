package forward

import (
	"bytes"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against a crowd of refusals that becomes a crowd of long log lines.
func TestRefusalsAreLoggedWithinBounds(t *testing.T) {
	r := newRig(t)
	var lines bytes.Buffer
	r.handler.config.Logger = slog.New(slog.NewTextHandler(&lines, nil))
	now := time.Minute
	r.handler.clock = func() time.Duration { return now }
	const refusals = 5 * maxRefusalLines
	for range refusals {
		r.handler.refuse(httptest.NewRecorder(), &job{id: strings.Repeat("x", 10*maxLoggedID)}, &refusal{status: http.StatusNotFound, reason: "no route"})
	}
	assert.Equal(t, strings.Count(lines.String(), "\n"), maxRefusalLines)
	assert.Assert(t, lines.Len() < maxRefusalLines*5*maxLoggedID)
	assert.Equal(t, r.handler.metrics.unloggedRefusals.Load(), uint64(refusals-maxRefusalLines))
	now += time.Second
	r.handler.refuse(httptest.NewRecorder(), &job{id: "later"}, &refusal{status: http.StatusNotFound, reason: "no route"})
	assert.Assert(t, strings.Contains(lines.String(), "id=later"))
}
