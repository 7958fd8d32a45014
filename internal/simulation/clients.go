package simulation

import (
	"fmt"
	"strings"
	"time"

	"quinceridge.example/quinceridge/internal/bundle"
	"quinceridge.example/quinceridge/internal/engineapi"
	"quinceridge.example/quinceridge/internal/state"
)

// operatorName signs all bundles of a run, with a key that is the same in every
// run.
const operatorName = "operator"

var operatorKey = strings.Repeat("5a", 32)

func trust() state.Trust {
	public, _, err := bundle.Sign(operatorKey, "")
	if err != nil {
		panic(err)
	}
	return state.Trust{Operators: map[string]string{operatorName: public}, Approvals: 1}
}

// operators race each other with bundles of equal version numbers, and resend
// what got no answer, to other nodes too.
type operators struct {
	world *world
	count int
}

const (
	operatorCount  = 2
	operatorPause  = 1500 * time.Millisecond
	resendAfter    = 300 * time.Millisecond
	resends        = 20
	claimPause     = 400 * time.Millisecond
	claimPatience  = 2 * time.Second
	claimKeys      = 12
	finishAfter    = 200 * time.Millisecond
	crashBefore    = 0.2 // share of attempts whose router dies before the outcome
	doubleDelivery = 3 * time.Second
)

func newOperators(w *world) *operators {
	o := &operators{world: w}
	for i := range operatorCount {
		name := fmt.Sprintf("operator-%d", i+1)
		w.every(operatorPause, func() {
			if w.now() < w.config.Faults {
				o.propose(name)
			}
		})
	}
	return o
}

// propose reads the head from some node, which may be behind, and offers a
// bundle that follows it.
func (o *operators) propose(name string) {
	w := o.world
	from := w.anyNode()
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
	o.send(name, command, digest, resends)
}

func (o *operators) send(name string, command state.Command, digest string, left int) {
	w := o.world
	answered := false
	w.submit(name, w.anyNode(), command, func() {}, func(r state.Result, err error) {
		if err != nil || answered {
			return
		}
		answered = true
		w.checks.answered(command.RequestID, digest, r)
	})
	w.queue.After(resendAfter, func() {
		if !answered && left > 0 {
			o.send(name, command, digest, left-1)
		}
	})
}

// claimers are callers that repeat keys through different routers.
type claimers struct {
	world    *world
	attempts int
	calls    []*ClaimCall
	// runs counts the attempts that ran, by key.
	runs map[string]int
	// told says which attempts were answered "not run".
	told map[string]bool
}

func newClaimers(w *world) *claimers {
	c := &claimers{world: w, runs: map[string]int{}, told: map[string]bool{}}
	for i := range 3 {
		name := fmt.Sprintf("caller-%d", i+1)
		w.every(claimPause, func() {
			if w.now() < w.config.Faults {
				c.attempt(name)
			}
		})
	}
	return c
}

// attempt is one try of one call, as a router makes it.
func (c *claimers) attempt(name string) {
	w := c.world
	c.attempts++
	key := fmt.Sprintf("key-%d", w.random.IntN(claimKeys)+int(w.now()/(10*time.Second))*claimKeys)
	op := state.ClaimOperation{Kind: state.ClaimAcquire, Tenant: "tenant", Key: key, Attempt: fmt.Sprintf("attempt-%d", c.attempts), Request: "r"}
	over := false
	c.submit(name, op, func(r state.Result, err error) {
		if err != nil || (over && w.config.Mutant != MutantNoVoid) {
			return
		}
		over = true
		if r.Claims[0].State == state.ClaimGranted {
			c.run(name, op)
		}
	})
	w.queue.After(claimPatience, func() {
		if over {
			return
		}
		// The caller is told that the call was not run.
		over = true
		c.told[op.Attempt] = true
		w.report.NotRun++
		c.resend(name, op, state.ClaimRelease, resends)
	})
}

// submit sends an operation to some node and records the call.
func (c *claimers) submit(name string, op state.ClaimOperation, done func(state.Result, error)) {
	w := c.world
	call := &ClaimCall{Operation: op, Start: w.now(), End: -1}
	c.calls = append(c.calls, call)
	w.submit(name, w.anyNode(), claims(op), func() { call.appended = true }, func(r state.Result, err error) {
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
	if c.told[op.Attempt] {
		c.world.checks.fail("%s ran after it was called not run", op.Attempt)
	}
	if c.world.chance(crashBefore) {
		return
	}
	op.Outcome = &state.Outcome{Status: 200, Body: []byte(op.Attempt)}
	c.world.queue.After(finishAfter, func() { c.resend(name, op, state.ClaimFinish, resends) })
}

func (c *claimers) resend(name string, op state.ClaimOperation, kind state.ClaimKind, left int) {
	w := c.world
	op.Kind = kind
	answered := false
	c.submit(name, op, func(_ state.Result, err error) { answered = answered || err == nil })
	w.queue.After(resendAfter, func() {
		if !answered && left > 0 {
			c.resend(name, op, kind, left-1)
		}
	})
}

// hand gives the recorded calls away.
func (c *claimers) hand(record func(ClaimCall)) {
	for _, call := range c.calls {
		if record != nil && call.appended {
			record(*call)
		}
	}
}

// fencedEngine is an engine that takes orders.
type fencedEngine struct {
	world   *world
	highest engineapi.Fence
	obeyed  engineapi.Fence
}

// giveOrder lets every node that believes that it leads give an order.
func (w *world) giveOrder() {
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

// deliverOrder sends an order, sometimes twice and late.
func (w *world) deliverOrder(from string, fence engineapi.Fence) {
	w.send(from, "engine", func() { w.engine.obey(fence) })
	if w.chance(0.3) {
		w.queue.After(w.between(0, doubleDelivery), func() { w.engine.obey(fence) })
	}
}

func (e *fencedEngine) obey(fence engineapi.Fence) {
	if !e.highest.Less(fence) && e.world.config.Mutant != MutantNoFence {
		return
	}
	if fence.Less(e.obeyed) {
		e.world.checks.fail("the engine obeyed order %v after %v", fence, e.obeyed)
	}
	e.world.report.Orders++
	e.highest, e.obeyed = fence, fence
}
