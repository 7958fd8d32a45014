package edge

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"
)

// crashInterval is the time between two requests with the crashing part. Ends within a tenth of a second
// may have one cause, such as the loss of a rack, and do not all count.
const crashInterval = 150 * time.Millisecond

// crashWithPart sends requests with the crashing part, no two alike, until it has crashed a number of
// engines.
func (d *deployment) crashWithPart(path string, count int) {
	d.t.Helper()
	for i := 0; d.crashCount() < count; i++ {
		assert.Assert(d.t, i < 60, "%d engines have crashed", d.crashCount())
		d.ask(i%len(d.frontend), path, "system", crashingPart, fmt.Sprint("document", i%3))
		time.Sleep(crashInterval)
	}
}

// assertPartBlocked checks that requests with the part are refused by all routers at once, and that
// requests with their other parts are served.
func (d *deployment) assertPartBlocked(path string) {
	d.t.Helper()
	d.awaitVerdict()
	before := d.crashCount()
	for frontend := range d.frontend {
		got := d.ask(frontend, path, "system", crashingPart)
		assert.Equal(d.t, got.status, http.StatusBadGateway)
		assert.Assert(d.t, got.header.Get("Retry-After") != "")
		assert.Assert(d.t, got.took < 500*time.Millisecond, "the answer took %v", got.took)
		assert.Equal(d.t, d.askSound(frontend, "/chat/", "system", "document1"), http.StatusOK)
	}
	assert.Equal(d.t, d.crashCount(), before, "requests with the part reached engines again")
}

// askSound asks until engines are free, and returns the status of the response.
func (d *deployment) askSound(frontend int, path string, shared ...string) int {
	got := d.ask(frontend, path, shared...)
	for tries := 0; got.status == http.StatusServiceUnavailable && tries < 20; tries++ {
		time.Sleep(100 * time.Millisecond)
		got = d.ask(frontend, path, shared...)
	}
	return got.status
}

// warm has answers on the parts that requests with the crashing part share with others.
func (d *deployment) warm() {
	for i := range 6 {
		d.ask(i%len(d.frontend), "/chat/", "system", fmt.Sprint("document", i%3))
	}
}

// The evidence survives the loss of all coordinators between the ends, and the block that after it, and
// reaches a router that starts later.
func TestBlockOfPartSurvivesCoordinators(t *testing.T) {
	for _, ends := range []int{1, 2} {
		t.Run(fmt.Sprintf("after %d ends", ends), func(t *testing.T) {
			d := newDeployment(t, 3, 3, 12)
			d.warm()
			d.crashWithPart("/chat/", ends)
			time.Sleep(300 * time.Millisecond)
			d.restartNodes()
			d.awaitReady()
			d.crashWithPart("/chat/", 3)
			d.assertPartBlocked("/chat/")
			assert.Assert(t, d.crashCount() <= maxCrashes, "%d engines have crashed", d.crashCount())
			d.restartNodes()
			d.addRouter(len(d.frontend), d.config[0].Seeds)
			d.awaitReady()
			d.assertPartBlocked("/chat/")
		})
	}
}

// A router that is lost with its evidence costs as many further ends as it has seen.
func TestPartIsBlockedAlthoughReportingRouterIsLost(t *testing.T) {
	d := newDeployment(t, 3, 3, 12)
	d.warm()
	d.crashWithPart("/chat/", 2)
	time.Sleep(200 * time.Millisecond)
	d.loseRouter(0, 100*time.Millisecond)
	d.awaitReady()
	d.crashWithPart("/chat/", 3)
	d.assertPartBlocked("/chat/")
	assert.Assert(t, d.crashCount() <= maxCrashes, "%d engines have crashed", d.crashCount())
}

// Requests that may be sent to a second engine do not crash more of them.
func TestPartIsBlockedOnRoutesWithRetries(t *testing.T) {
	d := newDeployment(t, 3, 3, 12)
	d.crashEvents = 1
	d.warm()
	d.crashWithPart("/check/", 3)
	d.assertPartBlocked("/check/")
	assert.Assert(t, d.crashCount() <= maxCrashes, "%d engines have crashed", d.crashCount())
}

func TestPartThatHangsEnginesIsBlocked(t *testing.T) {
	d := newDeployment(t, 3, 2, 8)
	d.callerTimeout = 1500 * time.Millisecond
	for _, h := range d.hosts {
		h.hangs, h.restartDelay = true, time.Second
	}
	d.warm()
	d.crashWithPart("/chat/", 3)
	d.assertPartBlocked("/chat/")
}

// Of twenty requests with the part that are sent at once, all may crash engines. Once these are back,
// few more do.
func TestConcurrentRequestsWithPartAreBlockedSoonAfter(t *testing.T) {
	d := newDeployment(t, 3, 3, 24)
	d.warm()
	var group sync.WaitGroup
	for i := range 20 {
		group.Go(func() { d.ask(i%3, "/chat/", "system", crashingPart) })
	}
	group.Wait()
	time.Sleep(time.Second)
	concurrent := d.crashCount()
	for i := range 12 {
		d.ask(i%3, "/chat/", "system", crashingPart)
		time.Sleep(100 * time.Millisecond)
	}
	assert.Assert(t, d.crashCount() <= concurrent+3, "%d engines have crashed, %d of them after the first %d", d.crashCount(), d.crashCount()-concurrent, concurrent)
	d.assertPartBlocked("/chat/")
}

// A part is blocked for all tenants that share it, and the name of an isolated tenant's part is its own.
func TestPartIsBlockedForTenantsThatShareIt(t *testing.T) {
	d := newDeployment(t, 3, 2, 8)
	d.configureDocument(2, strings.Replace(testDocument, `{"name":"bob","keys":["kb"]}`, `{"name":"bob","keys":["kb"]},{"name":"carol","keys":["kc"],"isolated":true}`, 1))
	d.setCrashesOn(func(shared []string) bool {
		return len(shared) > 1 && shared[1] == crashingPart && !strings.HasPrefix(shared[0], "carol")
	})
	d.warm()
	d.crashWithPart("/chat/", 3)
	d.assertPartBlocked("/chat/")
	assert.Equal(t, d.sendPrompt(0, 0, "kb", "/chat/", "of bob", d.prompt("bob", crashingPart)).status, http.StatusBadGateway)
	assert.Equal(t, d.sendPrompt(0, 0, "kc", "/chat/", "of carol", d.prompt("carol", crashingPart)).status, http.StatusOK)
}

// The last part of a prompt is the request's own, and other requests do not share it.
func TestBlockedPartMayStandLast(t *testing.T) {
	d := newDeployment(t, 3, 2, 8)
	d.warm()
	d.crashWithPart("/chat/", 3)
	d.assertPartBlocked("/chat/")
	assert.Equal(t, d.sendPrompt(0, 0, "ka", "/chat/", "last", "system:20,"+crashingPart+":20").status, http.StatusOK)
}

// A sound part that always came along with the crashing one is served once it comes alone, at the first
// attempt, and the other is blocked alone after one further end.
func TestSoundPartSeenOnlyBesideCrashingOneIsServed(t *testing.T) {
	d := newDeployment(t, 3, 3, 12)
	d.warm()
	for i := 0; d.crashCount() < 3; i++ {
		assert.Assert(t, i < 20)
		d.ask(i%3, "/chat/", "system", "companion", crashingPart)
		time.Sleep(100 * time.Millisecond)
	}
	time.Sleep(500 * time.Millisecond)
	assert.Equal(t, d.ask(0, "/chat/", "system", "companion", crashingPart).status, http.StatusBadGateway)
	for frontend := range 3 {
		assert.Equal(t, d.askSound(frontend, "/chat/", "system", "companion"), http.StatusOK)
	}
	assert.Equal(t, d.crashCount(), 3)
	d.crashWithPart("/chat/", 4)
	d.assertPartBlocked("/chat/")
	assert.Equal(t, d.askSound(0, "/chat/", "system", "companion"), http.StatusOK)
	assert.Equal(t, d.crashCount(), 4)
}

// An engine that crashes on two parts together only answers on each of them alone.
func TestPartsThatCrashTogetherAreServedAlone(t *testing.T) {
	d := newDeployment(t, 3, 3, 12)
	d.setCrashesOn(func(shared []string) bool {
		text := strings.Join(shared, " ")
		return strings.Contains(text, "left") && strings.Contains(text, "right")
	})
	d.warm()
	for i := 0; d.crashCount() < 3; i++ {
		assert.Assert(t, i < 20)
		d.ask(i%3, "/chat/", "system", "left", "right", fmt.Sprint("document", i%3))
		time.Sleep(100 * time.Millisecond)
	}
	time.Sleep(500 * time.Millisecond)
	for frontend := range 3 {
		assert.Equal(t, d.ask(frontend, "/chat/", "left", "other", "right").status, http.StatusBadGateway)
		assert.Equal(t, d.askSound(frontend, "/chat/", "system", "left"), http.StatusOK)
		assert.Equal(t, d.askSound(frontend, "/chat/", "right"), http.StatusOK)
	}
	assert.Equal(t, d.crashCount(), 3)
}

// One caller's requests crash engines for another cause and name everybody's first part. It stays free
// for the others, who are answered on it.
func TestCallerCannotBlockPartOfOthers(t *testing.T) {
	d := newDeployment(t, 3, 3, 12)
	d.setCrashesOn(func(shared []string) bool { return strings.HasPrefix(shared[len(shared)-1], "attack") })
	others := d.startSoundTraffic([]string{"system"}, []string{"system", "team"}, []string{"system", "document0"})
	time.Sleep(300 * time.Millisecond)
	others.mark()
	for i := range 10 {
		d.ask(i%3, "/chat/", "system", fmt.Sprint("attack", i))
		time.Sleep(150 * time.Millisecond)
	}
	served := others.stop()
	assert.Equal(t, d.askSound(0, "/chat/", "system"), http.StatusOK)
	assert.Assert(t, d.crashCount() == 10, "%d engines have crashed", d.crashCount())
	t.Logf("%.2f of the others were served meanwhile", served)
}

// Operators list what is blocked, unblock it, and block by the names that clients use.
func TestOperatorBlocksAndUnblocksPart(t *testing.T) {
	d := newDeployment(t, 3, 2, 8)
	d.warm()
	d.crashWithPart("/chat/", 3)
	d.assertPartBlocked("/chat/")
	server := httptest.NewServer(d.nodes[0].Handler())
	defer server.Close()
	do := func(method, path, body string) (int, []byte) {
		request, err := http.NewRequest(method, server.URL+path, strings.NewReader(body))
		assert.NilError(t, err)
		response, err := http.DefaultClient.Do(request)
		assert.NilError(t, err)
		defer response.Body.Close()
		text, err := io.ReadAll(response.Body)
		assert.NilError(t, err)
		return response.StatusCode, bytes.TrimSpace(text)
	}
	var list []struct {
		Request  string
		Parts    []string
		Backends []string
	}
	_, text := do(http.MethodGet, "/v1/blocked", "")
	assert.NilError(t, json.Unmarshal(text, &list))
	assert.Equal(t, len(list), 1)
	assert.Equal(t, len(list[0].Parts), 1)
	assert.Equal(t, len(list[0].Backends), d.crashCount())
	d.setCrashesOn(func([]string) bool { return false })
	status, _ := do(http.MethodDelete, "/v1/blocked/"+list[0].Request, "")
	assert.Equal(t, status, http.StatusOK)
	awaitStatus := func(wanted int, shared ...string) {
		t.Helper()
		poll.WaitOn(t, func(poll.LogT) poll.Result {
			if got := d.ask(1, "/chat/", shared...).status; got != wanted {
				return poll.Continue("status %d", got)
			}
			return poll.Success()
		}, poll.WithTimeout(10*time.Second), poll.WithDelay(50*time.Millisecond))
	}
	awaitStatus(http.StatusOK, "system", crashingPart)
	status, _ = do(http.MethodPost, "/v1/blocked", `{"parts":["by hand","system"]}`)
	assert.Equal(t, status, http.StatusOK)
	awaitStatus(http.StatusBadGateway, "by hand", "system")
	assert.Equal(t, d.askSound(1, "/chat/", "by hand"), http.StatusOK)
	assert.Equal(t, d.askSound(1, "/chat/", "system"), http.StatusOK)
	for _, wrong := range []string{"", "[]", `{"parts":[""]}`, `{}`, `{"request":"7"}`, `{"parts":["a"],"request":"00000000000000aa"}`, `{"part":"a"}`} {
		status, _ = do(http.MethodPost, "/v1/blocked", wrong)
		assert.Equal(t, status, http.StatusBadRequest, wrong)
	}
}
