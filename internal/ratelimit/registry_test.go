package ratelimit

import (
	"fmt"
	"log/slog"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"quinceridge.example/quinceridge/internal/coordapi"
	"quinceridge.example/quinceridge/internal/pushback"
	"quinceridge.example/quinceridge/internal/vocabulary"
)

var names = vocabulary.Default()

// rig is a register with a clock of its own and its log.
type rig struct {
	*Registry
	now time.Duration
	log strings.Builder
}

func newRig() *rig {
	r := &rig{now: time.Hour}
	r.Registry = New(names, slog.New(slog.NewTextHandler(&r.log, nil)))
	r.clock = func() time.Duration { return r.now }
	return r
}

// answers lets a back end answer with a status and headers, by name and value, to a request
// that was written a millisecond ago.
func (r *rig) answers(id string, status int, headers ...string) {
	r.now += time.Millisecond
	header := http.Header{}
	for i := 0; i < len(headers); i += 2 {
		header.Add(headers[i], headers[i+1])
	}
	r.ObserveResponse(pushback.Backend{ID: coordapi.BackendID(id), Pool: "p"}, id, r.now-time.Millisecond, &http.Response{StatusCode: status, Header: header})
}

func (r *rig) right(id string, number uint64) *Permit {
	return Granted(coordapi.BackendID(id), number, r.now, PermitTTL)
}

func TestOneThatNamesALimitIsSentToWithARightOnly(t *testing.T) {
	r := newRig()
	assert.NilError(t, r.Consume("a", nil))
	for _, status := range []int{200, 202, 404, 409, 429, 500, 503} {
		r := newRig()
		r.answers("a", status, names.Limit, "1")
		assert.ErrorIs(t, r.Check("a", nil), ErrNoPermit, "%d", status)
		assert.NilError(t, r.Check("b", nil), "another start")
	}
	r.answers("a", 200, names.Limit, "1")
	right := r.right("a", 7)
	assert.NilError(t, r.Check("a", right))
	assert.NilError(t, r.Consume("a", right))
	assert.ErrorIs(t, r.Consume("a", right), ErrNoPermit, "for one send")
	assert.ErrorIs(t, r.Consume("a", r.right("b", 8)), ErrNoPermit, "of another start")
	old := r.right("a", 9)
	r.now += PermitTTL
	assert.ErrorIs(t, r.Consume("a", old), ErrNoPermit, "too late")
	r.answers("a", 200)
	assert.NilError(t, r.Consume("a", nil))
	assert.Equal(t, r.Active(), 0)
	for _, line := range []string{"back end names a limit", "back end names no limit any more"} {
		assert.Equal(t, strings.Count(r.log.String(), "\""+line+"\""), 1, line)
	}
}

// What cannot be read changes nothing that was believed, and has one line a second.
func TestAFigureThatCannotBeReadChangesNothing(t *testing.T) {
	for _, figure := range []string{"-1", "NaN", "Inf", "1e300", "", "  ", "1,5", "some"} {
		r := newRig()
		for range 100 {
			r.answers("a", 200, names.Limit, figure)
		}
		assert.NilError(t, r.Check("a", nil), figure)
		assert.Equal(t, strings.Count(r.log.String(), "limit cannot be read"), 1, figure)
		r.answers("a", 200, names.Limit, "2")
		r.answers("a", 200, names.Limit, figure)
		r.answers("a", 503, names.Limit, "1", names.Limit, "9")
		assert.ErrorIs(t, r.Check("a", nil), ErrNoPermit, figure)
		r.TakeUnreported()
		r.ReportAgain()
		assert.Equal(t, r.TakeUnreported()[0].Rate, 2.0, figure)
	}
}

// A back end may name another rate in each answer: the newest holds, and the log stays short.
func TestRatesThatChangeWithEachAnswerFillNoLog(t *testing.T) {
	r := newRig()
	for i := range 500 {
		r.answers("a", 200, names.Limit, fmt.Sprintf("%d.5", 1+i%7))
	}
	assert.Equal(t, r.TakeUnreported()[0].Rate, 1.5+float64(499%7))
	assert.Assert(t, strings.Count(r.log.String(), "backend=a") <= maxLines, "%s", r.log.String())
}

// The one that answers 421 may be another start at the address.
func TestAnotherStartSaysNothingOfThisOnesLimit(t *testing.T) {
	r := newRig()
	r.answers("a", 421, names.Limit, "1", names.ResponseInstance, "b")
	assert.NilError(t, r.Check("a", nil))
	r.answers("a", 200, names.Limit, "1")
	r.answers("a", 421)
	assert.ErrorIs(t, r.Check("a", nil), ErrNoPermit)
	r.answers("a", 421, names.ResponseInstance, "a")
	assert.NilError(t, r.Check("a", nil))
	// An order's answer without a known start.
	r.answers("", 200, names.Limit, "1")
	assert.NilError(t, r.Check("", nil))
}

// A right goes back at most once, and never after its use, whoever races for it.
func TestARightIsUsedOrGoesBackOnce(t *testing.T) {
	r := newRig()
	r.answers("a", 200, names.Limit, "1")
	used := r.right("a", 1)
	assert.NilError(t, r.Consume("a", used))
	r.Release(used)
	unused := r.right("a", 2)
	r.Release(unused)
	r.Release(unused)
	r.Release(nil)
	r.Release(Unlimited("a"))
	r.ReleaseNumbers(3)
	assert.ErrorIs(t, r.Consume("a", unused), ErrNoPermit)
	assert.DeepEqual(t, r.Unused(), []uint64{2, 3})
	assert.Equal(t, len(r.Unused()), 0)

	for range 200 {
		right := r.right("a", 4)
		var group sync.WaitGroup
		var sent atomic.Int32
		for range 4 {
			group.Go(func() {
				if r.Consume("a", right) == nil {
					sent.Add(1)
				}
			})
			group.Go(func() { r.Release(right) })
		}
		group.Wait()
		assert.Equal(t, int(sent.Load())+len(r.Unused()), 1)
	}
}

func TestTheLeaderIsToldOnceAndEachNewOneOfAllThatHold(t *testing.T) {
	r := newRig()
	r.answers("a", 200, names.Limit, "1")
	r.answers("a", 200, names.Limit, "1")
	r.answers("b", 200, names.Limit, "2")
	r.answers("b", 200)
	r.now += time.Second
	told := map[coordapi.BackendID]coordapi.LimitReport{}
	for _, w := range r.TakeUnreported() {
		told[w.ID] = w
	}
	assert.DeepEqual(t, told["a"], coordapi.LimitReport{ID: "a", Pool: "p", Limited: true, Rate: 1, ReceivedAgo: time.Second + 2*time.Millisecond,
		SentAgo: time.Second + 3*time.Millisecond})
	assert.Assert(t, !told["b"].Limited)
	assert.Equal(t, len(r.TakeUnreported()), 0)
	r.ReportAgain()
	assert.Equal(t, len(r.TakeUnreported()), 1)
	r.Requeue([]coordapi.LimitReport{told["a"], told["b"], {ID: "unknown"}})
	assert.Equal(t, len(r.TakeUnreported()), 2)
	// A leader that says that there is none may only not know: it is told once more.
	assert.NilError(t, r.Consume("a", Unlimited("a")))
	assert.Equal(t, len(r.TakeUnreported()), 1)
}

// Who has sent nothing to a back end yet hears of its limit from the leader.
func TestWhatIsAnnouncedNeedsARightToo(t *testing.T) {
	r := newRig()
	r.Announced([]coordapi.BackendID{"a"})
	assert.ErrorIs(t, r.Check("a", nil), ErrNoPermit)
	assert.Equal(t, r.Active(), 1)
	r.answers("b", 200, names.Limit, "1")
	r.Announced(nil)
	assert.NilError(t, r.Check("a", nil))
	assert.ErrorIs(t, r.Check("b", nil), ErrNoPermit, "it has said so itself")
}

func TestWhatIsKeptOfLimitsIsBounded(t *testing.T) {
	r := newRig()
	for i := range 3 * maxKept {
		r.answers(fmt.Sprint(i), 200, names.Limit, "1")
	}
	assert.Assert(t, len(r.starts) <= maxKept && len(r.starts) >= maxKept/2, "%d", len(r.starts))
	assert.ErrorIs(t, r.Check(coordapi.BackendID(fmt.Sprint(3*maxKept-1)), nil), ErrNoPermit)
	for i := range 3 * maxUnused {
		r.ReleaseNumbers(uint64(i))
	}
	assert.Equal(t, len(r.Unused()), maxUnused)
}
