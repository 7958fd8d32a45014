package coordinator

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"quinceridge.example/quinceridge/internal/state"
)

// Guards against placements at a crashed back end after another has started at its address.
func TestNewBackendSupersedesOldOneAtSameAddress(t *testing.T) {
	var soft softState
	soft.reset(0)
	rows := map[string]state.Backend{"old": {ID: "old", Address: "a:1"}, "other": {ID: "other", Address: "b:1"}}
	soft.heartbeat(time.Second, "old", 1)
	soft.heartbeat(time.Second, "other", 1)
	soft.checkAll(1100*time.Millisecond, time.Second, rows)
	assert.Equal(t, len(soft.silent), 0)
	rows["new"] = state.Backend{ID: "new", Address: "a:1"}
	soft.heartbeat(1200*time.Millisecond, "new", 1)
	soft.checkAll(1300*time.Millisecond, time.Second, rows)
	assert.DeepEqual(t, soft.silent, []string{"old"})
}

// Without heartbeats a new leader cannot order two back ends at one address, and must treat
// neither as superseded.
func TestNewLeaderDoesNotGuessSuccessor(t *testing.T) {
	var soft softState
	soft.reset(time.Second)
	rows := map[string]state.Backend{"old": {ID: "old", Address: "a:1"}, "new": {ID: "new", Address: "a:1"}}
	soft.checkAll(1100*time.Millisecond, time.Second, rows)
	assert.Equal(t, len(soft.silent), 0)
}

// Guards against a delayed heartbeat of a crashed back end that supersedes the one enrolled at
// its address since.
func TestLateHeartbeatDoesNotSupersedeSuccessor(t *testing.T) {
	var soft softState
	soft.reset(0)
	rows := map[string]state.Backend{"old": {ID: "old", Address: "a:1", EnrolledRevision: 4}, "new": {ID: "new", Address: "a:1", EnrolledRevision: 9}}
	soft.heartbeat(1000*time.Millisecond, "old", 1)
	soft.heartbeat(2000*time.Millisecond, "new", 1)
	soft.heartbeat(2100*time.Millisecond, "old", 2)
	soft.checkAll(2200*time.Millisecond, time.Second, rows)
	assert.DeepEqual(t, soft.silent, []string{"old"})
	// The one that enrolled last is silent, and the earlier one is not.
	soft.heartbeat(4800*time.Millisecond, "old", 5)
	soft.checkAll(4900*time.Millisecond, time.Second, rows)
	assert.DeepEqual(t, soft.silent, []string{"new"})
}
