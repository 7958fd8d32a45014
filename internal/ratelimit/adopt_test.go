package ratelimit

import (
	"net/http"
	"testing"

	"gotest.tools/v3/assert"

	"quinceridge.example/quinceridge/internal/clock"
	"quinceridge.example/quinceridge/internal/coordapi"
	"quinceridge.example/quinceridge/internal/pushback"
	"quinceridge.example/quinceridge/internal/state"
)

// closedConnection is a connection that has ended, by when it was opened.
type closedConnection state.UnixMilli

func (c closedConnection) OpenedAt() state.UnixMilli { return state.UnixMilli(c) }
func (closedConnection) IsOpen() bool                { return false }

// A limit must hold that a start named before its first heartbeat, while it was taken for the start before,
// and that of the start before must not.
func TestLimitBelongsToStartBehindConnection(t *testing.T) {
	later := coordapi.BackendID(state.LaterRowID(state.Start{Name: "a", Born: 100}))
	for opened, holds := range map[closedConnection]bool{50: false, 200: true} {
		for _, header := range []string{names.Limit, names.Brittle} {
			r := newRig()
			from := pushback.Backend{ID: "a", Pool: "p", Plain: true, From: pushback.Origin{Name: "a", Address: "x:1", Connection: opened}}
			head := http.Header{}
			head.Set(header, "4")
			r.ObserveResponse(from, "a", clock.Now(), &http.Response{StatusCode: http.StatusOK, Header: head})
			r.TakeUnreported()
			r.Adopt(later, "a", "x:1")
			assert.Equal(t, r.Limited(later), holds, "%s, opened at %d", header, opened)
			assert.Equal(t, len(r.TakeUnreported()) == 1, holds)
		}
	}
}
