package clienttest

import (
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"
)

// routeForms are the forms of which crowds at a route are mixed.
var routeForms = []form{shortFieldsForm, promptPartsForm, endlessHeadForm, shortBodyForm, announcedForm, byteChunksForm,
	endlessChunksForm, aheadForm, halfClosedForm, resetForm, silentForm}

// mixedPart divides the crowds that are mixed.
const mixedPart = 5

func (d *deployment) route() target {
	return target{address: d.listen, method: http.MethodPost, path: "/pay/x", header: id() + withKey}
}

// mix sends all forms at once at a route and at the readiness address.
func (w *crowd) mix(d *deployment) {
	var group sync.WaitGroup
	for _, f := range routeForms {
		group.Go(func() { w.assemble(f, d.route(), f.count/mixedPart) })
	}
	ready := target{address: d.readiness, method: http.MethodPost, path: "/readyz"}
	for _, f := range []form{largeHeadForm, silentForm, manyShortFieldsForm} {
		group.Go(func() { w.assemble(f, ready, f.count/mixedPart) })
	}
	group.Wait()
}

// Guards against memory or descriptors that a crowd keeps after it has gone.
func TestRouterSurvivesMixedCrowdsInTurn(t *testing.T) {
	d := start(t, 1)
	before := d.router.openDescriptors()
	for turn := range 3 {
		var w crowd
		w.mix(d)
		time.Sleep(holdTime)
		d.router.checkBounds()
		w.leave()
		d.awaitAnswer()
		poll.WaitOn(t, func(poll.LogT) poll.Result {
			if open := d.router.openDescriptors(); open > before+maxKeptDescriptors {
				return poll.Continue("turn %d: %d descriptors, %d before", turn, open, before)
			}
			return poll.Success()
		}, poll.WithTimeout(answerTimeout), poll.WithDelay(100*time.Millisecond))
	}
}

// maxKeptDescriptors is the number of connections to back ends that a router may keep open.
const maxKeptDescriptors = 100

// Guards against a crowd that ends a router which has no leader.
func TestRouterSurvivesMixedCrowdWhileLeaderIsLost(t *testing.T) {
	d := start(t, 3)
	var w crowd
	defer w.leave()
	var group sync.WaitGroup
	group.Go(func() { w.mix(d) })
	for _, c := range d.coordinators {
		c.Kill()
		assert.NilError(t, c.Start())
		time.Sleep(time.Second)
	}
	group.Wait()
	d.router.checkBounds()
	w.leave()
	d.awaitAnswer()
	d.router.checkBounds()
}

// Guards against streams of ordinary clients that a crowd cuts.
func TestRunningStreamsSurviveCrowds(t *testing.T) {
	for _, f := range []form{shortFieldsForm, shortBodyForm, silentForm} {
		t.Run(f.name, func(t *testing.T) {
			d := start(t, 1)
			const streams = 20
			var group sync.WaitGroup
			var failures atomic.Int64
			for i := range streams {
				group.Go(func() {
					if err := d.request("/chat/x", "long"); err != nil {
						failures.Add(1)
						t.Logf("stream %d: %v", i, err)
					}
				})
			}
			time.Sleep(time.Second)
			var w crowd
			defer w.leave()
			w.assemble(f, d.route(), f.count)
			group.Wait()
			assert.Equal(t, failures.Load(), int64(0))
			d.router.checkBounds()
			w.leave()
			d.awaitAnswer()
		})
	}
}
