package coordinator

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against rollouts that start the next loads only after the reports of the previous ones, or
// so early that more engines load at once than intended.
func TestLoadCountsAsFinishingShortlyBeforeItsEnd(t *testing.T) {
	r := &rollout{running: map[string]*runningLoad{"a": {}, "b": {announcedAt: 4 * time.Second}}}
	assert.Assert(t, !r.finishing(2*time.Second, "a"), "a load without an accepted order")
	r.orderAccepted(time.Second, "a")
	assert.Assert(t, !r.finishing(2*time.Second, "a"), "the duration of loads is not known yet")
	r.recordLoadTime(2600*time.Millisecond, 750*time.Millisecond, "a")
	assert.Equal(t, r.meanOrderTime, 1600*time.Millisecond)

	r.orderAccepted(5*time.Second, "b")
	due := 5*time.Second + r.meanOrderTime - reportLag - announceDelay
	assert.Assert(t, !r.finishing(due-time.Millisecond, "b"))
	assert.Assert(t, r.finishing(due, "b"))
	assert.Assert(t, !r.finishing(due, "c"), "an engine that does not load")
}

// Guards against engines that leave orders unanswered and hold up the loads of all others.
func TestOverdueLoadCountsAsFinishing(t *testing.T) {
	r := &rollout{running: map[string]*runningLoad{"a": {announcedAt: time.Second}}}
	overdue := time.Second + overdueFactor*minLoadTime
	assert.Assert(t, !r.finishing(overdue-time.Millisecond, "a"))
	assert.Assert(t, r.finishing(overdue, "a"))
}
