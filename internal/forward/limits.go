package forward

import (
	"math/rand/v2"

	"quinceridge.example/quinceridge/internal/backends"
)

// setQuotaQuery sets the tenant and amount that the leader is to count, unless they are counted
// already.
func (h *Handler) setQuotaQuery(j *job) {
	j.query.Tenant, j.query.Amount = "", 0
	if j.quotaAmount > 0 && !j.quotaCounted {
		j.query.Tenant, j.query.Amount = j.tenant.Name, j.quotaAmount
	}
}

// admit counts a request locally unless it is counted already. Beyond is true if the tenant is
// over its limit; the choice then has the details.
func (h *Handler) admit(j *job) (over backends.Choice, beyond bool) {
	if j.quotaAmount == 0 || j.quotaCounted {
		return over, false
	}
	after, admitted := h.config.Quota.Admit(h.now(), j.tenant.Name, j.quotaAmount, j.pool.Engine == nil, rand.Float64())
	if !admitted {
		return backends.Choice{OverLimit: true, Wait: after}, true
	}
	j.quotaCounted = true
	return over, false
}

// returnQuota gives the quota of a request back that has not run here and is passed on: the other
// router counts it.
func (h *Handler) returnQuota(j *job) {
	h.refundQuota(j)
	if j.ran == 0 {
		j.quotaCounted = false
	}
}

// refundQuota releases the quota of a request that has not run.
func (h *Handler) refundQuota(j *job) {
	if j.quotaAmount > 0 && j.quotaCounted && j.ran == 0 {
		h.config.Quota.Release(j.tenant.Name, j.quotaAmount)
	}
}
