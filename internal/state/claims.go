package state

import "time"

const (
	// defaultRetention is the time after which a claim expires, unless the bundle sets
	// another. A key that is repeated later may run the call again.
	defaultRetention = 2 * time.Hour
	// maxOutcomeBody bounds the stored response body, in bytes. A longer body is dropped and
	// the outcome is marked as truncated.
	maxOutcomeBody = 64 << 10
)

// claim is the record of one idempotency key.
type claim struct {
	Attempt string   `json:"attempt"`
	Request string   `json:"request"`
	Outcome *Outcome `json:"outcome,omitempty"`
	// At is the time of the claim and Until its expiry, both in Unix milliseconds.
	At    int64 `json:"at"`
	Until int64 `json:"until"`
}

// expiry schedules the removal of a claim or of a voided attempt.
type expiry struct {
	// At is in Unix milliseconds.
	At  int64  `json:"at"`
	Key string `json:"key"`
	// Void is set if Key names a voided attempt rather than a claim.
	Void bool `json:"void,omitempty"`
}

func claimKey(op *ClaimOperation) string { return op.Tenant + "\x00" + op.Key }

func (m *Machine) claims(c *Claims) Result {
	r := Result{Code: CodeOK, Claims: make([]ClaimResult, 0, len(c.Operations))}
	for i := range c.Operations {
		r.Claims = append(r.Claims, m.claim(&c.Operations[i]))
	}
	return r
}

func (m *Machine) claim(op *ClaimOperation) ClaimResult {
	switch op.Kind {
	case ClaimAcquire:
		return m.acquire(op)
	case ClaimFinish:
		return m.finish(op)
	case ClaimRelease:
		return m.release(op)
	}
	return ClaimResult{State: ClaimVoid}
}

// acquire grants a key to the first attempt that requests it. An attempt that was released
// before its acquire arrived is void, since its caller already got the answer that the call
// was not run.
func (m *Machine) acquire(op *ClaimOperation) ClaimResult {
	if _, void := m.data.Voids[op.Attempt]; void {
		return ClaimResult{State: ClaimVoid}
	}
	existing, found := m.data.Claims[claimKey(op)]
	if !found {
		m.data.Claims[claimKey(op)] = &claim{Attempt: op.Attempt, Request: op.Request, At: m.data.Now, Until: m.data.Now + m.retention()}
		m.scheduleExpiry(expiry{Key: claimKey(op)})
		return ClaimResult{State: ClaimGranted}
	}
	switch {
	case existing.Request != op.Request:
		return ClaimResult{State: ClaimMismatch}
	case existing.Outcome != nil:
		return ClaimResult{State: ClaimFinished, Outcome: existing.Outcome}
	case existing.Attempt == op.Attempt:
		// A retry of the same attempt, whose first answer was lost.
		return ClaimResult{State: ClaimGranted}
	}
	return ClaimResult{State: ClaimRunning, Age: m.data.Now - existing.At}
}

func (m *Machine) finish(op *ClaimOperation) ClaimResult {
	existing, found := m.data.Claims[claimKey(op)]
	if !found || existing.Attempt != op.Attempt || op.Outcome == nil {
		return ClaimResult{State: ClaimVoid}
	}
	if existing.Outcome == nil {
		outcome := *op.Outcome
		if len(outcome.Body) > maxOutcomeBody {
			outcome.Body, outcome.Truncated = nil, true
		}
		existing.Outcome = &outcome
	}
	return ClaimResult{State: ClaimFinished, Outcome: existing.Outcome}
}

// release frees a key whose attempt was not run, and voids the attempt in case its acquire
// arrives later.
func (m *Machine) release(op *ClaimOperation) ClaimResult {
	existing, found := m.data.Claims[claimKey(op)]
	if found && existing.Attempt == op.Attempt {
		if existing.Outcome != nil {
			return ClaimResult{State: ClaimFinished, Outcome: existing.Outcome}
		}
		delete(m.data.Claims, claimKey(op))
	}
	if _, void := m.data.Voids[op.Attempt]; !void {
		m.data.Voids[op.Attempt] = struct{}{}
		m.scheduleExpiry(expiry{Key: op.Attempt, Void: true})
	}
	return ClaimResult{State: ClaimVoid}
}

// retention returns the retention of claims in milliseconds.
func (m *Machine) retention() int64 {
	if m.data.Retention > 0 {
		return m.data.Retention
	}
	return defaultRetention.Milliseconds()
}

func (m *Machine) scheduleExpiry(e expiry) {
	e.At = m.data.Now + m.retention()
	m.data.Expiring = append(m.data.Expiring, e)
}

// expireClaims removes claims and voids that are past their retention. A shortened retention
// leaves the list out of order: later entries then expire with the entry before them.
func (m *Machine) expireClaims() {
	due := 0
	for due < len(m.data.Expiring) && m.data.Expiring[due].At <= m.data.Now {
		e := m.data.Expiring[due]
		due++
		if e.Void {
			delete(m.data.Voids, e.Key)
			continue
		}
		existing, ok := m.data.Claims[e.Key]
		if ok && existing.Until <= m.data.Now {
			delete(m.data.Claims, e.Key)
		}
	}
	m.data.Expiring = m.data.Expiring[due:]
}
