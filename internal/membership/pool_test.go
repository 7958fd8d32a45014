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

func TestOwnWorkCountsUntilAReportDoes(t *testing.T) {
	p := newPool(machine("e", "one", false))
	p.RecordDispatch(time.Second, "e", 500)
	assert.Equal(t, p.Snapshot(time.Second).Endpoints[0].Wait, 500*time.Millisecond)
	// A report of what was true before the work was sent does not count it.
	p.SetLoad(1200*time.Millisecond, "e", controlapi.LoadRow{})
	assert.Equal(t, p.Snapshot(1200 * time.Millisecond).Endpoints[0].Wait, 500*time.Millisecond)
	p.SetLoad(2*time.Second, "e", controlapi.LoadRow{controlapi.LoadPrefillTokens: 100})
	assert.Equal(t, p.Snapshot(2 * time.Second).Endpoints[0].Wait, 100*time.Millisecond)
}

func TestSuspicionGrowsAndEnds(t *testing.T) {
	p := newPool(machine("e", "one", false))
	assert.Equal(t, state(p, 0), scheduling.Live)
	p.RecordFailure(0, "e")
	assert.Equal(t, state(p, firstSuspicion-1), scheduling.Suspect)
	assert.Equal(t, state(p, firstSuspicion), scheduling.Live)
	p.RecordFailure(firstSuspicion, "e")
	assert.Equal(t, state(p, 2*firstSuspicion), scheduling.Suspect)
	p.RecordSuccess("e")
	assert.Equal(t, state(p, 2*firstSuspicion), scheduling.Live)
}

func TestAnEngineWithoutAReportIsTheLastChoice(t *testing.T) {
	p := newPool(machine("e", "one", false))
	assert.Equal(t, state(p, staleReport), scheduling.Suspect)
	p.SetLoad(staleReport, "e", controlapi.LoadRow{controlapi.LoadAge: -1}) // never reported
	assert.Equal(t, state(p, staleReport), scheduling.Suspect)
	p.SetLoad(staleReport, "e", controlapi.LoadRow{})
	assert.Equal(t, state(p, staleReport), scheduling.Live)
}

func TestLeavingEnginesComeBack(t *testing.T) {
	p := newPool(machine("e", "one", false))
	p.MarkDraining("e") // by its own word, before control tells
	assert.Equal(t, state(p, 0), scheduling.Leaving)
	p.SetMachines([]controlapi.Machine{machine("e", "one", false)}) // control does not know yet
	assert.Equal(t, state(p, 0), scheduling.Leaving)
	p.SetMachines([]controlapi.Machine{machine("e", "one", true)})
	assert.Equal(t, state(p, 0), scheduling.Leaving)
	p.SetMachines([]controlapi.Machine{machine("e", "one", false)})
	assert.Equal(t, state(p, 0), scheduling.Live)
}

func TestLeavingWorkersComeBack(t *testing.T) {
	worker := controlapi.Machine{ID: "w", Role: controlapi.RoleApplication, Address: "w"}
	gone := worker
	gone.Leaving = true
	p := newPool(worker)
	assert.Equal(t, len(p.Applications(0)), 1)
	p.SetMachines([]controlapi.Machine{gone})
	assert.Equal(t, len(p.Applications(0)), 0)
	p.SetMachines([]controlapi.Machine{worker})
	assert.Equal(t, len(p.Applications(0)), 1)
}

func TestAReplacedIncarnationWaitsForControl(t *testing.T) {
	p := newPool(machine("e", "one", false))
	p.MarkReplaced("e", "one")
	assert.Equal(t, len(p.Snapshot(0).Endpoints), 0)
	p.SetMachines([]controlapi.Machine{machine("e", "two", false)})
	assert.Equal(t, p.Snapshot(0).Endpoints[0].Incarnation, "two")
}
