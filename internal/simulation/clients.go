package simulation

import (
	"fmt"
	"strings"
	"time"

	"quinceridge.example/quinceridge/internal/bundle"
	"quinceridge.example/quinceridge/internal/engineapi"
	"quinceridge.example/quinceridge/internal/state"
)

// operatorName signs all bundles, with a fixed key.
const operatorName = "operator"

var operatorKey = strings.Repeat("5a", 32)

func trust() state.Trust {
	public, _, err := bundle.Sign(operatorKey, "")
	if err != nil {
		panic(err)
	}
	return state.Trust{Operators: map[string]string{operatorName: public}, Approvals: 1}
}

// operators propose competing bundles with the same version number and retry requests that got
// no response, possibly at another node.
type operators struct {
	world *world
	count int
}

const (
	operatorCount     = 2
	operatorInterval  = 1500 * time.Millisecond
	resendInterval    = 300 * time.Millisecond
	maxResends        = 20
	claimInterval     = 400 * time.Millisecond
	claimTimeout      = 2 * time.Second
	claimKeys         = 12
	finishDelay       = 200 * time.Millisecond
	crashProbability  = 0.2 // probability that a router crashes before it records the outcome
	maxDuplicateDelay = 3 * time.Second
)

func newOperators(w *world) *operators {
	o := &operators{world: w}
	for i := range operatorCount {
		name := fmt.Sprintf("operator-%d", i+1)
		w.every(operatorInterval, func() {
			if w.now() < w.config.Faults {
				o.propose(name)
			}
		})
	}
	return o
}

// propose reads the head from a random node, which may lag behind, and proposes a bundle with
// the head as its parent.
func (o *operators) propose(name string) {
	w := o.world
	from := w.randomNode()
	if !from.running() {
		return
	}
	o.count++
	b := bundle.Bundle{Version: 1, Approvals: 1, Operators: trust().Operators,
		Tenants: map[string]bundle.Tenant{fmt.Sprintf("tenant-%d", o.count): {Weight: 1}}}
	if head := from.core.Machine().Head(); head != nil {
		b.Version, b.Parent = head.Version+1, head.Digest
	}
	canonical, err := b.Canonical()
	if err != nil {
		w.checks.fail("%v", err)
		return
	}
	digest := bundle.Digest(canonical)
	_, signature, err := bundle.Sign(operatorKey, digest)
	if err != nil {
		w.checks.fail("%v", err)
		return
	}
	command := state.Command{RequestID: fmt.Sprintf("%s/%d", name, o.count), Propose: &state.Propose{Canonical: canonical,
		Signature: state.Signature{Operator: operatorName, Signature: signature}, Bootstrap: trust()}}
	o.send(name, command, digest, maxResends)
}

func (o *operators) send(name string, command state.Command, digest string, left int) {
	w := o.world
	answered := false
	w.submit(name, w.randomNode(), command, func() {}, func(r state.Result, err error) {
		if err != nil || answered {
			return
		}
		answered = true
		w.checks.answered(command.RequestID, digest, r)
	})
	w.queue.After(resendInterval, func() {
		if !answered && left > 0 {
			o.send(name, command, digest, left-1)
		}
	})
}

// claimers simulate callers that reuse keys through different routers.
type claimers struct {
	world    *world
	attempts int
	calls    []*ClaimCall
	// runs counts the attempts that ran, by key.
	runs map[string]int
	// answeredNotRun contains the attempts whose callers received "not run".
	answeredNotRun map[string]bool
}

func newClaimers(w *world) *claimers {
	c := &claimers{world: w, runs: map[string]int{}, answeredNotRun: map[string]bool{}}
	for i := range 3 {
		name := fmt.Sprintf("caller-%d", i+1)
		w.every(claimInterval, func() {
			if w.now() < w.config.Faults {
				c.attempt(name)
			}
		})
	}
	return c
}

// attempt makes one attempt at a call, as a router does.
func (c *claimers) attempt(name string) {
	w := c.world
	c.attempts++
	key := fmt.Sprintf("key-%d", w.random.IntN(claimKeys)+int(w.now()/(10*time.Second))*claimKeys)
	op := state.ClaimOperation{Kind: state.ClaimAcquire, Tenant: "tenant", Key: key, Attempt: fmt.Sprintf("attempt-%d", c.attempts), Request: "r"}
	settled := false
	c.submit(name, op, func(r state.Result, err error) {
		if err != nil || (settled && w.config.Mutant != MutantNoVoid) {
			return
		}
		settled = true
		if r.Claims[0].State == state.ClaimGranted {
			c.run(name, op)
		}
	})
	w.queue.After(claimTimeout, func() {
		if settled {
			return
		}
		// The caller receives "not run".
		settled = true
		c.answeredNotRun[op.Attempt] = true
		w.report.NotRun++
		c.resend(name, op, state.ClaimRelease, maxResends)
	})
}

// submit sends an operation to a random node and records the call.
func (c *claimers) submit(name string, op state.ClaimOperation, done func(state.Result, error)) {
	w := c.world
	call := &ClaimCall{Operation: op, Start: w.now(), End: -1}
	c.calls = append(c.calls, call)
	w.submit(name, w.randomNode(), claims(op), func() { call.appended = true }, func(r state.Result, err error) {
		if err == nil && call.End < 0 {
			call.End, call.State = w.now(), r.Claims[0].State
		}
		done(r, err)
	})
}

func claims(op state.ClaimOperation) state.Command {
	return state.Command{Claims: &state.Claims{Operations: []state.ClaimOperation{op}}}
}

func (c *claimers) run(name string, op state.ClaimOperation) {
	c.runs[op.Key]++
	c.world.report.Runs++
	if c.runs[op.Key] > 1 {
		c.world.checks.fail("key %s ran %d times", op.Key, c.runs[op.Key])
	}
	if c.answeredNotRun[op.Attempt] {
		c.world.checks.fail("%s ran after it was reported as not run", op.Attempt)
	}
	if c.world.chance(crashProbability) {
		return
	}
	op.Outcome = &state.Outcome{Status: 200, Body: []byte(op.Attempt)}
	c.world.queue.After(finishDelay, func() { c.resend(name, op, state.ClaimFinish, maxResends) })
}

func (c *claimers) resend(name string, op state.ClaimOperation, kind state.ClaimKind, left int) {
	w := c.world
	op.Kind = kind
	answered := false
	c.submit(name, op, func(_ state.Result, err error) { answered = answered || err == nil })
	w.queue.After(resendInterval, func() {
		if !answered && left > 0 {
			c.resend(name, op, kind, left-1)
		}
	})
}

// replay passes the recorded calls that reached a log to record.
func (c *claimers) replay(record func(ClaimCall)) {
	for _, call := range c.calls {
		if record != nil && call.appended {
			record(*call)
		}
	}
}

// fencedEngine is an engine that accepts orders in the order of their fences.
type fencedEngine struct {
	world        *world
	highest      engineapi.Fence
	lastAccepted engineapi.Fence
}

// issueOrders proposes an order at every node that has the leader role, current or not.
func (w *world) issueOrders() {
	for _, n := range w.nodes {
		if !n.running() || n.core.Status().Role != "leader" {
			continue
		}
		n.receive(func() {
			command := state.Command{Order: &state.Order{Engine: "engine", Order: engineapi.Order{Kind: engineapi.OrderDrain}}}
			_ = n.core.Propose(n.clock(), command, func(r state.Result, err error) {
				if err == nil {
					w.deliverOrder(n.name, r.Fence)
				}
			})
		})
	}
}

// deliverOrder sends an order to the engine, sometimes with a late duplicate.
func (w *world) deliverOrder(from string, fence engineapi.Fence) {
	w.send(from, "engine", func() { w.engine.handleOrder(fence) })
	if w.chance(0.3) {
		w.queue.After(w.between(0, maxDuplicateDelay), func() { w.engine.handleOrder(fence) })
	}
}

func (e *fencedEngine) handleOrder(fence engineapi.Fence) {
	if !e.highest.Less(fence) && e.world.config.Mutant != MutantNoFence {
		return
	}
	if fence.Less(e.lastAccepted) {
		e.world.checks.fail("engine accepted order %v after %v", fence, e.lastAccepted)
	}
	e.world.report.Orders++
	e.highest, e.lastAccepted = fence, fence
}
