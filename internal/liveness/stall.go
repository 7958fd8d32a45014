// Package liveness tells engines that have stopped responding from slow ones by the running streams
// of all routers. Routers track their requests with Streams and report them as Stalls; the leader
// passes these to a Detector. The package does no I/O; callers pass the time.
package liveness

import "time"

const (
	// EventWindow is the time without an event on any stream after which an engine may be
	// unresponsive. Between two events of a stream, an engine that runs 64 requests and processes a
	// prompt chunk in each of its 8 steps takes 0.27 s.
	EventWindow = 600 * time.Millisecond
	// MaxStalls bounds the engines in one report.
	MaxStalls = 64
)

// Stall is a router's report on its streams at one engine.
type Stall struct {
	Engine string `json:"id"`
	// Streams is the number of running streams, Overdue the number of those whose next event is
	// later than their route permits, and Active that of streams with an event since the last
	// report.
	Streams int `json:"n,omitempty"`
	Overdue int `json:"o,omitempty"`
	Active  int `json:"e,omitempty"`
	// Age is the time since the newest event of any stream.
	Age time.Duration `json:"a,omitempty"`
}
