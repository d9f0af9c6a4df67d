package core

import (
	"cmp"
	"slices"
	"time"

	"capercove/routing"
)

// EndpointLister keeps the member list coming: each call ends with Core.List or Core.ListFailed.
type EndpointLister interface{ Subscribe() }

// Watcher is told of every change of a member before anything is sent under it, and once it is forgotten: if it comes back, it is
// another Member.
type Watcher interface {
	Changed(*Member)
	Forgotten(*Member)
}

// Member is a database of the list.
type Member struct {
	routing.Node
	Name, Addr    string
	Excluded      bool          // by the operators; its primary's writes go on for part of the grace
	DrainingSince time.Duration // when the list first said that it drains, or is gone for good; 0: it is neither
}

// Members returns the names of the databases that are not gone, sorted.
func (c *Core) Members() (names []string) {
	for _, m := range c.members {
		if m.State != routing.Gone {
			names = append(names, m.Name)
		}
	}
	slices.Sort(names)
	return names
}

// HasGroup tells whether any list has named a database of the group.
func (c *Core) HasGroup(group int) bool {
	for _, m := range c.members {
		if m.Group == group {
			return true
		}
	}
	return len(c.members) == 0 // before the first list none is known to be wrong
}

// HasMember tells whether any list has named the database.
func (c *Core) HasMember(id routing.NodeID) bool { return c.members[id] != nil }

// LoadKnownMembers takes in the list as it was known before the start.
func (c *Core) LoadKnownMembers(entries []Member) {
	c.UpdateMembers(entries, true)
	c.listReceived = false
}

// UpdateMembers takes in the whole list, or the entries that changed.
func (c *Core) UpdateMembers(entries []Member, full bool) {
	c.listReceived, c.listChanged = true, true
	c.Count.Lists++
	nodes := make([]routing.Node, 0, len(entries))
	listed := map[routing.NodeID]bool{}
	for _, e := range entries {
		if c.members[e.ID] == nil && len(c.members) >= c.limits.Members { // Against lists that name ever new ones.
			c.skipUnlisted(e)
			continue
		}
		listed[e.ID] = true
		nodes = append(nodes, e.Node)
		c.updateMember(e)
	}
	if full {
		for id, m := range c.members {
			if !listed[id] && m.State != routing.Gone {
				gone := *m
				gone.State = routing.Gone
				c.updateMember(gone)
			}
		}
	}
	kind := routing.ListUpdated
	if full {
		kind = routing.ListComplete
	}
	c.pushEvent(routing.Event{Kind: kind, Nodes: nodes})
	if c.blocks.All { // what the list has brought, too
		c.applyBlocks()
	}
}

// skipUnlisted counts an entry that is not taken in, and logs one in a while.
func (c *Core) skipUnlisted(e Member) {
	c.Count.Unlisted++
	if now := c.clock(); c.unlistedLogged == 0 || now-c.unlistedLogged >= c.limits.LogEvery {
		c.unlistedLogged = now
		c.log.Error().Str("database", e.Name).Int("known", len(c.members)).Int64("so_far", c.Count.Unlisted).Msg("the list names too many databases")
	}
}

func (c *Core) updateMember(e Member) {
	m := c.members[e.ID]
	if m == nil {
		m = &Member{}
		c.members[e.ID] = m
	}
	since := m.DrainingSince
	*m = e
	_, m.Excluded = c.excluded[m.ID]
	if m.DrainingSince = 0; e.State == routing.Draining || e.State == routing.Gone && (since > 0 || !c.settings.OnlyDrainingBinds) {
		m.DrainingSince = cmp.Or(since, c.clock())
	}
	for _, w := range c.watchers {
		w.Changed(m)
	}
}

// forgetGone drops the members that the router has forgotten, which it was told of in this step at the latest.
func (c *Core) forgetGone() {
	c.listChanged = false
	for id, m := range c.members {
		if m.State == routing.Gone && !c.router.Knows(id) {
			delete(c.members, id)
			for _, w := range c.watchers {
				w.Forgotten(m)
			}
		}
	}
}

// ListFailed tells that a call for the list failed or that the watch broke.
func (c *Core) ListFailed() {
	c.Count.ListsFailed++
	c.pushEvent(routing.Event{Kind: routing.ListFailed})
}
