// Package forward serves callers: it checks a request against the
// configuration in force, chooses back ends, sends the request, repeats it
// where that is allowed, and passes on one whole answer or one ordered stream.
package forward

import (
	"context"
	"errors"
	"io"
	"log/slog"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"quinceridge.example/quinceridge/internal/backends"
	"quinceridge.example/quinceridge/internal/clock"
	"quinceridge.example/quinceridge/internal/coordapi"
	"quinceridge.example/quinceridge/internal/periodic"
	"quinceridge.example/quinceridge/internal/poison"
	"quinceridge.example/quinceridge/internal/pushback"
	"quinceridge.example/quinceridge/internal/quota"
	"quinceridge.example/quinceridge/internal/ratelimit"
	"quinceridge.example/quinceridge/internal/traffic"
	"quinceridge.example/quinceridge/internal/upstream"
	"quinceridge.example/quinceridge/internal/vocabulary"
)

const (
	// answerMargin is how much before the caller's deadline the final answer is
	// given.
	answerMargin = 30 * time.Millisecond
	// freshWait is how long a request is held for the right to serve, looked for
	// every freshStep.
	freshWait = 300 * time.Millisecond
	freshStep = 5 * time.Millisecond
	// leastRetry is the least time after which a caller of a router that may not serve
	// is told to come back.
	leastRetry = 500 * time.Millisecond
)

// Source says what to serve by.
type Source interface {
	// Table is the configuration in force, nil before the first.
	Table() *traffic.Table
	// Fresh tells whether the router may serve now.
	Fresh() bool
	// Routers is how many routers share the traffic.
	Routers() int
	// StartupDelay is about how long it takes after a start until the router may serve,
	// if all others have started with it.
	StartupDelay() time.Duration
}

// Placer chooses engines for all routers.
type Placer interface {
	// Place chooses an engine. Answered is false when the router must choose by
	// itself, found when none may serve.
	Place(ctx context.Context, q *backends.Query) (choice backends.Choice, found, answered bool)
	// Begun notes that the first event of a placement has come, and how long it
	// took; Ended that it is over.
	Begun(number uint64, first time.Duration)
	Ended(number uint64)
}

// Claimer grants rights to send to back ends that take only so much from all machines.
type Claimer interface {
	// Claim asks for the right to send a request to one such. Without one, wait is when it
	// takes another, 0 if it keeps its next place for others, and room when there is room
	// for the request at some back end of the pool, 0 if that is not known.
	Claim(ctx context.Context, q *backends.Query, id coordapi.BackendID) (right *ratelimit.Permit, wait, room time.Duration)
}

// SharedBudget lends repeats of the burst that all routers have together.
type SharedBudget interface {
	// Repeat asks for one of a pool. Answered is false when nobody lends now.
	Repeat(ctx context.Context, pool string, burst float64, window time.Duration) (granted, answered bool)
}

// Config is what a Handler works with.
type Config struct {
	// Name tells routers apart.
	Name    string
	Headers vocabulary.Headers
	Source  Source
	// Placer may be nil: the router then chooses engines by itself.
	Placer   Placer
	Pool     *backends.Pool
	Upstream *upstream.Pool
	// Pushbacks is what back ends have asked of this router.
	Pushbacks *pushback.Registry
	// Limits is what back ends have said that they take from all routers together.
	Limits *ratelimit.Registry
	// Claimer may be nil: nothing is sent then to back ends that take only so much.
	Claimer Claimer
	// SharedBudget may be nil: the router then uses an even part of the burst by itself.
	SharedBudget SharedBudget
	Saved        *Saved
	// Observer may be nil: nothing is blocked then.
	Observer Observer
	// Quota keeps tenants within their limits.
	Quota  *quota.Gate
	Budget BudgetConfig
	Logger *slog.Logger
}

// Handler is the callers' side of a router.
type Handler struct {
	config  Config
	budget  *budget
	splits  *splitter
	started time.Duration
	// clock is clock.Now but in tests.
	clock     func() time.Duration
	stopping  atomic.Bool
	forbidden map[string]bool
	metrics   Metrics
	store     storeWatch
	checks    *checks
	overdue   *overdue
}

// New returns a handler.
func New(config Config) *Handler {
	h := &Handler{config: config, budget: newBudget(config.Budget, config.SharedBudget), splits: newSplitter(), clock: clock.Now, started: clock.Now(),
		forbidden: map[string]bool{}, checks: newChecks(), overdue: newOverdue()}
	if config.Observer == nil {
		h.config.Observer = alone{}
	}
	for _, name := range slices.Concat(hopHeaders, config.Headers.Owned(), config.Headers.Forbidden) {
		h.forbidden[http.CanonicalHeaderKey(name)] = true
	}
	return h
}

// hopHeaders concern one connection only, or are set by the router itself.
var hopHeaders = []string{"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authorization", "Te", "Trailer",
	"Transfer-Encoding", "Upgrade", "Content-Length", "Authorization", "Host", "Expect"}

func (h *Handler) now() time.Duration { return h.clock() - h.started }

// Stop makes the handler close connections after their next answer.
func (h *Handler) Stop() { h.stopping.Store(true) }

// Ready tells whether the router takes callers.
func (h *Handler) Ready() bool {
	return !h.stopping.Load() && h.config.Source.Table() != nil && h.config.Source.Fresh()
}

// job is one request of a caller.
type job struct {
	id string
	// digest names what is asked for, whatever its ID.
	digest  poison.Digest
	table   *traffic.Table
	route   *traffic.Route
	tenant  *traffic.Tenant
	pool    *traffic.Pool
	request *upstream.Request
	query   backends.Query
	// parts are the IDs of the prompt's shared parts.
	parts   []string
	arrived time.Duration
	// deadline is when the caller or the route gives it up, by the handler's clock.
	deadline time.Duration
	// ran counts the attempts that ran or may have.
	ran int
	// kept counts the attempts that were not sent since the back end wants none from here:
	// they count as no tries.
	kept int
	// sent counts the attempts that arrived at a back end.
	sent int
	// counts is what the request counts against its tenant's limit, 0 without one, and
	// counted says that it does.
	counts  quota.Amount
	counted bool
	// room is when there is room for the request, if the back ends that it could go to take
	// only so much from all machines.
	room time.Duration
	// granted says that the budget's repeat for the next attempt is taken.
	granted atomic.Bool
	// trace is the chain of attempts for the log.
	trace []string
}

// tries is how many back ends the request was offered to.
func (j *job) tries() int { return len(j.query.Tried) - j.kept }

// ServeHTTP serves one request.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	arrived := h.now()
	if h.stopping.Load() {
		w.Header().Set("Connection", "close")
	}
	j, refusal := h.check(r, arrived)
	if refusal != nil {
		h.refuse(w, &job{id: r.Header.Get(h.config.Headers.RequestID)}, refusal)
		return
	}
	body, refusal := h.readBody(w, r, j.table)
	if refusal != nil {
		h.refuse(w, j, refusal)
		return
	}
	j.request.Body = body
	j.digest = poison.DigestOf(j.caller(), r.Method, r.Host, r.RequestURI, body)
	j.query.Request = j.digest
	ctx, done := h.overdue.begin(r.Context(), j.deadline, j.deadline-h.now())
	defer done()
	h.metrics.open.Add(1)
	defer h.metrics.open.Add(-1)
	h.serve(ctx, w, j)
}

// refusal is an answer of the router's own.
type refusal struct {
	status int
	reason string
	// after is when to come back, 0 for no word on it.
	after time.Duration
	// text is the body, for people.
	text string
}

// check finds route and tenant.
func (h *Handler) check(r *http.Request, arrived time.Duration) (*job, *refusal) {
	h.awaitFresh(r.Context())
	table := h.config.Source.Table()
	if table == nil || !h.config.Source.Fresh() {
		return nil, &refusal{status: http.StatusServiceUnavailable, reason: "configuration is not known to be the newest", after: max(h.config.Source.StartupDelay()-arrived, leastRetry)}
	}
	path, _, _ := strings.Cut(r.RequestURI, "?")
	route := table.Route(r.Host, path)
	if route == nil {
		return nil, &refusal{status: http.StatusNotFound, reason: "no route"}
	}
	j := &job{id: r.Header.Get(h.config.Headers.RequestID), table: table, route: route, arrived: arrived}
	if table.NeedsKeys() && !route.Public {
		key, bearer := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
		if j.tenant = table.TenantByKey(strings.TrimSpace(key)); !bearer || j.tenant == nil {
			return nil, &refusal{status: http.StatusUnauthorized, reason: "unknown key"}
		}
	}
	if j.id == "" {
		return nil, &refusal{status: http.StatusBadRequest, reason: "the request carries no id"}
	}
	j.deadline = h.now() + h.patience(r, route)
	j.pool = table.Pool(h.splits.next(route))
	h.describe(r, j)
	return j, nil
}

// awaitFresh waits a moment for the right to serve: after a restart the first
// view is often milliseconds away.
func (h *Handler) awaitFresh(ctx context.Context) {
	for waited := time.Duration(0); waited < freshWait && ctx.Err() == nil; waited += freshStep {
		if h.config.Source.Table() != nil && h.config.Source.Fresh() {
			return
		}
		periodic.Pause(ctx, freshStep)
	}
}

// patience is how long the request is held: the route's timeout or what the
// caller waits, less the margin for the way back.
func (h *Handler) patience(r *http.Request, route *traffic.Route) time.Duration {
	limit := route.Timeout
	if text := r.Header.Get(h.config.Headers.Deadline); text != "" {
		if ms, err := strconv.ParseFloat(text, 64); err == nil && ms >= 0 {
			limit = min(limit, time.Duration(ms*float64(time.Millisecond)))
		}
	}
	return max(limit-answerMargin, limit/2)
}

// readBody reads the whole body, so that an attempt can be repeated.
func (h *Handler) readBody(w http.ResponseWriter, r *http.Request, table *traffic.Table) ([]byte, *refusal) {
	if r.Body == nil || r.ContentLength == 0 {
		return nil, nil
	}
	reader := io.Reader(r.Body)
	if limit := table.Limits.MaxBodyBytes; limit > 0 {
		reader = http.MaxBytesReader(w, r.Body, limit)
	}
	var body []byte
	var err error
	if r.ContentLength > 0 && (table.Limits.MaxBodyBytes <= 0 || r.ContentLength <= table.Limits.MaxBodyBytes) {
		body = make([]byte, r.ContentLength)
		_, err = io.ReadFull(reader, body)
	} else {
		body, err = io.ReadAll(reader)
	}
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return nil, &refusal{status: http.StatusRequestEntityTooLarge, reason: "the body is too large"}
	case err != nil:
		return nil, &refusal{status: http.StatusBadRequest, reason: "the body was not read whole"}
	}
	return body, nil
}

// caller is the tenant's name, empty on routes that need no key.
func (j *job) caller() string {
	if j.tenant == nil {
		return ""
	}
	return j.tenant.Name
}

// refuse gives the router's own answer at once.
func (h *Handler) refuse(w http.ResponseWriter, j *job, f *refusal) {
	header := w.Header()
	header["Content-Type"] = nil
	header["Date"] = nil
	if j.id != "" {
		header.Set(h.config.Headers.RequestID, j.id)
	}
	if f.after > 0 {
		header.Set("Retry-After", strconv.FormatFloat(f.after.Seconds(), 'f', 2, 64))
	}
	header.Set("Content-Length", strconv.Itoa(len(f.text)))
	w.WriteHeader(f.status)
	// A caller that is gone needs no text.
	_, _ = io.WriteString(w, f.text)
	h.metrics.CountResponse(f.status, true)
	h.config.Logger.Info("refused", "part", "forward", "id", j.id, "request", j.digest.String(), "status", f.status, "reason", f.reason,
		"after_ms", f.after.Milliseconds())
}
