package relay

import (
	"testing"

	"gotest.tools/v3/assert"

	"quinceridge.example/quinceridge/internal/coordapi"
)

// A router with an older configuration gets no requests for a while, of any pool.
func TestOutdatedRouterIsNotChosen(t *testing.T) {
	s := NewSelector("a")
	s.Set(0, []coordapi.Relay{{Address: "behind", Zone: "a"}, {Address: "other", Zone: "b"}})
	s.Outdated(0, "behind")
	for _, pool := range []string{"app", "llm"} {
		address, done, found := s.Choose(outdatedPause-1, pool, nil, 0)
		assert.Assert(t, found)
		assert.Equal(t, address, "other")
		done()
	}
	address, _, found := s.Choose(outdatedPause, "app", nil, 0)
	assert.Assert(t, found)
	assert.Equal(t, address, "behind")
}
