package core

import (
	"maps"
	"time"

	"capercove/routing"
)

// Blocklist names the databases to which this pooler sends nothing because their machines may be in maintenance. It
// is derived from the replicated record of maintenance and valid for the time of a lease. The zero value blocks no
// database.
type Blocklist struct {
	All       bool                    // block all databases: the record has not been read yet
	Databases map[routing.NodeID]bool // no new attempts are sent to these

	// SlowStart has the databases that have been in maintenance. They may have been restarted, and get a slow start
	// when their block ends.
	SlowStart map[routing.NodeID]bool

	// Expiry is when All and Databases expire, on the core's clock. AfterExpiry replaces them from then on. 0: never.
	Expiry      time.Duration
	AfterExpiry map[routing.NodeID]bool

	// UnverifiedAfterExpiry has the databases that may be in maintenance after the expiry, but are the last ones of
	// their group. They are used all the same, and Counters.Blind counts the attempts.
	UnverifiedAfterExpiry map[routing.NodeID]bool
}

// Block replaces the blocklist. Like an exclusion, it takes effect before it returns. Unlike after an exclusion, writes
// to a blocked primary stop at once.
func (c *Core) Block(blocks Blocklist) {
	c.blocks = blocks
	c.blocksExpiry.Stop()
	if now := c.clock(); blocks.Expiry > now {
		c.blocksExpiry = c.Wheel.Schedule(blocks.Expiry, c.applyBlocks)
	}
	c.applyBlocks()
}

// Exclude replaces the databases that the operators exclude, each with the start of its exclusion on the core's clock.
// It takes effect before it returns: the backends abort attempts that were decided on before but are not written yet.
func (c *Core) Exclude(since map[routing.NodeID]time.Duration) {
	c.excludedByOperators = since
	c.applyExclusions()
}

// blocked returns the databases that are blocked now.
func (c *Core) blocked() map[routing.NodeID]bool {
	if c.blocksExpired() {
		return c.blocks.AfterExpiry
	}
	if !c.blocks.All {
		return c.blocks.Databases
	}
	all := map[routing.NodeID]bool{}
	for id := range c.members {
		all[id] = true
	}
	return all
}

// applyBlocks passes the databases that are blocked now to the router, as exclusions.
func (c *Core) applyBlocks() {
	now := c.clock()
	blocked := c.blocked()
	// After a long exclusion the router assumes that the database was restarted, and gives it a slow start. A database
	// that was blocked but not in maintenance was not restarted. The router is therefore first notified that its
	// exclusion began now. The next event of the same step ends the exclusion.
	shortened := maps.Clone(c.excluded)
	lifted := false
	for id := range c.blockedSince {
		if blocked[id] {
			continue
		}
		delete(c.blockedSince, id)
		if _, excluded := c.excludedByOperators[id]; !excluded && !c.blocks.SlowStart[id] {
			shortened[id], lifted = now, true
		}
	}
	for id := range blocked {
		if _, already := c.blockedSince[id]; !already {
			c.blockedSince[id] = now - c.settings.DrainGrace // past the drain grace: a primary receives no writes
		}
	}
	if lifted {
		c.pushEvent(routing.Event{Kind: routing.ExclusionsChanged, Exclusions: shortened})
	}
	c.applyExclusions()
}

// applyExclusions puts the operators' exclusions and the blocks into force at the router, the members and the watchers
// before it returns.
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
	for _, member := range c.members {
		if _, excluded := all[member.ID]; excluded != member.Excluded {
			member.Excluded = excluded
			c.notifyChanged(member)
		}
	}
}

func (c *Core) blocksExpired() bool { return c.blocks.Expiry > 0 && c.clock() >= c.blocks.Expiry }

// acceptsAttempts reports whether attempts may be sent to a database now. It does not rely on timers: a process that
// was not scheduled for a while resumes before its timers fire, and the database may be blocked by then. For half of
// the drain grace, a draining database still receives attempts that were decided on before and those that only it can
// serve. Attempts that a block prevents are counted.
func (c *Core) acceptsAttempts(member *Member) bool {
	if member.DrainingSince > 0 && c.clock()-member.DrainingSince >= c.settings.DrainGrace/2 {
		return false
	}
	blocked := c.blocks.All || c.blocks.Databases[member.ID]
	if c.blocksExpired() {
		blocked = c.blocks.AfterExpiry[member.ID]
	}
	if blocked {
		c.counters.KeptOff++
	}
	return !blocked
}
