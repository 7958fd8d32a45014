package main

import (
	"context"
	"fmt"
	"os"
	"sort"
	"time"

	"github.com/cockroachdb/errors"

	"quinceridge.example/quinceridge/internal/bundle"
	"quinceridge.example/quinceridge/internal/controlapi"
	"quinceridge.example/quinceridge/internal/level"
	"quinceridge.example/quinceridge/internal/peer"
	"quinceridge.example/quinceridge/internal/raft"
	"quinceridge.example/quinceridge/internal/state"
	"quinceridge.example/quinceridge/internal/trace"
	"quinceridge.example/quinceridge/internal/version"
)

type fleetCommand struct {
	Status fleetStatusCommand `cmd:"" help:"Show control nodes, routers and machines."`
	Retire fleetRetireCommand `cmd:"" help:"Remove routers that are stopped for good."`
}

type fleetStatusCommand struct {
	target `embed:""`
	JSON   bool `help:"Print JSON."`
}

// Run prints the control nodes, routers and machines.
func (c *fleetStatusCommand) Run() error {
	status, err := c.status(controlapi.StatusRequest{Digest: true})
	if err != nil {
		return err
	}
	if c.JSON {
		return printJSON(status)
	}
	r := status.Raft
	fmt.Printf("leader %d in term %d, holds lease: %v, entries applied: %d\n", r.Leader, r.Term, status.HoldsLease, r.Applied)
	for _, id := range r.Membership.Members() {
		kind := "voter"
		if r.Membership.IsLearner(id) {
			kind = "learner"
		}
		fmt.Printf("  control %d %s %s match=%d\n", id, kind, r.Membership.Addresses[id], r.Match[id])
	}
	fmt.Printf("routers: %d\n", len(status.Routers))
	for _, place := range status.Routers {
		fmt.Printf("  %-24s %-20s leased=%-5v joining=%-5v version=%d\n", place.Router.Name, place.Router.Zone, place.Leased, place.Joining, place.InForce.Version)
	}
	fmt.Printf("machines: %d\n", len(status.Machines))
	for _, m := range status.Machines {
		fmt.Printf("  %-24s %-12s %-20s model=%s weights=%d leaving=%v\n", m.ID, m.Role, m.Zone, m.Model, m.WeightsVersion, m.Leaving)
	}
	return nil
}

type fleetRetireCommand struct {
	target `embed:""`
	Names  []string `arg:"" help:"Names of routers. You vouch that they are stopped and stay so."`
}

// Run removes the named routers.
func (c *fleetRetireCommand) Run() error {
	_, err := c.submit(state.Command{RequestID: newRequestID(), Retire: &state.Retire{Names: c.Names}})
	return err
}

type memberCommand struct {
	Add     memberAddCommand     `cmd:"" help:"Add a machine as a learner."`
	Promote memberPromoteCommand `cmd:"" help:"Make a learner that has caught up a voter."`
	Remove  memberRemoveCommand  `cmd:"" help:"Remove a machine."`
	Lead    memberLeadCommand    `cmd:"" help:"Hand leadership to a voter."`
}

type memberAddCommand struct {
	target  `embed:""`
	ID      uint64 `arg:"" help:"A number that was never used before."`
	Address string `arg:"" help:"The machine's address for peers."`
}

// Run adds a learner.
func (c *memberAddCommand) Run() error {
	return c.change(raft.Change{Kind: raft.AddLearner, ID: c.ID, Address: c.Address})
}

type memberPromoteCommand struct {
	target `embed:""`
	ID     uint64 `arg:"" help:"The learner's number."`
}

// Run makes a learner a voter.
func (c *memberPromoteCommand) Run() error {
	return c.change(raft.Change{Kind: raft.Promote, ID: c.ID})
}

type memberRemoveCommand struct {
	target `embed:""`
	ID     uint64 `arg:"" help:"The machine's number."`
}

// Run removes a member.
func (c *memberRemoveCommand) Run() error {
	return c.change(raft.Change{Kind: raft.RemoveMember, ID: c.ID})
}

func (t *target) change(change raft.Change) error {
	client, ctx, cancel := t.connect()
	defer cancel()
	return refusalError(client.Change(ctx, controlapi.ChangeRequest{Change: change}))
}

// refusalError returns err, or an error marked with errRefused if the reply is a refusal.
func refusalError(reply controlapi.Acknowledgement, err error) error {
	if err == nil && !reply.OK {
		err = errors.Mark(errors.New(reply.Message), errRefused)
	}
	return err
}

type memberLeadCommand struct {
	target `embed:""`
	ID     uint64 `arg:"" help:"The voter's number."`
}

// Run transfers leadership to a voter.
func (c *memberLeadCommand) Run() error {
	client, ctx, cancel := c.connect()
	defer cancel()
	return refusalError(client.Transfer(ctx, controlapi.TransferRequest{To: c.ID}))
}

type keyCommand struct {
	Generate keyGenerateCommand `cmd:"" help:"Make a key pair: the private half goes to a file, the public one is printed."`
}

type keyGenerateCommand struct {
	Out string `required:"" help:"New file for the private key." placeholder:"FILE"`
}

// keyFileMode gives access to a private key to its owner only.
const keyFileMode = 0o600

// Run writes a new private key to a file and prints the public key.
func (c *keyGenerateCommand) Run() error {
	public, private, err := bundle.GenerateKey()
	if err != nil {
		return err
	}
	file, err := os.OpenFile(c.Out, os.O_WRONLY|os.O_CREATE|os.O_EXCL, keyFileMode)
	if err != nil {
		return errors.Wrap(err, "create key file")
	}
	if _, err := fmt.Fprintln(file, private); err != nil {
		return errors.Wrap(err, "write key file")
	}
	fmt.Println(public)
	return errors.Wrap(file.Close(), "close key file")
}

type traceCommand struct {
	Request string   `arg:"" help:"The request's name, from X-Request-Id of its answer."`
	Router  []string `required:"" help:"Peer addresses of the routers to ask." placeholder:"ADDRESS"`
	JSON    bool     `help:"Print JSON."`
}

// traceTimeout bounds the request to one router.
const traceTimeout = 2 * time.Second

// Run prints the request's trace from each router that has one.
func (c *traceCommand) Run() error {
	client := peer.NewClient(&peer.Counters{})
	found := false
	for _, address := range c.Router {
		ctx, cancel := context.WithTimeout(context.Background(), traceTimeout)
		var reply trace.Trace
		err := client.Call(ctx, address, controlapi.KindTrace, controlapi.TraceRequest{RequestID: c.Request}, &reply)
		cancel()
		if err != nil {
			continue
		}
		found = true
		if err := c.print(address, reply); err != nil {
			return err
		}
	}
	if !found {
		return errors.Newf("request %s not found on any reachable router", c.Request)
	}
	return nil
}

func (c *traceCommand) print(address string, t trace.Trace) error {
	if c.JSON {
		return printJSON(t)
	}
	fmt.Printf("request %s of tenant %s at router %s, from %s\n", t.RequestID, t.Tenant, address, t.Started.Format(time.RFC3339Nano))
	for _, step := range t.Steps {
		fmt.Printf("  %9.1f ms  %-12s %s\n", step.At, step.What, step.Detail)
	}
	return nil
}

type eventCommand struct {
	List eventListCommand `cmd:"" help:"List the events."`
	Show eventShowCommand `cmd:"" help:"Show one event."`
}

type eventListCommand struct {
	target `embed:""`
	JSON   bool `help:"Print JSON."`
}

// Run prints the events in the order of their start.
func (c *eventListCommand) Run() error {
	events, err := c.events()
	if err != nil {
		return err
	}
	if c.JSON {
		return printJSON(events)
	}
	names := make([]string, 0, len(events))
	for name := range events {
		names = append(names, name)
	}
	sort.Slice(names, func(i, j int) bool { return events[names[i]].Start.Before(events[names[j]].Start) })
	for _, name := range names {
		e := events[name]
		fmt.Printf("%-24s %s for %s, %d tenants, weight %g\n", name, e.Start.Format(time.RFC3339), e.Duration, len(e.Tenants), e.Weight)
	}
	return nil
}

func (t *target) events() (map[string]bundle.Event, error) {
	status, err := t.status(controlapi.StatusRequest{Head: true})
	if err != nil {
		return nil, err
	}
	if len(status.Head) == 0 {
		return nil, nil
	}
	b, err := bundle.Parse(status.Head)
	if err != nil {
		return nil, err
	}
	return b.Events, nil
}

type eventShowCommand struct {
	target `embed:""`
	Name   string `arg:"" help:"The event's name."`
}

// Run prints one event as JSON.
func (c *eventShowCommand) Run() error {
	events, err := c.events()
	if err != nil {
		return err
	}
	event, ok := events[c.Name]
	if !ok {
		return errors.Newf("no such event: %s", c.Name)
	}
	return printJSON(event)
}

type versionCommand struct{}

// Run prints the version, the build and the level.
func (versionCommand) Run() error {
	fmt.Println("quinceridge", version.Current, version.Build(), "level", level.Current)
	return nil
}
