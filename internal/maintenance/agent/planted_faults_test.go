package agent_test

import (
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"capercove/internal/faults"
	"capercove/internal/maintenance"
	"capercove/internal/testbed"
)

// plantedFault is a bug that is added to the program, and a sequence of events that reveals it.
type plantedFault struct {
	edits []testbed.Edit
	play  func(poolers *fleet, hook hook)
}

const (
	followerFile = "internal/maintenance/follower.go"
	blocksFile   = "internal/maintenance/agent/blocks.go"
	stepFile     = "internal/maintenance/step.go"
)

var plantedFaults = map[string]plantedFault{
	"the lease never expires": {
		edits: []testbed.Edit{
			{File: followerFile, Old: "case now < f.LeaseEnd():", New: "case f.known || now < f.LeaseEnd():"},
		},
		play: playUnexpiringLease,
	},
	"a restarted pooler does not wait for the record": {
		edits: []testbed.Edit{
			{
				File: "internal/maintenance/agent/agent.go",
				Old:  "return core.Blocklist{All: true, ", New: "return core.Blocklist{",
			},
			{
				File: blocksFile,
				Old:  "blocks := core.Blocklist{All: !a.follower.Known(), ", New: "blocks := core.Blocklist{",
			},
			{File: followerFile, Old: "return f.known, false //", New: "return true, false //"},
		},
		play: playRestartWithoutRecord,
	},
	"work in progress can be aborted": {
		edits: []testbed.Edit{
			{File: stepFile, Old: "case s.State == InMaintenance: // The machine", New: "case false: // The machine"},
		},
		play: playAbortedWork,
	},
}

// twoReplicas is the specification of a plan for two machines that continues without unreachable poolers.
const twoReplicas = "machines = [\"db-1\", \"db-2\"]\nfresh = 1\ngo_on = true\n"

// playUnexpiringLease partitions a pooler from the others, and then has the plan take a second machine.
func playUnexpiringLease(poolers *fleet, hook hook) {
	poolers.start("n3", twoReplicas)
	first := hook.awaitCalls(1)[0].machine
	cutOff := poolers.uninvolvedPooler()
	for _, name := range poolers.Names {
		if name != cutOff {
			poolers.Net.Both(cutOff, name, faults.Link{Cut: true})
		}
	}
	hook.openFor(first)
	second := hook.awaitCalls(2)[1]
	poolers.eventually(func() bool { // a busy machine may serve few requests
		received := poolers.database(second.machine).Between(second.begin, time.Now())
		return slices.ContainsFunc(received, func(sql string) bool { return senderOf(sql) == cutOff })
	}, "the partitioned pooler sends to a machine in maintenance")
	hook.open()
}

// playRestartWithoutRecord restarts a pooler that has reported that it stopped, while it cannot read the record.
func playRestartWithoutRecord(poolers *fleet, hook hook) {
	poolers.start("n0", twoReplicas)
	hook.awaitCalls(1)
	poolers.Kill("n3")
	poolers.Net.Partition([]string{"n3"}, []string{"n0", "n1", "n2"})
	poolers.Restart("n3")
	poolers.awaitStatements(2000)
	poolers.Net.Heal()
	hook.open()
}

// playAbortedWork aborts a plan while the hook runs, and starts the same plan again.
func playAbortedWork(poolers *fleet, hook hook) {
	poolers.start("n0", twoReplicas)
	hook.awaitCalls(1)
	poolers.execute("n1", "abort")
	poolers.awaitPlanEnd("n1")
	poolers.eventually(func() bool {
		return poolers.step("n1", "db-1").State == maintenance.RolledBack
	}, "the step is rolled back")
	poolers.start("n0", twoReplicas)
	hook.awaitCalls(2)
	hook.open()
}

// The check for violations detects bugs that are added to the program. Other tests require that it reports no violation
// of the unchanged program.
func TestViolationCheckDetectsPlantedFaults(t *testing.T) {
	for name, fault := range plantedFaults {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			hook, line := newHook(t)
			program := testbed.WithProgram(testbed.Variant(t, fault.edits...))
			poolers := startFleet(t, 20, 4, 2, line, program)
			end := poolers.load()
			defer end()
			fault.play(poolers, hook)
			calls := hook.awaitLastEnd()
			end()
			_, violation := poolers.violation(calls)
			require.NotEmpty(t, violation)
			t.Log(violation)
		})
	}
}

// The clocks of two poolers are two minutes ahead of and behind the others. Membership rejects their reports, but the
// record includes their statuses, and the plan ends without a violation.
func TestPlanEndsWithShiftedClocks(t *testing.T) {
	t.Parallel()
	program := testbed.WithProgram(testbed.Variant(t, testbed.Edit{
		File: "internal/clock/clock.go", Old: "epoch := time.Duration(start.UnixNano())",
		New: "offset, _ := time.ParseDuration(os.Getenv(\"CLOCK_OFFSET\"))\n" +
			"\tepoch := time.Duration(start.UnixNano()) + offset",
	}))
	hook, line := newHook(t)
	hook.open()
	poolers := newFleet(t, 21, 4, line)
	poolers.Start("n0", testbed.WithReplicas(2))
	poolers.Start("n1", program, testbed.WithEnv("CLOCK_OFFSET=-2m"))
	poolers.Start("n2")
	poolers.Start("n3", program, testbed.WithEnv("CLOCK_OFFSET=2m"))
	poolers.awaitRecord()
	end := poolers.load()
	defer end()
	poolers.start("n0", "machines = [\"db-1\", \"db-2\", \"db-3\"]\nfresh = 1\n")
	hook.awaitCalls(1)
	first := poolers.leader()
	poolers.Kill(first) // the clock of the next leader counts now; it may be a shifted one
	hook.wait(func(calls []hookCall) bool { return calls[0].ended() }, "the hook ends")
	poolers.Restart(first)
	if poolers.state("n3", "db-1") == maintenance.InMaintenance { // the killed pooler could not record the end
		poolers.execute("n3", "end", "db-1")
	}
	poolers.awaitPlanEnd("n3")
	end()
	require.Zero(t, poolers.requireNoViolation(hook.read()))
}
