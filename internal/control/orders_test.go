package control

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"quinceridge.example/quinceridge/internal/bundle"
	"quinceridge.example/quinceridge/internal/controlapi"
)

func TestDueLoadsLimitsConcurrentLoadsPerModel(t *testing.T) {
	b := &bundle.Bundle{Models: map[string]bundle.Model{"m": {WeightsVersion: 1, TargetWeightsVersion: 2}}}
	var machines []controlapi.Machine
	for i := range 8 {
		machines = append(machines, controlapi.Machine{ID: fmt.Sprint(i), Role: controlapi.RoleEngine, Model: "m", Incarnation: "i", WeightsVersion: 1})
	}
	tracker := newOrderTracker()
	first := tracker.dueLoads(0, b, machines)
	assert.Equal(t, len(first), 2)
	for _, m := range first {
		tracker.sentAt[m.ID] = 0
	}
	assert.Equal(t, len(tracker.dueLoads(time.Second, b, machines)), 0)
	machines[0].WeightsVersion = 2 // the first engine has loaded
	assert.Equal(t, len(tracker.dueLoads(2*time.Second, b, machines)), 1)
	// An order is resent if its engine did not load.
	assert.Equal(t, len(tracker.dueLoads(orderRetryInterval, b, machines)), 2)
	machines[1].Leaving = true
	for i := range machines {
		machines[i].WeightsVersion = 2
	}
	assert.Equal(t, len(tracker.dueLoads(time.Minute, b, machines)), 0)
}
