package backends

import "errors"

// ErrRestarted is the cause of cancellation of an attempt whose back end has restarted. The attempt
// cannot succeed, even if its connection stays open.
var ErrRestarted = errors.New("the back end has restarted")

// AddressReused is passed to the cancel function of an attempt whose back end has restarted at the same
// address with the same software. The attempt may run at the new start, which serves before routers know of it.
type AddressReused struct {
	// Successor is the ID of the new start's row.
	Successor string
}

// Error implements error.
func (e AddressReused) Error() string {
	return "the back end has restarted at its address as " + e.Successor
}

func (r *row) addAttempt(a *Attempt) {
	if r.attempts == nil {
		r.attempts = map[*Attempt]struct{}{}
	}
	r.attempts[a] = struct{}{}
}

// cancelSuperseded passes a cause to the cancel functions of the attempts at earlier starts of a back end.
// Only rows with an instance name can be matched with earlier starts.
func (p *Pool) cancelSuperseded(successor *row) {
	if p.central || successor.Instance == "" {
		return
	}
	for _, r := range p.rows {
		if r == successor || r.Name() != successor.Name() || r.EnrolledRevision > successor.EnrolledRevision {
			continue
		}
		cause := ErrRestarted
		if r.Address == successor.Address && r.Software == successor.Software {
			cause = AddressReused{Successor: successor.ID}
		}
		for a := range r.attempts {
			a.cancel(cause)
		}
	}
}
