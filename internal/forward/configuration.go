package forward

import (
	"context"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"time"

	"quinceridge.example/quinceridge/internal/periodic"
	"quinceridge.example/quinceridge/internal/relay"
	"quinceridge.example/quinceridge/internal/traffic"
)

// configurationWait is the time for which a request waits for a configuration that another router
// already has. Routers receive a new one within milliseconds of each other unless they are cut off.
const configurationWait = 100 * time.Millisecond

// lookup returns the route of a request and the tenant of its key, nil for a public route. Target is the
// request target, and authorization its Authorization header.
func lookup(table *traffic.Table, host, target, authorization string) (*traffic.Route, *traffic.Tenant, *refusal) {
	path, _, _ := strings.Cut(target, "?")
	route := table.Route(host, path)
	if route == nil {
		return nil, nil, &refusal{status: http.StatusNotFound, reason: "no route", configuration: table.Version}
	}
	if !table.NeedsKeys() || route.Public {
		return route, nil, nil
	}
	key, bearer := strings.CutPrefix(authorization, "Bearer ")
	tenant := table.TenantByKey(strings.TrimSpace(key))
	if !bearer || tenant == nil {
		return nil, nil, &refusal{status: http.StatusUnauthorized, reason: "unknown key", configuration: table.Version}
	}
	return route, tenant, nil
}

// awaitConfiguration waits a short time for a configuration of at least a version, and returns the version
// in force.
func (h *Handler) awaitConfiguration(ctx context.Context, wanted uint64) uint64 {
	for waited := time.Duration(0); ; waited += freshStep {
		version := h.config.Source.Table().Version
		if version >= wanted || waited >= configurationWait || ctx.Err() != nil {
			return version
		}
		periodic.Sleep(ctx, freshStep)
	}
}

// declineConfiguration declines a request of another router because the configuration here differs.
func (h *Handler) declineConfiguration(w http.ResponseWriter, r *http.Request, origin *relay.Origin, version uint64, reason string) {
	w.Header().Set(relay.HeaderConfiguration, strconv.FormatUint(version, 10))
	j := &job{id: r.Header.Get(h.config.Headers.RequestID), origin: origin}
	h.declineAs(w, j, relay.DeclinedConfiguration, "configuration "+strconv.FormatUint(origin.Configuration, 10)+" there, "+strconv.FormatUint(version, 10)+" here, "+reason)
}

// refuseByNewer ends a request that the newer configuration of another router does not allow. The caller
// is told so only once this router has that configuration too. Ran is the result of the last attempt that
// may have run.
func (h *Handler) refuseByNewer(ctx context.Context, s *session, ran outcome) {
	j := s.job
	if j.ran > 0 {
		j.noAttempt = errNewerConfiguration.Error()
		h.finish(ctx, s, ran)
		return
	}
	out := &refusal{status: http.StatusServiceUnavailable, reason: errNewerConfiguration.Error(), retryAfter: lostRetryAfter + rand.N(lostRetryAfter/2)}
	if h.awaitConfiguration(ctx, j.newerConfiguration) >= j.newerConfiguration {
		if _, _, rejected := lookup(h.config.Source.Table(), j.request.Host, j.request.Target, j.authorization); rejected != nil {
			out = rejected
		}
	}
	h.refuse(s.client, j, out)
}

// declineUnresolved declines a request of another router that is refused here for a reason that need not
// hold there. It returns false for all others.
func (h *Handler) declineUnresolved(w http.ResponseWriter, r *http.Request, origin *relay.Origin, f *refusal) bool {
	switch {
	case f.status == http.StatusServiceUnavailable:
		h.decline(w, &job{id: r.Header.Get(h.config.Headers.RequestID), origin: origin}, f.reason)
	case f.configuration > origin.Configuration && origin.Configuration > 0:
		h.declineConfiguration(w, r, origin, f.configuration, f.reason)
	default:
		return false
	}
	return true
}
