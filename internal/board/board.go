// Package board is the router's blackboard: shared tables that controllers
// read and write. Each table has exactly one writer, which replaces its value
// whole; readers take the value without a lock and never change it.
//
// Lock order: the board has no locks. A controller that holds a lock of its
// own may read the board; it never waits for another controller.
package board

import (
	"slices"
	"sync/atomic"

	"github.com/cockroachdb/errors"

	"quinceridge.example/quinceridge/internal/agent"
	"quinceridge.example/quinceridge/internal/controlapi"
)

// ErrHasWriter is returned when a table has a writer already.
var ErrHasWriter = errors.New("table has a writer already")

// Table is a value with one writer and many readers.
type Table[T any] struct {
	value  atomic.Pointer[T]
	writer atomic.Pointer[string]
}

// Writer is the right to replace a table's value.
type Writer[T any] struct{ table *Table[T] }

// Claim gives the right to write to the named controller.
func (t *Table[T]) Claim(controller string) (*Writer[T], error) {
	if !t.writer.CompareAndSwap(nil, &controller) {
		return nil, errors.Wrapf(ErrHasWriter, "%s asked, %s has it", controller, *t.writer.Load())
	}
	return &Writer[T]{table: t}, nil
}

// Load returns the present value, or nil before the first one.
func (t *Table[T]) Load() *T { return t.value.Load() }

// Store replaces the value.
func (w *Writer[T]) Store(value *T) { w.table.value.Store(value) }

// LeaseState says by what right the router takes new work.
type LeaseState struct {
	Mode agent.Mode
	// Routers is how many routers the registry lists.
	Routers int
}

// Machines is the latest list of back ends.
type Machines struct {
	Revision uint64               `json:"revision"`
	Source   string               `json:"source"`
	Machines []controlapi.Machine `json:"machines"`
	// Watched names the zones that loads are known of; empty means all.
	Watched []string `json:"watched,omitempty"`
}

// InWatchedZones returns the machines that loads come for, in their order.
func (m *Machines) InWatchedZones() []controlapi.Machine {
	if len(m.Watched) == 0 {
		return m.Machines
	}
	var out []controlapi.Machine
	for _, machine := range m.Machines {
		if slices.Contains(m.Watched, machine.Zone) {
			out = append(out, machine)
		}
	}
	return out
}

// Board is the tables of one router.
type Board struct {
	// Config is the bundle in force, written by the rollout controller.
	Config Table[Config]
	// LeaseState is written by the rollout controller.
	LeaseState Table[LeaseState]
	// Machines is written by the membership controller.
	Machines Table[Machines]
	// Draining is written by the router's life cycle.
	Draining Table[bool]
}
