package edge

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"quinceridge.example/quinceridge/internal/poison"
)

// releasePart is a part of prompts that is at the ends of engines.
const releasePart = "release"

// endEnginesWithAnyPart ends engines under requests with releasePart and, as many, under requests with
// other parts.
func (d *deployment) endEnginesWithAnyPart() {
	for i := 0; !d.isBlocked(releasePart); i++ {
		assert.Assert(d.t, i < 6, "%d engines have crashed", d.crashCount())
		for _, part := range []string{fmt.Sprint("other", i), releasePart} {
			d.ask(i%len(d.frontend), "/chat/", part, fmt.Sprint("session", i))
			time.Sleep(150 * time.Millisecond)
		}
		time.Sleep(200 * time.Millisecond)
	}
}

// isBlocked reports whether all coordinators list a part as blocked.
func (d *deployment) isBlocked(part string) bool {
	for i := range d.nodes {
		list := httptest.NewRecorder()
		d.node(i).Handler().ServeHTTP(list, httptest.NewRequest(http.MethodGet, "/v1/blocked", nil))
		if !strings.Contains(list.Body.String(), poison.PartDigest("", part).String()) {
			return false
		}
	}
	return true
}

// A part that was at the ends of engines which ended for another cause returns to service without an
// operator, within seconds and after at most three trial requests.
func TestSoundPartBlockedByMistakeReturnsToService(t *testing.T) {
	d := newDeployment(t, 3, 3, 14)
	var ending atomic.Bool
	ending.Store(true)
	var tried atomic.Int64
	d.setCrashesOn(func(shared []string) bool {
		if slices.Contains(shared, releasePart) && !ending.Load() {
			tried.Add(1)
		}
		return ending.Load() && len(shared) > 0
	})
	d.endEnginesWithAnyPart()
	ending.Store(false)
	got := d.ask(0, "/chat/", releasePart)
	assert.Equal(t, got.status, http.StatusBadGateway)
	callers := d.startSoundTraffic([]string{releasePart}, []string{releasePart, "a"}, []string{releasePart, "b"}, []string{releasePart, "c"}, []string{releasePart, "d"}, []string{releasePart, "e"})
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if d.isBlocked(releasePart) {
			return poll.Continue("blocked")
		}
		return poll.Success()
	}, poll.WithTimeout(20*time.Second), poll.WithDelay(time.Millisecond))
	trials := tried.Load()
	time.Sleep(500 * time.Millisecond)
	callers.mark()
	time.Sleep(time.Second)
	served := callers.stop()
	assert.Assert(t, trials <= 3, "%d requests reached engines while the part was blocked", trials)
	assert.Assert(t, served >= minServedShare, "%.2f served after the block", served)
}

// The trial of a part that does crash engines costs one of them, although many callers wait for it.
func TestTrialOfCrashingPartEndsOneEngine(t *testing.T) {
	d := newDeployment(t, 3, 3, 14)
	var others atomic.Bool
	others.Store(true)
	d.setCrashesOn(func(shared []string) bool {
		return slices.Contains(shared, releasePart) || (others.Load() && len(shared) > 0)
	})
	d.endEnginesWithAnyPart()
	others.Store(false)
	time.Sleep(500 * time.Millisecond)
	before := d.crashCount()
	callers := d.startSoundTraffic([]string{releasePart}, []string{releasePart, "a"}, []string{releasePart, "b"}, []string{releasePart, "c"}, []string{releasePart, "d"}, []string{releasePart, "e"})
	beside := d.startSoundTraffic([]string{"sound"}, []string{"sound", "a"})
	beside.mark()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if d.crashCount() == before {
			return poll.Continue("not tried")
		}
		return poll.Success()
	}, poll.WithTimeout(20*time.Second), poll.WithDelay(10*time.Millisecond))
	time.Sleep(3 * time.Second)
	callers.stop()
	served := beside.stop()
	assert.Equal(t, d.crashCount(), before+1)
	assert.Assert(t, served >= minServedShare, "%.2f of the sound requests served", served)
	assert.Assert(t, d.isBlocked(releasePart))
}
