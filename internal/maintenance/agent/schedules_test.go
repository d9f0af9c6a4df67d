package agent_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"capercove/internal/faults"
	"capercove/internal/testbed"
)

const (
	faultSteps    = 10
	betweenFaults = 4000 // statements that the databases receive between two faults
)

// A schedule from a seed kills, stops and restarts poolers and cuts links. Meanwhile, a plan takes three replicas, and
// clients send to all poolers. No request reaches a machine in maintenance except from blind poolers, no two machines
// are in maintenance at once, and the plan ends after the faults.
func TestFaultSchedulesCauseNoViolation(t *testing.T) {
	testbed.RunSeeds(t, "WORKS_SEEDS", 1, playSchedule)
}

// playSchedule runs the test with one seed.
func playSchedule(t *testing.T, seed uint64) {
	t.Helper()
	hook, line := newHook(t)
	hook.open()
	poolers := startFleet(t, seed, 4, 2, line+"hook_calls = 50\n")
	poolers.start("n1", "machines = [\"db-1\", \"db-2\", \"db-3\"]\nfresh = 1\ngo_on = true\n")
	end := poolers.load()
	defer end()
	for _, step := range faults.Plan(seed, poolers.Names, faultSteps) {
		if step.What == faults.Garble { // streams of raft have no checksums
			continue
		}
		poolers.Apply(step)
		poolers.awaitStatements(betweenFaults)
	}
	poolers.Net.Note("the faults have ended; %d calls of the hook", len(hook.read()))
	poolers.awaitPlanEnd("n0")
	end()
	calls := hook.read()
	blind := poolers.requireNoViolation(calls)
	t.Logf("seed %d: %d calls of the hook, %d blind requests", seed, len(calls), blind)
	require.GreaterOrEqual(t, len(calls), 3)
}
