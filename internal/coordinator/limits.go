package coordinator

import (
	"encoding/json"
	"log/slog"
	"math"
	"sync"
	"time"

	"quinceridge.example/quinceridge/internal/coordapi"
	"quinceridge.example/quinceridge/internal/quota"
	"quinceridge.example/quinceridge/internal/settings"
	"quinceridge.example/quinceridge/internal/state"
	"quinceridge.example/quinceridge/internal/traffic"
)

// toleratedLeaderChanges is the number of leader changes within a window for which tenants'
// limits still hold. An election takes half a second or more, so that a third change within seconds
// leaves no time in which a leader admits.
const toleratedLeaderChanges = 2

// Decode parses and checks the document of a configuration.
type Decode func(document []byte) (*traffic.Table, error)

// tenantLimits enforces the limits of tenants over all routers. It admits requests only while
// this node holds its lease, when no other leader can exist. It is safe for concurrent use.
type tenantLimits struct {
	decode    Decode
	tolerance quota.Tolerance
	logger    *slog.Logger

	mu sync.Mutex
	// limiter and retries are nil unless this node leads.
	limiter *quota.Limiter
	retries *quota.SharedRetries
	// leasedUntil is the end of the lease at the last update.
	leasedUntil time.Duration
	// configurationRevision is the revision of the configuration whose limits are set.
	configurationRevision uint64
	// levelsRevision is the revision of the recorded levels that the limiter keeps to.
	levelsRevision uint64
	// recordedLevels is the number of tenants in them, and records counts the records proposed.
	recordedLevels int
	records        int
	// shares are the shares that were announced last.
	shares []quota.Share
}

func newTenantLimits(config settings.Coordinator, decode Decode, logger *slog.Logger) *tenantLimits {
	return &tenantLimits{decode: decode, logger: logger,
		tolerance: quota.Tolerance{Window: config.QuotaWindow, Overshoot: config.QuotaOvershoot, Slack: quota.Amount(config.QuotaSlack),
			LeaderChanges: toleratedLeaderChanges}}
}

// reset starts or ends a leadership.
func (l *tenantLimits) reset(leads bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.limiter, l.retries, l.leasedUntil, l.shares = nil, nil, 0, nil
	l.configurationRevision, l.levelsRevision, l.recordedLevels = 0, 0, 0
	if leads {
		l.limiter, l.retries = quota.NewLimiter(l.tolerance), quota.NewSharedRetries()
	}
}

// update takes the lease and the limits of the configuration in force. Until its first lease a
// leader may not have applied all committed entries; limits that it applies after those of an
// older configuration would count as new, with full buckets.
func (l *tenantLimits) update(now, leasedUntil time.Duration, d *state.Deployment) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.leasedUntil = leasedUntil
	if l.limiter == nil || leasedUntil == 0 {
		return
	}
	l.updateLevels(d)
	if d.ConfigurationRevision == l.configurationRevision {
		return
	}
	l.configurationRevision = d.ConfigurationRevision
	l.set(now, d.Document)
}

// updateLevels takes the recorded levels: a new leader starts with them, and later keeps to its own.
func (l *tenantLimits) updateLevels(d *state.Deployment) {
	if d.TenantLevelsRevision == l.levelsRevision {
		return
	}
	l.levelsRevision, l.recordedLevels = d.TenantLevelsRevision, len(d.TenantLevels)
	levels := make(quota.Levels, len(d.TenantLevels))
	for tenant, level := range d.TenantLevels {
		levels[tenant] = quota.Amount(level)
	}
	if l.configurationRevision == 0 {
		l.limiter.Restore(levels)
		return
	}
	l.limiter.LevelsRecorded(levels)
}

// dueLevels returns the levels that are to be recorded now, or nil.
func (l *tenantLimits) dueLevels(now time.Duration) map[string]float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.limiter == nil || now >= l.leasedUntil {
		return nil
	}
	due := l.limiter.DueLevels(now)
	if due == nil {
		return nil
	}
	l.records++
	levels := make(map[string]float64, len(due))
	for tenant, level := range due {
		levels[tenant] = math.Floor(float64(level))
	}
	return levels
}

// levelRecords returns the number of tenants whose levels are recorded and the records proposed.
func (l *tenantLimits) levelRecords() (tenants, records int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.recordedLevels, l.records
}

// levelsRejected reports that the last record of levels will not be committed.
func (l *tenantLimits) levelsRejected() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.limiter != nil {
		l.limiter.LevelsRejected()
	}
}

func (l *tenantLimits) set(now time.Duration, document json.RawMessage) {
	table, err := l.decode(document)
	if err != nil {
		// Committed configurations were checked. Keep the previous limits.
		l.logger.Error("cannot decode configuration; keeping previous limits", "part", "limits", "error", err.Error())
		return
	}
	set := table.TenantLimits()
	l.limiter.SetLimits(now, set)
	l.logger.Info("tenant limits set", "part", "limits", "version", table.Version, "tenants", len(set), "recorded_levels", l.recordedLevels)
}

// admit decides whether a request is within its tenant's limit; after is the delay after which a
// rejected request may be sent again. counted is false if this node may not count now, in which
// case the request is admitted.
func (l *tenantLimits) admit(now time.Duration, req *coordapi.Place) (after time.Duration, admitted, counted bool) {
	if req.Amount == 0 {
		return 0, true, true
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.limiter == nil || now >= l.leasedUntil {
		return 0, true, false
	}
	after, admitted = l.limiter.TakeUrgent(now, req.Tenant, req.Amount, req.Urgency.Route)
	return after, admitted, true
}

// lend grants a retry of the shared burst. share is the fraction of routers that borrow; counted
// is false if this node may not lend now.
func (l *tenantLimits) lend(now time.Duration, req *coordapi.Repeat, share float64) (granted, counted bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.retries == nil || now >= l.leasedUntil {
		return false, false
	}
	return l.retries.Take(now, req.Pool, req.Burst, req.Window, share), true
}

// charge records amounts that routers admitted by themselves, or that they gave back if negative.
func (l *tenantLimits) charge(now time.Duration, spent []quota.Spent) {
	if len(spent) == 0 {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.limiter == nil {
		return
	}
	for _, s := range spent {
		l.limiter.Charge(now, s.Tenant, s.Amount)
	}
}

// hold puts off the use of an admitted amount whose request waits.
func (l *tenantLimits) hold(now time.Duration, tenant string, amount quota.Amount) {
	if amount == 0 {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.limiter != nil {
		l.limiter.Hold(now, tenant, amount)
	}
}

// settle ends the waits of amounts that were held.
func (l *tenantLimits) settle(now time.Duration, settlements []quota.Settlement) {
	if len(settlements) == 0 {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.limiter == nil {
		return
	}
	for _, s := range settlements {
		l.limiter.Settle(now, s)
	}
}

// announce recomputes the announced shares.
func (l *tenantLimits) announce(now time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.limiter == nil {
		return
	}
	before := len(l.shares)
	l.shares = l.limiter.Shares(now)
	if len(l.shares) != before {
		l.logger.Info("tenants over their limits", "part", "limits", "shares", l.shares)
	}
}

// list returns the limits of tenants and their recent use.
func (l *tenantLimits) list(now time.Duration) []coordapi.TenantLimit {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.limiter == nil {
		return nil
	}
	var out []coordapi.TenantLimit
	for _, u := range l.limiter.Usages(now) {
		out = append(out, coordapi.TenantLimit{Name: u.Name, Rate: float64(u.Rate), Burst: float64(u.Burst), Asked: float64(u.Asked), Refused: float64(u.Refused)})
	}
	return out
}

// announcedShares returns the shares of the tenants whose demand exceeds their limit.
func (l *tenantLimits) announcedShares() []quota.Share {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.shares
}
