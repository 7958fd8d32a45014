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

	"quinceridge.example/quinceridge/internal/coordinator"
	"quinceridge.example/quinceridge/internal/settings"
	"quinceridge.example/quinceridge/internal/traffic"
)

// Guards against a router that does not bound its buffers by its memory limit: half of it is the
// budget, and connections of clients count.
func TestMemoryLimitBoundsBuffers(t *testing.T) {
	e := New(settings.DisklessRouter{Name: "r", MemoryLimit: 100}, names, coordinator.StatusRequest(), traffic.Parse, discardLogger())
	defer e.peers.Close()
	used := func() (bytesUsed, limit int64) {
		var text bytes.Buffer
		_, _ = e.handler.WriteTo(&text)
		for line := range strings.Lines(text.String()) {
			_, _ = fmt.Sscanf(line, "quinceridge_buffer_bytes %d", &bytesUsed)
			_, _ = fmt.Sscanf(line, "quinceridge_buffer_limit_bytes %d", &limit)
		}
		return bytesUsed, limit
	}
	_, limit := used()
	assert.Equal(t, limit, int64(50<<20))
	a, b := net.Pipe()
	defer a.Close()
	defer b.Close()
	e.callers.ConnState(a, http.StateNew)
	held, _ := used()
	assert.Assert(t, held > 0)
	e.callers.ConnState(a, http.StateClosed)
	held, _ = used()
	assert.Equal(t, held, int64(0))
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
