package backends

import (
	"cmp"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cespare/xxhash/v2"
)

// weightedRows returns rows with the given weights.
func weightedRows(weights []float64) []candidate {
	var out []candidate
	for i, weight := range weights {
		r := &row{hash: xxhash.Sum64String(fmt.Sprint("10.0.0.1:", i))}
		r.ID = fmt.Sprintf("e%03d", i)
		r.pace.home.steps = int(math.Round((weight - 1) / homeStep))
		out = append(out, candidate{row: r, represents: 1})
	}
	return out
}

// order returns the IDs of the first engines in the order of a key.
func order(rows []candidate, key string) []string {
	candidates := slices.Clone(rows)
	rank(&Query{Key: key}, candidates, false)
	slices.SortStableFunc(candidates, func(a, b candidate) int { return cmp.Compare(a.rank, b.rank) })
	var ids []string
	for _, c := range candidates[:min(rankLimit, len(candidates))] {
		ids = append(ids, c.ID)
	}
	return ids
}

// Guards against homes that move when engines of equal speed get a new build of the router: while
// all weights are 1, the order is that of the plain hashes.
func TestOrderOfEqualWeightsIsThatOfHashes(t *testing.T) {
	rows := weightedRows(repeat(50, 1))
	for i := range 2000 {
		key := fmt.Sprint("key ", i)
		hash := xxhash.Sum64String(key)
		plain := slices.Clone(rows)
		slices.SortFunc(plain, func(a, b candidate) int {
			return cmp.Or(cmp.Compare(mix64(hash^b.hash), mix64(hash^a.hash)), cmp.Compare(a.ID, b.ID))
		})
		for j, id := range order(rows, key) {
			assert.Equal(t, id, plain[j].ID)
		}
	}
}

// homesOf returns the home of each of count keys.
func homesOf(rows []candidate, count int) []string {
	var out []string
	for i := range count {
		out = append(out, order(rows, fmt.Sprint("key ", i))[0])
	}
	return out
}

func TestHomesAreProportionalToWeights(t *testing.T) {
	weights := repeat(24, 0.25, 1, 1.75, 3)
	rows := weightedRows(weights)
	const keys = 24_000
	count := map[string]int{}
	for _, id := range homesOf(rows, keys) {
		count[id]++
	}
	for i := range rows {
		expected := weights[i] / sum(weights) * keys
		got := float64(count[rows[i].ID])
		assert.Assert(t, math.Abs(got-expected) < 5*math.Sqrt(expected), "%v keys at weight %v instead of %v", got, weights[i], expected)
	}
}

// Guards against keys that move between engines whose weights do not change: each moved part is
// processed again.
func TestChangeOfOneWeightMovesFewKeys(t *testing.T) {
	const keys = 5_000
	for _, change := range [][2]float64{{1, 0.5}, {1, 1.25}, {2, 0.25}} {
		weights := repeat(24, 1, 0.75, 1.5)
		weights[7] = change[0]
		before := homesOf(weightedRows(weights), keys)
		first := weights[7] / sum(weights)
		weights[7] = change[1]
		after := homesOf(weightedRows(weights), keys)
		moved := 0
		for i := range before {
			if before[i] == after[i] {
				continue
			}
			moved++
			if change[1] < change[0] {
				assert.Equal(t, before[i], "e007", "only keys of the slower engine move")
			} else {
				assert.Equal(t, after[i], "e007", "keys move only to the faster engine")
			}
		}
		least := math.Abs(weights[7]/sum(weights)-first) * keys
		assert.Assert(t, math.Abs(float64(moved)-least) < 5*math.Sqrt(least), "%d keys moved, at least %v must", moved, least)
	}
}

func TestHomeWeightChangesAfterDelay(t *testing.T) {
	var w homeWeight
	at := func(now time.Duration, factor float64) float64 {
		w.update(now, factor)
		return w.value()
	}
	assert.Equal(t, at(0, 1), 1.0)
	assert.Equal(t, at(time.Second, 0.8), 1.0)
	assert.Equal(t, at(10*time.Second, 0.8), 1.0, "less than a step away")
	assert.Equal(t, at(11*time.Second, 0.5), 1.0)
	assert.Equal(t, at(12*time.Second, 0.9), 1.0, "the difference is over")
	assert.Equal(t, at(13*time.Second, 0.5), 1.0)
	assert.Equal(t, at(14900*time.Millisecond, 0.6), 1.0)
	assert.Equal(t, at(15*time.Second, 0.6), 0.5, "rounded to a step")
	assert.Equal(t, at(16*time.Second, 0.02), 0.5)
	assert.Equal(t, at(18*time.Second, 0.02), 0.25, "an engine keeps some keys")
	assert.Equal(t, at(19*time.Second, 50), 0.25)
	assert.Equal(t, at(21*time.Second, 50), 4.0)
	assert.Equal(t, at(22*time.Second, 1), 4.0)
	assert.Equal(t, at(24*time.Second, 1), 1.0)
}

// A choice by the index must equal one that examines each engine, also if engines differ in speed.
func TestIndexedChoiceMatchesFullScanWithSpeeds(t *testing.T) {
	for seed := range uint64(20) {
		w := newPoolPair(seed, 1+int(seed)*3)
		change := func() {
			id, factor, steps := w.randomID(), quantize(math.Exp(2*w.random.Float64()-1)), w.random.IntN(8)-3
			samples := w.random.IntN(2) == 0
			w.both(func(p *Pool) {
				r := p.rows[id]
				if r == nil {
					return
				}
				p.index.activate(r)
				r.pace.factor, r.pace.home.steps = factor, steps
				if samples {
					r.pace.samples = nil
				}
			})
			w.mutate()
		}
		for range 600 {
			w.choose(t, change)
		}
	}
}

// Ranking in groups of equal weight must give the same first engines as ranking all at once.
func TestFirstOfGroupsAgreeWithRank(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 1))
	for i := range 300 {
		weights := make([]float64, 1+random.IntN(60))
		for j := range weights {
			weights[j] = 0.5 + homeStep*float64(random.IntN(4))
		}
		rows := weightedRows(weights)
		key := fmt.Sprint("key ", i)
		groups := map[float64]*idleGroup{}
		for _, c := range rows {
			g := groups[c.pace.home.value()]
			if g == nil {
				g = &idleGroup{}
				groups[c.pace.home.value()] = g
			}
			g.rows, g.hashes = append(g.rows, c.row), append(g.hashes, c.hash)
		}
		var firsts []candidate
		for _, g := range groups {
			for _, r := range g.first(xxhash.Sum64String(key), nil) {
				firsts = append(firsts, candidate{row: r})
			}
		}
		assert.DeepEqual(t, order(firsts, key), order(rows, key))
	}
}
