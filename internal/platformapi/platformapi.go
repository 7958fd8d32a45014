// Package platformapi defines the protocol of the platform's list of machines, which may be out
// of date.
package platformapi

// PathMachines is the path of the list. GET returns it; on POST the fake platform of rehearsals
// accepts changes of single machines.
const PathMachines = "/machines"

// Machine is an entry of the list.
type Machine struct {
	ID string `json:"id"`
	// Role is engine or application.
	Role    string `json:"role"`
	Address string `json:"address"`
	Region  string `json:"region"`
	Zone    string `json:"zone"`
	// Leaving machines will stop soon.
	Leaving bool `json:"leaving,omitempty"`
	// Gone removes the machine. It is set only in changes.
	Gone bool `json:"gone,omitempty"`
}

// List is the response to GET.
type List struct {
	Machines []Machine `json:"machines"`
}
