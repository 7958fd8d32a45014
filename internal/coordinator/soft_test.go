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

// A heartbeat that a cut held back arrived after its sender had crashed and another
// start had registered at its address: that one then counted as replaced, and requests
// went to the dead one's name until its next heartbeat.
func TestALateHeartbeatDoesNotReplaceASuccessor(t *testing.T) {
	var soft softState
	soft.reset(0)
	rows := map[string]state.Backend{"old": {ID: "old", Address: "a:1", EnrolledRevision: 4}, "new": {ID: "new", Address: "a:1", EnrolledRevision: 9}}
	soft.heard(1000*time.Millisecond, "old", 1)
	soft.heard(2000*time.Millisecond, "new", 1)
	soft.heard(2100*time.Millisecond, "old", 2)
	soft.look(2200*time.Millisecond, time.Second, rows)
	assert.DeepEqual(t, soft.silent, []string{"old"})
	// The one that registered last may itself be a start that had crashed before its
	// first heartbeat arrived: it is heard of no more, and the other is.
	soft.heard(4800*time.Millisecond, "old", 5)
	soft.look(4900*time.Millisecond, time.Second, rows)
	assert.DeepEqual(t, soft.silent, []string{"new"})
}
