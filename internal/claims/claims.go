// Package claims gives a router the at-most-once claims of the replicated log.
// Operations of many requests travel in one command.
package claims

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"quinceridge.example/quinceridge/internal/controlclient"
	"quinceridge.example/quinceridge/internal/state"
)

// Batching.
const (
	batchLimit = 64
	batchWait  = 2 * time.Millisecond
	queueLimit = 1024
	submitters = 4
)

// Resending of outcomes and releases, which must arrive in the end.
const (
	resends     = 20
	resendPause = 500 * time.Millisecond
	submitLimit = 2 * time.Second
)

// ErrNoQuorum is returned when the log cannot be reached. The claim was not
// granted to the asking attempt, which must not run.
var ErrNoQuorum = errors.New("claims cannot be made: control has no quorum")

// Submitter runs commands through the replicated log.
type Submitter interface {
	Submit(ctx context.Context, command state.Command) (state.Result, error)
}

var _ Submitter = (*controlclient.Client)(nil)

type operation struct {
	claim  state.ClaimOperation
	answer chan answer
}

type answer struct {
	result state.ClaimResult
	err    error
}

// Client batches operations. It is safe for concurrent use.
type Client struct {
	submitter Submitter
	queue     chan operation
}

// New returns a client. Run must be running for it to work.
func New(submitter Submitter) *Client {
	return &Client{submitter: submitter, queue: make(chan operation, queueLimit)}
}

// Run submits batches until the context ends.
func (c *Client) Run(ctx context.Context) {
	slots := make(chan struct{}, submitters)
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

// collect waits for one operation and takes those that come shortly after. An
// empty batch says that the context ended.
func (c *Client) collect(ctx context.Context) []operation {
	var batch []operation
	select {
	case <-ctx.Done():
		return nil
	case first := <-c.queue:
		batch = append(batch, first)
	}
	timer := time.NewTimer(batchWait)
	defer timer.Stop()
	for len(batch) < batchLimit {
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
	ctx, cancel := context.WithTimeout(ctx, submitLimit)
	defer cancel()
	command := state.Command{Claims: &state.Claims{}}
	for _, op := range batch {
		command.Claims.Operations = append(command.Claims.Operations, op.claim)
	}
	result, err := c.submitter.Submit(ctx, command)
	if err == nil && len(result.Claims) != len(batch) {
		err = errors.New("the answer does not fit the batch")
	}
	for i, op := range batch {
		if err != nil {
			op.answer <- answer{err: err}
			continue
		}
		op.answer <- answer{result: result.Claims[i]}
	}
}

func (c *Client) do(ctx context.Context, claim state.ClaimOperation) (state.ClaimResult, error) {
	op := operation{claim: claim, answer: make(chan answer, 1)}
	select {
	case c.queue <- op:
	default:
		return state.ClaimResult{}, errors.New("too many claims wait")
	}
	select {
	case a := <-op.answer:
		return a.result, a.err
	case <-ctx.Done():
		return state.ClaimResult{}, errors.Wrap(ctx.Err(), "wait for claim")
	}
}

// Acquire asks for the right to run a key's one attempt. After ErrNoQuorum the
// attempt must not run, and is released.
func (c *Client) Acquire(ctx context.Context, claim state.ClaimOperation) (state.ClaimResult, error) {
	claim.Kind = state.ClaimAcquire
	result, err := c.do(ctx, claim)
	if err != nil {
		c.Release(claim)
		return result, errors.Mark(err, ErrNoQuorum)
	}
	return result, nil
}

// Finish stores an outcome. It returns at once and resends until the log has
// taken it.
func (c *Client) Finish(claim state.ClaimOperation, outcome state.Outcome) {
	claim.Kind, claim.Outcome = state.ClaimFinish, &outcome
	go c.resend(claim)
}

// Release frees the key of an attempt that was not run and never will be. It
// returns at once and resends until the log has taken it.
func (c *Client) Release(claim state.ClaimOperation) {
	claim.Kind, claim.Outcome = state.ClaimRelease, nil
	go c.resend(claim)
}

func (c *Client) resend(claim state.ClaimOperation) {
	for range resends {
		ctx, cancel := context.WithTimeout(context.Background(), submitLimit)
		_, err := c.do(ctx, claim)
		cancel()
		if err == nil {
			return
		}
		time.Sleep(resendPause)
	}
}
