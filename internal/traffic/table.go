// Package traffic models the configuration of a deployment: routes by host and path prefix,
// the pools of back ends behind them, tenants with their API keys, and limits for callers. It
// does no I/O.
package traffic

import (
	"slices"
	"time"

	"quinceridge.example/quinceridge/internal/isolation"
	"quinceridge.example/quinceridge/internal/quota"
)

// Kind is the kind of a route. It determines whether a request may be retried.
type Kind string

// Kinds of routes.
const (
	// KindSafe is for requests that may run more than once.
	KindSafe Kind = "safe"
	// KindUnsafe is for requests that run at most once.
	KindUnsafe Kind = "unsafe"
	// KindStream is for requests answered by a stream of events. They run at most once unless
	// the route is resumable.
	KindStream Kind = "stream"
)

// Table is a complete configuration. It is immutable once built.
type Table struct {
	// Version orders configurations: the highest one is in force.
	Version uint64
	Routes  []Route
	Pools   []Pool
	Tenants []Tenant
	Limits  Limits
	// PromptScope is the scope of the cached prompts that tenants share.
	PromptScope isolation.Scope

	hosts map[string][]*Route
	keys  map[string]*Tenant
	pools map[string]*Pool
	// stores holds the prompt stores, ordered by address.
	stores []*Store
}

// Route sends the requests for a host and path prefix to pools.
type Route struct {
	Name string
	Host string
	// Prefix begins and ends with a slash. The longest matching prefix wins.
	Prefix string
	Kind   Kind
	// Timeout is the maximum time that a request may take.
	Timeout time.Duration
	// Target is the target latency of the response or, for a stream, of its first event.
	Target time.Duration
	// AbandonAfter is the time after which callers give up a stream without a first event, or without a
	// next one; 0 if unknown.
	AbandonAfter time.Duration
	// GapTarget is the target for the longest gap between two events of a stream.
	GapTarget time.Duration
	// Priority is 0 for the most urgent requests.
	Priority int
	Split    []Share
	// MaxAttempts is the maximum number of back ends to which one request is sent.
	MaxAttempts int
	// Public routes need no API key.
	Public bool
	// Affinity reports whether requests name the parts of their prompt.
	Affinity bool
	// Resumable streams may continue at another back end.
	Resumable bool

	// effectiveTarget is the result of Table.EffectiveTarget.
	effectiveTarget time.Duration
}

// Retryable reports whether a request of the route may run more than once.
func (r *Route) Retryable() bool {
	return r.Kind == KindSafe || (r.Kind == KindStream && r.Resumable)
}

// Callers give up a stream, also before its first event, after a gap of patienceTargets times its target
// latency or patienceGapTargets times its target gap, whichever is longer, and not before minPatience.
const (
	minPatience        = 2 * time.Second
	patienceTargets    = 4
	patienceGapTargets = 8
)

// Patience returns the time without an event for which callers of a stream with the given targets wait.
func Patience(target, gapTarget time.Duration) time.Duration {
	return max(minPatience, patienceTargets*target, patienceGapTargets*gapTarget)
}

// SilenceLimit returns the time without an event after which the caller of a stream is taken to have left.
func (r *Route) SilenceLimit() time.Duration {
	if r.AbandonAfter > 0 {
		return r.AbandonAfter
	}
	return Patience(r.Target, r.GapTarget)
}

// Share is the part of a route's traffic that goes to one pool, in proportion to its weight.
type Share struct {
	Pool   string
	Weight int
}

// Pool is a set of interchangeable back ends.
type Pool struct {
	Name       string
	HealthPath string
	// MaxConnections is the maximum number of connections to one back end from all routers
	// together.
	MaxConnections int
	// Engine is set for a pool of model engines.
	Engine *Engine
	// Store is set for a prompt store, which receives no requests.
	Store *Store
}

// Engine describes the model engines of a pool.
type Engine struct {
	// Slots is the number of requests that one engine runs concurrently.
	Slots int
	// CapacityTokens is the KV cache capacity of one engine, in tokens.
	CapacityTokens int
	Models         []string
	// Backups reports whether the KV cache of a running request may be copied to another
	// engine.
	Backups bool
}

// Store describes a store of cached prompt prefixes.
type Store struct {
	Address        string
	Zone           string
	CapacityTokens int
}

// Tenant is one customer.
type Tenant struct {
	Name string
	Keys []string
	// Priority takes precedence over that of the route; 0 is the most urgent.
	Priority int
	// Isolated tenants share no cached prompts with others.
	Isolated bool
	Quota    Quota
}

// Quota is the rate limit of a tenant over all routers.
type Quota struct {
	quota.Limit
	// PlainTokens is the number of tokens charged for a request that does not state its own.
	PlainTokens int
}

// Amount returns the quota that a request uses. named reports whether the request states its
// number of tokens.
func (q *Quota) Amount(tokens int, named bool) quota.Amount {
	switch {
	case q.Unit != quota.Tokens:
		return 1
	case named:
		return quota.Amount(tokens)
	}
	return quota.Amount(q.PlainTokens)
}

// Limits bound the requests of callers. Zero means no limit.
type Limits struct {
	MaxHeaderBytes int
	MaxBodyBytes   int64
	HeaderTimeout  time.Duration
	IdleTimeout    time.Duration
}

// SharingTenants lists the tenants by whether they share cached prompts.
func (t *Table) SharingTenants() *isolation.Tenants {
	out := &isolation.Tenants{}
	for i := range t.Tenants {
		if tenant := &t.Tenants[i]; tenant.Isolated {
			out.Isolated = append(out.Isolated, tenant.Name)
		} else {
			out.Sharing = append(out.Sharing, tenant.Name)
		}
	}
	return out
}

// TenantByName returns the tenant with a name, nil for none. It looks at all tenants.
func (t *Table) TenantByName(name string) *Tenant {
	at := slices.IndexFunc(t.Tenants, func(tenant Tenant) bool { return tenant.Name == name })
	if at < 0 {
		return nil
	}
	return &t.Tenants[at]
}

// WithPromptScope returns a copy of the table with the scope of shared prompts; nil for one that needs no
// history.
func (t *Table) WithPromptScope(scope *isolation.Scope) *Table {
	out := *t
	if scope != nil {
		out.PromptScope = *scope
	} else {
		out.PromptScope = isolation.ScopeWithout(t.SharingTenants().Isolated)
	}
	return &out
}
