package admission

import (
	"container/heap"
	"slices"
	"time"

	"quinceridge.example/quinceridge/internal/decay"
)

// class divides the requests of a level.
type class int

const (
	// timely requests can still meet their target; late ones cannot, or are duplicates.
	timely class = iota
	late
	classes
)

// flow is the waiting requests of one tenant, urgency and class.
type flow struct {
	tenant string
	// tag is the virtual time at which the next request of the flow starts.
	tag float64
	// order is when the flow began to wait, to break ties of tags.
	order uint64
	root  *item
	count int
	// ready is the index in fairQueue.ready; -1 for none.
	ready int
	// period is the busy period of the tag.
	period uint64
	// unused is set when a search for idle flows finds the flow without requests.
	unused bool
	// arriving sums the work of arrivals that could meet their target.
	arriving arrivalRate
}

// arrivalRate is a decayed mean of arriving work. It keeps its last value, since estimates for many
// requests are made at the same time.
type arrivalRate struct {
	sum   decay.Sum
	at    time.Duration
	value float64
}

func (r *arrivalRate) add(now time.Duration, work float64) {
	r.sum.Add(now, rateWindow, work)
	r.at, r.value = now, r.sum.Value(now, rateWindow)/rateWindow.Seconds()
}

// perSecond returns the work that arrives in a second.
func (r *arrivalRate) perSecond(now time.Duration) float64 {
	if r.at != now {
		r.at, r.value = now, r.sum.Value(now, rateWindow)/rateWindow.Seconds()
	}
	return r.value
}

func (f *flow) work() float64 {
	if f.root == nil {
		return 0
	}
	return f.root.work
}

// fairQueue shares the grants of one level and class among tenants by start-time fair queueing
// with equal weights. The flow with the smallest tag is served first.
type fairQueue struct {
	// virtual is the largest tag of a flow that was served in this busy period.
	virtual float64
	period  uint64
	// byTenant includes flows that have no request now, and flows has the same in a fixed order;
	// ready is the heap of those with visible requests.
	byTenant map[string]*flow
	flows    []*flow
	ready    readyHeap
	orders   uint64
	count    int
	work     float64
	// rivals is the buffer of wait.
	rivals []rival
	// largest is the most work of one request in this busy period.
	largest float64
}

// flow returns the flow of a tenant. Its tag is at least the virtual time unless it waits.
func (q *fairQueue) flow(tenant string) *flow {
	f := q.byTenant[tenant]
	if f == nil {
		f = &flow{tenant: tenant, ready: -1}
		if q.byTenant == nil {
			q.byTenant = map[string]*flow{}
		}
		q.byTenant[tenant] = f
		q.flows = append(q.flows, f)
	}
	f.tag = q.tag(f)
	f.period = q.period
	f.unused = false
	return f
}

// tag returns the tag that the next request of a flow has.
func (q *fairQueue) tag(f *flow) float64 {
	switch {
	case f.count > 0:
		return f.tag
	case f.period != q.period:
		return q.virtual
	default:
		return max(f.tag, q.virtual)
	}
}

func (q *fairQueue) add(n *item) {
	f := q.flow(n.Tenant)
	if f.count == 0 {
		q.orders++
		f.order = q.orders
	}
	n.flow = f
	f.root = insert(f.root, n)
	f.count++
	q.count++
	q.work += n.Work
	q.largest = max(q.largest, n.Work)
	q.fix(f)
}

func (q *fairQueue) remove(n *item) {
	f := n.flow
	f.root = remove(f.root, n)
	n.flow = nil
	f.count--
	q.count--
	q.work -= n.Work
	q.fix(f)
	if q.count == 0 {
		// The busy period ends: what was granted in it counts against nobody.
		q.virtual, q.work, q.largest = 0, 0, 0
		q.period++
	}
}

// charge counts work of a tenant that was granted while the queue was not empty.
func (q *fairQueue) charge(f *flow, work float64) {
	f.tag += work
	if f.ready >= 0 {
		heap.Fix(&q.ready, f.ready)
	}
}

// fix updates the membership of a flow in the heap of flows with visible requests.
func (q *fairQueue) fix(f *flow) {
	visible := f.root != nil && f.root.visible > 0
	switch {
	case visible && f.ready < 0:
		heap.Push(&q.ready, f)
	case !visible && f.ready >= 0:
		heap.Remove(&q.ready, f.ready)
	}
}

func (q *fairQueue) first() *item {
	if len(q.ready) == 0 {
		return nil
	}
	return firstVisible(q.ready[0].root)
}

// wait returns the expected time in seconds until a request of a tenant starts, after the work
// first, which has precedence over this queue, and the work own of its tenant. Each other tenant
// runs what has a smaller tag, of its waiting requests and of those that arrive in the meantime.
func (q *fairQueue) wait(now time.Duration, tenant string, first, own, rate float64) float64 {
	seconds := wait(first+own, rate)
	if rate <= 0 || len(q.flows) == 0 {
		return seconds
	}
	tag := q.virtual
	if f := q.byTenant[tenant]; f != nil {
		tag = q.tag(f)
	}
	tag += own
	q.rivals = q.rivals[:0]
	for _, f := range q.flows {
		if before := tag - q.tag(f); before > 0 && f.tenant != tenant {
			q.rivals = append(q.rivals, rival{before, f.work(), f.arriving.perSecond(now)})
		}
	}
	// The arrivals depend on the wait: three steps come close from below.
	for range 3 {
		sum := first + own
		for _, r := range q.rivals {
			sum += min(r.before, r.waiting+r.arriving*seconds)
		}
		seconds = wait(sum, rate)
	}
	return seconds
}

// rival is another tenant in an estimate: the most work that it may run first, its waiting work,
// and the work that arrives in a second.
type rival struct{ before, waiting, arriving float64 }

// forgetIdle removes flows without requests and recent arrivals. Those with a tag beyond the virtual
// time stay until the next call, if they are not used before.
func (q *fairQueue) forgetIdle(now time.Duration) {
	q.flows = slices.DeleteFunc(q.flows, func(f *flow) bool {
		if f.count > 0 || f.arriving.perSecond(now) >= minWork {
			return false
		}
		if !f.unused && q.tag(f) > q.virtual {
			f.unused = true
			return false
		}
		delete(q.byTenant, f.tenant)
		return true
	})
}

// readyHeap is a heap of flows by tag.
type readyHeap []*flow

func (h readyHeap) Len() int { return len(h) }

func (h readyHeap) Less(i, j int) bool {
	if h[i].tag != h[j].tag {
		return h[i].tag < h[j].tag
	}
	return h[i].order < h[j].order
}

func (h readyHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].ready, h[j].ready = i, j
}

func (h *readyHeap) Push(x any) {
	f := x.(*flow)
	f.ready = len(*h)
	*h = append(*h, f)
}

func (h *readyHeap) Pop() any {
	old := *h
	f := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	f.ready = -1
	return f
}
