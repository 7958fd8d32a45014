package backends

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"quinceridge.example/quinceridge/internal/coordapi"
	"quinceridge.example/quinceridge/internal/state"
)

// poolPair is a pool with an index and one without, to which all operations are applied alike.
type poolPair struct {
	indexed, unindexed *Pool
	random             *rand.Rand
	now                time.Duration
	open               [][2]*Attempt
	rows               []state.Backend
}

func newPoolPair(seed uint64, engines int) *poolPair {
	w := &poolPair{indexed: NewCentralPool(), unindexed: NewCentralPool(), random: rand.New(rand.NewPCG(seed, 7))}
	w.unindexed.index = nil
	for i := range engines {
		w.rows = append(w.rows, state.Backend{ID: fmt.Sprint("e", i), Pool: "llm", Address: fmt.Sprint("a:", i), Zone: fmt.Sprint("z", i%3), Slots: 4,
			Weights: map[string]int{"m": 1}})
	}
	w.both(func(p *Pool) { p.Apply(w.rows, nil, true) })
	return w
}

func (w *poolPair) both(do func(p *Pool)) {
	do(w.indexed)
	do(w.unindexed)
}

func (w *poolPair) randomID() string { return w.rows[w.random.IntN(len(w.rows))].ID }

// mutate changes something that a choice depends on.
func (w *poolPair) mutate() {
	id := w.randomID()
	switch w.random.IntN(10) {
	case 0:
		w.both(func(p *Pool) { p.Failed(w.now, id) })
	case 1:
		w.both(func(p *Pool) { p.Busy(w.now, id) })
	case 2:
		w.both(func(p *Pool) { p.Unreachable(w.now, id) })
	case 3:
		other := w.random.IntN(9) == 0
		w.both(func(p *Pool) { p.Mismatch(id, "m", 1, other) })
	case 4, 5:
		row := &w.rows[w.random.IntN(len(w.rows))]
		row.Weights = map[string]int{"m": row.Weights["m"] + w.random.IntN(2)}
		row.Draining = row.Draining || w.random.IntN(9) == 0
		row.Loading = nil
		if w.random.IntN(3) == 0 {
			row.Loading = &state.Loading{Model: "m", Version: 9}
		}
		w.both(func(p *Pool) { p.Apply([]state.Backend{*row}, nil, false) })
	case 6:
		notes := coordapi.Notes{Silent: []string{id, w.randomID()}, Preferred: map[string]int{"m": w.random.IntN(3)}}
		w.both(func(p *Pool) { p.ApplyNotes(notes) })
	case 7:
		whole := w.random.IntN(2) == 0
		w.both(func(p *Pool) { p.Apply(nil, []string{id}, false) })
		w.both(func(p *Pool) { p.Apply(w.rows, nil, whole) })
	default:
		w.end()
	}
}

// end ends a random attempt.
func (w *poolPair) end() {
	if len(w.open) == 0 {
		return
	}
	i := w.random.IntN(len(w.open))
	begun, wait := w.random.IntN(3) > 0, time.Duration(w.random.IntN(200))*time.Millisecond
	for _, a := range w.open[i] {
		if begun {
			a.FirstEventReported(w.now, wait)
		}
		a.End(w.now)
	}
	w.open[i] = w.open[len(w.open)-1]
	w.open = w.open[:len(w.open)-1]
}

func (w *poolPair) query() *Query {
	q := &Query{Pool: "llm", Zone: fmt.Sprint("z", w.random.IntN(3)), Model: "m", Slots: 4, Capacity: 90_000, Shared: 3000, Target: time.Second,
		Work: Work{Prompt: w.random.IntN(4000), Most: 9000}}
	if w.random.IntN(4) > 0 {
		q.Key = fmt.Sprint("k", w.random.IntN(20))
		holder := w.randomID()
		q.Holder = func(int) string { return holder }
	}
	if w.random.IntN(3) == 0 {
		q.Tried = []string{w.randomID(), w.randomID()}
	}
	if w.random.IntN(2) == 0 {
		q.Patience = 300 * time.Millisecond
	}
	return q
}

// A choice by the index must equal one that examines each engine.
func TestIndexedChoiceMatchesFullScan(t *testing.T) {
	for seed := range uint64(30) {
		w := newPoolPair(seed, 1+int(seed)*3)
		for range 600 {
			w.choose(t, w.mutate)
		}
	}
}

// As above, with engines that push back and recover.
func TestIndexedChoiceMatchesFullScanWithPushbacks(t *testing.T) {
	for seed := range uint64(30) {
		w := newPoolPair(seed, 1+int(seed)*3)
		pushBack := func() {
			id, wait := w.randomID(), time.Duration(w.random.IntN(400))*time.Millisecond
			w.both(func(p *Pool) { p.PushedBack(w.now, id, wait) })
			w.mutate()
		}
		for range 600 {
			w.choose(t, pushBack)
		}
	}
}

// choose compares the choices of both pools, after a random mutation at times, and begins the
// request.
func (w *poolPair) choose(t *testing.T, mutate func()) {
	t.Helper()
	w.now += time.Duration(w.random.IntN(40)) * time.Millisecond
	if w.random.IntN(3) == 0 {
		mutate()
	}
	q := w.query()
	again := *q
	first, found := w.indexed.Choose(w.now, q)
	second, secondFound := w.unindexed.Choose(w.now, &again)
	assert.Equal(t, found, secondFound)
	assert.Equal(t, first.Late, second.Late)
	assert.Equal(t, first.Wait, second.Wait)
	if !found || first.Late {
		return
	}
	assert.DeepEqual(t, first, second)
	w.open = append(w.open, [2]*Attempt{w.indexed.Begin(w.now, &first, q, func(error) {}), w.unindexed.Begin(w.now, &second, &again, func(error) {})})
	if len(w.open) > 3*len(w.rows) {
		w.end()
	}
}

// Choose must examine the engines with work one by one, but only a few idle ones.
func TestChooseExaminesFewIdleEngines(t *testing.T) {
	for _, engines := range []int{300, 3000, 30000} {
		w := newPoolPair(1, engines)
		for range 50 {
			q := w.query()
			q.Tried = nil
			choice, found := w.indexed.Choose(0, q)
			assert.Assert(t, found)
			assert.Equal(t, choice.Considered, engines)
			w.indexed.Begin(0, &choice, q, func(error) {})
		}
		assert.Assert(t, len(w.indexed.scratch) <= 50+3*(rankLimit+2), "%d of %d", len(w.indexed.scratch), engines)
	}
}
