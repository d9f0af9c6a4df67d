package maintenance

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
)

// Decision is the next action of a plan. The zero value is no action.
type Decision struct {
	Take     string            // the machine that may be taken out now; empty: none
	HandOver PlannedHandOver   // from a primary that is next; zero: none
	PutBack  string            // the machine that returns to service because its group is too small; empty: none
	Reasons  map[string]string // why a machine is not taken now, by machine
	Complete bool              // all machines are finished
}

// PlannedHandOver is a primary and the replica that has to take over from it.
type PlannedHandOver struct {
	From string
	To   string
}

// Decide returns the next action, given the state of each machine of the plan. Call it again after each change, because
// the constraints of a machine depend on all other machines. Equal inputs give equal decisions.
func Decide(spec PlanSpec, states map[string]State, snapshot Snapshot) Decision {
	decision := Decision{Reasons: map[string]string{}, Complete: true}
	planning := &planner{spec: spec, states: states, snapshot: snapshot}
	var waiting []*Machine
	for _, name := range spec.Machines {
		state := states[name]
		if state.Finished() {
			continue
		}
		decision.Complete = false
		switch machine := snapshot.Machines[name]; {
		case machine == nil:
			decision.Reasons[name] = "it is not known any more"
		case state == Waiting:
			waiting = append(waiting, machine)
		}
	}
	decision.PutBack = planning.putBack()
	slices.SortStableFunc(waiting, planning.compare)
	for _, machine := range waiting {
		reason, successor := planning.constraint(machine, waiting)
		switch {
		case decision.PutBack != "":
			reason = fmt.Sprintf("%s is put back first", decision.PutBack)
		case reason != "":
		case decision.Take != "" || decision.HandOver != PlannedHandOver{}:
			reason = "another is next"
		case successor != "":
			decision.HandOver = PlannedHandOver{From: machine.Name, To: successor}
			reason = fmt.Sprintf("%s has to take over first", successor)
		default:
			decision.Take = machine.Name
			continue
		}
		decision.Reasons[machine.Name] = reason
	}
	return decision
}

// planner holds the inputs of a decision.
type planner struct {
	spec     PlanSpec
	states   map[string]State
	snapshot Snapshot
}

// unavailable reports whether a machine is out of service, because of the plan or a failure. A recovering machine
// counts as available only once its step is done and it is ready.
func (p *planner) unavailable(machine *Machine) bool {
	return p.states[machine.Name].Unavailable() || !machine.ready()
}

// compare orders waiting machines: databases before poolers, replicas before primaries, the record's leader last,
// groups with the most spare capacity first, then by group. The sort keeps the operators' order among equals.
func (p *planner) compare(a, b *Machine) int {
	return cmp.Or(
		cmp.Compare(a.Kind, b.Kind),
		cmp.Compare(leadership(a), leadership(b)),
		-cmp.Compare(p.spare(a), p.spare(b)),
		cmp.Compare(a.Group, b.Group),
	)
}

// leadership returns 1 for a primary or the record's leader, and 0 for other machines.
func leadership(machine *Machine) int {
	if machine.Primary || machine.Leads {
		return 1
	}
	return 0
}

// group returns the machines that share the work of a machine, including that machine: the databases of its group, or
// all poolers.
func (p *planner) group(machine *Machine) (members []*Machine) {
	for _, name := range slices.Sorted(maps.Keys(p.snapshot.Machines)) {
		if other := p.snapshot.Machines[name]; sameGroup(machine, other) {
			members = append(members, other)
		}
	}
	return members
}

// sameGroup reports whether two machines share their work.
func sameGroup(a, b *Machine) bool {
	return a.Kind == b.Kind && (a.Kind == Pooler || a.Group == b.Group)
}

// spare returns the capacity that the group of a machine has without that machine. For a database the margin and the
// group's load are subtracted.
func (p *planner) spare(machine *Machine) float64 {
	capacity := 0.0
	for _, other := range p.group(machine) {
		if other != machine && !p.unavailable(other) {
			capacity += other.Size
		}
	}
	if machine.Kind == Pooler {
		return capacity
	}
	return capacity*(1-p.spec.Margin) - p.snapshot.Load[machine.Group]
}

// constraint names the reason why a machine cannot be taken now; empty: none. For a primary without such a reason it
// names the replica that has to take over first.
func (p *planner) constraint(machine *Machine, waiting []*Machine) (reason, successor string) {
	if machine.Unreachable {
		return fmt.Sprintf("zone %s cannot be reached", machine.Zone), ""
	}
	if reason := p.limitReached(machine); reason != "" {
		return reason, ""
	}
	if machine.Kind == Pooler {
		return p.poolerConstraint(machine, waiting), ""
	}
	return p.databaseConstraint(machine, waiting)
}

// limitReached names a limit on unavailable machines that the other machines have already reached; empty: none. Each
// kind is counted separately: unavailable poolers do not block a database, and unavailable databases block no pooler.
func (p *planner) limitReached(machine *Machine) string {
	inAll, inZone, inGroup := 0, 0, 0
	for _, other := range p.snapshot.Machines {
		if other == machine || other.Kind != machine.Kind || !p.unavailable(other) {
			continue
		}
		inAll++
		if other.Zone == machine.Zone {
			inZone++
		}
		if other.Kind == Database && other.Group == machine.Group {
			inGroup++
		}
	}
	for _, limit := range []struct {
		scope          string
		count, maximum int
	}{
		{"in all", inAll, p.spec.InAll},
		{"of zone " + machine.Zone, inZone, p.spec.PerZone},
		{fmt.Sprintf("of group %d", machine.Group), inGroup, p.spec.PerGroup},
	} {
		if maximum := max(1, limit.maximum); limit.count >= maximum {
			return fmt.Sprintf("%d %s are out, %d at the most", limit.count, limit.scope, maximum)
		}
	}
	return ""
}

// poolerConstraint names the reason why a pooler cannot be taken; empty: none.
func (p *planner) poolerConstraint(machine *Machine, waiting []*Machine) string {
	if p.spare(machine) <= 0 {
		return "no other pooler is left"
	}
	isOther := func(other *Machine) bool { return other.Kind == Pooler && other != machine }
	if machine.Leads && slices.ContainsFunc(waiting, isOther) {
		return "it leads the record, and goes last"
	}
	return ""
}

// databaseConstraint names the reason why a database cannot be taken, or else the successor of a primary.
func (p *planner) databaseConstraint(machine *Machine, waiting []*Machine) (reason, successor string) {
	fresh, successor := p.freshReplicas(machine)
	needed := p.spec.Fresh
	if machine.Primary {
		if reason := primaryConstraint(machine, waiting, successor); reason != "" {
			return reason, ""
		}
		needed++ // the successor is no longer a replica
	}
	if fresh < needed {
		const text = "%d replicas of group %d that keep up would be left, %d at the least"
		return fmt.Sprintf(text, fresh, machine.Group, needed), ""
	}
	if spare := p.spare(machine); spare < 0 {
		const text = "what is left of group %d would be short of %.2f for the load of %.2f"
		return fmt.Sprintf(text, machine.Group, -spare, p.snapshot.Load[machine.Group]), ""
	}
	if !machine.Primary {
		return "", ""
	}
	return "", successor
}

// primaryConstraint names the reason why a primary cannot hand over; empty: none.
func primaryConstraint(machine *Machine, waiting []*Machine, successor string) string {
	for _, other := range waiting {
		if other != machine && sameGroup(machine, other) {
			return fmt.Sprintf("replica %s goes before its primary", other.Name)
		}
	}
	if successor == "" {
		return "no replica is near enough to take over"
	}
	return ""
}

// freshReplicas counts the other replicas of a database's group that keep up, and names the preferred successor. A
// replica whose own maintenance is finished is preferred, because it avoids a second hand-over; then the first by name.
func (p *planner) freshReplicas(machine *Machine) (count int, successor string) {
	for _, other := range p.group(machine) {
		if other == machine || other.Primary || p.unavailable(other) {
			continue
		}
		count++
		if successor == "" || p.states[other.Name].Finished() && !p.states[successor].Finished() {
			successor = other.Name
		}
	}
	return count, successor
}

// putBack names a machine that has to return to service because its group has become too small; empty: none. Among
// blocked machines it prefers those whose work has not begun, then the first by name. A machine in maintenance returns
// only when its work ends.
func (p *planner) putBack() string {
	var notBegun, inMaintenance string
	for _, name := range slices.Sorted(maps.Keys(p.states)) {
		machine, state := p.snapshot.Machines[name], p.states[name]
		if machine == nil || machine.Kind == Pooler || !state.Blocked() || !p.groupTooSmall(machine) {
			continue
		}
		if state == InMaintenance {
			inMaintenance = cmp.Or(inMaintenance, name)
		} else {
			notBegun = cmp.Or(notBegun, name)
		}
	}
	return cmp.Or(notBegun, inMaintenance)
}

// groupTooSmall reports whether more members of a machine's group are unavailable than the plan allows, or the other
// members cannot serve the load.
func (p *planner) groupTooSmall(machine *Machine) bool {
	unavailable := 0
	for _, other := range p.group(machine) {
		if p.unavailable(other) {
			unavailable++
		}
	}
	return unavailable > max(1, p.spec.PerGroup) || p.spare(machine) < 0
}
