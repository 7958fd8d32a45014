package admission

import (
	"cmp"
	"container/list"
	"time"
)

// item is a waiting request. It is a node of the tree of its flow.
type item struct {
	Request
	sequence uint64
	level    *level
	class    class
	flow     *flow
	// hidden is set by Skip; expired items have left their flow and are reported by Expire.
	hidden  bool
	expired bool
	// due is when the class of the item changes, and timer its index in Queue.timers, -1 for none.
	due   time.Duration
	timer int
	// index is the position in Queue.items.
	index int
	// duplicate is set if another request with the same content waited when this one arrived;
	// duplicates lists the waiting requests with the same tenant and digest.
	duplicate  bool
	duplicates *list.List
	element    *list.Element

	// The tree is a treap: ordered by compareItems, and a heap by priority.
	left, right *item
	priority    uint64
	// work and visible sum the subtree.
	work    float64
	visible int
}

// compareItems orders the requests of a tenant, the first to run first.
func compareItems(a, b *item) int {
	if a.class == timely {
		return cmp.Or(cmp.Compare(a.latestStart(), b.latestStart()), cmp.Compare(a.sequence, b.sequence))
	}
	return cmp.Or(cmp.Compare(a.Work, b.Work), cmp.Compare(a.Arrived, b.Arrived), cmp.Compare(a.sequence, b.sequence))
}

func (n *item) update() {
	n.work, n.visible = n.Work, 1
	if n.hidden {
		n.visible = 0
	}
	for _, child := range []*item{n.left, n.right} {
		if child != nil {
			n.work += child.work
			n.visible += child.visible
		}
	}
}

// split divides a tree into the items before the key and the rest.
func split(root, key *item) (before, rest *item) {
	if root == nil {
		return nil, nil
	}
	if compareItems(root, key) < 0 {
		root.right, rest = split(root.right, key)
		root.update()
		return root, rest
	}
	before, root.left = split(root.left, key)
	root.update()
	return before, root
}

// merge joins two trees; all of a is before all of b.
func merge(a, b *item) *item {
	switch {
	case a == nil:
		return b
	case b == nil:
		return a
	case a.priority > b.priority:
		a.right = merge(a.right, b)
		a.update()
		return a
	default:
		b.left = merge(a, b.left)
		b.update()
		return b
	}
}

func insert(root, n *item) *item {
	if root == nil || n.priority > root.priority {
		n.left, n.right = split(root, n)
		n.update()
		return n
	}
	if compareItems(n, root) < 0 {
		root.left = insert(root.left, n)
	} else {
		root.right = insert(root.right, n)
	}
	root.update()
	return root
}

// remove takes an item that is in the tree out of it.
func remove(root, n *item) *item {
	if root == n {
		root = merge(n.left, n.right)
		n.left, n.right = nil, nil
		return root
	}
	if compareItems(n, root) < 0 {
		root.left = remove(root.left, n)
	} else {
		root.right = remove(root.right, n)
	}
	root.update()
	return root
}

// refresh updates the sums on the path to an item after its hidden field changed.
func refresh(root, n *item) {
	if root != n {
		if compareItems(n, root) < 0 {
			refresh(root.left, n)
		} else {
			refresh(root.right, n)
		}
	}
	root.update()
}

// firstVisible returns the first item that is not hidden, nil for none.
func firstVisible(root *item) *item {
	for root != nil && root.visible > 0 {
		switch {
		case root.left != nil && root.left.visible > 0:
			root = root.left
		case !root.hidden:
			return root
		default:
			root = root.right
		}
	}
	return nil
}

// workBefore returns the work of the items before the key, which need not be in the tree.
func workBefore(root, key *item) float64 {
	sum := 0.0
	for root != nil {
		if compareItems(root, key) < 0 {
			sum += root.Work
			if root.left != nil {
				sum += root.left.work
			}
			root = root.right
		} else {
			root = root.left
		}
	}
	return sum
}

// scramble returns well-mixed bits of a sequence number (the finalizer of SplitMix64), as a
// reproducible priority.
func scramble(x uint64) uint64 {
	x += 0x9e3779b97f4a7c15
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}
