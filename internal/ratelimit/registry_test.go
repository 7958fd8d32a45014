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

	"quinceridge.example/quinceridge/internal/clock"
	"quinceridge.example/quinceridge/internal/coordapi"
	"quinceridge.example/quinceridge/internal/pushback"
	"quinceridge.example/quinceridge/internal/vocabulary"
)

var names = vocabulary.Default()

// rig is a registry with a fake clock and a captured log.
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

// respond records a response with a status and headers, given as names and values, to a request
// written a millisecond ago.
func (r *rig) respond(id string, status int, headers ...string) {
	r.now += time.Millisecond
	header := http.Header{}
	for i := 0; i < len(headers); i += 2 {
		header.Add(headers[i], headers[i+1])
	}
	r.ObserveResponse(pushback.Backend{ID: coordapi.BackendID(id), Pool: "p"}, id, r.now-time.Millisecond, &http.Response{StatusCode: status, Header: header})
}

func (r *rig) permit(id string, number uint64) *Permit {
	return Granted(coordapi.BackendID(id), number, r.now, PermitTTL)
}

func TestLimitedBackendNeedsPermit(t *testing.T) {
	r := newRig()
	assert.NilError(t, r.Consume("a", nil))
	for _, status := range []int{200, 202, 404, 409, 429, 500, 503} {
		r := newRig()
		r.respond("a", status, names.Limit, "1")
		assert.ErrorIs(t, r.Check("a", nil), ErrNoPermit, "%d", status)
		assert.NilError(t, r.Check("b", nil), "another start")
	}
	r.respond("a", 200, names.Limit, "1")
	permit := r.permit("a", 7)
	assert.NilError(t, r.Check("a", permit))
	assert.NilError(t, r.Consume("a", permit))
	assert.ErrorIs(t, r.Consume("a", permit), ErrNoPermit, "a permit is for one request")
	assert.ErrorIs(t, r.Consume("a", r.permit("b", 8)), ErrNoPermit, "permit of another start")
	old := r.permit("a", 9)
	r.now += PermitTTL
	assert.ErrorIs(t, r.Consume("a", old), ErrNoPermit, "expired")
	r.respond("a", 200)
	assert.NilError(t, r.Consume("a", nil))
	assert.Equal(t, r.Active(), 0)
	for _, line := range []string{"back end set a limit", "back end removed its limit"} {
		assert.Equal(t, strings.Count(r.log.String(), "\""+line+"\""), 1, line)
	}
}

// An invalid limit leaves the current one in force and is logged once a second.
func TestInvalidLimitIsIgnored(t *testing.T) {
	for _, value := range []string{"-1", "NaN", "Inf", "1e300", "", "  ", "1,5", "some"} {
		r := newRig()
		for range 100 {
			r.respond("a", 200, names.Limit, value)
		}
		assert.NilError(t, r.Check("a", nil), value)
		assert.Equal(t, strings.Count(r.log.String(), "invalid limit header ignored"), 1, value)
		r.respond("a", 200, names.Limit, "2")
		r.respond("a", 200, names.Limit, value)
		r.respond("a", 503, names.Limit, "1", names.Limit, "9")
		assert.ErrorIs(t, r.Check("a", nil), ErrNoPermit, value)
		r.TakeUnreported()
		r.ReportAgain()
		assert.Equal(t, r.TakeUnreported()[0].Rate, 2.0, value)
	}
}

// A back end may name another rate in each response: the newest holds, and log lines are
// bounded.
func TestChangingRatesAreLoggedSparingly(t *testing.T) {
	r := newRig()
	for i := range 500 {
		r.respond("a", 200, names.Limit, fmt.Sprintf("%d.5", 1+i%7))
	}
	assert.Equal(t, r.TakeUnreported()[0].Rate, 1.5+float64(499%7))
	assert.Assert(t, strings.Count(r.log.String(), "backend=a") <= maxLogLines, "%s", r.log.String())
}

// A response with status 421 may come from another start at the address.
func TestLimitOfAnotherStartIsIgnored(t *testing.T) {
	r := newRig()
	r.respond("a", 421, names.Limit, "1", names.ResponseInstance, "b")
	assert.NilError(t, r.Check("a", nil))
	r.respond("a", 200, names.Limit, "1")
	r.respond("a", 421)
	assert.ErrorIs(t, r.Check("a", nil), ErrNoPermit)
	r.respond("a", 421, names.ResponseInstance, "a")
	assert.NilError(t, r.Check("a", nil))
	// The start that answered an order may be unknown.
	r.respond("", 200, names.Limit, "1")
	assert.NilError(t, r.Check("", nil))
}

// A permit is released at most once and never after its use, under races too.
func TestPermitIsConsumedOrReleasedOnce(t *testing.T) {
	r := newRig()
	r.respond("a", 200, names.Limit, "1")
	used := r.permit("a", 1)
	assert.NilError(t, r.Consume("a", used))
	r.Release(used)
	unused := r.permit("a", 2)
	r.Release(unused)
	r.Release(unused)
	r.Release(nil)
	r.Release(Unlimited("a"))
	r.ReleaseNumbers(3)
	assert.ErrorIs(t, r.Consume("a", unused), ErrNoPermit)
	assert.DeepEqual(t, r.Unused(), []uint64{2, 3})
	assert.Equal(t, len(r.Unused()), 0)

	for range 200 {
		permit := r.permit("a", 4)
		var group sync.WaitGroup
		var sent atomic.Int32
		for range 4 {
			group.Go(func() {
				if r.Consume("a", permit) == nil {
					sent.Add(1)
				}
			})
			group.Go(func() { r.Release(permit) })
		}
		group.Wait()
		assert.Equal(t, int(sent.Load())+len(r.Unused()), 1)
	}
}

func TestLimitsAreReportedOnceToEachLeader(t *testing.T) {
	r := newRig()
	r.respond("a", 200, names.Limit, "1")
	r.respond("a", 200, names.Limit, "1")
	r.respond("b", 200, names.Limit, "2")
	r.respond("b", 200)
	r.now += time.Second
	reported := map[coordapi.BackendID]coordapi.LimitReport{}
	for _, report := range r.TakeUnreported() {
		reported[report.ID] = report
	}
	assert.DeepEqual(t, reported["a"], coordapi.LimitReport{ID: "a", Pool: "p", Limited: true, Rate: 1, ReceivedAgo: time.Second + 2*time.Millisecond,
		SentAgo: time.Second + 3*time.Millisecond})
	assert.Assert(t, !reported["b"].Limited)
	assert.Equal(t, len(r.TakeUnreported()), 0)
	r.ReportAgain()
	assert.Equal(t, len(r.TakeUnreported()), 1)
	r.Requeue([]coordapi.LimitReport{reported["a"], reported["b"], {ID: "unknown"}})
	assert.Equal(t, len(r.TakeUnreported()), 2)
	// A leader that grants an unlimited permit may have missed the report.
	assert.NilError(t, r.Consume("a", Unlimited("a")))
	assert.Equal(t, len(r.TakeUnreported()), 1)
}

// A router that has had no response from a back end has its limit from the leader.
func TestAnnouncedLimitNeedsPermit(t *testing.T) {
	r := newRig()
	r.Announced([]coordapi.BackendID{"a"})
	assert.ErrorIs(t, r.Check("a", nil), ErrNoPermit)
	assert.Equal(t, r.Active(), 1)
	r.respond("b", 200, names.Limit, "1")
	r.Announced(nil)
	assert.NilError(t, r.Check("a", nil))
	assert.ErrorIs(t, r.Check("b", nil), ErrNoPermit, "observed here")
}

func TestRegistryStateIsBounded(t *testing.T) {
	r := newRig()
	for i := range 3 * maxBackends {
		r.respond(fmt.Sprint(i), 200, names.Limit, "1")
	}
	assert.Assert(t, len(r.backends) <= maxBackends && len(r.backends) >= maxBackends/2, "%d", len(r.backends))
	assert.ErrorIs(t, r.Check(coordapi.BackendID(fmt.Sprint(3*maxBackends-1)), nil), ErrNoPermit)
	for i := range 3 * maxReleased {
		r.ReleaseNumbers(uint64(i))
	}
	assert.Equal(t, len(r.Unused()), maxReleased)
}

// A brittle plain back end needs permits from its first response on, an engine does not, and both are
// reported to the leader.
func TestRegistryObservesBrittleBackends(t *testing.T) {
	headers := vocabulary.Default()
	r := New(headers, slog.New(slog.DiscardHandler))
	observe := func(id string, plain bool, value string) {
		header := http.Header{}
		if value != "" {
			header.Set(headers.Brittle, value)
		}
		r.ObserveResponse(pushback.Backend{ID: coordapi.BackendID(id), Pool: "p", Plain: plain}, id, clock.Now(), &http.Response{StatusCode: http.StatusOK, Header: header})
	}
	observe("plain", true, "8")
	observe("engine", false, "0")
	observe("invalid", true, "-1")
	assert.ErrorIs(t, r.Check("plain", nil), ErrNoPermit)
	assert.NilError(t, r.Check("engine", nil))
	assert.NilError(t, r.Check("invalid", nil))
	reports := map[coordapi.BackendID]float64{}
	for _, report := range r.TakeUnreported() {
		reports[report.ID] = report.Brittle
	}
	assert.DeepEqual(t, reports, map[coordapi.BackendID]float64{"plain": 8, "engine": float64(minBrittle)})
	observe("plain", true, "")
	assert.NilError(t, r.Check("plain", nil))
}
