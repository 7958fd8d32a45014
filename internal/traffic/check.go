package traffic

import (
	"fmt"
	"slices"
	"sort"
	"strings"
	"time"

	"quinceridge.example/quinceridge/internal/finding"
	"quinceridge.example/quinceridge/internal/quota"
)

// Build validates a table and builds its indexes. It returns all findings as one error; their
// fields are paths such as $.routes[2].split.
func Build(t *Table) (*Table, error) {
	c := &checker{table: t}
	c.pools()
	c.routes()
	c.tenants()
	if t.Version == 0 {
		c.add("$.version", "must be 1 or more")
	}
	if err := c.findings.Err(); err != nil {
		return nil, err
	}
	t.computeEffectiveTargets()
	return t, nil
}

// checker collects the findings of one table.
type checker struct {
	table    *Table
	findings finding.List
}

func (c *checker) add(field, format string, arguments ...any) {
	c.findings = append(c.findings, finding.Finding{File: "configuration", Field: field, Message: fmt.Sprintf(format, arguments...)})
}

func (c *checker) pools() {
	t := c.table
	t.pools = make(map[string]*Pool, len(t.Pools))
	for i := range t.Pools {
		p := &t.Pools[i]
		if p.Name == "" {
			c.add(fmt.Sprintf("$.pools[%d].name", i), "is required")
		}
		if _, taken := t.pools[p.Name]; taken {
			c.add(fmt.Sprintf("$.pools[%d].name", i), "pool %q stands twice", p.Name)
		}
		t.pools[p.Name] = p
		if p.Store != nil {
			t.stores = append(t.stores, p.Store)
		}
	}
	slices.SortFunc(t.stores, func(a, b *Store) int { return strings.Compare(a.Address, b.Address) })
}

func (c *checker) routes() {
	t := c.table
	t.hosts = map[string][]*Route{}
	taken := map[string]string{}
	for i := range t.Routes {
		r := &t.Routes[i]
		c.route(fmt.Sprintf("$.routes[%d]", i), r)
		key := r.Host + r.Prefix
		if other, duplicate := taken[key]; duplicate {
			c.add(fmt.Sprintf("$.routes[%d].prefix", i), "host and prefix are those of route %q too", other)
		}
		taken[key] = r.Name
		host := strings.ToLower(r.Host)
		t.hosts[host] = append(t.hosts[host], r)
	}
	for _, routes := range t.hosts {
		sort.SliceStable(routes, func(i, j int) bool { return len(routes[i].Prefix) > len(routes[j].Prefix) })
	}
}

func (c *checker) route(path string, r *Route) {
	if r.Host == "" || !strings.HasPrefix(r.Prefix, "/") {
		c.add(path+".prefix", "a host and a prefix that begins with a slash are required")
	}
	switch r.Kind {
	case KindSafe, KindUnsafe, KindStream:
	default:
		c.add(path+".kind", "must be one of: safe unsafe stream")
	}
	if r.Timeout <= 0 {
		c.add(path+".timeout", "must be above 0")
	}
	if r.AbandonAfter < 0 {
		c.add(path+".abandon_after", "is negative")
	}
	sum := 0
	for i, share := range r.Split {
		if _, known := c.table.pools[share.Pool]; !known {
			c.add(fmt.Sprintf("%s.split[%d]", path, i), "names no pool of this configuration: %q", share.Pool)
		}
		if share.Weight < 0 {
			c.add(fmt.Sprintf("%s.split[%d]", path, i), "the weight is negative")
		}
		sum += max(share.Weight, 0)
	}
	if sum == 0 {
		c.add(path+".split", "the weights add up to 0")
	}
}

func (c *checker) tenants() {
	t := c.table
	t.keys = map[string]*Tenant{}
	for i := range t.Tenants {
		tenant := &t.Tenants[i]
		c.quota(fmt.Sprintf("$.tenants[%d]", i), &tenant.Quota)
		for _, key := range tenant.Keys {
			if other, taken := t.keys[key]; taken && other.Name != tenant.Name {
				c.add(fmt.Sprintf("$.tenants[%d].keys", i), "a key of tenant %q is one of %q too", tenant.Name, other.Name)
			}
			t.keys[key] = tenant
		}
	}
}

func (c *checker) quota(path string, q *Quota) {
	if q.Rate < 0 {
		c.add(path+".rate", "is negative")
	}
	if q.Burst < 0 {
		c.add(path+".burst", "is negative")
	}
	if q.PlainTokens < 0 {
		c.add(path+".plain_tokens", "is negative")
	}
	switch q.Unit {
	case quota.Requests, quota.Tokens:
	default:
		c.add(path+".unit", "must be empty or tokens")
	}
}

// Route returns the route of the host with the longest matching path prefix, or nil.
func (t *Table) Route(host, path string) *Route {
	if colon := strings.LastIndexByte(host, ':'); colon >= 0 {
		host = host[:colon]
	}
	for _, r := range t.hosts[strings.ToLower(host)] {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}

// TenantByKey returns the tenant with the given API key, or nil.
func (t *Table) TenantByKey(key string) *Tenant { return t.keys[key] }

// TenantLimits returns the limits of the tenants that have one, by name.
func (t *Table) TenantLimits() map[string]quota.Limit {
	out := make(map[string]quota.Limit, len(t.Tenants))
	for i := range t.Tenants {
		if limit := t.Tenants[i].Quota.Limit; limit.Limited() {
			out[t.Tenants[i].Name] = limit
		}
	}
	return out
}

// NeedsKeys reports whether requests need an API key, which they do if the configuration has
// tenants.
func (t *Table) NeedsKeys() bool { return len(t.Tenants) > 0 }

// Pool returns the named pool, or nil.
func (t *Table) Pool(name string) *Pool { return t.pools[name] }

// Store returns the store of a prompt part, or nil if there are no stores. Parts are assigned
// to stores by their hash, so that all routers choose the same store.
func (t *Table) Store(part uint64) *Store {
	if len(t.stores) == 0 {
		return nil
	}
	return t.stores[part%uint64(len(t.stores))]
}

// EffectiveTarget returns the lowest target of the route and of those routes with the same
// first pool that are equally or more urgent. It returns 0 for a route without a target.
func (t *Table) EffectiveTarget(r *Route) time.Duration { return r.effectiveTarget }

// computeEffectiveTargets precomputes EffectiveTarget, which is called for every request.
func (t *Table) computeEffectiveTargets() {
	type rank struct {
		pool     string
		priority int
	}
	minTargets := map[rank]time.Duration{}
	for i := range t.Routes {
		r := &t.Routes[i]
		key := rank{r.Split[0].Pool, r.Priority}
		if current, known := minTargets[key]; r.Target > 0 && (!known || r.Target < current) {
			minTargets[key] = r.Target
		}
	}
	for i := range t.Routes {
		r := &t.Routes[i]
		r.effectiveTarget = r.Target
		for key, target := range minTargets {
			if key.pool == r.Split[0].Pool && key.priority <= r.Priority {
				r.effectiveTarget = min(r.effectiveTarget, target)
			}
		}
	}
}
