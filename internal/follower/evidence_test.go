package follower

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"quinceridge.example/quinceridge/internal/coordapi"
	"quinceridge.example/quinceridge/internal/poison"
	"quinceridge.example/quinceridge/internal/state"
)

func newEvidence() *evidence {
	e := &evidence{}
	e.init()
	return e
}

func (e *evidence) told(now time.Duration) []poison.FailedAttempt {
	var reports coordapi.Reports
	e.take(now, &reports)
	return reports.FailedAttempts
}

// What one leader was told is told again to the next, with its age then. A word that
// was lost is told again to the same.
func TestEachLeaderIsToldOfTheAttemptsThatEnded(t *testing.T) {
	e := newEvidence()
	e.saw(time.Second, poison.FailedAttempt{Backend: "a", Request: 7, Down: true})
	assert.Equal(t, len(e.told(time.Second)), 0, "nobody is followed yet")
	e.hear("first-1", nil)
	assert.DeepEqual(t, e.told(2*time.Second), []poison.FailedAttempt{{Backend: "a", Request: 7, Down: true, Age: time.Second}})
	e.hear("first-2", nil)
	assert.Equal(t, len(e.told(3*time.Second)), 0)
	e.lost(&coordapi.Reports{FailedAttempts: []poison.FailedAttempt{{Backend: "a", Request: 7}}})
	assert.Equal(t, len(e.told(3*time.Second)), 1)
	e.hear("second-1", nil)
	assert.DeepEqual(t, e.told(5*time.Second), []poison.FailedAttempt{{Backend: "a", Request: 7, Down: true, Age: 4 * time.Second}})
	e.hear("third-1", nil)
	assert.Equal(t, len(e.told(2*time.Second+poison.EvidenceTTL)), 0, "it is too old")
}

// A later leader can't tell whether a back end lived on that still listened.
func TestUnsureEvidenceIsNotToldAgainForLong(t *testing.T) {
	e := newEvidence()
	e.hear("first-1", nil)
	e.saw(time.Second, poison.FailedAttempt{Backend: "a", Request: 7})
	assert.Equal(t, len(e.told(time.Second)), 1)
	e.hear("second-1", nil)
	assert.Equal(t, len(e.told(2*time.Second+unsureKept)), 0)
}

func TestAnsweredSuspectsAreTold(t *testing.T) {
	e := newEvidence()
	e.hear("first-1", []poison.Digest{7})
	e.clear(8)
	e.clear(7)
	e.clear(7)
	var reports coordapi.Reports
	e.take(0, &reports)
	assert.DeepEqual(t, reports.Answered, []poison.Digest{7})
	e.lost(&reports)
	reports = coordapi.Reports{}
	e.take(0, &reports)
	assert.DeepEqual(t, reports.Answered, []poison.Digest{7})
}

func TestEvidenceIsBounded(t *testing.T) {
	e := newEvidence()
	e.hear("first-1", nil)
	for i := range 5 * maxEvidence {
		e.saw(time.Duration(i), poison.FailedAttempt{Backend: fmt.Sprint(i), Request: 7})
	}
	told := e.told(time.Second)
	assert.Assert(t, len(told) <= maxEvidence)
	assert.Equal(t, told[len(told)-1].Backend, fmt.Sprint(5*maxEvidence-1))
}

func TestAFollowerTakesTheBlockedRequests(t *testing.T) {
	s := newScript(t)
	reply := view(3)
	reply.View.Blocked = &coordapi.Blocked{Requests: []state.BlockedRequest{{Request: 7, Revision: 2}}}
	s.say(reply)
	f := follow(t, time.Minute, s.address)
	f.await(t, 3)
	blocked, is := f.Blocked(7)
	assert.Assert(t, is)
	assert.Equal(t, blocked.Revision, uint64(2))
	// A view without news of them changes nothing; an empty list does.
	s.say(view(4))
	f.await(t, 4)
	_, is = f.Blocked(7)
	assert.Assert(t, is)
	reply = view(5)
	reply.View.Blocked = &coordapi.Blocked{}
	s.say(reply)
	f.await(t, 5)
	_, is = f.Blocked(7)
	assert.Assert(t, !is)
}
