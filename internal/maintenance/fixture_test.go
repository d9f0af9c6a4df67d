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

// write applies a proposal that was made on a record as it was read; false: the record has changed since.
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

// healthyView is an observation of a group of healthy databases, and of poolers with their incarnations.
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

// leaderTest is a leader alone, proposal by proposal, with poolers that report at once that they have stopped.
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

// propose makes and writes one proposal, a second after the one before; the poolers have written their statuses by then.
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

// proposeUntil proposes until a machine has come to a state.
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
