package board

import (
	"crypto/sha256"
	"encoding/hex"

	"quinceridge.example/quinceridge/internal/bundle"
	"quinceridge.example/quinceridge/internal/controlapi"
	"quinceridge.example/quinceridge/internal/prefix"
)

// Config is a bundle indexed for lookups.
type Config struct {
	BundleID controlapi.BundleID
	Bundle   *bundle.Bundle

	tenantByKey    map[string]string
	routeByPath    map[string]string
	sharedByTenant map[string][]sharedPrompt
}

type sharedPrompt struct {
	name   string
	bytes  int
	sha256 string
}

// NewConfig indexes a bundle.
func NewConfig(stamp controlapi.BundleID, b *bundle.Bundle) *Config {
	c := &Config{BundleID: stamp, Bundle: b, tenantByKey: map[string]string{}, routeByPath: map[string]string{},
		sharedByTenant: map[string][]sharedPrompt{}}
	for name, tenant := range b.Tenants {
		c.tenantByKey[tenant.KeySHA256] = name
	}
	for name, route := range b.Routes {
		c.routeByPath[route.Path] = name
	}
	for name, shared := range b.SharedPrompts {
		for _, tenant := range shared.Tenants {
			c.sharedByTenant[tenant] = append(c.sharedByTenant[tenant], sharedPrompt{name, shared.Bytes, shared.SHA256})
		}
	}
	return c
}

// Tenant returns the tenant that an API key belongs to.
func (c *Config) Tenant(key string) (name string, tenant bundle.Tenant, known bool) {
	sum := sha256.Sum256([]byte(key))
	name, known = c.tenantByKey[hex.EncodeToString(sum[:])]
	return name, c.Bundle.Tenants[name], known
}

// Route returns the route of a path.
func (c *Config) Route(path string) (route bundle.Route, known bool) {
	name, known := c.routeByPath[path]
	return c.Bundle.Routes[name], known
}

// Scope returns which cache entries a tenant's prompt may use. A shared prompt is included
// only if the tenant is declared for it and the text starts with exactly that prompt.
func (c *Config) Scope(tenant string, text []byte) prefix.Scope {
	scope := prefix.Scope{Tenant: tenant}
	for _, shared := range c.sharedByTenant[tenant] {
		if shared.bytes > len(text) || shared.bytes <= scope.SharedBytes {
			continue
		}
		sum := sha256.Sum256(text[:shared.bytes])
		if hex.EncodeToString(sum[:]) == shared.sha256 {
			scope.Shared, scope.SharedBytes = shared.name, shared.bytes
		}
	}
	return scope
}
