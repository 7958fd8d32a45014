package forward

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"syscall"
	"time"

	"quinceridge.example/quinceridge/internal/backends"
	"quinceridge.example/quinceridge/internal/reachability"
	"quinceridge.example/quinceridge/internal/relay"
	"quinceridge.example/quinceridge/internal/upstream"
)

const (
	// maxRelays bounds the routers to which a request is passed on one after the other, when they
	// decline it or cannot be reached.
	maxRelays = 3
	// maxShareRelays bounds the routers to which a request is passed on because this router has no part
	// of the free capacity left: under overload the others have none either.
	maxShareRelays = 2
	// shareRelayDelay is the time for which such a request waits before it is passed on. A single late
	// answer of the leader is no loss of it.
	shareRelayDelay = 100 * time.Millisecond
	// relaySilenceFactor is the timeout for the first byte of a retryable request that was passed
	// on, in latency targets of its route. It may wait in the queue of its pool there.
	relaySilenceFactor = 4
	// lostRetryAfter is the Retry-After, before jitter, of a request for a pool that neither this
	// router nor another one reaches: the path has been checked again by then.
	lostRetryAfter = 500 * time.Millisecond
)

// Relays are the other routers to which this one may pass requests on.
type Relays interface {
	// Known returns their number.
	Known() int
	// Choose returns one for a request to a pool, except those tried. Done ends its use.
	Choose(now time.Duration, pool string, tried []string, draw float64) (address string, done func(), found bool)
	// Responded records that one has responded.
	Responded(now time.Duration, address string)
	// Declined records that one cannot serve a pool, and Unreachable that one was not reached.
	Declined(now time.Duration, address, pool string)
	Unreachable(now time.Duration, address string)
	// Outdated records that one declined a request because its configuration is older.
	Outdated(now time.Duration, address string)
}

var (
	errNoRelay       = errors.New("no router reaches the back ends")
	errDeclined      = errors.New("declined")
	errOtherSoftware = errors.New("the other router does not confirm the software version of the stream")
	// errNewerConfiguration is the outcome at a router whose configuration is newer and does not allow the
	// request.
	errNewerConfiguration = errors.New("a newer configuration does not allow the request")
	errOrigin             = errors.New("an attempt at the router of the client may have run the request")
)

// pathLost reports whether no back end of a job's pool can be reached from here.
func (h *Handler) pathLost(j *job) bool {
	return h.config.Paths.Verdict(j.pool.Name) == reachability.Lost
}

// needsRelay reports whether a request is to be passed on to another router. One that another router
// has passed on is not: it would be declined instead.
func (h *Handler) needsRelay(j *job) bool {
	return j.origin == nil && !j.unrelayed && h.config.Relays != nil && h.pathLost(j) && h.config.Relays.Known() > 0
}

// passesOnShare reports whether a request is to be passed on because this router, which decides without
// the leader, has no part of the pool's free capacity left. Others may have parts that they do not use:
// demand may have moved here since the last announcement.
func (h *Handler) passesOnShare(j *job) bool {
	return j.beyondRoom && !j.shareAsked && j.origin == nil && h.config.Relays != nil && h.config.Relays.Known() > 0
}

// declinesShare reports whether a request that another router passed on must be declined because this
// one has no part of the free capacity left either.
func (h *Handler) declinesShare(j *job) bool {
	return j.origin != nil && j.ran == j.origin.Ran && j.beyondRoom
}

// unreachable reports whether a request must be refused at once, since neither this router nor
// another one reaches the pool.
func (h *Handler) unreachable(j *job) bool {
	return h.pathLost(j) && !h.config.Paths.MayTry(h.clock(), j.pool.Name)
}

// passOn passes a request on to other routers, at most limit ones, until one accepts it, and forwards
// the response.
func (h *Handler) passOn(ctx context.Context, s *session, limit int) outcome {
	a, result := h.openRelay(ctx, s, limit)
	if a == nil {
		return result
	}
	defer a.close()
	if result.err != nil {
		s.job.brokenRelays = append(s.job.brokenRelays, a.relay)
		return result
	}
	return h.forward(s, a)
}

// openRelay passes a request on to other routers, at most limit ones, until one accepts it. It returns
// no attempt if none does. The attempt has a response unless the outcome has an error.
func (h *Handler) openRelay(ctx context.Context, s *session, limit int) (*attempt, outcome) {
	j := s.job
	h.returnQuota(j)
	result := outcome{verdict: notRun, err: errNoRelay}
	// A router that broke an earlier attempt off is asked again if there is no other one.
	broken := j.brokenRelays
	var tried []string
	for len(tried) < limit {
		address, done, found := h.config.Relays.Choose(h.clock(), j.pool.Name, append(slices.Clone(tried), broken...), rand.Float64())
		if !found && len(broken) > 0 {
			broken = nil
			continue
		}
		if !found {
			break
		}
		tried = append(tried, address)
		var a *attempt
		a, result = h.openVia(ctx, s, address)
		a.onClose = append(a.onClose, done)
		if result.verdict != notRun || result.err == nil {
			return a, result
		}
		a.close()
		if ctx.Err() != nil || h.now() >= j.deadline || errors.Is(result.err, errNewerConfiguration) {
			break
		}
	}
	return nil, result
}

// openVia passes a request on to one router. The attempt has a response unless the outcome has an
// error. It must be closed.
func (h *Handler) openVia(ctx context.Context, s *session, address string) (*attempt, outcome) {
	j := s.job
	a := h.newAttempt(ctx, s)
	a.relay = address
	s.attempted, s.relay, s.attemptedAt, s.gaveUp = backends.Choice{}, address, a.started, nil
	text := fmt.Sprintf("passed on to router %s, path lost for %d ms", address, h.config.Paths.LostFor(h.clock(), j.pool.Name).Milliseconds())
	if j.beyondRoom {
		text = "passed on to router " + address + ", no part of the free capacity left"
	}
	request := h.requestVia(s)
	request.OnHeld, request.Admit = a.onHeld, a.admit
	s.race.begin(a)
	a.silence = h.watchSilence(a, relaySilenceFactor)
	a.onClose = append(a.onClose, a.silence.stop)
	response, err := h.config.RelayConnections.Do(a.ctx, address, request)
	if err != nil {
		s.race.end(a)
		s.gaveUp = givenUp(a.ctx)
		return a, h.relayError(a, text, err)
	}
	a.begin(response)
	h.config.Relays.Responded(h.clock(), address)
	j.trace = append(j.trace, text+": "+strconv.Itoa(response.StatusCode))
	if declined := response.Header.Get(relay.HeaderDeclined); declined != "" {
		s.race.end(a)
		h.metrics.relaysDeclined.Add(1)
		return a, outcome{verdict: notRun, err: h.declinedBy(a, declined)}
	}
	h.metrics.passedOn.Add(1)
	h.metrics.relayDelay.add(h.now() - a.started)
	return a, outcome{}
}

// declinedBy records that another router has declined a request, and returns the error for that.
func (h *Handler) declinedBy(a *attempt, declined string) error {
	j := a.session.job
	switch declined {
	case relay.DeclinedShare:
		return errDeclined
	case relay.DeclinedConfiguration:
		// A version that cannot be parsed is 0: the router gets no more requests for a while.
		theirs, _ := strconv.ParseUint(a.response.Header.Get(relay.HeaderConfiguration), 10, 64)
		if theirs > j.table.Version {
			j.newerConfiguration = theirs
			return errNewerConfiguration
		}
		h.config.Relays.Outdated(h.clock(), a.relay)
		return errDeclined
	}
	h.config.Relays.Declined(h.clock(), a.relay, j.pool.Name)
	return errDeclined
}

// relayError returns the outcome of an attempt through another router that received no response header.
func (h *Handler) relayError(a *attempt, text string, err error) outcome {
	if cause := context.Cause(a.ctx); cause != nil {
		err = fmt.Errorf("%w (%w)", err, cause)
	}
	if a.ctx.Err() == nil && (errors.Is(err, upstream.ErrNotSent) || errors.Is(err, syscall.ETIMEDOUT)) {
		h.config.Relays.Unreachable(h.clock(), a.relay)
	}
	a.session.job.trace = append(a.session.job.trace, text+": "+err.Error())
	if errors.Is(err, upstream.ErrNotSent) {
		return outcome{verdict: notRun, err: err}
	}
	if errors.Is(err, upstream.ErrIncomplete) {
		// A router sends a request only once it has read all of it.
		return outcome{verdict: notRun, err: err, delivered: true}
	}
	return outcome{verdict: mayHaveRun, err: err, delivered: true}
}

// requestVia returns the client's request as another router receives it, with the client's own
// credentials.
func (h *Handler) requestVia(s *session) *upstream.Request {
	j, names := s.job, &h.config.Headers
	header := j.request.Header.Clone()
	for _, name := range names.Reserved() {
		header.Del(name)
	}
	if j.authorization != "" {
		header.Set("Authorization", j.authorization)
	}
	if s.lastEventID != "" {
		header.Set(names.LastEvent, s.lastEventID)
	}
	header.Set(names.Deadline, strconv.FormatInt(max((j.deadline-h.now()).Milliseconds(), 1), 10))
	origin := relay.Origin{Router: h.config.Name, Age: h.now() - j.receivedAt, Ran: j.ran, Delivered: j.deliveries, Counted: j.counted,
		Configuration: j.table.Version, Writer: s.boundTo()}
	header.Set(relay.HeaderOrigin, origin.Encode())
	return &upstream.Request{Method: j.request.Method, Target: j.request.Target, Host: j.request.Host, Header: header, Body: j.request.Body, ID: j.id,
		NonIdempotent: j.request.NonIdempotent, Patience: j.deadline - h.now()}
}

// forwardVia forwards the response of another router. Failures are final: the other router has made
// all attempts that the route allows.
func (h *Handler) forwardVia(s *session, a *attempt) outcome {
	j, response := s.job, a.response
	if response.StatusCode == http.StatusOK && j.query.Software != "" && response.Header.Get(relay.HeaderSoftware) != string(j.query.Software) {
		// Routers of older builds ignore the version.
		return outcome{verdict: mayHaveRun, err: errOtherSoftware, delivered: true}
	}
	if response.StatusCode < http.StatusInternalServerError && !notRunStatuses[response.StatusCode] {
		return h.forwardResponse(s, a)
	}
	body, whole, err := readPrefix(response, maxBufferedBody, &j.memory)
	switch {
	case err != nil:
		return outcome{verdict: mayHaveRun, err: err, delivered: true}
	case s.headerSent:
		return outcome{verdict: mayHaveRun, err: errServerError, delivered: true}
	case whole:
		return outcome{verdict: failed, err: errServerError, final: &bufferedResponse{status: response.StatusCode, header: response.Header, body: body}}
	case !s.race.goesOn():
		return replaced()
	default:
		if err := s.streamBody(response, body); err != nil {
			return outcome{verdict: mayHaveRun, err: err, delivered: true}
		}
		return outcome{verdict: done}
	}
}

// ServeRelayed handles a request that another router passes on. The client's credentials are checked
// as if it had sent the request here, so that the port grants nothing to others.
func (h *Handler) ServeRelayed(w http.ResponseWriter, r *http.Request) {
	origin, err := relay.ParseOrigin(r.Header.Get(relay.HeaderOrigin))
	if err != nil {
		if h.relayLines.Allow(h.clock(), maxRefusalLines) {
			h.config.Logger.Warn("request of another router rejected", "part", "relay", "remote", r.RemoteAddr, "error", err.Error())
		}
		h.refuse(w, &job{id: r.Header.Get(h.config.Headers.RequestID)}, &refusal{status: http.StatusBadRequest, reason: err.Error()})
		return
	}
	if !h.Ready() {
		h.closeIfStopping(w)
		h.decline(w, &job{id: r.Header.Get(h.config.Headers.RequestID), origin: origin}, "this router does not serve")
		return
	}
	if version := h.awaitConfiguration(r.Context(), origin.Configuration); version < origin.Configuration {
		h.declineConfiguration(w, r, origin, version, "its configuration is newer")
		return
	}
	h.serveHTTP(w, r, origin)
}

// decline sends the response to a request of another router that has not run here and is not accepted.
func (h *Handler) decline(w http.ResponseWriter, j *job, reason string) {
	value := "1"
	if j.beyondRoom {
		value = relay.DeclinedShare
	}
	h.declineAs(w, j, value, reason)
}

// declineAs is decline with the value of the response header that tells why.
func (h *Handler) declineAs(w http.ResponseWriter, j *job, value, reason string) {
	h.metrics.declined.Add(1)
	w.Header().Set(relay.HeaderDeclined, value)
	h.refuse(w, j, &refusal{status: http.StatusServiceUnavailable, reason: "declined for router " + j.origin.Router + ": " + reason, retryAfter: lostRetryAfter})
}

// declines reports whether a request that another router passed on must be declined because the pool
// cannot be reached from here either.
func (h *Handler) declines(j *job) bool {
	return j.origin != nil && j.ran == j.origin.Ran && h.pathLost(j)
}

// relayed returns the name of the router that passed a request on, for the log; empty for none.
func (j *job) relayed() string {
	if j.origin == nil {
		return ""
	}
	name, _, _ := strings.Cut(j.origin.Router, "/")
	return name
}

// checkRelayed returns why the response of another router does not serve beside an open attempt, whose
// back end may still answer. It has no error for other responses.
func (s *session) checkRelayed(a *attempt) outcome {
	switch {
	case a.relay == "":
		return outcome{}
	case a.response.StatusCode >= http.StatusInternalServerError || notRunStatuses[a.response.StatusCode]:
		return outcome{verdict: mayHaveRun, err: errServerError, delivered: true}
	case a.response.StatusCode == http.StatusOK && s.job.query.Software != "" && a.response.Header.Get(relay.HeaderSoftware) != string(s.job.query.Software):
		return outcome{verdict: mayHaveRun, err: errOtherSoftware, delivered: true}
	}
	return outcome{}
}
