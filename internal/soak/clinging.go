package soak

import (
	"bufio"
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"time"
)

// clingingCaller asks one router over one connection, whatever its answers say of
// closing it, until the connection ends; then it takes another router. So connections
// stay open until a process that stops is gone.
func (s *Soak) clingingCaller(ctx context.Context, number int) {
	for count := 0; wait(ctx, callPause); {
		to := s.routers[rand.IntN(len(s.routers))]
		connection, err := net.DialTimeout("tcp", to.listen, time.Second)
		if err != nil {
			continue
		}
		reader := bufio.NewReader(connection)
		for open := true; open && wait(ctx, callPause); count++ {
			c := &call{id: fmt.Sprintf("k%d-%d", number, count), kind: kinds[rand.IntN(len(kinds))], key: s.key()}
			open = s.askOver(connection, reader, c, to)
			s.results.add(c)
		}
		_ = connection.Close()
	}
}

// askOver makes one call over a connection. False says that the connection is over.
func (s *Soak) askOver(connection net.Conn, reader *bufio.Reader, c *call, to *program) bool {
	request, err := s.request(c, to)
	if err != nil {
		return false
	}
	c.sent = s.now()
	_ = connection.SetDeadline(time.Now().Add(callLimit))
	if err := request.Write(connection); err != nil {
		return false
	}
	response, err := http.ReadResponse(reader, request)
	if err != nil {
		return false
	}
	c.take(response)
	return c.whole
}
