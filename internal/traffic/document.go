package traffic

import (
	"encoding/json"
	"fmt"
	"slices"
	"strings"
	"time"

	"quinceridge.example/quinceridge/internal/quota"
)

// Document is the JSON form of a configuration. Durations are strings such as "1500ms".
type Document struct {
	Version uint64           `json:"version"`
	Routes  []DocumentRoute  `json:"routes"`
	Pools   []DocumentPool   `json:"pools"`
	Tenants []DocumentTenant `json:"tenants,omitempty"`
	// MaxBodyBytes is the maximum size of a request body; 0 means no limit.
	MaxBodyBytes int64 `json:"max_body_bytes,omitempty"`
	// MaxHeaderBytes is the maximum size of a request's head, HeaderTimeout the time in which it must
	// arrive, and IdleTimeout the time for which a connection may stay open without a request; empty for
	// the router's defaults.
	MaxHeaderBytes int    `json:"max_header_bytes,omitempty"`
	HeaderTimeout  string `json:"header_timeout,omitempty"`
	IdleTimeout    string `json:"idle_timeout,omitempty"`
}

// DocumentRoute is the JSON form of a Route.
type DocumentRoute struct {
	Name      string `json:"name"`
	Host      string `json:"host"`
	Prefix    string `json:"prefix"`
	Kind      Kind   `json:"kind"`
	Timeout   string `json:"timeout"`
	Target    string `json:"target,omitempty"`
	GapTarget string `json:"gap_target,omitempty"`
	// AbandonAfter is the time without a first event, or without a next one, after which callers give
	// up a stream; empty if unknown.
	AbandonAfter string         `json:"abandon_after,omitempty"`
	Priority     int            `json:"priority,omitempty"`
	Split        map[string]int `json:"split"`
	MaxAttempts  int            `json:"max_attempts,omitempty"`
	Public       bool           `json:"public,omitempty"`
	Resumable    bool           `json:"resumable,omitempty"`
}

// DocumentPool is the JSON form of a Pool.
type DocumentPool struct {
	Name string `json:"name"`
	// Slots and CapacityTokens are set for a pool of model engines.
	Slots          int `json:"slots,omitempty"`
	CapacityTokens int `json:"capacity_tokens,omitempty"`
	// StoreAddress is set for a prompt store.
	StoreAddress string `json:"store_address,omitempty"`
}

// DocumentTenant is the JSON form of a Tenant.
type DocumentTenant struct {
	Name     string   `json:"name"`
	Keys     []string `json:"keys"`
	Priority int      `json:"priority,omitempty"`
	Isolated bool     `json:"isolated,omitempty"`
	// Rate is the amount per second that the tenant may use over all routers, or 0 for no
	// limit. Burst is the amount that it may use at once on top of that. Both count requests
	// if Unit is empty. With Unit "tokens", a request that does not state its tokens counts as
	// PlainTokens.
	Rate        quota.Amount `json:"rate,omitempty"`
	Burst       quota.Amount `json:"burst,omitempty"`
	Unit        quota.Unit   `json:"unit,omitempty"`
	PlainTokens int          `json:"plain_tokens,omitempty"`
}

func (t *DocumentTenant) tenant() Tenant {
	return Tenant{Name: t.Name, Keys: t.Keys, Priority: t.Priority, Isolated: t.Isolated,
		Quota: Quota{Limit: quota.Limit{Rate: t.Rate, Burst: t.Burst, Unit: t.Unit}, PlainTokens: t.PlainTokens}}
}

// Parse decodes a Document and builds its Table.
func Parse(text []byte) (*Table, error) {
	var d Document
	if err := json.Unmarshal(text, &d); err != nil {
		return nil, fmt.Errorf("the configuration cannot be read: %w", err)
	}
	limits, err := d.limits()
	if err != nil {
		return nil, err
	}
	t := &Table{Version: d.Version, Limits: limits}
	for _, p := range d.Pools {
		t.Pools = append(t.Pools, p.pool())
	}
	for i := range d.Routes {
		r, err := d.Routes[i].route()
		if err != nil {
			return nil, fmt.Errorf("$.routes[%d]: %w", i, err)
		}
		t.Routes = append(t.Routes, r)
	}
	for i := range d.Tenants {
		t.Tenants = append(t.Tenants, d.Tenants[i].tenant())
	}
	return Build(t)
}

func (d *Document) limits() (Limits, error) {
	out := Limits{MaxBodyBytes: d.MaxBodyBytes, MaxHeaderBytes: d.MaxHeaderBytes}
	for _, t := range []struct {
		name, text string
		target     *time.Duration
	}{{"header_timeout", d.HeaderTimeout, &out.HeaderTimeout}, {"idle_timeout", d.IdleTimeout, &out.IdleTimeout}} {
		if t.text == "" {
			continue
		}
		value, err := time.ParseDuration(t.text)
		if err != nil || value <= 0 {
			return out, fmt.Errorf("$.%s: a duration above 0 is required, not %q", t.name, t.text)
		}
		*t.target = value
	}
	return out, nil
}

func (p *DocumentPool) pool() Pool {
	out := Pool{Name: p.Name}
	if p.Slots > 0 {
		out.Engine = &Engine{Slots: p.Slots, CapacityTokens: p.CapacityTokens}
	}
	if p.StoreAddress != "" {
		out.Store = &Store{Address: p.StoreAddress}
	}
	return out
}

func (r *DocumentRoute) route() (Route, error) {
	out := Route{Name: r.Name, Host: r.Host, Prefix: r.Prefix, Kind: r.Kind, Priority: r.Priority, MaxAttempts: r.MaxAttempts,
		Public: r.Public, Resumable: r.Resumable}
	durations := []struct {
		text   string
		target *time.Duration
	}{{r.Timeout, &out.Timeout}, {r.Target, &out.Target}, {r.GapTarget, &out.GapTarget}, {r.AbandonAfter, &out.AbandonAfter}}
	for _, t := range durations {
		if t.text == "" {
			continue
		}
		value, err := time.ParseDuration(t.text)
		if err != nil {
			return out, err
		}
		*t.target = value
	}
	for pool, weight := range r.Split {
		out.Split = append(out.Split, Share{Pool: pool, Weight: weight})
	}
	slices.SortFunc(out.Split, func(a, b Share) int { return strings.Compare(a.Pool, b.Pool) })
	return out, nil
}
