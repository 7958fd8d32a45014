package soak

import (
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func newChecked(known ...string) *Soak {
	return &Soak{config: Config{Known: known}, routerStalls: map[string]*stalls{"router-0": {}}, report: Report{Outcomes: map[string]int{}, SilentCut: map[string]int{}, StopExcused: map[string]int{}}}
}

// Guards against a check that accepts requests which wait beyond the time-out, and against one that
// fails because the soak or the router was not scheduled.
func TestDurationsBeyondTimeoutAreBreaches(t *testing.T) {
	c := &call{id: "c", kind: "chat", router: "router-0", sent: time.Second, took: routeTimeout + waitTolerance}
	s := newChecked()
	s.checkDuration(c)
	assert.Equal(t, len(s.report.Broken), 0)
	c.took += time.Millisecond
	s.checkDuration(c)
	assert.Equal(t, len(s.report.Broken), 1)
	for _, m := range []*stalls{&s.stalls, s.routerStalls["router-0"]} {
		m.list = []stall{{at: 2 * time.Second, length: 10 * time.Millisecond}}
		s.checkDuration(c)
		assert.Equal(t, len(s.report.Broken), 1)
		m.list = []stall{{at: 500 * time.Millisecond, length: time.Second}}
	}
	s.checkDuration(c)
	assert.Equal(t, len(s.report.Broken), 2)
	s.disturbances = []*disturbance{{program: "router-0", router: "router-0", from: 2 * time.Second, to: 2100 * time.Millisecond}}
	s.checkDuration(c)
	assert.Equal(t, len(s.report.Broken), 2)
}

// Guards against a refused request that has run, of any kind.
func TestRefusedRequestsThatRanAreBreaches(t *testing.T) {
	for _, kind := range kinds {
		s := newChecked()
		c := &call{id: "c", kind: kind, status: http.StatusServiceUnavailable, rejected: true}
		s.checkCall(c, nil)
		assert.Equal(t, len(s.report.Broken), 0)
		s.checkCall(c, []run{{id: "c", backend: "b", tenant: usualTenant}})
		assert.Equal(t, len(s.report.Broken), 1, kind)
	}
}

// Guards against a bound on rejections other than 1 in 200 and three deviations, and against a known
// failure that hides others.
func TestClosingFloodIsChecked(t *testing.T) {
	for _, test := range []struct {
		rejections, served, losses int
		known                      []string
		broken, listed             int
	}{
		{rejections: 6, served: 100},
		{rejections: 7, served: 100, broken: 1},
		{rejections: 7, served: 100, losses: 1},
		{rejections: 7, served: 100, known: []string{checkFloodRejections}, listed: 1},
		{rejections: 7, served: 98, known: []string{checkFloodRejections}, listed: 1, broken: 1},
		{served: 99},
		{served: 98, broken: 1},
	} {
		s := newChecked(test.known...)
		s.report.ClosingFlood = &FloodReport{Arrivals: 400, Rejections: int64(test.rejections), LeaderLosses: []int{test.losses},
			WindowLosses: []int{0}, Upgraded: true, windowFrom: time.Second, windowTo: 3 * time.Second}
		var calls []*call
		for i := range 100 {
			c := &call{sent: 2 * time.Second, status: http.StatusServiceUnavailable}
			if i < test.served {
				c.status, c.complete = http.StatusOK, true
			}
			calls = append(calls, c)
		}
		s.checkClosingFlood(calls)
		assert.Equal(t, len(s.report.Broken), test.broken, "%+v: %v", test, s.report.Broken)
		assert.Equal(t, len(s.report.Known), test.listed, "%+v", test)
	}
}

func TestDocumentHasFloodingTenant(t *testing.T) {
	assert.Assert(t, strings.Contains(string(documentOf(1)), floodKey))
}
