// Package traffic is the product's model of one configuration of a deployment:
// routes by host and path prefix, the pools of back ends behind them, tenants
// with their API keys, and the limits towards callers. It is pure: decoding
// and transport belong to its callers.
package traffic

import (
	"time"

	"quinceridge.example/quinceridge/internal/quota"
)

// Kind says what may be done with a request again.
type Kind string

// The kinds of routes.
const (
	// KindSafe requests may run more than once.
	KindSafe Kind = "safe"
	// KindUnsafe requests run at most once.
	KindUnsafe Kind = "unsafe"
	// KindStream requests are answered by a stream of events. They run at most
	// once unless the route is resumable.
	KindStream Kind = "stream"
)

// Table is one whole configuration. It is never changed once built.
type Table struct {
	// Version orders configurations: the highest holds.
	Version uint64
	Routes  []Route
	Pools   []Pool
	Tenants []Tenant
	Limits  Limits

	hosts map[string][]*Route
	keys  map[string]*Tenant
	pools map[string]*Pool
	// stores are the stores of kept prompts, in the order of their addresses.
	stores []*Store
}

// Route sends the requests of a host and path prefix to pools.
type Route struct {
	Name string
	Host string
	// Prefix begins and ends with a slash. The longest that fits wins.
	Prefix string
	Kind   Kind
	// Timeout is the longest time that a request is held.
	Timeout time.Duration
	// Target is the time within which an answer is in time; for a stream, its
	// first event.
	Target time.Duration
	// GapTarget is the longest pause between events that keeps a stream in
	// time.
	GapTarget time.Duration
	// Priority is 0 for the most urgent.
	Priority int
	Split    []Share
	// MaxAttempts bounds the back ends to which one request is sent.
	MaxAttempts int
	// Public routes need no key.
	Public bool
	// Affinity says that requests name the parts of their prompt.
	Affinity bool
	// Resumable streams may go on at another back end.
	Resumable bool

	// urgentTarget is what Table.EffectiveTarget returns.
	urgentTarget time.Duration
}

// Retryable tells whether a request of the route may run more than once.
func (r *Route) Retryable() bool {
	return r.Kind == KindSafe || (r.Kind == KindStream && r.Resumable)
}

// Share is one part of a route's traffic.
type Share struct {
	Pool   string
	Weight int
}

// Pool is a set of like back ends.
type Pool struct {
	Name       string
	HealthPath string
	// MaxConnections is how many connections one back end takes from all
	// routers together.
	MaxConnections int
	// Engine is set for pools of model engines.
	Engine *Engine
	// Store is set for a store of kept prompts, which takes no requests.
	Store *Store
}

// Engine describes the model engines of a pool.
type Engine struct {
	// Slots is how many requests one engine runs at once.
	Slots int
	// CapacityTokens is the memory of one engine, in tokens.
	CapacityTokens int
	Models         []string
	// Backups says that a run's memory may be copied to another engine.
	Backups bool
}

// Store describes a store of kept prompts.
type Store struct {
	Address        string
	Zone           string
	CapacityTokens int
}

// Tenant is one customer.
type Tenant struct {
	Name string
	Keys []string
	// Priority outranks the route's. 0 is the most urgent.
	Priority int
	// Isolated tenants share no kept prompt with others.
	Isolated bool
	Quota    Quota
}

// Quota is what a tenant may use over all routers.
type Quota struct {
	quota.Limit
	// Unit says what requests count by, and PlainTokens how many tokens one counts
	// that names none.
	Unit        quota.Unit
	PlainTokens int
}

// Amount is what a request counts that names its tokens, or does not.
func (q *Quota) Amount(tokens int, named bool) quota.Amount {
	switch {
	case q.Unit != quota.Tokens:
		return 1
	case named:
		return quota.Amount(tokens)
	}
	return quota.Amount(q.PlainTokens)
}

// Limits bound what a caller may send. Zero means no limit.
type Limits struct {
	MaxHeaderBytes int
	MaxBodyBytes   int64
	HeaderTimeout  time.Duration
	IdleTimeout    time.Duration
}
