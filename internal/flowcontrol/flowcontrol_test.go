package flowcontrol

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func request(tenant string, priority int, expected time.Duration) Request {
	return Request{Tenant: tenant, Weight: 1, Priority: priority, FirstToken: time.Second, Expected: expected, Cost: 100}
}

func TestLateRequestIsRefused(t *testing.T) {
	c := New()
	assert.Assert(t, c.Admit(0, request("a", 100, time.Second)).Admitted)
	verdict := c.Admit(0, request("a", 100, 3500*time.Millisecond))
	assert.Assert(t, !verdict.Admitted)
	assert.Equal(t, verdict.Reason, ReasonDeadline)
	// The queue must shorten by 2.5 s before a retry has a chance.
	assert.Equal(t, verdict.RetryAfter, 3*time.Second)
	assert.Equal(t, c.Admit(0, request("a", 100, time.Hour)).RetryAfter, maxRetryAfter)
}

func TestLowerClassesAreRefusedFirst(t *testing.T) {
	c := New()
	assert.Assert(t, c.Admit(0, request("a", 100, 700*time.Millisecond)).Admitted)
	assert.Assert(t, !c.Admit(0, request("a", 0, 700*time.Millisecond)).Admitted)
}

func TestTenantsAboveTheirShareAreRefusedFirst(t *testing.T) {
	c := New()
	for range 30 {
		assert.Assert(t, c.Admit(0, request("large", 100, 0)).Admitted)
	}
	assert.Assert(t, c.Admit(0, request("small", 100, 0)).Admitted)
	busy := 800 * time.Millisecond
	verdict := c.Admit(0, request("large", 100, busy))
	assert.Equal(t, verdict.Reason, ReasonFairness)
	assert.Assert(t, c.Admit(0, request("small", 100, busy)).Admitted)
	// With spare capacity nobody is refused, and usage decays.
	assert.Assert(t, c.Admit(0, request("large", 100, 100*time.Millisecond)).Admitted)
	for range 40 {
		c.Admit(time.Minute, request("small", 100, 0))
	}
	assert.Assert(t, c.Admit(time.Minute, request("large", 100, busy)).Admitted)
}

func TestRetryBudgetIsShareOfSuccesses(t *testing.T) {
	b := NewRetryBudget()
	for range retryReserve {
		assert.Assert(t, b.Spend())
	}
	assert.Assert(t, !b.Spend())
	for range 10 {
		b.Earn()
	}
	assert.Assert(t, b.Spend())
	assert.Assert(t, !b.Spend())
}
