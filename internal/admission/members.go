package admission

import "container/heap"

// classOf returns the class by time alone.
func (q *Queue) classOf(n *item) class {
	if n.Target > 0 && q.now <= n.latestStart() {
		return timely
	}
	return late
}

// join adds a request to the flow of its class and sets its timer.
func (q *Queue) join(n *item) {
	n.queue().add(n)
	account := q.account(n.Tenant)
	account.waiting += n.Work
	account.count++
	q.work += n.Work
	n.due = n.lastUsefulStart()
	if n.class == timely {
		n.due = min(n.due, n.latestStart())
	}
	if n.due != forever {
		heap.Push(&q.timers, n)
	}
}

// leave undoes join.
func (q *Queue) leave(n *item) {
	n.queue().remove(n)
	account := q.account(n.Tenant)
	account.waiting -= n.Work
	account.count--
	if account.count == 0 {
		account.waiting = 0
	}
	q.work -= n.Work
	if n.timer >= 0 {
		heap.Remove(&q.timers, n.timer)
	}
}

// drop takes a request out of the queue. If promote is set, which is so unless the request runs,
// the first of its duplicates takes its place among those that can meet their target.
func (q *Queue) drop(n *item, promote bool) {
	if !n.expired {
		q.leave(n)
	}
	delete(q.waiting, n.Key)
	last := len(q.items) - 1
	q.items[n.index] = q.items[last]
	q.items[n.index].index = n.index
	q.items[last] = nil
	q.items = q.items[:last]
	if last == 0 {
		q.work = 0
	}
	q.ungroup(n, promote)
}

// replace changes a waiting request in place.
func (q *Queue) replace(n *item, r Request) {
	r.Arrived = n.Arrived
	regroup := false
	if r.Tenant != n.Tenant || r.Digest != n.Digest {
		q.ungroup(n, true)
		n.duplicate = q.duplicates[content{r.Tenant, r.Digest}] != nil
		regroup = true
	}
	f, queue := n.flow, n.queue()
	tag, order, virtual := f.tag, f.order, queue.virtual
	sameQueue := r.Tenant == n.Tenant && r.Urgency == n.Urgency
	oldClass := n.class
	q.leave(n)
	n.Request = r
	n.level = q.level(r.Urgency)
	n.class = q.classOf(n)
	if n.duplicate {
		n.class = late
	}
	if regroup {
		q.group(n)
	}
	q.join(n)
	if sameQueue && n.class == oldClass {
		// Leaving may have ended the busy period or the backlog of the flow.
		queue.virtual = virtual
		n.flow.tag, n.flow.order = tag, order
		if n.flow.ready >= 0 {
			heap.Fix(&queue.ready, n.flow.ready)
		}
	}
}
