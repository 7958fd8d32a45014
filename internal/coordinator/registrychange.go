package coordinator

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"quinceridge.example/quinceridge/internal/coordapi"
	"quinceridge.example/quinceridge/internal/state"
)

// registryChange is the change of the registry that a call makes. It is empty if there is nothing
// to commit or to wait for.
type registryChange struct {
	// rows are added or updated, or are uncommitted already and to be waited for.
	rows []state.Backend
	// departed is the row ID of a start that has left without a row, empty for none.
	departed string
}

// parts is the number of outcomes that the change has.
func (c *registryChange) parts() int {
	if c.departed == "" {
		return len(c.rows)
	}
	return len(c.rows) + 1
}

// commitOutcome is the outcome of a part of a registryChange: the log index by which it is
// committed, or the error.
type commitOutcome struct {
	revision uint64
	err      error
}

// commitChange runs work as the leader and waits until the change that it returns is committed.
// revision is the log index by which it is, or the applied one if there is no change.
func (s *Server) commitChange(ctx context.Context, work func(now time.Duration) (registryChange, error)) (reply coordapi.Reply, revision uint64, err error) {
	var change registryChange
	var rejected error
	var outcomes chan commitOutcome
	reply, err = s.runAsLeader(ctx, func(now time.Duration) {
		if change, rejected = work(now); rejected != nil {
			return
		}
		revision = s.core.Machine().Applied()
		outcomes = make(chan commitOutcome, change.parts())
		finish := func(err error) { outcomes <- commitOutcome{s.core.Machine().Applied(), err} }
		for _, row := range change.rows {
			s.rowBatcher.add(row, finish)
		}
		if change.departed != "" {
			s.proposeDepart(now, change.departed, finish)
		}
	})
	switch {
	case err != nil || reply.NotLeader:
		return reply, 0, err
	case rejected != nil:
		return reply, 0, rejected
	}
	for range change.parts() {
		select {
		case o := <-outcomes:
			if o.err != nil {
				return reply, 0, o.err
			}
			revision = max(revision, o.revision)
		case <-ctx.Done():
			return reply, 0, ErrUnavailable
		}
	}
	return reply, revision, nil
}

// proposeDepart proposes a departure and calls finish with the outcome.
func (s *Server) proposeDepart(now time.Duration, id string, finish func(error)) {
	command := state.Command{Depart: &state.Depart{IDs: []string{id}}}
	if err := s.core.Propose(now, command, func(_ state.Result, err error) { finish(err) }); err != nil {
		finish(errors.Mark(err, ErrUnavailable))
	}
}
