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

// router is a router's agent with its disk and clock.
type router struct {
	world  *world
	self   state.Router
	agent  *agent.Agent
	disk   []byte // the synced state file
	drift  float64
	origin time.Duration
	down   bool
	// suspended is set while the router's machine is suspended; suspendedFor is the total time
	// for which its clock was stopped.
	suspended    bool
	suspendedFor time.Duration
	incarnation  int // counts starts; replies to an earlier incarnation are dropped
	// target is the index of the control node for the next lease request.
	target int
}

func newRouter(w *world, number int) *router {
	r := &router{world: w, self: state.Router{Name: fmt.Sprintf("router-%d", number+1)},
		drift: 1 + (w.random.Float64()*2-1)*maxDrift, origin: w.between(0, time.Hour)}
	r.start()
	w.every(routerHeartbeat, r.sendHeartbeat)
	return r
}

func (r *router) clock() time.Duration {
	return r.origin + time.Duration(float64(r.world.now()-r.suspendedFor)*r.drift)
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
	r.incarnation++
}

func (r *router) stop() { r.down = true }

// suspend suspends the router's machine for a time. Messages that arrive meanwhile are lost.
// With clocksStopInSuspend, its clock stops too.
func (r *router) suspend(length time.Duration) {
	if r.unavailable() {
		return
	}
	r.suspended = true
	r.world.queue.After(length, func() {
		r.suspended = false
		if r.world.clocksStopInSuspend() {
			r.suspendedFor += length
		}
	})
}

// unavailable reports whether the router is stopped or suspended.
func (r *router) unavailable() bool { return r.down || r.suspended }

// save persists the agent's state. As in the router process, it precedes any message that
// depends on the state.
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
	r.world.checks.checkInForce(r)
}

// mode returns the mode in which the router serves, or ModeNone if it does not.
func (r *router) mode() agent.Mode {
	if r.unavailable() {
		return agent.ModeNone
	}
	if r.world.config.Mutant == MutantNoLease && r.agent.InForce() != nil {
		return agent.ModeLeased
	}
	return r.agent.Mode(r.clock())
}

func (r *router) sendHeartbeat() {
	if r.unavailable() {
		return
	}
	r.renew()
	if r.agent.ShouldQueryPeers(r.clock()) {
		r.requestHold()
	}
}

func (r *router) renew() {
	w := r.world
	r.target = (r.target + len(w.nodes)) % len(w.nodes)
	to := w.nodes[r.target]
	sent, incarnation := r.clock(), r.incarnation
	request := r.agent.LeaseRequest()
	answered := false
	w.controlCall(r.self.Name, to, request, func(reply controlapi.LeaseReply) {
		if r.unavailable() || r.incarnation != incarnation {
			return
		}
		answered = true
		if !reply.Leading {
			r.target++
			return
		}
		// After an offer that can't be applied, the agent requests the full bundle.
		_ = r.agent.HandleLeaseReply(sent, reply)
		r.save()
	})
	w.queue.After(4*maxDelay, func() {
		if !answered {
			r.target++
		}
	})
}

func (r *router) requestHold() {
	w := r.world
	sent, incarnation := r.clock(), r.incarnation
	for _, peer := range r.agent.PeersToQuery(sent) {
		request := r.agent.PeerLeaseRequest(peer.Name)
		other := w.router(peer.Name)
		w.send(r.self.Name, peer.Name, func() {
			if other.unavailable() {
				return
			}
			reply := other.agent.HandlePeerLeaseRequest(other.clock(), request)
			other.save()
			w.send(peer.Name, r.self.Name, func() {
				if r.unavailable() || r.incarnation != incarnation {
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
