package forward

import (
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against a further attempt that needs a second retry of the budget because its engine takes a while to respond
// to the status request.
func TestFurtherAttemptAtSlowEngineNeedsOneRetry(t *testing.T) {
	t.Parallel()
	const statusTime = 700 * time.Millisecond
	r := newStreamRig(t)
	r.handler.budget = newBudget(BudgetConfig{Ratio: 1.5, Window: time.Minute}, nil)
	r.handler.budget.draw = func() float64 { return 0 }
	stopped := make(chan struct{}, 1)
	first := r.addIdentified("llm", "first", "v1", 0, func(w http.ResponseWriter, q *http.Request) {
		events(w, 1, 3)
		stopped <- struct{}{}
		<-q.Context().Done()
	})
	answered := r.askInBackground("/resumable/1")
	<-stopped
	second := r.addIdentified("llm", "second", "v1", statusTime, func(w http.ResponseWriter, _ *http.Request) { events(w, 4, 6) })
	r.list([]string{"first"}, nil)
	begun := time.Now()
	got := <-answered
	assert.NilError(t, got.err)
	assert.Equal(t, got.body, eventText(6))
	assert.Equal(t, first.ran.Load(), int32(1))
	assert.Equal(t, second.ran.Load(), int32(1))
	assert.Assert(t, time.Since(begun) < testPause+statusTime+time.Second, "%v", time.Since(begun))
}
