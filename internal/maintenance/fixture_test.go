package maintenance

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// fakeRecord is an in-memory record: values with revisions, which change under conditions.
type fakeRecord struct {
	revision  uint64
	values    map[string]json.RawMessage
	revisions map[string]uint64
}

func newFakeRecord() *fakeRecord {
	return &fakeRecord{values: map[string]json.RawMessage{}, revisions: map[string]uint64{}}
}

func (f *fakeRecord) read(t *testing.T) Record {
	t.Helper()
	record, err := Parse(maps.Clone(f.values), maps.Clone(f.revisions))
	require.NoError(t, err)
	return record
}

// write applies a proposal that was made from a record. It returns false if the record has changed since it was read.
func (f *fakeRecord) write(record Record, proposal Proposal) bool {
	revisions, set, deleted := proposal.Change(record)
	for key, revision := range revisions {
		if f.revisions[key] != revision {
			return false
		}
	}
	f.revision++
	for key, value := range set {
		f.values[key], f.revisions[key] = value, f.revision
	}
	for _, key := range deleted {
		delete(f.values, key)
		delete(f.revisions, key)
	}
	return true
}

func (f *fakeRecord) writeStatus(t *testing.T, pooler string, status PoolerStatus) {
	t.Helper()
	text, err := json.Marshal(status)
	require.NoError(t, err)
	key := StatusKey(pooler)
	f.revision++
	f.values[key], f.revisions[key] = text, f.revision
}

// writeStopped reports for a pooler that it has stopped for all draining machines, and returns its status.
func (f *fakeRecord) writeStopped(t *testing.T, pooler string, incarnation uint64) PoolerStatus {
	t.Helper()
	record := f.read(t)
	status := PoolerStatus{Incarnation: incarnation, Plan: record.Plan.ID, Stopped: map[string]uint64{}}
	for _, step := range record.PlanSteps() {
		if step.State == Draining {
			status.Stopped[step.Machine] = step.Number
		}
	}
	f.writeStatus(t, pooler, status)
	return status
}

// sec is the unit of times in these tests, most of which are clock readings.
const sec = time.Second

// testOperator is the operator who starts plans and runs commands.
const testOperator = "ann"

// testPolicy returns the policy of a pooler whose hook is called once at most.
func testPolicy(name string, incarnation uint64) Policy {
	return Policy{
		Self:         Instance{Name: name, Incarnation: incarnation},
		Hook:         true,
		MaxHookCalls: 1,
		Lease:        2 * sec,
		Skew:         sec,
		SettleTime:   2 * sec,
	}
}

// healthyView returns an observation of a group of healthy databases, and of poolers with their incarnations.
func healthyView(now time.Duration, databases int, poolers map[string]uint64) Observation {
	view := Observation{
		Snapshot:     Snapshot{Machines: groupOf(1, "a", databases), Load: map[int]float64{}},
		Incarnations: maps.Clone(poolers),
		LastEvidence: map[string]time.Duration{},
		Live:         slices.Sorted(maps.Keys(poolers)),
	}
	for name := range view.Machines {
		view.LastEvidence[name] = now
	}
	for name, incarnation := range poolers {
		view.Machines[name] = &Machine{
			Name:        name,
			Kind:        Pooler,
			Zone:        name,
			Size:        1,
			Up:          true,
			Warm:        true,
			Incarnation: incarnation,
		}
	}
	return view
}

// leaderTest runs one leader, proposal by proposal, with poolers that report at once that they have stopped.
type leaderTest struct {
	t         *testing.T
	record    *fakeRecord
	leader    *Leader
	now       time.Duration
	wallAhead time.Duration // how far the wall clock is ahead
	poolers   map[string]uint64
	change    func(*Observation) // changes the observation before the leader gets it
	calls     []Call
}

// unchanged leaves the observation unchanged: all machines are healthy.
func unchanged(*Observation) {}

func newLeaderTest(t *testing.T, policy Policy, spec PlanSpec) *leaderTest {
	t.Helper()
	test := &leaderTest{
		t:       t,
		record:  newFakeRecord(),
		leader:  NewLeader(policy),
		now:     1000 * sec,
		poolers: map[string]uint64{"p": 1, "q": 1},
		change:  unchanged,
	}
	test.start(spec)
	return test
}

func (l *leaderTest) start(spec PlanSpec) {
	l.t.Helper()
	record := l.record.read(l.t)
	id := fmt.Sprint("plan", l.record.revision)
	proposal, err := Start(l.now, record, id, testOperator, spec, l.observe().Snapshot)
	require.NoError(l.t, err)
	require.True(l.t, l.record.write(record, proposal))
}

func (l *leaderTest) observe() Observation {
	view := healthyView(l.now, 4, l.poolers)
	l.change(&view)
	return view
}

// propose makes and writes one proposal, one second after the previous one. Before it, the poolers write their
// statuses.
func (l *leaderTest) propose() Proposal {
	l.t.Helper()
	l.now += sec
	for name, incarnation := range l.poolers {
		l.record.writeStopped(l.t, name, incarnation)
	}
	record := l.record.read(l.t)
	proposal := l.leader.Propose(l.now, l.now+l.wallAhead, record, l.observe())
	require.True(l.t, l.record.write(record, proposal))
	l.calls = append(l.calls, proposal.Calls...)
	return proposal
}

// proposeTimes makes and writes a number of proposals.
func (l *leaderTest) proposeTimes(count int) {
	l.t.Helper()
	for range count {
		l.propose()
	}
}

// proposeUntil makes proposals until a machine has reached a state, and returns its step.
func (l *leaderTest) proposeUntil(machine string, state State) Step {
	l.t.Helper()
	for range 50 {
		if step := l.record.read(l.t).Steps[machine]; step.State == state {
			return step
		}
		l.propose()
	}
	require.Fail(l.t, "state not reached", "%s %s: %v", machine, state, l.record.read(l.t).PlanSteps())
	return Step{}
}

// proposeUntilCall makes proposals until a hook is called.
func (l *leaderTest) proposeUntilCall() {
	l.t.Helper()
	for range 50 {
		if len(l.calls) > 0 {
			return
		}
		l.propose()
	}
	require.Fail(l.t, "no hook is called")
}

// finishHook writes the result of a hook call. failed is the reason of a failure, and empty after a success.
func (l *leaderTest) finishHook(call Call, failed string) Proposal {
	l.t.Helper()
	record := l.record.read(l.t)
	proposal := l.leader.policy.HookResult(l.now, l.now, record, call, failed)
	require.True(l.t, l.record.write(record, proposal))
	return proposal
}

func (l *leaderTest) execute(command Command, name string) error {
	l.t.Helper()
	record := l.record.read(l.t)
	proposal, err := Execute(l.now, record, command, name, testOperator)
	require.True(l.t, l.record.write(record, proposal))
	return err
}

func (l *leaderTest) plan() Plan {
	l.t.Helper()
	return l.record.read(l.t).Plan
}

// state returns the state of a machine in the record.
func (l *leaderTest) state(machine string) State {
	l.t.Helper()
	return l.record.read(l.t).States()[machine]
}
