package simulation

import (
	"fmt"
	"slices"
	"testing"

	"gotest.tools/v3/assert"
)

// fixedSeeds is the number of consecutive seeds, from 0, that the test runs.
const fixedSeeds = 50

// regressionSeeds lists further seeds that once failed.
//
//   - 297: routers joined while a smaller registry accepted a bundle; a majority of the larger
//     registry missed it and kept serving the old one.
var regressionSeeds = []uint64{297}

func TestInvariantsHoldUnderFaults(t *testing.T) {
	seeds := slices.Clone(regressionSeeds)
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

// mutantSeeds is the number of seeds within which each mutant must be detected.
const mutantSeeds = 40

func TestChecksDetectEveryMutant(t *testing.T) {
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

func TestRunIsDeterministicForSeed(t *testing.T) {
	first, err := Run(DefaultConfig(7))
	assert.NilError(t, err)
	second, err := Run(DefaultConfig(7))
	assert.NilError(t, err)
	assert.DeepEqual(t, first, second)
}
