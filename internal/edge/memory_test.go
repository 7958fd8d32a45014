package edge

import (
	"bytes"
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"quinceridge.example/quinceridge/internal/settings"
	"quinceridge.example/quinceridge/internal/traffic"
)

// Guards against a router that does not bound its buffers by its memory limit: half of it is the
// budget, and connections of clients count.
func TestMemoryLimitBoundsBuffers(t *testing.T) {
	e := New(settings.DisklessRouter{Name: "r", MemoryLimit: 100}, names, traffic.Parse, discardLogger())
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
