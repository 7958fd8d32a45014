package coordinator

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"quinceridge.example/quinceridge/internal/state"
)

// 72 engines that had crashed and started again stood beside their successors
// for three seconds, and each of 295 routers was turned away by each of them.
func TestAStartAtTheSameAddressReplacesTheOneBefore(t *testing.T) {
	var soft softState
	soft.reset(0)
	rows := map[string]state.Backend{"old": {ID: "old", Address: "a:1"}, "other": {ID: "other", Address: "b:1"}}
	soft.heard(time.Second, "old", 1)
	soft.heard(time.Second, "other", 1)
	soft.look(1100*time.Millisecond, time.Second, rows)
	assert.Equal(t, len(soft.silent), 0)
	rows["new"] = state.Backend{ID: "new", Address: "a:1"}
	soft.heard(1200*time.Millisecond, "new", 1)
	soft.look(1300*time.Millisecond, time.Second, rows)
	assert.DeepEqual(t, soft.silent, []string{"old"})
}

// A new leader has heard of none and must not tell two starts apart by chance.
func TestANewLeaderKnowsNoSuccessor(t *testing.T) {
	var soft softState
	soft.reset(time.Second)
	rows := map[string]state.Backend{"old": {ID: "old", Address: "a:1"}, "new": {ID: "new", Address: "a:1"}}
	soft.look(1100*time.Millisecond, time.Second, rows)
	assert.Equal(t, len(soft.silent), 0)
}
