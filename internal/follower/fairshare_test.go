package follower

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"quinceridge.example/quinceridge/internal/coordapi"
	"quinceridge.example/quinceridge/internal/fairshare"
	"quinceridge.example/quinceridge/internal/state"
)

// Guards against shares of a leader that announces nothing any more, which each view repeats, and
// against shares of a replaced leader that outlive it.
func TestSharesHoldFromAnnouncement(t *testing.T) {
	gate := fairshare.NewGate()
	f := New(Config{Name: "r", Decode: decode, Pool: discardPool{}, FairShares: gate})
	now := time.Minute
	f.clock = func() time.Duration { return now }
	shares := []fairshare.Share{{Class: fairshare.Class{Pool: "p", Tenant: "a"}, Part: 0.5}}
	leader := coordapi.NewLeaderToken("e1", 0)
	f.applyView(0, &coordapi.View{Revision: 1, Leader: leader, Announced: 5, FairShares: shares})
	assert.Equal(t, len(gate.Shares(now)), 1)
	for range 3 {
		now += 900 * time.Millisecond
		f.applyView(0, &coordapi.View{Revision: 1, Leader: leader, Announced: 5, FairShares: shares})
	}
	assert.Equal(t, len(gate.Shares(now)), 0)
	f.applyView(0, &coordapi.View{Revision: 1, Leader: leader, Announced: 6, FairShares: shares, Backends: []state.Backend{}})
	assert.Equal(t, len(gate.Shares(now)), 1)
	// A new leader begins to count its announcements again. It has announced nothing yet.
	f.applyView(0, &coordapi.View{Revision: 1, Leader: coordapi.NewLeaderToken("e2", 0), Announced: 6})
	assert.Equal(t, len(gate.Shares(now)), 0)
}
