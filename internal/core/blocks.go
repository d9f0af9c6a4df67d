package core

import (
	"maps"
	"time"

	"capercove/routing"
)

// Blocks is what this pooler keeps off while machines are out for work, as far as it knows what is agreed. What it knows runs out. The
// zero value keeps off nothing.
type Blocks struct {
	All   bool                    // all databases: nothing has been read yet
	Now   map[routing.NodeID]bool // nothing new is sent there
	Worn  map[routing.NodeID]bool // have been worked on: when they are let in again they may have been restarted, and are cold
	Until time.Duration           // when that runs out; from then on it is
	Then  map[routing.NodeID]bool
	Blind map[routing.NodeID]bool // ... and these could be at work, but nothing else is left: what is sent there is counted
}

// Block takes in what is kept off. It holds when this returns, as a ban does, but for no primary's writes any longer.
func (c *Core) Block(o Blocks) {
	c.off = o
	c.lapse.Stop()
	if now := c.clock(); o.Until > now {
		c.lapse = c.Wheel.At(o.Until, c.keepOff)
	}
	c.keepOff()
}

// Exclude takes in which databases the operators keep out, each since when. It holds when this returns: what was decided
// before and is not on its way yet is taken back by the backends.
func (c *Core) Exclude(bans map[routing.NodeID]time.Duration) {
	c.banned = bans
	c.keepOut()
}

// keepOff hands the router what is kept off now.
func (c *Core) keepOff() {
	now := c.clock()
	off := c.off.Now
	if c.lapsed() {
		off = c.off.Then
	} else if c.off.All {
		off = map[routing.NodeID]bool{}
		for id := range c.members {
			off[id] = true
		}
	}
	// Against machines that were only kept off for a while, and would be taken for cold as if they had been restarted: in the same
	// step in which they are let in, they are kept out since this moment.
	warm := maps.Clone(c.bans)
	lifted := false
	for id := range c.offSince {
		if off[id] {
			continue
		}
		delete(c.offSince, id)
		if _, banned := c.banned[id]; !banned && !c.off.Worn[id] {
			warm[id], lifted = now, true
		}
	}
	for id := range off {
		if _, already := c.offSince[id]; !already {
			c.offSince[id] = now - c.settings.DrainGrace // no primary's writes go on
		}
	}
	if lifted {
		c.push(routing.Event{Kind: routing.ExclusionsChanged, Exclusions: warm})
	}
	c.keepOut()
}

// keepOut lets the operators' bans and what is kept off hold.
func (c *Core) keepOut() {
	all := c.banned
	if len(c.offSince) > 0 {
		all = maps.Clone(c.offSince)
		maps.Copy(all, c.banned)
	}
	if maps.Equal(c.bans, all) {
		return
	}
	c.bans = all
	c.push(routing.Event{Kind: routing.ExclusionsChanged, Exclusions: all})
	c.Flush()
	for _, m := range c.members {
		if _, banned := all[m.ID]; banned != m.Excluded {
			m.Excluded = banned
			for _, w := range c.watchers {
				w.Changed(m)
			}
		}
	}
}

func (c *Core) lapsed() bool { return c.off.Until > 0 && c.clock() >= c.off.Until }

// may tells whether anything may be begun at a database now. Against a process that was not let run for a while, and goes on where
// it was with what is not so any more: its timers come only then. To one that drains goes what was decided on before, or what only
// it can take, for half of the grace.
func (c *Core) may(m *Member) bool {
	if m.DrainingSince > 0 && c.clock()-m.DrainingSince >= c.settings.DrainGrace/2 {
		return false
	}
	off := c.off.All || c.off.Now[m.ID]
	if c.lapsed() {
		off = c.off.Then[m.ID]
	}
	if off {
		c.Count.KeptOff++
	}
	return !off
}
