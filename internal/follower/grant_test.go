package follower

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against grants that the leader withdraws while their requests run, since the router has nothing more
// to wait for.
func TestGrantOfLastWaitingRequestIsAcknowledged(t *testing.T) {
	t.Run("no fault", func(t *testing.T) { checkLastGrants(t, 0) })
	t.Run("a reply is lost", func(t *testing.T) { checkLastGrants(t, 1) })
}

// checkLastGrants checks that the grants of the only waiting requests count until these end, after a number
// of lost replies.
func checkLastGrants(t *testing.T, lost int) {
	t.Helper()
	l := newQueueLeader(t)
	r := newQueueRouter(t, l)
	running := r.fill()
	r.place(t.Context(), 0)
	r.place(t.Context(), 1)
	r.awaitWaiting(2)
	l.set(func() { l.lostAwaits = lost })
	for _, number := range running {
		r.Ended(number)
	}
	var granted []uint64
	for range 2 {
		one := r.result()
		assert.Assert(t, one.answered && one.found, "%+v", one)
		granted = append(granted, one.choice.Placement)
	}
	for begun := time.Now(); time.Since(begun) < 2500*time.Millisecond; time.Sleep(10 * time.Millisecond) {
		assert.Equal(t, l.open(), 2, "after %v", time.Since(begun))
	}
	for _, number := range granted {
		r.Ended(number)
	}
	eventually(t, func() (bool, string) { return l.open() == 0, "placements are open" })
}
