package coordinator

import (
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"quinceridge.example/quinceridge/internal/coordapi"
)

// The leader's metrics show the speeds of the engines that it has learned.
func TestMetricsShowEngineSpeeds(t *testing.T) {
	g := newGroup(t, 3)
	g.call(0, beat("x", 1, false))
	g.awaitPlaced("x")
	s := g.servers[g.leader()]
	for i := range uint64(200) {
		now := s.now() + time.Duration(i)*20*time.Millisecond
		ask := place(1000 + i).Place
		ask.Own = 500
		s.placer.Place(now, ask)
		s.placer.ApplyReports(now, "r", &coordapi.Reports{Begun: []coordapi.Begun{{Number: 1000 + i, First: 100 * time.Millisecond}}, Ended: []uint64{1000 + i}})
	}
	w := httptest.NewRecorder()
	s.writeMetrics(w, httptest.NewRequest("GET", "/metrics", nil))
	assert.Assert(t, strings.Contains(w.Body.String(), "quinceridge_engine_speed{engine=\"x\"} 1.00\n"), "%s", w.Body)
	assert.Assert(t, strings.Contains(w.Body.String(), "quinceridge_engine_work{engine=\"x\"} 1.00\n"), "%s", w.Body)
}
