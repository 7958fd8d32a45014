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

// Digests of parts in these tests; requests have higher ones.
const (
	partA Digest = iota + 1
	partB
	partC
	firstRequest Digest = 1 << 32
)

// prompt is a request with the parts of its prompt.
type prompt struct {
	request Digest
	parts   []Digest
}

var nextRequest = firstRequest

// newPrompt returns a request that no other is like.
func newPrompt(parts ...Digest) prompt {
	nextRequest++
	return prompt{nextRequest, parts}
}

// endUnder records that a back end ended while it ran requests, for 100 ms each.
func (w *fixture) endUnder(at time.Duration, backend string, prompts ...prompt) {
	w.signs[backend] = Liveness{LastHeartbeat: at - testHeartbeatInterval/2}
	for _, p := range prompts {
		w.detector.Record(at, FailedAttempt{Backend: backend, Request: p.request, Parts: p.parts, Down: true, Duration: 100 * time.Millisecond})
	}
}

// settle evaluates until all verdicts have waited for answers, and returns the blocked sets of parts.
func (w *fixture) settle(now time.Duration) [][]Digest {
	w.block(now)
	w.block(now + answerDelay)
	var out [][]Digest
	for _, b := range w.blocks {
		out = append(out, b.Parts)
	}
	return out
}

func TestPartAtThreeEndsIsBlocked(t *testing.T) {
	w := newFixture()
	w.endUnder(1*time.Second, "a", newPrompt(partA, 11), newPrompt(21))
	w.endUnder(2*time.Second, "b", newPrompt(12, partA), newPrompt(21, 22))
	assert.Equal(t, len(w.settle(2*time.Second)), 0)
	assert.Assert(t, slices.Contains(w.evaluate(2*time.Second).Suspects, partA))
	w.endUnder(3*time.Second, "c", newPrompt(partA, 13))
	assert.DeepEqual(t, w.settle(3*time.Second), [][]Digest{{partA}})
}

// What always came along with a part is blocked together with it, and not alone.
func TestPartsThatAlwaysComeTogetherAreBlockedTogether(t *testing.T) {
	w := newFixture()
	for i := range 3 {
		w.endUnder(time.Duration(i+1)*time.Second, fmt.Sprint(i), newPrompt(partA, partB, Digest(100+i)))
	}
	assert.DeepEqual(t, w.settle(4*time.Second), [][]Digest{{partA, partB}})
	var x Index
	x.Add(0, w.blocks[0].ID, w.blocks[0].Parts)
	for _, c := range []struct {
		parts   []Digest
		blocked bool
	}{{[]Digest{partA, partB}, true}, {[]Digest{7, partB, 8, partA}, true}, {[]Digest{partA}, false}, {[]Digest{partB, 7}, false}, {nil, false}} {
		_, found := x.Find(firstRequest, func() []Digest { return c.parts })
		assert.Equal(t, found, c.blocked, "%v", c.parts)
	}
}

// One further end without one of the parts narrows the block, and the other part stays free.
func TestBlockIsNarrowedByEndWithoutOnePart(t *testing.T) {
	w := newFixture()
	for i := range 3 {
		w.endUnder(time.Duration(i+1)*time.Second, fmt.Sprint(i), newPrompt(partA, partB))
	}
	w.settle(4 * time.Second)
	w.endUnder(5*time.Second, "without b", newPrompt(partA, 50))
	assert.DeepEqual(t, w.settle(5*time.Second), [][]Digest{{partA, partB}, {partA}})
	w.endUnder(6*time.Second, "other cause", newPrompt(partB, 51))
	assert.Equal(t, len(w.settle(6*time.Second)), 2)
}

// A part on which engines have answered is not blocked together with one that came along with it.
func TestAnsweredPartIsLeftOutOfBlock(t *testing.T) {
	w := newFixture()
	w.detector.MarkAnswered(500*time.Millisecond, partB)
	for i := range 3 {
		w.endUnder(time.Duration(i+1)*time.Second, fmt.Sprint(i), newPrompt(partA, partB))
	}
	assert.DeepEqual(t, w.settle(4*time.Second), [][]Digest{{partA}})
}

// A common part stands at every end. Answers on it, before the ends or between them, keep it free.
func TestAnsweredCommonPartIsNotBlocked(t *testing.T) {
	for _, every := range []int{0, 1, 4} {
		w := newFixture()
		w.detector.MarkAnswered(500*time.Millisecond, partB)
		for i := range 40 {
			at := time.Duration(i+1) * time.Second
			w.endUnder(at, fmt.Sprint(i), newPrompt(partB, Digest(100+i)), newPrompt(partB, Digest(200+i)))
			if every > 0 && i%every == 0 {
				w.detector.MarkAnswered(at+time.Millisecond, partB)
			}
			if blocked := w.settle(at); every > 0 {
				assert.Equal(t, len(blocked), 0)
			}
		}
		if every == 0 {
			assert.DeepEqual(t, w.settle(time.Minute), [][]Digest{{partB}})
		}
	}
}

// A part must have been announced as a suspect before it is blocked, so that answers on it are known.
func TestVerdictWaitsForAnswers(t *testing.T) {
	w := newFixture()
	for i := range 3 {
		w.endUnder(time.Duration(i+1)*time.Second, fmt.Sprint(i), newPrompt(partA))
	}
	assert.Assert(t, w.evaluate(4*time.Second).Waiting)
	assert.Equal(t, len(w.block(4*time.Second)), 0)
	w.detector.MarkAnswered(4*time.Second+answerDelay/2, partA)
	assert.Equal(t, len(w.settle(4*time.Second+answerDelay)), 0)
}

// Many requests with one part are at the ends of a moment, whatever its cause.
func TestEndsOfOneMomentDoNotBlockPart(t *testing.T) {
	w := newFixture()
	for i := range 30 {
		w.endUnder(time.Second+time.Duration(i)*time.Millisecond, fmt.Sprint(i), newPrompt(partA), newPrompt(partA, 70))
	}
	assert.Equal(t, len(w.settle(2*time.Second)), 0)
}

// Of a third of a pool, gone at once with 48 requests on each engine, no part is blocked, also while a
// part ends others.
func TestRackLossBesideCrashingPartBlocksNoSoundPart(t *testing.T) {
	for seed := range uint64(20) {
		r := rand.New(rand.NewPCG(seed, 5))
		w := newFixture()
		popular := rand.NewZipf(r, 1.1, 1, 2000)
		sound := func() prompt {
			return newPrompt(100+Digest(popular.Uint64())%5, 200+Digest(popular.Uint64()), 3000+Digest(popular.Uint64()))
		}
		var beside []prompt
		for range 48 {
			beside = append(beside, sound())
		}
		w.endUnder(time.Second, "first", append(beside, newPrompt(partA, 100))...)
		for i := range 24 {
			var running []prompt
			for range 48 {
				running = append(running, sound())
			}
			w.endUnder(1500*time.Millisecond, fmt.Sprint("rack-", i), running...)
		}
		w.settle(1600 * time.Millisecond)
		// Answers of the engines that are left. They reach the common parts only.
		for d := range Digest(30) {
			w.detector.MarkAnswered(2*time.Second, 100+d%5)
			w.detector.MarkAnswered(2*time.Second, 200+d)
			w.detector.MarkAnswered(2*time.Second, 3000+d)
		}
		for i := range 5 {
			at := time.Duration(3+i) * time.Second
			w.endUnder(at, fmt.Sprint("later-", i), newPrompt(100, partA, 200), sound(), sound(), sound())
			w.settle(at)
		}
		for _, b := range w.blocks {
			assert.DeepEqual(t, b.Parts, []Digest{partA})
		}
		assert.Equal(t, len(w.blocks), 1, "seed %d", seed)
	}
}

// A neighbour met the same ends. The one with the shorter runs is blocked, and the other is not.
func TestNeighbourOfCrashingPartIsNotBlocked(t *testing.T) {
	w := newFixture()
	for i := range 5 {
		at, id := time.Duration(i+1)*time.Second, fmt.Sprint(i)
		w.endUnder(at, id, newPrompt(partB))
		neighbour := newPrompt(partA)
		w.detector.Record(at, FailedAttempt{Backend: id, Request: neighbour.request, Parts: neighbour.parts, Down: true, Duration: 900 * time.Millisecond})
		if blocked := w.settle(at); i < 4 {
			assert.Equal(t, len(blocked), 0)
		}
	}
	assert.DeepEqual(t, w.settle(6*time.Second), [][]Digest{{partB}})
	assert.Equal(t, len(w.blocks), 1)
}

// If the neighbour is blocked by mistake, a further end under the other part refutes its block.
func TestBlockOfNeighbourIsRefuted(t *testing.T) {
	w := newFixture()
	for i := range 5 {
		at, id := time.Duration(i+1)*time.Second, fmt.Sprint(i)
		w.endUnder(at, id, newPrompt(partA))
		crashing := newPrompt(partB)
		w.detector.Record(at, FailedAttempt{Backend: id, Request: crashing.request, Parts: crashing.parts, Down: true, Duration: 900 * time.Millisecond})
		w.settle(at)
	}
	assert.DeepEqual(t, w.settle(6*time.Second), [][]Digest{{partA}})
	w.endUnder(7*time.Second, "further", newPrompt(partB))
	assert.DeepEqual(t, w.settle(7*time.Second), [][]Digest{{partA}, {partB}})
	assert.DeepEqual(t, w.evaluate(8*time.Second).Refuted, []Digest{partA})
}

// Only an attempt that began while the block was in force confirms it.
func TestEndUnderBlockInForceConfirmsIt(t *testing.T) {
	w := newFixture()
	for i := range 3 {
		w.endUnder(time.Duration(i+1)*time.Second, fmt.Sprint(i), newPrompt(partA))
	}
	w.settle(4 * time.Second)
	assert.Equal(t, len(w.blocks), 1)
	w.blocks[0].Since = 4 * time.Second
	w.endUnder(4*time.Second+50*time.Millisecond, "begun before", newPrompt(partA))
	w.endUnder(5*time.Second, "another part", newPrompt(partB))
	assert.Equal(t, len(w.evaluate(5*time.Second).Confirmed), 0)
	w.endUnder(6*time.Second, "trial", newPrompt(partA))
	assert.DeepEqual(t, w.evaluate(6*time.Second).Confirmed, []Digest{partA})
	assert.Equal(t, len(w.settle(6*time.Second)), 1)
}

// A block of parts is doubtful if the ends may have had another cause.
func TestBlockIsDoubtfulIfEndsMayHaveAnotherCause(t *testing.T) {
	for name, c := range map[string]struct {
		beside   func(w *fixture, at time.Duration, backend string) []prompt
		doubtful bool
	}{
		"alone": {func(*fixture, time.Duration, string) []prompt { return nil }, false},
		"beside others": {func(*fixture, time.Duration, string) []prompt {
			return []prompt{newPrompt(nextRequest), newPrompt(nextRequest)}
		}, false},
		"common": {func(*fixture, time.Duration, string) []prompt {
			return []prompt{newPrompt(partA, nextRequest), newPrompt(nextRequest)}
		}, true},
		"as many without it": {func(w *fixture, at time.Duration, backend string) []prompt {
			w.endUnder(at+300*time.Millisecond, "without "+backend, newPrompt())
			return nil
		}, true},
		"a rack without it": {func(w *fixture, at time.Duration, _ string) []prompt {
			for i := range 6 {
				w.endUnder(2500*time.Millisecond, fmt.Sprint("rack-", i), newPrompt())
			}
			return nil
		}, false},
	} {
		t.Run(name, func(t *testing.T) {
			w := newFixture()
			for i := range 3 {
				at, backend := time.Duration(i+1)*time.Second, fmt.Sprint(i)
				w.endUnder(at, backend, append(c.beside(w, at, backend), newPrompt(partA))...)
			}
			w.evaluate(4 * time.Second)
			verdicts := w.evaluate(4*time.Second + answerDelay).Verdicts
			assert.Equal(t, len(verdicts), 1)
			assert.DeepEqual(t, verdicts[0].Parts, []Digest{partA})
			assert.Equal(t, verdicts[0].Doubtful, c.doubtful)
		})
	}
}

// All blocks that apply to a request are found.
func TestIndexFindsAllBlocks(t *testing.T) {
	var x Index
	x.Add(0, 500, []Digest{partA})
	x.Add(1, 501, []Digest{partA, partB})
	x.Add(2, firstRequest, nil)
	for _, c := range []struct {
		request Digest
		parts   []Digest
		found   []int
	}{{firstRequest, []Digest{partB, partA}, []int{0, 1, 2}}, {firstRequest + 1, []Digest{partA, partC}, []int{0}}, {firstRequest + 1, []Digest{partB}, nil}} {
		assert.DeepEqual(t, x.All(c.request, func() []Digest { return c.parts }), c.found)
	}
}

// A whole request that is sent again is blocked as one, and its parts stay free for others.
func TestRepeatedRequestDoesNotBlockItsParts(t *testing.T) {
	w := newFixture()
	again := newPrompt(partA, partB)
	for i := range 3 {
		w.endUnder(time.Duration(i+1)*time.Second, fmt.Sprint(i), again, newPrompt(Digest(30+i)))
	}
	w.settle(4 * time.Second)
	assert.Equal(t, len(w.blocks), 1)
	assert.Equal(t, w.blocks[0].ID, again.request)
	assert.Equal(t, len(w.blocks[0].Parts), 0)
	w.endUnder(5*time.Second, "by chance", newPrompt(partA, 60))
	w.settle(5 * time.Second)
	assert.Equal(t, len(w.blocks), 1)
	w.endUnder(6*time.Second, "again", newPrompt(partA, 61))
	assert.DeepEqual(t, w.settle(6*time.Second), [][]Digest{nil, {partA}})
}

func TestTwoCrashingPartsAreBothBlocked(t *testing.T) {
	w := newFixture()
	for i := range 6 {
		part := []Digest{partA, partB}[i%2]
		w.endUnder(time.Duration(i+1)*300*time.Millisecond, fmt.Sprint(i), newPrompt(part, Digest(40+i)), newPrompt(Digest(50+i)))
		w.settle(time.Duration(i+1) * 300 * time.Millisecond)
	}
	assert.DeepEqual(t, w.settle(3*time.Second), [][]Digest{{partA}, {partB}})
}

// The order of the reports does not matter, and a report that is repeated counts once.
func TestVerdictDoesNotDependOnOrderOfReports(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		type report struct {
			at time.Duration
			e  FailedAttempt
		}
		var reports []report
		for i := range rapid.IntRange(3, 12).Draw(t, "ends") {
			for n := range rapid.IntRange(1, 4).Draw(t, "requests") {
				parts := rapid.SliceOfNDistinct(rapid.Uint64Range(1, 6), 1, 4, rapid.ID[uint64]).Draw(t, "parts")
				e := FailedAttempt{Backend: fmt.Sprint(i), Request: Digest(1000 + 10*i + n), Down: true, Duration: time.Duration(n+1) * 50 * time.Millisecond}
				for _, part := range parts {
					e.Parts = append(e.Parts, Digest(part))
				}
				reports = append(reports, report{time.Duration(i) * 500 * time.Millisecond, e})
			}
		}
		answered := rapid.SliceOfN(rapid.Uint64Range(1, 6), 0, 3).Draw(t, "answered")
		judge := func(order []report) []Block {
			w := newFixture()
			for _, x := range order {
				w.signs[x.e.Backend] = Liveness{LastHeartbeat: x.at}
				e := x.e
				e.Age = 10*time.Second - x.at
				w.detector.Record(10*time.Second, e)
			}
			for _, part := range answered {
				w.detector.MarkAnswered(time.Second, Digest(part))
			}
			w.settle(10 * time.Second)
			return w.blocks
		}
		first := judge(reports)
		shuffled := rapid.Permutation(append(slices.Clone(reports), reports...)).Draw(t, "order")
		assert.DeepEqual(t, judge(shuffled), first)
	})
}

// One caller may name parts as it likes: of any number, the same twice.
func TestReportsWithManyPartsAreBounded(t *testing.T) {
	w := newFixture()
	var many []Digest
	for i := range Digest(1000) {
		many = append(many, i%700+1)
	}
	for i := range 3 {
		w.endUnder(time.Duration(i+1)*time.Second, fmt.Sprint(i), newPrompt(many...))
	}
	assert.Assert(t, len(w.detector.subjects) <= 3*(MaxParts+1))
	w.settle(4 * time.Second)
	assert.Assert(t, len(w.evaluate(5*time.Second).Suspects) <= maxSuspectedParts)
}

// Reports of parts that no other request has do not displace the evidence against one that has ended
// two back ends.
func TestManyNamesDoNotDisplaceEvidence(t *testing.T) {
	w := newFixture()
	w.endUnder(1*time.Second, "a", newPrompt(partA))
	w.endUnder(2*time.Second, "b", newPrompt(partA))
	name := Digest(1 << 40)
	for i := range 2 * maxSubjects / MaxParts {
		p := newPrompt()
		for range MaxParts {
			name++
			p.parts = append(p.parts, name)
		}
		w.endUnder(3*time.Second+time.Duration(i)*time.Millisecond, "flood", p)
		assert.Assert(t, len(w.detector.subjects) <= maxSubjects+MaxParts+1)
	}
	w.endUnder(5*time.Second, "c", newPrompt(partA))
	assert.DeepEqual(t, w.settle(5*time.Second), [][]Digest{{partA}})
}

// rackLoss returns a Detector with 900 attempts of six parts each that failed with a rack, some of them
// common, and one that failed again elsewhere.
func rackLoss(parts int) *fixture {
	r := rand.New(rand.NewPCG(1, 1))
	popular := rand.NewZipf(r, 1.2, 2, 3999)
	w := newFixture()
	again := newPrompt()
	for i := range 900 {
		p := newPrompt()
		if i == 0 {
			p = again
		}
		for depth := range parts {
			p.parts = append(p.parts, Digest(10000*(depth+1))+Digest(popular.Uint64()))
		}
		w.endUnder(time.Second, fmt.Sprint("rack-", i/40), p)
	}
	w.endUnder(2*time.Second, "other", again)
	return w
}

// The report and the evaluation of 900 failed attempts.
func BenchmarkEvaluateParts(b *testing.B) {
	for _, parts := range []int{0, 6} {
		w := rackLoss(parts)
		b.Run(fmt.Sprintf("parts=%d", parts), func(b *testing.B) {
			for range b.N {
				w.evaluate(2 * time.Second)
			}
		})
		b.Run(fmt.Sprintf("record,parts=%d", parts), func(b *testing.B) {
			for range b.N {
				rackLoss(parts)
			}
		})
	}
}

// The look-up of a request among what is blocked, and the digests of its parts.
func BenchmarkFind(b *testing.B) {
	for _, blocked := range []int{0, 1, 1000} {
		var x Index
		for i := range blocked {
			x.Add(i, Digest(1e6+i), []Digest{Digest(1e6 + i)})
		}
		for _, parts := range []int{2, 8, 64} {
			var names []string
			for i := range parts {
				names = append(names, fmt.Sprintf("5c1e07a2%04d", i))
			}
			b.Run(fmt.Sprintf("blocked=%d,parts=%d", blocked, parts), func(b *testing.B) {
				for range b.N {
					x.Find(firstRequest, func() []Digest {
						digests := make([]Digest, len(names))
						for i, name := range names {
							digests[i] = PartDigest("", name)
						}
						return digests
					})
				}
			})
		}
	}
}

// In random histories of ends and answers a part that is answered after its last end is never blocked,
// and one that stands alone at enough ends, and is never answered, always is.
func TestBlocksOfPartsKeepPromiseInRandomHistories(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newFixture()
		lastEnd, lastAnswer := map[Digest]time.Duration{}, map[Digest]time.Duration{}
		crashingEnds := 0
		now := time.Duration(0)
		for i := range rapid.IntRange(1, 40).Draw(t, "events") {
			now += time.Duration(rapid.IntRange(20, 1500).Draw(t, "pause")) * time.Millisecond
			sound := rapid.SliceOfNDistinct(rapid.Uint64Range(10, 16), 0, 3, rapid.ID[uint64]).Draw(t, "sound")
			var parts []Digest
			for _, part := range sound {
				parts = append(parts, Digest(part))
			}
			switch rapid.IntRange(0, 2).Draw(t, "event") {
			case 0:
				for _, part := range parts {
					w.detector.MarkAnswered(now, part)
					lastAnswer[part] = now
				}
			case 1:
				w.endUnder(now, fmt.Sprint("crash-", i), newPrompt(append(slices.Clone(parts), partA)...))
				crashingEnds++
			default:
				w.endUnder(now, fmt.Sprint("other-", i), newPrompt(parts...))
			}
			for _, part := range parts {
				if lastAnswer[part] != now {
					lastEnd[part] = now
				}
			}
			before := len(w.blocks)
			w.settle(now)
			for _, b := range w.blocks[before:] {
				for _, part := range b.Parts {
					if part != partA && lastAnswer[part] > lastEnd[part] {
						t.Fatalf("part %d was blocked at %v, answered at %v and last seen at an end at %v", part, now, lastAnswer[part], lastEnd[part])
					}
				}
			}
		}
		// Each end with the part has been at another time, so that few are left out as simultaneous.
		blocked := slices.ContainsFunc(w.blocks, func(b Block) bool { return b.concerns(partA) })
		if crashingEnds >= 2*endsToBlockAlways && !blocked {
			t.Fatalf("the part is not blocked after %d ends", crashingEnds)
		}
	})
}

// Evidence must not be evaluated for good once it is outdated.
func TestOutdatedEvidenceIsRemoved(t *testing.T) {
	w := newFixture()
	w.endUnder(1*time.Second, "a", newPrompt(partA, partB))
	w.endUnder(2*time.Second, "b", newPrompt(partA, partC))
	w.evaluate(3 * time.Second)
	assert.Equal(t, len(w.detector.subjects), 5)
	assert.Equal(t, len(w.evaluate(2*time.Second+EvidenceTTL+expiryInterval).Suspects), 0)
	assert.Equal(t, len(w.detector.subjects), 0)
}
