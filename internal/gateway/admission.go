package gateway

import (
	"slices"
	"sync"
	"time"

	"quinceridge.example/quinceridge/internal/board"
	"quinceridge.example/quinceridge/internal/bundle"
	"quinceridge.example/quinceridge/internal/flowcontrol"
)

// admission guards the flow controller, which is not safe for concurrent use.
type admission struct {
	mu         sync.Mutex
	controller *flowcontrol.Controller
}

func newAdmission() *admission { return &admission{controller: flowcontrol.New()} }

func (a *admission) admit(now time.Duration, r flowcontrol.Request) flowcontrol.Verdict {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.controller.Admit(now, r)
}

// weight returns a tenant's weight at a time, raised by the events that it takes part in.
func weight(config *board.Config, name string, tenant bundle.Tenant, at time.Time) float64 {
	total := tenant.Weight
	for _, event := range config.Bundle.Events {
		if at.Before(event.Start) || at.After(event.Start.Add(event.Duration)) {
			continue
		}
		if slices.Contains(event.Tenants, name) {
			total *= event.Weight
		}
	}
	return total
}
