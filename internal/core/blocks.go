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
	c.blocks = o
	c.blocksExpiry.Stop()
	if now := c.clock(); o.Until > now {
		c.blocksExpiry = c.Wheel.At(o.Until, c.applyBlocks)
	}
	c.applyBlocks()
}

// Exclude takes in which databases the operators keep out, each since when. It holds when this returns: what was decided
// before and is not on its way yet is taken back by the backends.
func (c *Core) Exclude(bans map[routing.NodeID]time.Duration) {
	c.excludedByOperators = bans
	c.applyExclusions()
}

// applyBlocks hands the router what is kept off now.
func (c *Core) applyBlocks() {
	now := c.clock()
	off := c.blocks.Now
	if c.blocksExpired() {
		off = c.blocks.Then
	} else if c.blocks.All {
		off = map[routing.NodeID]bool{}
		for id := range c.members {
			off[id] = true
		}
	}
	// Against machines that were only kept off for a while, and would be taken for cold as if they had been restarted: in the same
	// step in which they are let in, they are kept out since this moment.
	warm := maps.Clone(c.excluded)
	lifted := false
	for id := range c.blockedSince {
		if off[id] {
			continue
		}
		delete(c.blockedSince, id)
		if _, banned := c.excludedByOperators[id]; !banned && !c.blocks.Worn[id] {
			warm[id], lifted = now, true
		}
	}
	for id := range off {
		if _, already := c.blockedSince[id]; !already {
			c.blockedSince[id] = now - c.settings.DrainGrace // no primary's writes go on
		}
	}
	if lifted {
		c.pushEvent(routing.Event{Kind: routing.ExclusionsChanged, Exclusions: warm})
	}
	c.applyExclusions()
}

// applyExclusions lets the operators' bans and what is kept off hold.
func (c *Core) applyExclusions() {
	all := c.excludedByOperators
	if len(c.blockedSince) > 0 {
		all = maps.Clone(c.blockedSince)
		maps.Copy(all, c.excludedByOperators)
	}
	if maps.Equal(c.excluded, all) {
		return
	}
	c.excluded = all
	c.pushEvent(routing.Event{Kind: routing.ExclusionsChanged, Exclusions: all})
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

func (c *Core) blocksExpired() bool { return c.blocks.Until > 0 && c.clock() >= c.blocks.Until }

// mayBegin tells whether anything may be begun at a database now. Against a process that was not let run for a while, and goes on where
// it was with what is not so any more: its timers come only then. To one that drains goes what was decided on before, or what only
// it can take, for half of the grace.
func (c *Core) mayBegin(m *Member) bool {
	if m.DrainingSince > 0 && c.clock()-m.DrainingSince >= c.settings.DrainGrace/2 {
		return false
	}
	off := c.blocks.All || c.blocks.Now[m.ID]
	if c.blocksExpired() {
		off = c.blocks.Then[m.ID]
	}
	if off {
		c.Count.KeptOff++
	}
	return !off
}
