package pushback

import (
	"encoding/json"
	"fmt"
	"log/slog"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"quinceridge.example/quinceridge/internal/coordapi"
	"quinceridge.example/quinceridge/internal/state"
	"quinceridge.example/quinceridge/internal/vocabulary"
)

var names = vocabulary.Default()

// testRegistry is a Registry with a manual clock and a captured log.
type testRegistry struct {
	*Registry
	now time.Duration
	log strings.Builder
}

func newTestRegistry() *testRegistry {
	r := &testRegistry{now: time.Hour}
	r.Registry = New(names, slog.New(slog.NewTextHandler(&r.log, nil)))
	r.clock = func() time.Duration { return r.now }
	return r
}

func backend(id string) Backend { return Backend{ID: coordapi.BackendID(id), Pool: "p"} }

// respond records a response of a back end; headers are pairs of name and value.
func (r *testRegistry) respond(id string, status int, headers ...string) {
	header := http.Header{}
	for i := 0; i < len(headers); i += 2 {
		header.Add(headers[i], headers[i+1])
	}
	r.ObserveResponse(backend(id), id, &http.Response{StatusCode: status, Header: header})
}

func TestPushbackEndsAfterRetryAfter(t *testing.T) {
	r := newTestRegistry()
	r.respond("a", 503, headerRetryAfter, "3")
	assert.ErrorIs(t, r.Check("a"), ErrUnavailable)
	assert.Equal(t, r.Status("a").Wait, 3*time.Second)
	assert.DeepEqual(t, r.Unavailable("p"), []string{"a"})
	assert.Equal(t, len(r.Unavailable("other")), 0)
	// A pushback holds for one instance, not for its address.
	assert.NilError(t, r.Check("b"))
	r.now += 3*time.Second - 1
	assert.ErrorIs(t, r.Check("a"), ErrUnavailable)
	r.now++
	assert.NilError(t, r.Check("a"))
	assert.Equal(t, len(r.Unavailable("p")), 0)
	assert.Equal(t, strings.Count(r.log.String(), "pushback ended"), 1)
}

// The end of a wait is logged also where Unavailable is never called.
func TestCountsRemovesExpired(t *testing.T) {
	r := newTestRegistry()
	r.respond("a", 503, headerRetryAfter, "3")
	r.respond("b", 200, names.Draining, "1")
	waiting, draining := r.Active()
	assert.DeepEqual(t, []int{waiting, draining}, []int{1, 1})
	r.now += 3 * time.Second
	waiting, draining = r.Active()
	assert.DeepEqual(t, []int{waiting, draining}, []int{0, 1})
	assert.Equal(t, strings.Count(r.log.String(), "pushback ended"), 1)
}

func TestLongestWaitHolds(t *testing.T) {
	r := newTestRegistry()
	r.respond("a", 503, headerRetryAfter, "5")
	r.now += time.Second
	r.respond("a", 503, headerRetryAfter, "1")
	assert.Equal(t, r.Status("a").Wait, 4*time.Second)
	r.respond("a", 503, headerRetryAfter, "9")
	assert.Equal(t, r.Status("a").Wait, 9*time.Second)
	assert.Equal(t, strings.Count(r.log.String(), "pushback received"), 1, "one line per wait")
}

// Malformed or inapplicable values must not exclude a back end.
func TestInapplicableValuesAreNoPushback(t *testing.T) {
	for name, response := range map[string]struct {
		status int
		value  string
	}{
		"success":                      {200, "30"},
		"limit of one client":          {429, "30"},
		"response of another instance": {421, "30"},
		"zero":                         {503, "0"},
		"negative":                     {503, "-3"},
		"not a number":                 {503, "a while"},
		"date without a Date header":   {503, "Thu, 03 Dec 2026 12:00:00 GMT"},
		"empty value":                  {503, ""},
	} {
		r := newTestRegistry()
		r.respond("a", response.status, headerRetryAfter, response.value)
		assert.NilError(t, r.Check("a"), name)
	}
	r := newTestRegistry()
	for range 100 {
		r.respond("a", 503, headerRetryAfter, "a while")
	}
	assert.Equal(t, strings.Count(r.log.String(), "invalid pushback header"), 1)
	// A response to an order whose back end is not identified.
	r.respond("", 503, headerRetryAfter, "30")
	assert.NilError(t, r.Check(""))
}

func TestDrainingIsPermanent(t *testing.T) {
	for _, status := range []int{200, 202, 404, 409, 429, 500, 503} {
		r := newTestRegistry()
		r.respond("a", status, names.Draining, "1")
		assert.ErrorIs(t, r.Check("a"), ErrUnavailable, "%d", status)
		// Later responses without the header do not clear it.
		r.respond("a", 200)
		r.now += time.Hour
		assert.ErrorIs(t, r.Check("a"), ErrUnavailable)
		assert.DeepEqual(t, r.Unavailable("p"), []string{"a"})
		assert.Equal(t, strings.Count(r.log.String(), "back end is draining"), 1)
	}
	r := newTestRegistry()
	r.respond("a", 200, names.Draining, "0")
	assert.NilError(t, r.Check("a"))
}

// A 421 may come from another instance at the address: its draining header does not apply.
func TestDrainingOfAnotherInstanceIsIgnored(t *testing.T) {
	r := newTestRegistry()
	r.respond("a", 421, names.Draining, "1", names.ResponseInstance, "b")
	r.respond("a", 421, names.Draining, "1")
	assert.NilError(t, r.Check("a"))
	r.respond("a", 421, names.Draining, "1", names.ResponseInstance, "a")
	assert.ErrorIs(t, r.Check("a"), ErrUnavailable)
}

func TestRegistryReportsOnceAndDrainingAgain(t *testing.T) {
	r := newTestRegistry()
	r.respond("a", 503, headerRetryAfter, "3")
	r.respond("a", 503, headerRetryAfter, "3")
	r.respond("b", 200, names.Draining, "1")
	r.respond("b", 200, names.Draining, "1")
	drains := coordapi.Trouble{ID: "b", Kind: coordapi.Draining}
	assert.DeepEqual(t, r.TakeUnreported(), []coordapi.Trouble{{ID: "a", Kind: coordapi.Busy, For: 3 * time.Second}, drains})
	assert.Equal(t, len(r.TakeUnreported()), 0)
	r.ReportAgain()
	assert.DeepEqual(t, r.TakeUnreported(), []coordapi.Trouble{drains})
}

func TestEntriesAreBounded(t *testing.T) {
	r := newTestRegistry()
	for i := range 3 * maxEntries {
		r.now++
		r.respond(fmt.Sprint(i), 200, names.Draining, "1")
	}
	assert.Assert(t, len(r.entries) <= maxEntries && len(r.entries) >= maxEntries/2, "%d", len(r.entries))
	assert.ErrorIs(t, r.Check(coordapi.BackendID(fmt.Sprint(3*maxEntries-1))), ErrUnavailable)
}

// A drain in an answer also holds after the same start is registered again under another row ID,
// and not for a later start under the same name.
func TestDrainHoldsAfterInstanceIsRegisteredAgain(t *testing.T) {
	m := state.New()
	apply := func(c state.Command) {
		text, err := json.Marshal(c)
		assert.NilError(t, err)
		_, err = m.Apply(m.Applied()+1, 1, text)
		assert.NilError(t, err)
	}
	for _, start := range []state.Start{{Name: "x", Born: 100}, {Name: "x", Born: 200}} {
		id := m.Deployment().RowID(start)
		r := newTestRegistry()
		r.respond(id, 200, names.Draining, "1")
		apply(state.Command{Enrol: &state.Enrol{Backends: []state.Backend{{ID: id, Instance: start.Name, Born: start.Born}}}})
		apply(state.Command{Depart: &state.Depart{IDs: []string{id}}})
		again := coordapi.BackendID(m.Deployment().ReturnedRowID(start))
		assert.Assert(t, string(again) != id)
		assert.ErrorIs(t, r.Check(again), ErrUnavailable)
		assert.Assert(t, r.Status(again).Draining)
		later := m.Deployment().RowID(state.Start{Name: "x", Born: start.Born + 100})
		assert.NilError(t, r.Check(coordapi.BackendID(later)))
	}
}
