package forward

import (
	"context"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against answers that the router cuts while their clients still wait.
func TestBegunAnswerIsNotCutBeforeItsTimeOut(t *testing.T) {
	r := newRig(t)
	r.add("llm", "e", hangAfterOne)
	began := time.Now()
	response := r.askChat()
	assert.Equal(t, response.status, http.StatusOK)
	assert.Assert(t, response.err != nil)
	timeout := r.source.table.Route("h", "/chat/x").Timeout
	assert.Assert(t, time.Since(began) >= timeout, "%v", time.Since(began))
}

// Guards against requests that end at the wrong one of their two time limits, or as left by their clients.
func TestRequestEndsAtItsDeadlineUnlessExtended(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const deadline, cutoff = 900 * time.Millisecond, time.Second
		for _, extended := range []bool{false, true} {
			began := time.Now()
			ctx, extend, done := newDeadlines().withDeadline(t.Context(), 0, deadline, cutoff)
			wanted := deadline
			if extended {
				extend()
				wanted = cutoff
			}
			<-ctx.Done()
			assert.Equal(t, time.Since(began), wanted)
			assert.ErrorIs(t, context.Cause(ctx), context.DeadlineExceeded)
			done()
		}
	})
}
