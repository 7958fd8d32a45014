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

// limited gives the rig's tenant a limit in tokens.
func (r *rig) limited() *quota.Gate {
	gate := quota.NewGate()
	gate.SetShares(r.handler.now(), nil)
	r.handler.config.Quota = gate
	r.source.table.TenantByKey("ka").Quota.Limit = quota.Limit{Rate: 100}
	r.source.table.TenantByKey("ka").Quota.Unit = quota.Tokens
	r.source.table.TenantByKey("ka").Quota.PlainTokens = 200
	return gate
}

// Nothing counted what a tenant used: 1,302,979 tokens of one ran within a window
// that allowed 1,277,718.
func TestATenantBeyondItsLimitIsRefusedAtOnceAndNothingRuns(t *testing.T) {
	r := newRig(t)
	gate := r.limited()
	r.add("app", "a", func(http.ResponseWriter, *http.Request) { t.Error("the request was sent") })
	gate.SetShares(r.handler.now(), []quota.Share{{Tenant: "alice", Part: 0}})
	answer := r.ask("GET", "/safe/x", nil)
	assert.Equal(t, answer.status, http.StatusTooManyRequests)
	assert.Equal(t, answer.header.Get("Retry-After"), "1.00")
	assert.Equal(t, len(gate.Spent()), 0)
}

func TestTheLeaderSaysThatATenantIsBeyondItsLimit(t *testing.T) {
	r := newRig(t)
	r.limited()
	r.add("llm", "e", func(http.ResponseWriter, *http.Request) { t.Error("the request was sent") })
	r.handler.config.Placer = &placerOf{choice: backends.Choice{OverLimit: true, Wait: 2 * time.Second}, answered: true}
	answer := r.ask("POST", "/chat/x", func(q *http.Request) { q.Header.Set(names.Model, "m") })
	assert.Equal(t, answer.status, http.StatusTooManyRequests)
	assert.Equal(t, answer.header.Get("Retry-After"), "2.00")
}

// A request counts once, whoever counts it and however often it is sent.
func TestARequestCountsOnceAndOnlyIfItRan(t *testing.T) {
	stream := func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set(names.Seal, "s")
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
		r.handler.config.Placer = &placerOf{choice: c, answered: true}
	}
	cases := map[string]struct {
		prepare func(r *rig)
		ask     func(r *rig)
		want    []quota.Spent
	}{
		"a plain one": {func(r *rig) { r.add("app", "a", good) }, func(r *rig) { r.ask("GET", "/safe/x", nil) }, []quota.Spent{{Tenant: "alice", Amount: 200}}},
		"turned away everywhere": {func(r *rig) { r.add("app", "a", turnAway) }, func(r *rig) { r.ask("GET", "/safe/x", nil) },
			[]quota.Spent{{Tenant: "alice", Amount: 0}}},
		"tried twice": {func(r *rig) {
			r.add("app", "a", turnAway)
			r.add("app", "b", good)
		}, func(r *rig) { r.ask("GET", "/safe/x", nil) }, []quota.Spent{{Tenant: "alice", Amount: 200}}},
		"tokens, chosen here": {func(r *rig) { r.add("llm", "e", stream) }, chat, []quota.Spent{{Tenant: "alice", Amount: 100}}},
		"counted by the leader": {func(r *rig) {
			r.add("llm", "e", stream)
			place(r, backends.Choice{})
		}, chat, nil},
		"placed by a leader that may not count": {func(r *rig) {
			r.add("llm", "e", stream)
			place(r, backends.Choice{Uncounted: true})
		}, chat, []quota.Spent{{Tenant: "alice", Amount: 100}}},
		"counted by the leader, turned away": {func(r *rig) {
			r.add("llm", "e", turnAway)
			place(r, backends.Choice{})
		}, chat, []quota.Spent{{Tenant: "alice", Amount: -100}}},
		"a tenant without a limit": {func(r *rig) {
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

// What belongs to the router never reaches a back end from a caller, in whatever
// spelling, doubled, or named by Connection.
func TestHeadersOfTheRoutersOwnAreDroppedFromCallers(t *testing.T) {
	r := newRig(t)
	owned := r.handler.config.Headers.Owned()
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
	answer := r.ask("GET", "/safe/x", func(q *http.Request) {
		for _, name := range owned {
			q.Header[strings.ToLower(name)] = []string{"forged", "forged"}
		}
		q.Header.Set("X-Named", "1")
		q.Header.Set("Connection", "x-named")
	})
	assert.Equal(t, answer.status, http.StatusOK)
}

// A request without a tenant that every engine turned away ended its router's
// connection instead of being answered.
func TestARequestWithoutATenantHasNothingToGiveBack(t *testing.T) {
	r := newRig(t)
	r.limited()
	r.source.table.Routes[2].Public = true
	r.add("llm", "e", turnAway)
	held, found := r.pool.Choose(0, &backends.Query{Pool: "llm"})
	assert.Assert(t, found)
	held.Placement = 1
	r.handler.config.Placer = &placerOf{choice: held, answered: true}
	answer := r.ask("POST", "/chat/x", func(q *http.Request) { q.Header.Set(names.Model, "m") })
	assert.NilError(t, answer.err)
	assert.Equal(t, answer.status, http.StatusServiceUnavailable)
}
