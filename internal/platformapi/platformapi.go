// Package platformapi is the published protocol of the platform's list of
// machines. The list lags behind the truth.
package platformapi

// PathMachines serves the list with GET. The stand-in takes changes of single
// machines there with POST.
const PathMachines = "/machines"

// Machine is one listed machine.
type Machine struct {
	ID string `json:"id"`
	// Role is engine or application.
	Role    string `json:"role"`
	Address string `json:"address"`
	Region  string `json:"region"`
	Zone    string `json:"zone"`
	// Leaving machines will stop soon.
	Leaving bool `json:"leaving,omitempty"`
	// Gone removes the machine. It stands in changes only.
	Gone bool `json:"gone,omitempty"`
}

// List is the answer to GET.
type List struct {
	Machines []Machine `json:"machines"`
}
