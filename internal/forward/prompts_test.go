package forward

import (
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"quinceridge.example/quinceridge/internal/backends"
	"quinceridge.example/quinceridge/internal/clock"
	"quinceridge.example/quinceridge/internal/isolation"
	"quinceridge.example/quinceridge/internal/traffic"
	"quinceridge.example/quinceridge/internal/upstream"
)

const storeAddress = "10.0.0.9:1"

// promptJob returns a request with two shared parts.
func promptJob(t *testing.T) *job {
	t.Helper()
	built, err := traffic.Build(&traffic.Table{Version: 1,
		Pools: []traffic.Pool{{Name: "llm", Engine: &traffic.Engine{Slots: 4, CapacityTokens: 10000}},
			{Name: "store", Store: &traffic.Store{Address: storeAddress}}},
		Routes: []traffic.Route{{Name: "chat", Host: "h", Prefix: "/", Kind: traffic.KindStream, Timeout: 1, Split: []traffic.Share{{Pool: "llm", Weight: 1}}}},
	})
	assert.NilError(t, err)
	return &job{table: built, route: &built.Routes[0], pool: &built.Pools[0], request: &upstream.Request{Header: map[string][]string{}}, parts: []string{"rules", "case"},
		query: backends.Query{Model: "m", Key: "case"}}
}

func promptHandler() *Handler {
	return &Handler{config: Config{Headers: names, Source: &source{table: &traffic.Table{}}, Saved: NewSaved(), Pool: backends.NewPool("a")}, clock: clock.Now, started: clock.Now()}
}

// Requests that wait for an overloaded store hold memory at their engines, which then evict
// more and fetch more, so that the overload persists.
func TestSlowStoreIsUnusedUntilDelayHasPassed(t *testing.T) {
	h := promptHandler()
	home := backends.Choice{ID: "a", Version: 1, Versioned: true, Home: true, HomeAddress: "10.0.0.1:1"}
	j := promptJob(t)
	j.query.Shared = 4000 // processed in 100 ms at the initial estimate
	ask := func() string {
		h.setPromptHeaders(j, home)
		return j.request.Header.Get(names.FetchFrom)
	}
	assert.Equal(t, ask(), storeAddress)
	h.observeStoreDelay(j, 1500*time.Millisecond)
	assert.Equal(t, ask(), storeAddress, "a single slow request has no effect")
	for range 8 {
		ask()
		h.observeStoreDelay(j, 1500*time.Millisecond)
	}
	assert.Equal(t, ask(), "")
	assert.Equal(t, j.request.Header.Get(names.SaveTo), "")
	h.started -= 3 * time.Second
	assert.Equal(t, ask(), storeAddress, "the delay has decayed")
}

// Guards against processing parts that the store holds when only the last part is missing there.
func TestStoreWithFirstPartIsSource(t *testing.T) {
	h := promptHandler()
	away := backends.Choice{ID: "b", Version: 1, Versioned: true, HomeAddress: "10.0.0.1:1"}

	j := promptJob(t)
	h.setPromptHeaders(j, away)
	assert.Equal(t, j.request.Header.Get(names.FetchFrom), away.HomeAddress)

	h.config.Saved = NewSaved()
	h.config.Saved.ShouldSave(salt(j, 1, ""), j.parts[:1])
	h.setPromptHeaders(j, away)
	assert.Equal(t, j.request.Header.Get(names.FetchFrom), storeAddress)
	assert.Equal(t, j.request.Header.Get(names.SaveTo), storeAddress)
}

// Guards against filling the store's bandwidth and capacity with parts that no other request
// fetches.
func TestMostlyUnsharedPromptIsNotSaved(t *testing.T) {
	h := promptHandler()
	home := backends.Choice{ID: "a", Version: 1, Versioned: true, Home: true}
	for _, c := range []struct {
		own, shared int
		saves       string
	}{{own: 151, shared: 300, saves: ""}, {own: 150, shared: 300, saves: storeAddress}} {
		j := promptJob(t)
		j.query.Work.Prompt, j.query.Shared = c.own, c.shared
		h.setPromptHeaders(j, home)
		assert.Equal(t, j.request.Header.Get(names.SaveTo), c.saves)
		assert.Equal(t, j.request.Header.Get(names.FetchFrom), storeAddress)
	}
}

func TestOnlyLeadingPartsCountAsSaved(t *testing.T) {
	s := NewSaved()
	s.ShouldSave("m/1", []string{"case"})
	assert.Equal(t, s.CountSaved("m/1", []string{"rules", "case"}), 0)
	s.ShouldSave("m/1", []string{"rules"})
	assert.Equal(t, s.CountSaved("m/1", []string{"rules", "case", "more"}), 2)
	assert.Equal(t, s.CountSaved("m/2", []string{"rules"}), 0)
}

func TestParseSharedPartsDropsLast(t *testing.T) {
	ids, tokens := parseSharedParts("a:30, b:5,own:7", 2)
	assert.DeepEqual(t, ids, []string{"a", "b"})
	assert.DeepEqual(t, tokens, []int{30, 5})
}

// saltWith returns the salt that a waiting request gets once another configuration is in force.
func saltWith(j *job, scope isolation.Scope, tenants ...traffic.Tenant) string {
	h := promptHandler()
	later := *j.table
	later.Version, later.Tenants = j.table.Version+1, tenants
	h.config.Source = &source{table: later.WithPromptScope(&scope)}
	h.setPromptHeaders(j, backends.Choice{ID: "a", Version: 1, Versioned: true})
	return j.request.Header.Get(names.Salt)
}

// A request that waits while a tenant becomes isolated must not use what that tenant has cached.
func TestWaitingRequestFollowsIsolation(t *testing.T) {
	alice := &traffic.Tenant{Name: "alice"}
	for _, c := range []struct {
		name    string
		scope   isolation.Scope
		tenants []traffic.Tenant
		wanted  string
	}{
		{"nothing changes", "", []traffic.Tenant{{Name: "alice"}}, "m/1"},
		{"another tenant becomes isolated", "since-2", []traffic.Tenant{{Name: "alice"}, {Name: "bob", Isolated: true}}, "m/1//since-2"},
		{"its tenant becomes isolated", "since-2", []traffic.Tenant{{Name: "alice", Isolated: true}}, "m/1/alice"},
		{"its tenant is removed", "", nil, "m/1/alice"},
	} {
		j := promptJob(t)
		j.tenant = alice
		assert.Equal(t, saltWith(j, c.scope, c.tenants...), c.wanted, c.name)
	}
}

// Names with slashes must not lead to the salt of others.
func TestSaltsAreUnambiguous(t *testing.T) {
	seen := map[string]bool{}
	for _, model := range []string{"m", "m/1"} {
		for _, tenant := range []string{"", "2", "/since-2", "1/2"} {
			for _, scope := range []isolation.Scope{"", "since-2"} {
				if tenant != "" && scope != "" {
					continue
				}
				j := promptJob(t)
				j.query.Model, j.table.PromptScope = model, scope
				if tenant != "" {
					j.tenant = &traffic.Tenant{Name: tenant, Isolated: true}
				}
				for version := 1; version <= 2; version++ {
					s := salt(j, version, cacheSuffix(j.table, j.tenant))
					assert.Assert(t, !seen[s], s)
					seen[s] = true
				}
			}
		}
	}
}

// A further attempt beside a silent one must not share the prompts of an isolated tenant.
func TestFurtherAttemptKeepsIsolation(t *testing.T) {
	j := promptJob(t)
	j.tenant, j.table.Tenants = &traffic.Tenant{Name: "alice", Isolated: true}, []traffic.Tenant{{Name: "alice", Isolated: true}}
	j.request.Header.Set(names.Salt, "none")
	h := promptHandler()
	h.config.Source = &source{table: j.table}
	forked := j.fork(nil, &hedgeRecord{})
	h.setPromptHeaders(forked, backends.Choice{ID: "a", Version: 1, Versioned: true})
	assert.Equal(t, forked.request.Header.Get(names.Salt), "m/1/alice")
}

// Guards against a field of many parts whose lists are many times its size.
func TestSharedPartsBeyondLimitAreOwn(t *testing.T) {
	ids, tokens := parseSharedParts(strings.Repeat("a:1,", 3*maxSharedParts)+"own:7", maxSharedParts)
	assert.Equal(t, len(ids), maxSharedParts)
	assert.Equal(t, cap(ids), maxSharedParts)
	assert.Equal(t, sum(tokens), maxSharedParts)
	ids, _ = parseSharedParts("own:7", 0)
	assert.Equal(t, len(ids), 0)
}
