// Package claims is a router's client of the at-most-once claims in the replicated log. It
// batches the operations of many requests into one command.
package claims

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"quinceridge.example/quinceridge/internal/controlclient"
	"quinceridge.example/quinceridge/internal/state"
)

// Parameters of batching.
const (
	maxBatchSize         = 64
	batchDelay           = 2 * time.Millisecond
	queueSize            = 1024
	maxConcurrentSubmits = 4
)

// Parameters of retries of Finish and Release.
const (
	maxResends     = 20
	resendInterval = 500 * time.Millisecond
	submitTimeout  = 2 * time.Second
)

// ErrNoQuorum is returned when the log is unreachable. The claim was not granted, so the
// attempt must not run.
var ErrNoQuorum = errors.New("claims cannot be made: control has no quorum")

// Submitter runs commands through the replicated log.
type Submitter interface {
	Submit(ctx context.Context, command state.Command) (state.Result, error)
}

var _ Submitter = (*controlclient.Client)(nil)

type operation struct {
	claim state.ClaimOperation
	reply chan reply
}

type reply struct {
	result state.ClaimResult
	err    error
}

// Client batches operations. It is safe for concurrent use.
type Client struct {
	submitter Submitter
	queue     chan operation
}

// New returns a client. Its methods need Run to be running.
func New(submitter Submitter) *Client {
	return &Client{submitter: submitter, queue: make(chan operation, queueSize)}
}

// Run submits batches until ctx ends.
func (c *Client) Run(ctx context.Context) {
	slots := make(chan struct{}, maxConcurrentSubmits)
	for {
		batch := c.collect(ctx)
		if len(batch) == 0 {
			return
		}
		slots <- struct{}{}
		go func() {
			defer func() { <-slots }()
			c.submit(ctx, batch)
		}()
	}
}

// collect waits for an operation and adds those that arrive within batchDelay. It returns an
// empty batch when ctx ends.
func (c *Client) collect(ctx context.Context) []operation {
	var batch []operation
	select {
	case <-ctx.Done():
		return nil
	case first := <-c.queue:
		batch = append(batch, first)
	}
	timer := time.NewTimer(batchDelay)
	defer timer.Stop()
	for len(batch) < maxBatchSize {
		select {
		case next := <-c.queue:
			batch = append(batch, next)
		case <-timer.C:
			return batch
		}
	}
	return batch
}

func (c *Client) submit(ctx context.Context, batch []operation) {
	ctx, cancel := context.WithTimeout(ctx, submitTimeout)
	defer cancel()
	command := state.Command{Claims: &state.Claims{}}
	for _, op := range batch {
		command.Claims.Operations = append(command.Claims.Operations, op.claim)
	}
	result, err := c.submitter.Submit(ctx, command)
	if err == nil && len(result.Claims) != len(batch) {
		err = errors.New("reply does not match the batch")
	}
	for i, op := range batch {
		if err != nil {
			op.reply <- reply{err: err}
			continue
		}
		op.reply <- reply{result: result.Claims[i]}
	}
}

func (c *Client) do(ctx context.Context, claim state.ClaimOperation) (state.ClaimResult, error) {
	op := operation{claim: claim, reply: make(chan reply, 1)}
	select {
	case c.queue <- op:
	default:
		return state.ClaimResult{}, errors.New("claim queue is full")
	}
	select {
	case a := <-op.reply:
		return a.result, a.err
	case <-ctx.Done():
		return state.ClaimResult{}, errors.Wrap(ctx.Err(), "wait for claim")
	}
}

// Acquire claims the key's only attempt. After an error, which is marked ErrNoQuorum, the
// attempt must not run; its claim is released in the background.
func (c *Client) Acquire(ctx context.Context, claim state.ClaimOperation) (state.ClaimResult, error) {
	claim.Kind = state.ClaimAcquire
	result, err := c.do(ctx, claim)
	if err != nil {
		c.Release(claim)
		return result, errors.Mark(err, ErrNoQuorum)
	}
	return result, nil
}

// Finish stores the outcome of an attempt. It returns immediately and retries in the
// background.
func (c *Client) Finish(claim state.ClaimOperation, outcome state.Outcome) {
	claim.Kind, claim.Outcome = state.ClaimFinish, &outcome
	go c.resend(claim)
}

// Release frees the key of an attempt that has not run and never will. It returns immediately
// and retries in the background.
func (c *Client) Release(claim state.ClaimOperation) {
	claim.Kind, claim.Outcome = state.ClaimRelease, nil
	go c.resend(claim)
}

func (c *Client) resend(claim state.ClaimOperation) {
	for range maxResends {
		ctx, cancel := context.WithTimeout(context.Background(), submitTimeout)
		_, err := c.do(ctx, claim)
		cancel()
		if err == nil {
			return
		}
		time.Sleep(resendInterval)
	}
}
