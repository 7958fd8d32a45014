package hedging

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against ending an attempt whose engine may go on while its caller waits.
func TestAttemptEndsOnlyOnceItsCallerHasLeft(t *testing.T) {
	const limit = 4 * time.Second
	cases := map[string]struct {
		state  State
		wanted Action
	}{
		"slow":                            {State{Silence: 10 * time.Second, Limit: limit}, Wait},
		"listed":                          {State{Listed: true, Silence: time.Second, Limit: limit}, Hedge},
		"listed, caller gone":             {State{Listed: true, Silence: 5 * time.Second, Limit: limit}, Hedge},
		"without heartbeats":              {State{Listed: true, Lost: true, Silence: limit, Limit: limit}, Hedge},
		"without heartbeats, caller gone": {State{Listed: true, Lost: true, Silence: limit + 1, Limit: limit}, End},
		"removed":                         {State{Lost: true, Silence: time.Second, Limit: limit}, Hedge},
		"removed, caller gone":            {State{Lost: true, Silence: limit + 1, Limit: limit}, End},
		"path lost":                       {State{PathLost: true, Silence: 5 * time.Second, Limit: limit}, Hedge},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) { assert.Equal(t, Decide(c.state), c.wanted) })
	}
}

// Guards against searches at a fixed rate while an engine stays silent, and against none for seconds.
func TestSearchesBackOff(t *testing.T) {
	var b Backoff
	var at []time.Duration
	for now := time.Duration(0); now < 4*time.Second; now += time.Millisecond {
		if b.Ready(now) {
			at = append(at, now)
			assert.Equal(t, b.Failed(now), len(at) == 1)
		}
	}
	assert.DeepEqual(t, at, []time.Duration{0, 100 * time.Millisecond, 300 * time.Millisecond, 700 * time.Millisecond, 1500 * time.Millisecond,
		2500 * time.Millisecond, 3500 * time.Millisecond})
	b.Reset()
	assert.Assert(t, b.Ready(3600*time.Millisecond))
}
