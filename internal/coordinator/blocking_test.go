package coordinator

import (
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"quinceridge.example/quinceridge/internal/coordapi"
	"quinceridge.example/quinceridge/internal/poison"
)

// endings tells that back ends have ended under a request.
func endings(request poison.Digest, age time.Duration, backends ...string) coordapi.Request {
	tell := &coordapi.Update{Router: "r"}
	for _, id := range backends {
		tell.FailedAttempts = append(tell.FailedAttempts, poison.FailedAttempt{Backend: id, Request: request, Down: true, Age: age, Duration: 50 * time.Millisecond})
	}
	return coordapi.Request{Update: tell}
}

// blocked returns what a node's view says of a request.
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
	poll.WaitOn(g.t, func(poll.LogT) poll.Result {
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

func TestARequestThatEndsBackEndsIsBlockedForAllAndForGood(t *testing.T) {
	g := newGroup(t, 3)
	g.enrol("a", "b", "c", "d")
	g.call(0, endings(7, 0, "a", "b"))
	g.call(1, endings(8, 0, "a"))
	time.Sleep(2 * judgeEvery)
	assert.Assert(t, !g.blocked(7))
	g.call(2, endings(7, 0, "c"))
	g.awaitBlocked(7, true)
	assert.Assert(t, !g.blocked(8))
	ask := place(1)
	ask.Place.Request = 7
	assert.Equal(t, len(g.servers[g.leader()].place(ask.Place).Placed.Blocked), 3)
	// All processes are killed at once.
	for i := range g.servers {
		g.kill(i)
	}
	for i := range g.servers {
		g.start(i)
	}
	g.awaitBlocked(7, true)
}

// A leader that is lost takes its evidence along; routers tell the next one again.
func TestANewLeaderJudgesByWhatItIsToldAgain(t *testing.T) {
	g := newGroup(t, 3)
	g.enrol("a", "b", "c")
	g.call(0, endings(7, 0, "a", "b"))
	for i := range g.servers {
		g.kill(i)
		g.start(i)
	}
	g.call(0, endings(7, 0, "c"))
	time.Sleep(2 * judgeEvery)
	assert.Assert(t, !g.blocked(7))
	g.call(0, endings(7, 3*time.Second, "a", "b"))
	g.awaitBlocked(7, true)
}

func TestAnOperatorLetsARequestGo(t *testing.T) {
	g := newGroup(t, 3)
	g.enrol("a", "b", "c")
	g.call(0, endings(7, 0, "a", "b", "c"))
	g.awaitBlocked(7, true)
	server := httptest.NewServer(g.servers[0].Handler())
	defer server.Close()
	var list []blockedLine
	poll.WaitOn(t, func(poll.LogT) poll.Result {
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
	// What was held against it does not count any more, also when it is told again.
	g.call(0, endings(7, 5*time.Second, "a", "b", "c"))
	time.Sleep(2 * judgeEvery)
	assert.Assert(t, !g.blocked(7))
	g.enrol("d", "e", "f")
	g.call(0, endings(7, 0, "d", "e", "f"))
	g.awaitBlocked(7, true)
}

// A block ends by itself after a while, for a caller that was blocked by mistake and
// knows no operator.
func TestABlockEndsByItself(t *testing.T) {
	b := newBlocking(time.Second, nil)
	b.since[7] = time.Minute
	assert.Equal(t, len(b.expired(time.Minute+poison.BlockDuration-1)), 0)
	assert.DeepEqual(t, b.expired(time.Minute+poison.BlockDuration), []poison.Digest{7})
}

// Routers go on to answer suspects, and say so.
func TestSuspectsAreAnnounced(t *testing.T) {
	g := newGroup(t, 1)
	g.enrol("a", "b")
	g.call(0, endings(7, 0, "a", "b"))
	suspects := func() string {
		reply := g.call(0, coordapi.Request{Watch: &coordapi.Watch{Router: "r"}})
		return fmt.Sprint(reply.View.Suspects)
	}
	await := func(wanted string) {
		poll.WaitOn(t, func(poll.LogT) poll.Result {
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
