package upstream

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"

	"golang.org/x/sys/unix"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"
)

// silentTime is for how long back ends are silent: longer than the pool waits for one that reads or
// acknowledges nothing.
const silentTime = 2600 * time.Millisecond

// startSilentBackend starts a back end that reads nothing of the requests of each connection for a while.
// Its system takes less than one request and acknowledges no more meanwhile, as on a path that holds packets.
func startSilentBackend(t *testing.T, silence time.Duration) (address string) {
	t.Helper()
	small := net.ListenConfig{Control: func(_, _ string, c syscall.RawConn) error {
		var failure error
		err := c.Control(func(fd uintptr) { failure = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, 1) })
		if err != nil {
			return err
		}
		return failure
	}}
	listener, err := small.Listen(t.Context(), "tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer conn.Close()
				time.Sleep(silence)
				requests := bufio.NewReader(conn)
				for id, err := readRequest(requests); err == nil; id, err = readRequest(requests) {
					_, _ = io.WriteString(conn, responseTo(id, "read"))
				}
			}()
		}
	}()
	return listener.Addr().String()
}

// Guards against giving up a request that must not be sent elsewhere while its back end is silent and
// goes on within the time for which the caller waits.
func TestHeldRequestOutlastsSilence(t *testing.T) {
	unread := startBackend(t, func(_ int, conn net.Conn, requests *bufio.Reader) {
		r, err := http.ReadRequest(requests)
		if err != nil {
			return
		}
		time.Sleep(silentTime)
		_, _ = io.Copy(io.Discard, r.Body)
		_, _ = io.WriteString(conn, responseTo(r.Header.Get(idHeader), "read"))
	}).address
	unacknowledged := startSilentBackend(t, silentTime)
	cases := map[string]struct {
		address string
		size    int
	}{
		"body unread":            {unread, 16 << 20},
		"request unacknowledged": {unacknowledged, asyncBodySize - 1},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			p := NewPool(idHeader, newPushbacks(), newLimits())
			r := request("1")
			r.Body = []byte(strings.Repeat("x", c.size))
			r.Patience = 2 * silentTime
			ctx, cancel := context.WithTimeout(t.Context(), 2*silentTime)
			defer cancel()
			status, body, err := p.Call(ctx, c.address, r, 100)
			assert.NilError(t, err)
			assert.Equal(t, status, http.StatusOK)
			assert.Equal(t, string(body), "read")
		})
	}
}

// Guards against sending requests over kept connections, one after the other, while the host no longer
// acknowledges what is sent over them.
func TestIdleConnectionsAreClosedWhenRequestIsUnacknowledged(t *testing.T) {
	address := startSilentBackend(t, silentTime)
	p := NewPool(idHeader, newPushbacks(), newLimits())
	for range 2 {
		assert.NilError(t, p.Connect(t.Context(), address))
	}
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() {
		defer close(done)
		r := request("1")
		r.Body = []byte(strings.Repeat("x", asyncBodySize-1))
		_, _, _ = p.Call(ctx, address, r, 100)
	}()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		p.mu.Lock()
		defer p.mu.Unlock()
		if idle := len(p.idle[address]); idle > 0 {
			return poll.Continue("%d idle connections", idle)
		}
		return poll.Success()
	}, poll.WithTimeout(userTimeout/2), poll.WithDelay(5*time.Millisecond))
	cancel()
	<-done
}

// Guards against a kept connection that holds the next request for as long as the one before, or for less
// than it may be held.
func TestUserTimeoutFollowsRequest(t *testing.T) {
	b := startBackend(t, func(_ int, conn net.Conn, requests *bufio.Reader) {
		for id, err := readRequest(requests); err == nil; id, err = readRequest(requests) {
			_, _ = io.WriteString(conn, responseTo(id, "body"))
		}
	})
	p := NewPool(idHeader, newPushbacks(), newLimits())
	for _, patience := range []time.Duration{0, 10 * time.Second, 0, time.Second, 20 * time.Second} {
		r := request("1")
		r.Patience = patience
		_, _, err := p.Call(t.Context(), b.address, r, 100)
		assert.NilError(t, err)
		raw, err := p.idle[b.address][0].Conn.(syscall.Conn).SyscallConn()
		assert.NilError(t, err)
		assert.NilError(t, raw.Control(func(fd uintptr) {
			limit, err := unix.GetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT)
			assert.Check(t, err)
			assert.Check(t, time.Duration(limit)*time.Millisecond == max(userTimeout, patience), "%d ms with a patience of %v", limit, patience)
		}))
	}
	assert.Equal(t, p.Opened.Load(), uint64(1))
}
