package raft

import (
	"encoding/json"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// proposeBytes proposes entries of the given size.
func (g *group) proposeBytes(n *Node, count, size int) {
	data := json.RawMessage(`"` + strings.Repeat("x", size-2) + `"`)
	for range count {
		_, err := n.Propose(g.now, data)
		assert.NilError(g.t, err)
		g.deliver()
	}
}

// largestAppend steps all nodes for a while and returns the most bytes of entries in one message, and
// the most entries.
func (g *group) largestAppend(length time.Duration) (bytes, entries int) {
	g.observe = func(m Message) {
		size := 0
		for _, e := range m.Entries {
			size += len(e.Data)
		}
		bytes, entries = max(bytes, size), max(entries, len(m.Entries))
	}
	defer func() { g.observe = nil }()
	g.advance(length)
	return bytes, entries
}

// Guards against the whole log of large entries in one message to a member that returns empty.
func TestEmptyFollowerGetsLargeEntriesInBoundedMessages(t *testing.T) {
	for _, test := range []struct{ count, size, maxBytes int }{
		{60, 700 << 10, maxBytesPerMessage}, {1000, 5 << 10, maxBytesPerMessage},
		{8, 3 << 20, 3 << 20}, // an entry above the bound goes alone
	} {
		g := newGroup(t, 1, 2, 3)
		g.advance(4 * time.Second)
		leader := g.leader()
		behind := leader.Status().ID%3 + 1
		g.isolated[behind] = true
		g.proposeBytes(leader, test.count, test.size)
		g.isolated[behind] = false
		bytes, entries := g.largestAppend(5 * time.Second)
		assert.Assert(t, bytes <= test.maxBytes, "%d bytes in a message", bytes)
		assert.Assert(t, entries <= maxEntriesPerMessage)
		assert.Equal(t, g.nodes[behind].Status().Applied, leader.Status().Applied)
		assert.Equal(t, g.leader(), leader)
	}
}

// Guards against a compacted log that retains entries without a bound on their bytes.
func TestCompactionRetainsBoundedBytes(t *testing.T) {
	for _, test := range []struct{ size, retained int }{
		{2, compactionSlack}, {700 << 10, 2}, {2 << 20, 1}, {2<<20 + 1, 0},
	} {
		g := newGroup(t, 1, 2, 3)
		g.advance(4 * time.Second)
		leader := g.leader()
		g.proposeBytes(leader, compactionSlack+10, test.size)
		applied := leader.Status().Applied
		leader.Compact(&Snapshot{Index: applied, Term: leader.Term(applied), Membership: leader.MembershipAt(applied)})
		assert.Equal(t, leader.Status().LastIndex-leader.Status().FirstIndex+1, uint64(test.retained), "%d bytes each", test.size)
		assert.Equal(t, len(leader.Stable()), test.retained)
		// Replication goes on from there.
		g.proposeBytes(leader, 3, test.size)
		g.advance(time.Second)
		for _, n := range g.nodes {
			assert.Equal(t, n.Status().Applied, applied+3)
		}
	}
}
