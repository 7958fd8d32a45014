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

func (e *evidence) failed(now time.Duration) []poison.FailedAttempt {
	var reports coordapi.Reports
	e.take(now, &reports)
	return reports.FailedAttempts
}

// Failed attempts are reported once to each leader, with their age at the time, and again if the
// update was lost.
func TestFailedAttemptsAreReportedToEachLeader(t *testing.T) {
	e := newEvidence()
	e.add(time.Second, poison.FailedAttempt{Backend: "a", Request: 7, Down: true})
	assert.Equal(t, len(e.failed(time.Second)), 0, "no leader yet")
	e.follow("first-1", nil)
	assert.DeepEqual(t, e.failed(2*time.Second), []poison.FailedAttempt{{Backend: "a", Request: 7, Down: true, Age: time.Second}})
	e.follow("first-2", nil)
	assert.Equal(t, len(e.failed(3*time.Second)), 0)
	e.requeue(&coordapi.Reports{FailedAttempts: []poison.FailedAttempt{{Backend: "a", Request: 7}}})
	assert.Equal(t, len(e.failed(3*time.Second)), 1)
	e.follow("second-1", nil)
	assert.DeepEqual(t, e.failed(5*time.Second), []poison.FailedAttempt{{Backend: "a", Request: 7, Down: true, Age: 4 * time.Second}})
	e.follow("third-1", nil)
	assert.Equal(t, len(e.failed(2*time.Second+poison.EvidenceTTL)), 0, "expired")
}

// A later leader cannot determine whether a back end survived that still listened.
func TestUnsureEvidenceExpires(t *testing.T) {
	e := newEvidence()
	e.follow("first-1", nil)
	e.add(time.Second, poison.FailedAttempt{Backend: "a", Request: 7})
	assert.Equal(t, len(e.failed(time.Second)), 1)
	e.follow("second-1", nil)
	assert.Equal(t, len(e.failed(2*time.Second+unsureRetention)), 0)
}

func TestAnsweredSuspectsAreReported(t *testing.T) {
	e := newEvidence()
	e.follow("first-1", []poison.Digest{7})
	e.clear(0, 8, nil)
	e.clear(0, 7, nil)
	e.clear(0, 7, nil)
	var reports coordapi.Reports
	e.take(0, &reports)
	assert.DeepEqual(t, reports.Answered, []poison.Digest{7})
	e.requeue(&reports)
	reports = coordapi.Reports{}
	e.take(0, &reports)
	assert.DeepEqual(t, reports.Answered, []poison.Digest{7})
}

func TestEvidenceIsBounded(t *testing.T) {
	e := newEvidence()
	e.follow("first-1", nil)
	for i := range 5 * maxEvidence {
		e.add(time.Duration(i), poison.FailedAttempt{Backend: fmt.Sprint(i), Request: 7})
	}
	failed := e.failed(time.Second)
	assert.Assert(t, len(failed) <= maxEvidence)
	assert.Equal(t, failed[len(failed)-1].Backend, fmt.Sprint(5*maxEvidence-1))
}

func TestFollowerAppliesBlockedRequests(t *testing.T) {
	s := newFakeLeader(t)
	reply := view(3)
	reply.View.Blocked = &coordapi.Blocked{Requests: []state.BlockedRequest{{Request: 7, Revision: 2}}}
	s.setReply(reply)
	f := follow(t, time.Minute, s.address)
	f.await(t, 3)
	blocked, is := f.Blocked(7, nil)
	assert.Assert(t, is)
	assert.Equal(t, blocked.Revision, uint64(2))
	// A view without blocked requests changes nothing; an empty list clears them.
	s.setReply(view(4))
	f.await(t, 4)
	_, is = f.Blocked(7, nil)
	assert.Assert(t, is)
	reply = view(5)
	reply.View.Blocked = &coordapi.Blocked{}
	s.setReply(reply)
	f.await(t, 5)
	_, is = f.Blocked(7, nil)
	assert.Assert(t, !is)
}
