package ratelimit

import (
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"quinceridge.example/quinceridge/internal/coordapi"
)

// ErrNoPermit marks what is not sent because its back end takes only so much from all
// machines together, and nobody has granted it.
var ErrNoPermit = errors.New("the back end takes only so much from all machines")

// Permit is the right to send one request to one start of a back end. It is used up by the
// send; one that is not used goes back to who granted it, once.
type Permit struct {
	backend coordapi.BackendID
	// number names it to who granted it.
	number uint64
	// until is when it ends, by clock.Now; 0 for never, if the back end names no limit.
	until time.Duration
	spent atomic.Bool
}

// UnlimitedPermit returns a right to a start that names no limit, for all that the leader knows.
func UnlimitedPermit(id coordapi.BackendID) *Permit { return &Permit{backend: id} }

// NewPermit returns a right that was asked for at a time by clock.Now, under a number, and
// lasts for a term from then on: it may have been granted at any time since.
func NewPermit(id coordapi.BackendID, number uint64, asked, term time.Duration) *Permit {
	return &Permit{backend: id, number: number, until: asked + term}
}

// Permit is what a verdict allows, nil for nothing.
func (v Verdict) Permit(id coordapi.BackendID, number uint64, asked time.Duration) *Permit {
	switch {
	case v.Unlimited:
		return UnlimitedPermit(id)
	case v.Granted:
		return NewPermit(id, number, asked, PermitTTL)
	}
	return nil
}

// Number names the right to who granted it.
func (r *Permit) Number() uint64 { return r.number }

// free tells whether the right lasts, since there is no limit.
func (r *Permit) free() bool { return r.until == 0 }

// holds tells whether something may be sent to a start with the right. A nil right is none.
func (r *Permit) holds(now time.Duration, id coordapi.BackendID) bool {
	return r != nil && r.backend == id && (r.free() || now < r.until) && !r.spent.Load()
}

// spend uses the right up, and tells whether it held.
func (r *Permit) spend(now time.Duration, id coordapi.BackendID) bool {
	return r.holds(now, id) && (!r.spent.Swap(true) || r.free())
}
