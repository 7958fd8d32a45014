package forward

import (
	"math/rand/v2"
	"time"

	"quinceridge.example/quinceridge/internal/admission"
	"quinceridge.example/quinceridge/internal/backends"
	"quinceridge.example/quinceridge/internal/fairshare"
)

// fairClass returns the class of a request to a plain pool.
func fairClass(j *job) fairshare.Class {
	u := queueUrgency(j)
	return fairshare.Class{Pool: j.pool.Name, Tenant: j.tenantName(), Urgency: fairshare.Urgency{Tenant: u.Tenant, Route: u.Route}}
}

// refuseBeyondFairShare decides once for each request to a plain pool whether it is within the share
// of its class. It returns the refusal if it is not.
func (h *Handler) refuseBeyondFairShare(j *job) (refusal backends.Choice, refused bool) {
	if h.config.FairShares == nil || j.pool.Engine != nil || j.shareChecked {
		return refusal, false
	}
	j.shareChecked = true
	after, over, admitted := h.config.FairShares.Admit(h.clock(), fairClass(j), rand.Float64(), rand.Float64())
	if admitted {
		return refusal, false
	}
	j.beyondShare = true
	reason := admission.NoRoom
	if over {
		reason = admission.TenantOverShare
	}
	return backends.Choice{Reason: string(reason), RetryAfter: after}, true
}

// countFairRun counts a complete answer of a plain back end after the given time.
func (h *Handler) countFairRun(j *job, took time.Duration) {
	if h.config.FairShares != nil && j.pool.Engine == nil {
		h.config.FairShares.Ran(fairClass(j), took)
	}
}
