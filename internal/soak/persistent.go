package soak

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"syscall"
	"time"

	"quinceridge.example/quinceridge/internal/httpwire"
	"quinceridge.example/quinceridge/internal/socket"
)

// persistentCaller sends requests to one router over a single connection and ignores
// "Connection: close". When the connection ends it picks another router. This keeps connections
// open until a stopping router has exited.
func (s *Soak) persistentCaller(ctx context.Context, number int) {
	for count := 0; wait(ctx, callPause); {
		to := s.routers[rand.IntN(len(s.routers))]
		connection, err := net.DialTimeout("tcp", to.listen, time.Second)
		if err != nil {
			continue
		}
		k := &persistentConnection{TCPConn: connection.(*net.TCPConn), wrapped: socket.ReportResets(connection)}
		k.reader = httpwire.NewReader(k.wrapped)
		for open := true; open && wait(ctx, callPause); count++ {
			c := &call{id: fmt.Sprintf("k%d-%d", number, count), kind: kinds[rand.IntN(len(kinds))], key: s.key(), upload: rand.IntN(uploadEvery) == 0}
			open = s.sendOver(k, c, to)
			s.results.add(c)
		}
		_ = connection.Close()
	}
}

// persistentConnection is a connection that is used until it ends.
type persistentConnection struct {
	*net.TCPConn
	// wrapped tells resets from ends, and reader reads from it.
	wrapped net.Conn
	reader  *httpwire.Reader
	// closing is set once the router has announced that it closes the connection.
	closing bool
}

// sendOver makes one call over a connection and returns false if the connection can't be used
// again.
func (s *Soak) sendOver(k *persistentConnection, c *call, to *program) bool {
	request, err := s.request(c, to)
	if err != nil {
		return false
	}
	c.address, c.sent = k.LocalAddr().String(), s.now()
	defer func() { c.took = s.now() - c.sent }()
	_ = k.SetDeadline(time.Now().Add(callTimeout))
	if err := request.Write(k.wrapped); err != nil {
		return false
	}
	c.whole = true
	ended := k.closing || k.hasEnded()
	response, err := k.reader.ReadResponse(request)
	if err != nil {
		c.noteError(err)
		// The system resets a connection that is closed while bytes wait in it, unless the router had ended its
		// side before.
		var failed net.Error
		c.dropped = !ended && !errors.As(err, &failed)
		return false
	}
	k.closing = response.Close
	c.readResponse(response)
	return c.complete
}

// hasEnded reports whether the router has ended its side, true if that is not known.
func (k *persistentConnection) hasEnded() bool {
	raw, err := k.SyscallConn()
	if err != nil {
		return true
	}
	ended := true
	err = raw.Read(func(fd uintptr) bool {
		n, _, err := syscall.Recvfrom(int(fd), make([]byte, 1), syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		ended = n <= 0 && !errors.Is(err, syscall.EAGAIN)
		return true
	})
	return err != nil || ended
}
