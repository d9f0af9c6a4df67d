package maintenance

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// A plan with a hook takes one machine after the other, each under a new number, and the history lists each state.
func TestPlanRunsToItsEnd(t *testing.T) {
	test := newLeaderTest(t, testPolicy("p", 1), PlanSpec{Machines: []string{"a1", "a2"}, Fresh: 1})
	for i, name := range []string{"a1", "a2"} {
		test.proposeUntil(name, InMaintenance)
		require.Equal(t, Call{Machine: name, Number: uint64(i + 1)}, test.calls[i])
		require.Len(t, test.calls, i+1)
		test.finishHook(test.calls[i], "")
		test.proposeUntil(name, Done)
	}
	for test.plan().Active() {
		test.propose()
	}
	var history []string
	for _, entry := range test.record.read(t).History {
		history = append(history, fmt.Sprint(entry.Machine, " ", entry.Text))
	}
	require.Equal(t, []string{
		" plan plan0 of 2 machines",
		"a1 agreed", "a1 free", "a1 at work", "a1 back", "a1 done",
		"a2 agreed", "a2 free", "a2 at work", "a2 back", "a2 done",
		" the plan is over",
	}, history)

	test.start(PlanSpec{Machines: []string{"a2"}, Fresh: 1})
	require.Equal(t, uint64(3), test.proposeUntil("a2", InMaintenance).Number, "numbers keep growing across plans")
	require.Len(t, test.record.read(t).Steps, 1, "steps of the earlier plan are deleted")
	require.Empty(t, test.finishHook(test.calls[1], "").Steps, "the late result of an earlier attempt")
	require.NotEmpty(t, test.finishHook(test.calls[2], "").Steps)
}

// A hook that fails is called again under the same number up to the limit. Then the plan is paused.
func TestFailedHookIsCalledAgainAndThenPausesThePlan(t *testing.T) {
	policy := testPolicy("p", 1)
	policy.MaxHookCalls = 2
	test := newLeaderTest(t, policy, PlanSpec{Machines: []string{"a1", "a2"}, Fresh: 1})
	test.proposeUntil("a1", InMaintenance)
	require.Equal(t, test.calls[:1], test.finishHook(test.calls[0], "no disk").Calls)
	require.Empty(t, test.finishHook(test.calls[0], "no disk").Calls)
	require.Equal(t, Paused, test.plan().State)
	require.Equal(t, "the work on a1 failed: no disk", test.plan().Reason)
	test.proposeUntil("a1", Done)
	test.proposeTimes(5)
	require.Equal(t, Waiting, test.state("a2"), "no further machine is taken")
	require.Empty(t, test.finishHook(test.calls[0], "").Steps, "the result of an attempt that has ended")
	require.NoError(t, test.execute(Resume, ""))
	test.proposeUntil("a2", InMaintenance)
}

// If the pooler that called a hook is gone, the leader calls the hook again under the same number, up to the limit.
// Beyond the limit a person ends the work.
func TestHookIsCalledAgainWithinLimitWhenItsCallerIsGone(t *testing.T) {
	for name, allowed := range map[string]int{
		"one call":  1,
		"two calls": 2,
	} {
		t.Run(name, func(t *testing.T) {
			policy := testPolicy("p", 1)
			policy.MaxHookCalls = allowed
			test := newLeaderTest(t, policy, PlanSpec{Machines: []string{"a1"}, Fresh: 1})
			test.proposeUntil("a1", InMaintenance)
			policy.Self = Instance{Name: "q", Incarnation: 1}
			test.leader = NewLeader(policy)
			test.proposeTimes(3)
			require.Len(t, test.calls, 1, "p is live and will report")
			test.poolers["p"] = 2 // it has restarted
			test.proposeTimes(3)
			if allowed == 2 {
				require.Equal(t, []Call{test.calls[0], test.calls[0]}, test.calls)
				return
			}
			require.Len(t, test.calls, 1)
			require.NoError(t, test.execute(EndWork, "a1"))
			test.proposeUntil("a1", Done)
		})
	}
}

// A primary hands over by a hook before it is taken. The leader waits until it observes the new primary.
func TestPrimaryHandsOverFirst(t *testing.T) {
	policy := testPolicy("p", 1)
	policy.HookHandsOver = true
	test := newLeaderTest(t, policy, PlanSpec{Machines: []string{"a0"}, Fresh: 1})
	test.proposeUntilCall()
	require.Equal(t, Call{Machine: "a0", To: "a1", Number: 1}, test.calls[0])
	test.finishHook(test.calls[0], "")
	test.proposeTimes(3)
	require.Equal(t, Waiting, test.state("a0"), "it is still the primary")
	test.change = func(view *Observation) {
		former, promoted := view.Machines["a0"], view.Machines["a1"]
		former.Primary, former.Fresh, promoted.Primary = false, true, true
	}
	test.proposeUntil("a0", InMaintenance)
	require.Equal(t, uint64(2), test.calls[1].Number)
}

// A hand-over that fails pauses the plan.
func TestFailedHandOverPausesThePlan(t *testing.T) {
	policy := testPolicy("p", 1)
	policy.HookHandsOver = true
	test := newLeaderTest(t, policy, PlanSpec{Machines: []string{"a0"}, Fresh: 1})
	test.proposeUntilCall()
	test.finishHook(test.calls[0], "it will not")
	require.Equal(t, Paused, test.plan().State)
	require.Nil(t, test.plan().HandOver)
}

// A drained machine returns to service if the rest of its group cannot serve the load. While the load is too high, no
// machine is taken. A recovering machine is not done before it is warm.
func TestObservationDecidesWhatIsTaken(t *testing.T) {
	policy := testPolicy("p", 1)
	policy.Hook = false
	test := newLeaderTest(t, policy, PlanSpec{Machines: []string{"a1", "a2"}, Fresh: 1, Capacity: 100})
	test.proposeUntil("a1", Drained)
	test.change = func(view *Observation) { view.Load[1] = 3.5 } // the three others have a capacity of 3
	test.proposeUntil("a1", Waiting)
	test.proposeTimes(5)
	require.Equal(t, map[string]State{"a1": Waiting, "a2": Waiting}, test.record.read(t).States())
	test.change = func(view *Observation) { view.Load[1] = 1.5 }
	require.Greater(t, test.proposeUntil("a1", Drained).Number, uint64(1), "a new attempt")
	require.NoError(t, test.execute(EndWork, "a1"))
	test.change = func(view *Observation) { view.Machines["a1"].Warm = false }
	test.proposeTimes(5)
	require.Equal(t, Recovering, test.state("a1"), "it is not warm yet")
	test.change = unchanged
	test.proposeUntil("a1", Done)
}

// A plan whose time is over is paused, and no machine is taken.
func TestPlanIsPausedWhenItsTimeIsOver(t *testing.T) {
	policy := testPolicy("p", 1)
	policy.Hook = false
	spec := PlanSpec{Machines: []string{"a1", "a2"}, Fresh: 1, Capacity: 100, Until: time.Unix(1010, 0)}
	test := newLeaderTest(t, policy, spec) // the test's clock starts at 1000 s
	test.now += 30 * sec
	test.propose()
	require.Equal(t, "the time for it is over", test.plan().Reason)
}

// A pooler that leads the record resigns before it is taken out. Its step is done once it has restarted.
func TestLeaderResignsBeforeItIsTaken(t *testing.T) {
	test := newLeaderTest(t, testPolicy("p", 1), PlanSpec{Machines: []string{"p"}})
	test.change = func(view *Observation) { view.Machines["p"].Leads = true }
	require.True(t, test.propose().Resign)
	test.change = unchanged
	test.proposeUntil("p", InMaintenance)
	test.finishHook(test.calls[0], "")
	test.proposeTimes(5)
	require.Equal(t, Recovering, test.state("p"), "it has not restarted since it was taken out")
	test.poolers["p"] = 2
	test.proposeUntil("p", Done)
}

// A leader measures the time of a plan on its own clock: a step of the wall clock neither shortens nor extends it.
func TestWallClockStepKeepsTimeOfPlan(t *testing.T) {
	const window = 30 // proposals, one per second
	for _, step := range []time.Duration{-time.Hour, time.Hour} {
		t.Run(step.String(), func(t *testing.T) {
			spec := PlanSpec{Machines: []string{"a1", "a2"}, Fresh: 1, Until: time.Unix(1000+window, 0)}
			test := newLeaderTest(t, testPolicy("p", 0), spec)
			test.propose()
			test.wallAhead = step
			test.proposeUntil("a1", Drained)
			for test.now < (1000+window)*sec {
				require.Equal(t, Running, test.plan().State)
				test.propose()
			}
			test.propose()
			require.Equal(t, "the time for it is over", test.plan().Reason)
		})
	}
}

// A step of the wall clock does not change the wait for a pooler that does not report: the machine is drained once the
// pooler's lease has expired.
func TestWallClockStepKeepsLease(t *testing.T) {
	for _, step := range []time.Duration{-time.Hour, time.Hour} {
		t.Run(step.String(), func(t *testing.T) {
			spec := PlanSpec{Machines: []string{"a1"}, Fresh: 1, IgnoreUnreachable: true}
			test := newLeaderTest(t, testPolicy("p", 0), spec)
			test.propose() // all poolers have read the plan
			delete(test.poolers, "q")
			test.change = func(view *Observation) { view.Incarnations["q"] = 1 }
			draining := test.proposeUntil("a1", Draining)
			begun := test.now
			require.Equal(t, Draining, draining.State)
			test.wallAhead = step
			rules := test.leader.rules(test.record.read(t))
			lease := rules.Lease + rules.Skew
			drained := test.proposeUntil("a1", Drained)
			require.GreaterOrEqual(t, test.now-begun, lease)
			require.LessOrEqual(t, test.now-begun, lease+3*sec)
			require.Equal(t, []string{"q"}, drained.Unreachable)
		})
	}
}

// A pooler that left and restarted after its clock was stepped back has a lower incarnation. It must not be taken for
// the instance that left: no machine is drained without its report.
func TestRestartedPoolerWithLowerIncarnationIsNotForgotten(t *testing.T) {
	const left, restarted = 1_800_000_000_000, 1_800_000_000_000 - 3_600_000 // ms
	test := newLeaderTest(t, testPolicy("p", 1), PlanSpec{Machines: []string{"a1"}, Fresh: 1})
	test.poolers = map[string]uint64{"p": 1}
	test.change = func(view *Observation) { view.Departed = map[string]uint64{"q": left} }
	test.record.writeStatus(t, "q", PoolerStatus{Incarnation: restarted})
	for range 20 {
		require.Empty(t, test.propose().DeleteStatuses)
	}
	step := test.record.read(t).Steps["a1"]
	require.Equal(t, Draining, step.State)
	stopped := PoolerStatus{Incarnation: restarted, Stopped: map[string]uint64{"a1": step.Number}}
	test.record.writeStatus(t, "q", stopped)
	test.proposeUntil("a1", Drained)
	test.record.writeStatus(t, "q", PoolerStatus{Incarnation: left - 2})
	require.Equal(t, []string{"q"}, test.propose().DeleteStatuses, "an incarnation from before a refutation")
}

// A step waits for a pooler that was cut off for so long that membership has forgotten it. It does not wait for a
// pooler that left.
func TestStepWaitsForPoolerForgottenByMembership(t *testing.T) {
	test := newLeaderTest(t, testPolicy("p", 1), PlanSpec{Machines: []string{"a1"}, Fresh: 1})
	test.record.writeStatus(t, "z", PoolerStatus{Incarnation: 7, LeaseMS: 9000})
	test.proposeTimes(30)
	require.Equal(t, Draining, test.state("a1"))
	test.change = func(view *Observation) { view.Departed = map[string]uint64{"z": 7} }
	test.proposeUntil("a1", InMaintenance)
	require.NotContains(t, test.record.read(t).Statuses, "z")
}

// A plan that ignores unreachable poolers waits for the longest lease of any pooler plus the clock skew. A new leader
// has a different clock and starts the wait again.
func TestPlanWaitsForLeaseOfUnreachablePooler(t *testing.T) {
	for name, newLeader := range map[string]bool{
		"the same leader": false,
		"a new leader":    true,
	} {
		t.Run(name, func(t *testing.T) {
			spec := PlanSpec{Machines: []string{"a1"}, Fresh: 1, IgnoreUnreachable: true}
			test := newLeaderTest(t, testPolicy("p", 1), spec)
			test.record.writeStatus(t, "z", PoolerStatus{Incarnation: 7, LeaseMS: 9000, Plan: test.plan().ID})
			test.proposeUntil("a1", Draining)
			if newLeader {
				test.leader = NewLeader(testPolicy("q", 1))
				test.now += 120 * sec // the new leader's clock is ahead
			}
			begun := test.now
			require.Equal(t, []string{"z"}, test.proposeUntil("a1", InMaintenance).Unreachable)
			require.GreaterOrEqual(t, test.now-begun, 10*sec)
		})
	}
}
