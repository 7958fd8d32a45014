package forward

import (
	"cmp"
	"context"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"net/http"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"quinceridge.example/quinceridge/internal/backends"
	"quinceridge.example/quinceridge/internal/coordapi"
	"quinceridge.example/quinceridge/internal/relay"
	"quinceridge.example/quinceridge/internal/resumption"
	"quinceridge.example/quinceridge/internal/state"
	"quinceridge.example/quinceridge/internal/traffic"
	"quinceridge.example/quinceridge/internal/upstream"
)

// unknownWriterRetryAfter is the Retry-After, before jitter, of a resumed stream whose software version no
// coordinator could be asked for: another one leads by then.
const unknownWriterRetryAfter = 400 * time.Millisecond

var (
	errWriterUnknown = errors.New("the software version that began the stream is not known")
	errPoolMoved     = errors.New("the route no longer leads to the pool that began the stream")
	errUnbound       = errors.New("several software versions may have begun the stream")
)

// Resumptions keeps which back end began each stream.
type Resumptions interface {
	// RecordStream records the back end that began a stream, for this router and others.
	RecordStream(r resumption.Record)
	// LocalStream returns what this router has recorded of a stream.
	LocalStream(key resumption.Key) (writer resumption.Writer, recorded bool)
	// FindStream asks the coordinators. The error is set if none responded.
	FindStream(ctx context.Context, key resumption.Key) (writer resumption.Writer, recorded bool, err error)
}

// continuation is what a client states about the stream that it resumes. It is empty for a new stream.
type continuation struct {
	// attempt is the ID of the attempt that brought the stream's first event, and event the ID of the
	// last event that the client received.
	attempt, event string
	// writer is the back end that began the stream, empty if the stream may go on anywhere, and source is
	// where that is known from.
	writer resumption.Writer
	source writerSource
}

// writerSource is where the back end that began a stream is known from.
type writerSource string

const (
	sourceRouter       writerSource = "router"
	sourceCoordinators writerSource = "coordinators"
	sourceRelay        writerSource = "relay"
)

func (h *Handler) continuationOf(header http.Header) continuation {
	return continuation{attempt: header.Get(h.config.Headers.Resumes), event: header.Get(h.config.Headers.LastEvent)}
}

// resumed reports whether the client has events of the stream.
func (c *continuation) resumed() bool { return c.attempt != "" || c.event != "" }

// bind makes a resumed stream go on at the pool and the software version that began it. It returns the
// refusal of a stream that must not go on. Where one version may have begun the stream, nothing binds it.
func (h *Handler) bind(r *http.Request, j *job) *refusal {
	c := &j.continuation
	switch {
	case j.origin != nil && j.origin.Writer.Known():
		c.writer, c.source = j.origin.Writer, sourceRelay
	case j.route.Kind != traffic.KindStream || h.config.Resumptions == nil || !c.resumed():
		return nil
	default:
		err := h.findWriter(r.Context(), j)
		if !h.mixed(j.route, c.writer.Pool) {
			c.writer = resumption.Writer{}
			return nil
		}
		if err != nil || !c.writer.Known() {
			return h.refuseUnknownWriter(err)
		}
	}
	if !leadsTo(j.route, c.writer.Pool) {
		h.metrics.refusedMoved.Add(1)
		return &refusal{status: http.StatusServiceUnavailable, reason: errPoolMoved.Error()}
	}
	if j.pool.Name != c.writer.Pool {
		j.pool = j.table.Pool(c.writer.Pool)
		if !h.buildRequest(r, j) {
			return h.refuseMemory()
		}
	}
	j.query.Software = c.writer.Software
	return nil
}

// unbound reports whether a stream that was resumed while one software version served may have been begun by
// another one than serves next.
func (s *session) unbound() bool {
	h, j := s.handler, s.job
	return j.continuation.resumed() && !s.headerSent && j.route.Kind == traffic.KindStream && h.config.Resumptions != nil &&
		j.query.Software == "" && h.mixed(j.route, "")
}

// bindLate binds an unbound stream to the version that began it.
func (s *session) bindLate(ctx context.Context) error {
	j := s.job
	err := s.handler.findWriter(ctx, j)
	writer := j.continuation.writer
	switch {
	case err == nil && !writer.Known():
		err = errWriterUnknown
	case err == nil && writer.Pool != j.pool.Name:
		err = errPoolMoved
	}
	if err != nil {
		j.continuation.writer = resumption.Writer{}
		return err
	}
	j.query.Software = writer.Software
	return nil
}

// refuseUnbound ends a request whose stream bindLate has not bound. Ran is the result of the last attempt that may
// have run.
func (h *Handler) refuseUnbound(ctx context.Context, s *session, err error, ran outcome) {
	if s.job.ran > 0 {
		s.job.noAttempt = err.Error()
		h.finish(ctx, s, ran)
		return
	}
	out := &refusal{status: http.StatusServiceUnavailable, reason: err.Error(), retryAfter: unknownWriterRetryAfter + rand.N(unknownWriterRetryAfter/2)}
	if errors.Is(err, errPoolMoved) {
		// The next try goes to that pool if the route still leads there.
		h.metrics.refusedMoved.Add(1)
	} else {
		out = h.refuseUnknownWriter(err)
	}
	h.refuse(s.client, s.job, out)
}

// findWriter looks up the back end that began a stream: in this router's records and, while several
// versions may have begun it, in those of the coordinators.
func (h *Handler) findWriter(ctx context.Context, j *job) error {
	c := &j.continuation
	if c.attempt == "" {
		return errWriterUnknown
	}
	key := resumption.KeyOf(j.tenantName(), c.attempt)
	var recorded bool
	if c.writer, recorded = h.config.Resumptions.LocalStream(key); recorded {
		c.source = sourceRouter
		return nil
	}
	if !h.mixed(j.route, "") {
		return errWriterUnknown
	}
	var err error
	c.writer, recorded, err = h.config.Resumptions.FindStream(ctx, key)
	switch {
	case err != nil:
		return err
	case !recorded:
		return errWriterUnknown
	}
	c.source = sourceCoordinators
	return nil
}

// mixed reports whether streams of a route, or of a further pool, may have been begun by several software
// versions.
func (h *Handler) mixed(route *traffic.Route, pool string) bool {
	for _, share := range route.Split {
		if h.severalVersions(share.Pool) {
			return true
		}
	}
	return pool != "" && h.severalVersions(pool)
}

// severalVersions reports whether back ends of several software versions may have begun the streams of a
// pool.
func (h *Handler) severalVersions(pool string) bool {
	versions := h.config.Pool.SoftwareVersions(pool)
	return versions.Several()
}

// leadsTo reports whether a route sends requests to a pool.
func leadsTo(route *traffic.Route, pool string) bool {
	return slices.ContainsFunc(route.Split, func(share traffic.Share) bool { return share.Pool == pool })
}

// softwareGone returns the choice for a request that has to go on at a software version of which this
// router lists no back end that serves it or loads weights. The leader may list more.
func (h *Handler) softwareGone(j *job) (choice backends.Choice, gone bool) {
	if j.query.Software == "" || h.config.Pool.ServesSoftware(&j.query) {
		return choice, false
	}
	choice.Reason = coordapi.SoftwareGone
	if j.standalone {
		choice.RetryAfter = unknownWriterRetryAfter + rand.N(unknownWriterRetryAfter/2)
	}
	return choice, true
}

// refuseUnknownWriter returns the refusal of a stream whose version is not known. Only a lookup
// without a response may succeed later.
func (h *Handler) refuseUnknownWriter(err error) *refusal {
	h.metrics.refusedUnknownWriter.Add(1)
	out := &refusal{status: http.StatusServiceUnavailable, reason: errWriterUnknown.Error()}
	if err != nil && !errors.Is(err, errWriterUnknown) {
		out.reason += ": " + err.Error()
		out.retryAfter = unknownWriterRetryAfter + rand.N(unknownWriterRetryAfter/2)
	}
	return out
}

// begin records that a back end has written the first event of a response, before the client gets it.
func (s *session) begin(response *upstream.BackendResponse) {
	h, j := s.handler, s.job
	writer := resumption.Writer{Pool: j.pool.Name, Backend: s.attempted.ID, Software: s.attempted.Software}
	if s.attempted.ID == "" {
		writer.Software = state.SoftwareVersion(response.Header.Get(relay.HeaderSoftware))
		// The other router has chosen the pool. Those of older builds do not name it.
		writer.Pool = cmp.Or(response.Header.Get(relay.HeaderPool), writer.Pool)
	}
	s.race.advance(func(p *position) { p.writer = writer })
	h.metrics.streams.add(s.writer.Software)
	if h.config.Resumptions == nil || !j.route.Resumable {
		return
	}
	left := j.streamLife()
	for _, attempt := range []string{j.id, j.continuation.attempt} {
		if attempt != "" {
			h.config.Resumptions.RecordStream(resumption.Record{Key: resumption.KeyOf(j.tenantName(), attempt), Writer: s.writer, Left: left, Identified: response.Identified()})
		}
	}
}

// requiredStart returns the start time of the start that has to serve an attempt, 0 if that does not matter: a
// process that has taken the name of a back end may have another software version, also where one serves, since
// no heartbeat may have reported it yet. Expected is set where one serves and the client has no events.
func (h *Handler) requiredStart(j *job, running *backends.Attempt) (born state.UnixMilli, expected bool) {
	if !j.route.Resumable || j.route.Kind != traffic.KindStream {
		return 0, false
	}
	return running.Born(), !j.continuation.resumed() && !h.severalVersions(j.pool.Name)
}

// streamLife returns the time for which the client of a request may resume its stream: as long as it waits
// for it, and no longer than streams are resumed at all.
func (j *job) streamLife() time.Duration { return min(j.clientWait, resumption.Life(j.route.Timeout)) }

// keepVersion makes the next attempt at a stream that has begun go on at the software version that wrote
// its events. It returns false if that is not known and several may have.
func (s *session) keepVersion() bool {
	h, j := s.handler, s.job
	if !s.headerSent {
		return true
	}
	writer := s.writer
	if h.config.Resumptions != nil {
		if recorded, is := h.config.Resumptions.LocalStream(resumption.KeyOf(j.tenantName(), j.id)); is {
			writer = recorded
		}
	}
	if !writer.Known() && h.severalVersions(j.pool.Name) {
		h.metrics.refusedUnknownWriter.Add(1)
		return false
	}
	j.query.Software = writer.Software
	return true
}

// boundTo returns the writer whose software version the next attempt has to go on at; empty for any.
func (s *session) boundTo() resumption.Writer {
	switch {
	case s.job.query.Software == "":
		return resumption.Writer{}
	case s.headerSent:
		return s.writer
	}
	return s.job.continuation.writer
}

// attributes describes the stream of a response for the log.
func (s *session) attributes() slog.Attr {
	c := &s.job.continuation
	attributes := []any{slog.String("software", string(s.writer.Software))}
	if c.resumed() {
		attributes = append(attributes, c.attributes()...)
	}
	return slog.Group("stream", attributes...)
}

// maxLoggedName bounds the clients' names of streams and events in log lines, in bytes.
const maxLoggedName = 64

// group describes a resumed stream for the log. It is empty for a new one.
func (c *continuation) group() slog.Attr {
	if !c.resumed() {
		return slog.Attr{}
	}
	return slog.Group("stream", c.attributes()...)
}

func (c *continuation) attributes() []any {
	return []any{slog.String("resumes", fmt.Sprintf("%.*q", maxLoggedName, c.attempt)), slog.String("after_event", fmt.Sprintf("%.*q", maxLoggedName, c.event)),
		slog.String("begun_by", c.writer.Backend), slog.String("begun_at", string(c.writer.Software)), slog.String("known_from", string(c.source))}
}
