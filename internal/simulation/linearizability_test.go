package simulation

import (
	"fmt"
	"math"
	"slices"
	"strings"
	"testing"

	"github.com/anishathalye/porcupine"
	"gotest.tools/v3/assert"

	"quinceridge.example/quinceridge/internal/state"
)

// claimState is the sequential model of one key, as in spec/claims.pml.
type claimState struct {
	owner    string
	finished bool
	voids    string // attempt names, each enclosed in commas
}

func (s claimState) void(attempt string) bool { return strings.Contains(s.voids, ","+attempt+",") }

// step returns the state after an operation and the operation's result.
func (s claimState) step(op state.ClaimOperation) (claimState, state.ClaimState) {
	isOwner := s.owner == op.Attempt
	switch op.Kind {
	case state.ClaimAcquire:
		switch {
		case s.void(op.Attempt):
			return s, state.ClaimVoid
		case s.owner == "":
			s.owner = op.Attempt
			return s, state.ClaimGranted
		case s.finished:
			return s, state.ClaimFinished
		case isOwner:
			return s, state.ClaimGranted
		}
		return s, state.ClaimRunning
	case state.ClaimFinish:
		if !isOwner {
			return s, state.ClaimVoid
		}
		s.finished = true
		return s, state.ClaimFinished
	}
	if isOwner && s.finished {
		return s, state.ClaimFinished
	}
	if isOwner {
		s.owner = ""
	}
	if !s.void(op.Attempt) {
		s.voids = withVoid(s.voids, op.Attempt)
	}
	return s, state.ClaimVoid
}

// withVoid adds an attempt to a sorted list of void attempts. The order keeps equal sets equal
// as strings, which lets the checker recognize states that it has already visited.
func withVoid(voids, attempt string) string {
	all := append(strings.FieldsFunc(voids, func(r rune) bool { return r == ',' }), attempt)
	slices.Sort(all)
	return "," + strings.Join(all, ",,") + ","
}

// unknownAnswer is the output of a call without a response.
const unknownAnswer = state.ClaimState("")

var claimModel = porcupine.Model{
	Partition: func(history []porcupine.Operation) [][]porcupine.Operation {
		byKey := map[string][]porcupine.Operation{}
		for _, op := range history {
			key := op.Input.(state.ClaimOperation).Key
			byKey[key] = append(byKey[key], op)
		}
		var out [][]porcupine.Operation
		for _, part := range byKey {
			out = append(out, part)
		}
		return out
	},
	Init: func() any { return claimState{} },
	Step: func(before, input, output any) (bool, any) {
		after, answer := before.(claimState).step(input.(state.ClaimOperation))
		seen := output.(state.ClaimState)
		return seen == unknownAnswer || seen == answer, after
	},
}

const historySeeds = 10

// history runs a simulation and returns its claim calls. A call without a response gets the
// latest possible return time, since it may take effect at any later time.
func history(t *testing.T, config Config) []porcupine.Operation {
	t.Helper()
	var out []porcupine.Operation
	config.Record = func(c ClaimCall) {
		op := porcupine.Operation{ClientId: len(out), Input: c.Operation, Call: int64(c.Start), Output: c.State, Return: int64(c.End)}
		if c.End < 0 {
			op.Output, op.Return = unknownAnswer, math.MaxInt64
		}
		out = append(out, op)
	}
	_, err := Run(config)
	if config.Mutant == NoMutant {
		assert.NilError(t, err)
	}
	return out
}

func TestClaimsAreLinearizable(t *testing.T) {
	for seed := range uint64(historySeeds) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			operations := history(t, DefaultConfig(seed))
			assert.Assert(t, len(operations) > 20, "the history is too short")
			assert.Assert(t, porcupine.CheckOperations(claimModel, operations))
		})
	}
}

// TestLinearizabilityCheckRejectsDoubleGrant checks a history in which one key is granted to
// two attempts.
func TestLinearizabilityCheckRejectsDoubleGrant(t *testing.T) {
	granted := func(attempt string, call int64) porcupine.Operation {
		return porcupine.Operation{ClientId: int(call), Call: call, Return: call + 1, Output: state.ClaimGranted,
			Input: state.ClaimOperation{Kind: state.ClaimAcquire, Key: "k", Attempt: attempt}}
	}
	assert.Equal(t, porcupine.CheckOperations(claimModel, []porcupine.Operation{granted("a", 1), granted("b", 3)}), false)
}
