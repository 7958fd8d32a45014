package forward

import (
	"fmt"
	"io"
	"log/slog"
	"maps"
	"net/http"
	"slices"
	"sync"

	"quinceridge.example/quinceridge/internal/state"
)

const (
	// maxLoggedName bounds the clients' names of streams and events in log lines, in bytes.
	maxLoggedName = 64
	// maxCountedVersions bounds the software versions with metrics of their own.
	maxCountedVersions = 16
	// otherVersions is the label of the streams at all further versions.
	otherVersions = "other"
)

// continuation is what a client states about the stream that it resumes. It is empty for a new stream.
type continuation struct {
	// attempt is the ID of the attempt that brought the stream's first event, and event the ID of the
	// last event that the client received.
	attempt, event string
}

func (h *Handler) continuationOf(header http.Header) continuation {
	return continuation{attempt: header.Get(h.config.Headers.Resumes), event: header.Get(h.config.Headers.LastEvent)}
}

// resumed reports whether the client has events of the stream.
func (c *continuation) resumed() bool { return c.attempt != "" || c.event != "" }

// begin records that the back end of the present attempt has written the first event.
func (s *session) begin() {
	s.software = s.attempted.Software
	s.handler.metrics.streams.add(s.software)
}

// attributes describes the stream of a response for the log.
func (s *session) attributes() slog.Attr {
	c := &s.job.continuation
	attributes := []any{slog.String("software", string(s.software))}
	if c.resumed() {
		attributes = append(attributes, slog.String("resumes", fmt.Sprintf("%.*q", maxLoggedName, c.attempt)),
			slog.String("after_event", fmt.Sprintf("%.*q", maxLoggedName, c.event)))
	}
	return slog.Group("stream", attributes...)
}

// streamCounts counts the streams whose first event was sent, by software version. It is safe for
// concurrent use.
type streamCounts struct {
	mu     sync.Mutex
	counts map[state.SoftwareVersion]uint64
}

func (c *streamCounts) add(version state.SoftwareVersion) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.counts == nil {
		c.counts = map[state.SoftwareVersion]uint64{}
	}
	if _, counted := c.counts[version]; !counted && len(c.counts) >= maxCountedVersions {
		version = otherVersions
	}
	c.counts[version]++
}

func (c *streamCounts) writeTo(w io.Writer, name string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, version := range slices.Sorted(maps.Keys(c.counts)) {
		_, _ = fmt.Fprintf(w, "%s{software=%q} %d\n", name, string(version), c.counts[version])
	}
}
