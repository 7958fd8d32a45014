package traffic

import (
	"encoding/json"
	"fmt"
	"slices"
	"strings"
	"time"

	"quinceridge.example/quinceridge/internal/quota"
)

// Document is a configuration in the product's own form, as JSON. Durations are
// texts such as "1500ms".
type Document struct {
	Version uint64           `json:"version"`
	Routes  []DocumentRoute  `json:"routes"`
	Pools   []DocumentPool   `json:"pools"`
	Tenants []DocumentTenant `json:"tenants,omitempty"`
	// MaxBodyBytes bounds a caller's body; 0 means no limit.
	MaxBodyBytes int64 `json:"max_body_bytes,omitempty"`
}

// DocumentRoute is a Route of a Document.
type DocumentRoute struct {
	Name        string         `json:"name"`
	Host        string         `json:"host"`
	Prefix      string         `json:"prefix"`
	Kind        Kind           `json:"kind"`
	Timeout     string         `json:"timeout"`
	Target      string         `json:"target,omitempty"`
	GapTarget   string         `json:"gap_target,omitempty"`
	Priority    int            `json:"priority,omitempty"`
	Split       map[string]int `json:"split"`
	MaxAttempts int            `json:"max_attempts,omitempty"`
	Public      bool           `json:"public,omitempty"`
	Resumable   bool           `json:"resumable,omitempty"`
}

// DocumentPool is a Pool of a Document.
type DocumentPool struct {
	Name string `json:"name"`
	// Slots and CapacityTokens are set for pools of model engines.
	Slots          int `json:"slots,omitempty"`
	CapacityTokens int `json:"capacity_tokens,omitempty"`
	// StoreAddress is set for a store of kept prompts.
	StoreAddress string `json:"store_address,omitempty"`
}

// DocumentTenant is a Tenant of a Document.
type DocumentTenant struct {
	Name     string   `json:"name"`
	Keys     []string `json:"keys"`
	Priority int      `json:"priority,omitempty"`
	Isolated bool     `json:"isolated,omitempty"`
	// Rate is the amount for each second that the tenant may use over all routers, 0
	// for no limit, and Burst what it may use above that at once. Unit says what
	// they count: requests, if empty, or tokens. A request that names no tokens
	// counts PlainTokens then.
	Rate        quota.Amount `json:"rate,omitempty"`
	Burst       quota.Amount `json:"burst,omitempty"`
	Unit        quota.Unit   `json:"unit,omitempty"`
	PlainTokens int          `json:"plain_tokens,omitempty"`
}

func (t *DocumentTenant) tenant() Tenant {
	return Tenant{Name: t.Name, Keys: t.Keys, Priority: t.Priority, Isolated: t.Isolated,
		Quota: Quota{Limit: quota.Limit{Rate: t.Rate, Burst: t.Burst}, Unit: t.Unit, PlainTokens: t.PlainTokens}}
}

// Parse reads a Document and checks it.
func Parse(text []byte) (*Table, error) {
	var d Document
	if err := json.Unmarshal(text, &d); err != nil {
		return nil, fmt.Errorf("the configuration cannot be read: %w", err)
	}
	t := &Table{Version: d.Version, Limits: Limits{MaxBodyBytes: d.MaxBodyBytes}}
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
	times := []struct {
		text   string
		target *time.Duration
	}{{r.Timeout, &out.Timeout}, {r.Target, &out.Target}, {r.GapTarget, &out.GapTarget}}
	for _, t := range times {
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
