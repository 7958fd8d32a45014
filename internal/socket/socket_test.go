package socket

import (
	"net"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"
)

func TestBacklogCountsConnectionsThatWait(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer l.Close()
	await := func(want int) {
		t.Helper()
		poll.WaitOn(t, func(poll.LogT) poll.Result {
			if got := Backlog(l); got != want {
				return poll.Continue("%d, want %d", got, want)
			}
			return poll.Success()
		}, poll.WithTimeout(5*time.Second), poll.WithDelay(time.Millisecond))
	}
	await(0)
	for range 3 {
		c, err := net.Dial("tcp", l.Addr().String())
		assert.NilError(t, err)
		defer c.Close()
	}
	await(3)
	accepted, err := l.Accept()
	assert.NilError(t, err)
	defer accepted.Close()
	await(2)
	assert.NilError(t, l.Close())
	assert.Equal(t, Backlog(l), 0)
}
