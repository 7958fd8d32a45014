package state

import (
	"encoding/json"
	"testing"

	"gotest.tools/v3/assert"

	"quinceridge.example/quinceridge/internal/poison"
)

// applyCommand applies a command as the next log entry and returns its result.
func applyCommand(t *testing.T, m *Machine, c Command) Result {
	t.Helper()
	text, err := json.Marshal(c)
	assert.NilError(t, err)
	result, err := m.Apply(m.Applied()+1, 1, text)
	assert.NilError(t, err)
	return result
}

func TestBlockedRequestRemainsUntilUnblocked(t *testing.T) {
	m := New()
	applyCommand(t, m, Command{At: 1000, Block: &Block{Request: 7, Backends: []string{"a", "b", "c"}}})
	applyCommand(t, m, Command{At: 2000, Block: &Block{Request: 7, Backends: []string{"d"}}})
	assert.DeepEqual(t, m.Deployment().Blocked, []BlockedRequest{{Request: 7, Backends: []string{"a", "b", "c"}, At: 1000, Revision: 1}})
	snapshot, err := m.Snapshot()
	assert.NilError(t, err)
	restored := New()
	assert.NilError(t, restored.Restore(snapshot))
	assert.Assert(t, restored.Deployment().IsBlocked(7))
	assert.Equal(t, applyCommand(t, m, Command{Unblock: &Unblock{Request: 8}}).Code, CodeUnknown)
	assert.Equal(t, applyCommand(t, m, Command{Unblock: &Unblock{Request: 7}}).Code, CodeOK)
	assert.Assert(t, !m.Deployment().IsBlocked(7))
	assert.DeepEqual(t, m.Deployment().Cleared, []ClearedRequest{{Request: 7, Revision: 4}})
}

func TestBlockedRequestsAreBounded(t *testing.T) {
	m := New()
	for i := range 2 * maxBlocked {
		applyCommand(t, m, Command{Block: &Block{Request: poison.Digest(i + 1)}})
	}
	assert.Equal(t, len(m.Deployment().Blocked), maxBlocked)
	assert.Assert(t, m.Deployment().IsBlocked(2*maxBlocked))
	assert.Assert(t, !m.Deployment().IsBlocked(1))
	for i := range 2 * maxBlocked {
		applyCommand(t, m, Command{Unblock: &Unblock{Request: poison.Digest(i + 1)}})
	}
	assert.Equal(t, len(m.Deployment().Blocked), 0)
	assert.Assert(t, len(m.Deployment().Cleared) <= maxCleared)
}

func TestBlockedPartsSurviveSnapshot(t *testing.T) {
	m := New()
	applyCommand(t, m, Command{Block: &Block{Request: 9, Parts: []poison.Digest{3, 4}, Backends: []string{"a"}, Doubtful: true}})
	applyCommand(t, m, Command{Block: &Block{Request: 9, Trials: 2}})
	applyCommand(t, m, Command{Block: &Block{Request: 9, Trials: 1}})
	applyCommand(t, m, Command{Block: &Block{Request: 9, Confirmed: true}})
	applyCommand(t, m, Command{Block: &Block{Request: 9}})
	applyCommand(t, m, Command{Block: &Block{Request: 7, Backends: []string{"b"}}})
	requests, parts := m.Deployment().CountBlocked()
	assert.Equal(t, requests, 1)
	assert.Equal(t, parts, 1)
	snapshot, err := m.Snapshot()
	assert.NilError(t, err)
	restored := New()
	assert.NilError(t, restored.Restore(snapshot))
	assert.DeepEqual(t, restored.Deployment().Blocked, m.Deployment().Blocked)
	assert.DeepEqual(t, m.Deployment().Blocked[0], BlockedRequest{Request: 9, Parts: []poison.Digest{3, 4}, Backends: []string{"a"}, Doubtful: true, Trials: 2, Confirmed: true, Revision: 1})
	assert.Equal(t, m.Deployment().BlockedRevision, uint64(6))
	assert.Equal(t, applyCommand(t, m, Command{Unblock: &Unblock{Request: 9}}).Code, CodeOK)
	assert.DeepEqual(t, m.Deployment().Cleared, []ClearedRequest{{Request: 9, Parts: []poison.Digest{3, 4}, Revision: 7}})
}

// The ends that are left when a block ends by the return of back ends must count on.
func TestUnblockMayKeepEvidence(t *testing.T) {
	m := New()
	applyCommand(t, m, Command{Block: &Block{Request: 7, Backends: []string{"a", "b", "c"}, Presumed: []string{"b"}}})
	snapshot, err := m.Snapshot()
	assert.NilError(t, err)
	restored := New()
	assert.NilError(t, restored.Restore(snapshot))
	rule := restored.Deployment().Blocked[0].Rule()
	assert.DeepEqual(t, rule.Presumed, []string{"b"})
	assert.Equal(t, applyCommand(t, m, Command{Unblock: &Unblock{Request: 7, KeepEvidence: true}}).Code, CodeOK)
	assert.Assert(t, !m.Deployment().IsBlocked(7))
	assert.Equal(t, len(m.Deployment().Cleared), 0)
}
