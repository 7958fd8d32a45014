package placer

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"quinceridge.example/quinceridge/internal/admission"
	"quinceridge.example/quinceridge/internal/coordapi"
	"quinceridge.example/quinceridge/internal/state"
)

// Figures of a surge, in tokens, requests and tokens per ms.
const (
	contentionEngines  = 12
	contentionSlots    = 64
	contentionMemory   = 113_741
	contentionCommon   = 1500
	contentionShared   = 4800
	contentionOwn      = 2890
	contentionOutput   = 56
	contentionKeys     = 40
	contentionPrefill  = 92.0
	contentionTarget   = time.Second
	contentionAbandon  = 4 * time.Second
	contentionDuration = 400 * time.Millisecond
)

// contentionPhase is a number of requests per second until a time.
type contentionPhase struct {
	until     time.Duration
	perSecond float64
}

// link is a link that transfers one block after the other.
type link struct {
	rate float64
	free time.Duration
}

func (l *link) transfer(now time.Duration, tokens int) (done time.Duration) {
	l.free = max(l.free, now) + time.Duration(float64(tokens)/l.rate*float64(time.Millisecond))
	return l.free
}

// contentionEngine is an engine that processes prompts one after the other and keeps the shared parts that
// were used last.
type contentionEngine struct {
	busy    time.Duration
	link    link
	parts   []partKey
	running int
}

func (e *contentionEngine) has(key partKey) bool { return slices.Contains(e.parts, key) }

func (e *contentionEngine) use(key partKey) {
	if i := slices.Index(e.parts, key); i >= 0 {
		e.parts = slices.Delete(e.parts, i, i+1)
	}
	e.parts = append(e.parts, key)
	for len(e.parts)*contentionShared+e.running*(contentionOwn+contentionOutput) > contentionMemory && len(e.parts) > 1 {
		e.parts = e.parts[1:]
	}
}

// contentionRun plays requests with shared parts through a placer to engines and a store in virtual time.
type contentionRun struct {
	phases []contentionPhase
	// storeRate and peerRate are the tokens per ms of the links of the store and of each engine.
	storeRate, peerRate float64
	// storeTokens is the capacity of the store.
	storeTokens int
	// reloads is when all engines have new weights, 0 for never.
	reloads          time.Duration
	ignoreContention bool

	placer  *Placer
	engines map[string]*contentionEngine
	store   link
	// stored holds the parts in the store with the value of received at their last use.
	stored   map[partKey]int
	received int
	version  int
	events   contentionEvents
	order    int
	now      time.Duration
	asks     map[uint64]*coordapi.Place
	// arrivedAt is the time of arrival by number.
	arrivedAt map[uint64]time.Duration
	session   coordapi.Session
	read      map[partKey]bool
	replies   []coordapi.Placed
	contentionResult
}

// contentionResult is what callers got and what it took. Saves and fetches are numbers of requests, and
// again counts the shared tokens that were processed again.
type contentionResult struct {
	arrived, inTime, late, refused int
	queued                         int
	saves, fetches, peerFetches    int
	again                          int
	firstEvents                    []time.Duration
}

func (s *contentionResult) String() string {
	slices.Sort(s.firstEvents)
	return fmt.Sprintf("%d arrived: %d in time, %d late, %d refused, p50 %v, p99 %v; %d saves, %d store fetches, %d peer fetches, %d tokens again", s.arrived, s.inTime, s.late, s.refused,
		s.firstEvents[len(s.firstEvents)/2].Round(time.Millisecond), s.firstEvents[len(s.firstEvents)*99/100].Round(time.Millisecond), s.saves, s.fetches, s.peerFetches, s.again)
}

type contentionEvent struct {
	at    time.Duration
	order int
	do    func()
}

type contentionEvents []contentionEvent

func (e contentionEvents) Len() int { return len(e) }
func (e contentionEvents) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].order < e[j].order
}
func (e contentionEvents) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *contentionEvents) Push(x any)   { *e = append(*e, x.(contentionEvent)) }
func (e *contentionEvents) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

func (s *contentionRun) after(at time.Duration, do func()) {
	s.order++
	heap.Push(&s.events, contentionEvent{at, s.order, do})
}

func (s *contentionRun) rows() []state.Backend {
	rows := engines(contentionEngines)
	for i := range rows {
		rows[i].Slots, rows[i].Weights = contentionSlots, map[string]int{"m": s.version}
	}
	return rows
}

func (s *contentionRun) play(seed uint64) *contentionResult {
	random := rand.New(rand.NewPCG(seed, 1))
	s.placer, s.engines, s.version = New(nil), map[string]*contentionEngine{}, 1
	s.placer.ignoresContention = s.ignoreContention
	s.stored, s.read, s.store.rate = map[partKey]int{}, map[partKey]bool{}, s.storeRate
	s.asks, s.arrivedAt = map[uint64]*coordapi.Place{}, map[uint64]time.Duration{}
	s.placer.Apply(s.rows(), nil, true)
	for _, row := range s.rows() {
		s.engines[row.Address] = &contentionEngine{link: link{rate: s.peerRate}}
	}
	at := time.Second
	for _, phase := range s.phases {
		for at < phase.until {
			at += time.Duration(random.ExpFloat64() / phase.perSecond * float64(time.Second))
			key := fmt.Sprint("key-", int(contentionKeys*math.Pow(random.Float64(), 2)))
			s.after(at, func() { s.arrive(key) })
		}
	}
	if s.reloads > 0 {
		s.after(s.reloads, func() {
			s.version++
			s.placer.Apply(s.rows(), nil, false)
			for _, e := range s.engines {
				e.parts = nil
			}
		})
	}
	for next := time.Second; next < at+5*time.Second; next += 2 * time.Millisecond {
		s.after(next, s.step)
	}
	for len(s.events) > 0 {
		e := heap.Pop(&s.events).(contentionEvent)
		s.now = e.at
		e.do()
	}
	return &s.contentionResult
}

func (s *contentionRun) arrive(key string) {
	s.arrived++
	number := uint64(s.arrived)
	ask := &coordapi.Place{Router: "r", Number: number, Zone: "a", Pool: "llm", Model: "m", Key: key, Target: contentionTarget, Patience: contentionTarget / 2,
		Shared: contentionCommon + contentionShared, Own: contentionOwn, Most: contentionCommon + contentionShared + contentionOwn + contentionOutput, Slots: contentionSlots, Capacity: contentionMemory, Store: "s:1", StoreTokens: s.storeTokens,
		Parts:    []coordapi.Part{{Hash: 1, Tokens: contentionCommon}, {Hash: partHash(key), Tokens: contentionShared}},
		Queueing: coordapi.Queueing{Wait: true, Account: "t", Abandon: contentionAbandon, Deadline: contentionAbandon}}
	s.asks[number], s.arrivedAt[number] = ask, s.now
	placed := s.placer.Place(s.now, ask)
	if placed.Queued {
		s.queued++
		s.session = placed.Session
		return
	}
	s.placed(number, &placed)
}

// step serves the queue and collects outcomes.
func (s *contentionRun) step() {
	s.placer.Step(s.now)
	reply, ready, _ := s.placer.Await(s.now, s.now, &coordapi.Await{Router: "r", Session: s.session})
	s.session = reply.Session
	if !ready {
		return
	}
	s.placer.Await(s.now, s.now, &coordapi.Await{Router: "r", Session: s.session, Acknowledged: reply.Sequence})
	for i := range reply.Outcomes {
		s.placed(reply.Outcomes[i].Number, &reply.Outcomes[i].Placed)
	}
}

func (s *contentionRun) placed(number uint64, placed *coordapi.Placed) {
	s.replies = append(s.replies, *placed)
	if placed.ID == "" {
		s.refused++
		return
	}
	e, ask := s.engines[placed.Address], s.asks[number]
	e.running++
	sentAt, ready, version := s.now, s.now, placed.Version
	missing, fetched, lacks := 0, 0, false
	for _, part := range ask.Parts {
		key := partKey{part.Hash, version}
		switch {
		case !lacks && e.has(key):
		case !lacks && s.sourceHas(placed.Source, key):
			fetched += part.Tokens
		default:
			lacks = true
			missing += part.Tokens
			if s.read[key] {
				s.again += part.Tokens
			}
			s.read[key] = true
		}
		e.use(key)
	}
	if fetched > 0 {
		from := &s.store
		if placed.Source != ask.Store {
			from = &s.engines[placed.Source].link
			s.peerFetches++
		} else {
			s.fetches++
		}
		ready = from.transfer(s.now, fetched)
	}
	s.after(ready, func() {
		e.busy = max(e.busy, s.now) + time.Duration(float64(missing+contentionOwn)/contentionPrefill*float64(time.Millisecond))
		s.after(e.busy, func() { s.begun(number, sentAt, e) })
	})
	if placed.Save {
		s.saves++
		// The parts are available once they were transferred after prefill.
		s.after(e.busy, func() {
			s.received += contentionCommon + contentionShared + contentionOwn
			done := s.store.transfer(s.now, contentionCommon+contentionShared+contentionOwn)
			s.after(done, func() {
				for _, part := range ask.Parts {
					s.stored[partKey{part.Hash, version}] = s.received
				}
			})
		})
	}
}

func (s *contentionRun) sourceHas(source string, key partKey) bool {
	switch source {
	case "":
		return false
	case "s:1":
		usedAt, known := s.stored[key]
		if !known || s.received-usedAt >= s.storeTokens {
			return false
		}
		s.stored[key] = s.received
		return true
	}
	return s.engines[source].has(key)
}

// begun records the first event of a request that was sent at a time.
func (s *contentionRun) begun(number uint64, sentAt time.Duration, e *contentionEngine) {
	first := s.now - s.arrivedAt[number]
	s.firstEvents = append(s.firstEvents, first)
	if first <= contentionTarget {
		s.inTime++
	} else {
		s.late++
	}
	s.placer.ApplyReports(s.now, "r", &coordapi.Reports{Begun: []coordapi.Begun{{Number: number, First: s.now - sentAt}}})
	s.after(s.now+contentionDuration, func() {
		e.running--
		s.placer.ApplyReports(s.now, "r", &coordapi.Reports{Ended: []uint64{number}})
	})
}

// playSurges sums up the runs of some seeds.
func playSurges(seeds uint64, perSecond float64, ignoreContention bool) *contentionResult {
	sum := &contentionResult{}
	for seed := range seeds {
		s := &contentionRun{phases: []contentionPhase{{4 * time.Second, 200}, {9 * time.Second, perSecond}, {14 * time.Second, 200}}, storeRate: 300, peerRate: 200,
			storeTokens: 200_000, reloads: 5 * time.Second, ignoreContention: ignoreContention}
		r := s.play(seed)
		sum.arrived += r.arrived
		sum.inTime += r.inTime
		sum.late += r.late
		sum.refused += r.refused
		sum.saves += r.saves
		sum.fetches += r.fetches
		sum.peerFetches += r.peerFetches
		sum.again += r.again
		sum.firstEvents = append(sum.firstEvents, r.firstEvents...)
	}
	return sum
}

// Guards against saves and fetches that delay callers while there is too little capacity for all of
// them. The engines could process about 380 prompts per second if they read no shared part again.
func TestDeferredBackgroundWorkServesMoreInSurge(t *testing.T) {
	for _, perSecond := range []float64{450, 600} {
		before, after := playSurges(2, perSecond, true), playSurges(2, perSecond, false)
		t.Logf("%.0f per second, all saves and fetches: %v", perSecond, before)
		t.Logf("%.0f per second, deferred under contention: %v", perSecond, after)
		assert.Equal(t, after.arrived, before.arrived)
		assert.Equal(t, after.inTime+after.late+after.refused, after.arrived, "each request has one outcome")
		assert.Assert(t, float64(after.inTime) > 1.02*float64(before.inTime))
		assert.Assert(t, after.late < before.late)
		assert.Assert(t, float64(after.refused) < 1.02*float64(before.refused))
		assert.Assert(t, after.again < before.again)
		assert.Assert(t, after.saves < before.saves)
	}
}

// Without contention, replies must be the same as without the rules for it.
func TestBackgroundWorkIsUnchangedWithoutContention(t *testing.T) {
	for seed := range uint64(3) {
		play := func(ignore bool) *contentionRun {
			s := &contentionRun{phases: []contentionPhase{{6 * time.Second, 150}}, storeRate: 300, peerRate: 200, storeTokens: 200_000, ignoreContention: ignore}
			s.play(seed)
			return s
		}
		before, after := play(true), play(false)
		assert.Equal(t, after.queued, 0)
		assert.Assert(t, after.saves > 0 && after.fetches > 0, "%v", &after.contentionResult)
		assert.DeepEqual(t, after.replies, before.replies)
	}
}

// contend makes the pool contended for the next second.
func contend(p *Placer, now time.Duration) { p.countRefusal(now, admission.NoRoom) }

// Guards against saves that take the bandwidth of the store while callers wait, and against parts
// that remain unsaved afterwards.
func TestHeldPartsAreNotSavedUnderContention(t *testing.T) {
	p := newTestPlacer(4)
	now := time.Second
	number := uint64(0)
	saves := func(key string, shared bool) bool {
		number++
		ask := longPrompt("r", number, key)
		if !shared {
			// The store does not count as one that holds the parts.
			ask.Own = ask.Shared
		}
		return p.Place(now, ask).Save
	}
	assert.Assert(t, !saves("held", false), "mostly not shared")
	contend(p, now)
	assert.Assert(t, saves("new", true), "no engine holds it")
	assert.Assert(t, !saves("held", true))
	now += contendedTime
	assert.Assert(t, saves("held", true), "the contention is over")

	contend(p, now)
	q := p.query(now, longPrompt("r", 100, "gone"))
	p.Place(now, &coordapi.Place{Router: "r", Number: 100, Zone: "a", Pool: "llm", Model: "m", Key: "gone", Shared: 3800, Own: 3800, Most: 7600, Slots: 16, Capacity: 90000, Store: "s:1",
		Parts: []coordapi.Part{{Hash: partHash("gone"), Tokens: 3800}}})
	assert.Assert(t, !saves("gone", true))
	p.Apply(nil, []string{q.Holder(1)}, false)
	assert.Assert(t, saves("gone", true), "the engine that held it has left")
}

// Guards against requests that wait for a slow store or engine for longer than prefill takes while
// others wait for capacity.
func TestSlowFetchIsAvoidedUnderContention(t *testing.T) {
	// Prefill of the shared parts takes 157 ms at the initial rate of 40 tokens per ms. A fetch may
	// take twice as long without contention.
	const slow = 200 * time.Millisecond
	const store, peer, none = "store", "peer", ""
	for _, c := range []struct {
		name               string
		contended          bool
		store, peer, local time.Duration
		want               string
	}{
		{"no contention", false, slow, slow, 0, store},
		{"fast store", true, slow / 2, slow, 0, store},
		{"slow store", true, slow, slow / 2, 0, peer},
		{"both slow", true, slow, slow, 0, none},
		{"all requests wait as long", true, slow, slow, slow / 2, store},
	} {
		t.Run(c.name, func(t *testing.T) {
			p := newTestPlacer(4)
			now := time.Second
			first := p.Place(now, longPrompt("r", 1, "k"))
			assert.Assert(t, first.Save)
			for range 10 {
				p.parts.stores["s:1"].delay.Observe(now, c.store)
				p.peerDelay.Observe(now, c.peer)
				p.localDelay.Observe(now, c.local)
			}
			if c.contended {
				contend(p, now)
			}
			ask := longPrompt("r", 2, "k")
			ask.Tried = []string{first.ID}
			assert.Equal(t, p.Place(now, ask).Source, map[string]string{store: "s:1", peer: first.Address}[c.want])
		})
	}
}

// Guards against an expected delay of fetches that does not follow what requests observe.
func TestFetchDelaysAreObservedBySource(t *testing.T) {
	p := newTestPlacer(4)
	now := time.Second
	// The first request of a key fetches nothing, one at another engine fetches from the first.
	for i := range 20 {
		number := uint64(2*i + 1)
		ask := longPrompt("r", number, fmt.Sprint("key-", i))
		ask.Store = ""
		ask.Parts[0].Hash = coordapi.PartHash(i)
		first := p.Place(now, ask)
		assert.Equal(t, first.Source, "")
		again := *ask
		again.Number, again.Tried = number+1, []string{first.ID}
		assert.Equal(t, p.Place(now, &again).Source, first.Address)
		p.ApplyReports(now, "r", &coordapi.Reports{Begun: []coordapi.Begun{{Number: number, First: 20 * time.Millisecond}, {Number: number + 1, First: 2 * time.Second}}, Ended: []uint64{number, number + 1}})
	}
	assert.Assert(t, p.peerDelay.At(now) > 500*time.Millisecond, "%v", p.peerDelay.At(now))
	assert.Assert(t, p.localDelay.At(now) < 100*time.Millisecond, "%v", p.localDelay.At(now))
}
