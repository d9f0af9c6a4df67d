package maintenance

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"

	"github.com/stretchr/testify/require"
)

// groupOf returns a group of a primary, a0, and replicas, in zones x and y by turns, of size 1 each.
func groupOf(group int, prefix string, n int) map[string]*Machine {
	all := map[string]*Machine{}
	for i := range n {
		name := fmt.Sprint(prefix, i)
		all[name] = &Machine{Name: name, Group: group, Zone: []string{"x", "y"}[i%2], Size: 1, Up: true, Warm: true, Fresh: i > 0, Primary: i == 0}
	}
	return all
}

func names(order []DryRunStep) (all []string) {
	for _, s := range order {
		all = append(all, s.Machine)
	}
	return all
}

// Replicas go before their primary, which hands over to one whose own work is done.
func TestDryRunOrder(t *testing.T) {
	look := Snapshot{Machines: groupOf(1, "a", 3), Load: map[int]float64{1: 1}}
	order, err := DryRun(PlanSpec{Machines: []string{"a0", "a1", "a2"}, Fresh: 1}, look)
	require.NoError(t, err)
	require.Equal(t, []string{"a1", "a2"}, names(order)[:2])
	require.Equal(t, DryRunStep{Machine: "a0", HandOver: "a1", Leaves: 1}, order[2])
	require.True(t, look.Machines["a0"].Primary, "a dry run changes nothing")

	both := groupOf(1, "a", 3)
	maps.Copy(both, groupOf(2, "b", 5))
	look = Snapshot{Machines: both, Load: map[int]float64{1: 1, 2: 1}}
	order, err = DryRun(PlanSpec{Machines: []string{"a1", "b1"}, Fresh: 1}, look)
	require.NoError(t, err)
	require.Equal(t, []string{"b1", "a1"}, names(order), "the group with the most to spare first")

	for i := range 3 {
		name := fmt.Sprint("p", i)
		both[name] = &Machine{Name: name, Kind: Pooler, Zone: "x", Size: 1, Up: true, Warm: true, Leads: i == 0}
	}
	order, err = DryRun(PlanSpec{Machines: []string{"p0", "p1", "a1", "p2"}, Fresh: 1}, look)
	require.NoError(t, err)
	require.Equal(t, []string{"a1", "p1", "p2", "p0"}, names(order), "poolers behind databases, the leader last")
}

// Each constraint is named where it forbids, and what can be done all the same is the nearest order.
func TestConstraints(t *testing.T) {
	for what, c := range map[string]struct {
		change func(w *PlanSpec, l *Snapshot)
		why    string
	}{
		"load":      {func(_ *PlanSpec, l *Snapshot) { l.Load[1] = 2.5 }, "short of 0.50 for the load of 2.50"},
		"margin":    {func(w *PlanSpec, l *Snapshot) { w.Margin, l.Load[1] = 0.5, 1.5 }, "short of 0.50 for the load of 1.50"},
		"freshness": {func(w *PlanSpec, _ *Snapshot) { w.Fresh = 2 }, "1 replicas of group 1 that keep up would be left, 2 at the least"},
		"a sibling": {func(_ *PlanSpec, l *Snapshot) { l.Machines["a2"].Up = false }, "of group 1 are out, 1 at the most"},
		"its zone":  {func(_ *PlanSpec, l *Snapshot) { l.Machines["a1"].Unreachable = true }, "zone y cannot be reached"},
		"not warm":  {func(_ *PlanSpec, l *Snapshot) { l.Machines["a2"].Warm = false }, "of group 1 are out, 1 at the most"},
		"of its zone": {func(w *PlanSpec, l *Snapshot) {
			w.InAll, w.PerGroup = 9, 9
			l.Machines["z"] = &Machine{Name: "z", Group: 7, Zone: "y", Primary: true}
		}, "of zone y are out"},
	} {
		look := Snapshot{Machines: groupOf(1, "a", 3), Load: map[int]float64{1: 1}}
		w := PlanSpec{Machines: []string{"a1"}, Fresh: 1, InAll: 9}
		c.change(&w, &look)
		require.Empty(t, Decide(w, nil, look).Take, what)
		_, err := DryRun(w, look)
		require.ErrorContains(t, err, "a1: ", what)
		require.ErrorContains(t, err, c.why, what)
	}
	look := Snapshot{Machines: groupOf(1, "a", 2), Load: map[int]float64{1: 0.5}}
	order, err := DryRun(PlanSpec{Machines: []string{"a1", "a0"}, Fresh: 0}, look)
	require.NoError(t, err)
	require.Equal(t, []string{"a1", "a0"}, names(order))
	order, err = DryRun(PlanSpec{Machines: []string{"a0", "a1"}, Fresh: 1}, look)
	require.ErrorContains(t, err, "2 of 2 machines cannot be taken")
	require.Empty(t, order)
}

// While one is out another of its group fails: nothing further is taken, and one that is out is put back, rather one that
// is not in maintenance.
func TestPutBack(t *testing.T) {
	look := Snapshot{Machines: groupOf(1, "a", 5), Load: map[int]float64{1: 2.5}}
	w := PlanSpec{Machines: []string{"a1", "a2", "a3"}, PerGroup: 2, PerZone: 2, InAll: 2}
	at := map[string]State{"a1": InMaintenance, "a2": Drained}
	require.Empty(t, Decide(w, at, look).PutBack)
	look.Machines["a4"].Up = false
	d := Decide(w, at, look)
	require.Equal(t, "a2", d.PutBack)
	require.Empty(t, d.Take)
	require.Equal(t, "a2 is asked back first", d.Reasons["a3"])
	at["a2"] = Recovering
	require.Equal(t, "a1", Decide(w, at, look).PutBack)
}

// Whatever happens to machines while a plan goes on, never more are taken out than allowed, no group is left short by the plan's
// doing, and equal inputs give equal decisions; when all is well the plan ends.
func TestPlanKeepsItsLimits(t *testing.T) {
	for seed := range uint64(300) {
		random := rand.New(rand.NewPCG(seed, 5))
		machines, load := map[string]*Machine{}, map[int]float64{}
		for g := range 1 + random.IntN(3) {
			n := 3 + random.IntN(4)
			maps.Copy(machines, groupOf(g, string(rune('a'+g)), n))
			load[g] = float64(n-2) * random.Float64()
		}
		all := slices.Sorted(maps.Keys(machines))
		w := PlanSpec{
			Machines: slices.Clone(all), PerGroup: 1 + random.IntN(2), PerZone: 1 + random.IntN(3), InAll: 1 + random.IntN(4), Fresh: 1,
			Margin: random.Float64() / 10,
		}
		random.Shuffle(len(w.Machines), func(i, j int) { w.Machines[i], w.Machines[j] = w.Machines[j], w.Machines[i] })
		at, dead := map[string]State{}, map[string]bool{}
		lead := func(from, to *Machine) { from.Primary, from.Fresh, to.Primary, to.Fresh = false, true, true, false }
		round := func(faults bool) bool {
			look := Snapshot{Machines: machines, Load: load}
			d := Decide(w, at, look)
			require.Equal(t, d, Decide(w, at, look), "seed %d", seed)
			if d.HandOver.From != "" {
				lead(machines[d.HandOver.From], machines[d.HandOver.To])
			}
			if m := machines[d.Take]; m != nil {
				before := map[string]State{}
				maps.Copy(before, at)
				at[d.Take] = Draining
				p := &planner{w, at, look}
				out, group, fresh := 0, 0, 0
				for _, o := range machines {
					if p.unavailable(o) {
						out++
						if o.Group == m.Group {
							group++
						}
					} else if o.Group == m.Group && !o.Primary {
						fresh++
					}
				}
				require.LessOrEqual(t, out, w.InAll, "seed %d", seed)
				require.LessOrEqual(t, group, w.PerGroup, "seed %d", seed)
				require.GreaterOrEqual(t, fresh, 1, "seed %d: the last fresh replica", seed)
				require.GreaterOrEqual(t, p.spare(m), 0.0, "seed %d: short", seed)
				require.False(t, m.Primary, "seed %d: a primary that has not handed over", seed)
			}
			for _, name := range all { // what is out goes on, now and then
				if s := at[name]; s.Unavailable() && random.IntN(2) == 0 {
					at[name] = s + 1
				}
			}
			if faults {
				m := machines[all[random.IntN(len(all))]]
				if dead[m.Name] = !dead[m.Name]; !m.Primary {
					m.Up = !dead[m.Name]
				}
			}
			return d.Complete
		}
		for range 60 {
			round(true)
		}
		for _, m := range machines {
			m.Up = true
		}
		ended := false
		for range 2000 {
			if ended = round(false); ended {
				break
			}
		}
		if _, err := DryRun(w, Snapshot{Machines: machines, Load: load}); err == nil {
			require.True(t, ended, "seed %d: the plan ends: %v", seed, at)
		}
	}
}

func TestPlanSpecCheck(t *testing.T) {
	known := groupOf(1, "a", 3)
	good := PlanSpec{Machines: []string{"a0"}}
	require.NoError(t, good.Check(known))
	for key, change := range map[string]func(*PlanSpec){
		"machines":    func(w *PlanSpec) { w.Machines = nil },
		"machines[1]": func(w *PlanSpec) { w.Machines = []string{"a0", "a0"} },
		"machines[0]": func(w *PlanSpec) { w.Machines = []string{"odd"} },
		"per_zone":    func(w *PlanSpec) { w.PerZone = -1 },
		"margin":      func(w *PlanSpec) { w.Margin = 1 },
	} {
		w := good
		change(&w)
		require.ErrorContains(t, w.Check(known), key)
	}
}
