// Package board holds the tables that the controllers of a router share. Each table has
// exactly one writer, which replaces the whole value; readers load the value without a lock
// and must not modify it.
//
// The board has no locks: a controller may read it while it holds a lock of its own.
package board

import (
	"slices"
	"sync/atomic"

	"github.com/cockroachdb/errors"

	"quinceridge.example/quinceridge/internal/agent"
	"quinceridge.example/quinceridge/internal/controlapi"
)

// ErrHasWriter is returned by Claim if the table already has a writer.
var ErrHasWriter = errors.New("table has a writer already")

// Table is a value with one writer and many readers.
type Table[T any] struct {
	value  atomic.Pointer[T]
	writer atomic.Pointer[string]
}

// Writer replaces the value of a table.
type Writer[T any] struct{ table *Table[T] }

// Claim returns the writer of the table to the named controller. It returns ErrHasWriter on a
// second call.
func (t *Table[T]) Claim(controller string) (*Writer[T], error) {
	if !t.writer.CompareAndSwap(nil, &controller) {
		return nil, errors.Wrapf(ErrHasWriter, "%s asked, %s has it", controller, *t.writer.Load())
	}
	return &Writer[T]{table: t}, nil
}

// Load returns the current value, or nil if none was stored.
func (t *Table[T]) Load() *T { return t.value.Load() }

// Store replaces the value.
func (w *Writer[T]) Store(value *T) { w.table.value.Store(value) }

// LeaseState describes whether and why the router may accept new requests.
type LeaseState struct {
	Mode agent.Mode
	// Routers is the number of admitted routers in the registry.
	Routers int
}

// Machines is the latest list of back ends.
type Machines struct {
	Revision uint64               `json:"revision"`
	Source   string               `json:"source"`
	Machines []controlapi.Machine `json:"machines"`
	// Watched names the zones whose loads are reported; empty means all.
	Watched []string `json:"watched,omitempty"`
}

// InWatchedZones returns the machines whose loads are reported, in the order of the list.
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

// Board holds the tables of one router.
type Board struct {
	// Config is the bundle in force. Its writer is the rollout controller.
	Config Table[Config]
	// LeaseState has the rollout controller as its writer.
	LeaseState Table[LeaseState]
	// Machines has the membership controller as its writer.
	Machines Table[Machines]
	// Draining reports whether the router is draining. Its writer is the router itself.
	Draining Table[bool]
}
