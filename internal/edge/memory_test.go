package edge

import (
	"bytes"
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"quinceridge.example/quinceridge/internal/coordinator"
	"quinceridge.example/quinceridge/internal/settings"
	"quinceridge.example/quinceridge/internal/traffic"
)

// Guards against a router that does not bound its buffers by its memory limit: half of it is the
// budget, and connections of clients count.
func TestMemoryLimitBoundsBuffers(t *testing.T) {
	s := settings.DisklessRouter{Name: "r", Listen: freeAddress(t), Readiness: freeAddress(t), Seeds: []string{freeAddress(t)},
		Revocation: 5 * time.Second, StopGrace: 2 * time.Second, RetryWindow: time.Second, MemoryLimit: 100}
	e := New(s, names, coordinator.StatusRequest(), traffic.Parse, discardLogger())
	assert.NilError(t, e.Start())
	defer e.Stop()
	used := func() (bytesUsed, limit int64) {
		var text bytes.Buffer
		_, _ = e.handler.WriteTo(&text)
		for line := range strings.Lines(text.String()) {
			_, _ = fmt.Sscanf(line, "quinceridge_buffer_bytes %d", &bytesUsed)
			_, _ = fmt.Sscanf(line, "quinceridge_buffer_limit_bytes %d", &limit)
		}
		return bytesUsed, limit
	}
	none, limit := used()
	assert.Equal(t, limit, int64(50<<20))
	assert.Equal(t, none, int64(0))
	conn, err := net.Dial("tcp", s.Listen)
	assert.NilError(t, err)
	awaitHeld := func(held bool) {
		t.Helper()
		poll.WaitOn(t, func(poll.LogT) poll.Result {
			if bytesUsed, _ := used(); (bytesUsed > 0) != held {
				return poll.Continue("%d bytes", bytesUsed)
			}
			return poll.Success()
		}, poll.WithTimeout(5*time.Second), poll.WithDelay(5*time.Millisecond))
	}
	awaitHeld(true)
	assert.NilError(t, conn.Close())
	awaitHeld(false)
}

// Guards against a router whose connections of clients lack the rule for those that read nothing.
func TestClientsAreServedThroughBoundingListener(t *testing.T) {
	s := settings.DisklessRouter{Name: "r", Listen: freeAddress(t), Readiness: freeAddress(t), Seeds: []string{freeAddress(t)},
		Revocation: 5 * time.Second, StopGrace: 2 * time.Second, RetryWindow: time.Second, MemoryLimit: 100}
	e := New(s, names, coordinator.StatusRequest(), traffic.Parse, discardLogger())
	kinds := make(chan string, 1)
	charge := e.callers.ConnState
	e.callers.ConnState = func(c net.Conn, state http.ConnState) {
		if state == http.StateNew {
			kinds <- fmt.Sprintf("%T", c)
		}
		charge(c, state)
	}
	assert.NilError(t, e.Start())
	defer e.Stop()
	conn, err := net.Dial("tcp", s.Listen)
	assert.NilError(t, err)
	defer conn.Close()
	assert.Equal(t, <-kinds, "*forward.clientConnection")
}
