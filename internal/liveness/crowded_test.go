package liveness

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// The model of engines: a step takes stepTime plus stepTimePerRequest for each running request and
// processes one token of each stream; between two steps one chunk of a prompt is processed.
const (
	stepTime           = 3 * ms
	stepTimePerRequest = 120 * time.Microsecond
	chunkTokens        = 2048
	tokensPerMs        = 92
	slots              = 64
	eventTokens        = 8
	modelRouters       = 65
	reportInterval     = 245 * ms
	listDelay          = 5 * ms
)

// deployment is a leader, routers and engines in virtual time.
type deployment struct {
	t       *testing.T
	random  *rand.Rand
	now     time.Duration
	leader  Detector
	routers []*modelRouter
	engines []*modelEngine
	// listed is the leader's list, which routers receive listDelay later.
	listed   []string
	listedAt time.Duration
	// prompt returns the length of the next prompt in tokens.
	prompt func() int
	// wholePrompts is set if engines do not divide prompts into chunks.
	wholePrompts bool
	// lossRate is the share of reports that are lost.
	lossRate float64
	// throttled routers run in the first 20 of each 100 ms only.
	throttled bool
	checkedAt time.Duration

	// late counts the streams that were overdue at least once.
	streams, late, cancelled, listings int
	// longest is the longest time from an engine's last event to the cancellation of a stream there.
	longest time.Duration
}

type modelRouter struct {
	*Streams
	name                  string
	checkedAt, reportedAt time.Duration
}

// modelEngine is an engine that always has as many requests as slots.
type modelEngine struct {
	id       string
	requests []*modelRequest
	stepEnd  time.Duration
	lastStep time.Duration
	// stopped is set while the engine does nothing.
	stopped bool
}

type modelRequest struct {
	stream *Stream
	// unread are the prompt tokens left, and tokens and left those of the output.
	unread, tokens, left int
	// arriving are the times at which the router gets the events that are under way.
	arriving []time.Duration
	router   *modelRouter
	late     bool
	done     bool
}

func newDeployment(t *testing.T, engines int) *deployment {
	d := &deployment{t: t, random: rand.New(rand.NewPCG(7, 11)), now: 10 * time.Second}
	d.prompt = func() int {
		if d.random.Float64() < 0.5 {
			return 9190
		}
		return 826
	}
	for i := range modelRouters {
		r := &modelRouter{Streams: NewStreams(), name: fmt.Sprint("r", i), checkedAt: d.now - time.Duration(d.random.IntN(25))*ms,
			reportedAt: d.now - time.Duration(d.random.IntN(int(reportInterval/ms)))*ms}
		d.routers = append(d.routers, r)
	}
	for i := range engines {
		e := &modelEngine{id: string(rune('a' + i)), stepEnd: d.now}
		for range slots {
			e.requests = append(e.requests, d.newRequest())
		}
		d.engines = append(d.engines, e)
	}
	return d
}

func (d *deployment) newRequest() *modelRequest {
	tokens := 36 * eventTokens
	return &modelRequest{unread: d.prompt(), tokens: tokens, left: tokens, router: d.routers[d.random.IntN(len(d.routers))]}
}

// run advances the deployment in steps of 1 ms.
func (d *deployment) run(duration time.Duration) {
	for until := d.now + duration; d.now < until; d.now += ms {
		for _, e := range d.engines {
			d.runEngine(e)
		}
		if !d.throttled || d.now%(100*ms) < 20*ms {
			for _, r := range d.routers {
				d.runRouter(r)
			}
			for _, e := range d.engines {
				d.receive(e)
			}
		}
		if d.now >= d.checkedAt+20*ms+modelRouters*ms/2 {
			d.checkedAt = d.now
			for _, c := range d.leader.Check(d.now, func(string) (Engine, bool) { return Engine{Streams: slots}, true }) {
				d.listed, d.listedAt = d.leader.Listed(), d.now
				if c.Listed {
					d.listings++
				}
			}
		}
		if d.listedAt > 0 && d.now == d.listedAt+listDelay {
			for _, r := range d.routers {
				r.SetListed(d.now, d.listed)
			}
		}
	}
}

// runEngine ends the engine's step once its time has passed.
func (d *deployment) runEngine(e *modelEngine) {
	if e.stopped {
		e.stepEnd = max(e.stepEnd, d.now+ms)
	}
	if d.now < e.stepEnd {
		return
	}
	running, prefill := 0, 0
	for i, q := range e.requests {
		switch {
		case q.done:
			e.requests[i] = d.newRequest()
			continue
		case q.unread > 0:
			if prefill == 0 {
				prefill = q.unread
				if !d.wholePrompts {
					prefill = min(q.unread, chunkTokens)
				}
				q.unread -= prefill
			}
			continue
		}
		running++
		q.left--
		if (q.tokens-q.left)%eventTokens == 0 {
			// An event in 200 is sent again by the network.
			delay := time.Duration(d.random.IntN(20)) * ms
			if d.random.Float64() < 0.005 {
				delay += 300 * ms
			}
			if n := len(q.arriving); n > 0 {
				delay = max(delay, q.arriving[n-1]-d.now)
			}
			q.arriving = append(q.arriving, d.now+delay)
		}
	}
	e.lastStep = d.now
	e.stepEnd = d.now + stepTime + time.Duration(running)*stepTimePerRequest + time.Duration(prefill)*ms/tokensPerMs
}

// receive lets routers read the events that have arrived.
func (d *deployment) receive(e *modelEngine) {
	for _, q := range e.requests {
		if q.stream == nil && q.unread == 0 {
			d.streams++
			q.stream = q.router.Add(d.now, e.id, time.Second, func(*Stream) { d.overdue(e, q) })
			q.stream.Begin(d.now, pause)
		}
		for len(q.arriving) > 0 && q.arriving[0] <= d.now {
			q.arriving = q.arriving[1:]
			q.stream.Event(d.now)
			q.stream.Forwarded(d.now)
		}
		if q.left <= 0 && len(q.arriving) == 0 && !q.done {
			q.stream.End()
			q.done = true
		}
	}
}

// overdue resumes an overdue stream elsewhere if its engine is listed.
func (d *deployment) overdue(e *modelEngine, q *modelRequest) {
	if !q.late {
		q.late = true
		d.late++
	}
	for _, id := range q.router.listed {
		if id == e.id && !q.done {
			d.cancelled++
			d.longest = max(d.longest, d.now-e.lastStep)
			q.stream.End()
			q.done = true
		}
	}
}

func (d *deployment) runRouter(r *modelRouter) {
	if d.now >= r.checkedAt+25*ms {
		r.checkedAt = d.now
		r.Check(d.now)
	}
	urgent := false
	select {
	case <-r.Urgent():
		urgent = true
	default:
	}
	if urgent || d.now >= r.reportedAt+reportInterval {
		r.reportedAt = d.now
		stalls := r.Stalls(d.now)
		if d.random.Float64() >= d.lossRate {
			d.leader.Report(d.now, r.name, stalls)
		}
	}
}

// Guards against more than one stream in 1,000 being given up at engines that are merely slow.
func TestFalseAlarmsAtCrowdedEnginesAreBounded(t *testing.T) {
	cases := map[string]func(d *deployment){
		"mixed prompts": func(*deployment) {},
		"long prompts":  func(d *deployment) { d.prompt = func() int { return 30000 } },
		"lost reports":  func(d *deployment) { d.lossRate = 0.2 },
		"throttled":     func(d *deployment) { d.throttled = true },
		"whole prompts": func(d *deployment) { d.wholePrompts = true },
	}
	for name, change := range cases {
		t.Run(name, func(t *testing.T) {
			d := newDeployment(t, 8)
			change(d)
			d.run(90 * time.Second)
			t.Logf("%d streams, %d of them overdue once, %d given up, %d listings", d.streams, d.late, d.cancelled, d.listings)
			assert.Assert(t, d.streams > 1000)
			assert.Assert(t, 1000*d.cancelled < d.streams)
		})
	}
}

// Guards against streams that are held at an engine that has stopped, and against giving up streams
// at others.
func TestStreamsLeaveStoppedEngine(t *testing.T) {
	d := newDeployment(t, 8)
	d.run(5 * time.Second)
	for _, e := range d.engines[:2] {
		e.stopped = true
	}
	held := 0
	for _, e := range d.engines[:2] {
		for _, q := range e.requests {
			if q.stream != nil && !q.done {
				held++
			}
		}
	}
	d.run(time.Second)
	t.Logf("%d of %d streams given up within %v", d.cancelled, held, d.longest)
	assert.Assert(t, held > 60)
	assert.Equal(t, d.cancelled, held)
	assert.Assert(t, d.longest <= EventWindow+200*ms, "%v", d.longest)
}

// Guards against giving up streams at an engine that responds again.
func TestRecoveredEngineKeepsItsStreams(t *testing.T) {
	for _, stop := range []time.Duration{300 * ms, 450 * ms, 550 * ms, 650 * ms} {
		d := newDeployment(t, 8)
		d.run(5 * time.Second)
		d.engines[0].stopped = true
		d.run(stop)
		d.engines[0].stopped = false
		d.run(100 * ms)
		before := d.cancelled
		t.Logf("stopped for %v: %d given up", stop, before)
		if stop < EventWindow {
			assert.Equal(t, before, 0)
		}
		d.run(5 * time.Second)
		assert.Equal(t, d.cancelled, before, "stopped for %v", stop)
		assert.Equal(t, len(d.listed), 0)
	}
}

// Guards against listing an engine that processes the long prompt of one request in one step.
func TestLongPromptOfNeighborIsNoStop(t *testing.T) {
	for _, tokens := range []int{30000, 40000, 50000} {
		d := newDeployment(t, 4)
		d.wholePrompts = true
		d.prompt = func() int {
			if d.random.Float64() < 0.02 {
				return tokens
			}
			return 826
		}
		d.run(20 * time.Second)
		t.Logf("prompts of %d tokens: %d streams, %d of them overdue once, %d given up, %d listings", tokens, d.streams, d.late, d.cancelled, d.listings)
		assert.Equal(t, d.cancelled, 0, "%d tokens", tokens)
	}
}
