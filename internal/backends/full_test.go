package backends

import (
	"testing"

	"gotest.tools/v3/assert"

	"quinceridge.example/quinceridge/internal/state"
)

// IsFull spares choices that would find no room. It must never do so for a choice that finds some.
func TestFullPoolHasNoRoom(t *testing.T) {
	p := newCentralPoolOf(engine("x", 1), engine("y", 1))
	q := roomQuery()
	full := 0
	for range 3 * 2 * q.Slots {
		isFull := p.IsFull(0, &q)
		choice, found := chooseRoom(p, 0, q)
		assert.Assert(t, !isFull || (!found && choice.NoRoom))
		if isFull {
			full++
			continue
		}
		if found {
			start(p, choice.ID, q)
		}
	}
	assert.Assert(t, full > 0)
	leaving := engine("x", 1)
	leaving.Draining = true
	other := engine("y", 1)
	other.Draining = true
	p.Apply([]state.Backend{leaving, other}, nil, false)
	assert.Assert(t, !p.IsFull(0, &q), "no engine is eligible, which is another answer")
	p.Apply([]state.Backend{engine("z", 1)}, nil, false)
	assert.Assert(t, !p.IsFull(0, &q))
}
