package upstream

import (
	"bufio"
	"context"
	"io"
	"net"
	"testing"

	"gotest.tools/v3/assert"
)

// BenchmarkDo exchanges small requests and responses over one connection.
func BenchmarkDo(b *testing.B) {
	served := startBackend(b, func(_ int, conn net.Conn, requests *bufio.Reader) {
		for id, err := readRequest(requests); err == nil; id, err = readRequest(requests) {
			_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nDate: Mon, 07 Dec 2026 12:00:00 GMT\r\nContent-Type: application/json\r\nX-Signature: 3e1b.07.5a2.600.0.c9f2a4d1\r\n"+
				"Keep-Alive: timeout=20\r\nX-Weights: 12\r\n"+idHeader+": "+id+"\r\nContent-Length: 4\r\n\r\nbody")
		}
	})
	p := NewPool(idHeader, newPushbacks(), newLimits())
	for b.Loop() {
		response, err := p.Do(context.Background(), served.address, request("1"))
		assert.NilError(b, err)
		_, err = io.Copy(io.Discard, response)
		assert.NilError(b, err)
		response.Close()
	}
}
