package admission

import "container/list"

// content identifies duplicates.
type content struct {
	tenant string
	digest uint64
}

// group lists a request with its duplicates.
func (q *Queue) group(n *item) {
	if n.Digest == 0 {
		return
	}
	id := content{n.Tenant, n.Digest}
	group := q.duplicates[id]
	if group == nil {
		group = list.New()
		q.duplicates[id] = group
	}
	n.duplicates, n.element = group, group.PushBack(n)
}

// ungroup undoes group.
func (q *Queue) ungroup(n *item, promote bool) {
	if n.duplicates == nil {
		return
	}
	group := n.duplicates
	group.Remove(n.element)
	n.duplicates, n.element = nil, nil
	if group.Len() == 0 {
		delete(q.duplicates, content{n.Tenant, n.Digest})
		return
	}
	if n.duplicate || !promote {
		return
	}
	next := group.Front().Value.(*item)
	next.duplicate = false
	if !next.expired && q.classOf(next) == timely {
		q.leave(next)
		next.class = timely
		q.join(next)
	}
}
