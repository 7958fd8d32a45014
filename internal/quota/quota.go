// Package quota keeps tenants within limits that hold over all routers together. The leader of
// the coordinators keeps a Limiter with a token bucket for each tenant, and is asked along with
// each placement. A Gate is a router's side: while the router does not ask the leader, it admits
// by the shares that the leader announced last, and reports the amounts later.
//
// The package does no I/O; time is an argument.
package quota

// Amount is what requests count against a limit, in the limit's unit: tokens or requests.
type Amount float64

// Limit bounds what a tenant uses over all routers.
type Limit struct {
	// Rate is the amount a second, 0 for no limit, and Burst what may be used above that at
	// once.
	Rate  Amount
	Burst Amount
	// Unit is what both count.
	Unit Unit
}

// Limited reports whether there is a limit at all.
func (l Limit) Limited() bool { return l.Rate > 0 }

// Unit is what a limit counts.
type Unit string

// The units of a limit.
const (
	// Requests counts 1 for each request.
	Requests Unit = ""
	// Tokens counts the tokens of a request's prompt and the most that it may generate.
	Tokens Unit = "tokens"
)
