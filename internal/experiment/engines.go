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

// Delays of the network, of failure detection and of restarts.
const (
	hopDelay = time.Millisecond
	// resetDetectionDelay is the time in which a router detects a crashed process by its connection
	// resets, and zoneLossDetectionDelay the time in which it detects a lost zone.
	resetDetectionDelay    = 5 * time.Millisecond
	zoneLossDetectionDelay = 500 * time.Millisecond
	crashDowntime          = 2 * time.Second
)

// simulatedEngine is one engine of a run.
type simulatedEngine struct {
	id          string
	zone        string
	incarnation int
	model       *enginemodel.Engine
	slots       int
	down        bool
	unreachable bool // down without sending connection resets
	running     map[string]*simulatedRequest
	// wakeAt is the time of the scheduled step, or 0.
	wakeAt time.Duration
	blocks map[uint64]bool
	// cachedLoad is the result of the last call of model.Load, and loadStale whether the load may have
	// changed since.
	cachedLoad enginemodel.Load
	loadStale  bool
}

// load returns the engine's load. It caches the result because model.Load is expensive.
func (e *simulatedEngine) load() enginemodel.Load {
	if e.loadStale {
		e.cachedLoad = e.model.Load()
		e.loadStale = false
	}
	return e.cachedLoad
}

func (e *simulatedEngine) machine(model, region string) controlapi.Machine {
	return controlapi.Machine{ID: e.id, Role: controlapi.RoleEngine, Address: e.id, Region: region, Zone: e.zone,
		Incarnation: strconv.Itoa(e.incarnation), Model: model, WeightsVersion: 1, DecodeSlots: e.slots}
}

// trueWait returns the queueing time of a request that arrives now, estimated from the engine's
// current load. prefillRate is in tokens per second.
func (e *simulatedEngine) trueWait(prefillRate float64) time.Duration {
	load := e.load()
	wait := time.Duration(float64(load.PrefillTokens) / prefillRate * float64(time.Second))
	if excess := load.Running + load.Waiting - e.slots; excess > 0 {
		wait += membership.TypicalServiceTime * time.Duration(excess) / time.Duration(e.slots)
	}
	return wait
}

// step advances the engine's model to the current time and schedules its next step.
func (s *simulation) step(e *simulatedEngine) {
	if e.down {
		return
	}
	out := e.model.Step(s.now())
	e.loadStale = true
	for _, token := range out.Tokens {
		s.token(e, token)
	}
	for _, admitted := range out.Admitted {
		s.admitted(e, admitted)
	}
	s.applyCacheEvents(e, out.Events)
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

func (s *simulation) applyCacheEvents(e *simulatedEngine, events []enginemodel.CacheEvent) {
	s.publishHeads(e, events)
	for _, event := range events {
		s.metrics.blockChanged(event.Depth)
		if event.Stored {
			e.blocks[event.Block] = true
			s.holders[event.Block]++
			continue
		}
		delete(e.blocks, event.Block)
		s.holders[event.Block]--
	}
}

// publishHeads applies the events of head blocks to the directory, after EventLag and with a loss of
// EventLoss.
func (s *simulation) publishHeads(e *simulatedEngine, events []enginemodel.CacheEvent) {
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

// admitted records the tokens that were cached, and those that are computed although an engine has
// them cached.
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
		s.metrics.firstToken(f, s.now()+2*hopDelay)
	}
	if token.Last {
		delete(e.running, token.ID)
		s.queue.After(hopDelay, func() { s.answered(f, e.id) })
	}
}

// crash stops an engine and clears its cache. Its requests are placed again after the detection
// delay. unreachable means that the engine sends no connection resets.
func (s *simulation) crash(e *simulatedEngine, unreachable bool) {
	if e.down {
		return
	}
	e.down, e.unreachable = true, unreachable
	e.incarnation++
	for block := range e.blocks {
		s.holders[block]--
	}
	e.blocks = map[uint64]bool{}
	s.directory.RemoveEndpoint(scheduling.EndpointKey(e.id))
	lost := e.running
	e.running = map[string]*simulatedRequest{}
	delay := resetDetectionDelay
	if unreachable {
		delay = zoneLossDetectionDelay
	}
	for _, id := range sortedKeys(lost) {
		f := lost[id]
		s.queue.After(delay, func() { s.engineFailed(f, e) })
	}
}

// recover starts a crashed engine with an empty cache.
func (s *simulation) recover(e *simulatedEngine) {
	e.down, e.unreachable = false, false
	e.model = enginemodel.New(s.options.Engine)
	e.wakeAt = 0
	e.loadStale = true
}
