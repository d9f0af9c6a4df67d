package agent_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"capercove/internal/maintenance"
)

// workAttempts limits the attempts to work on a machine that the plan puts back. A machine is put back only if load on
// the test machine makes the other databases of its group look unhealthy.
const workAttempts = 10

// workOnNext waits until a machine is drained, checks that it receives nothing until an operator reports the end of the
// work at another pooler, and returns its name when its step is done. If the machine was put back meanwhile, because
// its group did not look healthy, it is drained again with a new fencing number, and the checks are repeated.
func (f *fleet) workOnNext(at, operatorAt string) string {
	f.T.Helper()
	for range workAttempts {
		step := f.awaitDrained(at)
		database := f.database(step.Machine)
		before := len(database.Statements())
		for range 5 {
			f.Serve("while "+step.Machine+" is drained", f.Names...)
		}
		received := database.Statements()[before:]
		current := f.step(at, step.Machine)
		if current.Number != step.Number || current.State != maintenance.Drained {
			f.Net.Note("%s was put back", step.Machine)
			continue
		}
		require.Empty(f.T, received, "%s received statements while it was drained", step.Machine)
		printed, status := f.runUntilAnswered(operatorAt, "end", step.Machine)
		if status != 0 && f.step(at, step.Machine).State == maintenance.Waiting {
			f.Net.Note("%s was put back", step.Machine)
			continue
		}
		require.Zero(f.T, status, printed)
		f.awaitState(at, step.Machine, maintenance.Done)
		return step.Machine
	}
	require.Fail(f.T, "no machine stays drained until the work ends")
	return ""
}

// handOver waits until the plan requires a hand-over, and performs it.
func (f *fleet) handOver(at string) {
	f.T.Helper()
	var handOver maintenance.HandOver
	f.eventually(func() bool {
		planned := f.status(at).Plan.HandOver
		if planned == nil {
			return false
		}
		handOver = *planned
		return true
	}, "a hand-over is planned")
	f.promote(handOver.From, handOver.To)
}

// Operators do the work: on one replica after the other, and then on the primary, after a replica has taken over. All
// poolers serve throughout, and none sends anything to a machine between its state "free" and the command "end".
func TestDrainedMachinesReceiveNothingUntilEnd(t *testing.T) {
	t.Parallel()
	const spec = "machines = [\"db-0\", \"db-1\", \"db-2\"]\nfresh = 1\n"
	poolers := startFleet(t, 1, 3, 1, "")
	require.Contains(t, poolers.execute("n1", "status"), "no plan")
	poolers.start("n1", spec)
	poolers.requireRefused("abort it first", "n2", "start", poolers.specFile(spec))
	require.NotEqual(t, "db-0", poolers.workOnNext("n0", "n2"))
	require.NotEqual(t, "db-0", poolers.workOnNext("n0", "n2"))
	poolers.handOver("n0")
	require.Equal(t, "db-0", poolers.workOnNext("n0", "n2"), "the primary goes last")
	poolers.awaitPlanEnd("n0")
	require.Contains(t, poolers.execute("n0", "history"), "has taken over")
}
