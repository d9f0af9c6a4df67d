package maintenance

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// A plan with a hook takes one machine after the other, each with a number of its own; the history tells all of it.
func TestPlanRunsToItsEnd(t *testing.T) {
	p := newLeaderTest(t, testPolicy("p", 1), PlanSpec{Machines: []string{"a1", "a2"}, Fresh: 1})
	for i, name := range []string{"a1", "a2"} {
		p.proposeUntil(name, InMaintenance)
		require.Equal(t, Call{Machine: name, Number: uint64(i + 1)}, p.calls[i])
		require.Len(t, p.calls, i+1)
		p.hookEnded(p.calls[i], "")
		p.proposeUntil(name, Done)
	}
	for p.plan().Active() {
		p.propose()
	}
	var told []string
	for _, e := range p.record.read(t).History {
		told = append(told, fmt.Sprint(e.Machine, " ", e.Text))
	}
	require.Equal(t, []string{
		" plan plan0 of 2 machines", "a1 agreed", "a1 free", "a1 at work", "a1 back", "a1 done", "a2 agreed", "a2 free", "a2 at work", "a2 back",
		"a2 done", " the plan is over",
	}, told)
	p.start(PlanSpec{Machines: []string{"a2"}, Fresh: 1})
	require.Equal(t, uint64(3), p.proposeUntil("a2", InMaintenance).Number, "numbers go on over plans")
	require.Len(t, p.record.read(t).Steps, 1, "steps of the plan before are gone")
	require.Empty(t, p.hookEnded(p.calls[1], "").Steps, "the late end of an earlier try")
	require.NotEmpty(t, p.hookEnded(p.calls[2], "").Steps)
}

// A hook that fails is called again under its number as far as that is allowed, and then the plan is paused.
func TestFailedHookIsCalledAgainAndThenPausesThePlan(t *testing.T) {
	m := testPolicy("p", 1)
	m.Calls = 2
	p := newLeaderTest(t, m, PlanSpec{Machines: []string{"a1", "a2"}, Fresh: 1})
	p.proposeUntil("a1", InMaintenance)
	o := p.hookEnded(p.calls[0], "no disk")
	require.Equal(t, p.calls[:1], o.Calls)
	require.Empty(t, p.hookEnded(p.calls[0], "no disk").Calls)
	require.Equal(t, Paused, p.plan().State)
	require.Equal(t, "the work on a1 failed: no disk", p.plan().Why)
	p.proposeUntil("a1", Done)
	for range 5 {
		p.propose()
	}
	require.Equal(t, Waiting, p.record.read(t).States()["a2"], "nothing further")
	require.Empty(t, p.hookEnded(p.calls[0], "").Steps, "a word of a try that is over")
	require.NoError(t, p.execute(Resume, ""))
	p.proposeUntil("a2", InMaintenance)
}

// Where the pooler that called a hook is gone, a person ends the work, or another calls it under the same number.
func TestHookWhoseCallerIsGone(t *testing.T) {
	for calls, again := range map[int]bool{1: false, 2: true} {
		m := testPolicy("p", 1)
		m.Calls = calls
		p := newLeaderTest(t, m, PlanSpec{Machines: []string{"a1"}, Fresh: 1})
		p.proposeUntil("a1", InMaintenance)
		m.Self = Instance{"q", 1}
		p.leader = NewLeader(m)
		for range 3 {
			p.propose()
		}
		require.Len(t, p.calls, 1, "p lives and will tell")
		p.poolers["p"] = 2 // another life
		for range 3 {
			p.propose()
		}
		if again {
			require.Equal(t, []Call{p.calls[0], p.calls[0]}, p.calls)
			continue
		}
		require.Len(t, p.calls, 1)
		require.NoError(t, p.execute(EndWork, "a1"))
		p.proposeUntil("a1", Done)
	}
}

// A primary hands over first: by a hook, or by a person; that it is done shows by what is observed.
func TestPrimaryHandsOverFirst(t *testing.T) {
	m := testPolicy("p", 1)
	m.HandsOver = true
	p := newLeaderTest(t, m, PlanSpec{Machines: []string{"a0"}, Fresh: 1})
	for len(p.calls) == 0 {
		p.propose()
	}
	require.Equal(t, Call{Machine: "a0", To: "a1", Number: 1}, p.calls[0])
	p.hookEnded(p.calls[0], "")
	for range 3 {
		p.propose()
	}
	require.Equal(t, Waiting, p.record.read(t).States()["a0"], "it still leads")
	p.change = func(s *Observation) {
		s.Machines["a0"].Primary, s.Machines["a0"].Fresh, s.Machines["a1"].Primary = false, true, true
	}
	p.proposeUntil("a0", InMaintenance)
	require.Equal(t, uint64(2), p.calls[1].Number)

	p = newLeaderTest(t, m, PlanSpec{Machines: []string{"a0"}, Fresh: 1})
	for len(p.calls) == 0 {
		p.propose()
	}
	p.hookEnded(p.calls[0], "it will not")
	require.Equal(t, Paused, p.plan().State)
	require.Nil(t, p.plan().HandOver)
}

// What is observed decides what is taken: a group that has become too small gets a drained machine back, more load than
// the rest can do and a time that is over stop further steps, the pooler that leads the record resigns.
func TestObservationDecidesWhatIsTaken(t *testing.T) {
	m := testPolicy("p", 1)
	m.Hook = false
	w := PlanSpec{Machines: []string{"a1", "a2"}, Fresh: 1, Capacity: 100}
	p := newLeaderTest(t, m, w)
	p.proposeUntil("a1", Drained)
	p.change = func(s *Observation) { s.Load[1] = 3.5 } // three are left
	p.proposeUntil("a1", Waiting)
	for range 5 {
		p.propose()
	}
	require.Equal(t, map[string]State{"a1": Waiting, "a2": Waiting}, p.record.read(t).States())
	p.change = func(s *Observation) { s.Load[1] = 1.5 }
	require.Greater(t, p.proposeUntil("a1", Drained).Number, uint64(1), "a new try")
	require.NoError(t, p.execute(EndWork, "a1"))
	p.change = func(s *Observation) { s.Machines["a1"].Warm = false }
	for range 5 {
		p.propose()
	}
	require.Equal(t, Recovering, p.record.read(t).States()["a1"], "it is cold yet")
	p.change = func(*Observation) {}
	p.proposeUntil("a1", Done)

	w.Until = time.Unix(1010, 0)
	p = newLeaderTest(t, m, w) // it begins at 1000
	p.now += 30 * sec
	p.propose()
	require.Equal(t, "the time for it is over", p.plan().Why)

	p = newLeaderTest(t, testPolicy("p", 1), PlanSpec{Machines: []string{"p"}})
	p.change = func(s *Observation) { s.Machines["p"].Leads = true }
	require.True(t, p.propose().Resign)
	p.change = func(*Observation) {}
	p.proposeUntil("p", InMaintenance)
	p.hookEnded(p.calls[0], "")
	for range 5 {
		p.propose()
	}
	require.Equal(t, Recovering, p.record.read(t).States()["p"], "it is the life that was taken out")
	p.poolers["p"] = 2
	p.proposeUntil("p", Done)
}

// The time that a plan has is a span of real time for who leads it: no step of the wall clock ends it early, nor
// stretches it. Nor does one take a machine out or back: a pooler that does not report is waited for until its lease
// has run out.
func TestStepOfTheWallClock(t *testing.T) {
	const window = 30 // looks, each of a second
	for _, step := range []time.Duration{-time.Hour, time.Hour} {
		t.Run(step.String(), func(t *testing.T) {
			p := newLeaderTest(t, testPolicy("p", 0), PlanSpec{Machines: []string{"a1", "a2"}, Fresh: 1, Until: time.Unix(1000+window, 0)})
			p.propose()
			p.stepped = step
			p.proposeUntil("a1", Drained)
			for p.now < (1000+window)*sec {
				require.Equal(t, Running, p.plan().State)
				p.propose()
			}
			p.propose()
			require.Equal(t, "the time for it is over", p.plan().Why)
		})
		t.Run("lease, "+step.String(), func(t *testing.T) {
			p := newLeaderTest(t, testPolicy("p", 0), PlanSpec{Machines: []string{"a1"}, Fresh: 1, IgnoreUnreachable: true})
			p.propose() // all know the plan
			delete(p.poolers, "q")
			p.change = func(s *Observation) { s.Incarnations["q"] = 1 }
			agreed := p.proposeUntil("a1", Draining)
			began := p.now
			require.Equal(t, Draining, agreed.State)
			p.stepped = step
			rules := p.leader.rules(p.record.read(t))
			lease := rules.Lease + rules.Skew
			free := p.proposeUntil("a1", Drained)
			require.GreaterOrEqual(t, p.now-began, lease)
			require.LessOrEqual(t, p.now-began, lease+3*sec)
			require.Equal(t, []string{"q"}, free.Unreachable)
		})
	}
}

// A pooler that left and came back after its clock was stepped back has a lower incarnation: nothing is drained
// without its report.
func TestClockSteppedBackBetweenTwoIncarnations(t *testing.T) {
	const left, back = 1_800_000_000_000, 1_800_000_000_000 - 3_600_000 // ms
	p := newLeaderTest(t, testPolicy("p", 1), PlanSpec{Machines: []string{"a1"}, Fresh: 1})
	p.poolers = map[string]uint64{"p": 1}
	p.change = func(s *Observation) { s.Left = map[string]uint64{"q": left} }
	p.record.writeStatus("q", PoolerStatus{Incarnation: back})
	for range 20 {
		require.Empty(t, p.propose().Forget)
	}
	step := p.record.read(t).Steps["a1"]
	require.Equal(t, Draining, step.State)
	p.record.writeStatus("q", PoolerStatus{Incarnation: back, Stopped: map[string]uint64{"a1": step.Number}})
	p.proposeUntil("a1", Drained)
	p.record.writeStatus("q", PoolerStatus{Incarnation: left - 2})
	require.Equal(t, []string{"q"}, p.propose().Forget, "its own word, from before it was refuted")
}

// A pooler that was cut off for so long that membership has forgotten it has not agreed; one that left is not waited
// for.
func TestUnreachablePoolers(t *testing.T) {
	p := newLeaderTest(t, testPolicy("p", 1), PlanSpec{Machines: []string{"a1"}, Fresh: 1})
	p.record.writeStatus("z", PoolerStatus{Incarnation: 7, LeaseMS: 9000})
	for range 30 {
		p.propose()
	}
	require.Equal(t, Draining, p.record.read(t).States()["a1"])
	p.change = func(s *Observation) { s.Left = map[string]uint64{"z": 7} }
	p.proposeUntil("a1", InMaintenance)
	require.NotContains(t, p.record.read(t).Statuses, "z")

	p = newLeaderTest(t, testPolicy("p", 1), PlanSpec{Machines: []string{"a1"}, Fresh: 1, IgnoreUnreachable: true})
	p.record.writeStatus("z", PoolerStatus{Incarnation: 7, LeaseMS: 9000, Plan: p.plan().ID})
	p.proposeUntil("a1", Draining)
	began := p.now
	require.Equal(t, []string{"z"}, p.proposeUntil("a1", InMaintenance).Unreachable)
	require.GreaterOrEqual(t, p.now-began, 10*sec, "the longest lease of any, and what clocks run apart")

	p = newLeaderTest(t, testPolicy("p", 1), PlanSpec{Machines: []string{"a1"}, Fresh: 1, IgnoreUnreachable: true})
	p.record.writeStatus("z", PoolerStatus{Incarnation: 7, LeaseMS: 9000, Plan: p.plan().ID})
	p.proposeUntil("a1", Draining)
	p.leader = NewLeader(testPolicy("q", 1))
	p.now += 120 * sec // on another's clock
	began = p.now
	p.proposeUntil("a1", InMaintenance)
	require.GreaterOrEqual(t, p.now-began, 10*sec, "a new leader waits anew")
}
