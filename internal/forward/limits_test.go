package forward

import (
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"quinceridge.example/quinceridge/internal/backends"
	"quinceridge.example/quinceridge/internal/quota"
)

// limited sets a limit in tokens for the rig's tenant.
func (r *rig) limited() *quota.Gate {
	gate := quota.NewGate()
	gate.SetShares(r.handler.now(), nil)
	r.handler.config.Quota = gate
	r.source.table.TenantByKey("ka").Quota.Limit = quota.Limit{Rate: 100}
	r.source.table.TenantByKey("ka").Quota.Unit = quota.Tokens
	r.source.table.TenantByKey("ka").Quota.PlainTokens = 200
	return gate
}

// Guards against requests that run beyond their tenant's limit.
func TestTenantOverLimitIsRefusedWithoutAttempt(t *testing.T) {
	r := newRig(t)
	gate := r.limited()
	r.add("app", "a", func(http.ResponseWriter, *http.Request) { t.Error("the request was sent") })
	gate.SetShares(r.handler.now(), []quota.Share{{Tenant: "alice", Part: 0}})
	response := r.ask("GET", "/safe/x", nil)
	assert.Equal(t, response.status, http.StatusTooManyRequests)
	assert.Equal(t, response.header.Get("Retry-After"), "1.00")
	assert.Equal(t, len(gate.Spent()), 0)
}

func TestPlacerRefusesTenantOverLimit(t *testing.T) {
	r := newRig(t)
	r.limited()
	r.add("llm", "e", func(http.ResponseWriter, *http.Request) { t.Error("the request was sent") })
	r.handler.config.Placer = &fixedPlacer{choice: backends.Choice{OverLimit: true, Wait: 2 * time.Second}, answered: true}
	response := r.ask("POST", "/chat/x", func(q *http.Request) { q.Header.Set(names.Model, "m") })
	assert.Equal(t, response.status, http.StatusTooManyRequests)
	assert.Equal(t, response.header.Get("Retry-After"), "2.00")
}

// A request counts once, whether the leader or the router counts it and however often it is
// sent.
func TestRequestCountsOnceAndOnlyIfItRan(t *testing.T) {
	stream := func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set(names.Signature, "s")
		_, _ = io.WriteString(w, "id: 1\ndata: x\n\n")
	}
	chat := func(r *rig) {
		r.ask("POST", "/chat/x", func(q *http.Request) {
			q.Header.Set(names.Model, "m")
			q.Header.Set(names.Usage, "70, 30")
		})
	}
	place := func(r *rig, c backends.Choice) {
		held, found := r.pool.Choose(0, &backends.Query{Pool: "llm"})
		assert.Assert(t, found)
		c.ID, c.Address, c.Placement = held.ID, held.Address, 1
		r.handler.config.Placer = &fixedPlacer{choice: c, answered: true}
	}
	cases := map[string]struct {
		prepare func(r *rig)
		ask     func(r *rig)
		want    []quota.Spent
	}{
		"plain back end": {func(r *rig) { r.add("app", "a", good) }, func(r *rig) { r.ask("GET", "/safe/x", nil) }, []quota.Spent{{Tenant: "alice", Amount: 200}}},
		"rejected by all": {func(r *rig) { r.add("app", "a", reject) }, func(r *rig) { r.ask("GET", "/safe/x", nil) },
			[]quota.Spent{{Tenant: "alice", Amount: 0}}},
		"second attempt": {func(r *rig) {
			r.add("app", "a", reject)
			r.add("app", "b", good)
		}, func(r *rig) { r.ask("GET", "/safe/x", nil) }, []quota.Spent{{Tenant: "alice", Amount: 200}}},
		"tokens, chosen locally": {func(r *rig) { r.add("llm", "e", stream) }, chat, []quota.Spent{{Tenant: "alice", Amount: 100}}},
		"counted by the leader": {func(r *rig) {
			r.add("llm", "e", stream)
			place(r, backends.Choice{})
		}, chat, nil},
		"placed but not counted by the leader": {func(r *rig) {
			r.add("llm", "e", stream)
			place(r, backends.Choice{Uncounted: true})
		}, chat, []quota.Spent{{Tenant: "alice", Amount: 100}}},
		"counted by the leader, rejected": {func(r *rig) {
			r.add("llm", "e", reject)
			place(r, backends.Choice{})
		}, chat, []quota.Spent{{Tenant: "alice", Amount: -100}}},
		"tenant without a limit": {func(r *rig) {
			r.add("app", "a", good)
			r.source.table.TenantByKey("ka").Quota.Rate = 0
		}, func(r *rig) { r.ask("GET", "/safe/x", nil) }, nil},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			r := newRig(t)
			gate := r.limited()
			c.prepare(r)
			c.ask(r)
			assert.DeepEqual(t, gate.Spent(), c.want)
		})
	}
}

// Clients must not set the router's own headers by case, repetition or Connection.
func TestOwnedHeadersOfClientsAreDropped(t *testing.T) {
	r := newRig(t)
	owned := r.handler.config.Headers.Reserved()
	r.add("app", "a", func(w http.ResponseWriter, q *http.Request) {
		for _, name := range owned {
			for _, value := range q.Header.Values(name) {
				if value == "forged" {
					t.Errorf("%s reached the back end", name)
				}
			}
		}
		if q.Header.Get("X-Named") != "" {
			t.Error("a header that Connection names reached the back end")
		}
		good(w, q)
	})
	response := r.ask("GET", "/safe/x", func(q *http.Request) {
		for _, name := range owned {
			q.Header[strings.ToLower(name)] = []string{"forged", "forged"}
		}
		q.Header.Set("X-Named", "1")
		q.Header.Set("Connection", "x-named")
	})
	assert.Equal(t, response.status, http.StatusOK)
}

// Guards against a panic on a rejected request without a tenant.
func TestRejectedRequestWithoutTenantIsRefused(t *testing.T) {
	r := newRig(t)
	r.limited()
	r.source.table.Routes[2].Public = true
	r.add("llm", "e", reject)
	held, found := r.pool.Choose(0, &backends.Query{Pool: "llm"})
	assert.Assert(t, found)
	held.Placement = 1
	r.handler.config.Placer = &fixedPlacer{choice: held, answered: true}
	response := r.ask("POST", "/chat/x", func(q *http.Request) { q.Header.Set(names.Model, "m") })
	assert.NilError(t, response.err)
	assert.Equal(t, response.status, http.StatusServiceUnavailable)
}
