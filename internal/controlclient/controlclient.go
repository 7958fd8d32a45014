// Package controlclient is a client of the control group. It finds the leader, follows changes
// of leadership, and separates commands that were not run from those whose outcome is unknown.
package controlclient

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"quinceridge.example/quinceridge/internal/controlapi"
	"quinceridge.example/quinceridge/internal/peer"
	"quinceridge.example/quinceridge/internal/state"
)

// ErrNoLeader is returned when no control node is the leader or none can be reached. The call
// was not run.
var ErrNoLeader = errors.New("no reachable control leader")

// ErrOutcomeUnknown is returned when a command was sent and no reply was received. It may have
// been run. Retry the same command with the same request ID.
var ErrOutcomeUnknown = errors.New("command outcome is unknown")

// callTimeout is the timeout for a call to one node.
const callTimeout = 1500 * time.Millisecond

// Client calls one control group. It is safe for concurrent use.
type Client struct {
	peers     *peer.Client
	addresses []string

	mu     sync.Mutex
	leader string
}

// New returns a client of the nodes at the given addresses.
func New(peers *peer.Client, addresses []string) *Client {
	return &Client{peers: peers, addresses: addresses}
}

// candidates returns the addresses to try, with the last known leader first.
func (c *Client) candidates() []string {
	c.mu.Lock()
	leader := c.leader
	c.mu.Unlock()
	if leader == "" {
		return c.addresses
	}
	out := []string{leader}
	for _, address := range c.addresses {
		if address != leader {
			out = append(out, address)
		}
	}
	return out
}

func (c *Client) setLeader(address string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.leader = address
}

// outcome is the result of a call to one node.
type outcome struct {
	done   bool   // the node is the leader and has replied
	leader string // address of the leader, if the node reported another one
}

// callLeader calls the nodes in turn until the leader replies. A leader named by a node is
// tried next. An error after the request was sent ends the search, as the request may have
// been run.
func (c *Client) callLeader(ctx context.Context, call func(ctx context.Context, address string) (outcome, error)) error {
	tried := map[string]bool{}
	queue := c.candidates()
	for len(queue) > 0 && ctx.Err() == nil {
		address := queue[0]
		queue = queue[1:]
		if tried[address] {
			continue
		}
		tried[address] = true
		callCtx, cancel := context.WithTimeout(ctx, callTimeout)
		result, err := call(callCtx, address)
		cancel()
		switch {
		case err != nil && !notSent(err):
			return err
		case err != nil:
			continue
		case result.done:
			c.setLeader(address)
			return nil
		case result.leader != "":
			queue = append([]string{result.leader}, queue...)
		}
	}
	c.setLeader("")
	return ErrNoLeader
}

func notSent(err error) bool { return errors.Is(err, peer.ErrUnreachable) }

// Lease renews a router's lease.
func (c *Client) Lease(ctx context.Context, request controlapi.LeaseRequest) (controlapi.LeaseReply, error) {
	var reply controlapi.LeaseReply
	err := c.callLeader(ctx, func(ctx context.Context, address string) (outcome, error) {
		reply = controlapi.LeaseReply{}
		err := c.peers.Call(ctx, address, controlapi.KindLease, request, &reply)
		if err != nil {
			// Heartbeats are idempotent: continue with the next node.
			return outcome{}, errors.Mark(err, peer.ErrUnreachable)
		}
		return outcome{done: reply.Leading, leader: reply.Leader}, nil
	})
	return reply, err
}

// Submit runs a command. ErrNoLeader means that it was not run, ErrOutcomeUnknown that it may
// have been.
func (c *Client) Submit(ctx context.Context, command state.Command) (state.Result, error) {
	var reply controlapi.SubmitReply
	err := c.callLeader(ctx, func(ctx context.Context, address string) (outcome, error) {
		reply = controlapi.SubmitReply{}
		err := c.peers.Call(ctx, address, controlapi.KindSubmit, controlapi.SubmitRequest{Command: command}, &reply)
		if err != nil && !notSent(err) {
			return outcome{}, errors.Mark(err, ErrOutcomeUnknown)
		}
		return outcome{done: !reply.NotLeader, leader: reply.Leader}, err
	})
	return reply.Result, err
}

// SubmitWithRetry runs a command and, if it has a request ID, retries it until a reply is
// received or ctx ends.
func (c *Client) SubmitWithRetry(ctx context.Context, command state.Command) (state.Result, error) {
	for {
		result, err := c.Submit(ctx, command)
		if err == nil || command.RequestID == "" {
			return result, err
		}
		select {
		case <-ctx.Done():
			return result, err
		case <-time.After(retryInterval):
		}
	}
}

// retryInterval is the delay between two attempts of SubmitWithRetry.
const retryInterval = 300 * time.Millisecond

// Change changes the membership of the control group.
func (c *Client) Change(ctx context.Context, request controlapi.ChangeRequest) (controlapi.Acknowledgement, error) {
	return c.callAcknowledged(ctx, controlapi.KindChange, request)
}

// Transfer transfers leadership to another node.
func (c *Client) Transfer(ctx context.Context, request controlapi.TransferRequest) (controlapi.Acknowledgement, error) {
	return c.callAcknowledged(ctx, controlapi.KindTransfer, request)
}

func (c *Client) callAcknowledged(ctx context.Context, kind string, request any) (controlapi.Acknowledgement, error) {
	var reply controlapi.Acknowledgement
	err := c.callLeader(ctx, func(ctx context.Context, address string) (outcome, error) {
		reply = controlapi.Acknowledgement{}
		err := c.peers.Call(ctx, address, kind, request, &reply)
		return outcome{done: !reply.NotLeader, leader: reply.Leader}, err
	})
	return reply, err
}

// Status returns the status of the leader or, without a leader, that of the first node that
// replies.
func (c *Client) Status(ctx context.Context, request controlapi.StatusRequest) (controlapi.StatusReply, error) {
	var fallback *controlapi.StatusReply
	for _, address := range c.candidates() {
		reply, err := c.NodeStatus(ctx, address, request)
		if err != nil {
			continue
		}
		if reply.HoldsLease {
			c.setLeader(address)
			return reply, nil
		}
		if fallback == nil {
			fallback = &reply
		}
	}
	if fallback == nil {
		return controlapi.StatusReply{}, ErrNoLeader
	}
	return *fallback, nil
}

// NodeStatus returns the status of the node at the given address.
func (c *Client) NodeStatus(ctx context.Context, address string, request controlapi.StatusRequest) (controlapi.StatusReply, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	var reply controlapi.StatusReply
	err := c.peers.Call(ctx, address, controlapi.KindStatus, request, &reply)
	return reply, err
}

// View requests the machine list and load from the nodes in the order of the addresses given
// to New, and returns the first reply.
func (c *Client) View(ctx context.Context, request controlapi.ViewRequest) (controlapi.ViewReply, error) {
	for _, address := range c.addresses {
		callCtx, cancel := context.WithTimeout(ctx, callTimeout)
		var reply controlapi.ViewReply
		err := c.peers.Call(callCtx, address, controlapi.KindView, request, &reply)
		cancel()
		if err == nil {
			return reply, nil
		}
	}
	return controlapi.ViewReply{}, ErrNoLeader
}
