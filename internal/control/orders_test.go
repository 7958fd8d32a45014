package control

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"quinceridge.example/quinceridge/internal/bundle"
	"quinceridge.example/quinceridge/internal/controlapi"
)

func TestOnlyAPartOfAModelsEnginesLoadsAtOnce(t *testing.T) {
	b := &bundle.Bundle{Models: map[string]bundle.Model{"m": {WeightsVersion: 1, TargetWeightsVersion: 2}}}
	var machines []controlapi.Machine
	for i := range 8 {
		machines = append(machines, controlapi.Machine{ID: fmt.Sprint(i), Role: controlapi.RoleEngine, Model: "m", Incarnation: "i", WeightsVersion: 1})
	}
	keeper := newOrderKeeper()
	first := keeper.wantedLoads(0, b, machines)
	assert.Equal(t, len(first), 2)
	for _, m := range first {
		keeper.given[m.ID] = 0
	}
	assert.Equal(t, len(keeper.wantedLoads(time.Second, b, machines)), 0)
	machines[0].WeightsVersion = 2 // the first has loaded
	assert.Equal(t, len(keeper.wantedLoads(2*time.Second, b, machines)), 1)
	// An order whose engine never loaded is given again.
	assert.Equal(t, len(keeper.wantedLoads(orderRepeat, b, machines)), 2)
	machines[1].Leaving = true
	for i := range machines {
		machines[i].WeightsVersion = 2
	}
	assert.Equal(t, len(keeper.wantedLoads(time.Minute, b, machines)), 0)
}
