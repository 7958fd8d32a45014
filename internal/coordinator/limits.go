package coordinator

import (
	"encoding/json"
	"log/slog"
	"sync"
	"time"

	"quinceridge.example/quinceridge/internal/coordapi"
	"quinceridge.example/quinceridge/internal/quota"
	"quinceridge.example/quinceridge/internal/settings"
	"quinceridge.example/quinceridge/internal/state"
	"quinceridge.example/quinceridge/internal/traffic"
)

// borneChanges is over how many changes of the leader within a window tenants' limits hold:
// an election takes half a second and more, and a third within seconds would leave no time
// in which a leader admits.
const borneChanges = 2

// Decode reads a configuration's document.
type Decode func(document []byte) (*traffic.Table, error)

// limits counts what all routers use of tenants' limits while this node leads. It
// admits only while the node holds its lease: there is no other leader then. It is
// safe for concurrent use.
type limits struct {
	decode    Decode
	tolerance quota.Tolerance
	logger    *slog.Logger

	mu sync.Mutex
	// bank and repeats are nil while this node does not lead.
	bank    *quota.Limiter
	repeats *quota.SharedRetries
	// leasedUntil is the end of the lease, as seen last.
	leasedUntil time.Duration
	// configuredAt is the revision of the configuration whose limits the bank has.
	configuredAt uint64
	// shares are what was announced last.
	shares []quota.Share
}

func newLimits(config settings.Coordinator, decode Decode, logger *slog.Logger) *limits {
	return &limits{decode: decode, logger: logger,
		tolerance: quota.Tolerance{Window: config.QuotaWindow, Overshoot: config.QuotaOvershoot, Slack: quota.Amount(config.QuotaSlack),
			LeaderChanges: borneChanges}}
}

// reset begins or ends a leadership.
func (l *limits) reset(leads bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.bank, l.repeats, l.leasedUntil, l.configuredAt, l.shares = nil, nil, 0, 0, nil
	if leads {
		l.bank, l.repeats = quota.NewLimiter(l.tolerance), quota.NewSharedRetries()
	}
}

// follow notes the lease and takes the limits of the configuration in force. Before
// its first lease a leader may not have applied all that was committed: limits that come
// then would count as new ones, which nobody has used.
func (l *limits) follow(now, leasedUntil time.Duration, d *state.Deployment) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.leasedUntil = leasedUntil
	if l.bank == nil || leasedUntil == 0 || d.ConfiguredAt == l.configuredAt {
		return
	}
	l.configuredAt = d.ConfiguredAt
	l.set(now, d.Document)
}

func (l *limits) set(now time.Duration, document json.RawMessage) {
	table, err := l.decode(document)
	if err != nil {
		// It was checked before it was committed. The limits before it stay.
		l.logger.Error("limits cannot be read", "part", "limits", "error", err.Error())
		return
	}
	set := table.TenantLimits()
	l.bank.SetLimits(now, set)
	l.logger.Info("limits in force", "part", "limits", "version", table.Version, "tenants", len(set))
}

// take admits what a request counts. Counted is false when this node may not count
// now.
func (l *limits) take(now time.Duration, ask *coordapi.Place) (after time.Duration, admitted, counted bool) {
	if ask.Amount == 0 {
		return 0, true, true
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.bank == nil || now >= l.leasedUntil {
		return 0, true, false
	}
	after, admitted = l.bank.Take(now, ask.Tenant, ask.Amount)
	return after, admitted, true
}

// lend grants a repeat of the common burst. Share is the part of the routers that borrow;
// counted is false when this node may not lend now.
func (l *limits) lend(now time.Duration, ask *coordapi.Repeat, share float64) (granted, counted bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.repeats == nil || now >= l.leasedUntil {
		return false, false
	}
	return l.repeats.Take(now, ask.Pool, ask.Burst, ask.Window, share), true
}

// charge notes what routers admitted by themselves or give back.
func (l *limits) charge(now time.Duration, spent []quota.Spent) {
	if len(spent) == 0 {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.bank == nil {
		return
	}
	for _, s := range spent {
		l.bank.Charge(now, s.Tenant, s.Amount)
	}
}

// announce brings the shares up to date.
func (l *limits) announce(now time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.bank == nil {
		return
	}
	before := len(l.shares)
	l.shares = l.bank.Shares(now)
	if len(l.shares) != before {
		l.logger.Info("tenants beyond their limits", "part", "limits", "shares", l.shares)
	}
}

// uses lists the limits of tenants with what was made of them.
func (l *limits) uses(now time.Duration) []coordapi.TenantLimit {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.bank == nil {
		return nil
	}
	var out []coordapi.TenantLimit
	for _, u := range l.bank.Usage(now) {
		out = append(out, coordapi.TenantLimit{Name: u.Name, Rate: float64(u.Rate), Burst: float64(u.Burst), Asked: float64(u.Asked), Refused: float64(u.Refused)})
	}
	return out
}

// announced are the tenants whose demand is above their limit.
func (l *limits) announced() []quota.Share {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.shares
}
