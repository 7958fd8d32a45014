package forward

import (
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"quinceridge.example/quinceridge/internal/backends"
)

// pushBack turns a request away and asks for a time without any.
func pushBack(wait string) http.HandlerFunc {
	return func(w http.ResponseWriter, q *http.Request) {
		w.Header().Set("Retry-After", wait)
		turnAway(w, q)
	}
}

// A back end that turned a request away and wants no other for half a minute gets none,
// whether the router chooses or the leader does: that one places at the engine with the
// least work, which is the one that takes nothing.
func TestABackEndThatPushedBackGetsNothing(t *testing.T) {
	r := newRig(t)
	r.add("app", "open", good)
	r.add("app", "full", pushBack("30"))
	for range 20 {
		assert.Equal(t, r.ask("POST", "/unsafe/x", nil).status, http.StatusOK)
		time.Sleep(20 * time.Millisecond)
	}
	assert.Assert(t, r.ran("full") <= 1, "it got %d", r.ran("full"))

	stream := func(w http.ResponseWriter, _ *http.Request) { events(w, 1, 2) }
	r.add("llm", "reads", stream)
	r.add("llm", "rests", pushBack("30"))
	rests, found := r.pool.Choose(0, &backends.Query{Pool: "llm", Tried: []string{"reads"}})
	assert.Assert(t, found)
	rests.Placement = 1
	r.handler.config.Placer = &placerOf{choice: rests, answered: true}
	asModel := func(q *http.Request) { q.Header.Set(names.Model, "m") }
	r.ask("POST", "/chat/x", asModel)
	for range 10 {
		assert.Equal(t, r.ask("POST", "/chat/x", asModel).status, http.StatusOK)
	}
	assert.Equal(t, r.ran("rests"), 1)
}
