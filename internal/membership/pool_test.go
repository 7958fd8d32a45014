package membership

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"quinceridge.example/quinceridge/internal/controlapi"
	"quinceridge.example/quinceridge/internal/scheduling"
)

func machine(id, incarnation string, leaving bool) controlapi.Machine {
	return controlapi.Machine{ID: id, Role: controlapi.RoleEngine, Address: id, Incarnation: incarnation, Leaving: leaving, Model: "m", DecodeSlots: 4}
}

func newPool(machines ...controlapi.Machine) *Pool {
	p := NewPool(func(string) float64 { return 1000 })
	p.SetMachines(machines)
	for _, m := range machines {
		p.SetLoad(0, m.ID, controlapi.LoadRow{})
	}
	return p
}

func state(p *Pool, now time.Duration) scheduling.State {
	return p.Snapshot(now).Endpoints[0].State
}

func TestDispatchedWorkCountsUntilReported(t *testing.T) {
	p := newPool(machine("e", "one", false))
	p.RecordDispatch(time.Second, "e", 500)
	assert.Equal(t, p.Snapshot(time.Second).Endpoints[0].Wait, 500*time.Millisecond)
	// A report that was measured before the work was sent does not include it.
	p.SetLoad(1200*time.Millisecond, "e", controlapi.LoadRow{})
	assert.Equal(t, p.Snapshot(1200 * time.Millisecond).Endpoints[0].Wait, 500*time.Millisecond)
	p.SetLoad(2*time.Second, "e", controlapi.LoadRow{controlapi.LoadPrefillTokens: 100})
	assert.Equal(t, p.Snapshot(2 * time.Second).Endpoints[0].Wait, 100*time.Millisecond)
}

func TestSuspicionDoublesAndExpires(t *testing.T) {
	p := newPool(machine("e", "one", false))
	assert.Equal(t, state(p, 0), scheduling.Live)
	p.RecordFailure(0, "e")
	assert.Equal(t, state(p, initialSuspicion-1), scheduling.Suspect)
	assert.Equal(t, state(p, initialSuspicion), scheduling.Live)
	p.RecordFailure(initialSuspicion, "e")
	assert.Equal(t, state(p, 2*initialSuspicion), scheduling.Suspect)
	p.RecordSuccess("e")
	assert.Equal(t, state(p, 2*initialSuspicion), scheduling.Live)
}

func TestEngineWithoutRecentReportIsSuspect(t *testing.T) {
	p := newPool(machine("e", "one", false))
	assert.Equal(t, state(p, maxReportAge), scheduling.Suspect)
	p.SetLoad(maxReportAge, "e", controlapi.LoadRow{controlapi.LoadAge: -1}) // never reported
	assert.Equal(t, state(p, maxReportAge), scheduling.Suspect)
	p.SetLoad(maxReportAge, "e", controlapi.LoadRow{})
	assert.Equal(t, state(p, maxReportAge), scheduling.Live)
}

func TestLeavingEngineBecomesLiveAgain(t *testing.T) {
	p := newPool(machine("e", "one", false))
	p.MarkDraining("e") // reported by the engine, before the list shows it
	assert.Equal(t, state(p, 0), scheduling.Leaving)
	p.SetMachines([]controlapi.Machine{machine("e", "one", false)}) // a list that is not up to date yet
	assert.Equal(t, state(p, 0), scheduling.Leaving)
	p.SetMachines([]controlapi.Machine{machine("e", "one", true)})
	assert.Equal(t, state(p, 0), scheduling.Leaving)
	p.SetMachines([]controlapi.Machine{machine("e", "one", false)})
	assert.Equal(t, state(p, 0), scheduling.Live)
}

func TestLeavingWorkerIsListedAgain(t *testing.T) {
	worker := controlapi.Machine{ID: "w", Role: controlapi.RoleApplication, Address: "w"}
	leaving := worker
	leaving.Leaving = true
	p := newPool(worker)
	assert.Equal(t, len(p.Applications(0)), 1)
	p.SetMachines([]controlapi.Machine{leaving})
	assert.Equal(t, len(p.Applications(0)), 0)
	p.SetMachines([]controlapi.Machine{worker})
	assert.Equal(t, len(p.Applications(0)), 1)
}

func TestReplacedEngineIsExcludedUntilListed(t *testing.T) {
	p := newPool(machine("e", "one", false))
	p.MarkReplaced("e", "one")
	assert.Equal(t, len(p.Snapshot(0).Endpoints), 0)
	p.SetMachines([]controlapi.Machine{machine("e", "two", false)})
	assert.Equal(t, p.Snapshot(0).Endpoints[0].Incarnation, "two")
}
