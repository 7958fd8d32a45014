package traffic

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func TestEffectiveTargetIsMinimumOfEquallyOrMoreUrgentRoutes(t *testing.T) {
	route := func(name, pool string, priority int, target time.Duration) Route {
		return Route{Name: name, Host: "h", Prefix: "/" + name + "/", Kind: KindSafe, Timeout: time.Second, Target: target, Priority: priority,
			Split: []Share{{Pool: pool, Weight: 1}}}
	}
	table, err := Build(&Table{Version: 1, Pools: []Pool{{Name: "llm"}, {Name: "app"}}, Routes: []Route{
		route("chat", "llm", 0, 600*time.Millisecond), route("check", "llm", 1, 800*time.Millisecond),
		route("batch", "llm", 2, 0), route("sync", "app", 0, 100*time.Millisecond)}})
	assert.NilError(t, err)
	want := map[string]time.Duration{"chat": 600 * time.Millisecond, "check": 600 * time.Millisecond, "batch": 0,
		"sync": 100 * time.Millisecond}
	for i := range table.Routes {
		r := &table.Routes[i]
		assert.Equal(t, table.EffectiveTarget(r), want[r.Name], r.Name)
	}
}
