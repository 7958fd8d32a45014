package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"quinceridge.example/quinceridge/internal/httpwire"
)

// silenceFaults suspend back ends, which then go on where they were. They have their own random source,
// so that they don't change the other faults of a seed.
var silenceFaults = []fault{
	{"engines are silent", func(s *Soak, ctx context.Context, r *rand.Rand) { s.silence(ctx, r, poolEngines, 1) }},
	{"engines are silent twice in a row", func(s *Soak, ctx context.Context, r *rand.Rand) { s.silence(ctx, r, poolEngines, 2) }},
	{"one engine after the other is silent", (*Soak).silenceInTurn},
	{"workers are silent", func(s *Soak, ctx context.Context, r *rand.Rand) { s.silence(ctx, r, poolWorkers, 1+r.IntN(2)) }},
}

const (
	silencePause = 5 * time.Second
	minSilence   = 300 * time.Millisecond
	maxSilence   = 3500 * time.Millisecond
	// maxSilencePause is the longest time between two silences of the same back ends.
	maxSilencePause = 500 * time.Millisecond
	// maxInTurn is the number of engines that are silent one after the other, each for maxTurn at most.
	maxInTurn = 4
	maxTurn   = 1500 * time.Millisecond
	// minLoadTime and maxLoadTime bound the time before a silence in which callers of long streams load the
	// engines, which ends when loadedShare of their slots are in use.
	minLoadTime = 500 * time.Millisecond
	maxLoadTime = 3 * time.Second
	loadedShare = 0.9
	// longPrefix begins the IDs of long streams, whose events are longEventPause apart.
	longPrefix     = "l"
	longEventPause = 85 * time.Millisecond
	// longTimeout is the time-out of the routes of long streams.
	longTimeout = 10 * time.Second
	// longPatience is the time without an event after which callers leave a stream of the route that
	// states it, and usualPatience that of routes that state none.
	longPatience  = 4 * time.Second
	usualPatience = 2 * time.Second
	// refusedPause is the time after which the caller of a long stream that was not served sends another
	// one.
	refusedPause = 250 * time.Millisecond
)

// longKinds are the kinds of long streams. Only the first one may be resumed, and only its route states
// how long callers wait.
var longKinds = []string{"longstream", "longchat"}

func patienceOf(kind string) time.Duration {
	if kind == longKinds[0] {
		return longPatience
	}
	return usualPatience
}

func timeoutOf(kind string) time.Duration {
	if isLong(kind) {
		return longTimeout
	}
	return routeTimeout
}

func isLong(kind string) bool { return kind == longKinds[0] || kind == longKinds[1] }

func isStream(kind string) bool { return kind == "stream" || kind == "chat" || isLong(kind) }

func isResumable(kind string) bool { return kind == "stream" || kind == longKinds[0] }

// injectSilences starts random silences until the context ends. It does nothing with an older build,
// whose routers end answers of silent engines.
func (s *Soak) injectSilences(ctx context.Context) {
	if s.config.Older != "" {
		return
	}
	r := rand.New(rand.NewPCG(s.config.Seed, 11))
	for wait(ctx, time.Duration(r.Int64N(int64(silencePause)))) {
		s.startFault(ctx, r, silenceFaults[r.IntN(len(silenceFaults))], 1)
	}
}

// silence suspends one back end, some of a pool or a whole pool the given number of times.
func (s *Soak) silence(ctx context.Context, r *rand.Rand, pool string, times int) {
	defer s.loadEngines(ctx, pool)()
	members := s.poolMembers(pool)
	r.Shuffle(len(members), func(i, j int) { members[i], members[j] = members[j], members[i] })
	switch r.IntN(3) {
	case 0:
		members = members[:min(1, len(members))]
	case 1:
		members = members[:(len(members)+1)/2]
	}
	for i := range times {
		if i > 0 {
			wait(ctx, time.Duration(r.Int64N(int64(maxSilencePause))))
		}
		s.suspend(ctx, members, minSilence+time.Duration(r.Int64N(int64(maxSilence-minSilence))))
	}
}

// silenceInTurn suspends engines one after the other: the next one before or as the last one goes on.
func (s *Soak) silenceInTurn(ctx context.Context, r *rand.Rand) {
	defer s.loadEngines(ctx, poolEngines)()
	members := s.poolMembers(poolEngines)
	r.Shuffle(len(members), func(i, j int) { members[i], members[j] = members[j], members[i] })
	overlap := time.Duration(r.IntN(2)) * minSilence / 2
	var group sync.WaitGroup
	for _, b := range members[:min(maxInTurn, len(members))] {
		length := minSilence + time.Duration(r.Int64N(int64(maxTurn-minSilence)))
		group.Go(func() { s.suspend(ctx, []*backend{b}, length) })
		wait(ctx, length-overlap)
	}
	group.Wait()
}

func (s *Soak) poolMembers(pool string) (members []*backend) {
	for _, b := range s.listBackends() {
		if b.pool == pool {
			members = append(members, b)
		}
	}
	return members
}

// suspend suspends back ends for a time, or until the context ends.
func (s *Soak) suspend(ctx context.Context, members []*backend, length time.Duration) {
	if ctx.Err() != nil {
		return
	}
	inUse, slots := 0, 0
	for _, b := range members {
		b.suspension.begin(s.now())
		if b.pool == poolEngines {
			inUse, slots = inUse+min(int(b.running.Load()), engineSlots), slots+engineSlots
		}
	}
	s.mu.Lock()
	s.report.Silences++
	s.report.SilentSlotsInUse += inUse
	s.report.SilentSlots += slots
	s.mu.Unlock()
	wait(ctx, length)
	for _, b := range members {
		b.suspension.end(s.now())
	}
}

// suspension stops what a back end does. It is safe for concurrent use.
type suspension struct {
	mu sync.Mutex
	// active counts the faults that suspend the back end, and resumed is closed when the last one ends.
	active  int
	resumed chan struct{}
	periods []*period
}

// period is a time from one event to another, which is negative until it has occurred.
type period struct{ from, to time.Duration }

func (p *period) overlaps(from, to time.Duration) bool {
	return p.from <= to && (p.to < 0 || p.to >= from)
}

func (x *suspension) begin(now time.Duration) {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.active++; x.active == 1 {
		x.resumed = make(chan struct{})
		x.periods = append(x.periods, &period{now, -1})
	}
}

func (x *suspension) end(now time.Duration) {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.active--; x.active == 0 {
		close(x.resumed)
		x.periods[len(x.periods)-1].to = now
	}
}

// met reports whether a suspension overlapped a time.
func (x *suspension) met(from, to time.Duration) bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	for _, p := range x.periods {
		if p.overlaps(from, to) {
			return true
		}
	}
	return false
}

// awaitRunning waits while the back end is suspended. It returns false if the back end has ended.
func (b *backend) awaitRunning() bool {
	for b.endedAt.Load() == 0 {
		b.suspension.mu.Lock()
		active, resumed := b.suspension.active, b.suspension.resumed
		b.suspension.mu.Unlock()
		if active == 0 {
			return true
		}
		select {
		case <-resumed:
		case <-b.soak.ctx.Done():
			return false
		}
	}
	return false
}

// awaitRunningOrAbort waits while the back end is suspended, for the handler of a request. If the back end
// has ended, it aborts the response: one that returns might be taken for complete.
func (b *backend) awaitRunningOrAbort() {
	if !b.awaitRunning() {
		panic(http.ErrAbortHandler)
	}
}

// loadEngines loads engines to their slots with long streams, waits until they run, and returns a
// function that ends the load and waits for the last of them. Workers have no slots.
func (s *Soak) loadEngines(ctx context.Context, pool string) (end func()) {
	if pool != poolEngines {
		return func() {}
	}
	slots := s.config.Engines * engineSlots
	client := &http.Client{Timeout: longTimeout + callTimeout, Transport: httpwire.NewTransport(&http.Transport{MaxIdleConnsPerHost: slots})}
	ctx, cancel := context.WithCancel(ctx)
	var group sync.WaitGroup
	number := s.loads.Add(1)
	for i := range slots {
		group.Go(func() { s.longCaller(ctx, client, fmt.Sprintf("%s%d-%d", longPrefix, number, i)) })
	}
	for begun := s.now(); wait(ctx, queuePollInterval); {
		loaded := float64(s.runningAtEngines()) >= loadedShare*float64(slots)
		if elapsed := s.now() - begun; elapsed >= maxLoadTime || loaded && elapsed >= minLoadTime {
			break
		}
	}
	return func() {
		cancel()
		group.Wait()
		client.CloseIdleConnections()
	}
}

// longCaller sends long streams while engines have free slots. All such callers together have at most
// as many streams as there are slots.
func (s *Soak) longCaller(ctx context.Context, client *http.Client, name string) {
	pause := rand.N(minLoadTime)
	for count := 0; wait(ctx, pause); count++ {
		pause = callPause
		slots := int64(s.config.Engines * engineSlots)
		if s.longStreams.Add(1) <= slots && int64(s.runningAtEngines()) < slots {
			c := &call{id: fmt.Sprintf("%s-%d", name, count), kind: longKinds[rand.IntN(len(longKinds))], key: s.key(), flood: true}
			s.send(client, c)
			s.results.add(c)
			if !c.served() {
				pause = refusedPause
			}
		}
		s.longStreams.Add(-1)
	}
}

// runningAtEngines returns the number of requests in progress at engines.
func (s *Soak) runningAtEngines() int {
	running := 0
	for _, b := range s.poolMembers(poolEngines) {
		running += int(b.running.Load())
	}
	return running
}
