package maintenance

import (
	"errors"
	"fmt"
	"strings"
)

// DryRunStep is one step of a dry run.
type DryRunStep struct {
	Machine       string
	HandOver      string  // for a primary: the replica that takes over first
	SpareCapacity float64 // spare capacity of its group while the machine is out, in the unit of the load
}

// DryRun simulates the plan as if each step succeeds, one machine at a time, and returns the order. If the plan cannot
// be completed, the error names each remaining machine with its constraint, and order has the steps before that.
func DryRun(spec PlanSpec, snapshot Snapshot) (order []DryRunStep, err error) {
	now := snapshot.clone()
	states := map[string]State{}
	for range 2*len(spec.Machines) + 1 {
		p := &planner{spec: spec, states: states, snapshot: now}
		switch decision := Decide(spec, states, now); {
		case decision.Complete:
			return order, nil
		case decision.HandOver != PlannedHandOver{}:
			from, to := now.Machines[decision.HandOver.From], now.Machines[decision.HandOver.To]
			from.Primary, from.Fresh, to.Primary = false, true, true
			order = append(order, DryRunStep{Machine: from.Name, HandOver: to.Name, SpareCapacity: p.spare(from)})
			states[from.Name] = Done // a primary is the last machine of its group
		case decision.Take != "":
			machine := now.Machines[decision.Take]
			order = append(order, DryRunStep{Machine: machine.Name, SpareCapacity: p.spare(machine)})
			states[machine.Name] = Done
		default:
			return order, notPossible(spec, decision.Reasons)
		}
	}
	return order, errors.New("the plan does not end") // only if the planner has a bug
}

// clone returns a copy whose machines can be changed. The copy shares the load.
func (s Snapshot) clone() Snapshot {
	copied := Snapshot{Machines: map[string]*Machine{}, Load: s.Load}
	for name, machine := range s.Machines {
		value := *machine
		copied.Machines[name] = &value
	}
	return copied
}

// notPossible returns the error that names the constraint of each remaining machine.
func notPossible(spec PlanSpec, reasons map[string]string) error {
	var lines []string
	for _, name := range spec.Machines {
		if reason := reasons[name]; reason != "" {
			lines = append(lines, name+": "+reason)
		}
	}
	all := strings.Join(lines, "; ")
	return fmt.Errorf("%d of %d machines cannot be taken: %s", len(lines), len(spec.Machines), all)
}
