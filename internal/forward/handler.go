// Package forward handles client requests: it checks a request against the configuration in
// force, chooses back ends, sends the request, retries it where that is allowed, and forwards
// one complete response or one ordered stream.
package forward

import (
	"context"
	"errors"
	"io"
	"log/slog"
	"math"
	"math/rand/v2"
	"net/http"
	"os"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"quinceridge.example/quinceridge/internal/backends"
	"quinceridge.example/quinceridge/internal/bounded"
	"quinceridge.example/quinceridge/internal/cachemiss"
	"quinceridge.example/quinceridge/internal/clock"
	"quinceridge.example/quinceridge/internal/coordapi"
	"quinceridge.example/quinceridge/internal/fairshare"
	"quinceridge.example/quinceridge/internal/listener"
	"quinceridge.example/quinceridge/internal/liveness"
	"quinceridge.example/quinceridge/internal/memory"
	"quinceridge.example/quinceridge/internal/periodic"
	"quinceridge.example/quinceridge/internal/poison"
	"quinceridge.example/quinceridge/internal/pushback"
	"quinceridge.example/quinceridge/internal/quota"
	"quinceridge.example/quinceridge/internal/ratelimit"
	"quinceridge.example/quinceridge/internal/reachability"
	"quinceridge.example/quinceridge/internal/relay"
	"quinceridge.example/quinceridge/internal/state"
	"quinceridge.example/quinceridge/internal/traffic"
	"quinceridge.example/quinceridge/internal/upstream"
	"quinceridge.example/quinceridge/internal/vocabulary"
)

const (
	// responseMargin is the time before the client's deadline at which the final response is
	// sent if no other one has begun.
	responseMargin = 30 * time.Millisecond
	// freshWait is the time that a request waits for Source.Fresh, polled every freshStep.
	freshWait = 300 * time.Millisecond
	freshStep = 5 * time.Millisecond
	// minRetryAfter is the lowest Retry-After while the router may not serve.
	minRetryAfter = 500 * time.Millisecond
	// acceptTime is the time after the start of a stop for which requests are accepted that may outlast it. Clients
	// use other routers by then.
	acceptTime = 3 * time.Second
	// maxRefusalLines bounds the log lines on refusals within a second, and maxLoggedID the bytes of a
	// request ID in one.
	maxRefusalLines = 200
	maxLoggedID     = 128
	// memoryRetryAfter is the Retry-After, plus jitter, while the memory for requests is used up.
	memoryRetryAfter = time.Second
)

// Source provides the configuration in force and the state of the lease to serve by it.
type Source interface {
	// Table returns the configuration in force, nil before the first.
	Table() *traffic.Table
	// Fresh reports whether the router may serve now.
	Fresh() bool
	// Routers returns the number of routers that share the traffic.
	Routers() int
	// View returns the revision of the last view of the coordinators' state, 0 for none, and the
	// maximum age of that state.
	View() (revision uint64, age time.Duration)
	// StartupDelay returns an estimate of the time from the start of all processes until the
	// router may serve.
	StartupDelay() time.Duration
}

// Placer chooses engines on behalf of all routers.
type Placer interface {
	// Place chooses an engine. Answered is false if the router must choose locally, and found
	// is false if no engine is available.
	Place(ctx context.Context, q *backends.Query) (choice backends.Choice, found, answered bool)
	// Begun records that the first event of a placement arrived after the given time, and Ended
	// that the placement is over.
	Begun(number uint64, first time.Duration)
	Ended(number uint64)
}

// Claimer grants permits to send to back ends with a limit.
type Claimer interface {
	// Claim asks for a permit to send a request to a back end. Without a permit, wait is the delay
	// until the back end has one, or 0 if its next one is reserved for others; retryAfter is the
	// delay after which the pool has one for this request, or 0 if that is not known.
	Claim(ctx context.Context, q *backends.Query, id coordapi.BackendID) (permit *ratelimit.Permit, wait, retryAfter time.Duration)
}

// Queue is the router's side of the leader's queue.
type Queue interface {
	// Waiting returns the number of requests that wait in it.
	Waiting() int
	// Room returns the capacity of a pool as the leader last announced it, and the number of the announcement. Known is false if
	// none was announced.
	Room(pool string) (room coordapi.Room, announcement uint64, known bool)
}

// SharedBudget grants retries of the burst that all routers share.
type SharedBudget interface {
	// Repeat asks for one retry for a pool. Answered is false if there is no leader to grant
	// it.
	Repeat(ctx context.Context, pool string, burst float64, window time.Duration) (granted, answered bool)
}

// Config configures a Handler.
type Config struct {
	// Name identifies the router.
	Name    string
	Headers vocabulary.Headers
	Source  Source
	// Placer may be nil: the router then chooses engines locally.
	Placer   Placer
	Pool     *backends.Pool
	Upstream *upstream.Pool
	// Pushbacks holds the pushbacks that this router received.
	Pushbacks *pushback.Registry
	// Limits holds the limits that back ends have announced for all routers together.
	Limits *ratelimit.Registry
	// Claimer may be nil: nothing is then sent to back ends with a limit.
	Claimer Claimer
	// Queue may be nil: the router then decides without regard to the capacity of pools while the
	// leader does not answer.
	Queue Queue
	// SharedBudget may be nil: the router then uses an even part of the burst.
	SharedBudget SharedBudget
	Saved        *Saved
	// Observer may be nil: nothing is then blocked.
	Observer Observer
	// Memory bounds what is buffered for all requests; nil for no limit.
	Memory *memory.Budget
	// Quota enforces the limits of tenants.
	Quota *quota.Gate
	// FairShares admits requests to plain back ends; nil admits all.
	FairShares *fairshare.Gate
	// Streams tracks the requests at engines; nil for none.
	Streams *liveness.Streams
	// Paths tells which pools cannot be reached from here; nil if that is not observed.
	Paths *reachability.Detector
	// Relays are the routers to which requests for unreachable pools are passed on over
	// RelayConnections; nil for none.
	Relays Relays
	// Resumptions keeps which back end began each stream; nil if streams may go on anywhere.
	Resumptions      Resumptions
	RelayConnections *upstream.Pool
	Budget           BudgetConfig
	Logger           *slog.Logger
}

// Handler is the HTTP handler of a router for client requests.
type Handler struct {
	config  Config
	budget  *budget
	splits  *splitter
	started time.Duration
	// clock is replaced in tests.
	clock func() time.Duration
	// clientStall is clientStallTimeout. It is replaced in tests.
	clientStall time.Duration
	stallLines  bounded.LineLimiter
	// refusalLines bounds the log lines on refusals, and relayLines those on requests that only seem to come
	// from other routers.
	refusalLines, relayLines bounded.LineLimiter
	stopping                 atomic.Bool
	// stoppedAt is when the stop began, and stopEnd when its requests end, by now.
	stoppedAt, stopEnd atomic.Int64
	forbidden          map[string]bool
	metrics            Metrics
	store              storeMonitor
	shares             shares
	probes             *probes
	deadlines          *deadlines
	hedges             sync.WaitGroup
}

// New returns a Handler. Config is not checked.
func New(config Config) *Handler {
	h := &Handler{config: config, budget: newBudget(config.Budget, config.SharedBudget), splits: newSplitter(), clock: clock.Now, started: clock.Now(),
		clientStall: clientStallTimeout, forbidden: map[string]bool{}, probes: newProbes(), deadlines: newDeadlines()}
	if config.Observer == nil {
		h.config.Observer = noObserver{}
	}
	if config.Paths != nil {
		config.Upstream.OnConnect(h.observeConnect)
	}
	for _, name := range slices.Concat(hopHeaders, relayHeaders, config.Headers.Reserved(), config.Headers.Forbidden) {
		h.forbidden[http.CanonicalHeaderKey(name)] = true
	}
	return h
}

// hopHeaders are request headers that concern one connection only or are set by the router.
var hopHeaders = []string{"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authorization", "Te", "Trailer",
	"Transfer-Encoding", "Upgrade", "Content-Length", "Authorization", "Host", "Expect"}

// relayHeaders are request headers that only routers set for each other.
var relayHeaders = []string{relay.HeaderOrigin, relay.HeaderDeclined, relay.HeaderConfiguration, relay.HeaderSoftware, relay.HeaderPool}

func (h *Handler) now() time.Duration { return h.clock() - h.started }

// Stop makes the handler close each connection after its next response. Limit is the time until EndRequests is called.
func (h *Handler) Stop(limit time.Duration) {
	now := h.now()
	h.stoppedAt.Store(int64(now))
	h.stopEnd.Store(int64(now + limit))
	h.stopping.Store(true)
	time.AfterFunc(acceptTime+time.Millisecond, h.deadlines.checkBodies)
}

// outlastsStop reports whether a request arrives so late in the router's stop that it is refused: its answer might be
// cut.
func (h *Handler) outlastsStop(j *job) bool {
	return h.stopping.Load() && h.now()-time.Duration(h.stoppedAt.Load()) > acceptTime && j.deadline > time.Duration(h.stopEnd.Load())
}

// EndRequests ends all requests, also later ones, as ended by the router's stop: answers that have begun are cut, and
// other requests are refused or get an error. It is to be called before their connections are closed, which shows as a
// disconnected client.
func (h *Handler) EndRequests() {
	h.deadlines.cancelAll(errStopping)
	h.deadlines.checkBodies()
	h.config.Memory.EndWaits()
}

// AwaitRequests waits until all requests have been handled and logged. It is to be called once no connection accepts
// any more.
func (h *Handler) AwaitRequests() { h.deadlines.await() }

// Ready reports whether the router accepts requests.
func (h *Handler) Ready() bool {
	return !h.stopping.Load() && h.config.Source.Table() != nil && h.config.Source.Fresh()
}

// job is one client request.
type job struct {
	id string
	// digest identifies the content of the request, independent of its ID.
	digest  poison.Digest
	table   *traffic.Table
	route   *traffic.Route
	tenant  *traffic.Tenant
	pool    *traffic.Pool
	request *upstream.Request
	// authorization is the client's Authorization header.
	authorization string
	// continuation is the stream that the client resumes, if any.
	continuation continuation
	// origin is set if another router passed the request on.
	origin *relay.Origin
	// unrelayed is set if the other routers that were asked do not reach the pool either.
	unrelayed bool
	// counted is set once the request has been counted for the retry budget, and accepted once it has
	// been counted as one of another router.
	counted, accepted bool
	// chunked is set if the client understands chunked responses.
	chunked bool
	query   backends.Query
	// parts are the IDs of the prompt's shared parts, and partDigests the result of promptParts.
	parts       []string
	partDigests []poison.Digest
	// memory is what the request takes of the memory budget.
	memory     memory.Reservation
	receivedAt time.Duration
	// clientWait is the time for which the client waits, from its request on.
	clientWait time.Duration
	// deadline is the time at which the request is refused unless its response has begun, and cutoff that at which
	// it times out for the client or its route, by the handler's clock.
	deadline, cutoff time.Duration
	// extend moves the end of the request from deadline to cutoff.
	extend func()
	tally
	// newerConfiguration is the version of another router's configuration that does not allow the request.
	newerConfiguration uint64
	// brokenRelays are the routers that did not complete a response.
	brokenRelays []string
	// quotaAmount is the request's amount of its tenant's quota, 0 if there is none, and
	// quotaCounted is set once it has been counted.
	quotaAmount  quota.Amount
	quotaCounted bool
	// permitDelay is the delay until the pool has a permit for the request; 0 if it needs none
	// or the delay is not known.
	permitDelay time.Duration
	// shareChecked is set once the share of the request's class at a plain pool has been
	// considered, and beyondShare if the request was refused by it.
	shareChecked, beyondShare bool
	// beyondRoom is set while the router, which decides without the leader, has no part of the
	// announced capacity left for the request.
	beyondRoom bool
	// shareAsked is set once other routers were asked for their part of that capacity, and roomWaited
	// is the time for which the request has waited for it until then.
	shareAsked bool
	roomWaited time.Duration
	// trial is the block that applies to the request if it asks to be sent nevertheless; nil for none.
	trial *state.BlockedRequest
	// standalone is set if the leader did not answer when the back end was chosen.
	standalone bool
	// endShare ends the request's part of what the router runs at the pool; nil if it has none.
	endShare func()
	// retry holds the retries that the budget has granted and that no attempt has used.
	retry *retryGrant
	// viewRevision and viewAge describe the view by which the back end was chosen.
	viewRevision uint64
	viewAge      time.Duration
	// noAttempt is why no further attempt was made, for the log.
	noAttempt string
	// trace describes the attempts, and prefills are those at engines that ran, for the log.
	trace    []string
	prefills []cachemiss.Attempt
}

// tries returns the number of back ends and routers to which the request was sent, also by the router
// that passed it on.
func (j *job) tries() int { return len(j.query.Tried) - j.withheld + j.deliveriesElsewhere }

// ServeHTTP handles one request.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) { h.serveHTTP(w, r, nil) }

// closeIfStopping ends the connection of a request with its response if the router stops: a request that is on its way
// when the stop closes idle connections may end without one.
func (h *Handler) closeIfStopping(w http.ResponseWriter) {
	if h.stopping.Load() {
		w.Header().Set("Connection", "close")
	}
}

// serveHTTP handles one request. Origin is set if another router passed it on.
func (h *Handler) serveHTTP(w http.ResponseWriter, r *http.Request, origin *relay.Origin) {
	defer h.deadlines.begin()()
	receivedAt := h.now()
	h.closeIfStopping(w)
	j, refusal := h.resolve(r, receivedAt)
	if j != nil {
		defer j.memory.Release()
	}
	if refusal != nil && origin != nil && h.declineUnresolved(w, r, origin, refusal) {
		return
	}
	if refusal != nil {
		h.refuse(w, &job{id: r.Header.Get(h.config.Headers.RequestID)}, refusal)
		return
	}
	j.continueFrom(origin)
	if refusal := h.bind(r, j); refusal != nil {
		h.refuse(w, j, refusal)
		return
	}
	if refusal := h.receive(w, r, j); refusal != nil {
		if h.stopping.Load() && j.origin != nil {
			h.decline(w, j, refusal.reason)
			return
		}
		h.refuse(w, j, refusal)
		return
	}
	j.digest = poison.DigestOf(j.tenantName(), r.Method, r.Host, r.RequestURI, j.request.Body)
	j.query.Request = j.digest
	ctx, extend, done := h.deadlines.withDeadline(r.Context(), h.now(), j.deadline, j.cutoff)
	defer done()
	j.extend = extend
	if j.continuation.resumed() {
		h.metrics.resumedByClients.Add(1)
	}
	h.metrics.inFlight.Add(1)
	defer h.metrics.inFlight.Add(-1)
	h.serve(ctx, w, j)
}

// receive reads the body of a request, or returns why the request is refused.
func (h *Handler) receive(w http.ResponseWriter, r *http.Request, j *job) *refusal {
	if h.outlastsStop(j) {
		return refuseStopping()
	}
	if !j.memory.Grow(requestBytes) {
		return h.refuseMemory()
	}
	body, refusal := h.readBody(w, r, j)
	if refusal == nil && h.isTooLate(j) {
		// The body has ended late.
		refusal = refuseStopping()
	}
	j.request.Body = body
	return refusal
}

// continueFrom takes over what the router that passed the request on has done with it.
func (j *job) continueFrom(origin *relay.Origin) {
	if origin == nil {
		return
	}
	j.origin, j.ran, j.deliveries, j.counted = origin, origin.Ran, origin.Delivered, origin.Counted
	j.deliveriesElsewhere = origin.Delivered
	j.receivedAt -= min(origin.Age, j.route.Timeout)
}

// refusal is a response that the router generates.
type refusal struct {
	status int
	reason string
	// retryAfter is the value of the Retry-After header; 0 for none.
	retryAfter time.Duration
	// text is the body.
	text string
	// configuration is the version of the configuration that does not allow the request; 0 for refusals
	// for other reasons.
	configuration uint64
}

// resolve finds the route, tenant and pool of a request.
func (h *Handler) resolve(r *http.Request, receivedAt time.Duration) (*job, *refusal) {
	h.awaitFresh(r.Context())
	table := h.config.Source.Table()
	if table == nil || !h.config.Source.Fresh() {
		return nil, &refusal{status: http.StatusServiceUnavailable, reason: "the configuration may be outdated", retryAfter: max(h.config.Source.StartupDelay()-receivedAt, minRetryAfter)}
	}
	authorization := r.Header.Get("Authorization")
	route, tenant, rejected := lookup(table, r.Host, r.RequestURI, authorization)
	if rejected != nil {
		return nil, rejected
	}
	j := &job{id: r.Header.Get(h.config.Headers.RequestID), table: table, route: route, tenant: tenant, receivedAt: receivedAt, chunked: r.ProtoAtLeast(1, 1), retry: &retryGrant{}}
	j.authorization, j.continuation = authorization, h.continuationOf(r.Header)
	if j.id == "" {
		return nil, &refusal{status: http.StatusBadRequest, reason: "the request has no ID"}
	}
	j.clientWait = h.clientWait(r)
	now, limit := h.now(), min(route.Timeout, j.clientWait)
	j.deadline, j.cutoff = now+withMargin(limit), now+limit
	j.pool = table.Pool(h.splits.next(table, route))
	j.memory = h.config.Memory.NewReservationFor(memory.AccountOf(r.Context()))
	if !h.buildRequest(r, j) {
		return nil, h.refuseMemory()
	}
	return j, nil
}

// awaitFresh waits a short time until the router may serve: after a restart the first view
// often arrives within milliseconds.
func (h *Handler) awaitFresh(ctx context.Context) {
	for waited := time.Duration(0); waited < freshWait && ctx.Err() == nil && !h.deadlines.allEnded(); waited += freshStep {
		if h.config.Source.Table() != nil && h.config.Source.Fresh() {
			return
		}
		periodic.Sleep(ctx, freshStep)
	}
}

// unlimitedWait is the wait of clients that do not state theirs.
const unlimitedWait = time.Duration(math.MaxInt64)

// clientWait returns the time for which the client of a request waits.
func (h *Handler) clientWait(r *http.Request) time.Duration {
	ms, err := strconv.ParseFloat(r.Header.Get(h.config.Headers.Deadline), 64)
	if err != nil || !(ms >= 0 && ms < float64(unlimitedWait/time.Millisecond)) {
		return unlimitedWait
	}
	return time.Duration(ms * float64(time.Millisecond))
}

// withMargin returns the time limit of a request less a margin for the response.
func withMargin(limit time.Duration) time.Duration { return max(limit-responseMargin, limit/2) }

// readBody reads the whole body, so that the request can be retried. It ends at the deadline of the
// request: a body that arrives slowly takes memory.
func (h *Handler) readBody(w http.ResponseWriter, r *http.Request, j *job) ([]byte, *refusal) {
	if r.Body == nil || r.ContentLength == 0 {
		return nil, nil
	}
	limit := j.table.Limits.MaxBodyBytes
	reader, most := io.Reader(r.Body), int64(math.MaxInt64)
	if limit > 0 {
		reader, most = http.MaxBytesReader(w, r.Body, limit), limit
	}
	if !h.config.Memory.Fits(r.ContentLength+trustedBuffer+requestBytes) || (limit > 0 && r.ContentLength > limit) {
		w.Header().Set("Connection", "close")
		return nil, &refusal{status: http.StatusRequestEntityTooLarge, reason: "the body is too large"}
	}
	connection := http.NewResponseController(w)
	// An error means that the connection has no deadlines.
	_ = connection.SetReadDeadline(time.Now().Add(j.deadline - h.now()))
	done := h.deadlines.awaitBody(func(ended bool) {
		if ended || h.outlastsStop(j) {
			_ = connection.SetReadDeadline(time.Unix(1, 0))
		}
	})
	body, err := readRequestBody(reader, r.ContentLength, most, &j.memory)
	done()
	if err == nil {
		_ = connection.SetReadDeadline(time.Time{})
		return body, nil
	}
	// The rest of the body is not awaited.
	w.Header().Set("Connection", "close")
	if errors.Is(err, os.ErrDeadlineExceeded) && h.isTooLate(j) {
		return nil, refuseStopping()
	}
	return nil, h.refuseBody(err)
}

// isTooLate reports whether a request is refused since the router stops, also once its body has ended.
func (h *Handler) isTooLate(j *job) bool { return h.outlastsStop(j) || h.deadlines.allEnded() }

// refuseBody returns the refusal of a request whose body was not read whole.
func (h *Handler) refuseBody(err error) *refusal {
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return &refusal{status: http.StatusRequestEntityTooLarge, reason: "the body is too large"}
	case errors.Is(err, errMemory), errors.Is(err, listener.ErrMemory):
		return h.refuseMemory()
	case errors.Is(err, os.ErrDeadlineExceeded):
		return &refusal{status: http.StatusRequestTimeout, reason: "the body did not arrive in time"}
	}
	return &refusal{status: http.StatusBadRequest, reason: "the body is incomplete"}
}

// refuseMemory returns the refusal of a request for which there is no memory.
func (h *Handler) refuseMemory() *refusal {
	h.metrics.refusedMemory.Add(1)
	return &refusal{status: http.StatusServiceUnavailable, reason: "the memory for requests is used up", retryAfter: memoryRetryAfter + rand.N(memoryRetryAfter/2)}
}

// refuseStopping returns the refusal of a request that may outlast the router's stop.
func refuseStopping() *refusal {
	return &refusal{status: http.StatusServiceUnavailable, reason: errStopping.Error(), retryAfter: busyRetryAfter}
}

// tenantName returns the tenant's name, empty on routes that need no key.
func (j *job) tenantName() string {
	if j.tenant == nil {
		return ""
	}
	return j.tenant.Name
}

// loggedID returns the part of a client's request ID that log lines hold.
func loggedID(id string) string { return id[:min(len(id), maxLoggedID)] }

// refuse sends a response that the router generates.
func (h *Handler) refuse(w http.ResponseWriter, j *job, f *refusal) {
	header := w.Header()
	header["Content-Type"] = nil
	header["Date"] = nil
	if j.id != "" {
		header.Set(h.config.Headers.RequestID, j.id)
	}
	if f.retryAfter > 0 {
		header.Set("Retry-After", strconv.FormatFloat(f.retryAfter.Seconds(), 'f', 2, 64))
	}
	header.Set("Content-Length", strconv.Itoa(len(f.text)))
	w.WriteHeader(f.status)
	// A write error means that the client is gone.
	_, _ = io.WriteString(w, f.text)
	h.metrics.CountResponse(f.status, true)
	if !h.refusalLines.Allow(h.clock(), maxRefusalLines) {
		h.metrics.unloggedRefusals.Add(1)
		return
	}
	h.config.Logger.Info("refused", "part", "forward", "id", loggedID(j.id), "request", j.digest.String(), "status", f.status, "reason", f.reason,
		"after_ms", f.retryAfter.Milliseconds(), "relayed_for", j.relayed(), h.prefillAttributes(j), j.continuation.group())
}
