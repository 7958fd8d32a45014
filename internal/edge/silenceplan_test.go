package edge

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"quinceridge.example/quinceridge/internal/coordapi"
	"quinceridge.example/quinceridge/internal/peer"
)

// planGrace is the grace of a router that stops beside a silence: its drain limit is above what the streams
// that it serves still take, and drainSlack the time by which a stop may outlast it.
const (
	planGrace  = 4 * time.Second
	drainSlack = 500 * time.Millisecond
)

// plannedWork is planned work beside a silence.
type plannedWork struct {
	name string
	// before is called just before the silence, and during while it lasts; nil for nothing.
	before, during func(s *silenceTrial)
	// after is called once all answers have ended.
	after func(s *silenceTrial)
}

// currentLeader returns the number of the coordinator that leads.
func (d *deployment) currentLeader() int {
	peers := peer.NewClient(&peer.Counters{})
	defer peers.Close()
	for i := range d.nodes {
		var reply coordapi.Reply
		if peers.Call(d.t.Context(), d.config[i].PeerAddress, coordapi.KindCall, coordapi.Request{Find: &coordapi.Find{}}, &reply) == nil && !reply.NotLeader {
			return i
		}
	}
	d.t.Error("no leader")
	return 0
}

// stopNode stops a coordinator at once.
func (d *deployment) stopNode(i int) {
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	d.node(i).Stop(ctx)
}

// startNodeAgain starts a coordinator that has stopped.
func (d *deployment) startNodeAgain(i int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.startNode(i)
}

// plans are the planned works by the deployment in which they are made one after the other.
func plans() map[string][]plannedWork {
	lost := 0
	var stopped sync.WaitGroup
	return map[string][]plannedWork{
		"coordinators": {
			{name: "leader is lost", during: func(s *silenceTrial) {
				lost = s.currentLeader()
				s.stopNode(lost)
			}, after: func(s *silenceTrial) { s.startNodeAgain(lost) }},
			{name: "leader restarts", during: (*silenceTrial).restartLeader},
			{name: "follower restarts", during: func(s *silenceTrial) {
				follower := (s.currentLeader() + 1) % len(s.nodes)
				s.stopNode(follower)
				s.startNodeAgain(follower)
			}},
			{name: "all coordinators restart", during: func(s *silenceTrial) { s.restartNodes() }},
		},
		"routers": {
			{name: "reload", during: func(s *silenceTrial) {
				for _, r := range s.routers {
					changed := r.settings
					changed.Seeds = slices.Clone(changed.Seeds)
					slices.Reverse(changed.Seeds)
					r.Reload(changed)
				}
			}},
			{name: "another router comes and goes", before: func(s *silenceTrial) {
				s.addRouter(len(s.frontend), s.config[0].Seeds)
			}, during: func(s *silenceTrial) {
				s.routers[len(s.routers)-1].abort()
				s.addRouter(len(s.frontend), s.config[0].Seeds)
			}},
			{name: "router stops as planned", during: func(s *silenceTrial) {
				stopped.Go(func() {
					begun := time.Now()
					s.routers[0].Stop()
					took, limit := time.Since(begun), s.routers[0].settings.DrainLimit()
					assert.Check(s.t, took < limit+drainSlack, "the stop took %v of %v", took, limit)
				})
			}, after: func(s *silenceTrial) { stopped.Wait() }},
		},
		"one engine leaves": {
			{name: "just before", before: func(s *silenceTrial) { s.engines("llm")[0].leave() }},
		},
		"engines leave": {
			{name: "just before", before: func(s *silenceTrial) {
				for _, h := range s.engines("llm") {
					h.leave()
				}
			}},
		},
	}
}

// Guards against planned work on coordinators, routers and engines that ends answers while their engines
// are silent.
func TestAnswersSurvivePlannedWorkBesideSilence(t *testing.T) {
	const routers = 2
	for group, works := range plans() {
		t.Run(group, func(t *testing.T) {
			t.Parallel()
			s := newSilenceTrial(t, &deployment{relays: true, stopGrace: planGrace}, routers, changeEngines, changeSlots)
			for _, w := range works {
				t.Run(w.name, func(t *testing.T) {
					ended := s.endedByRouters()
					requests := changeRequests(w.name, routers)
					answers := s.begin(requests)
					time.Sleep(100 * time.Millisecond)
					if w.before != nil {
						w.before(s)
					}
					resume := pauseAll(s.engines("llm", "app"))
					silent, over := context.WithTimeout(t.Context(), silenceTime)
					defer over()
					time.Sleep(changeDelay)
					if w.during != nil {
						w.during(s)
					}
					<-silent.Done()
					resume()
					answers.Wait()
					if w.after != nil {
						w.after(s)
					}
					s.check(t, requests)
					assert.Check(t, s.endedByRouters() == ended, "%d answers ended by routers", s.endedByRouters()-ended)
					if w.name != works[len(works)-1].name {
						s.awaitReadyAgain()
					}
				})
			}
		})
	}
}

// awaitReadyAgain waits until the routers serve streams.
func (s *silenceTrial) awaitReadyAgain() {
	s.t.Helper()
	for router := range 2 {
		row := 0
		for tries := 0; row < 3; tries++ {
			assert.Assert(s.t, tries < 400, "router %d does not serve", router)
			a := asked{script: script{Name: fmt.Sprint("again ", s.requests.Load()), Events: 1}, path: "/double/", router: router}
			if a.send(s.deployment); a.status == http.StatusOK && a.complete {
				row++
				continue
			}
			row = 0
			time.Sleep(20 * time.Millisecond)
		}
	}
}
