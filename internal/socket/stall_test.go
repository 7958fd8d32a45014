package socket

import (
	"errors"
	"io"
	"net"
	"os"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// pair returns the two ends of a connection with small buffers.
func pair(t *testing.T) (from, to *net.TCPConn) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer listener.Close()
	dialled, err := net.Dial("tcp", listener.Addr().String())
	assert.NilError(t, err)
	accepted, err := listener.Accept()
	assert.NilError(t, err)
	t.Cleanup(func() { _ = dialled.Close(); _ = accepted.Close() })
	from, to = dialled.(*net.TCPConn), accepted.(*net.TCPConn)
	assert.NilError(t, from.SetWriteBuffer(16<<10))
	assert.NilError(t, to.SetReadBuffer(16<<10))
	return from, to
}

// Guards against waiting without end for a peer that reads nothing, and against giving up one that
// reads.
func TestWriteGivesUpStalledPeerOnly(t *testing.T) {
	const limit = 300 * time.Millisecond
	from, _ := pair(t)
	started := time.Now()
	n, err := Write(from, make([]byte, 8<<20), limit, nil)
	assert.ErrorIs(t, err, ErrStalled)
	assert.Assert(t, n < 8<<20)
	assert.Assert(t, time.Since(started) >= limit)

	from, to := pair(t)
	go func() {
		for err := error(nil); err == nil; time.Sleep(50 * time.Millisecond) {
			_, err = io.CopyN(io.Discard, to, 256<<10)
		}
	}()
	n, err = Write(from, make([]byte, 8<<20), limit, nil)
	assert.NilError(t, err)
	assert.Equal(t, n, 8<<20)
}

// Guards against a write that goes on after its cancellation because it sets a later deadline.
func TestWriteEndsWhenCanceled(t *testing.T) {
	from, _ := pair(t)
	var canceled atomic.Bool
	time.AfterFunc(100*time.Millisecond, func() {
		canceled.Store(true)
		_ = from.SetWriteDeadline(time.Unix(1, 0))
	})
	_, err := Write(from, make([]byte, 8<<20), time.Hour, canceled.Load)
	assert.Assert(t, errors.Is(err, os.ErrDeadlineExceeded), "%v", err)
}
