package state

import "time"

const (
	// defaultRetention is how long a claim is remembered after it was made,
	// unless the bundle says otherwise. A caller that repeats a key later than
	// this may run the call again.
	defaultRetention = 2 * time.Hour
	// outcomeLimit bounds the stored answer. A longer one is cut, and repeats
	// are told so.
	outcomeLimit = 64 << 10
)

// claim is the record of one idempotency key.
type claim struct {
	Attempt string   `json:"attempt"`
	Request string   `json:"request"`
	Outcome *Outcome `json:"outcome,omitempty"`
	// At is when the claim was made, Until when it may be forgotten.
	At    int64 `json:"at"`
	Until int64 `json:"until"`
}

// expiry says when a claim or void may be forgotten.
type expiry struct {
	At  int64  `json:"at"`
	Key string `json:"key"`
	// Void says that Key is an attempt among the voids.
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

// acquire grants a key to the first attempt that asks. An attempt that was
// released before its request arrived is void: its caller has been told that
// the call was not run.
func (m *Machine) acquire(op *ClaimOperation) ClaimResult {
	if _, void := m.data.Voids[op.Attempt]; void {
		return ClaimResult{State: ClaimVoid}
	}
	held, taken := m.data.Claims[claimKey(op)]
	if !taken {
		m.data.Claims[claimKey(op)] = &claim{Attempt: op.Attempt, Request: op.Request, At: m.data.Now, Until: m.data.Now + m.retention()}
		m.expireLater(expiry{Key: claimKey(op)})
		return ClaimResult{State: ClaimGranted}
	}
	switch {
	case held.Request != op.Request:
		return ClaimResult{State: ClaimMismatch}
	case held.Outcome != nil:
		return ClaimResult{State: ClaimFinished, Outcome: held.Outcome}
	case held.Attempt == op.Attempt:
		// The same attempt asks again because the first answer was lost.
		return ClaimResult{State: ClaimGranted}
	}
	return ClaimResult{State: ClaimRunning, Age: m.data.Now - held.At}
}

func (m *Machine) finish(op *ClaimOperation) ClaimResult {
	held, taken := m.data.Claims[claimKey(op)]
	if !taken || held.Attempt != op.Attempt || op.Outcome == nil {
		return ClaimResult{State: ClaimVoid}
	}
	if held.Outcome == nil {
		outcome := *op.Outcome
		if len(outcome.Body) > outcomeLimit {
			outcome.Body, outcome.Truncated = nil, true
		}
		held.Outcome = &outcome
	}
	return ClaimResult{State: ClaimFinished, Outcome: held.Outcome}
}

// release frees a key whose attempt was not run, and voids the attempt in case
// its acquisition is still on the way.
func (m *Machine) release(op *ClaimOperation) ClaimResult {
	held, taken := m.data.Claims[claimKey(op)]
	if taken && held.Attempt == op.Attempt {
		if held.Outcome != nil {
			return ClaimResult{State: ClaimFinished, Outcome: held.Outcome}
		}
		delete(m.data.Claims, claimKey(op))
	}
	if _, void := m.data.Voids[op.Attempt]; !void {
		m.data.Voids[op.Attempt] = struct{}{}
		m.expireLater(expiry{Key: op.Attempt, Void: true})
	}
	return ClaimResult{State: ClaimVoid}
}

// retention is in milliseconds.
func (m *Machine) retention() int64 {
	if m.data.Retention > 0 {
		return m.data.Retention
	}
	return defaultRetention.Milliseconds()
}

func (m *Machine) expireLater(e expiry) {
	e.At = m.data.Now + m.retention()
	m.data.Expiring = append(m.data.Expiring, e)
}

// expireClaims forgets what is older than the retention. The list is in order
// of time but for changes of the retention, which delay what stands behind.
func (m *Machine) expireClaims() {
	due := 0
	for due < len(m.data.Expiring) && m.data.Expiring[due].At <= m.data.Now {
		e := m.data.Expiring[due]
		due++
		if e.Void {
			delete(m.data.Voids, e.Key)
			continue
		}
		held, ok := m.data.Claims[e.Key]
		if ok && held.Until <= m.data.Now {
			delete(m.data.Claims, e.Key)
		}
	}
	m.data.Expiring = m.data.Expiring[due:]
}
