// Package quota keeps tenants within limits that hold over all routers together.
// The leader of the coordinators keeps a Bank with a token bucket for each tenant
// and is asked along with each placement. A Gate is a router's side: what the
// router admits without asking is told afterwards, by the shares that the leader
// announced last.
//
// The package does no I/O; time is an argument.
package quota

// Amount is what requests count against a limit, in the limit's unit: tokens or
// requests.
type Amount float64

// Limit bounds what a tenant uses over all routers.
type Limit struct {
	// Rate is the amount for each second, 0 for no limit, and Burst what may be used
	// above that at once.
	Rate  Amount
	Burst Amount
}

// Limited tells whether there is a limit at all.
func (l Limit) Limited() bool { return l.Rate > 0 }

// Unit says what requests count by.
type Unit string

// The units of a limit.
const (
	// Requests: each request counts 1.
	Requests Unit = ""
	// Tokens: a request counts the tokens of its prompt and the most that it may
	// generate.
	Tokens Unit = "tokens"
)
