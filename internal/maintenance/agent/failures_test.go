package agent_test

import (
	"net/netip"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"capercove/internal/faults"
	"capercove/internal/maintenance"
)

// The leader is killed while a request in flight keeps a machine draining, and the next leader while the hook runs. The
// hook is called once, with one fencing number, and an operator has to report its end. Restarted poolers have lost
// their state in memory.
func TestCallsHookOnceWhenLeadersDie(t *testing.T) {
	t.Parallel()
	hook, line := newHook(t)
	poolers := startFleet(t, 11, 4, 1, line)
	end := poolers.load()
	defer end()
	client := poolers.Beds["n3"].Client()
	for !poolers.hasHeldReport("db-1") { // reads are spread over the replicas
		client = poolers.Beds["n3"].Client()
		poolers.sendHeldReport("n3", client)
		poolers.awaitStatements(50)
	}
	poolers.start("n3", "machines = [\"db-1\"]\nfresh = 1\n")
	poolers.awaitState("n3", "db-1", maintenance.Draining)
	poolers.eventually(func() bool {
		overview, known := poolers.overview("n3")
		return known && overview.InFlight["db-1"] > 0
	}, "n3 reports its request in flight")
	first := poolers.leader()
	poolers.Kill(first)
	poolers.leader()
	require.Equal(t, maintenance.Draining, poolers.state("n3", "db-1"), "the step waits for the report of n3")
	poolers.release()
	require.True(t, client.Next().Complete, "the request in flight is answered")
	poolers.Restart(first) // the step waits for its report, too
	hook.awaitCalls(1)
	require.Equal(t, maintenance.InMaintenance, poolers.state("n3", "db-1"))
	second := poolers.leader()
	poolers.Kill(second)
	require.NotEqual(t, second, poolers.leader())
	poolers.Restart(second)
	hook.open()
	hook.wait(func(calls []hookCall) bool { return calls[0].ended() }, "the hook ends")
	poolers.awaitStatements(2000)
	require.Len(t, hook.read(), 1, "the hook is not called again")
	require.Equal(t, maintenance.InMaintenance, poolers.state("n3", "db-1"), "the end of the hook is not recorded")
	poolers.execute("n3", "end", "db-1")
	poolers.awaitPlanEnd("n3")
	end()
	poolers.requireNoViolation(hook.read())
	require.Len(t, hook.read(), 1)
}

// A pooler is partitioned from all others, but not from clients and databases. It cannot change the plan, and blocks
// all machines of the plan when its lease has expired. After that time, the others continue without it and record its
// name. When it restarts during the partition, it blocks all databases for the length of a lease, and is blind after
// that. After the partition, all poolers agree again.
func TestPlanContinuesWithoutPartitionedPooler(t *testing.T) {
	t.Parallel()
	hook, line := newHook(t)
	poolers := startFleet(t, 12, 4, 2, line)
	poolers.start("n0", "machines = [\"db-1\", \"db-2\"]\nfresh = 1\ngo_on = true\n")
	hook.awaitCalls(1) // all poolers have read the plan
	cutOff := poolers.uninvolvedPooler()
	rest := slices.DeleteFunc(slices.Clone(poolers.Names), func(name string) bool { return name == cutOff })
	end := poolers.load()
	defer end()
	const operator = "operator" // the node from which commands are run
	poolers.Net.Register(operator, netip.MustParseAddr("127.0.0.1"))
	poolers.Net.Partition([]string{cutOff, operator}, rest)
	printed, status := poolers.command(cutOff, "pause")
	require.Equal(t, exitNotPossible, status, printed)
	require.Contains(t, printed, noMajorityText)
	poolers.eventually(func() bool {
		overview, known := poolers.overview(cutOff)
		return known && overview.LeaseLeftMS < 0 && slices.Equal(overview.Blocked, []string{"db-1", "db-2"})
	}, "its lease expires")
	known := poolers.status(cutOff)
	require.False(t, known.Agreed)
	require.Equal(t, maintenance.Running, known.Plan.State, "the plan as the pooler last read it")
	for _, name := range rest {
		poolers.Net.Both(operator, name, faults.Link{})
	}
	hook.open()
	calls := hook.wait(func(calls []hookCall) bool {
		return len(calls) == 2 && calls[1].ended()
	}, "the work on the other machine ends without it")
	step := poolers.step(rest[0], calls[1].machine)
	require.Equal(t, []string{cutOff}, step.Unreachable, "the record names the unreachable pooler")
	require.Zero(t, poolers.requireNoViolation(calls))
	poolers.Kill(cutOff)
	poolers.Restart(cutOff) // it cannot read the record, waits for the length of a lease, and serves
	poolers.eventually(func() bool { return poolers.wasBlind(cutOff) }, "it logs that it is blind")
	poolers.Net.Heal()
	poolers.awaitPlanEnd(rest[0])
	end()
	require.Zero(t, poolers.requireNoViolation(hook.read()))
}

// A pooler is killed after it has reported that it stopped, and restarts while it cannot reach the record. For the
// length of a lease, it sends nothing. Requests that it sends after that are counted. When it reads the record, it
// blocks the machine.
func TestRestartedPoolerCountsBlindRequests(t *testing.T) {
	t.Parallel()
	poolers := startFleet(t, 13, 4, 1, "")
	poolers.start("n0", "machines = [\"db-1\"]\nfresh = 1\n")
	poolers.awaitState("n0", "db-1", maintenance.Drained)
	poolers.Kill("n3")
	poolers.Net.Partition([]string{"n3"}, []string{"n0", "n1", "n2"})
	poolers.Restart("n3")
	received := func() int { return len(poolers.database("db-1").Statements()) }
	read := func() {
		bed := poolers.Beds["n3"]
		bed.Try(bed.Statement("read", "n3", time.Second), time.Second) // answered or not
	}
	before := received()
	poolers.eventually(func() bool {
		read()
		return received() > before
	}, "it serves without the record")
	poolers.eventually(func() bool {
		overview, known := poolers.overview("n3")
		return known && overview.Blind > 0
	}, "blind requests are counted")
	poolers.eventually(func() bool { return poolers.wasBlind("n3") }, "it logs that it is blind")
	poolers.Net.Heal()
	poolers.eventually(func() bool {
		overview, known := poolers.overview("n3")
		return known && slices.Equal(overview.Blocked, []string{"db-1"})
	}, "it blocks the machine")
	before = received()
	poolers.Serve("while db-1 is drained", poolers.Names...)
	for range 20 {
		read()
	}
	require.Equal(t, before, received())
	poolers.execute("n3", "end", "db-1")
	poolers.awaitPlanEnd("n0")
}

// Of two plans that are started concurrently, one is accepted.
func TestAcceptsOneOfTwoConcurrentPlans(t *testing.T) {
	t.Parallel()
	poolers := startFleet(t, 14, 3, 2, "")
	specs := map[string]string{
		"n0": poolers.specFile("machines = [\"db-0\", \"db-1\"]\nfresh = 1\n"),
		"n2": poolers.specFile("machines = [\"db-1\", \"db-3\"]\nfresh = 1\n"),
	}
	outcomes := make(chan startOutcome, len(specs))
	var starting sync.WaitGroup
	for at, spec := range specs {
		starting.Go(func() { outcomes <- poolers.tryStart(at, spec) })
	}
	starting.Wait()
	close(outcomes)
	accepted, unknown := 0, 0
	for outcome := range outcomes {
		switch outcome {
		case planAccepted:
			accepted++
		case planRefusedAfterUnknown:
			unknown++
		}
	}
	require.LessOrEqual(t, accepted, 1, "both plans were accepted")
	require.Positive(t, accepted+unknown, "no plan was accepted")
	poolers.eventually(func() bool {
		current := poolers.status("n1")
		return current.Agreed && current.Plan.Active()
	}, "one of the plans is active")
	poolers.execute("n1", "abort")
	poolers.awaitPlanEnd("n1")
}

// Replicas fail while another replica is out: no further machine is taken, and the drained one is put back. Then the
// primary changes while a replica is out: the plan continues, and takes the new primary last.
func TestPlanAdaptsToChangesOfTheGroup(t *testing.T) {
	t.Parallel()
	poolers := startFleet(t, 14, 3, 2, "")
	poolers.start("n0", "machines = [\"db-0\", \"db-1\", \"db-2\"]\nfresh = 1\nper_group = 2\n")
	drained := poolers.awaitDrained("n0").Machine
	require.NotEqual(t, "db-0", drained, "the primary goes last")
	before := len(poolers.database(drained).Statements())
	others := slices.DeleteFunc([]string{"db-1", "db-2", "db-3"}, func(name string) bool { return name == drained })
	for _, name := range others {
		poolers.database(name).Freeze(true)
	}
	poolers.awaitState("n0", drained, maintenance.Waiting)
	require.Len(t, poolers.database(drained).Statements(), before)
	for _, name := range others {
		poolers.database(name).Freeze(false)
		poolers.database(name).Cut() // open requests are never answered
	}
	drained = poolers.awaitDrained("n0").Machine
	poolers.promote("db-0", "db-3")
	poolers.Serve("after the primary has changed", poolers.Names...)
	poolers.execute("n0", "end", drained)
	poolers.awaitState("n0", drained, maintenance.Done)
	for range 2 { // db-0 is a replica now
		next := poolers.awaitDrained("n0").Machine
		poolers.execute("n0", "end", next)
		poolers.awaitState("n0", next, maintenance.Done)
	}
	poolers.awaitPlanEnd("n0")
	require.Nil(t, poolers.status("n0").Plan.HandOver)
}

// A plan can be aborted in every state. A machine in maintenance returns to service when the work ends, and the plan
// waits for a machine that does not become healthy.
func TestAbortsPlanInEveryState(t *testing.T) {
	t.Parallel()
	poolers := startFleet(t, 15, 3, 1, "")
	for !poolers.hasHeldReport("db-1") {
		poolers.sendHeldReport("n1", poolers.Beds["n1"].Client())
		poolers.Serve("beside", "n1")
	}
	poolers.start("n0", "machines = [\"db-1\"]\nfresh = 1\n")
	poolers.awaitState("n0", "db-1", maintenance.Draining)
	poolers.execute("n2", "abort")
	poolers.awaitPlanEnd("n0")
	require.Equal(t, maintenance.RolledBack, poolers.state("n0", "db-1"))
	poolers.release()

	const spec = "machines = [\"db-1\", \"db-2\"]\nfresh = 1\n"
	poolers.start("n0", spec)
	poolers.awaitDrained("n0")
	poolers.execute("n2", "abort")
	poolers.awaitPlanEnd("n0")
	poolers.eventually(func() bool {
		overview, known := poolers.overview("n1")
		return known && len(overview.Blocked) == 0
	}, "the machine is put back")

	poolers.start("n0", spec)
	worked := poolers.beginWork("n0")
	waiting := map[string]string{"db-1": "db-2", "db-2": "db-1"}[worked]
	poolers.execute("n1", "abort")
	require.Equal(t, maintenance.InMaintenance, poolers.state("n0", worked))
	require.Equal(t, maintenance.Aborting, poolers.status("n0").Plan.State)
	poolers.awaitState("n0", waiting, maintenance.RolledBack)
	poolers.database(worked).Freeze(true) // the database stays unhealthy
	poolers.execute("n0", "end", worked)
	poolers.awaitState("n0", worked, maintenance.Recovering)
	poolers.eventually(func() bool {
		overview, known := poolers.overview("n0")
		machine := overview.Snapshot.Machines[worked]
		return known && machine != nil && !machine.Up
	}, "it is seen to be unhealthy")
	require.Equal(t, maintenance.Aborting, poolers.status("n0").Plan.State, "the plan waits for it")
	poolers.database(worked).Freeze(false)
	poolers.awaitPlanEnd("n0")
	poolers.requireRefused("no plan", "n0", "skip", "db-2")
}
