package edge

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"quinceridge.example/quinceridge/internal/coordapi"
	"quinceridge.example/quinceridge/internal/traffic"
)

const (
	// scriptedBody is the beginning of the bodies that describe their own response.
	scriptedBody = "script "
	// silenceTime is the duration of a silence, and silencePatience the time without an event after which
	// the callers of the routes of silenceTable leave.
	silenceTime     = 1200 * time.Millisecond
	silencePatience = 4 * time.Second
	// maxSecondRun is the time for which a run may go on after the client has an event of another one.
	maxSecondRun = 400 * time.Millisecond
	// workStep is the time of work of a stand-in between two checks for a silence or a cancellation.
	workStep = 10 * time.Millisecond
)

// script is a response of an engine or of a plain back end.
type script struct {
	// Name tells the request from others.
	Name string
	// Prompt is the time before the first event or the response, Resume that before the first event of a run
	// that goes on with a stream, Gap that between events, and Tail that between the last event and the end.
	Prompt, Resume, Gap, Tail time.Duration
	// Events is the number of events, 0 for a response that is not a stream.
	Events int
	// Header makes the engine send the response header before the first event.
	Header bool
}

func (s *script) body() string {
	text, _ := json.Marshal(s)
	return scriptedBody + string(text)
}

// response returns the body of the whole response.
func (s *script) response() string {
	if s.Events == 0 {
		return s.Name
	}
	var text strings.Builder
	for i := range s.Events {
		text.WriteString(scriptedEvent(i + 1))
	}
	return text.String()
}

func scriptedEvent(i int) string { return fmt.Sprintf("id: %d\ndata: word %d\n", i, i) }

// maxRuns is how often requests of each route of silenceTable may run.
var maxRuns = map[string]int{"single": 1, "double": 2, "triple": 3, "once": 1, "twice": 1, "patient": 2, "pay": 1, "look": 2, "read": 1}

// scriptedRun is one run of a scripted request. The deployment's lock guards it.
type scriptedRun struct {
	engine string
	// after is the last event that the client had.
	after         int
	begun, worked time.Time
	running       bool
}

// runScript runs a scripted request.
func (e *engine) runScript(w http.ResponseWriter, r *http.Request, body string) {
	defer e.countStream()()
	var s script
	if json.Unmarshal([]byte(strings.TrimPrefix(body, scriptedBody)), &s) != nil {
		return
	}
	run := &scriptedRun{engine: e.id, begun: time.Now(), running: true}
	_, _ = fmt.Sscan(r.Header.Get(names.LastEvent), &run.after)
	d := e.host.deployment
	d.mu.Lock()
	if d.scripted == nil {
		d.scripted = map[string][]*scriptedRun{}
	}
	d.scripted[body] = append(d.scripted[body], run)
	d.mu.Unlock()
	defer func() {
		d.mu.Lock()
		defer d.mu.Unlock()
		run.running = false
	}()
	if s.Header {
		w.WriteHeader(http.StatusOK)
		_ = http.NewResponseController(w).Flush()
	}
	prompt := s.Prompt
	if run.after > 0 {
		prompt += s.Resume
	}
	if !e.work(r, run, prompt) {
		return
	}
	if s.Events == 0 {
		_, _ = io.WriteString(w, s.Name)
		return
	}
	for i := run.after + 1; i <= s.Events; i++ {
		_, _ = fmt.Fprintf(w, "%s: by %s\n\n", scriptedEvent(i), e.id)
		_ = http.NewResponseController(w).Flush()
		pause := s.Gap
		if i == s.Events {
			pause = s.Tail
		}
		if !e.work(r, run, pause) {
			return
		}
	}
}

// work works on a run for a time, and longer by the silences of the engine. It returns false if the run is
// cancelled.
func (e *engine) work(r *http.Request, run *scriptedRun, left time.Duration) bool {
	for {
		e.host.awaitRunning()
		if r.Context().Err() != nil {
			return false
		}
		e.host.deployment.mu.Lock()
		run.worked = time.Now()
		e.host.deployment.mu.Unlock()
		if left <= 0 {
			return true
		}
		step := min(left, workStep)
		left -= step
		time.Sleep(step)
	}
}

// scriptedRuns returns the runs of a request so far.
func (d *deployment) scriptedRuns(body string) []scriptedRun {
	d.mu.Lock()
	defer d.mu.Unlock()
	var out []scriptedRun
	for _, r := range d.scripted[body] {
		out = append(out, *r)
	}
	return out
}

// asked is a scripted request and the answer to it.
type asked struct {
	script
	// kind groups requests of which the same is expected.
	kind, path string
	router     int
	// change changes the request before it is sent; nil for none.
	change func(*http.Request)

	id       string
	begun    time.Time
	took     time.Duration
	status   int
	complete bool
	// text is the body without the names of the writers.
	text   strings.Builder
	events []scriptedArrival
}

// scriptedArrival is an event at the client.
type scriptedArrival struct {
	at     time.Time
	writer string
}

// send sends the request and reads the answer.
func (a *asked) send(d *deployment) {
	ctx, cancel := context.WithTimeout(d.t.Context(), 15*time.Second)
	defer cancel()
	q, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+d.frontend[a.router]+a.path+a.Name, strings.NewReader(a.body()))
	assert.NilError(d.t, err)
	a.id = fmt.Sprintf("silence-%d", d.requests.Add(1))
	q.Host = "h"
	q.Header.Set(names.RequestID, a.id)
	q.Header.Set("Authorization", "Bearer ka")
	if a.Events > 0 {
		q.Header.Set(names.Model, "m")
		q.Header.Set(names.Usage, "20,20")
	}
	if a.change != nil {
		a.change(q)
	}
	a.begun = time.Now()
	defer func() { a.took = time.Since(a.begun) }()
	response, err := http.DefaultClient.Do(q)
	if err != nil {
		return
	}
	defer response.Body.Close()
	a.status = response.StatusCode
	if a.Events == 0 || a.status != http.StatusOK {
		text, err := io.ReadAll(response.Body)
		a.text.Write(text)
		a.complete = err == nil
		return
	}
	lines := bufio.NewScanner(response.Body)
	for lines.Scan() {
		if writer, is := strings.CutPrefix(lines.Text(), ": by "); is {
			a.events = append(a.events, scriptedArrival{time.Now(), writer})
			continue
		}
		if lines.Text() != "" {
			a.text.WriteString(lines.Text() + "\n")
		}
	}
	a.complete = lines.Err() == nil
}

// faults returns in what the answer differs from a whole one, and the runs from what is allowed.
func (a *asked) faults(d *deployment) []string {
	var out []string
	switch {
	case a.status != http.StatusOK:
		out = append(out, fmt.Sprintf("status %d", a.status))
	case !a.complete:
		out = append(out, fmt.Sprintf("cut after %d events", len(a.events)))
	case a.text.String() != a.expected():
		out = append(out, fmt.Sprintf("events lost or twice: %q", a.text.String()))
	}
	runs := d.scriptedRuns(a.body())
	if len(runs) > maxRuns[strings.Trim(a.path, "/")] {
		out = append(out, fmt.Sprintf("%d runs", len(runs)))
	}
	for _, r := range runs {
		if late := a.secondRun(&r); late > maxSecondRun {
			out = append(out, fmt.Sprintf("%s still worked %v after an event of another engine", r.engine, late))
		}
	}
	return out
}

// expected is the whole answer, without the events that the client had before.
func (a *asked) expected() string {
	after := 0
	if a.change != nil {
		q := http.Request{Header: http.Header{}}
		a.change(&q)
		after, _ = strconv.Atoi(q.Header.Get(names.LastEvent))
	}
	whole := a.response()
	for i := range after {
		whole = strings.TrimPrefix(whole, scriptedEvent(i+1))
	}
	return whole
}

// secondRun returns the longest time for which a run worked after the client had an event of another one
// that the run did not follow.
func (a *asked) secondRun(r *scriptedRun) time.Duration {
	longest := time.Duration(0)
	for i, event := range a.events {
		follows := slices.ContainsFunc(a.events[i:], func(later scriptedArrival) bool { return later.writer == r.engine })
		if event.writer != r.engine && r.begun.Before(event.at) && !follows {
			longest = max(longest, r.worked.Sub(event.at))
		}
	}
	return longest
}

// recordedLog keeps the lines of routers and coordinators. It is safe for concurrent use.
type recordedLog struct {
	mu   sync.Mutex
	text bytes.Buffer
	// delay is the time that a line takes, in nanoseconds.
	delay atomic.Int64
}

func (l *recordedLog) Write(p []byte) (int, error) {
	time.Sleep(time.Duration(l.delay.Load()))
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.text.Write(p)
}

// about returns the lines that contain a text.
func (l *recordedLog) about(text string) string {
	l.mu.Lock()
	defer l.mu.Unlock()
	var out strings.Builder
	for line := range strings.Lines(l.text.String()) {
		if strings.Contains(line, text) {
			out.WriteString(line)
		}
	}
	return out.String()
}

// silenceTrial is a deployment whose engines fall silent.
type silenceTrial struct {
	*deployment
	lines *recordedLog
	// version is that of the last configuration.
	version uint64
	// table is the configuration in force before each silence.
	table traffic.Document
}

// newSilenceTrial returns a deployment with engines of some slots.
func newSilenceTrial(t *testing.T, d *deployment, routers, engines, slots int) *silenceTrial {
	t.Helper()
	s := &silenceTrial{lines: &recordedLog{}, version: 1, table: silenceTable(slots)}
	d.t = t
	d.retryRatio = 1
	d.logger = slog.New(slog.NewTextHandler(s.lines, nil))
	s.deployment = startDeployment(d, 3, routers, engines)
	s.configureTable(s.table)
	s.awaitTable()
	return s
}

// silenceTable is a configuration with a route for each kind of request.
func silenceTable(slots int) traffic.Document {
	stream := func(name string, attempts int, resumable bool) traffic.DocumentRoute {
		return traffic.DocumentRoute{Name: name, Host: "h", Prefix: "/" + name + "/", Kind: traffic.KindStream, Timeout: "12s", Target: "1s", GapTarget: "500ms",
			AbandonAfter: silencePatience.String(), Split: map[string]int{"llm": 1}, MaxAttempts: attempts, Resumable: resumable}
	}
	call := func(name string, kind traffic.Kind, attempts int) traffic.DocumentRoute {
		return traffic.DocumentRoute{Name: name, Host: "h", Prefix: "/" + name + "/", Kind: kind, Timeout: silencePatience.String(), Target: "500ms", Split: map[string]int{"app": 1}, MaxAttempts: attempts}
	}
	patient := stream("patient", 2, true)
	patient.Target, patient.AbandonAfter = "6s", "8s"
	return traffic.Document{Version: 1, Pools: []traffic.DocumentPool{{Name: "llm", Slots: slots, CapacityTokens: 100000}, {Name: "app"}},
		Routes: []traffic.DocumentRoute{stream("single", 1, true), stream("double", 2, true), stream("triple", 3, true), stream("once", 1, false), stream("twice", 2, false),
			patient, call("pay", traffic.KindUnsafe, 1), call("look", traffic.KindSafe, 2), call("read", traffic.KindSafe, 1), stream("ready-1", 1, true)},
		Tenants: []traffic.DocumentTenant{{Name: "alice", Keys: []string{"ka"}}, {Name: "bob", Keys: []string{"kb"}}}}
}

// copyTable returns a copy of a configuration that shares no lists.
func copyTable(table traffic.Document) traffic.Document {
	out := table
	out.Routes, out.Pools, out.Tenants = slices.Clone(table.Routes), slices.Clone(table.Pools), slices.Clone(table.Tenants)
	return out
}

// configureTable puts a configuration in force.
func (s *silenceTrial) configureTable(table traffic.Document) {
	s.t.Helper()
	s.version++
	text, err := json.Marshal(table)
	assert.NilError(s.t, err)
	s.configureDocument(s.version, string(text))
}

// restore puts the table of the trial in force again, and waits until all routers have it.
func (s *silenceTrial) restore() {
	s.t.Helper()
	s.configureTable(s.table)
	s.awaitTable()
}

// awaitTable waits until all routers have the last configuration, by a route that only that one has.
func (s *silenceTrial) awaitTable() {
	s.t.Helper()
	table := copyTable(s.table)
	ready := &table.Routes[len(table.Routes)-1]
	ready.Name = fmt.Sprint("ready-", s.version+1)
	ready.Prefix = "/" + ready.Name + "/"
	s.configureTable(table)
	for router := range s.frontend {
		poll.WaitOn(s.t, func(poll.LogT) poll.Result {
			a := asked{script: script{Name: fmt.Sprint("ready-", s.requests.Load()), Events: 1}, path: ready.Prefix, router: router}
			if a.send(s.deployment); a.status != http.StatusOK {
				return poll.Continue("router %d: status %d", router, a.status)
			}
			return poll.Success()
		}, poll.WithTimeout(20*time.Second), poll.WithDelay(10*time.Millisecond))
	}
}

// engines returns the hosts of the pools.
func (s *silenceTrial) engines(pools ...string) []*host {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []*host
	for _, h := range s.hosts {
		if slices.Contains(pools, h.pool) {
			out = append(out, h)
		}
	}
	return out
}

// pauseAll pauses hosts until resume is called.
func pauseAll(hosts []*host) (resume func()) {
	var all []func()
	for _, h := range hosts {
		all = append(all, h.pause())
	}
	return func() {
		for _, r := range all {
			r()
		}
	}
}

// begin sends requests, and returns once they all run. The group ends with them.
func (s *silenceTrial) begin(requests []*asked) (group *sync.WaitGroup) {
	s.t.Helper()
	group = &sync.WaitGroup{}
	for _, a := range requests {
		group.Go(func() { a.send(s.deployment) })
	}
	poll.WaitOn(s.t, func(poll.LogT) poll.Result {
		for _, a := range requests {
			if len(s.scriptedRuns(a.body())) == 0 {
				return poll.Continue("%s %s does not run", a.kind, a.Name)
			}
		}
		return poll.Success()
	}, poll.WithTimeout(5*time.Second), poll.WithDelay(5*time.Millisecond))
	return group
}

// check reports the requests whose answers are not as they have to be, by kind, with their log lines.
func (s *silenceTrial) check(t *testing.T, requests []*asked) {
	t.Helper()
	total, faulty := map[string]int{}, map[string][]string{}
	var kinds []string
	for _, a := range requests {
		if total[a.kind]++; total[a.kind] == 1 {
			kinds = append(kinds, a.kind)
		}
		if faults := a.faults(s.deployment); len(faults) > 0 {
			faulty[a.kind] = append(faulty[a.kind], fmt.Sprintf("%s %s: %v after %v, runs %+v\n%s", a.id, a.Name, faults, a.took, s.scriptedRuns(a.body()), s.lines.about("id="+a.id+" ")))
		}
	}
	for _, kind := range kinds {
		if len(faulty[kind]) > 0 {
			t.Errorf("%s: %d of %d are not whole\n%s", kind, len(faulty[kind]), total[kind], strings.Join(faulty[kind], "\n"))
			continue
		}
		t.Logf("%s: %d whole", kind, total[kind])
	}
}

// endedByRouters returns how many answers routers have ended.
func (d *deployment) endedByRouters() int {
	total := 0
	for _, router := range d.routers {
		var text strings.Builder
		_, err := router.handler.WriteTo(&text)
		assert.NilError(d.t, err)
		for line := range strings.Lines(text.String()) {
			if strings.HasPrefix(line, `quinceridge_answers_ended_early_total{by="router"`) {
				n, err := strconv.Atoi(strings.TrimSpace(line[strings.LastIndexByte(line, ' ')+1:]))
				assert.NilError(d.t, err)
				total += n
			}
		}
	}
	return total
}

// leave reports that the engine of a host leaves.
func (h *host) leave() {
	h.deployment.mu.Lock()
	e := h.current
	h.deployment.mu.Unlock()
	h.deployment.call(coordapi.Request{Leave: &coordapi.Leave{ID: e.id, Born: e.born}})
}
