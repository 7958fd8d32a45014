package simulation

import "time"

// fault is one kind of injected fault. Faults are chosen with a probability proportional to
// weight.
type fault struct {
	name   string
	weight int
	run    func(w *world)
}

var faults = []fault{
	{"crash", 6, func(w *world) { w.randomNode().crash(w.between(50*time.Millisecond, 3*time.Second)) }},
	{"crash the leader", 4, func(w *world) {
		if n := w.leader(); n != nil {
			n.crash(w.between(50*time.Millisecond, 3*time.Second))
		}
	}},
	{"kill at a write", 6, func(w *world) { w.randomNode().writesUntilKill = 1 + w.random.IntN(12) }},
	{"freeze", 3, func(w *world) { w.randomNode().freeze(w.between(300*time.Millisecond, 5*time.Second)) }},
	{"freeze the leader", 4, func(w *world) {
		if n := w.leader(); n != nil {
			n.freeze(w.between(300*time.Millisecond, 5*time.Second))
		}
	}},
	{"suspend a machine", 3, func(w *world) { w.randomNode().suspend(w.between(300*time.Millisecond, 8*time.Second)) }},
	{"suspend the leader", 3, func(w *world) {
		if n := w.leader(); n != nil {
			n.suspend(w.between(300*time.Millisecond, 8*time.Second))
		}
	}},
	{"suspend a router", 4, func(w *world) {
		w.routers[w.random.IntN(len(w.routers))].suspend(w.between(300*time.Millisecond, 8*time.Second))
	}},
	{"cut off the leader", 5, func(w *world) {
		if n := w.leader(); n != nil {
			w.cut(w.between(time.Second, 10*time.Second), append(w.randomRouters(), n.name)...)
		}
	}},
	{"cut off routers", 4, func(w *world) { w.cut(w.between(time.Second, 12*time.Second), w.randomRouters()...) }},
	{"cut off control", 4, func(w *world) {
		var names []string
		for _, r := range w.routers {
			names = append(names, r.self.Name)
		}
		w.cut(w.between(3*time.Second, 10*time.Second), names...)
	}},
	{"lossy network", 4, func(w *world) {
		w.lossRate, w.duplicateRate = 0.3*w.random.Float64(), 0.3*w.random.Float64()
		w.queue.After(w.between(time.Second, 5*time.Second), func() { w.lossRate, w.duplicateRate = 0, 0 })
	}},
	{"restart routers", 4, func(w *world) {
		for _, r := range w.routers {
			if w.chance(0.5) {
				r.restartAfter(w.between(50*time.Millisecond, 4*time.Second))
			}
		}
	}},
	{"restart all control nodes", 2, func(w *world) {
		for _, n := range w.nodes {
			n.crash(w.between(50*time.Millisecond, time.Second))
		}
	}},
	{"lose a disk", 2, (*world).loseDisk},
	{"hand over", 2, func(w *world) {
		if n := w.leader(); n != nil {
			n.receive(func() { _ = n.core.TransferLeadership(w.randomNode().id) })
		}
	}},
}

func (w *world) count(name string) { w.report.Faults[name]++ }

// scheduleFaults injects faults at random, possibly overlapping times, and ends network and
// disk faults when the fault period is over.
func (w *world) scheduleFaults() {
	total := 0
	for _, f := range faults {
		total += f.weight
	}
	var next func()
	next = func() {
		if w.now() >= w.config.Faults {
			return
		}
		at := w.random.IntN(total)
		for _, f := range faults {
			if at -= f.weight; at < 0 {
				w.count(f.name)
				f.run(w)
				break
			}
		}
		w.queue.After(w.between(10*time.Millisecond, 3*time.Second), next)
	}
	w.queue.After(3*time.Second, next)
	w.queue.At(w.config.Faults, w.heal)
}

func (w *world) heal() {
	clear(w.partitions)
	w.lossRate, w.duplicateRate = 0, 0
	for _, n := range w.nodes {
		n.writesUntilKill = 0
	}
}

// cut moves the named nodes and routers into a network partition of their own for a time.
func (w *world) cut(length time.Duration, names ...string) {
	partition := int(w.queue.Planned()) + 1
	for _, name := range names {
		w.partitions[name] = partition
	}
	w.queue.After(length, func() {
		for _, name := range names {
			if w.partitions[name] == partition {
				delete(w.partitions, name)
			}
		}
	})
}

func (w *world) randomRouters() []string {
	var names []string
	for _, r := range w.routers {
		if w.chance(0.4) {
			names = append(names, r.self.Name)
		}
	}
	return names
}

func (r *router) restartAfter(pause time.Duration) {
	if r.down {
		return
	}
	r.stop()
	r.world.queue.After(pause, r.start)
}

// loseDisk removes a node permanently. It does nothing while an earlier loss is not yet
// repaired, since the group would lose its majority.
func (w *world) loseDisk() {
	leader := w.leader()
	if leader == nil {
		return
	}
	members := leader.core.Status().Membership
	if len(members.Voters) != w.config.Nodes || len(members.Learners) > 0 {
		return
	}
	for _, id := range members.Voters {
		if w.node(id) == nil {
			return
		}
	}
	victim := w.node(members.Voters[w.random.IntN(len(members.Voters))])
	victim.crash(time.Hour)
	victim.lost = true
}
