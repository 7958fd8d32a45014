package forward

import (
	"net/http"
	"slices"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"quinceridge.example/quinceridge/internal/relay"
	"quinceridge.example/quinceridge/internal/resumption"
	"quinceridge.example/quinceridge/internal/traffic"
)

// changingSource is a Source whose table changes.
type changingSource struct {
	*source
	current atomic.Pointer[traffic.Table]
}

func (s *changingSource) Table() *traffic.Table { return s.current.Load() }

// setTable replaces the configuration of a router by the next version with a change.
func (r *rig) setTable(version uint64, change func(*traffic.Table)) *changingSource {
	next := *table(r.t)
	next.Version = version
	next.Pools = append(slices.Clone(next.Pools), traffic.Pool{Name: "new"})
	next.Routes, next.Tenants = slices.Clone(next.Routes), slices.Clone(next.Tenants)
	change(&next)
	built, err := traffic.Build(&next)
	assert.NilError(r.t, err)
	s, is := r.handler.config.Source.(*changingSource)
	if !is {
		s = &changingSource{source: r.source}
		r.handler.config.Source = s
	}
	s.current.Store(built)
	return s
}

// changedRoutes is a change of the configuration.
type changedRoutes struct {
	dropped, added []string
	moved          string
	// key replaces the tenant's key.
	key string
}

func (c changedRoutes) apply(table *traffic.Table) {
	table.Routes = slices.DeleteFunc(table.Routes, func(r traffic.Route) bool { return slices.Contains(c.dropped, r.Name) })
	for i := range table.Routes {
		if table.Routes[i].Name == c.moved {
			table.Routes[i].Split = []traffic.Share{{Pool: "new", Weight: 1}}
		}
	}
	for _, name := range c.added {
		table.Routes = append(table.Routes, traffic.Route{Name: name, Host: "h", Prefix: "/" + name + "/", Kind: traffic.KindUnsafe, Timeout: time.Second, Split: []traffic.Share{{Pool: "app", Weight: 1}}})
	}
	if c.key != "" {
		table.Tenants[0].Keys = []string{c.key}
	}
}

// A router that is cut off from the coordinators must not serve by its older configuration what another
// router has accepted by a newer one, nor deny it.
func TestOlderConfigurationDoesNotServePassedOnRequest(t *testing.T) {
	v4 := changedRoutes{moved: "unsafe", added: []string{"added"}, key: "kb"}
	for path, backend := range map[string]string{"/unsafe/x": "new", "/added/x": "app"} {
		t.Run(path, func(t *testing.T) {
			cut, behind, other := newRig(t), newRelayRig(t), newRelayRig(t)
			behind.add("app", "outdated", func(http.ResponseWriter, *http.Request) { t.Error("the request was sent") })
			other.add("app", "app", good)
			other.add("new", "new", good)
			cut.setTable(4, v4.apply)
			other.setTable(4, v4.apply)
			cut.losePath("app", "new")
			cut.setRelays(behind.address(), other.address())
			got := cut.ask("POST", path, func(q *http.Request) { q.Header.Set("Authorization", "Bearer kb") })
			assert.NilError(t, got.err)
			assert.Equal(t, got.status, http.StatusOK)
			assert.Equal(t, other.ran(backend), 1)
		})
	}
}

// Without a router that has the configuration, a request is refused soon and as not run.
func TestRequestIsRefusedSoonWhileAllOthersAreBehind(t *testing.T) {
	cut := newRig(t)
	var addresses []string
	for range 3 {
		behind := newRelayRig(t)
		behind.add("app", "outdated", func(http.ResponseWriter, *http.Request) { t.Error("the request was sent") })
		addresses = append(addresses, behind.address())
	}
	cut.setTable(4, changedRoutes{added: []string{"added"}}.apply)
	cut.losePath("app")
	cut.setRelays(addresses...)
	started := time.Now()
	got := cut.ask("POST", "/added/x", nil)
	assert.NilError(t, got.err)
	assert.Equal(t, got.status, http.StatusServiceUnavailable)
	assert.Assert(t, got.header.Get("Retry-After") != "")
	assert.Equal(t, got.header.Get(relay.HeaderConfiguration)+got.header.Get(relay.HeaderDeclined), "")
	assert.Assert(t, time.Since(started) < time.Second, "the deadline of the route")
}

// A router that receives the configuration while the request waits there serves it.
func TestPassedOnRequestWaitsForConfiguration(t *testing.T) {
	cut, late := newRig(t), newRelayRig(t)
	late.add("app", "a", good)
	added := changedRoutes{added: []string{"added"}}
	cut.setTable(4, added.apply)
	late.setTable(3, changedRoutes{}.apply)
	cut.losePath("app")
	cut.setRelays(late.address())
	time.AfterFunc(30*time.Millisecond, func() { late.setTable(4, added.apply) })
	assert.Equal(t, cut.ask("POST", "/added/x", nil).status, http.StatusOK)
}

// What only a newer configuration of another router denies is answered by that configuration once this
// router has it, and until then as not run.
func TestDenialByNewerConfigurationIsNotForwarded(t *testing.T) {
	for name, c := range map[string]struct {
		change changedRoutes
		status int
	}{"route": {changedRoutes{dropped: []string{"unsafe"}}, http.StatusNotFound}, "key": {changedRoutes{key: "kb"}, http.StatusUnauthorized}} {
		t.Run(name, func(t *testing.T) {
			cut, newer := newRig(t), newRelayRig(t)
			newer.add("app", "a", func(http.ResponseWriter, *http.Request) { t.Error("the request was sent") })
			newer.setTable(4, c.change.apply)
			cut.setTable(3, changedRoutes{}.apply)
			cut.losePath("app")
			cut.setRelays(newer.address())
			got := cut.ask("POST", "/unsafe/x", nil)
			assert.Equal(t, got.status, http.StatusServiceUnavailable)
			assert.Assert(t, got.header.Get("Retry-After") != "")
			time.AfterFunc(30*time.Millisecond, func() { cut.setTable(4, c.change.apply) })
			assert.Equal(t, cut.ask("POST", "/unsafe/x", nil).status, c.status)
		})
	}
}

// A newer configuration that allows the request decides where it runs.
func TestNewerConfigurationServesPassedOnRequest(t *testing.T) {
	cut, newer := newRig(t), newRelayRig(t)
	newer.add("app", "before", func(http.ResponseWriter, *http.Request) { t.Error("the request was sent") })
	newer.add("new", "a", good)
	newer.setTable(4, changedRoutes{moved: "unsafe"}.apply)
	cut.losePath("app")
	cut.setRelays(newer.address())
	assert.Equal(t, cut.ask("POST", "/unsafe/x", nil).status, http.StatusOK)
	assert.Equal(t, newer.ran("a"), 1)
}

// A request that has run must not run again at a router by whose configuration it may run only once.
func TestPassedOnRequestRunsOnceByNewerConfiguration(t *testing.T) {
	r := newRelayRig(t)
	r.add("app", "a", good)
	r.setTable(4, func(table *traffic.Table) { table.Routes[0].Kind = traffic.KindUnsafe })
	origin := relay.Origin{Router: "cut", Ran: 1, Delivered: 1, Counted: true, Configuration: 3}
	assert.Equal(t, r.sendRelayed("/safe/x", "ka", origin.Encode()).status, http.StatusBadGateway)
	assert.Equal(t, r.ran("a"), 0)
}

// Routers of older builds do not name a configuration.
func TestRequestOfOlderBuildIsServedByOwnConfiguration(t *testing.T) {
	r := newRelayRig(t)
	r.add("app", "a", good)
	origin := (&relay.Origin{Router: "old"}).Encode()
	assert.Equal(t, r.sendRelayed("/safe/x", "ka", origin).status, http.StatusOK)
	assert.Equal(t, r.sendRelayed("/nowhere/x", "ka", origin).status, http.StatusNotFound)
}

// A stream that is passed on is recorded with the pool that wrote it, which the other router has chosen.
func TestPassedOnStreamIsRecordedWithItsPool(t *testing.T) {
	cut, other := newRig(t), newRelayRig(t)
	records := cut.useResumptions()
	other.add("second", "e", func(w http.ResponseWriter, _ *http.Request) { events(w, 1, 2) })
	split := func(pool string) func(*traffic.Table) {
		return func(table *traffic.Table) {
			table.Pools = append(table.Pools, traffic.Pool{Name: "second", Engine: &traffic.Engine{Slots: 4, CapacityTokens: 10000}})
			table.Routes[3].Split = []traffic.Share{{Pool: pool, Weight: 1}}
		}
	}
	cut.setTable(3, split("llm"))
	other.setTable(4, split("second"))
	cut.losePath("llm", "second")
	cut.setRelays(other.address())
	got := cut.ask("POST", "/resumable/x", nil)
	assert.Equal(t, got.body, eventText(2))
	assert.Equal(t, got.header.Get(relay.HeaderPool), "")
	writer, recorded := records.LocalStream(resumption.KeyOf("alice", "id-1"))
	assert.Assert(t, recorded)
	assert.Equal(t, writer.Pool, "second")
}
