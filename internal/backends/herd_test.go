package backends

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"strconv"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"quinceridge.example/quinceridge/internal/coordapi"
	"quinceridge.example/quinceridge/internal/state"
)

const (
	servers       = 8
	slots         = 6
	queueLength   = 24
	serviceTime   = 60 * time.Millisecond
	arrivalsPerMs = 0.3
	simulatedTime = 8 * time.Second
	warmUp        = time.Second
	minInterval   = 80 * time.Millisecond
)

// finish is the end of a request at a server.
type finish struct {
	at, sent time.Duration
	server   int
	router   *Pool
	attempt  *Attempt
}

type finishes []finish

func (f finishes) Len() int           { return len(f) }
func (f finishes) Less(i, j int) bool { return f[i].at < f[j].at }
func (f finishes) Swap(i, j int)      { f[i], f[j] = f[j], f[i] }
func (f *finishes) Push(x any)        { *f = append(*f, x.(finish)) }
func (f *finishes) Pop() any {
	last := (*f)[len(*f)-1]
	*f = (*f)[:len(*f)-1]
	return last
}

// simulation runs a number of routers in virtual time in front of a small pool without engines. The
// routers receive each other's loads at intervals that grow with their number.
type simulation struct {
	rng      *rand.Rand
	routers  []*Pool
	interval time.Duration
	ends     finishes
	// busy holds the times at which the slots of each server become free.
	busy               [servers][]time.Duration
	requests, rejected int
	// waited is the total time that requests spent in queues.
	waited time.Duration
}

func newSimulation(routers int) *simulation {
	f := &simulation{rng: rand.New(rand.NewPCG(1, uint64(routers))), interval: minInterval + time.Duration(routers)*3*time.Millisecond}
	var rows []state.Backend
	for i := range servers {
		rows = append(rows, state.Backend{ID: strconv.Itoa(i), Pool: "app", Address: "127.0.0.1:1", Zone: fmt.Sprint(i % 5), Slots: slots})
	}
	for i := range routers {
		p := NewPool(fmt.Sprint(i % 5))
		p.Apply(rows, nil, true)
		f.routers = append(f.routers, p)
	}
	return f
}

// exchangeLoads delivers the loads of the previous interval to all routers and returns their
// current sums.
func (f *simulation) exchangeLoads(now time.Duration, previous []coordapi.Load) []coordapi.Load {
	for _, p := range f.routers {
		p.SetTotalLoads(now, previous, f.interval, true)
	}
	sums := map[string]coordapi.Load{}
	for _, p := range f.routers {
		for _, l := range p.OwnLoads() {
			s := sums[l.ID]
			sums[l.ID] = coordapi.Load{ID: l.ID, Running: s.Running + l.Running}
		}
	}
	var out []coordapi.Load
	for _, l := range sums {
		out = append(out, l)
	}
	return out
}

// request sends one request through a random router.
func (f *simulation) request(now time.Duration) {
	p := f.routers[f.rng.IntN(len(f.routers))]
	q := Query{Pool: "app", Target: 300 * time.Millisecond, Routers: len(f.routers), Draw: f.rng.Float64()}
	choice, _ := p.Choose(now, &q)
	server, _ := strconv.Atoi(choice.ID)
	counted := now > warmUp
	if counted {
		f.requests++
	}
	held := f.busy[server][:0]
	for _, until := range f.busy[server] {
		if until > now {
			held = append(held, until)
		}
	}
	f.busy[server] = held
	attempt := p.Begin(now, &choice, &q, func(error) {})
	if len(held) >= slots+queueLength {
		attempt.End(now)
		p.Busy(now, choice.ID)
		if counted {
			f.rejected++
		}
		return
	}
	start := now
	if len(held) >= slots {
		start = held[len(held)-slots]
	}
	end := start + time.Duration(float64(serviceTime)*f.rng.ExpFloat64())
	f.busy[server] = insertSorted(held, end)
	if counted {
		f.waited += start - now
	}
	heap.Push(&f.ends, finish{at: end, sent: now, server: server, router: p, attempt: attempt})
}

// insertSorted inserts an end into a sorted list.
func insertSorted(ends []time.Duration, end time.Duration) []time.Duration {
	ends = append(ends, end)
	for i := len(ends) - 1; i > 0 && ends[i] < ends[i-1]; i-- {
		ends[i], ends[i-1] = ends[i-1], ends[i]
	}
	return ends
}

func (f *simulation) run() {
	var loads []coordapi.Load
	next := time.Duration(0)
	for now := time.Duration(0); now < simulatedTime; {
		now += time.Duration(-math.Log(1-f.rng.Float64()) / arrivalsPerMs * float64(time.Millisecond))
		for ; next <= now; next += f.interval {
			loads = f.exchangeLoads(next, loads)
		}
		for len(f.ends) > 0 && f.ends[0].at <= now {
			e := heap.Pop(&f.ends).(finish)
			e.router.Succeeded(now, strconv.Itoa(e.server), e.at-e.sent)
			e.attempt.End(now)
		}
		f.request(now)
	}
}

// Guards against routers that all send to the back end that was least loaded in the same
// outdated report.
func TestChoicesDoNotHerd(t *testing.T) {
	for _, routers := range []int{1, 10, 100, 300} {
		t.Run(strconv.Itoa(routers), func(t *testing.T) {
			f := newSimulation(routers)
			f.run()
			assert.Assert(t, f.requests > 1500)
			mean := f.waited / time.Duration(f.requests)
			t.Logf("%d requests, %d rejected, mean wait %v", f.requests, f.rejected, mean)
			assert.Equal(t, f.rejected, 0)
			assert.Assert(t, mean < serviceTime/4, "%v", mean)
		})
	}
}
