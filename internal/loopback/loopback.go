// Package loopback finds addresses for the processes that tests and the rehearsal kit
// start on this machine.
package loopback

import (
	"fmt"
	"math/rand/v2"
	"net"

	"github.com/cockroachdb/errors"
)

// FreeAddress returns an address to listen on later. It has an IP number of its own: a
// connection from 127.0.0.1 that somebody opens meanwhile may get any port there.
func FreeAddress() (string, error) {
	listener, err := net.Listen("tcp", fmt.Sprintf("127.%d.%d.%d:0", 1+rand.IntN(250), rand.IntN(250), 1+rand.IntN(250)))
	if err != nil {
		return "", errors.Wrap(err, "find a free port")
	}
	defer listener.Close()
	return listener.Addr().String(), nil
}
