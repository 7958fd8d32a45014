package edge

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// brittleRate is the number of rejections a second at which a brittle back end fails.
const brittleRate = 4

// makeBrittle makes the plain back ends brittle and returns how many requests a second fit.
func (d *deployment) makeBrittle() (fits float64) {
	return d.makeBrittleFor(60 * time.Millisecond)
}

// makeBrittleFor is makeBrittle for requests that run for a time.
func (d *deployment) makeBrittleFor(runTime time.Duration) (fits float64) {
	const slots = 8
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, h := range d.hosts {
		if h.pool == "app" {
			h.brittle, h.slots, h.runTime = fmt.Sprint(brittleRate), make(chan struct{}, slots), runTime
			fits += slots / runTime.Seconds()
		}
	}
	return fits
}

// rejectBrittle rejects a request if the back end is brittle and all its slots are in use.
func (e *engine) rejectBrittle(w http.ResponseWriter) bool {
	d := e.host.deployment
	d.mu.Lock()
	defer d.mu.Unlock()
	if e.host.brittle == "" {
		return false
	}
	w.Header().Set(names.Brittle, e.host.brittle)
	if len(e.host.slots) < cap(e.host.slots) {
		return false
	}
	e.rejections = append(e.rejections, time.Now())
	w.Header().Set(names.NotRun, "1")
	w.WriteHeader(http.StatusServiceUnavailable)
	return true
}

// peakRejections returns the most rejections of a plain back end within a second, from a time on.
func (d *deployment) peakRejections(from time.Time) (peak int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, h := range d.hosts {
		times := h.current.rejections
		for i, first := range times {
			count := 0
			for _, at := range times[i:] {
				if at.Sub(first) < time.Second {
					count++
				}
			}
			if first.After(from) {
				peak = max(peak, count)
			}
		}
	}
	return peak
}

// callerPatience exceeds the time for which requests of these tests run.
const callerPatience = 2 * time.Second

// overload sends more requests to plain back ends than fit, for a time, and returns how many were served
// and how many would fit from a second after its start.
func (d *deployment) overload(duration time.Duration, factor, fits float64) (served, fit float64) {
	var mu sync.Mutex
	var group sync.WaitGroup
	pause := time.Duration(float64(time.Second) / (factor * fits) * float64(len(d.frontend)))
	begun := time.Now()
	for router := range d.frontend {
		group.Go(func() {
			var calls sync.WaitGroup
			for sent := 0; time.Since(begun) < duration; sent++ {
				time.Sleep(time.Until(begun.Add(time.Duration(sent) * pause)))
				calls.Go(func() {
					got := d.sendWithin(callerPatience, router, "ka", "/pay/", fmt.Sprint("brittle ", d.requests.Load()))
					mu.Lock()
					defer mu.Unlock()
					if got.status == http.StatusOK && time.Since(begun) > time.Second {
						served++
					}
				})
			}
			calls.Wait()
		})
	}
	group.Wait()
	return served, fits * (time.Since(begun) - time.Second).Seconds()
}

// Brittle back ends must reject fewer requests a second than they bear from all routers together.
func TestBrittleBackendsRejectFew(t *testing.T) {
	d := newDeployment(t, 3, 4, 1)
	fits := d.makeBrittle()
	begun := time.Now()
	served, fit := d.overload(4*time.Second, 3, fits)
	t.Logf("%.0f served of %.0f that fit", served, fit)
	peak := d.peakRejections(begun.Add(time.Second))
	assert.Assert(t, peak < brittleRate, "%d rejections within a second", peak)
	assert.Assert(t, served > 0)
}

// No router may send more while the leader that grants permits is lost, and its successor begins
// without knowledge of what runs.
func TestBrittleBackendsRejectFewWhileLeaderIsLost(t *testing.T) {
	d := newDeployment(t, 3, 4, 1)
	fits := d.makeBrittle()
	begun := time.Now()
	var group sync.WaitGroup
	group.Go(func() {
		time.Sleep(1500 * time.Millisecond)
		d.restartLeader()
	})
	served, fit := d.overload(6*time.Second, 2, fits)
	group.Wait()
	t.Logf("%.0f served of %.0f that fit", served, fit)
	peak := d.peakRejections(begun.Add(time.Second))
	assert.Assert(t, peak < brittleRate, "%d rejections within a second", peak)
}

// Guards against a new leader that grants the slots of brittle back ends whose requests have outlasted the
// election.
func TestNewLeaderCountsWhatBrittleBackendsRun(t *testing.T) {
	d := newDeployment(t, 3, 4, 1)
	fits := d.makeBrittleFor(1500 * time.Millisecond)
	begun := time.Now()
	var group sync.WaitGroup
	group.Go(func() {
		for range 3 {
			time.Sleep(2 * time.Second)
			d.restartLeader()
		}
	})
	served, fit := d.overload(8*time.Second, 2, fits)
	group.Wait()
	t.Logf("%.0f served of %.0f that fit", served, fit)
	peak := d.peakRejections(begun.Add(time.Second))
	assert.Assert(t, peak < brittleRate, "%d rejections within a second", peak)
	assert.Assert(t, served > fit/4, "%.0f served of %.0f that fit", served, fit)
}

// Guards against routers that flood back ends which have not told yet that they are brittle, while no
// leader tells it either.
func TestBackendsOfBrittlePoolGetOneRequestUntilTheyRespond(t *testing.T) {
	d := newDeployment(t, 3, 4, 1)
	fits := d.makeBrittle()
	for _, node := range d.nodes {
		ctx, cancel := context.WithCancel(t.Context())
		cancel()
		node.Stop(ctx)
	}
	begun := time.Now()
	for router := range d.frontend {
		got := d.send(router, "ka", "/pay/", "first")
		assert.Equal(t, got.status, http.StatusOK)
	}
	served, fit := d.overload(1500*time.Millisecond, 6, fits)
	t.Logf("%.0f served of %.0f that fit", served, fit)
	peak := d.peakRejections(begun)
	assert.Assert(t, peak < brittleRate, "%d rejections within a second", peak)
}

// Guards against brittle back ends that get as many requests beyond their slots as have run for longer than a
// permit is held without a report.
func TestBrittleBackendsRejectFewBesideLongRequests(t *testing.T) {
	t.Run("one leader", func(t *testing.T) { checkLongRequests(t, 8*time.Second, func(*deployment) {}) })
	t.Run("leader changes", func(t *testing.T) { checkLongRequests(t, 11*time.Second, (*deployment).restartLeader) })
}

// checkLongRequests fills the slots of brittle back ends with requests that run for a time, calls disturb and
// checks the rejections of those that come beside them.
func checkLongRequests(t *testing.T, runTime time.Duration, disturb func(*deployment)) {
	t.Helper()
	d := newDeployment(t, 3, 4, 1)
	d.configureDocument(2, strings.NewReplacer(`"version":1`, `"version":2`, `"kind":"unsafe","timeout":"4s"`, `"kind":"unsafe","timeout":"20s"`).Replace(testDocument))
	d.makeBrittleFor(time.Millisecond)
	d.overload(1500*time.Millisecond, 1, 50)
	slots := int(d.makeBrittleFor(runTime)*runTime.Seconds() + 0.5)
	begun := time.Now()
	var group sync.WaitGroup
	send := func(sent int) {
		group.Go(func() {
			d.sendWithin(20*time.Second, sent%len(d.frontend), "ka", "/pay/", fmt.Sprint("long ", d.requests.Load()))
		})
	}
	for sent := range slots {
		send(sent)
		time.Sleep(20 * time.Millisecond)
	}
	disturb(d)
	for sent := 0; time.Since(begun) < runTime-500*time.Millisecond; sent++ {
		send(sent)
		time.Sleep(50 * time.Millisecond)
	}
	group.Wait()
	peak := d.peakRejections(begun)
	assert.Assert(t, peak < brittleRate, "%d rejections within a second", peak)
}
