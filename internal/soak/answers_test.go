package soak

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

const ms = time.Millisecond

// Guards against a check that accepts answers which routers end while a back end is silent, and against
// one that blames routers for what others end.
func TestAnswersEndedDuringSilenceAreBreaches(t *testing.T) {
	type scene struct {
		soak  *Soak
		call  *call
		first *attempt
		// others are further attempts.
		others []*attempt
	}
	disturb := func(d disturbance) func(*scene) {
		return func(s *scene) {
			if d.backend == nil && d.router == "" {
				d.backend = s.first.backend
			}
			s.soak.disturbances = append(s.soak.disturbances, &d)
		}
	}
	for name, test := range map[string]struct {
		change func(*scene)
		ours   bool
	}{
		"stream that breaks off":   {ours: true},
		"answered with 502":        {change: func(s *scene) { s.call.status = http.StatusBadGateway }, ours: true},
		"answered with 504":        {change: func(s *scene) { s.call.status = http.StatusGatewayTimeout }, ours: true},
		"no answer":                {change: func(s *scene) { s.call.status = 0 }, ours: true},
		"call at a worker":         {change: func(s *scene) { s.call.kind, s.call.status = "unsafe", http.StatusBadGateway }, ours: true},
		"whole at the back end":    {change: func(s *scene) { s.first.closed, s.first.whole = 0, 2600*ms }, ours: true},
		"complete":                 {change: func(s *scene) { s.call.complete = true }},
		"refused":                  {change: func(s *scene) { s.call.status, s.call.rejected = http.StatusServiceUnavailable, true }},
		"back end's own status":    {change: func(s *scene) { s.call.status = http.StatusInternalServerError }},
		"caller had all it wanted": {change: func(s *scene) { s.call.stopped = true }},
		"caller left":              {change: func(s *scene) { s.call.left = true }},
		"patience over":            {change: func(s *scene) { s.call.took = 4950 * ms }},
		"patience not over":        {change: func(s *scene) { s.call.took = 4850 * ms }, ours: true},
		"patience of route without one is over": {change: func(s *scene) {
			s.call.kind, s.call.took = longKinds[1], 2950*ms
		}},
		"deadline passed":     {change: func(s *scene) { s.call.took, s.call.lastAt = longTimeout, 10*time.Second }},
		"deadline not passed": {change: func(s *scene) { s.call.took, s.call.lastAt = longTimeout-150*ms, 10*time.Second }, ours: true},
		"poison request":      {change: func(s *scene) { s.call.requestBody = poisonBody + " 1" }},
		"crashing part":       {change: func(s *scene) { s.call.crashingPart = "bad1" }},
		"back end not silent": {change: func(s *scene) {
			s.first.backend.suspension.periods = []*period{{0, 900 * ms}, {2600 * ms, 3 * time.Second}}
		}},
		"back end broke off or did not run": {change: func(s *scene) { s.first.declined = true }},
		"back end ended":                    {change: func(s *scene) { s.first.backend.endedAt.Store(int64(2400 * ms)) }},
		"back end ended later":              {change: func(s *scene) { s.first.backend.endedAt.Store(int64(2600 * ms)) }, ours: true},
		"back end's link cut":               {change: disturb(disturbance{from: 2 * time.Second, to: 3 * time.Second})},
		"back end's link cut earlier":       {change: disturb(disturbance{from: 0, to: 500 * ms}), ours: true},
		"router killed":                     {change: disturb(disturbance{router: "router-0", from: 2400 * ms, to: -1})},
		"router killed earlier":             {change: disturb(disturbance{router: "router-0", from: 0, to: time.Second}), ours: true},
		"router cut earlier":                {change: func(s *scene) { s.soak.cuts.past = []cut{{[]string{"router-0"}, 0, time.Second}} }, ours: true},
		"another router killed":             {change: disturb(disturbance{router: "router-2", from: 2400 * ms, to: -1}), ours: true},
		"router that passed it on killed":   {change: disturb(disturbance{router: "router-1", from: 2400 * ms, to: -1})},
		"router stopped as planned":         {change: disturb(disturbance{router: "router-0", from: 2400 * ms, to: -1, planned: true}), ours: true},
		"router stopped within its grace": {change: func(s *scene) {
			s.call.took, s.call.lastAt, s.first.closed = 9500*ms, 10*time.Second, 10500*ms
			s.soak.disturbances = []*disturbance{{router: "router-0", from: 1500 * ms, to: 3 * time.Second, planned: true}}
		}, ours: true},
		"router at the end of its grace": {change: func(s *scene) {
			s.soak.disturbances = []*disturbance{{router: "router-0", from: 2500*ms - stopGrace*9/10, to: 2600 * ms, planned: true}}
		}},
		"router's grace over": {change: func(s *scene) {
			s.soak.disturbances = []*disturbance{{router: "router-0", from: 2500*ms - stopGrace, to: -1, planned: true}}
		}},
		"router cut from all back ends":       {change: func(s *scene) { s.soak.cuts.past = []cut{{[]string{"router-1"}, 2400 * ms, 3 * time.Second}} }},
		"other router cut":                    {change: func(s *scene) { s.soak.cuts.past = []cut{{[]string{"router-2"}, 2400 * ms, 3 * time.Second}} }, ours: true},
		"another attempt answered":            {change: func(s *scene) { s.others = []*attempt{{sent: []time.Duration{2450 * ms}}} }},
		"another attempt had answered before": {change: func(s *scene) { s.others = []*attempt{{sent: []time.Duration{1050 * ms}}} }, ours: true},
		"another attempt without answer":      {change: func(s *scene) { s.others = []*attempt{{arrived: 2 * time.Second}} }, ours: true},
		"still open":                          {change: func(s *scene) { s.first.closed = 0 }},
	} {
		t.Run(name, func(t *testing.T) {
			b := &backend{pool: poolEngines, suspension: suspension{periods: []*period{{1500 * ms, 2500 * ms}}}}
			s := &scene{soak: newChecked(),
				call:  &call{id: "l", kind: longKinds[0], router: "router-0", sent: time.Second, took: 1500 * ms, lastAt: 2 * time.Second, status: http.StatusOK},
				first: &attempt{id: "l", backend: b, router: "router-1", arrived: 1100 * ms, sent: []time.Duration{1200 * ms}, closed: 2500 * ms}}
			if test.change != nil {
				test.change(s)
			}
			for _, a := range s.others {
				a.id, a.backend = "l", &backend{pool: poolEngines}
			}
			s.soak.attemptLog.attempts = append(s.others, s.first)
			s.soak.checkSilentAnswers([]*call{s.call})
			assert.Equal(t, len(s.soak.report.Broken) == 1, test.ours, "%v", s.soak.report.Broken)
		})
	}
}

// Guards against a known failure that fails the run.
func TestKnownSilentAnswersAreListed(t *testing.T) {
	b := &backend{pool: poolEngines, suspension: suspension{periods: []*period{{1500 * ms, -1}}}}
	s := newChecked(checkSilentAnswers)
	s.attemptLog.attempts = []*attempt{{id: "c", backend: b, arrived: time.Second, closed: 2 * time.Second}}
	s.checkSilentAnswers([]*call{{id: "c", kind: "chat", sent: time.Second, took: time.Second, status: http.StatusBadGateway}})
	assert.Equal(t, len(s.report.Broken), 0)
	assert.Equal(t, len(s.report.Known), 1)
}

// Guards against a suspended back end that sends events, answers or ends, and against one that loses what
// arrived meanwhile.
func TestSuspendedBackendGoesOnWhereItWas(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	s := newChecked()
	s.ctx, s.startedAt, s.crashes = ctx, time.Now(), map[string][]time.Duration{}
	b := &backend{soak: s, pool: poolEngines, id: "engines-1", software: "v1", notices: newNotices(), proxy: &proxy{}, cancel: cancel}
	server := httptest.NewServer(http.HandlerFunc(b.serve))
	defer server.Close()
	status := httptest.NewServer(http.HandlerFunc(b.state))
	defer status.Close()
	ask := func(url, id string) *http.Response {
		request, err := http.NewRequestWithContext(ctx, http.MethodPost, url+"/stream/"+id, strings.NewReader("body"))
		assert.NilError(t, err)
		request.Header.Set(names.RequestID, id)
		request.Header.Set(names.Instance, b.id)
		response, err := http.DefaultClient.Do(request)
		assert.NilError(t, err)
		return response
	}
	running := ask(server.URL, "c1")
	defer running.Body.Close()
	b.suspension.begin(s.now())
	answered := make(chan string, 2)
	go func() {
		response := ask(server.URL, "c2")
		defer response.Body.Close()
		body, _ := io.ReadAll(response.Body)
		answered <- string(body)
	}()
	go func() {
		response := ask(status.URL, "status")
		defer response.Body.Close()
		answered <- "status"
	}()
	time.Sleep(20 * eventPause)
	s.attemptLog.record(func() {
		for _, a := range s.attemptLog.attempts {
			assert.Check(t, len(a.sent) < streamEvents && a.whole == 0)
		}
	})
	assert.Equal(t, len(answered), 0)
	b.suspension.end(s.now())
	body, err := io.ReadAll(running.Body)
	assert.NilError(t, err)
	assert.Equal(t, strings.Count(string(body), "\n\n"), streamEvents)
	for range 2 {
		if text := <-answered; text != "status" {
			assert.Equal(t, strings.Count(text, "\n\n"), streamEvents)
		}
	}
	assert.Check(t, b.suspension.met(0, s.now()))
}

// Guards against a back end that ends while it runs a stream and whose response looks complete.
func TestEndedBackendAbortsItsResponses(t *testing.T) {
	s := newChecked()
	s.ctx, s.startedAt = t.Context(), time.Now()
	b := &backend{soak: s, pool: poolEngines, id: "engines-1", software: "v1", notices: newNotices(), proxy: &proxy{}}
	server := httptest.NewServer(http.HandlerFunc(b.serve))
	defer server.Close()
	request, err := http.NewRequest(http.MethodPost, server.URL+"/stream/c1", strings.NewReader("body"))
	assert.NilError(t, err)
	request.Header.Set(names.Instance, b.id)
	response, err := http.DefaultClient.Do(request)
	assert.NilError(t, err)
	defer response.Body.Close()
	b.endedAt.Store(1)
	_, err = io.ReadAll(response.Body)
	assert.Check(t, err != nil)
	_, err = http.DefaultClient.Do(request.Clone(t.Context()))
	assert.Check(t, err != nil)
}
