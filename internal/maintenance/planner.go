package maintenance

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
)

// Decision is what may be done next. The zero value is nothing.
type Decision struct {
	Take     string            // may be taken out now; empty: none
	HandOver [2]string         // a primary that is next, and the replica that is to take over first
	PutBack  string            // is out, and is asked back as its group has become too small
	Reasons  map[string]string // why each of the others is not taken
	Complete bool              // nothing is left to be done
}

// Decide decides what may be done, given how far each machine of the wish is. It is called again at each change, as what is taken out
// changes all that is left. Equal inputs give equal decisions.
func Decide(w PlanSpec, at map[string]State, look Snapshot) Decision {
	d := Decision{Reasons: map[string]string{}, Complete: true}
	p := &planner{wish: w, at: at, look: look}
	var left []*Machine
	for _, name := range w.Machines {
		if s := at[name]; !s.Finished() {
			d.Complete = false
			if m := look.Machines[name]; s == Waiting && m != nil {
				left = append(left, m)
			} else if m == nil {
				d.Reasons[name] = "it is not known any more"
			}
		}
	}
	d.PutBack = p.back()
	slices.SortStableFunc(left, p.before)
	for _, m := range left {
		why, to := p.forbids(m, left)
		switch {
		case d.PutBack != "":
			why = fmt.Sprintf("%s is asked back first", d.PutBack)
		case why == "" && (d.Take != "" || d.HandOver[0] != ""):
			why = "another is next"
		case why == "" && to != "":
			d.HandOver = [2]string{m.Name, to}
			why = fmt.Sprintf("%s has to take over first", to)
		case why == "":
			d.Take = m.Name
			continue
		}
		d.Reasons[m.Name] = why
	}
	return d
}

type planner struct {
	wish PlanSpec
	at   map[string]State
	look Snapshot
}

// out tells whether a machine is out, be it by itself. One that has come back counts once it is ready.
func (p *planner) out(m *Machine) bool { return p.at[m.Name].Unavailable() || !m.ready() }

// before orders those that are left: databases before poolers, replicas before their primary, the record's leader last, groups
// with the most to spare first, then as they were wished.
func (p *planner) before(a, b *Machine) int {
	late := func(m *Machine) int {
		if m.Primary || m.Leads {
			return 1
		}
		return 0
	}
	return cmp.Or(cmp.Compare(a.Kind, b.Kind), cmp.Compare(late(a), late(b)), -cmp.Compare(p.spare(a), p.spare(b)),
		cmp.Compare(a.Group, b.Group))
}

// group are the machines that do the work of one, itself among them: the databases of its group, or all poolers.
func (p *planner) group(m *Machine) (all []*Machine) {
	for _, name := range slices.Sorted(maps.Keys(p.look.Machines)) {
		if o := p.look.Machines[name]; o.Kind == m.Kind && (m.Kind == Pooler || o.Group == m.Group) {
			all = append(all, o)
		}
	}
	return all
}

// spare is what the group of a machine could do beyond its load without it.
func (p *planner) spare(m *Machine) float64 {
	sum := 0.0
	for _, o := range p.group(m) {
		if o != m && !p.out(o) {
			sum += o.Size
		}
	}
	if m.Kind == Pooler {
		return sum
	}
	return sum*(1-p.wish.Margin) - p.look.Load[m.Group]
}

// forbids names the constraint that keeps a machine from being taken now, or else, of a primary, who has to take over first.
func (p *planner) forbids(m *Machine, left []*Machine) (why, handOver string) {
	if m.Unreachable {
		return fmt.Sprintf("zone %s cannot be reached", m.Zone), ""
	}
	all, zone, group := 0, 0, 0
	for _, o := range p.look.Machines {
		if o == m || o.Kind != m.Kind || !p.out(o) { // a pooler that is gone keeps no database from being taken, nor the other way round
			continue
		}
		all++
		if o.Zone == m.Zone {
			zone++
		}
		if o.Kind == Database && o.Group == m.Group {
			group++
		}
	}
	for _, c := range []struct {
		what       string
		have, most int
	}{{"in all", all, p.wish.InAll}, {"of zone " + m.Zone, zone, p.wish.PerZone}, {fmt.Sprintf("of group %d", m.Group), group, p.wish.PerGroup}} {
		if most := max(1, c.most); c.have >= most {
			return fmt.Sprintf("%d %s are out, %d at the most", c.have, c.what, most), ""
		}
	}
	if m.Kind == Pooler {
		if p.spare(m) <= 0 {
			return "no other pooler is left", ""
		}
		for _, o := range left {
			if o.Kind == Pooler && o != m && m.Leads {
				return "it leads the record, and goes last", ""
			}
		}
		return "", ""
	}
	fresh, near := 0, ""
	for _, o := range p.group(m) {
		if o == m || p.out(o) || o.Primary {
			continue
		}
		if fresh++; near == "" || p.later(o, p.look.Machines[near]) {
			near = o.Name
		}
	}
	need := p.wish.Fresh
	if m.Primary {
		for _, o := range left {
			if o != m && o.Kind == Database && o.Group == m.Group {
				return fmt.Sprintf("replica %s goes before its primary", o.Name), ""
			}
		}
		if near == "" {
			return "no replica is near enough to take over", ""
		}
		need++ // the one that takes over is a replica no more
	}
	if fresh < need {
		return fmt.Sprintf("%d replicas of group %d that keep up would be left, %d at the least", fresh, m.Group, need), ""
	}
	if spare := p.spare(m); spare < 0 {
		return fmt.Sprintf("what is left of group %d would be short of %.2f for the load of %.2f", m.Group, -spare, p.look.Load[m.Group]), ""
	}
	if m.Primary {
		return "", near
	}
	return "", ""
}

// later tells whether one is the better one to take over: rather one whose own work is done, so that no second hand-over follows.
func (p *planner) later(a, b *Machine) bool {
	return p.at[a.Name].Finished() && !p.at[b.Name].Finished()
}

// back names the machine to ask back where a group has become too small since it was taken: of those that can still come back the
// one that was not at work yet, by name.
func (p *planner) back() string {
	var free, work string
	for _, name := range slices.Sorted(maps.Keys(p.at)) {
		m := p.look.Machines[name]
		if m == nil || m.Kind == Pooler || !p.at[name].Unavailable() || p.at[name] >= Recovering {
			continue
		}
		out := 0
		for _, o := range p.group(m) {
			if p.out(o) {
				out++
			}
		}
		if out <= max(1, p.wish.PerGroup) && p.spare(m) >= 0 {
			continue
		}
		if p.at[name] == InMaintenance {
			work = cmp.Or(work, name)
		} else {
			free = cmp.Or(free, name)
		}
	}
	return cmp.Or(free, work)
}
