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

func TestSimulateIsDeterministic(t *testing.T) {
	for _, scenario := range []string{"crash", "lag"} {
		assert.DeepEqual(t, simulate(t, "grocery", scenario, Affinity, 3), simulate(t, "grocery", scenario, Affinity, 3))
	}
}

// TestAffinityHitRateIsNearOracle guards against a loss of cache hits by the affinity policy when the
// popular documents change.
func TestAffinityHitRateIsNearOracle(t *testing.T) {
	for _, name := range deployment.Names() {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			affinity, oracle := simulate(t, name, "shift", Affinity, 1), simulate(t, name, "shift", Oracle, 1)
			assert.Assert(t, affinity.HitRate > oracle.HitRate-0.02, "hit rate %v, bound %v", affinity.HitRate, oracle.HitRate)
			assert.Assert(t, affinity.WastedRatio < 0.02, "wasted %v", affinity.WastedRatio)
		})
	}
}

func TestAffinityKeepsHitRateWhenRoutersRestart(t *testing.T) {
	restarted, baseline := simulate(t, "pago", "herd", Affinity, 1), simulate(t, "pago", "surge", Affinity, 1)
	assert.Assert(t, restarted.SurgeHitRate > baseline.SurgeHitRate-0.01, "%v and %v", restarted.SurgeHitRate, baseline.SurgeHitRate)
}

func TestAdmissionRefusesRequestsUnderOverload(t *testing.T) {
	result := simulate(t, "pago", "overload", Affinity, 1)
	assert.Assert(t, result.Refused > 0)
	assert.Assert(t, result.SurgeP99 < 6, "p99 %v", result.SurgeP99)
	assert.Equal(t, result.Answered+result.Refused, result.Requests)
}

func TestRequestsAreAnsweredWhenEnginesFail(t *testing.T) {
	for _, scenario := range []string{"crash", "zone-loss"} {
		result := simulate(t, "pago", scenario, Affinity, 2)
		assert.Equal(t, result.Answered, result.Requests)
	}
}
