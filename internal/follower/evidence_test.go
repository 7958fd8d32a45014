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

// Guards against a new leader that gets only what failed since its predecessor was lost, until the router has
// its first view.
func TestEvidenceIsReportedAgainOnceLeaderIsLost(t *testing.T) {
	e := newEvidence()
	e.follow("first-1", nil)
	e.add(time.Second, poison.FailedAttempt{Backend: "a", Request: 7, Down: true})
	assert.Equal(t, len(e.failed(time.Second)), 1)
	e.lostLeader()
	e.add(2*time.Second, poison.FailedAttempt{Backend: "b", Request: 7, Down: true})
	assert.Equal(t, len(e.failed(3*time.Second)), 2)
	assert.Equal(t, len(e.failed(3*time.Second)), 0)
	e.follow("second-1", nil)
	assert.Equal(t, len(e.failed(4*time.Second)), 2, "the first report may have reached another leader")
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
	e.recordAnswer(0, 8, nil)
	e.recordAnswer(0, 7, nil)
	e.recordAnswer(0, 7, nil)
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

// answers returns the reported answered parts with their ages.
func (e *evidence) answers(now time.Duration) map[poison.Digest]time.Duration {
	var reports coordapi.Reports
	e.take(now, &reports)
	out := map[poison.Digest]time.Duration{}
	for _, a := range reports.AnsweredParts {
		out[a.Part] = a.Age
	}
	return out
}

// Answers are reported with failed attempts of the same parts, for new suspects, to each new leader, and
// again if the report was lost. Where nothing is suspected none is reported.
func TestAnsweredPartsAreReportedWhereTheyMatter(t *testing.T) {
	e := newEvidence()
	e.follow("first-1", nil)
	e.recordAnswer(time.Second, 7, []poison.Digest{1, 2})
	assert.Equal(t, len(e.answers(time.Second)), 0)
	e.add(2*time.Second, poison.FailedAttempt{Backend: "a", Request: 8, Parts: []poison.Digest{1, 3}})
	assert.DeepEqual(t, e.answers(3*time.Second), map[poison.Digest]time.Duration{1: 2 * time.Second})
	e.follow("first-2", []poison.Digest{2, 3})
	assert.DeepEqual(t, e.answers(4*time.Second), map[poison.Digest]time.Duration{2: 3 * time.Second})
	e.follow("first-3", []poison.Digest{2, 3})
	assert.Equal(t, len(e.answers(4*time.Second)), 0)
	e.recordAnswer(5*time.Second, 9, []poison.Digest{3})
	assert.DeepEqual(t, e.answers(5*time.Second), map[poison.Digest]time.Duration{3: 0})
	e.requeue(&coordapi.Reports{AnsweredParts: []poison.AnsweredPart{{Part: 3}}})
	assert.DeepEqual(t, e.answers(6*time.Second), map[poison.Digest]time.Duration{3: time.Second})
	e.follow("second-1", []poison.Digest{2, 3})
	assert.Equal(t, len(e.answers(6*time.Second)), 3, "the failed attempt and both suspects")
	e.follow("third-1", []poison.Digest{2, 3})
	assert.Equal(t, len(e.answers(2*poison.EvidenceTTL)), 0)
}

// Names of parts are the clients' choice, so that their number is bounded.
func TestAnsweredPartsAreBounded(t *testing.T) {
	e := newEvidence()
	for i := range 5 * maxAnsweredParts {
		e.recordAnswer(time.Duration(i), 7, []poison.Digest{1, poison.Digest(i + 10)})
		assert.Assert(t, len(e.answeredAt.younger)+len(e.answeredAt.older) <= 2*maxAnsweredParts)
	}
	_, known := e.answeredAt.get(1)
	assert.Assert(t, known, "a part that is answered all the time")
	_, known = e.answeredAt.get(10)
	assert.Assert(t, !known)
}

// A request with blocked parts that ran already, and is answered, is reported as such.
func TestAnswerToRequestWithBlockedPartsIsReported(t *testing.T) {
	e := newEvidence()
	e.follow("first-1", nil)
	e.setBlocked(&coordapi.Blocked{Requests: []state.BlockedRequest{{Request: 50, Parts: []poison.Digest{1, 2}}, {Request: 60}}})
	e.recordAnswer(time.Second, 7, []poison.Digest{1})
	var reports coordapi.Reports
	e.take(time.Second, &reports)
	assert.Equal(t, len(reports.Answered), 0)
	e.recordAnswer(time.Second, 7, []poison.Digest{2, 3, 1})
	e.recordAnswer(time.Second, 60, nil)
	e.take(time.Second, &reports)
	assert.DeepEqual(t, reports.Answered, []poison.Digest{50})
}

// Of a prompt with many parts those are accused on which no answer is known.
func TestUnansweredPartsAreAccusedFirst(t *testing.T) {
	e := newEvidence()
	e.follow("first-1", nil)
	var parts []poison.Digest
	for i := range poison.Digest(1000) {
		parts = append(parts, i+1)
	}
	e.recordAnswer(0, 7, parts[:990])
	e.add(0, poison.FailedAttempt{Backend: "a", Request: 8, Parts: parts})
	failed := e.failed(0)
	assert.Equal(t, len(failed[0].Parts), poison.MaxParts)
	assert.DeepEqual(t, failed[0].Parts[:10], parts[990:])
}

// A request is tried only under the single block that applies to it.
func TestRequestWithTwoBlocksIsNotTried(t *testing.T) {
	e := newEvidence()
	e.setBlocked(&coordapi.Blocked{Requests: []state.BlockedRequest{{Request: 5, Parts: []poison.Digest{5}}, {Request: 6, Parts: []poison.Digest{6}}}})
	parts := func(digests ...poison.Digest) func() []poison.Digest {
		return func() []poison.Digest { return digests }
	}
	assert.Assert(t, !e.mayTry(1, parts(5)))
	e.setTrials([]poison.Digest{5})
	assert.Assert(t, e.mayTry(1, parts(5, 7)))
	assert.Assert(t, !e.mayTry(1, parts(5, 6)))
	assert.Assert(t, !e.mayTry(1, parts(6)))
	e.setTrials(nil)
	assert.Assert(t, !e.mayTry(1, parts(5)))
}

// Guards against requests that are sent while the block that applies to them is being committed.
func TestProposedBlocksApply(t *testing.T) {
	e := newEvidence()
	find := func(d poison.Digest) bool {
		_, found := e.find(d, func() []poison.Digest { return []poison.Digest{d} })
		return found
	}
	e.setBlocked(&coordapi.Blocked{Requests: []state.BlockedRequest{{Request: 7, Backends: []string{"a"}}}})
	e.setProposed([]state.BlockedRequest{{Request: 8, Parts: []poison.Digest{8}, Backends: []string{"b"}}})
	assert.Assert(t, find(7) && find(8) && !find(9))
	// A view with the blocks in force does not end those that are proposed.
	e.setBlocked(&coordapi.Blocked{Requests: []state.BlockedRequest{{Request: 9, Backends: []string{"a"}}}})
	assert.Assert(t, !find(7) && find(8) && find(9))
	e.setProposed(nil)
	assert.Assert(t, !find(8) && find(9))
}
