package experiment

import (
	"context"
	"testing"

	"gotest.tools/v3/assert"

	"quinceridge.example/quinceridge/internal/deployment"
	"quinceridge.example/quinceridge/internal/enginemodel"
	"quinceridge.example/quinceridge/internal/scheduling"
)

func simulate(t *testing.T, name, scenario, policy string, seed uint64) *Result {
	t.Helper()
	d, err := deployment.Find(name)
	assert.NilError(t, err)
	conditions, err := FindScenario(scenario)
	assert.NilError(t, err)
	affinity := scheduling.DefaultConfig()
	affinity.PrefillTokensPerSecond = enginemodel.DefaultConfig().PrefillTokensPerSecond()
	result, err := Simulate(context.Background(), Options{Deployment: d, Conditions: conditions, Policy: policy, Seed: seed,
		Engine: enginemodel.DefaultConfig(), Affinity: affinity})
	assert.NilError(t, err)
	return result
}

func TestEqualSeedsGiveEqualFigures(t *testing.T) {
	for _, scenario := range []string{"crash", "lag"} {
		assert.DeepEqual(t, simulate(t, "grocery", scenario, Affinity, 3), simulate(t, "grocery", scenario, Affinity, 3))
	}
}

// TestPlacementStaysNearTheBound keeps what docs/BENCH.md reports, in virtual
// time, where every run gives the same figure.
func TestPlacementStaysNearTheBound(t *testing.T) {
	for _, name := range deployment.Names() {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			ours, bound := simulate(t, name, "shift", Affinity, 1), simulate(t, name, "shift", Oracle, 1)
			assert.Assert(t, ours.HitRate > bound.HitRate-0.02, "hit rate %v, bound %v", ours.HitRate, bound.HitRate)
			assert.Assert(t, ours.WastedRatio < 0.02, "wasted %v", ours.WastedRatio)
		})
	}
}

func TestAHerdOfRestartsCostsNoHits(t *testing.T) {
	herd, calm := simulate(t, "pago", "herd", Affinity, 1), simulate(t, "pago", "surge", Affinity, 1)
	assert.Assert(t, herd.SurgeHitRate > calm.SurgeHitRate-0.01, "%v and %v", herd.SurgeHitRate, calm.SurgeHitRate)
}

func TestOverloadIsRefusedNotQueued(t *testing.T) {
	result := simulate(t, "pago", "overload", Affinity, 1)
	assert.Assert(t, result.Refused > 0)
	assert.Assert(t, result.SurgeP99 < 6, "p99 %v", result.SurgeP99)
	assert.Equal(t, result.Answered+result.Refused, result.Requests)
}

func TestEveryRequestIsAnsweredAfterLosses(t *testing.T) {
	for _, scenario := range []string{"crash", "zone-loss"} {
		result := simulate(t, "pago", scenario, Affinity, 2)
		assert.Equal(t, result.Answered, result.Requests)
	}
}
