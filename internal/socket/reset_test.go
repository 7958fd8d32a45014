package socket

import (
	"errors"
	"fmt"
	"io"
	"net"
	"syscall"
	"testing"
	"time"

	"golang.org/x/sys/unix"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"
)

// farEnds are ways in which the far end of a connection ends it. Sizes are those of a write at the near end that is
// played with each.
var farEnds = map[string]struct {
	end   func(c *net.TCPConn) error
	reset bool
	sizes []int
}{
	"its side only":             {func(c *net.TCPConn) error { return c.CloseWrite() }, false, []int{0, 64 << 10, 1 << 20}},
	"its side, then reset":      {func(c *net.TCPConn) error { return errors.Join(c.CloseWrite(), resetFar(c)) }, false, []int{0, 64 << 10, 1 << 20}},
	"reset":                     {resetFar, true, []int{0, 64 << 10, 1 << 20}},
	"closed when all was read":  {closeRead, false, []int{64 << 10}},
	"closed with bytes unread":  {closeUnread, true, []int{64 << 10, 1 << 20}},
	"closed in place of a read": {func(c *net.TCPConn) error { return errors.Join(c.CloseRead(), resetFar(c)) }, true, []int{1 << 20}},
}

// closeUnread closes the connection once bytes of the near end have arrived.
func closeUnread(c *net.TCPConn) error {
	for until := time.Now().Add(5 * time.Second); Unread(c) == 0 && time.Now().Before(until); {
		time.Sleep(time.Millisecond)
	}
	return c.Close()
}

// closeRead reads what the near end writes, and closes the connection.
func closeRead(c *net.TCPConn) error {
	_, err := io.CopyN(io.Discard, c, 64<<10)
	return errors.Join(err, c.Close())
}

func resetFar(c *net.TCPConn) error {
	// The end of the side has to arrive before the reset.
	time.Sleep(20 * time.Millisecond)
	return errors.Join(c.SetLinger(0), c.Close())
}

// awaitClosed waits until the system has closed a connection.
func awaitClosed(t *testing.T, c net.Conn) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if state, err := tcpState(c); state != tcpClose {
			return poll.Continue("state %d, %v", state, err)
		}
		return poll.Success()
	}, poll.WithTimeout(5*time.Second), poll.WithDelay(time.Millisecond))
}

// Guards against a reset that looks like the end of the peer's side because a write beside the read, or another reader of
// the socket's error, has received it.
func TestReadTellsResetFromEndOfPeer(t *testing.T) {
	takers := map[string]func(near net.Conn){
		"nothing": func(net.Conn) {},
		"a peek": func(near net.Conn) {
			withDescriptor(near, func(fd int) {
				_, _, _ = syscall.Recvfrom(fd, make([]byte, 1), syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
			})
		},
		"IsOpen": func(near net.Conn) { IsOpen(near) },
	}
	for name, c := range farEnds {
		for taker, take := range takers {
			for _, size := range c.sizes {
				t.Run(fmt.Sprintf("%s, %s, %d", name, taker, size), func(t *testing.T) {
					t.Parallel()
					dialled, to := pair(t)
					near := ReportResets(dialled)
					wrote := make(chan struct{})
					go func() {
						defer close(wrote)
						// It fails unless the far end reads it.
						_, _ = near.Write(make([]byte, size))
					}()
					_, err := io.WriteString(to, "part")
					assert.NilError(t, err)
					time.Sleep(20 * time.Millisecond)
					assert.NilError(t, c.end(to))
					read := make([]byte, 4)
					_, err = io.ReadFull(near, read)
					assert.NilError(t, err)
					assert.Equal(t, string(read), "part")
					if c.reset {
						awaitClosed(t, near)
						<-wrote
						take(near)
					}
					for range 2 {
						_, err = near.Read(read)
						assert.Equal(t, errors.Is(err, syscall.ECONNRESET), c.reset, "%v", err)
						assert.Equal(t, err == io.EOF, !c.reset, "%v", err)
					}
				})
			}
		}
	}
}

// Guards against a read that ends before a write beside it has received the error of the connection.
func TestResetDuringWriteIsReported(t *testing.T) {
	for range 300 {
		dialled, to := pair(t)
		near := ReportResets(dialled)
		go func() { _, _ = near.Write(make([]byte, 4<<20)) }()
		_, err := io.WriteString(to, "part")
		assert.NilError(t, err)
		assert.NilError(t, errors.Join(to.SetLinger(0), to.Close()))
		_, err = io.ReadAll(near)
		assert.Assert(t, errors.Is(err, syscall.ECONNRESET), "%v", err)
		_ = near.Close()
	}
}

// Guards against a reset that looks like the end of the peer's side because this process closes the connection once a
// write has received its error.
func TestReadTellsResetThoughConnectionIsClosedMeanwhile(t *testing.T) {
	for _, orderly := range []bool{false, true} {
		for range 300 {
			dialled, to := pair(t)
			near := ReportResets(dialled)
			go func() {
				_, _ = near.Write(make([]byte, 1<<20))
				_ = near.Close()
			}()
			if orderly {
				assert.NilError(t, to.CloseWrite())
			}
			assert.NilError(t, errors.Join(to.SetLinger(0), to.Close()))
			_, err := near.Read(make([]byte, 1))
			if orderly {
				assert.Assert(t, err == io.EOF || errors.Is(err, net.ErrClosed), "%v", err)
			} else {
				assert.Assert(t, err != io.EOF)
			}
		}
	}
}

// Guards against an end that replaces a reset which a read has received, once a write has got another error.
func TestReadReportsResetAgain(t *testing.T) {
	dialled, to := pair(t)
	near := ReportResets(dialled)
	assert.NilError(t, resetFar(to))
	awaitClosed(t, near)
	_, err := near.Read(make([]byte, 1))
	assert.Assert(t, errors.Is(err, syscall.ECONNRESET), "%v", err)
	_, err = near.Write([]byte("x"))
	assert.Assert(t, errors.Is(err, syscall.EPIPE), "%v", err)
	_, err = near.Read(make([]byte, 1))
	assert.Assert(t, errors.Is(err, syscall.ECONNRESET), "%v", err)
}

// The system returns the error of a connection once, and the states and errors differ as wasReset expects.
func TestSystemReturnsResetOnce(t *testing.T) {
	near, to := pair(t)
	assert.NilError(t, resetFar(to))
	awaitClosed(t, near)
	_, err := near.Write([]byte("x"))
	assert.Assert(t, errors.Is(err, syscall.ECONNRESET), "%v", err)
	_, err = near.Read(make([]byte, 1))
	assert.Equal(t, err, io.EOF)

	near, to = pair(t)
	assert.NilError(t, to.CloseWrite())
	assert.NilError(t, resetFar(to))
	awaitClosed(t, near)
	withDescriptor(near, func(fd int) {
		number, err := unix.GetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_ERROR)
		assert.NilError(t, err)
		assert.Equal(t, syscall.Errno(number), syscall.EPIPE)
	})
}
