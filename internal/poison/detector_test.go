package poison

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

const testHeartbeatInterval = 1200 * time.Millisecond

// fixture is a Detector with the state of a leader.
type fixture struct {
	detector *Detector
	signs    map[string]Liveness
	blocked  map[Digest]bool
	// blocks are the blocks in force.
	blocks []Block
}

func newFixture() *fixture {
	return &fixture{detector: NewDetector(testHeartbeatInterval), signs: map[string]Liveness{}, blocked: map[Digest]bool{}}
}

// endBackend records that a back end ended while it ran the given requests.
func (w *fixture) endBackend(at time.Duration, backend string, requests ...Digest) {
	w.signs[backend] = Liveness{LastHeartbeat: at - testHeartbeatInterval/2}
	for _, d := range requests {
		w.detector.Record(at, FailedAttempt{Backend: backend, Request: d, Down: true, Duration: 100 * time.Millisecond})
	}
}

// block blocks the requests that Evaluate returns, and returns them.
func (w *fixture) block(now time.Duration) []Digest {
	var out []Digest
	for _, v := range w.evaluate(now).Verdicts {
		w.blocked[v.ID] = true
		w.blocks = append(w.blocks, v.Block)
		out = append(out, v.ID)
	}
	return out
}

func (w *fixture) evaluate(now time.Duration) Findings {
	return w.detector.Evaluate(now, func(id string) Liveness { return w.signs[id] }, w.blocks)
}

func TestThreeEndsBlockRequest(t *testing.T) {
	w := newFixture()
	w.endBackend(1*time.Second, "a", 1, 2, 3, 4)
	w.endBackend(2*time.Second, "b", 1, 5, 2)
	assert.Equal(t, len(w.block(2*time.Second)), 0)
	assert.DeepEqual(t, w.evaluate(2*time.Second).Suspects, []Digest{1, 2})
	w.endBackend(3*time.Second, "c", 6, 1)
	assert.DeepEqual(t, w.evaluate(3*time.Second).Verdicts, []Verdict{{Block: Block{ID: 1, Backends: []string{"a", "b", "c"}}}})
}

// Reports may be lost and repeated, and each router with a copy of the request sends one.
func TestRepeatedReportsCountOnce(t *testing.T) {
	w := newFixture()
	for range 5 {
		w.endBackend(time.Second, "a", 1)
	}
	w.detector.Record(2*time.Second, FailedAttempt{Backend: "a", Request: 1, Age: time.Second, Down: true})
	assert.Equal(t, len(w.block(2*time.Second)), 0)
}

// The loss of a rack ends many requests at once; none of them is the cause.
func TestRackLossBlocksNoRequest(t *testing.T) {
	w := newFixture()
	request := Digest(1)
	for i := range 30 {
		for range 15 {
			w.endBackend(time.Second, fmt.Sprint("rack-", i), request)
			request++
		}
	}
	assert.Equal(t, len(w.block(2*time.Second)), 0)
}

// Back ends end one after the other for another cause, and a retried request meets several of
// them.
func TestSuccessiveCrashesBlockNoRequest(t *testing.T) {
	w := newFixture()
	request := Digest(1000)
	for i := range 40 {
		at := time.Duration(i) * 400 * time.Millisecond
		w.endBackend(at, fmt.Sprint("engine-", i), request, request+1, 1)
		// Each request is tried four times at most; request 2 meets an end each time.
		if i >= 18 && i < 22 {
			w.endBackend(at, fmt.Sprint("engine-", i), 2)
		}
		request += 2
		if i == 3 {
			w.detector.MarkHarmless(at+1, 1)
		}
	}
	assert.Assert(t, !slices.Contains(w.block(20*time.Second), Digest(2)))
}

// A back end that only breaks responses off continues to send heartbeats.
func TestHeartbeatAfterFailureIsNoEnd(t *testing.T) {
	w := newFixture()
	for i, id := range []string{"a", "b", "c", "d"} {
		at := time.Duration(i) * 2 * time.Second
		w.detector.Record(at, FailedAttempt{Backend: id, Request: 1, Down: true})
		w.signs[id] = Liveness{LastHeartbeat: at + 1100*time.Millisecond}
	}
	assert.Equal(t, len(w.block(10*time.Second)), 0)
	// A back end that still accepts connections is not known to have ended,
	w = newFixture()
	for _, id := range []string{"a", "b", "c", "d"} {
		w.detector.Record(time.Second, FailedAttempt{Backend: id, Request: 1})
		w.signs[id] = Liveness{LastHeartbeat: 500 * time.Millisecond}
	}
	assert.Equal(t, len(w.block(time.Second)), 0)
	// until another instance is registered at its address.
	for id := range w.signs {
		w.signs[id] = Liveness{LastHeartbeat: 500 * time.Millisecond, Gone: true}
	}
	assert.DeepEqual(t, w.block(3*time.Second), []Digest{1})
}

// A delayed heartbeat arrives after the successor has registered.
func TestDelayedHeartbeatIsIgnored(t *testing.T) {
	w := newFixture()
	for i, id := range []string{"a", "b", "c"} {
		w.endBackend(time.Duration(i)*time.Second, id, 1)
		w.signs[id] = Liveness{LastHeartbeat: time.Duration(i+3) * time.Second, Gone: true}
	}
	assert.DeepEqual(t, w.block(10*time.Second), []Digest{1})
}

// The loss of a machine closes no connections. Only an attempt that began before the last
// heartbeat interval ended and was cancelled after it can be the cause.
func TestSilenceCountsAsEndOnceBackendIsGone(t *testing.T) {
	cases := map[string]struct {
		ended   FailedAttempt
		signs   Liveness
		blocked bool
	}{
		"silent and gone":             {FailedAttempt{Age: 0, Duration: 5 * time.Second}, Liveness{LastHeartbeat: 6 * time.Second, Gone: true}, true},
		"silent, not gone":            {FailedAttempt{Duration: 5 * time.Second}, Liveness{LastHeartbeat: 6 * time.Second}, false},
		"heartbeat after the failure": {FailedAttempt{Duration: 5 * time.Second}, Liveness{LastHeartbeat: 9500 * time.Millisecond, Gone: true}, false},
		"cancelled before the end":    {FailedAttempt{Age: 4 * time.Second, Duration: time.Second}, Liveness{LastHeartbeat: 6 * time.Second, Gone: true}, false},
		"begun after the end":         {FailedAttempt{Duration: 2 * time.Second}, Liveness{LastHeartbeat: 6 * time.Second, Gone: true}, false},
		"announced end":               {FailedAttempt{Duration: 5 * time.Second}, Liveness{LastHeartbeat: 6 * time.Second, Gone: true, Departing: true}, false},
		"no heartbeat received":       {FailedAttempt{Duration: 5 * time.Second}, Liveness{LastHeartbeat: NoHeartbeat, Gone: true}, false},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			w := newFixture()
			for _, id := range []string{"a", "b", "c"} {
				ended := c.ended
				ended.Backend, ended.Request, ended.Silent = id, 1, true
				w.detector.Record(10*time.Second, ended)
				w.signs[id] = c.signs
			}
			assert.Equal(t, len(w.block(10*time.Second)) > 0, c.blocked)
		})
	}
}

// A common request meets each end of a back end by chance. Complete responses show that it is
// harmless.
func TestCompleteResponseClearsSuspect(t *testing.T) {
	w := newFixture()
	for i := range 20 {
		at := time.Duration(i) * 10 * time.Second
		w.endBackend(at, fmt.Sprint("engine-", i), 1, Digest(100+i))
		if slices.Contains(w.evaluate(at).Suspects, Digest(1)) {
			w.detector.MarkHarmless(at+time.Second, 1)
		}
		assert.Equal(t, len(w.block(at)), 0)
	}
}

// An end that is attributed to a blocked request does not count against others.
func TestAttributedEndsDoNotCountAgainstOthers(t *testing.T) {
	w := newFixture()
	w.endBackend(1*time.Second, "a", 1, 2)
	w.endBackend(2*time.Second, "b", 1, 2)
	w.endBackend(3*time.Second, "c", 1)
	assert.DeepEqual(t, w.block(3*time.Second), []Digest{1})
	w.endBackend(4*time.Second, "d", 2, 3)
	w.endBackend(5*time.Second, "e", 2, 3)
	assert.Equal(t, len(w.block(5*time.Second)), 0)
	w.endBackend(6*time.Second, "f", 2)
	assert.DeepEqual(t, w.block(6*time.Second), []Digest{2})
}

// A further end distinguishes two requests that met the same three ends.
func TestIndistinguishableRequestsNeedAnotherEnd(t *testing.T) {
	w := newFixture()
	for i, id := range []string{"a", "b", "c"} {
		w.endBackend(time.Duration(i)*time.Second, id, 1, 2)
	}
	assert.Equal(t, len(w.block(3*time.Second)), 0)
	w.endBackend(4*time.Second, "d", 2)
	assert.DeepEqual(t, w.block(4*time.Second), []Digest{2})
}

func TestEvidenceExpires(t *testing.T) {
	w := newFixture()
	w.endBackend(1*time.Second, "a", 1)
	w.endBackend(2*time.Second, "b", 1)
	w.endBackend(2*time.Second+EvidenceTTL, "c", 1)
	assert.Equal(t, len(w.block(2*time.Second+EvidenceTTL)), 0)
	for d := Digest(10); d < 10+3*maxSubjects; d++ {
		w.endBackend(time.Hour+time.Duration(d)*time.Millisecond, "x", d)
		assert.Assert(t, len(w.detector.subjects) <= maxSubjects)
	}
}

// Poison requests are resent to a pool of engines, beside streams that are resumed elsewhere.
// Each poison request is blocked within six ends, and no other request is blocked.
func TestOnlyPoisonRequestsAreBlocked(t *testing.T) {
	blockedHarmless, ends, poisons := 0, 0, 0
	for seed := range uint64(200) {
		r := rand.New(rand.NewPCG(seed, 1))
		result := simulatePoison(r, 1+int(seed%4), 12+int(seed%3)*30)
		blockedHarmless += result.harmlessBlocked
		ends += result.ends
		poisons += result.poisons
		assert.Assert(t, result.begunAfter < endsToBlockAlways, "seed %d: a request began after %d ends under it", seed, result.begunAfter)
	}
	t.Logf("%d poison requests ended %d back ends; %d harmless ones were blocked", poisons, ends, blockedHarmless)
	assert.Equal(t, blockedHarmless, 0)
}

type simulationResult struct {
	poisons, ends, harmlessBlocked int
	// begunAfter is the largest number of ends under a poison request after which it was sent
	// again, where copies of it may run at the same time.
	begunAfter int
}

// simulatePoison simulates ten seconds in steps of 10 ms. Requests above 1000 are harmless;
// each lasts up to 1.5 s and is tried up to four times.
func simulatePoison(r *rand.Rand, poisons, engines int) simulationResult {
	type run struct {
		d     Digest
		until time.Duration
		tries int
	}
	w := newFixture()
	result := simulationResult{poisons: poisons}
	under := map[Digest]int{}
	running := make([][]run, engines)
	down := make([]time.Duration, engines)
	starts := make([]int, engines)
	next := Digest(1000)
	begin := func(now time.Duration, x run) {
		for range 4 * engines {
			if i := r.IntN(engines); now >= down[i] {
				x.until = now + 100*time.Millisecond + time.Duration(r.Int64N(int64(1400*time.Millisecond)))
				running[i] = append(running[i], x)
				return
			}
		}
	}
	for now := time.Duration(0); now < 10*time.Second; now += 10 * time.Millisecond {
		for range engines / 8 {
			if r.IntN(3) == 0 {
				next++
				begin(now, run{d: next})
			}
		}
		for p := range poisons {
			if d := Digest(p + 1); r.IntN(50) == 0 && !w.blocked[d] {
				begin(now, run{d: d})
				result.begunAfter = max(result.begunAfter, under[d])
			}
		}
		for i := range running {
			var broken []run
			if n := slices.IndexFunc(running[i], func(x run) bool { return x.d < 1000 && r.IntN(10) == 0 }); n >= 0 {
				broken = running[i]
				under[broken[n].d]++
			}
			if broken == nil {
				running[i] = slices.DeleteFunc(running[i], func(x run) bool { return x.d >= 1000 && x.until <= now })
				continue
			}
			result.ends++
			running[i], down[i] = nil, now+3*time.Second
			starts[i]++
			for _, x := range broken {
				w.endBackend(now, fmt.Sprintf("%d#%d", i, starts[i]), x.d)
				if x.d >= 1000 && x.tries < 3 && r.IntN(2) == 0 {
					begin(now, run{d: x.d, tries: x.tries + 1})
				}
			}
		}
		for _, d := range w.block(now) {
			if d >= 1000 {
				result.harmlessBlocked++
			}
		}
	}
	return result
}

// No request is blocked before the minimum number of ends, and each one is blocked at the
// maximum number of unattributed ends.
func TestEndsToBlockAreBounded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newFixture()
		under := map[Digest]map[string]bool{}
		for i := range rapid.IntRange(1, 40).Draw(t, "ends") {
			id := fmt.Sprint("e", i)
			requests := rapid.SliceOfNDistinct(rapid.Uint64Range(1, 12), 1, 5, rapid.ID[uint64]).Draw(t, "requests")
			for _, d := range requests {
				w.endBackend(time.Duration(i)*300*time.Millisecond, id, Digest(d))
				if under[Digest(d)] == nil {
					under[Digest(d)] = map[string]bool{}
				}
				under[Digest(d)][id] = true
			}
			for _, d := range w.block(time.Duration(i) * 300 * time.Millisecond) {
				if len(under[d]) < endsToBlock {
					t.Fatalf("%d was blocked after %d ends", d, len(under[d]))
				}
			}
			for d := range under {
				alone := 0
				for id := range under[d] {
					explained := false
					for other := range w.blocked {
						explained = explained || under[other][id]
					}
					if !explained {
						alone++
					}
				}
				if alone >= endsToBlock+maxExtraEnds && !w.blocked[d] {
					t.Fatalf("%d was not blocked after %d ends", d, alone)
				}
			}
		}
	})
}

// 900 requests that ended with a rack, one of them for the second time.
func BenchmarkEvaluate(b *testing.B) {
	w := newFixture()
	for i := range 900 {
		w.endBackend(time.Second, fmt.Sprint("rack-", i/40), Digest(i+1))
	}
	w.endBackend(2*time.Second, "other", 1)
	for range b.N {
		w.block(2 * time.Second)
	}
}
