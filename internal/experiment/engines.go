package experiment

import (
	"strconv"
	"time"

	"quinceridge.example/quinceridge/internal/controlapi"
	"quinceridge.example/quinceridge/internal/enginemodel"
	"quinceridge.example/quinceridge/internal/membership"
	"quinceridge.example/quinceridge/internal/prefix"
	"quinceridge.example/quinceridge/internal/scheduling"
)

// Delays of the network and of failure detection.
const (
	hop = time.Millisecond
	// resetDelay is how soon a router notices that a process died, and
	// silentDelay that a whole zone is gone.
	resetDelay  = 5 * time.Millisecond
	silentDelay = 500 * time.Millisecond
	downTime    = 2 * time.Second
)

// simulatedEngine is one engine of a run.
type simulatedEngine struct {
	id          string
	zone        string
	incarnation int
	model       *enginemodel.Engine
	slots       int
	down        bool
	silent      bool // down without resets
	running     map[string]*flight
	// wakeAt is the time of the scheduled step, or 0.
	wakeAt time.Duration
	blocks map[uint64]bool
	// known is the load when it was last asked for; changed says that it is out
	// of date.
	known   enginemodel.Load
	changed bool
}

// load returns the engine's load. It is costly to make and often asked for.
func (e *simulatedEngine) load() enginemodel.Load {
	if e.changed {
		e.known = e.model.Load()
		e.changed = false
	}
	return e.known
}

func (e *simulatedEngine) machine(model, region string) controlapi.Machine {
	return controlapi.Machine{ID: e.id, Role: controlapi.RoleEngine, Address: e.id, Region: region, Zone: e.zone,
		Incarnation: strconv.Itoa(e.incarnation), Model: model, WeightsVersion: 1, DecodeSlots: e.slots}
}

// trueWait is the time in queue that new work has now.
func (e *simulatedEngine) trueWait(prefillRate float64) time.Duration {
	load := e.load()
	wait := time.Duration(float64(load.PrefillTokens) / prefillRate * float64(time.Second))
	if excess := load.Running + load.Waiting - e.slots; excess > 0 {
		wait += membership.TypicalServiceTime * time.Duration(excess) / time.Duration(e.slots)
	}
	return wait
}

// step runs the engine's model and schedules the next step.
func (s *simulation) step(e *simulatedEngine) {
	if e.down {
		return
	}
	out := e.model.Step(s.now())
	e.changed = true
	for _, token := range out.Tokens {
		s.token(e, token)
	}
	for _, admitted := range out.Admitted {
		s.admitted(e, admitted)
	}
	s.cacheEvents(e, out.Events)
	if out.Next > 0 && out.Next != e.wakeAt {
		e.wakeAt = out.Next
		incarnation := e.incarnation
		s.queue.At(out.Next, func() {
			if e.incarnation == incarnation {
				s.step(e)
			}
		})
	}
}

func (s *simulation) cacheEvents(e *simulatedEngine, events []enginemodel.CacheEvent) {
	s.publish(e, events)
	for _, event := range events {
		s.metrics.changed(event.Depth)
		if event.Stored {
			e.blocks[event.Block] = true
			s.holders[event.Block]++
			continue
		}
		delete(e.blocks, event.Block)
		s.holders[event.Block]--
	}
}

// publish brings the heads among the events to the directory, late and with
// gaps.
func (s *simulation) publish(e *simulatedEngine, events []enginemodel.CacheEvent) {
	if s.options.NoDirectory {
		return
	}
	key, incarnation := scheduling.EndpointKey(e.id), e.incarnation
	for _, event := range events {
		if !scheduling.IsHead(event.Depth) || s.random.Float64() < s.options.Conditions.EventLoss {
			continue
		}
		s.queue.After(s.options.Conditions.EventLag, func() {
			switch {
			case e.incarnation != incarnation:
			case event.Stored:
				s.directory.Add(key, event.Block)
			default:
				s.directory.Remove(key, event.Block)
			}
		})
	}
}

// admitted counts what was cached and what was computed in vain.
func (s *simulation) admitted(e *simulatedEngine, a enginemodel.Admitted) {
	f := e.running[a.Request.ID]
	if f == nil {
		return
	}
	f.cached = a.CachedTokens
	wasted := 0
	for _, block := range a.Request.Chain[min(a.CachedTokens/prefix.BlockTokens, len(a.Request.Chain)):] {
		if s.holders[block] > 0 {
			wasted += prefix.BlockTokens
		}
	}
	s.metrics.admitted(s.now(), a.Request.PromptTokens, a.CachedTokens, wasted)
}

func (s *simulation) token(e *simulatedEngine, token enginemodel.Token) {
	f := e.running[token.ID]
	if f == nil {
		return
	}
	f.generated = token.Index + 1
	if !f.started {
		f.started = true
		s.metrics.firstToken(f, s.now()+2*hop)
	}
	if token.Last {
		delete(e.running, token.ID)
		s.queue.After(hop, func() { s.answered(f, e.id) })
	}
}

// crash stops an engine. Its requests are placed again once their routers
// notice.
func (s *simulation) crash(e *simulatedEngine, silent bool) {
	if e.down {
		return
	}
	e.down, e.silent = true, silent
	e.incarnation++
	for block := range e.blocks {
		s.holders[block]--
	}
	e.blocks = map[uint64]bool{}
	s.directory.RemoveEndpoint(scheduling.EndpointKey(e.id))
	lost := e.running
	e.running = map[string]*flight{}
	delay := resetDelay
	if silent {
		delay = silentDelay
	}
	for _, id := range sortedKeys(lost) {
		f := lost[id]
		s.queue.After(delay, func() { s.failed(f, e) })
	}
}

// recover brings an engine back with an empty cache.
func (s *simulation) recover(e *simulatedEngine) {
	e.down, e.silent = false, false
	e.model = enginemodel.New(s.options.Engine)
	e.wakeAt = 0
	e.changed = true
}
