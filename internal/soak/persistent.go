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
		reader := bufio.NewReader(connection)
		for open := true; open && wait(ctx, callPause); count++ {
			c := &call{id: fmt.Sprintf("k%d-%d", number, count), kind: kinds[rand.IntN(len(kinds))], key: s.key()}
			open = s.sendOver(connection, reader, c, to)
			s.results.add(c)
		}
		_ = connection.Close()
	}
}

// sendOver makes one call over a connection and returns false if the connection can't be used
// again.
func (s *Soak) sendOver(connection net.Conn, reader *bufio.Reader, c *call, to *program) bool {
	request, err := s.request(c, to)
	if err != nil {
		return false
	}
	c.sent = s.now()
	defer func() { c.took = s.now() - c.sent }()
	_ = connection.SetDeadline(time.Now().Add(callTimeout))
	if err := request.Write(connection); err != nil {
		return false
	}
	response, err := http.ReadResponse(reader, request)
	if err != nil {
		return false
	}
	c.readResponse(response)
	return c.complete
}
