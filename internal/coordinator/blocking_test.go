package coordinator

import (
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"quinceridge.example/quinceridge/internal/clock"
	"quinceridge.example/quinceridge/internal/coordapi"
	"quinceridge.example/quinceridge/internal/poison"
	"quinceridge.example/quinceridge/internal/state"
)

// crashReport returns a report that back ends crashed while running a request.
func crashReport(request poison.Digest, age time.Duration, backends ...string) coordapi.Request {
	update := &coordapi.Update{Router: "r"}
	for _, id := range backends {
		update.FailedAttempts = append(update.FailedAttempts, poison.FailedAttempt{Backend: id, Request: request, Down: true, Age: age, Duration: 50 * time.Millisecond})
	}
	return coordapi.Request{Update: update}
}

// blocked returns whether the leader's view contains a request as blocked.
func (g *group) blocked(request poison.Digest) bool {
	reply, err := g.servers[g.leader()].Call(g.t.Context(), coordapi.Request{Watch: &coordapi.Watch{Router: "r"}})
	if err != nil || reply.View == nil {
		return false
	}
	var whole coordapi.FullView
	assert.NilError(g.t, coordapi.Unpack(reply.View.Packed, &whole))
	for _, b := range whole.Blocked.Requests {
		if b.Request == request {
			return true
		}
	}
	return false
}

func (g *group) awaitBlocked(request poison.Digest, wanted bool) {
	g.t.Helper()
	waitOn(g.t, func(poll.LogT) poll.Result {
		if g.blocked(request) != wanted {
			return poll.Continue("blocked is not %v", wanted)
		}
		return poll.Success()
	}, poll.WithTimeout(20*time.Second), poll.WithDelay(20*time.Millisecond))
}

func (g *group) enrol(ids ...string) {
	for i, id := range ids {
		g.call(i%len(g.servers), beat(id, 1, false))
	}
}

// A blocked request stays blocked after all nodes were killed at once.
func TestPoisonRequestStaysBlockedAcrossRestart(t *testing.T) {
	g := newGroup(t, 3)
	g.enrol("a", "b", "c", "d")
	g.call(0, crashReport(7, 0, "a", "b"))
	g.call(1, crashReport(8, 0, "a"))
	time.Sleep(2 * evaluateInterval)
	assert.Assert(t, !g.blocked(7))
	g.call(2, crashReport(7, 0, "c"))
	g.awaitBlocked(7, true)
	assert.Assert(t, !g.blocked(8))
	req := place(1)
	req.Place.Request = 7
	assert.Equal(t, len(g.servers[g.leader()].place(req.Place).Placed.Blocked), 3)
	// All nodes are killed before any is restarted.
	for i := range g.servers {
		g.kill(i)
	}
	for i := range g.servers {
		g.start(i)
	}
	g.awaitBlocked(7, true)
}

// Evidence is lost with the leader; routers report it again to the next one.
func TestNewLeaderUsesRepeatedReports(t *testing.T) {
	g := newGroup(t, 3)
	g.enrol("a", "b", "c")
	g.call(0, crashReport(7, 0, "a", "b"))
	for i := range g.servers {
		g.kill(i)
		g.start(i)
	}
	g.call(0, crashReport(7, 0, "c"))
	time.Sleep(2 * evaluateInterval)
	assert.Assert(t, !g.blocked(7))
	g.call(0, crashReport(7, 3*time.Second, "a", "b"))
	g.awaitBlocked(7, true)
}

func TestOperatorUnblocksRequest(t *testing.T) {
	g := newGroup(t, 3)
	g.enrol("a", "b", "c")
	g.call(0, crashReport(7, 0, "a", "b", "c"))
	g.awaitBlocked(7, true)
	server := httptest.NewServer(g.servers[0].Handler())
	defer server.Close()
	var list []blockedEntry
	waitOn(t, func(poll.LogT) poll.Result {
		response, err := http.Get(server.URL + "/v1/blocked")
		if err != nil {
			return poll.Error(err)
		}
		defer response.Body.Close()
		if err := json.NewDecoder(response.Body).Decode(&list); err != nil || len(list) != 1 {
			return poll.Continue("%v, %v", list, err)
		}
		return poll.Success()
	}, poll.WithTimeout(10*time.Second))
	assert.Equal(t, list[0].Request, "0000000000000007")
	assert.DeepEqual(t, list[0].Backends, []string{"a", "b", "c"})
	remove := func(digest string) int {
		request, err := http.NewRequest(http.MethodDelete, server.URL+"/v1/blocked/"+digest, nil)
		assert.NilError(t, err)
		response, err := http.DefaultClient.Do(request)
		assert.NilError(t, err)
		_ = response.Body.Close()
		return response.StatusCode
	}
	for _, wrong := range []string{"7", strings.Repeat("z", 16), strings.Repeat("0", 16)} {
		assert.Equal(t, remove(wrong), http.StatusBadRequest, wrong)
	}
	assert.Equal(t, remove(list[0].Request), http.StatusOK)
	g.awaitBlocked(7, false)
	// Evidence from before the unblocking does not count, even if it is reported again.
	g.call(0, crashReport(7, 5*time.Second, "a", "b", "c"))
	time.Sleep(2 * evaluateInterval)
	assert.Assert(t, !g.blocked(7))
	g.enrol("d", "e", "f")
	g.call(0, crashReport(7, 0, "d", "e", "f"))
	g.awaitBlocked(7, true)
}

// Blocks expire, so that a request blocked by mistake is not blocked forever.
func TestBlockExpires(t *testing.T) {
	b := newBlocker(time.Second, nil)
	b.applied[7] = appliedBlock{since: time.Minute}
	assert.Equal(t, len(b.ending(time.Minute+poison.BlockDuration-1, &poison.Findings{})), 0)
	ended := b.ending(time.Minute+poison.BlockDuration, &poison.Findings{})
	assert.Equal(t, len(ended), 1)
	assert.Equal(t, ended[0].Request, poison.Digest(7))
}

// Routers report complete answers to suspects.
func TestSuspectsAreAnnounced(t *testing.T) {
	g := newGroup(t, 1)
	g.enrol("a", "b")
	g.call(0, crashReport(7, 0, "a", "b"))
	suspects := func() string {
		reply := g.call(0, coordapi.Request{Watch: &coordapi.Watch{Router: "r"}})
		return fmt.Sprint(reply.View.Suspects)
	}
	await := func(wanted string) {
		waitOn(t, func(poll.LogT) poll.Result {
			if got := suspects(); got != wanted {
				return poll.Continue("suspects are %s", got)
			}
			return poll.Success()
		}, poll.WithTimeout(10*time.Second), poll.WithDelay(20*time.Millisecond))
	}
	await("[0000000000000007]")
	g.call(0, coordapi.Request{Update: &coordapi.Update{Router: "r", Reports: coordapi.Reports{Answered: []poison.Digest{7}}}})
	await("[]")
}

// crashReportWithParts returns a report that back ends crashed, each while running a request of its own
// with the same parts.
func crashReportWithParts(first poison.Digest, parts []poison.Digest, backends ...string) coordapi.Request {
	update := &coordapi.Update{Router: "r"}
	for i, id := range backends {
		update.FailedAttempts = append(update.FailedAttempts, poison.FailedAttempt{Backend: id, Request: first + poison.Digest(i), Parts: parts, Down: true,
			Age: time.Duration(len(backends)-i) * 150 * time.Millisecond, Duration: 50 * time.Millisecond})
	}
	return coordapi.Request{Update: update}
}

// A request with the blocked part that ran already is answered: the part does not crash back ends.
func TestAnswerEndsBlockOfPart(t *testing.T) {
	g := newGroup(t, 3)
	g.enrol("a", "b", "c")
	g.call(0, crashReportWithParts(1000, []poison.Digest{5}, "a", "b", "c"))
	g.awaitBlocked(5, true)
	g.call(0, coordapi.Request{Update: &coordapi.Update{Router: "r", Reports: coordapi.Reports{Answered: []poison.Digest{5}}}})
	g.awaitBlocked(5, false)
}

// Guards against requests that ran already and end a block that an operator has set.
func TestAnswerDoesNotEndBlockByOperator(t *testing.T) {
	for name, block := range map[string]*state.Block{
		"part":    {Request: 5, Parts: []poison.Digest{5}},
		"parts":   {Request: poison.SetDigest([]poison.Digest{5, 6}), Parts: []poison.Digest{5, 6}},
		"request": {Request: 7},
	} {
		t.Run(name, func(t *testing.T) {
			g := newGroup(t, 3)
			g.enrol("a", "b", "c")
			g.call(0, coordapi.Request{Block: block})
			g.awaitBlocked(block.Request, true)
			g.call(0, coordapi.Request{Update: &coordapi.Update{Router: "r", Reports: coordapi.Reports{Answered: []poison.Digest{block.Request}}}})
			time.Sleep(3 * evaluateInterval)
			assert.Assert(t, g.blocked(block.Request))
		})
	}
}

// Answers that were reported before the ends keep a part free.
func TestAnswersKeepPartFree(t *testing.T) {
	g := newGroup(t, 1)
	g.enrol("a", "b", "c")
	g.call(0, coordapi.Request{Update: &coordapi.Update{Router: "r", Reports: coordapi.Reports{AnsweredParts: []poison.AnsweredPart{{Part: 5, Age: time.Minute}}}}})
	g.call(0, crashReportWithParts(1000, []poison.Digest{5, 6}, "a", "b", "c"))
	g.awaitBlocked(6, true)
	assert.Assert(t, !g.blocked(5))
}

// evidence is what a router reports to each leadership.
type evidence struct {
	g       *group
	reports []coordapi.Request
	at      []time.Duration
	// reportedTo is the leadership that has it.
	reportedTo string
}

// report reports further failed attempts until done, again to each leader that follows.
func (e *evidence) report(request coordapi.Request, message string, done func() bool) {
	e.g.t.Helper()
	e.reports, e.at, e.reportedTo = append(e.reports, request), append(e.at, clock.Now()), ""
	waitOn(e.g.t, func(poll.LogT) poll.Result {
		view := e.g.call(0, coordapi.Request{Watch: &coordapi.Watch{Router: "r"}}).View
		if view == nil {
			return poll.Continue("no view")
		}
		if leadership := view.Leader.Leadership(); leadership != e.reportedTo {
			for i := range e.reports {
				e.g.call(0, aged(e.reports[i], clock.Since(e.at[i])))
			}
			e.reportedTo = leadership
		}
		if !done() {
			return poll.Continue("%s", message)
		}
		return poll.Success()
	}, poll.WithTimeout(20*time.Second), poll.WithDelay(20*time.Millisecond))
}

// aged returns a report of failed attempts that is sent after a time.
func aged(request coordapi.Request, by time.Duration) coordapi.Request {
	update := *request.Update
	update.FailedAttempts = slices.Clone(update.FailedAttempts)
	for i := range update.FailedAttempts {
		update.FailedAttempts[i].Age += by
	}
	return coordapi.Request{Update: &update}
}

// reportDoubtful reports the ends of five back ends under part 5, and longer attempts with part 6 there,
// and waits until part 5 is blocked.
func (g *group) reportDoubtful() *evidence {
	g.t.Helper()
	ends := []string{"a", "b", "c", "d", "e"}
	reports := crashReportWithParts(1000, []poison.Digest{6}, ends...)
	for i := range reports.Update.FailedAttempts {
		reports.Update.FailedAttempts[i].Duration = time.Second
	}
	reports.Update.FailedAttempts = append(reports.Update.FailedAttempts, crashReportWithParts(2000, []poison.Digest{5}, ends...).Update.FailedAttempts...)
	e := &evidence{g: g}
	e.report(reports, "part 5 is not blocked", func() bool { return g.blocked(5) })
	return e
}

// awaitTrial waits until the leader announces a trial of a block.
func (g *group) awaitTrial(id poison.Digest) {
	g.t.Helper()
	waitOn(g.t, func(poll.LogT) poll.Result {
		reply := g.call(0, coordapi.Request{Watch: &coordapi.Watch{Router: "r"}})
		if reply.View == nil || !contains(reply.View.Trials, id) {
			return poll.Continue("no trial")
		}
		return poll.Success()
	}, poll.WithTimeout(2*trialTimeout), poll.WithDelay(20*time.Millisecond))
}

// askTrial asks for the trial of a block and reports whether the request was placed.
func (g *group) askTrial(number uint64, block poison.Digest) (placed bool) {
	g.t.Helper()
	reply := g.call(g.leader(), coordapi.Request{Place: &coordapi.Place{Router: "r", Number: number, Pool: "llm", Slots: 8, Capacity: 100000, Request: 5000 + poison.Digest(number), Trial: block}})
	assert.Assert(g.t, reply.Placed != nil)
	assert.Assert(g.t, (reply.Placed.ID != "") == (len(reply.Placed.Blocked) == 0), "%+v", reply.Placed)
	return reply.Placed.ID != ""
}

// A doubtful block stays in force, and one request is let through for a trial. Further ones wait for its
// result, and an answer ends the block.
func TestDoubtfulBlockIsTriedByOneRequest(t *testing.T) {
	g := newGroup(t, 3)
	g.enrol("a", "b", "c", "d", "e", "f", "g")
	g.reportDoubtful()
	g.awaitBlocked(5, true)
	assert.Assert(t, !g.blocked(6))
	assert.Assert(t, !g.askTrial(1, 5), "before the trial begins")
	g.awaitTrial(5)
	placed := 0
	for i := range 20 {
		if g.askTrial(uint64(10+i), 5) {
			placed++
		}
	}
	assert.Equal(t, placed, 1)
	assert.Assert(t, g.blocked(5))
	g.call(0, coordapi.Request{Update: &coordapi.Update{Router: "r", Reports: coordapi.Reports{Answered: []poison.Digest{5}}}})
	g.awaitBlocked(5, false)
}

// A back end that ends under the trial confirms the block, and there is no further trial, although all
// coordinators are lost with the evidence.
func TestTrialThatEndsBackendConfirmsBlock(t *testing.T) {
	g := newGroup(t, 3)
	g.enrol("a", "b", "c", "d", "e", "f", "g")
	evidence := g.reportDoubtful()
	g.awaitTrial(5)
	assert.Assert(t, g.askTrial(1, 5))
	time.Sleep(100 * time.Millisecond)
	evidence.report(crashReportWithParts(3000, []poison.Digest{5}, "f"), "not confirmed", func() bool { return g.confirmed(5) })
	for i := range g.servers {
		g.kill(i)
		g.start(i)
	}
	g.enrol("a", "b", "c", "d", "e", "f", "g")
	time.Sleep(trialTimeout + trialDelay)
	assert.Assert(t, g.blocked(5))
	assert.Assert(t, !g.askTrial(2, 5))
}

// confirmed reports whether all coordinators list a block as confirmed.
func (g *group) confirmed(id poison.Digest) bool {
	for _, s := range g.servers {
		list := httptest.NewRecorder()
		s.Handler().ServeHTTP(list, httptest.NewRequest(http.MethodGet, "/v1/blocked", nil))
		var blocked []blockedEntry
		if err := json.Unmarshal(list.Body.Bytes(), &blocked); err != nil || len(blocked) != 1 || blocked[0].Request != id.String() || !blocked[0].Confirmed {
			return false
		}
	}
	return true
}

// Leaders that are lost with the results of trials do not let more requests through than the bound.
func TestTrialsAreBoundedAcrossLeaders(t *testing.T) {
	g := newGroup(t, 3)
	g.enrol("a", "b", "c", "d", "e", "f", "g")
	g.reportDoubtful()
	placed := 0
	for trial := range maxTrials {
		g.awaitTrial(5)
		for i := range 5 {
			if g.askTrial(uint64(10*trial+i+1), 5) {
				placed++
			}
		}
		for i := range g.servers {
			g.kill(i)
			g.start(i)
		}
		g.enrol("a", "b", "c", "d", "e", "f", "g")
	}
	time.Sleep(trialTimeout + trialDelay)
	assert.Assert(t, !g.askTrial(99, 5))
	assert.Equal(t, placed, maxTrials)
	assert.Assert(t, g.blocked(5))
}

// The state of a back end may complete the evidence against a suspect. The verdict must follow soon, since
// the next requests with it end further back ends.
func TestVerdictFollowsStateOfBackends(t *testing.T) {
	b := newBlocker(time.Second, slog.New(slog.NewTextHandler(io.Discard, nil)))
	b.reset(true)
	reports := crashReport(7, 0, "a", "b").Update.Reports
	b.record(time.Second, "r", &reports)
	unsure := crashReport(7, 0, "c").Update.Reports
	unsure.FailedAttempts[0].Down = false
	b.record(time.Second, "r", &unsure)
	gone := false
	signs := func(id string) poison.Liveness {
		return poison.Liveness{Gone: id == "c" && gone}
	}
	found, _ := b.evaluate(time.Second, signs)
	assert.DeepEqual(t, found.Suspects, []poison.Digest{7})
	gone = true
	b.backendsChanged()
	found, _ = b.evaluate(time.Second+2*tickInterval, signs)
	assert.Equal(t, len(found.Verdicts), 1)
}

// Guards against back ends that end under a request after the verdict, while its block is being committed.
func TestVerdictIsAnnouncedBeforeItIsCommitted(t *testing.T) {
	b := newBlocker(time.Second, slog.New(slog.NewTextHandler(io.Discard, nil)))
	b.reset(true)
	reports := crashReport(7, 0, "a", "b", "c").Update.Reports
	b.record(time.Second, "r", &reports)
	found, _ := b.evaluate(time.Second, func(string) poison.Liveness { return poison.Liveness{} })
	assert.Equal(t, len(found.Verdicts), 1)
	assert.Assert(t, b.updateProposed(time.Second))
	assert.DeepEqual(t, b.announcedProposed, []state.BlockedRequest{{Request: 7, Backends: []string{"a", "b", "c"}}})
	assert.Assert(t, !b.updateProposed(time.Second+tickInterval), "nothing has changed")
	b.update(time.Second+tickInterval, &state.Deployment{BlockedRevision: 1, Blocked: []state.BlockedRequest{{Request: 7, Backends: []string{"a", "b", "c"}, Revision: 1}}})
	assert.Assert(t, b.updateProposed(time.Second+tickInterval))
	assert.Equal(t, len(b.announcedProposed), 0)
}
