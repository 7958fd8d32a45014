package edge

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"
)

// phases are what an engine has of a stream when it falls silent a tenth of a second after the stream began.
var phases = map[string]script{
	"between events":                   {Events: 20, Gap: 50 * time.Millisecond},
	"before the response":              {Events: 6, Prompt: 700 * time.Millisecond, Gap: 30 * time.Millisecond},
	"after the head, before an event":  {Events: 6, Prompt: 700 * time.Millisecond, Gap: 30 * time.Millisecond, Header: true},
	"after the last event, before end": {Events: 3, Gap: 20 * time.Millisecond, Tail: 700 * time.Millisecond},
}

// kindRequests returns a request for each kind of stream and phase, streams that their clients resume, and
// calls.
func kindRequests(routers int) []*asked {
	var out []*asked
	add := func(kind, path string, s script, change func(*http.Request)) {
		s.Name = fmt.Sprint(len(out))
		out = append(out, &asked{kind: kind, path: "/" + path + "/", router: len(out) % routers, script: s, change: change})
	}
	for _, path := range []string{"single", "double", "triple", "once", "twice"} {
		for phase, s := range phases {
			add(path+" "+phase, path, s, nil)
		}
	}
	for _, path := range []string{"single", "double", "triple"} {
		for _, phase := range []string{"between events", "before the response"} {
			for event := 1; event <= 2; event++ {
				add(path+" resumed "+phase, path, phases[phase], func(q *http.Request) {
					q.Header.Set(names.Resumes, "earlier")
					q.Header.Set(names.LastEvent, strconv.Itoa(event))
				})
			}
		}
	}
	for _, path := range []string{"pay", "look", "read"} {
		for range 3 {
			add(path, path, script{Prompt: 700 * time.Millisecond}, nil)
		}
	}
	return out
}

// silentFor makes hosts silent for a time.
func silentFor(hosts []*host, duration time.Duration) {
	resume := pauseAll(hosts)
	time.Sleep(duration)
	resume()
}

// Guards against answers of some kind that end while all back ends are silent, and against requests that
// are refused although they wait for an engine and can be served in time afterwards.
func TestAnswersOfAllKindsSurviveSilence(t *testing.T) {
	const routers, engines, slots, waiting, maxWaiting = 2, 4, 8, 6, 60
	s := newSilenceTrial(t, &deployment{relays: true}, routers, engines, slots)
	requests := kindRequests(routers)
	answers := s.begin(requests)
	// A router places requests itself while the leader's reply is late, and these do not wait.
	for i := 0; s.waiting() < waiting; i++ {
		assert.Assert(t, i < maxWaiting, "%d wait", s.waiting())
		a := &asked{kind: "waiting for an engine", path: "/patient/", router: i % routers, script: script{Name: fmt.Sprint("waiting ", i), Events: 4, Gap: 20 * time.Millisecond}}
		requests = append(requests, a)
		answers.Go(func() { a.send(s.deployment) })
		time.Sleep(time.Millisecond)
	}
	silentFor(s.engines("llm", "app"), silenceTime)
	answers.Wait()
	s.check(t, requests)
	assert.Check(t, s.endedByRouters() == 0, "%d answers ended by routers", s.endedByRouters())
}

// Guards against an answer that ends because the engine at which a further attempt runs falls silent too,
// as the last attempt or before it.
func TestAnswersSurviveSilenceOfNextEngine(t *testing.T) {
	const routers, engines, slots = 2, 3, 8
	for name, goesOn := range map[string]time.Duration{"both go on": 0, "the first one goes on later": 800 * time.Millisecond} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := newSilenceTrial(t, &deployment{relays: true}, routers, engines, slots)
			var requests []*asked
			for i := range engines * slots * 2 / 3 {
				path := []string{"double", "triple", "single", "once"}[i%4]
				requests = append(requests, &asked{kind: path, path: "/" + path + "/", router: i % routers,
					script: script{Name: fmt.Sprint(i), Events: 60, Gap: 30 * time.Millisecond}})
			}
			answers := s.begin(requests)
			time.Sleep(100 * time.Millisecond)
			hosts := s.engines("llm")
			first := pauseAll(hosts[:1])
			time.Sleep(900 * time.Millisecond)
			silentFor(hosts[1:], silenceTime)
			time.Sleep(goesOn)
			first()
			answers.Wait()
			t.Log(s.furtherAttempts())
			s.check(t, requests)
			assert.Check(t, s.endedByRouters() == 0, "%d answers ended by routers", s.endedByRouters())
		})
	}
}

// furtherAttempts returns the routers' counts of further attempts by result.
func (d *deployment) furtherAttempts() map[string]int {
	out := map[string]int{}
	for _, result := range []string{"took over", "in vain", "failed", "not placed"} {
		out[result] = d.counter(fmt.Sprintf("quinceridge_further_attempts_total{result=%q}", result))
	}
	return out
}

// Guards against a stream that ends at the router that passed it on, or at the one that accepted it, while
// its engine is silent.
func TestRelayedAnswersSurviveSilence(t *testing.T) {
	t.Parallel()
	const engines, slots = 2, 8
	s := newSilenceTrial(t, &deployment{relays: true, links: newLinks()}, 2, engines, slots)
	s.links.set(linkSilent, 0, s.addresses("llm")...)
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		a := asked{script: script{Name: fmt.Sprint("passed on ", s.requests.Load()), Events: 1}, path: "/double/"}
		a.send(s.deployment)
		if s.counter("quinceridge_requests_passed_on_total") == 0 {
			return poll.Continue("status %d", a.status)
		}
		return poll.Success()
	}, poll.WithTimeout(20*time.Second), poll.WithDelay(20*time.Millisecond))
	ended, passedOn := s.endedByRouters(), s.counter("quinceridge_requests_passed_on_total")
	var requests []*asked
	for phase, script := range phases {
		for _, path := range []string{"single", "double", "triple", "once"} {
			script.Name = fmt.Sprint("relayed ", len(requests))
			requests = append(requests, &asked{kind: path + " " + phase, path: "/" + path + "/", script: script})
		}
	}
	answers := s.begin(requests)
	time.Sleep(50 * time.Millisecond)
	silentFor(s.engines("llm"), silenceTime)
	answers.Wait()
	s.check(t, requests)
	passedOn = s.counter("quinceridge_requests_passed_on_total") - passedOn
	assert.Check(t, passedOn >= len(requests), "%d of %d passed on", passedOn, len(requests))
	assert.Check(t, s.endedByRouters() == ended, "%d answers ended by routers", s.endedByRouters()-ended)
}

// Guards against a stream that ends, or that goes on at another software version, while the only engine of
// its version is silent.
func TestAnswersSurviveSilenceOfOnlyEngineOfVersion(t *testing.T) {
	t.Parallel()
	const routers, slots = 2, 8
	s := newSilenceTrial(t, &deployment{relays: true, software: oldSoftware}, routers, 1, slots)
	s.software = newSoftware
	for range 2 {
		s.host("llm")
	}
	hosts := s.engines("llm")
	s.awaitOneOf(hosts[1:])
	var requests []*asked
	for i := range slots * 2 {
		path := []string{"double", "triple", "single", "once"}[i%4]
		requests = append(requests, &asked{kind: path, path: "/" + path + "/", router: i % routers,
			script: script{Name: fmt.Sprint("version ", i), Events: 30, Gap: 30 * time.Millisecond}})
	}
	answers := s.begin(requests)
	time.Sleep(100 * time.Millisecond)
	silentFor(hosts[:1], silenceTime)
	answers.Wait()
	s.check(t, requests)
	met := 0
	for _, a := range requests {
		if a.events[0].writer != hosts[0].current.id {
			continue
		}
		met++
		for _, event := range a.events {
			assert.Check(t, event.writer == hosts[0].current.id, "%s: an event of %s", a.Name, event.writer)
		}
	}
	assert.Check(t, met > 0, "no stream at the engine")
	assert.Check(t, s.endedByRouters() == 0, "%d answers ended by routers", s.endedByRouters())
}

// awaitOneOf waits until a request of each router has run at one of some hosts. One engine does not run
// all requests that are sent at once: which of idle engines is preferred depends on their IDs.
func (s *silenceTrial) awaitOneOf(hosts []*host) {
	s.t.Helper()
	const atOnce = 9
	for router := range s.frontend {
		poll.WaitOn(s.t, func(poll.LogT) poll.Result {
			var group sync.WaitGroup
			var requests []*asked
			for i := range atOnce {
				a := &asked{script: script{Name: fmt.Sprintf("seen %d %d", s.requests.Load(), i), Events: 4, Gap: 30 * time.Millisecond}, path: "/single/", router: router}
				requests = append(requests, a)
				group.Go(func() { a.send(s.deployment) })
			}
			group.Wait()
			for _, a := range requests {
				for _, h := range hosts {
					if len(a.events) > 0 && a.events[0].writer == h.current.id {
						return poll.Success()
					}
				}
			}
			return poll.Continue("router %d", router)
		}, poll.WithTimeout(10*time.Second), poll.WithDelay(5*time.Millisecond))
	}
}

// Guards against events that are lost or sent twice, and runs that go on beside others, if an engine goes
// on at the moment at which further attempts begin elsewhere.
func TestEngineGoesOnAsFurtherAttemptBegins(t *testing.T) {
	const routers, engines, slots, streams, plays = 2, 4, 8, 20, 3
	const first, last, step = 580 * time.Millisecond, 760 * time.Millisecond, 20 * time.Millisecond
	for from := first; from < last; from += 2 * step {
		t.Run(from.String(), func(t *testing.T) {
			t.Parallel()
			s := newSilenceTrial(t, &deployment{relays: true}, routers, engines, slots)
			for play := range 2 * plays {
				duration := from + time.Duration(play%2)*step
				var requests []*asked
				for i := range streams {
					path := []string{"double", "triple", "double", "single", "once"}[i%5]
					// Streams go on for longer than a second run may.
					requests = append(requests, &asked{kind: path, path: "/" + path + "/", router: i % routers,
						script: script{Name: fmt.Sprint(duration, " ", play, " ", i), Events: 26, Gap: 30 * time.Millisecond, Resume: []time.Duration{0, 40 * time.Millisecond, 80 * time.Millisecond, 2 * maxSecondRun}[i%4]}})
				}
				answers := s.begin(requests)
				time.Sleep(50 * time.Millisecond)
				silentFor(s.engines("llm")[:2], duration)
				answers.Wait()
				s.check(t, requests)
			}
			t.Log(s.furtherAttempts())
			assert.Check(t, s.endedByRouters() == 0, "%d answers ended by routers", s.endedByRouters())
		})
	}
}

// Guards against calls that run at two back ends or are answered twice if the first one goes on at the moment
// at which a further attempt begins.
func TestBackendGoesOnAsFurtherAttemptOfCallBegins(t *testing.T) {
	t.Parallel()
	const routers, calls = 2, 24
	s := newSilenceTrial(t, &deployment{relays: true}, routers, 1, 8)
	for duration := 940 * time.Millisecond; duration <= 1060*time.Millisecond; duration += 20 * time.Millisecond {
		var requests []*asked
		for i := range calls {
			path := []string{"look", "look", "read", "pay"}[i%4]
			requests = append(requests, &asked{kind: path, path: "/" + path + "/", router: i % routers,
				script: script{Name: fmt.Sprint(duration, " ", i), Prompt: 80*time.Millisecond + time.Duration(i%3)*30*time.Millisecond}})
		}
		answers := s.begin(requests)
		silentFor(s.engines("app")[:2], duration)
		answers.Wait()
		s.check(t, requests)
	}
	t.Log(s.furtherAttempts())
	assert.Check(t, s.endedByRouters() == 0, "%d answers ended by routers", s.endedByRouters())
}

// blocked returns what the coordinators list as blocked.
func (d *deployment) blocked() string {
	var out strings.Builder
	for i := range d.nodes {
		list := httptest.NewRecorder()
		d.node(i).Handler().ServeHTTP(list, httptest.NewRequest(http.MethodGet, "/v1/blocked", nil))
		if text := strings.TrimSpace(list.Body.String()); text != "[]" {
			out.WriteString(text)
		}
	}
	return out.String()
}

// Guards against silences that are taken for ends of engines under the requests that run there: neither a
// request nor a part of prompts that has met some is blocked.
func TestSilencesBlockNothing(t *testing.T) {
	t.Parallel()
	const routers, engines, slots, third = 2, 6, 8, 2
	for name, silences := range map[string]int{"once": 1, "ten times": 10} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := newSilenceTrial(t, &deployment{relays: true}, routers, engines, slots)
			ctx, cancel := context.WithCancel(t.Context())
			var callers sync.WaitGroup
			for i := range engines * slots / 2 {
				path := []string{"double", "once", "triple", "single"}[i%4]
				callers.Go(func() {
					for n := i; ctx.Err() == nil; n++ {
						a := s.withPrompt(path, n%routers, i)
						a.send(s.deployment)
						assert.Check(t, a.status == http.StatusOK && a.complete, "%s: status %d\n%s", path, a.status, s.lines.about("id="+a.id+" "))
					}
				})
			}
			hosts := s.engines("llm")
			for i := range silences {
				time.Sleep(400 * time.Millisecond)
				from := i * third % engines
				silentFor(hosts[from:from+third], 900*time.Millisecond)
				assert.Check(t, s.blocked() == "", s.blocked())
			}
			time.Sleep(400 * time.Millisecond)
			cancel()
			callers.Wait()
			s.awaitVerdict()
			assert.Check(t, s.blocked() == "", s.blocked())
			for i := range engines * slots / 2 {
				callers.Go(func() {
					a := s.withPrompt("double", i%routers, i)
					a.send(s.deployment)
					assert.Check(t, a.status == http.StatusOK && a.complete, "afterwards: status %d", a.status)
				})
			}
			callers.Wait()
			t.Log(s.furtherAttempts())
			assert.Check(t, s.endedByRouters() == 0, "%d answers ended by routers", s.endedByRouters())
		})
	}
}

// withPrompt returns a request of a caller, which sends the same one again and again: a stream on a prompt
// with two parts that others share.
func (s *silenceTrial) withPrompt(path string, router, caller int) *asked {
	return &asked{kind: path, path: "/" + path + "/", router: router, script: script{Name: fmt.Sprint("caller ", caller), Events: 6, Gap: 40 * time.Millisecond},
		change: func(q *http.Request) {
			q.Header.Set(names.Prefix, fmt.Sprintf("system:20,team%d:20,own%d:10", caller%3, caller))
		}}
}
