// Package loopback finds free local addresses for the processes of tests and rehearsals.
package loopback

import (
	"fmt"
	"math/rand/v2"
	"net"

	"github.com/cockroachdb/errors"
)

// FreeAddress returns an address to listen on later. It uses a random loopback IP address, since
// the ephemeral port of an outgoing connection from 127.0.0.1 could take the port in the
// meantime.
func FreeAddress() (string, error) {
	listener, err := net.Listen("tcp", fmt.Sprintf("127.%d.%d.%d:0", 1+rand.IntN(250), rand.IntN(250), 1+rand.IntN(250)))
	if err != nil {
		return "", errors.Wrap(err, "find a free port")
	}
	defer listener.Close()
	return listener.Addr().String(), nil
}
