package forward

import (
	"context"
	"fmt"
	"net/http"
	"testing"

	"gotest.tools/v3/assert"

	"quinceridge.example/quinceridge/internal/backends"
	"quinceridge.example/quinceridge/internal/coordapi"
	"quinceridge.example/quinceridge/internal/placer"
	"quinceridge.example/quinceridge/internal/state"
)

// Guards against streams that begin, in a pool of one version, at a process that has taken the name of a back end
// before its first heartbeat: the row has the version of the start before.
func TestStreamDoesNotBeginAtUnannouncedStart(t *testing.T) {
	t.Parallel()
	for _, pool := range []string{"llm", "app"} {
		t.Run(pool, func(t *testing.T) {
			t.Parallel()
			r := newStreamRig(t)
			records := r.useResumptions()
			r.source.table.Route("h", "/resumable/x").Split[0].Pool = pool
			taken, other := r.addIdentified(pool, "taken", "v1", 0, goOn), r.addIdentified(pool, "other", "v1", 0, goOn)
			r.pool.Apply([]state.Backend{{ID: "taken", Pool: pool, Address: taken.address, Zone: "a", Software: "v1", Born: testBorn - 1}}, nil, false)
			const streams = 16
			for i := range streams {
				got := r.ask("POST", "/resumable/x", func(q *http.Request) { q.Header.Set(names.RequestID, fmt.Sprintf("id-%d", i)) })
				assert.NilError(t, got.err)
				assert.Equal(t, got.status, http.StatusOK)
			}
			assert.Equal(t, taken.ran.Load(), int32(0))
			assert.Equal(t, other.ran.Load(), int32(streams))
			for _, writer := range records.local {
				assert.Equal(t, writer.Backend, "other")
			}
		})
	}
}

// Guards against streams that begin at an unannounced start because the leader chose an engine that the router does
// not list.
func TestStreamDoesNotBeginAtUnannouncedStartOutsideShard(t *testing.T) {
	t.Parallel()
	for name, c := range map[string]struct {
		chosen state.UnixMilli
		status int
		ran    int32
	}{"start before": {testBorn - 1, http.StatusServiceUnavailable, 0}, "start of the process": {testBorn, http.StatusOK, 1}} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			r := newStreamRig(t)
			engine := r.addIdentified("llm", "outside", "v1", 0, goOn)
			r.pool.Apply(nil, []string{"outside"}, false)
			placed := coordapi.Placed{ID: "outside", Address: engine.address, Zone: "a", Born: c.chosen, Software: "v1", Version: 1, Versioned: true}
			r.handler.config.Placer = &queueingPlacer{place: func(context.Context) (backends.Choice, bool, bool) {
				choice, found := placer.Choice(&coordapi.Place{Number: 1}, &placed)
				return choice, found, true
			}}
			got := r.ask("POST", "/resumable/x", func(q *http.Request) { q.Header.Set(names.Model, "m") })
			assert.NilError(t, got.err)
			assert.Equal(t, got.status, c.status)
			assert.Equal(t, engine.ran.Load(), c.ran)
		})
	}
}
