package edge

import (
	"context"
	"fmt"
	"log/slog"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"quinceridge.example/quinceridge/internal/coordinator"
	"quinceridge.example/quinceridge/internal/settings"
	"quinceridge.example/quinceridge/internal/traffic"
)

const (
	// stopGraceTime is the grace of routers that stop beside answers that outlast it.
	stopGraceTime = 2 * time.Second
	earlyEndsOf   = "quinceridge_answers_ended_early_total{by=%q}"
	stoppingEnds  = `quinceridge_answers_ended_early_total{by="router",cause="stopping"}`
)

// longAnswers returns streams and calls at a router that outlast its stop.
func longAnswers(router int, streams ...string) (out []*asked) {
	for _, path := range streams {
		out = append(out, &asked{kind: path, path: "/" + path + "/", router: router,
			script: script{Name: fmt.Sprintf("long %s at %d", path, router), Events: 200, Gap: 50 * time.Millisecond}})
	}
	return out
}

// awaitPassedOn waits until the first router passes requests for engines on to another one.
func (s *silenceTrial) awaitPassedOn() {
	s.t.Helper()
	poll.WaitOn(s.t, func(poll.LogT) poll.Result {
		a := asked{script: script{Name: fmt.Sprint("passed on ", s.requests.Load()), Events: 1}, path: "/double/"}
		a.send(s.deployment)
		if s.counter("quinceridge_requests_passed_on_total") == 0 {
			return poll.Continue("status %d", a.status)
		}
		return poll.Success()
	}, poll.WithTimeout(20*time.Second), poll.WithDelay(20*time.Millisecond))
}

// earlyEnd returns the lines on early ends of a request's answer.
func (s *silenceTrial) earlyEnd(a *asked) string {
	var out strings.Builder
	for line := range strings.Lines(s.lines.about("id=" + a.id + " ")) {
		if strings.Contains(line, `msg="answer ended early"`) {
			out.WriteString(line)
		}
	}
	return out.String()
}

// awaitEarlyEnds waits until a number of answers have been logged as ended early: the lines may follow the end of
// the answer.
func (s *silenceTrial) awaitEarlyEnds(n int) {
	s.t.Helper()
	poll.WaitOn(s.t, func(poll.LogT) poll.Result {
		if got := strings.Count(s.lines.about(`msg="answer ended early"`), "\n"); got < n {
			return poll.Continue("%d of %d", got, n)
		}
		return poll.Success()
	}, poll.WithTimeout(5*time.Second), poll.WithDelay(5*time.Millisecond))
}

// Guards against lines on answers that a stop cuts and that are lost because the process ends before they are
// written.
func TestLinesOnCutAnswersPrecedeLastLineOfStop(t *testing.T) {
	t.Parallel()
	// The delays of a busy machine take a smaller part of a long grace; that of the lines takes the same part of any.
	const grace = 4 * stopGraceTime
	s := newSilenceTrial(t, &deployment{relays: true, stopGrace: grace}, 1, 2, 8)
	requests := longAnswers(0, "once", "double", "triple", "single")
	answers := s.begin(requests)
	s.lines.delay.Store(int64(grace / 400))
	s.routers[0].Stop()
	answers.Wait()
	s.awaitEarlyEnds(len(requests))
	before, after, stopped := strings.Cut(s.lines.about(""), "msg=stopped part=edge cut=true ended=true")
	assert.Assert(t, stopped, s.lines.about("msg=stopped"))
	assert.Check(t, strings.Count(before, `msg="aborted: the router stops`) == len(requests), "%d answers", strings.Count(before, `msg="aborted: the router stops`))
	assert.Check(t, !strings.Contains(after, "part=forward"), after)
}

// Guards against a stop whose first line takes the time of its last steps.
func TestSlowFirstLineOfStopLeavesTimeForItsEnd(t *testing.T) {
	t.Parallel()
	s := newSilenceTrial(t, &deployment{stopGrace: stopGraceTime}, 1, 2, 8)
	answers := s.begin(longAnswers(0, "once"))
	s.lines.delay.Store(int64(stopGraceTime / 15))
	time.AfterFunc(stopGraceTime/2, func() { s.lines.delay.Store(0) })
	s.routers[0].Stop()
	answers.Wait()
	assert.Assert(t, s.lines.about("msg=stopped part=edge cut=true ended=true") != "", s.lines.about("msg=stopped"))
}

// Guards against a stop that outlasts its grace because a part of the router does not end, so that the process is
// killed before it has written its last lines.
func TestStopEndsBesideTaskThatDoesNot(t *testing.T) {
	t.Parallel()
	lines := &recordedLog{}
	s := settings.DisklessRouter{Name: "r", Listen: freeAddress(t), Readiness: freeAddress(t), Seeds: []string{freeAddress(t)},
		Revocation: 5 * time.Second, StopGrace: stopGraceTime, RetryWindow: time.Second, MemoryLimit: 100}
	e := New(s, names, coordinator.StatusRequest(), traffic.Parse, slog.New(slog.NewTextHandler(lines, nil)))
	assert.NilError(t, e.Start())
	release := make(chan struct{})
	defer close(release)
	e.group.Go(func() { <-release })
	stopped := make(chan struct{})
	go func() {
		defer close(stopped)
		e.Stop()
	}()
	select {
	case <-stopped:
		assert.Assert(t, lines.about("msg=stopped part=edge cut=false ended=false") != "", lines.about("msg=stop"))
	case <-time.After(5 * stopGraceTime):
		t.Fatal("the stop does not end")
	}
}

// Guards against answers that a stopping router cuts and that its log and metrics give as left by their clients.
func TestAnswersCutByPlannedStopNameTheRouter(t *testing.T) {
	t.Parallel()
	s := newSilenceTrial(t, &deployment{relays: true, stopGrace: stopGraceTime}, 1, 2, 8)
	requests := longAnswers(0, "once", "double", "triple", "single")
	requests = append(requests, &asked{kind: "pay", path: "/pay/", script: script{Name: "long call", Prompt: 4 * time.Second}})
	leaver := &asked{kind: "once", path: "/once/", script: script{Name: "leaves", Events: 200, Gap: 50 * time.Millisecond}}
	left, leave := context.WithCancel(t.Context())
	leaver.change = func(q *http.Request) { *q = *q.WithContext(left) }
	answers := s.begin(append(requests, leaver))
	time.AfterFunc(500*time.Millisecond, leave)
	s.routers[0].Stop()
	answers.Wait()
	s.awaitEarlyEnds(len(requests) + 1)
	for _, a := range requests {
		// Answers that have not begun are replaced by an error.
		assert.Check(t, a.complete == (a.Events == 0) && (a.Events > 0 || a.status == http.StatusBadGateway), "%s: status %d", a.Name, a.status)
		assert.Check(t, strings.Contains(s.earlyEnd(a), "ended_by=router cause=stopping "), "%s: %s", a.Name, s.lines.about("id="+a.id+" "))
	}
	assert.Check(t, strings.Contains(s.earlyEnd(leaver), "ended_by=client "), s.lines.about("id="+leaver.id+" "))
	assert.Equal(t, s.counter(stoppingEnds), len(requests))
	assert.Equal(t, s.counter(fmt.Sprintf(earlyEndsOf, "client")), 1)
	assert.Equal(t, strings.Count(s.lines.about("client disconnected"), "\n"), 1)
}

// Guards against an answer that another router's stop cuts and that is given as ended by a back end.
func TestPassedOnAnswersCutByPlannedStopNameTheOtherRouter(t *testing.T) {
	t.Parallel()
	s := newSilenceTrial(t, &deployment{relays: true, links: newLinks(), stopGrace: stopGraceTime}, 2, 2, 8)
	s.links.set(linkSilent, 0, s.addresses("llm")...)
	s.awaitPassedOn()
	// The requests before that ended for other reasons.
	others := func() int {
		return s.counter(fmt.Sprintf(earlyEndsOf, "back end")) + s.counter(fmt.Sprintf(earlyEndsOf, "client"))
	}
	before, lines := others(), strings.Count(s.lines.about(`msg="answer ended early"`), "\n")
	requests := longAnswers(0, "once", "twice")
	answers := s.begin(requests)
	s.routers[1].Stop()
	answers.Wait()
	s.awaitEarlyEnds(lines + 2*len(requests))
	for _, a := range requests {
		lines := s.earlyEnd(a)
		assert.Check(t, !a.complete, "%s", a.Name)
		assert.Check(t, strings.Contains(lines, "ended_by=router cause=stopping "), "%s: %s", a.Name, lines)
		assert.Check(t, strings.Contains(lines, `ended_by="other router" `), "%s: %s", a.Name, lines)
	}
	assert.Equal(t, s.counter(stoppingEnds), len(requests))
	assert.Equal(t, s.counter(fmt.Sprintf(earlyEndsOf, "other router")), len(requests))
	assert.Equal(t, others(), before)
}

// Guards against connections that are closed at the end of a planned stop before the last answers have been sent.
func TestLastAnswersOfPlannedStopReachTheirClients(t *testing.T) {
	t.Parallel()
	s := newSilenceTrial(t, &deployment{stopGrace: 2 * stopGraceTime}, 1, 2, 8)
	var requests []*asked
	for i := range 20 {
		requests = append(requests, &asked{kind: "pay", path: "/pay/", script: script{Name: fmt.Sprint("long call ", i), Prompt: 5 * time.Second}})
	}
	answers := s.begin(requests)
	s.routers[0].Stop()
	answers.Wait()
	for _, a := range requests {
		assert.Check(t, a.complete && a.status == http.StatusBadGateway, "%s: status %d: %s", a.Name, a.status, s.lines.about("id="+a.id+" "))
	}
}

// Guards against a stop that refuses or cuts requests before it closes its listeners.
func TestStoppingRouterServesRequestsWhileItListens(t *testing.T) {
	t.Parallel()
	s := newSilenceTrial(t, &deployment{stopGrace: stopGraceTime}, 1, 2, 8)
	stopped := make(chan struct{})
	begun := time.Now()
	go func() {
		s.routers[0].Stop()
		close(stopped)
	}()
	var requests []*asked
	var answers sync.WaitGroup
	// A router listens for nine twentieths of such a grace.
	for i := 0; time.Since(begun) < stopGraceTime*2/5; i++ {
		for _, path := range []string{"double", "once", "pay"} {
			a := &asked{kind: path, path: "/" + path + "/", script: script{Name: fmt.Sprintf("%s in the stop %d", path, i)}}
			if path != "pay" {
				a.Events, a.Gap = 4, 20*time.Millisecond
			}
			requests = append(requests, a)
			answers.Go(func() { a.send(s.deployment) })
		}
		time.Sleep(40 * time.Millisecond)
	}
	answers.Wait()
	s.check(t, requests)
	<-stopped
	assert.Assert(t, time.Since(begun) < stopGraceTime, "%v", time.Since(begun))
}

// Guards against a stream that fails because the router to which it was passed on stops, although its route allows
// another attempt.
func TestRequestPassedOnToStoppingRouterIsTriedAgain(t *testing.T) {
	t.Parallel()
	s := newSilenceTrial(t, &deployment{relays: true, links: newLinks(), stopGrace: stopGraceTime}, 3, 2, 16)
	s.links.set(linkSilent, 0, s.addresses("llm")...)
	s.awaitPassedOn()
	var requests []*asked
	for i := range 3 {
		requests = append(requests, &asked{kind: "double", path: "/double/", script: script{Name: fmt.Sprint("passed on long ", i), Prompt: 3 * time.Second, Events: 1}})
	}
	// The retry budget counts these.
	for i := range 100 {
		a := asked{script: script{Name: fmt.Sprint("quick ", i), Events: 1}, path: "/double/"}
		a.send(s.deployment)
	}
	answers := s.begin(requests)
	s.routers[1].Stop()
	answers.Wait()
	for _, a := range requests {
		withoutBudget := strings.Contains(s.earlyEnd(a), `ended_by="other router" `) && strings.Contains(s.earlyEnd(a), `further_attempt="the retry budget is used up"`)
		assert.Check(t, a.status == http.StatusOK || withoutBudget, "%s: status %d, runs %d\n%s", a.Name, a.status, len(s.scriptedRuns(a.body())), s.lines.about("id="+a.id+" "))
	}
}
