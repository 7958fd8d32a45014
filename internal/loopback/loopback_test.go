package loopback

import (
	"net"
	"testing"

	"gotest.tools/v3/assert"
)

func TestFreeAddressCanBeListenedOn(t *testing.T) {
	address, err := FreeAddress()
	assert.NilError(t, err)
	listener, err := net.Listen("tcp", address)
	assert.NilError(t, err)
	defer listener.Close()
	host, _, err := net.SplitHostPort(address)
	assert.NilError(t, err)
	assert.Assert(t, net.ParseIP(host).IsLoopback())
	assert.Assert(t, host != "127.0.0.1")
}
