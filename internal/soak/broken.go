package soak

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"time"
)

const (
	// brokenPause is the mean time between two times in which back ends send broken responses, and maxBroken the
	// number of such back ends.
	brokenPause = time.Second
	maxBroken   = 3
)

// injectBrokenResponses makes back ends send broken responses at times until the context ends. It does nothing with an
// older build, which passes some of them on.
func (s *Soak) injectBrokenResponses(ctx context.Context) {
	if s.config.Older != "" {
		return
	}
	r := rand.New(rand.NewPCG(s.config.Seed, 12))
	for wait(ctx, time.Duration(r.Int64N(int64(2*brokenPause)))) {
		all := s.listBackends()
		r.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
		chosen := all[:min(1+r.IntN(maxBroken), len(all))]
		for _, b := range chosen {
			b.broken.Store(true)
		}
		wait(ctx, faultDuration(r))
		for _, b := range chosen {
			b.broken.Store(false)
		}
	}
}

// brokenResponses are responses to a request that are no HTTP. Routers must not pass them on.
var brokenResponses = []string{
	"HTTP/1.1 000 None\r\n%s\r\nContent-Length: 4\r\n\r\nbad!",
	"HTTP/1.1 050 None\r\n\r\nHTTP/1.1 200 OK\r\n%s\r\nContent-Length: 4\r\n\r\nbad!",
	"HTTP/1.1 600 None\r\n%s\r\nContent-Length: 4\r\n\r\nbad!",
	"HTTP/1.1 200 OK\r\n%s\r\nX Broken: 1\r\nContent-Length: 4\r\n\r\nbad!",
	"HTTP/1.1 200 OK\r\n%s\r\nX\x01Broken: 1\r\nContent-Length: 4\r\n\r\nbad!",
	"HTTP/1.1 503 Busy\r\nRetry-After: 9\r\n%s\r\nContent-Length : 4\r\n\r\nbad!",
	"HTTP/1.0 200 OK\r\n%s\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbad!\r\n0\r\n\r\n",
}

// respondBroken sends one of brokenResponses with the ID of a request and its seal.
func respondBroken(w http.ResponseWriter, id string, number int) {
	disconnectAfter(w, fmt.Sprintf(brokenResponses[number], headerOf(id)))
}

// headerOf returns the fields that each response to a request has.
func headerOf(id string) string {
	return names.RequestID + ": " + id + "\r\n" + names.Signature + ": " + sealOf(id)
}

// partPauseBeforeReset lets a part of a response arrive before its connection is reset.
const partPauseBeforeReset = 60 * time.Millisecond

// resetDuringUpload sends a part of a response without a length before the request has been read, and resets the
// connection.
func (b *backend) resetDuringUpload(w http.ResponseWriter, a *attempt) {
	b.soak.recordBrokenOff(a)
	b.soak.resetUploads.Add(1)
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\n"+headerOf(a.id)+"\r\n\r\n"+string(answerOf(a.id, nil)))
	time.Sleep(partPauseBeforeReset)
	_ = conn.(*net.TCPConn).SetLinger(0)
	_ = conn.Close()
}
