package coordapi

import "time"

// LimitReport is what an answer has said of how much its back end takes from all machines
// together.
type LimitReport struct {
	ID   BackendID `json:"id"`
	Pool string    `json:"pool,omitempty"`
	// Limited says that there is a limit, and Rate how many requests a second.
	Limited bool    `json:"limited,omitempty"`
	Rate    float64 `json:"rate,omitempty"`
	// SentAgo is how long ago the request was written and Heard how long ago the head of its
	// answer was read: the back end made it in between.
	SentAgo     time.Duration `json:"sent"`
	ReceivedAgo time.Duration `json:"heard"`
}

// Claimant says whose request wants a right.
type Claimant struct {
	// Urgency is 0 for the most urgent.
	Urgency int `json:"u,omitempty"`
	// Tenant is empty for requests without a key.
	Tenant string `json:"t,omitempty"`
}

// Claim asks for the right to send one request to a back end that takes only so many a
// second from all machines together.
type Claim struct {
	Router string `json:"router"`
	// Number names the claim among the claims and placements of the router.
	Number   uint64    `json:"number"`
	Backend  BackendID `json:"backend"`
	Pool     string    `json:"pool"`
	Claimant Claimant  `json:"claimant,omitzero"`
	Reports
}

// Claimed answers a Claim.
type Claimed struct {
	// Permit is how long after the question the permit to send the request holds; 0 for none.
	Permit time.Duration `json:"right,omitempty"`
	// Unlimited says that the back end names no limit any more.
	Unlimited bool `json:"free,omitempty"`
	// Wait is when the back end takes another request, whosever it is; 0 says that it keeps
	// its next for others.
	Wait time.Duration `json:"wait,omitempty"`
	// RetryAfter is when there is room for the request at some back end of the pool, behind
	// those that were turned away before it.
	RetryAfter time.Duration `json:"room,omitempty"`
}

// Repeat asks for one more repeat than a router's own requests allow, of what all routers
// may repeat together.
type Repeat struct {
	Pool string `json:"pool"`
	// Burst is how many repeats there may be within Window beyond a part of the requests,
	// over all routers.
	Burst  float64       `json:"burst"`
	Window time.Duration `json:"window"`
}

// Repeated answers a Repeat.
type Repeated struct {
	Granted bool `json:"granted,omitempty"`
}

// ListLimits asks for the limits that the leader keeps.
type ListLimits struct{}

// LimitsInForce answers ListLimits.
type LimitsInForce struct {
	Backends []BackendLimit `json:"backends,omitempty"`
	Tenants  []TenantLimit  `json:"tenants,omitempty"`
}

// BackendLimit is what a back end takes from all machines, and what became of that lately.
type BackendLimit struct {
	ID   BackendID `json:"id"`
	Pool string    `json:"pool"`
	// Rate is in requests a second.
	Rate float64 `json:"rate"`
	// ObservedAgo is how long ago it was heard last.
	ObservedAgo time.Duration `json:"heard_ago"`
	// Granted and Denied are rights a second, of the last seconds.
	Granted float64 `json:"granted"`
	Denied  float64 `json:"denied"`
}

// TenantLimit is what a tenant may use over all routers, and what it has used lately.
type TenantLimit struct {
	Name string `json:"name"`
	// Rate is in units of the limit a second, and Burst what may be used above that at once.
	Rate  float64 `json:"rate"`
	Burst float64 `json:"burst"`
	// Asked and Refused are units a second, of the last second.
	Asked   float64 `json:"asked"`
	Refused float64 `json:"refused"`
}
