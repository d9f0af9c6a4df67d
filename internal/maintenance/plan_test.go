package maintenance

import (
	"fmt"
	"maps"
	"testing"

	"github.com/stretchr/testify/require"
)

// groupOf returns a group of databases of size 1 in alternating zones x and y. The first is the primary.
func groupOf(group int, prefix string, count int) map[string]*Machine {
	machines := map[string]*Machine{}
	for i := range count {
		name := fmt.Sprint(prefix, i)
		machines[name] = &Machine{
			Name:    name,
			Group:   group,
			Zone:    []string{"x", "y"}[i%2],
			Size:    1,
			Up:      true,
			Warm:    true,
			Fresh:   i > 0,
			Primary: i == 0,
		}
	}
	return machines
}

// namesOf returns the machines of a dry run, in order.
func namesOf(order []DryRunStep) []string {
	var names []string
	for _, step := range order {
		names = append(names, step.Machine)
	}
	return names
}

// Replicas are taken before their primary, which hands over to a replica whose maintenance is finished.
func TestDryRunOrderOfGroup(t *testing.T) {
	snapshot := Snapshot{Machines: groupOf(1, "a", 3), Load: map[int]float64{1: 1}}
	order, err := DryRun(PlanSpec{Machines: []string{"a0", "a1", "a2"}, Fresh: 1}, snapshot)
	require.NoError(t, err)
	require.Equal(t, []string{"a1", "a2"}, namesOf(order)[:2])
	require.Equal(t, DryRunStep{Machine: "a0", HandOver: "a1", SpareCapacity: 1}, order[2])
	require.True(t, snapshot.Machines["a0"].Primary, "a dry run changes nothing")
}

// The group with the most spare capacity is first. Poolers follow databases, and the record's leader is last.
func TestDryRunOrderOfGroupsAndPoolers(t *testing.T) {
	machines := groupOf(1, "a", 3)
	maps.Copy(machines, groupOf(2, "b", 5))
	snapshot := Snapshot{Machines: machines, Load: map[int]float64{1: 1, 2: 1}}
	order, err := DryRun(PlanSpec{Machines: []string{"a1", "b1"}, Fresh: 1}, snapshot)
	require.NoError(t, err)
	require.Equal(t, []string{"b1", "a1"}, namesOf(order))

	for i := range 3 {
		name := fmt.Sprint("p", i)
		machines[name] = &Machine{Name: name, Kind: Pooler, Zone: "x", Size: 1, Up: true, Warm: true, Leads: i == 0}
	}
	order, err = DryRun(PlanSpec{Machines: []string{"p0", "p1", "a1", "p2"}, Fresh: 1}, snapshot)
	require.NoError(t, err)
	require.Equal(t, []string{"a1", "p1", "p2", "p0"}, namesOf(order))
}

// The error of a dry run names the constraint that forbids taking a machine.
func TestDryRunNamesConstraint(t *testing.T) {
	for name, test := range map[string]struct {
		change func(spec *PlanSpec, snapshot *Snapshot)
		reason string
	}{
		"load": {
			func(_ *PlanSpec, snapshot *Snapshot) { snapshot.Load[1] = 2.5 },
			"short of 0.50 for the load of 2.50",
		},
		"margin": {
			func(spec *PlanSpec, snapshot *Snapshot) { spec.Margin, snapshot.Load[1] = 0.5, 1.5 },
			"short of 0.50 for the load of 1.50",
		},
		"freshness": {
			func(spec *PlanSpec, _ *Snapshot) { spec.Fresh = 2 },
			"1 replicas of group 1 that keep up would be left, 2 at the least",
		},
		"failed member of the group": {
			func(_ *PlanSpec, snapshot *Snapshot) { snapshot.Machines["a2"].Up = false },
			"of group 1 are out, 1 at the most",
		},
		"zone that cannot be reached": {
			func(_ *PlanSpec, snapshot *Snapshot) { snapshot.Machines["a1"].Unreachable = true },
			"zone y cannot be reached",
		},
		"member of the group that warms up": {
			func(_ *PlanSpec, snapshot *Snapshot) { snapshot.Machines["a2"].Warm = false },
			"of group 1 are out, 1 at the most",
		},
		"failed machine of the zone": {
			func(spec *PlanSpec, snapshot *Snapshot) {
				spec.InAll, spec.PerGroup = 9, 9
				snapshot.Machines["z"] = &Machine{Name: "z", Group: 7, Zone: "y", Primary: true}
			},
			"of zone y are out",
		},
	} {
		t.Run(name, func(t *testing.T) {
			snapshot := Snapshot{Machines: groupOf(1, "a", 3), Load: map[int]float64{1: 1}}
			spec := PlanSpec{Machines: []string{"a1"}, Fresh: 1, InAll: 9}
			test.change(&spec, &snapshot)
			require.Empty(t, Decide(spec, nil, snapshot).Take)
			_, err := DryRun(spec, snapshot)
			require.ErrorContains(t, err, "a1: ")
			require.ErrorContains(t, err, test.reason)
		})
	}
}

// A plan that can be completed gets an order. For a plan that cannot, the order has only the steps before the error.
func TestDryRunReturnsOrderAsFarAsPossible(t *testing.T) {
	snapshot := Snapshot{Machines: groupOf(1, "a", 2), Load: map[int]float64{1: 0.5}}
	order, err := DryRun(PlanSpec{Machines: []string{"a1", "a0"}, Fresh: 0}, snapshot)
	require.NoError(t, err)
	require.Equal(t, []string{"a1", "a0"}, namesOf(order))
	order, err = DryRun(PlanSpec{Machines: []string{"a0", "a1"}, Fresh: 1}, snapshot)
	require.ErrorContains(t, err, "2 of 2 machines cannot be taken")
	require.Empty(t, order)
}

// If a member of a group fails while others are out, no further machine is taken and one that is out is put back. A
// machine whose work has not begun is preferred.
func TestPutsMachineBackWhenItsGroupIsTooSmall(t *testing.T) {
	snapshot := Snapshot{Machines: groupOf(1, "a", 5), Load: map[int]float64{1: 2.5}}
	spec := PlanSpec{Machines: []string{"a1", "a2", "a3"}, PerGroup: 2, PerZone: 2, InAll: 2}
	states := map[string]State{"a1": InMaintenance, "a2": Drained}
	require.Empty(t, Decide(spec, states, snapshot).PutBack)
	snapshot.Machines["a4"].Up = false
	decision := Decide(spec, states, snapshot)
	require.Equal(t, "a2", decision.PutBack)
	require.Empty(t, decision.Take)
	require.Equal(t, "a2 is put back first", decision.Reasons["a3"])
	states["a2"] = Recovering
	require.Equal(t, "a1", Decide(spec, states, snapshot).PutBack)
}

// The error of an invalid specification names the key.
func TestPlanSpecCheckNamesInvalidKey(t *testing.T) {
	known := groupOf(1, "a", 3)
	good := PlanSpec{Machines: []string{"a0"}}
	require.NoError(t, good.Check(known))
	for key, change := range map[string]func(*PlanSpec){
		"machines":    func(spec *PlanSpec) { spec.Machines = nil },
		"machines[1]": func(spec *PlanSpec) { spec.Machines = []string{"a0", "a0"} },
		"machines[0]": func(spec *PlanSpec) { spec.Machines = []string{"odd"} },
		"per_zone":    func(spec *PlanSpec) { spec.PerZone = -1 },
		"margin":      func(spec *PlanSpec) { spec.Margin = 1 },
	} {
		t.Run(key, func(t *testing.T) {
			spec := good
			change(&spec)
			require.ErrorContains(t, spec.Check(known), key)
		})
	}
}
