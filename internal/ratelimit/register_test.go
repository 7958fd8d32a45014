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
	*Register
	now time.Duration
	log strings.Builder
}

func newRig() *rig {
	r := &rig{now: time.Hour}
	r.Register = New(names, slog.New(slog.NewTextHandler(&r.log, nil)))
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
	r.Answered(pushback.Backend{ID: coordapi.BackendID(id), Pool: "p"}, id, r.now-time.Millisecond, &http.Response{StatusCode: status, Header: header})
}

func (r *rig) right(id string, number uint64) *Right {
	return Granted(coordapi.BackendID(id), number, r.now, Term)
}

func TestOneThatNamesALimitIsSentToWithARightOnly(t *testing.T) {
	r := newRig()
	assert.NilError(t, r.Spend("a", nil))
	for _, status := range []int{200, 202, 404, 409, 429, 500, 503} {
		r := newRig()
		r.answers("a", status, names.Limit, "1")
		assert.ErrorIs(t, r.Look("a", nil), ErrNoRight, "%d", status)
		assert.NilError(t, r.Look("b", nil), "another start")
	}
	r.answers("a", 200, names.Limit, "1")
	right := r.right("a", 7)
	assert.NilError(t, r.Look("a", right))
	assert.NilError(t, r.Spend("a", right))
	assert.ErrorIs(t, r.Spend("a", right), ErrNoRight, "for one send")
	assert.ErrorIs(t, r.Spend("a", r.right("b", 8)), ErrNoRight, "of another start")
	old := r.right("a", 9)
	r.now += Term
	assert.ErrorIs(t, r.Spend("a", old), ErrNoRight, "too late")
	r.answers("a", 200)
	assert.NilError(t, r.Spend("a", nil))
	assert.Equal(t, r.InForce(), 0)
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
		assert.NilError(t, r.Look("a", nil), figure)
		assert.Equal(t, strings.Count(r.log.String(), "limit cannot be read"), 1, figure)
		r.answers("a", 200, names.Limit, "2")
		r.answers("a", 200, names.Limit, figure)
		r.answers("a", 503, names.Limit, "1", names.Limit, "9")
		assert.ErrorIs(t, r.Look("a", nil), ErrNoRight, figure)
		r.News()
		r.TellAgain()
		assert.Equal(t, r.News()[0].Rate, 2.0, figure)
	}
}

// A back end may name another rate in each answer: the newest holds, and the log stays short.
func TestRatesThatChangeWithEachAnswerFillNoLog(t *testing.T) {
	r := newRig()
	for i := range 500 {
		r.answers("a", 200, names.Limit, fmt.Sprintf("%d.5", 1+i%7))
	}
	assert.Equal(t, r.News()[0].Rate, 1.5+float64(499%7))
	assert.Assert(t, strings.Count(r.log.String(), "backend=a") <= maxLines, "%s", r.log.String())
}

// The one that answers 421 may be another start at the address.
func TestAnotherStartSaysNothingOfThisOnesLimit(t *testing.T) {
	r := newRig()
	r.answers("a", 421, names.Limit, "1", names.InstanceIs, "b")
	assert.NilError(t, r.Look("a", nil))
	r.answers("a", 200, names.Limit, "1")
	r.answers("a", 421)
	assert.ErrorIs(t, r.Look("a", nil), ErrNoRight)
	r.answers("a", 421, names.InstanceIs, "a")
	assert.NilError(t, r.Look("a", nil))
	// An order's answer without a known start.
	r.answers("", 200, names.Limit, "1")
	assert.NilError(t, r.Look("", nil))
}

// A right goes back at most once, and never after its use, whoever races for it.
func TestARightIsUsedOrGoesBackOnce(t *testing.T) {
	r := newRig()
	r.answers("a", 200, names.Limit, "1")
	used := r.right("a", 1)
	assert.NilError(t, r.Spend("a", used))
	r.GiveBack(used)
	unused := r.right("a", 2)
	r.GiveBack(unused)
	r.GiveBack(unused)
	r.GiveBack(nil)
	r.GiveBack(Free("a"))
	r.Lost(3)
	assert.ErrorIs(t, r.Spend("a", unused), ErrNoRight)
	assert.DeepEqual(t, r.Unused(), []uint64{2, 3})
	assert.Equal(t, len(r.Unused()), 0)

	for range 200 {
		right := r.right("a", 4)
		var group sync.WaitGroup
		var sent atomic.Int32
		for range 4 {
			group.Go(func() {
				if r.Spend("a", right) == nil {
					sent.Add(1)
				}
			})
			group.Go(func() { r.GiveBack(right) })
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
	told := map[coordapi.BackendID]coordapi.LimitWord{}
	for _, w := range r.News() {
		told[w.ID] = w
	}
	assert.DeepEqual(t, told["a"], coordapi.LimitWord{ID: "a", Pool: "p", Limited: true, Rate: 1, Heard: time.Second + 2*time.Millisecond,
		Sent: time.Second + 3*time.Millisecond})
	assert.Assert(t, !told["b"].Limited)
	assert.Equal(t, len(r.News()), 0)
	r.TellAgain()
	assert.Equal(t, len(r.News()), 1)
	r.Untold([]coordapi.LimitWord{told["a"], told["b"], {ID: "unknown"}})
	assert.Equal(t, len(r.News()), 2)
	// A leader that says that there is none may only not know: it is told once more.
	assert.NilError(t, r.Spend("a", Free("a")))
	assert.Equal(t, len(r.News()), 1)
}

// Who has sent nothing to a back end yet hears of its limit from the leader.
func TestWhatIsAnnouncedNeedsARightToo(t *testing.T) {
	r := newRig()
	r.Announced([]coordapi.BackendID{"a"})
	assert.ErrorIs(t, r.Look("a", nil), ErrNoRight)
	assert.Equal(t, r.InForce(), 1)
	r.answers("b", 200, names.Limit, "1")
	r.Announced(nil)
	assert.NilError(t, r.Look("a", nil))
	assert.ErrorIs(t, r.Look("b", nil), ErrNoRight, "it has said so itself")
}

func TestWhatIsKeptOfLimitsIsBounded(t *testing.T) {
	r := newRig()
	for i := range 3 * maxKept {
		r.answers(fmt.Sprint(i), 200, names.Limit, "1")
	}
	assert.Assert(t, len(r.starts) <= maxKept && len(r.starts) >= maxKept/2, "%d", len(r.starts))
	assert.ErrorIs(t, r.Look(coordapi.BackendID(fmt.Sprint(3*maxKept-1)), nil), ErrNoRight)
	for i := range 3 * maxUnused {
		r.Lost(uint64(i))
	}
	assert.Equal(t, len(r.Unused()), maxUnused)
}
