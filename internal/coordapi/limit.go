package coordapi

import "time"

// LimitReport reports the rate limit, if any, that a response of a back end named. The limit
// applies to all machines together.
type LimitReport struct {
	ID   BackendID `json:"id"`
	Pool string    `json:"pool,omitempty"`
	// Limited reports whether the back end has a limit, and Rate is the limit in requests per
	// second.
	Limited bool    `json:"limited,omitempty"`
	Rate    float64 `json:"rate,omitempty"`
	// Brittle is the number of requests per second that the back end may reject for want of capacity
	// without failing, 0 if it named none, and Plain is set if it is no engine.
	Brittle float64 `json:"brittle,omitempty"`
	Plain   bool    `json:"plain,omitempty"`
	// SentAgo is the time since the request was written, and ReceivedAgo the time since the
	// response's header was read. The back end stated its limit in between.
	SentAgo     time.Duration `json:"sent"`
	ReceivedAgo time.Duration `json:"heard"`
}

// Claimant is the origin of a request, by which permits are shared out.
type Claimant struct {
	// Urgency is 0 for the most urgent.
	Urgency int `json:"u,omitempty"`
	// Tenant is empty for requests without an API key.
	Tenant string `json:"t,omitempty"`
}

// Claim requests a permit to send one request to a back end that limits its total request rate.
type Claim struct {
	Router string `json:"router"`
	// Number identifies the claim among the router's claims and placements.
	Number   uint64    `json:"number"`
	Backend  BackendID `json:"backend"`
	Pool     string    `json:"pool"`
	Claimant Claimant  `json:"claimant,omitzero"`
	// Finishes is set if the router reports the ends of requests (Reports.Finished).
	Finishes bool `json:"finishes,omitempty"`
	Reports
}

// Claimed is the reply to a Claim.
type Claimed struct {
	// Permit is the validity of the permit, counted from the moment the Claim was sent; 0 if it
	// was denied.
	Permit time.Duration `json:"right,omitempty"`
	// Running reports whether the permit is held until the request has ended.
	Running bool `json:"running,omitempty"`
	// Unlimited reports whether the back end no longer has a limit.
	Unlimited bool `json:"free,omitempty"`
	// Wait is the time until the back end accepts another request from anyone; 0 if the next
	// ones are reserved for others.
	Wait time.Duration `json:"wait,omitempty"`
	// RetryAfter is the time until some back end of the pool has capacity for the request, after
	// the requests that were turned away earlier.
	RetryAfter time.Duration `json:"room,omitempty"`
}

// Repeat requests one retry from the budget that all routers share, when the router's own
// requests allow no more.
type Repeat struct {
	Pool string `json:"pool"`
	// Burst is the number of retries that all routers together may make within Window, beyond
	// the fixed ratio of their requests.
	Burst  float64       `json:"burst"`
	Window time.Duration `json:"window"`
}

// Repeated is the reply to a Repeat.
type Repeated struct {
	Granted bool `json:"granted,omitempty"`
}

// ListLimits requests the limits that the leader enforces.
type ListLimits struct{}

// LimitsInForce is the reply to ListLimits.
type LimitsInForce struct {
	Backends []BackendLimit `json:"backends,omitempty"`
	Tenants  []TenantLimit  `json:"tenants,omitempty"`
}

// BackendLimit is a back end's rate limit for all machines together, and its recent use.
type BackendLimit struct {
	ID   BackendID `json:"id"`
	Pool string    `json:"pool"`
	// Rate is in requests per second.
	Rate float64 `json:"rate"`
	// ObservedAgo is the time since the limit was last observed.
	ObservedAgo time.Duration `json:"heard_ago"`
	// Granted and Denied are permits per second, over the last few seconds.
	Granted float64 `json:"granted"`
	Denied  float64 `json:"denied"`
}

// TenantLimit is a tenant's limit over all routers, and its recent use.
type TenantLimit struct {
	Name string `json:"name"`
	// Rate is in units of the limit per second, and Burst the units that may be used at once
	// beyond it.
	Rate  float64 `json:"rate"`
	Burst float64 `json:"burst"`
	// Asked and Refused are units per second, over the last second.
	Asked   float64 `json:"asked"`
	Refused float64 `json:"refused"`
}
