package forward

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"quinceridge.example/quinceridge/internal/backends"
	"quinceridge.example/quinceridge/internal/coordapi"
	"quinceridge.example/quinceridge/internal/relay"
	"quinceridge.example/quinceridge/internal/traffic"
)

// queueingPlacer is a Placer that calls a function, and records the terms of the requests.
type queueingPlacer struct {
	fixedPlacer
	place func(context.Context) (choice backends.Choice, found, answered bool)

	termsLock sync.Mutex
	terms     []coordapi.Queueing
}

func (p *queueingPlacer) Place(ctx context.Context, q *backends.Query) (choice backends.Choice, found, answered bool) {
	p.termsLock.Lock()
	p.terms = append(p.terms, q.Queueing)
	p.termsLock.Unlock()
	return p.place(ctx)
}

// newQueueRig returns a router with one engine, which the placer's choice names.
func newQueueRig(t *testing.T, serve http.HandlerFunc) (*rig, backends.Choice) {
	r := newRig(t)
	r.add("llm", "e", serve)
	choice, found := r.pool.Choose(0, &backends.Query{Pool: "llm"})
	assert.Assert(t, found)
	choice.Placement = 1
	return r, choice
}

func oneEvent(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set(names.Signature, "s")
	_, _ = io.WriteString(w, "id: 1\ndata: x\n\n")
}

func (r *rig) askChat() result {
	return r.ask("POST", "/chat/x", func(q *http.Request) { q.Header.Set(names.Model, "m") })
}

func TestRefusalOfQueueIsForwarded(t *testing.T) {
	r, _ := newQueueRig(t, oneEvent)
	r.handler.config.Placer = &queueingPlacer{place: func(context.Context) (backends.Choice, bool, bool) {
		return backends.Choice{Reason: "tenant beyond its share", RetryAfter: 1500 * time.Millisecond}, true, true
	}}
	response := r.askChat()
	assert.Equal(t, response.status, http.StatusServiceUnavailable)
	assert.Equal(t, response.header.Get("Retry-After"), "1.50")
	assert.Equal(t, r.ran("e"), 0)
}

// The leader must get the terms of the request, and only a first attempt may wait: a later one has
// its first event overdue.
func TestOnlyFirstAttemptMayWait(t *testing.T) {
	r, choice := newQueueRig(t, reject)
	route := r.source.table.Route("h", "/resumable/x")
	route.Priority, route.AbandonAfter = 2, 1200*time.Millisecond
	r.source.table.TenantByKey("ka").Priority = 1
	placer := &queueingPlacer{place: func(context.Context) (backends.Choice, bool, bool) { return choice, true, true }}
	r.handler.config.Placer = placer
	r.ask("POST", "/resumable/x", func(q *http.Request) { q.Header.Set(names.Model, "m") })
	placer.termsLock.Lock()
	defer placer.termsLock.Unlock()
	assert.Assert(t, len(placer.terms) >= 2, "%d", len(placer.terms))
	first := placer.terms[0]
	assert.Assert(t, first.Wait && first.Started == 0)
	assert.Equal(t, first.Account, "alice")
	assert.Equal(t, first.Urgency, coordapi.Urgency{Tenant: 1, Route: 2})
	assert.Equal(t, first.Abandon, 1200*time.Millisecond)
	assert.Assert(t, first.Deadline > 1900*time.Millisecond && first.Deadline <= 2*time.Second, "%v", first.Deadline)
	assert.Assert(t, first.Waited >= 0 && first.Waited < time.Second)
	for _, later := range placer.terms[1:] {
		assert.Assert(t, !later.Wait && later.Started > 0)
	}
}

// Guards against a later attempt that is sent although no engine begins it in time, and against an answer
// that says that the request has not run although an earlier attempt may have.
func TestLaterAttemptThatIsLateEndsWithEarlierAnswer(t *testing.T) {
	for _, c := range []struct {
		name   string
		serve  http.HandlerFunc
		status int
	}{
		{"rejected", reject, http.StatusServiceUnavailable},
		{"failed", failing, http.StatusInternalServerError},
		{"no answer", dropConnection, http.StatusBadGateway},
		{"cut after an event", func(w http.ResponseWriter, q *http.Request) {
			oneEvent(w, q)
			_ = http.NewResponseController(w).Flush()
			panic(http.ErrAbortHandler)
		}, http.StatusOK},
	} {
		t.Run(c.name, func(t *testing.T) {
			r, choice := newQueueRig(t, c.serve)
			late, calls := choice, atomic.Int32{}
			late.Late, late.Wait = true, time.Second
			r.handler.config.Placer = &queueingPlacer{place: func(context.Context) (backends.Choice, bool, bool) {
				if calls.Add(1) == 1 {
					return choice, true, true
				}
				return late, true, true
			}}
			response := r.ask("POST", "/resumable/x", func(q *http.Request) { q.Header.Set(names.Model, "m") })
			assert.Equal(t, calls.Load(), int32(2))
			assert.Equal(t, r.ran("e"), 1)
			assert.Equal(t, response.status, c.status)
			assert.Equal(t, response.err != nil, c.status == http.StatusOK, "a stream that was cut must not look complete")
			assert.Equal(t, response.header.Get("Retry-After") != "", c.status == http.StatusServiceUnavailable)
		})
	}
}

// Nobody waits beyond the time-out of the route. The answer says that the request has not run.
func TestWaitEndsAtTimeout(t *testing.T) {
	r, _ := newQueueRig(t, oneEvent)
	r.handler.config.Placer = &queueingPlacer{place: func(ctx context.Context) (backends.Choice, bool, bool) {
		<-ctx.Done()
		return backends.Choice{Reason: coordapi.NoRoomInTime, RetryAfter: time.Second}, true, true
	}}
	begun := time.Now()
	response := r.askChat()
	took := time.Since(begun)
	assert.Equal(t, response.status, http.StatusServiceUnavailable)
	assert.Equal(t, response.header.Get("Retry-After"), "1.00")
	assert.Assert(t, took >= 900*time.Millisecond && took < 1500*time.Millisecond, "%v", took)
	assert.Equal(t, r.ran("e"), 0)
}

// Guards against a request that is sent although its caller left while it waited.
func TestNothingIsSentForCallerWhoLeft(t *testing.T) {
	r, choice := newQueueRig(t, oneEvent)
	waiting, ended := make(chan struct{}), make(chan struct{})
	r.handler.config.Placer = &queueingPlacer{place: func(ctx context.Context) (backends.Choice, bool, bool) {
		close(waiting)
		<-ctx.Done()
		defer close(ended)
		return backends.Choice{Reason: coordapi.NoRoomInTime, Placement: choice.Placement}, true, true
	}}
	ctx, leave := context.WithCancel(t.Context())
	go func() {
		<-waiting
		leave()
	}()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, r.router.URL+"/chat/x", nil)
	assert.NilError(t, err)
	request.Host = "h"
	request.Header.Set(names.RequestID, "id-1")
	request.Header.Set("Authorization", "Bearer ka")
	request.Header.Set(names.Model, "m")
	_, err = http.DefaultClient.Do(request)
	assert.ErrorContains(t, err, "canceled")
	<-ended
	time.Sleep(20 * time.Millisecond)
	assert.Equal(t, r.ran("e"), 0)
}

// A request that waits while the configuration changes continues under the terms that it was
// accepted with: neither a removed route nor a removed key ends it.
func TestWaitingRequestKeepsItsConfiguration(t *testing.T) {
	r, choice := newQueueRig(t, oneEvent)
	changed := &traffic.Table{Version: 4}
	before := r.source.table
	r.handler.config.Placer = &queueingPlacer{place: func(context.Context) (backends.Choice, bool, bool) {
		r.source.table = changed
		return choice, true, true
	}}
	response := r.askChat()
	assert.Equal(t, response.status, http.StatusOK)
	assert.Equal(t, r.ran("e"), 1)
	r.source.table = before
}

// announcedRooms is a Queue with one announcement.
type announcedRooms struct {
	room   coordapi.Room
	number uint64
}

func (a *announcedRooms) Waiting() int { return 0 }

func (a *announcedRooms) Room(string) (coordapi.Room, uint64, bool) {
	return a.room, a.number, a.number > 0
}

// Without a leader a router must not send more than its share of the announced capacity, and must
// serve again once requests end.
func TestRouterDecidesByAnnouncedCapacity(t *testing.T) {
	release := make(chan struct{})
	r, _ := newQueueRig(t, func(w http.ResponseWriter, q *http.Request) {
		<-release
		oneEvent(w, q)
	})
	for _, name := range []string{"/chat/x", "/resumable/x"} {
		r.source.table.Route("h", name).Timeout = 10 * time.Second
		r.source.table.Route("h", name).Target = 10 * time.Second
	}
	rooms := &announcedRooms{}
	r.handler.config.Queue = rooms
	r.handler.config.Placer = &queueingPlacer{place: func(context.Context) (choice backends.Choice, found, answered bool) { return choice, false, false }}
	rooms.room, rooms.number = coordapi.Room{Limit: 7, Running: 4}, 1
	results := make(chan result, 10)
	for range 10 {
		go func() { results <- r.askChat() }()
	}
	for range 7 {
		refused := <-results
		assert.Equal(t, refused.status, http.StatusServiceUnavailable)
		after, err := strconv.ParseFloat(refused.header.Get("Retry-After"), 64)
		assert.NilError(t, err)
		assert.Assert(t, after >= 0.5 && after <= 0.75, "%v", after)
	}
	close(release)
	for range 3 {
		assert.Equal(t, (<-results).status, http.StatusOK)
	}
	assert.Equal(t, r.askChat().status, http.StatusOK)
	assert.Equal(t, r.ran("e"), 4)
}

// Guards against refusals because a single answer of the leader is late: the request must be served
// once the leader answers again, or requests that the router runs end, if that is soon enough.
func TestLateLeaderRefusesNothing(t *testing.T) {
	for _, back := range []bool{false, true} {
		release := make(chan struct{})
		end := sync.OnceFunc(func() { close(release) })
		r, placed := newQueueRig(t, func(w http.ResponseWriter, q *http.Request) {
			<-release
			oneEvent(w, q)
		})
		patient, err := traffic.Build(&traffic.Table{
			Version: 4,
			Pools:   []traffic.Pool{{Name: "llm", Engine: &traffic.Engine{Slots: 4, CapacityTokens: 10000}}},
			Routes:  []traffic.Route{{Name: "chat", Host: "h", Prefix: "/chat/", Kind: traffic.KindStream, Timeout: 10 * time.Second, Target: 10 * time.Second, MaxAttempts: 1, Split: []traffic.Share{{Pool: "llm", Weight: 1}}}},
			Tenants: []traffic.Tenant{{Name: "alice", Keys: []string{"ka"}}},
			Limits:  traffic.Limits{MaxBodyBytes: 1000},
		})
		assert.NilError(t, err)
		r.source.table = patient
		r.handler.config.Queue = &announcedRooms{room: coordapi.Room{Limit: 5, Running: 4}, number: 1}
		var calls atomic.Int64
		r.handler.config.Placer = &queueingPlacer{place: func(context.Context) (choice backends.Choice, found, answered bool) {
			// All calls from the third on are made by the second request while it waits.
			if calls.Add(1) < 5 {
				return choice, false, false
			}
			end()
			return placed, back, back
		}}
		results := make(chan result, 2)
		for range 2 {
			go func() { results <- r.askChat() }()
		}
		for range 2 {
			assert.Equal(t, (<-results).status, http.StatusOK)
		}
		assert.Equal(t, r.ran("e"), 2)
	}
}

// All routers together must use the announced remainder and no more, also if it is less than their
// number.
func TestSharesOfRoutersAddUp(t *testing.T) {
	for _, remainder := range []int{0, 30, 65, 1000} {
		const routers = 65
		total := 0
		for i := range routers {
			var s shares
			end := s.begin("llm")
			defer end()
			room := coordapi.Room{Limit: 100 + remainder, Running: 100}
			for {
				if _, allowed := s.reserve("llm", room, 1, routers, float64(i)/routers); !allowed {
					break
				}
				total++
			}
		}
		assert.Equal(t, total, remainder)
	}
}

// What a router ran when the capacity was announced is its own until the next announcement, although its
// requests have ended before it decides.
func TestShareCountsWhatRanAtAnnouncement(t *testing.T) {
	r := newRig(t)
	rooms := &announcedRooms{room: coordapi.Room{Limit: 8, Running: 6}, number: 1}
	r.handler.config.Queue = rooms
	var ends []func()
	for range 6 {
		ends = append(ends, r.handler.shares.begin("llm"))
	}
	r.handler.RecordAnnouncement()
	for _, end := range ends {
		end()
	}
	allowed := 0
	for range 20 {
		if _, ok := r.handler.shares.reserve("llm", rooms.room, 1, 1, 0); ok {
			allowed++
		}
	}
	assert.Equal(t, allowed, 8)
}

// standaloneRig returns a router for which no leader answers and that has no part of the free capacity.
func standaloneRig(t *testing.T, serve http.HandlerFunc) *rig {
	r, _ := newQueueRig(t, serve)
	r.handler.config.Queue = &announcedRooms{room: coordapi.Room{Limit: 4, Running: 4}, number: 1}
	r.handler.config.Placer = &queueingPlacer{place: func(context.Context) (choice backends.Choice, found, answered bool) { return choice, false, false }}
	return r
}

// Demand may move to one router while there is no leader. The others have parts of the capacity that they
// do not use.
func TestRequestBeyondShareIsPassedOn(t *testing.T) {
	r, other := standaloneRig(t, oneEvent), newRelayRig(t)
	other.add("llm", "e", oneEvent)
	r.setRelays(other.address())
	got := r.askChat()
	assert.NilError(t, got.err)
	assert.Equal(t, got.status, http.StatusOK)
	assert.Equal(t, r.ran("e"), 0)
	assert.Equal(t, other.ran("e"), 1)
}

// A router that has no part left either declines at once, and is asked again for later requests.
func TestRequestBeyondSharesOfAllIsRefused(t *testing.T) {
	r, other := standaloneRig(t, oneEvent), newRelayRig(t)
	other.add("llm", "e", oneEvent)
	other.handler.config.Queue, other.handler.config.Placer = r.handler.config.Queue, r.handler.config.Placer
	r.setRelays(other.address())
	for range 2 {
		got := r.askChat()
		assert.Equal(t, got.status, http.StatusServiceUnavailable)
		assert.Assert(t, got.header.Get("Retry-After") != "")
		assert.Equal(t, got.header.Get(relay.HeaderDeclined), "")
	}
	assert.Equal(t, r.ran("e")+other.ran("e"), 0)
	assert.Equal(t, other.handler.metrics.declined.Load(), uint64(2))
	assert.Equal(t, len(r.handler.config.Relays.(*orderedRelays).declined), 0)
}
