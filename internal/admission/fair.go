package admission

import "container/heap"

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
	// position is the index in fairQueue.backlogged, and ready that in fairQueue.ready; -1 for none.
	position int
	ready    int
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
	// flows includes those that have no request, but a tag beyond the virtual time.
	flows map[string]*flow
	// backlogged has the flows with requests, and ready the heap of those with visible ones.
	backlogged []*flow
	ready      readyHeap
	orders     uint64
	count      int
	work       float64
	// largest is the most work of one request in this busy period.
	largest float64
}

// flow returns the flow of a tenant; its tag is at least the virtual time unless it waits.
func (q *fairQueue) flow(tenant string) *flow {
	f := q.flows[tenant]
	if f == nil {
		f = &flow{tenant: tenant, position: -1, ready: -1}
		if q.flows == nil {
			q.flows = map[string]*flow{}
		}
		q.flows[tenant] = f
	}
	if f.count == 0 {
		f.tag = max(f.tag, q.virtual)
	}
	return f
}

func (q *fairQueue) add(n *item) {
	f := q.flow(n.Tenant)
	if f.count == 0 {
		q.orders++
		f.order = q.orders
		f.position = len(q.backlogged)
		q.backlogged = append(q.backlogged, f)
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
	if f.count == 0 {
		last := len(q.backlogged) - 1
		q.backlogged[f.position] = q.backlogged[last]
		q.backlogged[f.position].position = f.position
		q.backlogged[last] = nil
		q.backlogged = q.backlogged[:last]
		f.position = -1
	}
	if q.count == 0 {
		// The busy period ends: what was granted in it counts against nobody.
		q.virtual, q.work, q.largest = 0, 0, 0
		clear(q.flows)
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

// workAhead returns the work that runs before a request of a tenant with the given work of its own
// tenant before it. Each other tenant runs what has a smaller tag.
func (q *fairQueue) workAhead(tenant string, own float64) float64 {
	if q.count == 0 {
		return own
	}
	tag := q.virtual
	if f := q.flows[tenant]; f != nil {
		tag = f.tag
		if f.count == 0 {
			tag = max(tag, q.virtual)
		}
	}
	tag += own
	sum := own
	for _, f := range q.backlogged {
		if f.tenant != tenant && f.tag < tag {
			sum += min(tag-f.tag, f.work())
		}
	}
	return sum
}

// forgetIdle removes flows without requests whose tags the virtual time has passed.
func (q *fairQueue) forgetIdle() {
	for tenant, f := range q.flows {
		if f.count == 0 && f.tag <= q.virtual {
			delete(q.flows, tenant)
		}
	}
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

// timerHeap is a heap of items by the time at which their class changes.
type timerHeap []*item

func (h timerHeap) Len() int           { return len(h) }
func (h timerHeap) Less(i, j int) bool { return h[i].due < h[j].due }

func (h timerHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].timer, h[j].timer = i, j
}

func (h *timerHeap) Push(x any) {
	n := x.(*item)
	n.timer = len(*h)
	*h = append(*h, n)
}

func (h *timerHeap) Pop() any {
	old := *h
	n := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	n.timer = -1
	return n
}
