package placer

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"quinceridge.example/quinceridge/internal/coordapi"
	"quinceridge.example/quinceridge/internal/liveness"
)

// Guards against a list that outlives a leadership, ignores reported first events, or names engines
// that are not registered.
func TestStreamsOfEngineAreChecked(t *testing.T) {
	p := newTestPlacer(2)
	now := 10 * time.Second
	stalled := func(id string) []liveness.Stall {
		return []liveness.Stall{{Engine: id, Streams: 3, Overdue: 3, Age: 700 * time.Millisecond}}
	}
	listed, changes := p.CheckStreams(now)
	assert.Equal(t, len(listed)+len(changes), 0)
	p.ApplyStalls(now, "r", stalled("unknown"))
	listed, _ = p.CheckStreams(now)
	assert.Equal(t, len(listed), 0)

	placed := p.Place(now-400*time.Millisecond, longPrompt("s", 1, "k"))
	p.ApplyStalls(now, "r", stalled(placed.ID))
	p.ApplyReports(now, "s", &coordapi.Reports{Begun: []coordapi.Begun{{Number: 1, First: 100 * time.Millisecond}}})
	listed, _ = p.CheckStreams(now)
	assert.Equal(t, len(listed), 0, "there was a first event 300 ms ago")

	now += 500 * time.Millisecond
	p.ApplyStalls(now, "r", stalled(placed.ID))
	listed, changes = p.CheckStreams(now)
	assert.DeepEqual(t, listed, []string{placed.ID})
	assert.Equal(t, len(changes), 1)
	p.Reset()
	listed, changes = p.CheckStreams(now)
	assert.Equal(t, len(listed)+len(changes), 0)
}
