package ratelimit

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func observed(sent, received int, rate PerSecond) observation {
	return observation{sent: time.Duration(sent), received: time.Duration(received), limited: rate >= 0, rate: max(rate, 0)}
}

// noLimit stands for an observation without a limit.
const noLimit PerSecond = -1

// The newest observation holds where the order is known, else the tighter.
func TestNewestObservationHolds(t *testing.T) {
	cases := map[string]struct {
		held, next, want observation
	}{
		"a newer one raises":                 {observed(0, 10, 1), observed(10, 20, 5), observed(10, 20, 5)},
		"a newer one lowers":                 {observed(0, 10, 5), observed(10, 20, 1), observed(10, 20, 1)},
		"a newer one ends the limit":         {observed(0, 10, 1), observed(10, 20, noLimit), observed(10, 20, noLimit)},
		"a newer one sets a limit again":     {observed(0, 10, noLimit), observed(10, 20, 1), observed(10, 20, 1)},
		"crossed, tighter":                   {observed(0, 10, 5), observed(5, 20, 1), observed(5, 20, 1)},
		"crossed, wider":                     {observed(0, 10, 1), observed(5, 20, 5), observed(0, 10, 1)},
		"crossed, none":                      {observed(0, 10, 1), observed(9, 20, noLimit), observed(0, 10, 1)},
		"crossed, limit after none":          {observed(5, 10, noLimit), observed(0, 20, 1), observed(0, 20, 1)},
		"crossed, the same, received later":  {observed(0, 10, 1), observed(5, 20, 1), observed(5, 20, 1)},
		"reported late, older":               {observed(20, 30, noLimit), observed(0, 10, 1), observed(20, 30, noLimit)},
		"reported late, crossed and tighter": {observed(5, 30, 5), observed(0, 10, 1), observation{sent: 0, received: 30, limited: true, rate: 1}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) { assert.Equal(t, c.next.merge(c.held, 0), c.want) })
	}
	// Observations of two routers have an order only beyond the slack.
	assert.Equal(t, observed(15, 20, 5).merge(observed(0, 10, 1), 10), observed(0, 10, 1))
	assert.Equal(t, observed(20, 25, 5).merge(observed(0, 10, 1), 10), observed(20, 25, 5))
}
