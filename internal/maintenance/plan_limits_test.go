package maintenance

import (
	"maps"
	"math/rand/v2"
	"slices"
	"testing"

	"github.com/stretchr/testify/require"
)

// planRun runs a plan over random groups whose machines fail and recover at random.
type planRun struct {
	t        *testing.T
	seed     uint64
	random   *rand.Rand
	spec     PlanSpec
	snapshot Snapshot
	names    []string // of all machines, sorted
	states   map[string]State
	failed   map[string]bool
}

func newPlanRun(t *testing.T, seed uint64) *planRun {
	t.Helper()
	random := rand.New(rand.NewPCG(seed, 5))
	machines, load := map[string]*Machine{}, map[int]float64{}
	for group := range 1 + random.IntN(3) {
		count := 3 + random.IntN(4)
		maps.Copy(machines, groupOf(group, string(rune('a'+group)), count))
		load[group] = float64(count-2) * random.Float64()
	}
	names := slices.Sorted(maps.Keys(machines))
	spec := PlanSpec{
		Machines: slices.Clone(names),
		PerGroup: 1 + random.IntN(2),
		PerZone:  1 + random.IntN(3),
		InAll:    1 + random.IntN(4),
		Fresh:    1,
		Margin:   random.Float64() / 10,
	}
	random.Shuffle(len(spec.Machines), func(i, j int) {
		spec.Machines[i], spec.Machines[j] = spec.Machines[j], spec.Machines[i]
	})
	return &planRun{
		t:        t,
		seed:     seed,
		random:   random,
		spec:     spec,
		snapshot: Snapshot{Machines: machines, Load: load},
		names:    names,
		states:   map[string]State{},
		failed:   map[string]bool{},
	}
}

// round carries out one decision, advances machines that are out at random and, with faults, lets a replica fail or
// recover. It reports whether the plan is complete.
func (p *planRun) round(faults bool) (complete bool) {
	p.t.Helper()
	decision := Decide(p.spec, p.states, p.snapshot)
	require.Equal(p.t, decision, Decide(p.spec, p.states, p.snapshot), "seed %d", p.seed)
	if handOver := decision.HandOver; handOver.From != "" {
		from, to := p.snapshot.Machines[handOver.From], p.snapshot.Machines[handOver.To]
		from.Primary, from.Fresh, to.Primary, to.Fresh = false, true, true, false
	}
	if machine := p.snapshot.Machines[decision.Take]; machine != nil {
		p.states[machine.Name] = Draining
		p.checkLimits(machine)
	}
	for _, name := range p.names { // machines that are out advance at random
		if state := p.states[name]; state.Unavailable() && p.random.IntN(2) == 0 {
			p.states[name] = state + 1
		}
	}
	if faults {
		p.failOrRecover()
	}
	return decision.Complete
}

// failOrRecover lets a random replica fail or recover.
func (p *planRun) failOrRecover() {
	machine := p.snapshot.Machines[p.names[p.random.IntN(len(p.names))]]
	p.failed[machine.Name] = !p.failed[machine.Name]
	if !machine.Primary {
		machine.Up = !p.failed[machine.Name]
	}
}

// checkLimits checks that the limits of the plan hold after a machine has been taken.
func (p *planRun) checkLimits(taken *Machine) {
	p.t.Helper()
	planning := &planner{spec: p.spec, states: p.states, snapshot: p.snapshot}
	inAll, inGroup, fresh := 0, 0, 0
	for _, machine := range p.snapshot.Machines {
		sameGroup := machine.Group == taken.Group
		switch {
		case planning.unavailable(machine):
			inAll++
			if sameGroup {
				inGroup++
			}
		case sameGroup && !machine.Primary:
			fresh++
		}
	}
	require.LessOrEqual(p.t, inAll, p.spec.InAll, "seed %d", p.seed)
	require.LessOrEqual(p.t, inGroup, p.spec.PerGroup, "seed %d", p.seed)
	require.GreaterOrEqual(p.t, fresh, 1, "seed %d: no fresh replica is left", p.seed)
	require.GreaterOrEqual(p.t, planning.spare(taken), 0.0, "seed %d: too little capacity is left", p.seed)
	require.False(p.t, taken.Primary, "seed %d: a primary that has not handed over", p.seed)
}

// ends reports whether the plan ends once all machines are healthy.
func (p *planRun) ends() bool {
	p.t.Helper()
	for _, machine := range p.snapshot.Machines {
		machine.Up = true
	}
	for range 2000 {
		if p.round(false) {
			return true
		}
	}
	return false
}

// While replicas fail and recover during a plan, no more machines are taken out than allowed, and no taken machine
// leaves its group with too little capacity. Equal inputs give equal decisions. Once all are healthy, the plan ends.
func TestPlanKeepsItsLimits(t *testing.T) {
	for seed := range uint64(300) {
		plan := newPlanRun(t, seed)
		for range 60 {
			plan.round(true)
		}
		ended := plan.ends()
		if _, err := DryRun(plan.spec, plan.snapshot); err == nil {
			require.True(t, ended, "seed %d: the plan ends: %v", seed, plan.states)
		}
	}
}
