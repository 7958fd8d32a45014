package listener

import (
	"cmp"
	"log/slog"

	"golang.org/x/sys/unix"

	"quinceridge.example/quinceridge/internal/memory"
)

const (
	// clientShare, internalShare and statusShare divide the descriptors of a process. The rest, a fifth at
	// least, is for connections to other processes, files, and connections that end.
	clientShare   = 0.5
	internalShare = 0.1875
	statusShare   = 0.05
	// maxStatus bounds the connections for checks and metrics, which few clients need.
	maxStatus = 64
	// minConnections is the number of connections that each listener may have in any case.
	minConnections = 8
	// processPart is the part of the memory of a process with tables of its own that clients may fill.
	processPart = 3
	// defaultMemory is the memory of a process that names none, in MiB.
	defaultMemory = 256
	// connectionsPart is the part of the memory budget that idle connections may take.
	connectionsPart = 2
)

// Capacity is the number of connections for each kind of listener of a process.
type Capacity struct {
	// Clients is for the main listener, Internal for calls between processes, and Status for checks and
	// metrics.
	Clients, Internal, Status int
}

// CapacityOf divides the descriptors and the memory of a process. With descriptors 0 the limit of the system
// holds.
func CapacityOf(descriptors int, budget *memory.Budget) Capacity {
	if descriptors == 0 {
		descriptors = systemDescriptors()
	}
	idle := int(budget.Limit() / connectionsPart / connectionBytes)
	part := func(share float64, most int) int {
		return max(min(int(share*float64(descriptors)), most), minConnections)
	}
	return Capacity{Clients: part(clientShare, idle), Internal: part(internalShare, idle), Status: part(statusShare, maxStatus)}
}

// NewProcessGuard returns the guard of a process that takes calls of other processes, and the capacity of its
// listeners. Clients may fill a third of its memory, which is given in MiB; 0 means defaultMemory.
func NewProcessGuard(mebibytes, descriptors int, logger *slog.Logger) (*Guard, Capacity) {
	budget := memory.NewBudget(int64(cmp.Or(mebibytes, defaultMemory)) << 20 / processPart)
	return NewGuard(budget, logger), CapacityOf(descriptors, budget)
}

// systemDescriptors returns the number of descriptors that the process may open.
func systemDescriptors() int {
	const fallback = 1024
	var limit unix.Rlimit
	if err := unix.Getrlimit(unix.RLIMIT_NOFILE, &limit); err != nil {
		// The usual limit of a system.
		return fallback
	}
	return int(min(limit.Cur, 1<<20))
}
