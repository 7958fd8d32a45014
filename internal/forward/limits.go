package forward

import (
	"math/rand/v2"

	"quinceridge.example/quinceridge/internal/backends"
)

// count names what the request counts to who places it, unless it was counted.
func (h *Handler) count(j *job) {
	j.query.Tenant, j.query.Amount = "", 0
	if j.counts > 0 && !j.counted {
		j.query.Tenant, j.query.Amount = j.tenant.Name, j.counts
	}
}

// admit counts a request here that nobody else has counted. Beyond is true when it
// is beyond its tenant's limit; the choice says so then.
func (h *Handler) admit(j *job) (over backends.Choice, beyond bool) {
	if j.counts == 0 || j.counted {
		return over, false
	}
	after, admitted := h.config.Quota.Admit(h.now(), j.tenant.Name, j.counts, rand.Float64())
	if !admitted {
		return backends.Choice{OverLimit: true, Wait: after}, true
	}
	j.counted = true
	return over, false
}

// settle gives back what a request counts that has not run.
func (h *Handler) settle(j *job) {
	if j.counts > 0 && j.counted && j.ran == 0 {
		h.config.Quota.Release(j.tenant.Name, j.counts)
	}
}
