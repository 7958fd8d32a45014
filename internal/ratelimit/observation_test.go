package ratelimit

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func said(sent, heard int, rate PerSecond) word {
	return word{sent: time.Duration(sent), heard: time.Duration(heard), limited: rate >= 0, rate: max(rate, 0)}
}

// none is a rate that says that there is no limit.
const none PerSecond = -1

// Answers overtake each other: what holds is the newest word where it is known which that
// is, else the tighter.
func TestTheNewestWordHolds(t *testing.T) {
	cases := map[string]struct {
		held, next, want word
	}{
		"a newer one raises":             {said(0, 10, 1), said(10, 20, 5), said(10, 20, 5)},
		"a newer one lowers":             {said(0, 10, 5), said(10, 20, 1), said(10, 20, 1)},
		"a newer one takes back":         {said(0, 10, 1), said(10, 20, none), said(10, 20, none)},
		"a newer one names again":        {said(0, 10, none), said(10, 20, 1), said(10, 20, 1)},
		"crossed, tighter":               {said(0, 10, 5), said(5, 20, 1), said(5, 20, 1)},
		"crossed, wider":                 {said(0, 10, 1), said(5, 20, 5), said(0, 10, 1)},
		"crossed, none":                  {said(0, 10, 1), said(9, 20, none), said(0, 10, 1)},
		"crossed, named after over":      {said(5, 10, none), said(0, 20, 1), said(0, 20, 1)},
		"crossed, the same, read later":  {said(0, 10, 1), said(5, 20, 1), said(5, 20, 1)},
		"told late, older":               {said(20, 30, none), said(0, 10, 1), said(20, 30, none)},
		"told late, crossed and tighter": {said(5, 30, 5), said(0, 10, 1), word{sent: 0, heard: 30, limited: true, rate: 1}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) { assert.Equal(t, c.next.after(c.held, 0), c.want) })
	}
	// Reports of two routers are told apart only beyond the time that one may take longer.
	assert.Equal(t, said(15, 20, 5).after(said(0, 10, 1), 10), said(0, 10, 1))
	assert.Equal(t, said(20, 25, 5).after(said(0, 10, 1), 10), said(20, 25, 5))
}
