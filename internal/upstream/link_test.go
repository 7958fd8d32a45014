package upstream

import (
	"net"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"
)

// A connection is open until either end closes it, also while it is read.
func TestLinkIsOpenUntilEitherEndCloses(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer listener.Close()
	connect := func() (link, net.Conn) {
		near, err := net.Dial("tcp", listener.Addr().String())
		assert.NilError(t, err)
		far, err := listener.Accept()
		assert.NilError(t, err)
		return link{conn: near}, far
	}
	closed := func(l *link) {
		t.Helper()
		poll.WaitOn(t, func(poll.LogT) poll.Result {
			if l.IsOpen() {
				return poll.Continue("it is open")
			}
			return poll.Success()
		}, poll.WithTimeout(5*time.Second), poll.WithDelay(time.Millisecond))
	}
	l, far := connect()
	reading := l.conn
	go func() { _, _ = reading.Read(make([]byte, 1)) }()
	assert.Assert(t, l.IsOpen())
	assert.NilError(t, far.Close())
	closed(&l)
	l, far = connect()
	assert.NilError(t, far.(*net.TCPConn).SetLinger(0))
	assert.NilError(t, far.Close())
	closed(&l)
	l, far = connect()
	defer far.Close()
	assert.NilError(t, l.conn.Close())
	closed(&l)
}
