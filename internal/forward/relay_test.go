package forward

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"quinceridge.example/quinceridge/internal/backends"
	"quinceridge.example/quinceridge/internal/coordapi"
	"quinceridge.example/quinceridge/internal/quota"
	"quinceridge.example/quinceridge/internal/reachability"
	"quinceridge.example/quinceridge/internal/relay"
	"quinceridge.example/quinceridge/internal/upstream"
)

// relayRig is a router that other routers pass requests on to.
type relayRig struct {
	*rig
	listener *httptest.Server
}

func newRelayRig(t *testing.T) *relayRig {
	r := &relayRig{rig: newRig(t)}
	r.handler.config.Paths = reachability.NewDetector()
	r.listener = httptest.NewServer(http.HandlerFunc(r.handler.ServeRelayed))
	t.Cleanup(r.listener.CloseClientConnections)
	return r
}

func (r *relayRig) address() string { return r.listener.Listener.Addr().String() }

// losePath makes a router find that it reaches no back end of the pools.
func (r *rig) losePath(pools ...string) {
	if r.handler.config.Paths == nil {
		r.handler.config.Paths = reachability.NewDetector()
	}
	for _, pool := range pools {
		assert.Assert(r.t, r.handler.config.Paths.Failed(time.Hour, time.Hour, pool))
		r.handler.config.Paths.Checked(time.Hour, pool, reachability.Result{Tried: reachability.CheckSize})
	}
}

// setRelays sets the routers to which a router passes requests on, which it asks in this order.
func (r *rig) setRelays(addresses ...string) {
	r.handler.config.RelayConnections = upstream.NewPool(names.RequestID, r.handler.config.Pushbacks, r.handler.config.Limits)
	r.handler.config.Relays = &orderedRelays{addresses: addresses}
}

// orderedRelays are relays that are chosen in order.
type orderedRelays struct {
	addresses []string

	mu          sync.Mutex
	declined    []string
	unreachable []string
}

func (o *orderedRelays) Known() int { return len(o.addresses) }

func (o *orderedRelays) Choose(_ time.Duration, _ string, tried []string, _ float64) (string, func(), bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, address := range o.addresses {
		if !slices.Contains(tried, address) && !slices.Contains(o.declined, address) && !slices.Contains(o.unreachable, address) {
			return address, func() {}, true
		}
	}
	return "", nil, false
}

func (o *orderedRelays) Responded(time.Duration, string) {}

func (o *orderedRelays) Declined(_ time.Duration, address, _ string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.declined = append(o.declined, address)
}

func (o *orderedRelays) Unreachable(_ time.Duration, address string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.unreachable = append(o.unreachable, address)
}

func (o *orderedRelays) Outdated(_ time.Duration, address string) { o.Declined(0, address, "") }

// Requests of all kinds must reach the back end through another router as the client sent them, and
// responses the client as the back end sent them.
func TestPassedOnRequestAndResponseAreUnchanged(t *testing.T) {
	for _, path := range []string{"/safe/x?y=1", "/unsafe/x", "/chat/x", "/resumable/x"} {
		t.Run(path, func(t *testing.T) {
			cut, other := newRig(t), newRelayRig(t)
			cut.losePath("app", "llm")
			cut.setRelays(other.address())
			serve := func(w http.ResponseWriter, q *http.Request) {
				assert.Equal(t, q.URL.RequestURI(), path)
				assert.Equal(t, q.Header.Get(names.Tenant), "alice")
				assert.Equal(t, q.Header.Get("X-Own"), "kept")
				assert.Equal(t, q.Header.Get("Authorization")+q.Header.Get(relay.HeaderOrigin), "")
				assert.Assert(t, q.Header.Get(names.Salt) != "theirs")
				w.Header().Set("X-Answer", "kept")
				if strings.Contains(path, "chat") || strings.Contains(path, "resumable") {
					events(w, 1, 3)
					return
				}
				good(w, q)
			}
			other.add("app", "a", serve)
			other.add("llm", "e", serve)
			got := cut.ask("POST", path, func(q *http.Request) { q.Header.Set("X-Own", "kept"); q.Header.Set(names.Salt, "theirs") })
			assert.NilError(t, got.err)
			assert.Equal(t, got.status, http.StatusOK)
			assert.Equal(t, got.header.Get(names.Signature), "seal")
			assert.Equal(t, got.header.Get("X-Answer"), "kept")
			assert.Assert(t, got.body == "fine" || got.body == eventText(3), "%q", got.body)
			assert.Equal(t, other.ran("a", "e"), 1)
			assert.Equal(t, other.handler.metrics.accepted.Load(), uint64(1))
		})
	}
}

// Two routers that have both lost a pool must not pass a request back and forth.
func TestRequestIsPassedOnOnce(t *testing.T) {
	first, second := newRelayRig(t), newRelayRig(t)
	first.losePath("app")
	second.losePath("app")
	first.setRelays(second.address())
	second.setRelays(first.address())
	got := first.ask("POST", "/unsafe/x", nil)
	assert.Equal(t, got.status, http.StatusServiceUnavailable)
	assert.Assert(t, got.header.Get("Retry-After") != "")
	assert.Equal(t, got.header.Get(relay.HeaderDeclined), "")
	assert.Equal(t, second.handler.metrics.declined.Load(), uint64(1))
	assert.Equal(t, first.handler.metrics.declined.Load()+first.handler.metrics.accepted.Load(), uint64(0))
}

func TestNextRouterIsAskedAfterOneThatDoesNotServe(t *testing.T) {
	unlistened, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	assert.NilError(t, unlistened.Close())
	for name, first := range map[string]func(r *relayRig) string{
		"lost path":   func(r *relayRig) string { r.losePath("app"); return r.address() },
		"stopping":    func(r *relayRig) string { r.handler.Stop(time.Minute); return r.address() },
		"not fresh":   func(r *relayRig) string { r.source.fresh.Store(false); return r.address() },
		"not reached": func(*relayRig) string { return unlistened.Addr().String() },
	} {
		t.Run(name, func(t *testing.T) {
			cut, bad, other := newRig(t), newRelayRig(t), newRelayRig(t)
			bad.add("app", "bad", func(http.ResponseWriter, *http.Request) { t.Error("the request was sent") })
			other.add("app", "a", good)
			cut.losePath("app")
			cut.setRelays(first(bad), other.address())
			got := cut.ask("POST", "/unsafe/x", nil)
			assert.Equal(t, got.status, http.StatusOK)
			assert.Equal(t, other.ran("a"), 1)
		})
	}
}

// A router that ends after it has received a request may have sent it to a back end.
func TestRequestRunsAtMostOnceWhenRelayEnds(t *testing.T) {
	for path, wanted := range map[string]struct{ status, ran int }{"/unsafe/x": {http.StatusBadGateway, 0}, "/safe/x": {http.StatusOK, 1}} {
		t.Run(path, func(t *testing.T) {
			ending := httptest.NewServer(http.HandlerFunc(dropConnection))
			t.Cleanup(ending.Close)
			cut, other := newRig(t), newRelayRig(t)
			other.add("app", "a", good)
			cut.losePath("app")
			cut.setRelays(ending.Listener.Addr().String(), other.address())
			got := cut.ask("POST", path, nil)
			assert.Equal(t, got.status, wanted.status)
			assert.Equal(t, other.ran("a"), wanted.ran)
		})
	}
}

// A stream must continue at another router behind the last event, each event arriving once.
func TestPassedOnStreamResumesWhenRelayEnds(t *testing.T) {
	cut, other := newRig(t), newRelayRig(t)
	ending := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
		w.Header().Set(names.RequestID, q.Header.Get(names.RequestID))
		events(w, 1, 2)
		dropConnection(w, q)
	}))
	t.Cleanup(ending.Close)
	other.add("llm", "e", func(w http.ResponseWriter, q *http.Request) {
		assert.Equal(t, q.Header.Get(names.LastEvent), "2")
		events(w, 3, 4)
	})
	cut.losePath("llm")
	cut.setRelays(ending.Listener.Addr().String(), other.address())
	got := cut.ask("POST", "/resumable/x", nil)
	assert.NilError(t, got.err)
	assert.Equal(t, got.body, eventText(4))
}

// The attempts of both routers together must not exceed those of the route: one that ran before the
// request was passed on counts.
func TestAttemptsOfBothRoutersCount(t *testing.T) {
	other := newRelayRig(t)
	for i := range 4 {
		other.add("app", fmt.Sprint("a", i), failing)
	}
	for ran, wanted := range map[int]int{0: 2, 1: 1} {
		before := other.ran("a0", "a1", "a2", "a3")
		origin := relay.Origin{Router: "cut", Ran: ran, Delivered: ran, Counted: true}
		got := other.sendRelayed("/safe/x", "ka", origin.Encode())
		assert.Equal(t, got.status, http.StatusInternalServerError)
		assert.Equal(t, other.ran("a0", "a1", "a2", "a3")-before, wanted, "%d ran before", ran)
	}
}

// sendRelayed sends a request to the address for other routers.
func (r *relayRig) sendRelayed(path, key, origin string) result {
	client := &rig{t: r.t, router: r.listener}
	return client.ask("POST", path, func(q *http.Request) {
		q.Header.Set("Authorization", "Bearer "+key)
		q.Header.Set(relay.HeaderOrigin, origin)
	})
}

func TestAddressForRoutersGrantsNothing(t *testing.T) {
	r := newRelayRig(t)
	r.add("app", "a", func(w http.ResponseWriter, q *http.Request) {
		assert.Equal(t, q.Header.Get(names.Tenant), "alice")
		good(w, q)
	})
	valid := (&relay.Origin{Router: "cut"}).Encode()
	assert.Equal(t, r.sendRelayed("/safe/x", "ka", valid).status, http.StatusOK)
	assert.Equal(t, r.sendRelayed("/safe/x", "other", valid).status, http.StatusUnauthorized)
	assert.Equal(t, r.sendRelayed("/safe/x", "ka", "").status, http.StatusBadRequest)
	assert.Equal(t, r.sendRelayed("/safe/x", "ka", "ran=-1").status, http.StatusBadRequest)
	assert.Equal(t, r.ran("a"), 1)
}

// Clients and back ends must not speak as routers do: a client's origin is ignored, and a back end
// that names the header of a refusal has run the request.
func TestHeadersOfRoutersCountBetweenRoutersOnly(t *testing.T) {
	cut, other := newRig(t), newRelayRig(t)
	other.add("app", "a", func(w http.ResponseWriter, q *http.Request) {
		w.Header().Set(relay.HeaderDeclined, "1")
		good(w, q)
	})
	cut.losePath("app")
	cut.setRelays(other.address())
	got := cut.ask("POST", "/unsafe/x", func(q *http.Request) { q.Header.Set(relay.HeaderOrigin, "router=x&ran=9&age_ms=0&delivered=9") })
	assert.Equal(t, got.status, http.StatusOK)
	assert.Equal(t, got.header.Get(relay.HeaderDeclined), "")
	assert.Equal(t, other.ran("a"), 1)
}

// The retry budget counts a request at the router that sends it to a back end, and only there.
func TestPassedOnRequestIsCountedOnce(t *testing.T) {
	cut, other := newRig(t), newRelayRig(t)
	other.add("app", "a", good)
	cut.losePath("app")
	cut.setRelays(other.address())
	assert.Equal(t, cut.ask("POST", "/safe/x", nil).status, http.StatusOK)
	counted := func(h *Handler) (count int) {
		h.budget.mu.Lock()
		defer h.budget.mu.Unlock()
		for _, n := range h.budget.windowAt(h.now(), "app").requests {
			count += n
		}
		return count
	}
	assert.Equal(t, counted(cut.handler), 0)
	assert.Equal(t, counted(other.handler), 1)
}

// A client that leaves must be noticed at the back end within half a second, and its deadline shrinks
// on the way.
func TestClientOfPassedOnRequestLeaves(t *testing.T) {
	cut, other := newRig(t), newRelayRig(t)
	ended, deadline := make(chan time.Time, 1), make(chan string, 1)
	other.add("app", "a", func(_ http.ResponseWriter, q *http.Request) {
		deadline <- q.Header.Get(names.Deadline)
		<-q.Context().Done()
		ended <- time.Now()
	})
	cut.losePath("app")
	cut.setRelays(other.address())
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, cut.router.URL+"/unsafe/x", strings.NewReader("body"))
	assert.NilError(t, err)
	request.Host = "h"
	request.Header.Set(names.RequestID, "id-1")
	request.Header.Set("Authorization", "Bearer ka")
	request.Header.Set(names.Deadline, "400")
	go func() {
		if response, err := http.DefaultClient.Do(request); err == nil {
			_, _ = io.Copy(io.Discard, response.Body)
			_ = response.Body.Close()
		}
	}()
	var ms int
	_, err = fmt.Sscan(<-deadline, &ms)
	assert.NilError(t, err)
	assert.Assert(t, ms > 100 && ms < 380, "%d ms", ms)
	left := time.Now()
	cancel()
	assert.Assert(t, (<-ended).Sub(left) < 500*time.Millisecond)
}

// While nothing has been lost, requests take the way they took without other routers.
func TestRequestIsNotPassedOnWithoutLostPath(t *testing.T) {
	r, other := newRig(t), newRelayRig(t)
	r.handler.config.Paths = reachability.NewDetector()
	r.setRelays(other.address())
	r.add("app", "a", good)
	assert.Equal(t, r.ask("POST", "/safe/x", nil).status, http.StatusOK)
	r.losePath("llm")
	assert.Equal(t, r.ask("POST", "/safe/x", nil).status, http.StatusOK)
	assert.Equal(t, r.ran("a"), 2)
	assert.Equal(t, other.handler.metrics.accepted.Load(), uint64(0))
}

// A check must find a lost path by itself once connects fail, and the return of the path.
func TestLostPathIsFoundAndReturns(t *testing.T) {
	r := newRig(t)
	r.handler.config.Paths = reachability.NewDetector()
	r.handler.config.Upstream.OnConnect(r.handler.observeConnect)
	var cut sync.Map
	var dialer net.Dialer
	r.handler.config.Upstream.SetDial(func(ctx context.Context, network, address string) (net.Conn, error) {
		if _, is := cut.Load("cut"); is {
			return nil, context.DeadlineExceeded
		}
		return dialer.DialContext(ctx, network, address)
	})
	for i := range 3 {
		r.add("app", fmt.Sprint("a", i), good)
	}
	cut.Store("cut", true)
	assert.Equal(t, r.ask("POST", "/unsafe/x", nil).status, http.StatusServiceUnavailable)
	verdict := func(wanted reachability.Verdict) {
		t.Helper()
		poll.WaitOn(t, func(poll.LogT) poll.Result {
			r.handler.CheckPaths(context.Background())
			if got := r.handler.config.Paths.Verdict("app"); got != wanted {
				return poll.Continue("verdict %d", got)
			}
			return poll.Success()
		})
	}
	verdict(reachability.Lost)
	cut.Delete("cut")
	verdict(reachability.Reachable)
	assert.Equal(t, r.ask("POST", "/unsafe/x", nil).status, http.StatusOK)
}

var _ Relays = (*relay.Selector)(nil)

// A stream whose events stop because the path is lost must go on through another router before its
// client gives it up.
func TestOverdueStreamMovesToAnotherRouterOnceThePathIsLost(t *testing.T) {
	cut, other := newStreamRig(t), newRelayRig(t)
	begun := make(chan struct{})
	cut.add("llm", "e", func(w http.ResponseWriter, q *http.Request) {
		events(w, 1, 2)
		close(begun)
		<-q.Context().Done()
	})
	other.add("llm", "other", func(w http.ResponseWriter, q *http.Request) {
		assert.Equal(t, q.Header.Get(names.LastEvent), "2")
		events(w, 3, 4)
	})
	cut.setRelays(other.address())
	cut.handler.config.Paths = reachability.NewDetector()
	go func() {
		<-begun
		cut.losePath("llm")
	}()
	asked := time.Now()
	got := cut.ask("POST", "/resumable/x", nil)
	assert.NilError(t, got.err)
	assert.Equal(t, got.body, eventText(4))
	assert.Assert(t, time.Since(asked) < time.Second)
}

// A stream that has begun at another router must not end as if it were complete when no engine has
// room for the rest.
func TestBegunStreamIsCutWhenTheRestIsRefused(t *testing.T) {
	cut := newRig(t)
	cut.handler.config.Placer = &fixedPlacer{choice: backends.Choice{Reason: coordapi.NoRoomInTime, RetryAfter: time.Second}, answered: true}
	cut.losePath("llm")
	ending := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
		w.Header().Set(names.RequestID, q.Header.Get(names.RequestID))
		events(w, 1, 2)
		cut.handler.config.Paths.Checked(2*time.Hour, "llm", reachability.Result{Tried: 2, Reached: 2})
		dropConnection(w, q)
	}))
	t.Cleanup(ending.Close)
	cut.setRelays(ending.Listener.Addr().String())
	got := cut.ask("POST", "/resumable/x", nil)
	assert.ErrorIs(t, got.err, io.ErrUnexpectedEOF)
	assert.Equal(t, got.body, eventText(2))
}

// A request that may have run at the router of its client must not be refused as one that has not run.
func TestRefusalDoesNotDenyAttemptsOfOtherRouter(t *testing.T) {
	for name, choice := range map[string]backends.Choice{"no room": {Reason: coordapi.NoRoomInTime}, "behind": {Late: true}, "over its limit": {OverLimit: true}} {
		t.Run(name, func(t *testing.T) {
			other := newRelayRig(t)
			other.handler.config.Placer = &fixedPlacer{choice: choice, answered: true}
			origin := relay.Origin{Router: "cut", Ran: 1, Delivered: 1, Counted: true}
			assert.Equal(t, other.sendRelayed("/resumable/x", "ka", origin.Encode()).status, http.StatusBadGateway)
			origin = relay.Origin{Router: "cut", Counted: true}
			status := other.sendRelayed("/resumable/x", "ka", origin.Encode()).status
			assert.Assert(t, notRunStatuses[status], "%d", status)
		})
	}
}

// A router through which a back end broke a response off must still get requests.
func TestRouterIsAskedAgainAfterBrokenResponse(t *testing.T) {
	cut, other := newRig(t), newRelayRig(t)
	first := true
	other.add("llm", "e", func(w http.ResponseWriter, q *http.Request) {
		events(w, 1, 2)
		if first {
			first = false
			dropConnection(w, q)
		}
	})
	cut.losePath("llm")
	cut.setRelays(other.address())
	assert.ErrorIs(t, cut.ask("POST", "/chat/x", nil).err, io.ErrUnexpectedEOF)
	assert.Equal(t, cut.ask("POST", "/chat/x", nil).status, http.StatusOK)
}

// A request that was counted against its tenant's limit before it was passed on must count at the other
// router only.
func TestPassedOnRequestCountsOnceAgainstItsTenant(t *testing.T) {
	cut, other := newRig(t), newRelayRig(t)
	here, there := cut.limited(), other.limited()
	cut.add("app", "gone", good)
	cut.closeBackends()
	other.add("app", "a", good)
	cut.handler.config.Paths = reachability.NewDetector()
	var once sync.Once
	cut.handler.config.Upstream.OnConnect(func(string, time.Duration, error) { once.Do(func() { cut.losePath("app") }) })
	cut.setRelays(other.address())
	assert.Equal(t, cut.ask("POST", "/unsafe/x", nil).status, http.StatusOK)
	spent := func(gate *quota.Gate) (total quota.Amount) {
		for _, s := range gate.Spent() {
			total += s.Amount
		}
		return total
	}
	assert.Equal(t, spent(here), quota.Amount(0))
	assert.Equal(t, spent(there), quota.Amount(200))
}
