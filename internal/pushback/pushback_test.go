package pushback

import (
	"fmt"
	"log/slog"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"quinceridge.example/quinceridge/internal/coordapi"
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

func backend(id string) Backend { return Backend{ID: coordapi.BackendID(id), Pool: "p"} }

// answers lets a back end answer with a status and headers, by name and value.
func (r *rig) answers(id string, status int, headers ...string) {
	header := http.Header{}
	for i := 0; i < len(headers); i += 2 {
		header.Add(headers[i], headers[i+1])
	}
	r.ObserveResponse(backend(id), id, &http.Response{StatusCode: status, Header: header})
}

func TestABackEndIsLeftAloneForAsLongAsItAsked(t *testing.T) {
	r := newRig()
	r.answers("a", 503, headerRetryAfter, "3")
	assert.ErrorIs(t, r.Check("a"), ErrUnavailable)
	assert.Equal(t, r.Status("a").Wait, 3*time.Second)
	assert.DeepEqual(t, r.Unavailable("p"), []string{"a"})
	assert.Equal(t, len(r.Unavailable("other")), 0)
	// Another start at the same address has asked nothing.
	assert.NilError(t, r.Check("b"))
	r.now += 3*time.Second - 1
	assert.ErrorIs(t, r.Check("a"), ErrUnavailable)
	r.now++
	assert.NilError(t, r.Check("a"))
	assert.Equal(t, len(r.Unavailable("p")), 0)
	assert.Equal(t, strings.Count(r.log.String(), "back end may be sent to again"), 1)
}

// The end of a wait is said also where nobody asks the leader for engines.
func TestTheFiguresSayWhenAWaitIsOver(t *testing.T) {
	r := newRig()
	r.answers("a", 503, headerRetryAfter, "3")
	r.answers("b", 200, names.Draining, "1")
	waiting, draining := r.Active()
	assert.DeepEqual(t, []int{waiting, draining}, []int{1, 1})
	r.now += 3 * time.Second
	waiting, draining = r.Active()
	assert.DeepEqual(t, []int{waiting, draining}, []int{0, 1})
	assert.Equal(t, strings.Count(r.log.String(), "back end may be sent to again"), 1)
}

func TestTheLongestWaitHolds(t *testing.T) {
	r := newRig()
	r.answers("a", 503, headerRetryAfter, "5")
	r.now += time.Second
	r.answers("a", 503, headerRetryAfter, "1")
	assert.Equal(t, r.Status("a").Wait, 4*time.Second)
	r.answers("a", 503, headerRetryAfter, "9")
	assert.Equal(t, r.Status("a").Wait, 9*time.Second)
	assert.Equal(t, strings.Count(r.log.String(), "back end pushes back"), 1, "one line a wait")
}

// What nobody asked for bars nobody: a panic or a wait that was not meant would take a
// back end out.
func TestWhatAsksForNoWait(t *testing.T) {
	for name, answer := range map[string]struct {
		status int
		value  string
	}{
		"a success":                 {200, "30"},
		"a limit of one caller":     {429, "30"},
		"another start's answer":    {421, "30"},
		"no time":                   {503, "0"},
		"a negative time":           {503, "-3"},
		"no number":                 {503, "a while"},
		"a date without a date":     {503, "Thu, 03 Dec 2026 12:00:00 GMT"},
		"an answer without a value": {503, ""},
	} {
		r := newRig()
		r.answers("a", answer.status, headerRetryAfter, answer.value)
		assert.NilError(t, r.Check("a"), name)
	}
	r := newRig()
	for range 100 {
		r.answers("a", 503, headerRetryAfter, "a while")
	}
	assert.Equal(t, strings.Count(r.log.String(), "cannot be read"), 1)
	// An order's answer without a known start.
	r.answers("", 503, headerRetryAfter, "30")
	assert.NilError(t, r.Check(""))
}

func TestABackEndThatSaysSoDrainsForGood(t *testing.T) {
	for _, status := range []int{200, 202, 404, 409, 429, 500, 503} {
		r := newRig()
		r.answers("a", status, names.Draining, "1")
		assert.ErrorIs(t, r.Check("a"), ErrUnavailable, "%d", status)
		// Later answers that say nothing of it take nothing back.
		r.answers("a", 200)
		r.now += time.Hour
		assert.ErrorIs(t, r.Check("a"), ErrUnavailable)
		assert.DeepEqual(t, r.Unavailable("p"), []string{"a"})
		assert.Equal(t, strings.Count(r.log.String(), "back end drains"), 1)
	}
	r := newRig()
	r.answers("a", 200, names.Draining, "0")
	assert.NilError(t, r.Check("a"))
}

// The one that answers 421 may be another start at the address, above all the one before:
// that it drains says nothing of its successor.
func TestAnotherStartSaysNothingOfThisOne(t *testing.T) {
	r := newRig()
	r.answers("a", 421, names.Draining, "1", names.ResponseInstance, "b")
	r.answers("a", 421, names.Draining, "1")
	assert.NilError(t, r.Check("a"))
	r.answers("a", 421, names.Draining, "1", names.ResponseInstance, "a")
	assert.ErrorIs(t, r.Check("a"), ErrUnavailable)
}

func TestTheLeaderIsToldOnceAndEachNewOneOfAllThatDrain(t *testing.T) {
	r := newRig()
	r.answers("a", 503, headerRetryAfter, "3")
	r.answers("a", 503, headerRetryAfter, "3")
	r.answers("b", 200, names.Draining, "1")
	r.answers("b", 200, names.Draining, "1")
	drains := coordapi.Trouble{ID: "b", Kind: coordapi.Draining}
	assert.DeepEqual(t, r.TakeUnreported(), []coordapi.Trouble{{ID: "a", Kind: coordapi.Busy, For: 3 * time.Second}, drains})
	assert.Equal(t, len(r.TakeUnreported()), 0)
	r.ReportAgain()
	assert.DeepEqual(t, r.TakeUnreported(), []coordapi.Trouble{drains})
}

func TestWhatIsKeptIsBounded(t *testing.T) {
	r := newRig()
	for i := range 3 * maxKept {
		r.now++
		r.answers(fmt.Sprint(i), 200, names.Draining, "1")
	}
	assert.Assert(t, len(r.starts) <= maxKept && len(r.starts) >= maxKept/2, "%d", len(r.starts))
	assert.ErrorIs(t, r.Check(coordapi.BackendID(fmt.Sprint(3*maxKept-1))), ErrUnavailable)
}
