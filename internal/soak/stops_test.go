package soak

import (
	"bufio"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"quinceridge.example/quinceridge/internal/httpwire"
)

// Guards against a check that accepts requests which a stopping router had read and ended without an answer,
// and against one that blames the router for what others end or for what it never read.
func TestRequestsLostBesidePlannedStopsAreBreaches(t *testing.T) {
	// The router gets SIGTERM at 2 s and has ended at 10 s. The call is sent at 3 s and ends at 4 s without a
	// response, after the back end had received it.
	type scene struct {
		soak   *Soak
		stop   *disturbance
		call   *call
		first  *attempt
		others []*attempt
		events []routerEvent
	}
	const stopped = 2 * time.Second
	counts := func(at time.Duration, outcome string) routerEvent {
		requests := map[string]int{"answered": 10, "aborted": 2, "unsent": 0, "unhandled": 0}
		if outcome != "" {
			requests[outcome]++
		}
		return routerEvent{at: at, Message: messageStopped, Requests: requests}
	}
	unread := func(s *scene) { s.soak.attemptLog.attempts = nil; s.others = nil; s.first = nil }
	disturb := func(d disturbance) func(*scene) {
		return func(s *scene) {
			if d.router == "" && d.backend == nil {
				d.backend = s.first.backend
			}
			s.soak.disturbances = append(s.soak.disturbances, &d)
		}
	}
	lineAt := func(at time.Duration, change func(*routerEvent)) func(*scene) {
		return func(s *scene) {
			unread(s)
			e := routerEvent{at: at, Message: messageEnded, Listener: callersListener, Address: s.call.address, Outcome: "aborted"}
			if change != nil {
				change(&e)
			}
			s.events = append(s.events, e)
		}
	}
	// atEnd moves the end of the call and of its attempt into the last sixth of the grace.
	atEnd := func(s *scene) {
		s.call.kind, s.call.took, s.call.lastAt = longKinds[0], 6*time.Second, 8500*ms
		s.first.closed = 9 * time.Second
	}
	after := func(first, then func(*scene)) func(*scene) {
		return func(s *scene) {
			first(s)
			then(s)
		}
	}
	for name, test := range map[string]struct {
		change func(*scene)
		lost   bool
	}{
		"passed on, no response":   {lost: true},
		"answer that breaks off":   {change: func(s *scene) { s.call.status = http.StatusOK }, lost: true},
		"read, by the connection":  {change: func(s *scene) { unread(s); s.call.dropped = true }, lost: true},
		"read, by the log":         {change: lineAt(4*time.Second, nil), lost: true},
		"line of no known caller":  {change: lineAt(4*time.Second, func(e *routerEvent) { e.Address = "127.0.0.1:2" }), lost: true},
		"line of another listener": {change: lineAt(4*time.Second, func(e *routerEvent) { e.Listener = "relay" })},
		"line before the stop":     {change: lineAt(1900*ms, nil)},
		"line before the request":  {change: lineAt(2900*ms, nil), lost: true},
		"line after the request":   {change: lineAt(4800*ms, nil), lost: true},
		"closed unread":            {change: unread},
		"not sent whole":           {change: func(s *scene) { s.call.whole = false }},
		"answered":                 {change: func(s *scene) { s.call.status, s.call.complete = http.StatusOK, true }},
		"refused":                  {change: func(s *scene) { s.call.status, s.call.complete = http.StatusServiceUnavailable, true }},
		"refused in part":          {change: func(s *scene) { s.call.status = http.StatusServiceUnavailable }, lost: true},
		"caller had all it wanted": {change: func(s *scene) { s.call.stopped = true }},
		"caller left":              {change: func(s *scene) { s.call.left = true }},
		"another router":           {change: func(s *scene) { s.call.router = "router-1" }},
		"ended before SIGTERM":     {change: func(s *scene) { s.stop.from = 4100 * ms }},
		"cut after SIGTERM":        {change: func(s *scene) { s.stop.from = 3900 * ms }, lost: true},
		"sent after the stop":      {change: func(s *scene) { s.stop.to = 2900 * ms; s.events = []routerEvent{counts(2800*ms, "")} }},
		"no stop but a kill":       {change: func(s *scene) { s.stop.planned = false }},

		"deadline":            {change: func(s *scene) { s.call.took = routeTimeout - 50*ms }},
		"deadline not passed": {change: func(s *scene) { s.call.took = routeTimeout - 150*ms }, lost: true},
		"patience over":       {change: func(s *scene) { s.call.kind, s.call.took = longKinds[0], longPatience-50*ms }},
		"patience not over":   {change: func(s *scene) { s.call.kind, s.call.took = longKinds[0], longPatience-150*ms }, lost: true},

		"back end broke off":   {change: func(s *scene) { s.first.brokenOff = true }},
		"back end declined":    {change: func(s *scene) { s.first.declined = true }, lost: true},
		"back end ended":       {change: func(s *scene) { s.first.backend.endedAt.Store(int64(3900 * ms)) }},
		"back end ended later": {change: func(s *scene) { s.first.backend.endedAt.Store(int64(4100 * ms)) }, lost: true},
		"back end silent":      {change: func(s *scene) { s.first.backend.suspension.periods = []*period{{3 * time.Second, -1}} }, lost: true},
		"earlier attempt broke off": {change: func(s *scene) {
			s.others = []*attempt{{arrived: 3050 * ms, sent: []time.Duration{3100 * ms}, brokenOff: true}}
		}, lost: true},
		"part after the end of an attempt": {change: func(s *scene) {
			s.first.brokenOff = true
			s.others = []*attempt{{arrived: 3050 * ms, sent: []time.Duration{3100 * ms, 3950 * ms}, closed: 3150 * ms}}
		}},
		"part after the end of one that broke off": {change: func(s *scene) {
			s.others = []*attempt{{arrived: 3050 * ms, sent: []time.Duration{3950 * ms}, closed: 3150 * ms, brokenOff: true}}
		}, lost: true},
		"outrun by one that broke off": {change: func(s *scene) {
			s.first.closed, s.first.sent = 3500*ms, []time.Duration{3450 * ms}
			s.others = []*attempt{{arrived: 3050 * ms, brokenOff: true, brokenOffAt: 3950 * ms}}
		}},
		"cut before one broke off": {change: func(s *scene) {
			s.first.closed, s.first.sent = 4*time.Second, []time.Duration{3950 * ms}
			s.others = []*attempt{{arrived: 3050 * ms, brokenOff: true, brokenOffAt: 9 * time.Second}}
		}, lost: true},
		"cut after one broke off": {change: func(s *scene) {
			s.first.sent = []time.Duration{3950 * ms}
			s.others = []*attempt{{arrived: 3050 * ms, brokenOff: true, brokenOffAt: 3900 * ms}}
		}, lost: true},
		"cut beside one that broke off closed": {change: func(s *scene) {
			s.first.sent = []time.Duration{3950 * ms}
			s.others = []*attempt{{arrived: 3050 * ms, closed: 4 * time.Second, brokenOff: true}}
		}, lost: true},
		"cut beside a silent back end": {change: func(s *scene) {
			s.first.closed, s.first.sent = 3500*ms, []time.Duration{3450 * ms}
			s.others = []*attempt{{arrived: 3050 * ms}}
		}, lost: true},
		"later attempt broke off":         {change: func(s *scene) { s.others = []*attempt{{arrived: 3300 * ms, brokenOff: true}} }},
		"declined after one broke off":    {change: func(s *scene) { s.first.brokenOff = true; s.others = []*attempt{{arrived: 3300 * ms, declined: true}} }},
		"declined after one that went on": {change: func(s *scene) { s.others = []*attempt{{arrived: 3300 * ms, declined: true}} }, lost: true},
		"declined after a link was cut": {change: func(s *scene) {
			disturb(disturbance{from: 3800 * ms, to: 4500 * ms})(s)
			s.others = []*attempt{{arrived: 3300 * ms, declined: true}}
		}},
		"link cut":                       {change: disturb(disturbance{from: 3800 * ms, to: 4500 * ms})},
		"link cut earlier":               {change: disturb(disturbance{from: 0, to: 2800 * ms}), lost: true},
		"link cut later":                 {change: disturb(disturbance{from: 4100 * ms, to: -1}), lost: true},
		"link of another back end":       {change: disturb(disturbance{backend: &backend{}, from: 3800 * ms, to: -1}), lost: true},
		"router frozen before":           {change: disturb(disturbance{router: "router-0", from: 0, to: 2950 * ms})},
		"router frozen earlier":          {change: disturb(disturbance{router: "router-0", from: 0, to: 1900 * ms}), lost: true},
		"another router killed":          {change: disturb(disturbance{router: "router-1", from: 3 * time.Second, to: -1}), lost: true},
		"router that passed it on":       {change: after(disturb(disturbance{router: "router-1", from: 3 * time.Second, to: -1}), func(s *scene) { s.first.router = "router-1" })},
		"router cut from back ends":      {change: func(s *scene) { s.soak.cuts.past = []cut{{[]string{"router-0"}, 3500 * ms, 4 * time.Second}} }},
		"router cut earlier":             {change: func(s *scene) { s.soak.cuts.past = []cut{{[]string{"router-0"}, 0, 2800 * ms}} }, lost: true},
		"another router cut":             {change: func(s *scene) { s.soak.cuts.past = []cut{{[]string{"router-1"}, 3500 * ms, 4 * time.Second}} }, lost: true},
		"fault while it was not read":    {change: after(unread, disturb(disturbance{router: "router-0", from: 3 * time.Second, to: -1}))},
		"end of the grace":               {change: atEnd},
		"end of the grace, still open":   {change: after(atEnd, func(s *scene) { s.first.closed = 0 })},
		"end of the grace, late request": {change: after(atEnd, func(s *scene) { s.call.sent, s.call.took = 5100*ms, 3900*ms-10*ms; s.call.lastAt = 8500 * ms }), lost: true},
		"before the last sixth":          {change: after(atEnd, func(s *scene) { s.call.took, s.first.closed = 5600*ms, 8600*ms }), lost: true},
		"end of the grace, whole":        {change: after(atEnd, func(s *scene) { s.first.closed, s.first.whole = 0, 8800*ms }), lost: true},
		"end of the grace, cut before":   {change: after(atEnd, func(s *scene) { s.first.closed = 8800 * ms }), lost: true},
		"end of the grace, declined":     {change: after(atEnd, func(s *scene) { s.first.closed, s.first.declined = 0, true }), lost: true},
		"end of the grace, waiting": {change: func(s *scene) {
			atEnd(s)
			unread(s)
			s.call.dropped = true
		}, lost: true},

		"counted as unhandled":        {change: func(s *scene) { unread(s); s.events = []routerEvent{counts(9*time.Second, "unhandled")} }, lost: true},
		"counted as unsent":           {change: func(s *scene) { unread(s); s.events = []routerEvent{counts(9*time.Second, "unsent")} }, lost: true},
		"counted at an earlier stop":  {change: func(s *scene) { unread(s); s.events = append(s.events, counts(1900*ms, "unsent")) }},
		"no counts":                   {change: func(s *scene) { unread(s); s.events = s.events[:1] }, lost: true},
		"no counts of an older build": {change: func(s *scene) { unread(s); s.events, s.soak.config.Older = s.events[:1], "older" }},
		"lost by an older build":      {change: func(s *scene) { s.events, s.soak.config.Older = s.events[:1], "older" }},
		"lost beside an older build":  {change: func(s *scene) { s.soak.config.Older = "older" }, lost: true},
		"ended before it could stop":  {change: func(s *scene) { unread(s); s.events = nil }},
	} {
		t.Run(name, func(t *testing.T) {
			s := &scene{soak: newChecked(), stop: &disturbance{router: "router-0", from: stopped, to: 10 * time.Second, planned: true},
				call:   &call{id: "c", kind: "chat", router: "router-0", address: "127.0.0.1:1", sent: 3 * time.Second, took: time.Second, whole: true},
				first:  &attempt{backend: &backend{}, router: "router-0", arrived: 3200 * ms, closed: 4 * time.Second},
				events: []routerEvent{{at: stopped + 10*ms, Message: messageStopping}, counts(9900*ms, "")}}
			s.soak.disturbances = []*disturbance{s.stop}
			if test.change != nil {
				test.change(s)
			}
			if s.first != nil {
				s.soak.attemptLog.attempts = append(s.others, s.first)
			}
			for _, a := range s.soak.attemptLog.attempts {
				a.id = "c"
				if a.backend == nil {
					a.backend = &backend{}
				}
			}
			s.soak.judgePlannedStops([]*call{s.call}, map[string][]routerEvent{"router-0": s.events})
			assert.Equal(t, len(s.soak.report.Broken) == 1, test.lost, "%v", s.soak.report.Broken)
		})
	}
}

// Guards against a check that overlooks the lines of routers, or takes those of one for those of another.
func TestStopsAreReadFromLogsOfRouters(t *testing.T) {
	const log = `not JSON
{"time":"2026-12-05T10:00:01Z","level":"INFO","msg":"stopping","part":"edge"}
{"time":"2026-12-05T10:00:02.5Z","level":"WARN","msg":"request ended without a response","part":"listener","listener":"callers","address":"127.0.0.1:1","outcome":"unhandled","head_bytes":342,"read_ms":8}
{"time":"2026-12-05T10:00:03Z","level":"INFO","msg":"stopped","part":"edge","requests":{"answered":301,"aborted":0,"unsent":0,"unhandled":1}}
`
	begun := time.Date(2026, 12, 5, 10, 0, 0, 0, time.UTC)
	for _, test := range []struct {
		log  string
		lost []string
	}{
		{log, []string{"2 losses", `outcome "unhandled"`, "router-0, stopped at 900ms, counted map"}},
		{strings.ReplaceAll(strings.ReplaceAll(log, `"unhandled":1`, `"unhandled":0`), `"msg":"request ended`, `"msg":"another`), nil},
	} {
		s := newChecked(checkPlannedStops)
		s.config.Folder, s.startedAt = t.TempDir(), begun
		s.routers = []*program{{name: "router-0"}}
		assert.NilError(t, os.WriteFile(filepath.Join(s.config.Folder, "router-0.log"), []byte(test.log), 0o600))
		s.disturbances = []*disturbance{{router: "router-0", from: 900 * ms, to: 3100 * ms, planned: true}}
		s.checkPlannedStops([]*call{{id: "c", kind: "chat", router: "router-0", address: "127.0.0.1:1", sent: 2 * time.Second, took: 500 * ms, whole: true}})
		assert.Equal(t, len(s.report.Broken), 0)
		assert.Equal(t, len(s.report.Known), min(len(test.lost), 1))
		for _, text := range test.lost {
			assert.Check(t, strings.Contains(s.report.Known[0], text), s.report.Known[0])
		}
	}
}

// Guards against a caller that takes a request that was read and dropped for one that was not read, or the
// other way round.
func TestConnectionsShowWhetherRequestsWereRead(t *testing.T) {
	const (
		response = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n"
		// tries is how often a dropped request may go unnoticed: the connection may end too soon after it.
		tries = 10
	)
	for name, test := range map[string]struct {
		serve   func(*testing.T, *net.TCPConn)
		dropped bool
	}{
		"read and dropped": {serve: func(t *testing.T, c *net.TCPConn) {
			readRequest(t, c)
			time.Sleep(20 * ms)
		}, dropped: true},
		"answered in part": {serve: func(t *testing.T, c *net.TCPConn) {
			readRequest(t, c)
			_, _ = c.Write([]byte("HTTP/1.1 "))
			time.Sleep(20 * ms)
		}, dropped: true},
		"closed unread": {serve: func(*testing.T, *net.TCPConn) { time.Sleep(20 * ms) }},
		"closed unread after its side had ended": {serve: func(t *testing.T, c *net.TCPConn) {
			readRequest(t, c)
			_, _ = c.Write([]byte(response + "\r\n"))
			_ = c.CloseWrite()
			time.Sleep(80 * ms)
		}},
		"closed unread after it was announced": {serve: func(t *testing.T, c *net.TCPConn) {
			readRequest(t, c)
			_, _ = c.Write([]byte(response + "Connection: close\r\n\r\n"))
			time.Sleep(60 * ms)
			_ = c.CloseWrite()
			time.Sleep(20 * ms)
		}},
	} {
		t.Run(name, func(t *testing.T) {
			dropped := false
			for range tries {
				dropped = dropped || lastCallAt(t, test.serve).dropped
			}
			assert.Equal(t, dropped, test.dropped)
		})
	}
}

// lastCallAt sends requests over one connection to a server until it ends, and returns the last one.
func lastCallAt(t *testing.T, serve func(*testing.T, *net.TCPConn)) *call {
	listener, err := net.Listen("tcp", anyAddress)
	assert.NilError(t, err)
	defer listener.Close()
	var server sync.WaitGroup
	defer server.Wait()
	server.Go(func() {
		if c, err := listener.Accept(); err == nil {
			serve(t, c.(*net.TCPConn))
			_ = c.Close()
		}
	})
	s := newChecked()
	s.startedAt = time.Now()
	to := &program{name: "router-0", listen: listener.Addr().String()}
	connection, err := net.Dial("tcp", to.listen)
	assert.NilError(t, err)
	defer connection.Close()
	k := &persistentConnection{TCPConn: connection.(*net.TCPConn), wrapped: connection, reader: httpwire.NewReader(connection)}
	for {
		c := &call{id: "k", kind: "chat"}
		again := s.sendOver(k, c, to)
		assert.Equal(t, c.address, connection.LocalAddr().String())
		if !again {
			return c
		}
		time.Sleep(30 * ms)
	}
}

func readRequest(t *testing.T, c net.Conn) {
	_, err := http.ReadRequest(bufio.NewReader(c))
	assert.Check(t, err == nil, err)
}
