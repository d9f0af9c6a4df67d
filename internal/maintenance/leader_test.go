package maintenance

import (
	"encoding/json"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// fakeRecord is a record without processes: values with revisions, changed on conditions.
type fakeRecord struct {
	revision  uint64
	values    map[string]json.RawMessage
	revisions map[string]uint64
}

func newFakeRecord() *fakeRecord {
	return &fakeRecord{values: map[string]json.RawMessage{}, revisions: map[string]uint64{}}
}

func (p *fakeRecord) read(t *testing.T) Record {
	r, err := Parse(maps.Clone(p.values), maps.Clone(p.revisions))
	require.NoError(t, err)
	return r
}

// write applies orders that were made on a record as it was read; false: it has changed since.
func (p *fakeRecord) write(r Record, o Proposal) bool {
	on, set, deleted := o.Change(r)
	for key, revision := range on {
		if p.revisions[key] != revision {
			return false
		}
	}
	p.revision++
	for key, value := range set {
		p.values[key], p.revisions[key] = value, p.revision
	}
	for _, key := range deleted {
		delete(p.values, key)
		delete(p.revisions, key)
	}
	return true
}

func (p *fakeRecord) writeStatus(name string, w PoolerStatus) {
	text, _ := json.Marshal(w)
	p.revision++
	p.values[StatusKey(name)], p.revisions[StatusKey(name)] = text, p.revision
}

const sec = time.Second

func testPolicy(name string, life uint64) Policy {
	return Policy{Self: Instance{name, life}, Hook: true, Calls: 1, Lease: 2 * sec, Skew: sec, Settle: 2 * sec}
}

// healthyView is of a group of databases that are all well, and of poolers with their incarnations.
func healthyView(now time.Duration, databases int, poolers map[string]uint64) Observation {
	s := Observation{Snapshot: Snapshot{Machines: groupOf(1, "a", databases), Load: map[int]float64{}}, Incarnations: maps.Clone(poolers), Heard: map[string]time.Duration{}}
	for name := range s.Machines {
		s.Heard[name] = now
	}
	s.Live = slices.Sorted(maps.Keys(poolers))
	for name, life := range poolers {
		s.Machines[name] = &Machine{Name: name, Kind: Pooler, Zone: name, Size: 1, Up: true, Warm: true, Incarnation: life}
	}
	return s
}

// leaderTest is a leader alone, look by look, with poolers that say at once that they have stopped.
type leaderTest struct {
	t       *testing.T
	record  *fakeRecord
	leader  *Leader
	now     time.Duration
	stepped time.Duration // by which the wall clock is ahead
	poolers map[string]uint64
	change  func(*Observation) // what is seen otherwise
	calls   []Call
}

func newLeaderTest(t *testing.T, m Policy, w PlanSpec) *leaderTest {
	p := &leaderTest{t: t, record: newFakeRecord(), leader: NewLeader(m), now: 1000 * sec, poolers: map[string]uint64{"p": 1, "q": 1}, change: func(*Observation) {}}
	p.start(w)
	return p
}

func (p *leaderTest) start(w PlanSpec) {
	r := p.record.read(p.t)
	o, err := Start(p.now, r, fmt.Sprint("plan", p.record.revision), "ann", w, p.observe().Snapshot)
	require.NoError(p.t, err)
	require.True(p.t, p.record.write(r, o))
}

func (p *leaderTest) observe() Observation {
	s := healthyView(p.now, 4, p.poolers)
	p.change(&s)
	return s
}

// propose is one look, a second after the one before; the poolers have said by then what they have to.
func (p *leaderTest) propose() Proposal {
	p.now += sec
	r := p.record.read(p.t)
	for name, life := range p.poolers {
		w := PoolerStatus{Incarnation: life, Plan: r.Plan.ID, Stopped: map[string]uint64{}}
		for _, s := range r.PlanSteps() {
			if s.State == Draining {
				w.Stopped[s.Machine] = s.Number
			}
		}
		p.record.writeStatus(name, w)
	}
	r = p.record.read(p.t)
	o := p.leader.Propose(p.now, p.now+p.stepped, r, p.observe())
	require.True(p.t, p.record.write(r, o))
	p.calls = append(p.calls, o.Calls...)
	return o
}

// proposeUntil looks until a machine has come to a state.
func (p *leaderTest) proposeUntil(machine string, s State) Step {
	p.t.Helper()
	for range 50 {
		if step := p.record.read(p.t).Steps[machine]; step.State == s {
			return step
		}
		p.propose()
	}
	r := p.record.read(p.t)
	require.Fail(p.t, "not reached", "%s %s: %v", machine, s, r.PlanSteps())
	return Step{}
}

func (p *leaderTest) hookEnded(c Call, failed string) Proposal {
	r := p.record.read(p.t)
	o := p.leader.policy.HookResult(p.now, p.now, r, c, failed)
	require.True(p.t, p.record.write(r, o))
	return o
}

func (p *leaderTest) execute(v Command, name string) error {
	r := p.record.read(p.t)
	o, err := Execute(p.now, r, v, name, "ann")
	require.True(p.t, p.record.write(r, o))
	return err
}

func (p *leaderTest) plan() Plan { return p.record.read(p.t).Plan }

// The course of a plan with a hook: one machine after the other, each with a number of its own; the record tells all of it.
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

// A hook that fails is called again under its number as far as that is allowed, and then the plan stands still.
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

// Who called a hook and is gone leaves it to a person, or to another call under the same number.
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

// A primary hands over first: by a hook, or by a person; that it is done shows by what is seen.
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

// What is seen decides what is taken: a group that has become too small asks back what is free, more load than the rest can do and
// a time that is over stop further steps, the one that leads the record hands the lead over.
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
// stretches it. Nor does one take a machine out or back: a pooler that says nothing is waited for until its lease
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

// A pooler that left and came back after its clock was stepped back bears a lower incarnation: nothing is free
// without its word.
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

// A pooler that was cut off for so long that the fleet's view has forgotten it is no yes; one that left is not waited for.
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

// Two poolers take themselves for the leader, on clocks two minutes apart; they are restarted at any point between reading, writing and
// calling; poolers restart, operators pause, resume and end. No work is begun twice, under one number or two at once, nothing is
// free while a pooler that lives has not stopped, and when that is over the plan ends.
func TestTwoLeaders(t *testing.T) {
	for seed := range uint64(100) {
		random := rand.New(rand.NewPCG(seed, 9))
		paper, now := newFakeRecord(), 1000*sec
		lives := map[string]uint64{"p": 1, "q": 1, "r": 1}
		open := map[string]uint64{} // machines at work, as who calls the hook knows
		called := map[uint64]bool{}
		type one struct {
			leader *Leader
			manner Policy
			apart  time.Duration
			record Record
			orders *Proposal
			calls  []Call // that go on
		}
		leaders := []*one{{apart: -120 * sec}, {apart: 120 * sec}}
		restart := func(i int) {
			name := []string{"p", "q"}[i]
			lives[name]++
			leaders[i].manner = testPolicy(name, lives[name])
			leaders[i].leader, leaders[i].orders, leaders[i].calls = NewLeader(leaders[i].manner), nil, nil
		}
		restart(0)
		restart(1)
		r := paper.read(t)
		o, err := Start(now, r, "plan", "ann", PlanSpec{Machines: []string{"a1", "a2", "a3"}, Fresh: 1}, healthyView(now, 4, lives).Snapshot)
		require.NoError(t, err)
		require.True(t, paper.write(r, o))
		said := map[string]PoolerStatus{}
		look := func(l *one) {
			l.record = paper.read(t)
			o := l.leader.Propose(now+l.apart, now+l.apart, l.record, healthyView(now+l.apart, 4, lives))
			l.orders = &o
		}
		write := func(l *one) {
			before := l.record.States()
			if !paper.write(l.record, *l.orders) {
				l.orders = nil
				return
			}
			after := paper.read(t)
			out := 0
			for name, s := range after.Steps {
				if s.State.Unavailable() {
					out++
				}
				if _, mine := l.orders.Steps[name]; mine && s.State == Drained && before[name] == Draining {
					for pooler, life := range lives {
						require.True(t, said[pooler].Incarnation == life && said[pooler].Stopped[name] == s.Number || l.record.Statuses[pooler].Incarnation < life,
							"seed %d: %s is free, and %s has not stopped", seed, name, pooler)
					}
				}
			}
			require.LessOrEqual(t, out, 1, "seed %d", seed)
			for _, c := range l.orders.Calls {
				require.False(t, called[c.Number], "seed %d: number %d is called twice", seed, c.Number)
				require.Zero(t, open[c.Machine], "seed %d: %s is open", seed, c.Machine)
				called[c.Number], open[c.Machine] = true, c.Number
				l.calls = append(l.calls, c)
			}
			l.orders = nil
		}
		ends := func(l *one) {
			c := l.calls[0]
			r := paper.read(t)
			if paper.write(r, l.manner.HookResult(now+l.apart, now, r, c, "")) {
				l.calls = l.calls[1:]
				delete(open, c.Machine)
			}
		}
		speak := func(name string) {
			r := paper.read(t)
			w := PoolerStatus{Incarnation: lives[name], Plan: r.Plan.ID, Stopped: map[string]uint64{}}
			for _, s := range r.PlanSteps() {
				if s.State == Draining {
					w.Stopped[s.Machine] = s.Number
				}
			}
			said[name] = w
			paper.writeStatus(name, w)
		}
		operator := func() {
			for name, s := range paper.read(t).Steps {
				caller := slices.IndexFunc(leaders, func(l *one) bool { return l.manner.Self == s.HookCaller })
				if s.State == InMaintenance && (caller < 0 || len(leaders[caller].calls) == 0 && leaders[caller].orders == nil) { // nobody will tell
					r := paper.read(t)
					o, err := Execute(now, r, EndWork, name, "ann")
					require.NoError(t, err)
					require.True(t, paper.write(r, o))
					delete(open, name)
				}
			}
		}
		step := func(faults bool) {
			now += time.Duration(random.IntN(1500)) * time.Millisecond
			i := random.IntN(2)
			switch l := leaders[i]; random.IntN(8) {
			case 0, 1, 2:
				if l.orders == nil {
					look(l)
				} else {
					write(l)
				}
			case 3:
				if len(l.calls) > 0 {
					ends(l)
				}
			case 4, 5:
				speak([]string{"p", "q", "r"}[random.IntN(3)])
			case 6:
				operator()
			case 7:
				if !faults {
					break
				}
				switch random.IntN(4) {
				case 0:
					restart(i)
				case 1:
					lives["r"]++
				default:
					r := paper.read(t)
					if o, err := Execute(now, r, []Command{Pause, Resume, Resume}[random.IntN(3)], "", "ann"); err == nil {
						paper.write(r, o)
					}
				}
			}
		}
		for range 150 {
			step(true)
		}
		if r := paper.read(t); r.Plan.State == Paused {
			o, err := Execute(now, r, Resume, "", "ann")
			require.NoError(t, err)
			require.True(t, paper.write(r, o))
		}
		for n := 0; n < 3000 && paper.read(t).Plan.Active(); n++ {
			step(false)
		}
		require.Equal(t, Finished, paper.read(t).Plan.State, "seed %d: %v", seed, paper.read(t).Steps)
	}
}
