package coordinator

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"quinceridge.example/quinceridge/internal/coordapi"
	"quinceridge.example/quinceridge/internal/state"
)

// newSmallGroup returns a group of one coordinator whose table of back ends is full with the given number.
func newSmallGroup(t *testing.T, maxBackends int) *group {
	g := newGroup(t, 1)
	g.kill(0)
	g.maxBackends = maxBackends
	g.start(0)
	g.leader()
	return g
}

// refused reports whether the first heartbeat of a start is refused because the table is full.
func (g *group) refused(name string, born state.UnixMilli) bool {
	_, err := g.servers[0].Call(context.Background(), heartbeatOf(name, born, 1, false, 1))
	if err != nil {
		assert.ErrorIs(g.t, err, ErrTooManyBackends)
	}
	return err != nil
}

// Guards against a table of back ends that grows without bound with the names that a sender invents.
func TestInventedNamesDoNotFillTable(t *testing.T) {
	g := newSmallGroup(t, 4)
	for _, name := range []string{"a", "b", "c", "d"} {
		assert.Assert(t, !g.refused(name, 100))
	}
	for i := range 20 {
		assert.Assert(t, g.refused(fmt.Sprint("invented ", i), 100))
	}
	g.call(0, heartbeatOf("a", 100, 2, false, 1))
	assert.Assert(t, !g.refused("b", 200), "it has restarted")
	assert.Equal(t, g.currentRow(0, "b").Born, state.UnixMilli(200))
	g.awaitSingleStart(0, "b", 200)
	recorder := httptest.NewRecorder()
	g.servers[0].writeMetrics(recorder, httptest.NewRequest(http.MethodGet, "/metrics", nil))
	assert.Assert(t, strings.Contains(recorder.Body.String(), "quinceridge_backends_refused_total 20\n"))
	for i := range 20 {
		leave := coordapi.Request{Leave: &coordapi.Leave{ID: fmt.Sprint("invented ", i), Born: 100}}
		assert.Assert(t, !g.acknowledges(leave))
	}
	g.depart("c")
	assert.Assert(t, !g.refused("e", 100), "there is room again")
	assert.Assert(t, g.refused("f", 100))
	assert.Assert(t, g.acknowledges(coordapi.Request{Leave: &coordapi.Leave{ID: "e", Born: 100}}), "a known back end leaves")
}

// Guards against a table that grows without bound with the start times that a sender invents.
func TestInventedStartsDoNotFillTable(t *testing.T) {
	g := newSmallGroup(t, 4)
	most := 0
	for i := range 40 {
		g.refused("a", state.UnixMilli(100+i))
		g.servers[0].loop.Do(context.Background(), func(time.Duration) {
			most = max(most, len(g.servers[0].core.Machine().Deployment().Backends))
		})
	}
	assert.Assert(t, most <= 8, "%d rows", most)
}
