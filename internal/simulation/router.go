package simulation

import (
	"encoding/json"
	"fmt"
	"time"

	"quinceridge.example/quinceridge/internal/agent"
	"quinceridge.example/quinceridge/internal/controlapi"
	"quinceridge.example/quinceridge/internal/state"
)

const routerHeartbeat = 500 * time.Millisecond

// router is one router with its agent.
type router struct {
	world  *world
	self   state.Router
	agent  *agent.Agent
	disk   []byte // the synced state file
	drift  float64
	origin time.Duration
	down   bool
	// asleep says that its machine is suspended, and slept for how long its clock has
	// stood still.
	asleep bool
	slept  time.Duration
	life   int // counts starts, so that answers to an earlier life are dropped
	// target is the control node that answered last.
	target int
}

func newRouter(w *world, number int) *router {
	r := &router{world: w, self: state.Router{Name: fmt.Sprintf("router-%d", number+1)},
		drift: 1 + (w.random.Float64()*2-1)*mostDrift, origin: w.between(0, time.Hour)}
	r.start()
	w.every(routerHeartbeat, r.beat)
	return r
}

func (r *router) clock() time.Duration {
	return r.origin + time.Duration(float64(r.world.now()-r.slept)*r.drift)
}

func (r *router) start() {
	var durable agent.PersistentState
	if len(r.disk) > 0 {
		if err := json.Unmarshal(r.disk, &durable); err != nil {
			r.world.checks.fail("%s: %v", r.self.Name, err)
			return
		}
	}
	r.agent = agent.New(r.self, durable, r.clock())
	r.down = false
	r.life++
}

func (r *router) stop() { r.down = true }

// suspend stops the router's whole machine, its steady clock too. What reaches it
// meanwhile is lost.
func (r *router) suspend(length time.Duration) {
	if r.silent() {
		return
	}
	r.asleep = true
	r.world.queue.After(length, func() {
		r.asleep = false
		if r.world.steadyClocks() {
			r.slept += length
		}
	})
}

// silent tells whether the router does nothing now.
func (r *router) silent() bool { return r.down || r.asleep }

// save makes the agent's state durable, as the router process does before
// anything leaves.
func (r *router) save() {
	if !r.agent.Dirty() {
		return
	}
	data, err := json.Marshal(r.agent.PersistentState())
	if err != nil {
		r.world.checks.fail("%s: %v", r.self.Name, err)
		return
	}
	r.disk = data
	r.agent.MarkSaved()
	r.world.checks.inForce(r)
}

// mode is by what right the router serves.
func (r *router) mode() agent.Mode {
	if r.silent() {
		return agent.ModeNone
	}
	if r.world.config.Mutant == MutantNoLease && r.agent.InForce() != nil {
		return agent.ModeLeased
	}
	return r.agent.Mode(r.clock())
}

func (r *router) beat() {
	if r.silent() {
		return
	}
	r.renew()
	if r.agent.ShouldQueryPeers(r.clock()) {
		r.askPeers()
	}
}

func (r *router) renew() {
	w := r.world
	r.target = (r.target + len(w.nodes)) % len(w.nodes)
	to := w.nodes[r.target]
	sent, life := r.clock(), r.life
	request := r.agent.LeaseRequest()
	answered := false
	w.controlCall(r.self.Name, to, request, func(reply controlapi.LeaseReply) {
		if r.silent() || r.life != life {
			return
		}
		answered = true
		if !reply.Leading {
			r.target++
			return
		}
		// An offer that cannot be applied is asked for again in whole.
		_ = r.agent.HandleLeaseReply(sent, reply)
		r.save()
	})
	w.queue.After(4*longestDelay, func() {
		if !answered {
			r.target++
		}
	})
}

func (r *router) askPeers() {
	w := r.world
	sent, life := r.clock(), r.life
	for _, peer := range r.agent.PeersToQuery(sent) {
		request := r.agent.PeerLeaseRequest(peer.Name)
		other := w.router(peer.Name)
		w.send(r.self.Name, peer.Name, func() {
			if other.silent() {
				return
			}
			reply := other.agent.HandlePeerLeaseRequest(other.clock(), request)
			other.save()
			w.send(peer.Name, r.self.Name, func() {
				if r.silent() || r.life != life {
					return
				}
				if w.config.Mutant == MutantNoAdopt {
					reply.Offer, reply.Newest = nil, controlapi.BundleID{}
				}
				if err := r.agent.HandlePeerLeaseReply(r.clock(), sent, peer.Name, reply); err != nil {
					w.checks.fail("%s: %v", r.self.Name, err)
				}
				r.save()
			})
		})
	}
}

func (w *world) router(name string) *router {
	for _, r := range w.routers {
		if r.self.Name == name {
			return r
		}
	}
	return nil
}
