package simulation

import (
	"fmt"
	"slices"
	"testing"

	"gotest.tools/v3/assert"
)

// fixedSeeds is how many seeds CI runs.
const fixedSeeds = 50

// foundSeeds once failed, beyond the first fifty.
//
//   - 297: routers joined while a bundle was accepted by the smaller registry;
//     a majority of the larger one did not know of it and went on by the old.
var foundSeeds = []uint64{297}

func TestPromisesHoldUnderFaults(t *testing.T) {
	seeds := slices.Clone(foundSeeds)
	for seed := range uint64(fixedSeeds) {
		seeds = append(seeds, seed)
	}
	for _, seed := range seeds {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			report, err := Run(DefaultConfig(seed))
			assert.NilError(t, err)
			assert.Assert(t, report.Accepted > 0, "the run accepted no bundle")
			assert.Assert(t, report.Runs > 0, "the run granted no claim")
		})
	}
}

// mutantSeeds bounds how many seeds a mutant may survive.
const mutantSeeds = 40

func TestChecksCatchEveryMutant(t *testing.T) {
	for _, mutant := range Mutants() {
		t.Run(string(mutant), func(t *testing.T) {
			t.Parallel()
			for seed := range uint64(mutantSeeds) {
				config := DefaultConfig(seed)
				config.Mutant = mutant
				if _, err := Run(config); err != nil {
					t.Logf("caught: %v", err)
					return
				}
			}
			t.Errorf("%d seeds did not catch the mutant", mutantSeeds)
		})
	}
}

func TestEqualSeedsGiveEqualRuns(t *testing.T) {
	first, err := Run(DefaultConfig(7))
	assert.NilError(t, err)
	second, err := Run(DefaultConfig(7))
	assert.NilError(t, err)
	assert.DeepEqual(t, first, second)
}
