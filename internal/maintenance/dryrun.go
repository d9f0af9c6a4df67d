package maintenance

import (
	"fmt"
	"strings"
)

// DryRunStep is one step of a dry run.
type DryRunStep struct {
	Machine  string
	HandOver string  // who takes over first, of a primary
	Leaves   float64 // what its group could do beyond its load meanwhile
}

// DryRun plays the wish through as if all went well, one after the other, and returns the order. If it cannot be done, why names each
// machine that is left and its constraint; those in the order are the nearest wish that can.
func DryRun(w PlanSpec, look Snapshot) (order []DryRunStep, why error) {
	now := Snapshot{Machines: map[string]*Machine{}, Load: look.Load}
	for name, m := range look.Machines {
		c := *m
		now.Machines[name] = &c
	}
	at := map[string]State{}
	for range 2*len(w.Machines) + 1 {
		d := Decide(w, at, now)
		switch {
		case d.Complete:
			return order, nil
		case d.HandOver[0] != "":
			from, to := now.Machines[d.HandOver[0]], now.Machines[d.HandOver[1]]
			from.Primary, from.Fresh, to.Primary = false, true, true
			order = append(order, DryRunStep{from.Name, to.Name, (&planner{w, at, now}).spare(from)})
			at[from.Name] = Done // it was the last of its group
		case d.Take != "":
			m := now.Machines[d.Take]
			order = append(order, DryRunStep{m.Name, "", (&planner{w, at, now}).spare(m)})
			at[m.Name] = Done
		default:
			var lines []string
			for _, name := range w.Machines {
				if text := d.Reasons[name]; text != "" {
					lines = append(lines, name+": "+text)
				}
			}
			return order, fmt.Errorf("%d of %d machines cannot be taken: %s", len(lines), len(w.Machines), strings.Join(lines, "; "))
		}
	}
	return order, fmt.Errorf("the plan does not end") // a fault of this program
}
