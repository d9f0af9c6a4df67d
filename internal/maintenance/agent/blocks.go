package agent

import (
	"context"
	"maps"
	"slices"
	"time"

	"capercove/internal/core"
	"capercove/internal/discovery"
	"capercove/internal/maintenance"
	"capercove/routing"
)

// act keeps the pooler off what is out. It waits for no call of the record.
func (d *Agent) act(ctx context.Context) {
	for ctx.Err() == nil {
		if w, known := d.keepOff(ctx); known {
			d.mu.Lock()
			d.word = w
			d.mu.Unlock()
			select {
			case d.words <- struct{}{}:
			default:
			}
		}
		wait := idle
		d.mu.Lock()
		if d.active.Load() || !d.reader.Known() {
			wait = turn
		}
		d.mu.Unlock()
		select {
		case <-d.kicked:
		case <-time.After(wait):
		case <-ctx.Done():
		}
	}
}

// keepOff hands the pooler what it has to keep off, and returns the tries for which it has nothing out any more, with the plan that
// they are of.
func (d *Agent) keepOff(ctx context.Context) (w maintenance.PoolerStatus, known bool) {
	f := d.pooler.Core.Figures()
	groups, group := map[int][]string{}, map[string]int{}
	for _, s := range f.Databases {
		groups[s.Group] = append(groups[s.Group], s.Name)
		group[s.Name] = s.Group
	}
	d.mu.Lock()
	now := d.pooler.Clock()
	lapses := d.reader.LeaseEnd()
	off := core.Blocks{
		All: !d.reader.Known(), Until: lapses, Now: map[routing.NodeID]bool{}, Worn: map[routing.NodeID]bool{}, Then: map[routing.NodeID]bool{},
		Blind: map[routing.NodeID]bool{},
	}
	agreed := map[routing.NodeID]bool{}
	names := slices.Sorted(maps.Keys(group))
	for name := range d.record.Steps { // Against one that the list has dropped, and brings back at once: it is kept off all the same.
		if _, listed := group[name]; !listed {
			names = append(names, name)
		}
	}
	for _, name := range names {
		id := discovery.ID(name)
		g, listed := group[name]
		others := slices.DeleteFunc(slices.Clone(groups[g]), func(o string) bool { return o == name })
		if may, _ := d.reader.MaySend(now, name, others); !may {
			off.Now[id] = true
		}
		may, blind := d.reader.MaySend(max(now, lapses), name, others)
		if !may || blind && !listed {
			off.Then[id] = true
		} else if blind {
			off.Blind[id] = true
		}
		switch d.record.Steps[name].State {
		case maintenance.Draining:
			agreed[id] = true
		case maintenance.Recovering:
			off.Worn[id] = true
		}
	}
	active, plan := d.record.Plan.Active(), d.record.Plan.ID
	if lapsed := (active || off.All) && now >= lapses; lapsed != d.lapsed.Load() {
		d.lapsed.Store(lapsed)
		line := d.pooler.Log.Warn().Bool("lapsed", lapsed)
		if lapsed && len(off.Blind) > 0 {
			line = line.Int("blind", len(off.Blind)) // databases
		}
		line.Msg("works: the lease on the record")
	}
	if !active && d.reader.Known() {
		off = core.Blocks{Worn: off.Worn}
	}
	d.shown.Off = nil
	for _, name := range names {
		if off.All || off.Now[discovery.ID(name)] {
			d.shown.Off = append(d.shown.Off, name)
		}
	}
	ask := d.leaders(now, f.Databases, off.Now)
	d.mu.Unlock()
	left := make(chan map[routing.NodeID]int, 1)
	d.pooler.Do(func() {
		d.pooler.Core.Block(off)
		for _, name := range ask {
			d.pooler.Core.ProbeByName(name)
		}
		left <- d.pooler.Core.AttemptsInFlight(agreed)
	})
	select {
	case out := <-left:
		d.mu.Lock()
		defer d.mu.Unlock()
		d.shown.Out = map[string]int{}
		w.Plan = plan
		w.Stopped = d.reader.Stopped(func(name string) int {
			id := discovery.ID(name)
			if !agreed[id] { // it was agreed on only now
				return 1
			}
			d.shown.Out[name] = out[id]
			return out[id]
		})
		return w, true
	case <-ctx.Done():
		return w, false
	}
}

// leaders are databases to ask, as all that this pooler takes for the primary of their group is kept off: another has taken over, and it
// has seen nothing of that yet. Mu is held.
func (d *Agent) leaders(now time.Duration, sights []core.DatabaseStatus, off map[routing.NodeID]bool) (ask []string) {
	if len(off) == 0 || now-d.asked < look {
		return nil
	}
	d.asked = now
	led, kept := map[int]bool{}, map[int]bool{}
	for _, s := range sights {
		kept[s.Group] = kept[s.Group] || off[s.ID]
		led[s.Group] = led[s.Group] || s.Primary && !off[s.ID]
	}
	for _, s := range sights {
		if kept[s.Group] && !led[s.Group] && !off[s.ID] {
			ask = append(ask, s.Name)
		}
	}
	return ask
}
