package maintenance

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// competingLeader is a pooler that considers itself the leader, as another pooler does at the same time.
type competingLeader struct {
	name      string
	clockSkew time.Duration
	policy    Policy
	leader    *Leader
	record    Record    // as read for the proposal
	proposal  *Proposal // not written yet; nil: none
	calls     []Call    // of hooks, without a reported result
}

// twoLeadersTest simulates two poolers that both consider themselves the leader of one record.
type twoLeadersTest struct {
	t            *testing.T
	seed         uint64
	random       *rand.Rand
	now          time.Duration
	record       *fakeRecord
	incarnations map[string]uint64
	leaders      []*competingLeader
	statuses     map[string]PoolerStatus // last written by each pooler
	working      map[string]uint64       // numbers of the hook calls whose work has not ended, by machine
	called       map[uint64]bool         // numbers under which the hook was called
}

func newTwoLeadersTest(t *testing.T, seed uint64) *twoLeadersTest {
	t.Helper()
	test := &twoLeadersTest{
		t:            t,
		seed:         seed,
		random:       rand.New(rand.NewPCG(seed, 9)),
		now:          1000 * sec,
		record:       newFakeRecord(),
		incarnations: map[string]uint64{"p": 1, "q": 1, "r": 1},
		leaders:      []*competingLeader{{name: "p", clockSkew: -120 * sec}, {name: "q", clockSkew: 120 * sec}},
		statuses:     map[string]PoolerStatus{},
		working:      map[string]uint64{},
		called:       map[uint64]bool{},
	}
	for _, leader := range test.leaders {
		test.restart(leader)
	}
	record := test.record.read(t)
	spec := PlanSpec{Machines: []string{"a1", "a2", "a3"}, Fresh: 1}
	snapshot := healthyView(test.now, 4, test.incarnations).Snapshot
	proposal, err := Start(test.now, record, "plan", testOperator, spec, snapshot)
	require.NoError(t, err)
	require.True(t, test.record.write(record, proposal))
	return test
}

// restart restarts the process of a leader, which loses its proposal and its hook calls.
func (r *twoLeadersTest) restart(leader *competingLeader) {
	r.incarnations[leader.name]++
	leader.policy = testPolicy(leader.name, r.incarnations[leader.name])
	leader.leader, leader.proposal, leader.calls = NewLeader(leader.policy), nil, nil
}

// propose lets a leader read the record and make a proposal.
func (r *twoLeadersTest) propose(leader *competingLeader) {
	r.t.Helper()
	leader.record = r.record.read(r.t)
	own := r.now + leader.clockSkew
	proposal := leader.leader.Propose(own, own, leader.record, healthyView(own, 4, r.incarnations))
	leader.proposal = &proposal
}

// write writes the proposal of a leader, if the record has not changed since it was read, and makes its hook calls.
func (r *twoLeadersTest) write(leader *competingLeader) {
	r.t.Helper()
	proposal := leader.proposal
	leader.proposal = nil
	if !r.record.write(leader.record, *proposal) {
		return
	}
	r.checkWritten(leader.record, *proposal)
	for _, call := range proposal.Calls {
		require.False(r.t, r.called[call.Number], "seed %d: number %d is called twice", r.seed, call.Number)
		require.Zero(r.t, r.working[call.Machine], "seed %d: work on %s has not ended", r.seed, call.Machine)
		r.called[call.Number], r.working[call.Machine] = true, call.Number
		leader.calls = append(leader.calls, call)
	}
}

// checkWritten checks the record after a proposal was written: at most one machine is out of service, and for a machine
// that the proposal marked as drained all poolers have stopped.
func (r *twoLeadersTest) checkWritten(before Record, proposal Proposal) {
	r.t.Helper()
	states, unavailable := before.States(), 0
	for name, step := range r.record.read(r.t).Steps {
		if step.State.Unavailable() {
			unavailable++
		}
		_, changed := proposal.Steps[name]
		if !changed || step.State != Drained || states[name] != Draining {
			continue
		}
		for pooler, incarnation := range r.incarnations {
			status := r.statuses[pooler]
			hasStopped := status.Incarnation == incarnation && status.Stopped[name] == step.Number
			restartUnknown := before.Statuses[pooler].Incarnation < incarnation
			require.True(r.t, hasStopped || restartUnknown,
				"seed %d: %s is drained, and %s has not stopped", r.seed, name, pooler)
		}
	}
	require.LessOrEqual(r.t, unavailable, 1, "seed %d", r.seed)
}

// finishHook writes the result of the first hook call of a leader.
func (r *twoLeadersTest) finishHook(leader *competingLeader) {
	r.t.Helper()
	call := leader.calls[0]
	record := r.record.read(r.t)
	result := leader.policy.HookResult(r.now+leader.clockSkew, r.now, record, call, "")
	if r.record.write(record, result) {
		leader.calls = leader.calls[1:]
		delete(r.working, call.Machine)
	}
}

// endAbandonedWork lets the operator end the work whose result no pooler will report.
func (r *twoLeadersTest) endAbandonedWork() {
	r.t.Helper()
	for name, step := range r.record.read(r.t).Steps {
		if step.State != InMaintenance || r.willReport(step) {
			continue
		}
		record := r.record.read(r.t)
		proposal, err := Execute(r.now, record, EndWork, name, testOperator)
		require.NoError(r.t, err)
		require.True(r.t, r.record.write(record, proposal))
		delete(r.working, name)
	}
}

// willReport reports whether the caller of a step's hook still runs and has a hook result or a proposal to write.
func (r *twoLeadersTest) willReport(step Step) bool {
	caller := slices.IndexFunc(r.leaders, func(leader *competingLeader) bool {
		return leader.policy.Self == step.HookCaller
	})
	return caller >= 0 && (len(r.leaders[caller].calls) > 0 || r.leaders[caller].proposal != nil)
}

// resumeOrPause lets the operator pause or resume the plan if its state allows that.
func (r *twoLeadersTest) resumeOrPause() {
	r.t.Helper()
	record := r.record.read(r.t)
	command := []Command{Pause, Resume, Resume}[r.random.IntN(3)]
	if proposal, err := Execute(r.now, record, command, "", testOperator); err == nil {
		r.record.write(record, proposal)
	}
}

// step lets time pass, and then one random event happen.
func (r *twoLeadersTest) step(faults bool) {
	r.t.Helper()
	r.now += time.Duration(r.random.IntN(1500)) * time.Millisecond
	leader := r.leaders[r.random.IntN(2)]
	switch r.random.IntN(8) {
	case 0, 1, 2:
		if leader.proposal == nil {
			r.propose(leader)
		} else {
			r.write(leader)
		}
	case 3:
		if len(leader.calls) > 0 {
			r.finishHook(leader)
		}
	case 4, 5:
		pooler := []string{"p", "q", "r"}[r.random.IntN(3)]
		r.statuses[pooler] = r.record.writeStopped(r.t, pooler, r.incarnations[pooler])
	case 6:
		r.endAbandonedWork()
	case 7:
		if faults {
			r.fault(leader)
		}
	}
}

// fault restarts a pooler, or lets the operator pause or resume the plan.
func (r *twoLeadersTest) fault(leader *competingLeader) {
	r.t.Helper()
	switch r.random.IntN(4) {
	case 0:
		r.restart(leader)
	case 1:
		r.incarnations["r"]++
	default:
		r.resumeOrPause()
	}
}

// Two poolers consider themselves the leader, on clocks four minutes apart. They restart at any point between reading,
// writing and calling the hook. Another pooler restarts, and the operator pauses and resumes the plan and ends work. No
// work is begun twice under one number, nor again before it has ended. No machine is drained before all live poolers
// have stopped. Without further faults the plan ends.
func TestTwoLeadersNeverBeginWorkTwice(t *testing.T) {
	for seed := range uint64(100) {
		test := newTwoLeadersTest(t, seed)
		for range 150 {
			test.step(true)
		}
		if record := test.record.read(t); record.Plan.State == Paused {
			proposal, err := Execute(test.now, record, Resume, "", testOperator)
			require.NoError(t, err)
			require.True(t, test.record.write(record, proposal))
		}
		for n := 0; n < 3000 && test.record.read(t).Plan.Active(); n++ {
			test.step(false)
		}
		record := test.record.read(t)
		require.Equal(t, Finished, record.Plan.State, "seed %d: %v", seed, record.Steps)
	}
}
