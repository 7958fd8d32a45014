package simulation

import "time"

// fault is something that goes wrong.
type fault struct {
	name   string
	weight int
	run    func(w *world)
}

var faults = []fault{
	{"crash", 6, func(w *world) { w.anyNode().crash(w.between(50*time.Millisecond, 3*time.Second)) }},
	{"crash the leader", 4, func(w *world) {
		if n := w.leader(); n != nil {
			n.crash(w.between(50*time.Millisecond, 3*time.Second))
		}
	}},
	{"kill at a write", 6, func(w *world) { w.anyNode().writes = 1 + w.random.IntN(12) }},
	{"freeze", 3, func(w *world) { w.anyNode().freeze(w.between(300*time.Millisecond, 5*time.Second)) }},
	{"freeze the leader", 4, func(w *world) {
		if n := w.leader(); n != nil {
			n.freeze(w.between(300*time.Millisecond, 5*time.Second))
		}
	}},
	{"suspend a machine", 3, func(w *world) { w.anyNode().suspend(w.between(300*time.Millisecond, 8*time.Second)) }},
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
			w.cut(w.between(time.Second, 10*time.Second), append(w.someRouters(), n.name)...)
		}
	}},
	{"cut off routers", 4, func(w *world) { w.cut(w.between(time.Second, 12*time.Second), w.someRouters()...) }},
	{"cut off control", 4, func(w *world) {
		var names []string
		for _, r := range w.routers {
			names = append(names, r.self.Name)
		}
		w.cut(w.between(3*time.Second, 10*time.Second), names...)
	}},
	{"lossy network", 4, func(w *world) {
		w.loss, w.double = 0.3*w.random.Float64(), 0.3*w.random.Float64()
		w.queue.After(w.between(time.Second, 5*time.Second), func() { w.loss, w.double = 0, 0 })
	}},
	{"restart routers", 4, func(w *world) {
		for _, r := range w.routers {
			if w.chance(0.5) {
				r.bounce(w.between(50*time.Millisecond, 4*time.Second))
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
			n.receive(func() { _ = n.core.TransferLeadership(w.anyNode().id) })
		}
	}},
}

func (w *world) count(name string) { w.report.Faults[name]++ }

// scheduleFaults lets faults come at random times, one by one, together and
// twice over, and heals everything at the end.
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
	clear(w.islands)
	w.loss, w.double = 0, 0
	for _, n := range w.nodes {
		n.writes = 0
	}
}

// cut puts the named places on an island of their own for a time.
func (w *world) cut(length time.Duration, names ...string) {
	island := int(w.queue.Planned()) + 1
	for _, name := range names {
		w.islands[name] = island
	}
	w.queue.After(length, func() {
		for _, name := range names {
			if w.islands[name] == island {
				delete(w.islands, name)
			}
		}
	})
}

func (w *world) someRouters() []string {
	var names []string
	for _, r := range w.routers {
		if w.chance(0.4) {
			names = append(names, r.self.Name)
		}
	}
	return names
}

func (r *router) bounce(pause time.Duration) {
	if r.down {
		return
	}
	r.stop()
	r.world.queue.After(pause, r.start)
}

// loseDisk loses a machine for good, unless another one is lost already and not
// yet replaced: then a majority would be gone, which no group survives. A
// second machine is lost right after the first was replaced.
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
