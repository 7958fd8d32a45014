package coordinator

import (
	"testing"
	"time"

	"gotest.tools/v3/poll"

	"quinceridge.example/quinceridge/internal/coordapi"
	"quinceridge.example/quinceridge/internal/poison"
)

// Guards against requests that stay blocked for ten minutes although their back ends were only silent, also
// if all coordinators were lost with the evidence.
func TestBlockBySilenceEndsOnceBackendsSendHeartbeats(t *testing.T) {
	for name, restart := range map[string]bool{"same leader": false, "new leader": true} {
		t.Run(name, func(t *testing.T) {
			g := newGroup(t, 3)
			ids := []string{"a", "b", "c"}
			g.enrol(ids...)
			time.Sleep(g.config[0].BackendHeartbeat * 3 / 2)
			update := &coordapi.Update{Router: "r"}
			for _, id := range ids {
				update.FailedAttempts = append(update.FailedAttempts, poison.FailedAttempt{Backend: id, Request: 7, Duration: g.config[0].BackendHeartbeat * 3 / 2, Silent: true})
			}
			g.call(0, coordapi.Request{Update: update})
			g.awaitBlocked(7, true)
			if restart {
				for i := range g.servers {
					g.kill(i)
				}
				for i := range g.servers {
					g.start(i)
				}
			}
			sequence := coordapi.Sequence(1)
			waitOn(t, func(poll.LogT) poll.Result {
				sequence++
				for i, id := range ids {
					g.call(i, beat(id, sequence, false))
				}
				if g.blocked(7) {
					return poll.Continue("still blocked")
				}
				return poll.Success()
			}, poll.WithTimeout(20*time.Second), poll.WithDelay(300*time.Millisecond))
		})
	}
}
