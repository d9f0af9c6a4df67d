package core

import (
	"cmp"
	"slices"
	"time"

	"capercove/routing"
)

// EndpointLister fetches the endpoint list and its changes. A call of Subscribe leads to calls of Core.ReplaceMembers
// and Core.UpdateMembers, and to one of Core.ListFailed if the fetch fails.
type EndpointLister interface{ Subscribe() }

// Watcher is notified of members. Changed is called for each change of a member, before anything is sent to the changed
// member. Removed is called once a member is dropped; a database that is listed again later is a new Member.
type Watcher interface {
	Changed(*Member)
	Removed(*Member)
}

// Member is a database of the endpoint list.
type Member struct {
	routing.Node
	Name, Addr    string
	Excluded      bool          // by operators, or blocked; a primary may receive writes for a part of the drain grace
	DrainingSince time.Duration // when it was first listed as draining or permanently gone; 0: neither
}

// MemberNames returns the names of the databases that are not gone, sorted.
func (c *Core) MemberNames() (names []string) {
	for _, member := range c.members {
		if member.State != routing.Gone {
			names = append(names, member.Name)
		}
	}
	slices.Sort(names)
	return names
}

// HasGroup reports whether a member belongs to the group. Without any members it is true, since any group may exist.
func (c *Core) HasGroup(group int) bool {
	for _, member := range c.members {
		if member.Group == group {
			return true
		}
	}
	return len(c.members) == 0
}

// HasMember reports whether the database is a member, including one that is gone but not forgotten yet.
func (c *Core) HasMember(id routing.NodeID) bool { return c.members[id] != nil }

// LoadKnownMembers applies the complete list that was stored before the start. It does not count as received from
// discovery.
func (c *Core) LoadKnownMembers(entries []Member) {
	c.ReplaceMembers(entries)
	c.listReceived = false
}

// ReplaceMembers applies the complete list: members that it does not contain are gone. New entries beyond MaxMembers
// are left out.
func (c *Core) ReplaceMembers(entries []Member) {
	nodes := c.applyEntries(entries)
	c.markUnlistedGone(nodes)
	c.pushList(routing.ListComplete, nodes)
}

// UpdateMembers applies the changed entries of the list. New entries beyond MaxMembers are left out.
func (c *Core) UpdateMembers(entries []Member) {
	nodes := c.applyEntries(entries)
	c.pushList(routing.ListUpdated, nodes)
}

// applyEntries applies the entries of a list, and returns the nodes of all that were not left out.
func (c *Core) applyEntries(entries []Member) []routing.Node {
	c.listReceived = true
	c.listChanged = true
	c.counters.Lists++
	nodes := make([]routing.Node, 0, len(entries))
	for _, entry := range entries {
		if c.members[entry.ID] == nil && len(c.members) >= c.limits.MaxMembers {
			c.skipEntry(entry)
			continue
		}
		nodes = append(nodes, entry.Node)
		c.updateMember(entry)
	}
	return nodes
}

// pushList passes a list to the router. If all databases are blocked, it also blocks the members that the list added.
func (c *Core) pushList(kind routing.EventKind, nodes []routing.Node) {
	c.pushEvent(routing.Event{Kind: kind, Nodes: nodes})
	if c.blocks.All {
		c.applyBlocks()
	}
}

// skipEntry counts an entry that is left out. It logs at most one per LogInterval.
func (c *Core) skipEntry(entry Member) {
	c.counters.Unlisted++
	if !c.unlistedLog.allow(c.clock(), c.limits.LogInterval) {
		return
	}
	c.log.Error().Str("database", entry.Name).Int("known", len(c.members)).Int64("so_far", c.counters.Unlisted).
		Msg("endpoint list: too many databases")
}

// markUnlistedGone marks the members that a complete list does not contain as gone.
func (c *Core) markUnlistedGone(nodes []routing.Node) {
	listed := make(map[routing.NodeID]bool, len(nodes))
	for _, node := range nodes {
		listed[node.ID] = true
	}
	for id, member := range c.members {
		if !listed[id] && member.State != routing.Gone {
			gone := *member
			gone.State = routing.Gone
			c.updateMember(gone)
		}
	}
}

// updateMember applies an entry of the list. It ignores the entry's Excluded and DrainingSince, which the core sets
// itself.
func (c *Core) updateMember(entry Member) {
	member := c.members[entry.ID]
	if member == nil {
		member = &Member{}
		c.members[entry.ID] = member
	}
	drainingSince := member.DrainingSince // from earlier lists
	*member = entry
	_, member.Excluded = c.excluded[member.ID]
	member.DrainingSince = 0
	permanentlyGone := entry.State == routing.Gone && (drainingSince > 0 || !c.settings.MayUseGoneNodes)
	if entry.State == routing.Draining || permanentlyGone {
		member.DrainingSince = cmp.Or(drainingSince, c.clock())
	}
	c.notifyChanged(member)
}

// notifyChanged notifies the watchers of a member's change.
func (c *Core) notifyChanged(member *Member) {
	for _, watcher := range c.watchers {
		watcher.Changed(member)
	}
}

// forgetGone drops the gone members that the router has dropped too. It must run after the router's Step that processed
// the list.
func (c *Core) forgetGone() {
	c.listChanged = false
	for id, member := range c.members {
		if member.State != routing.Gone || c.router.HasNode(id) {
			continue
		}
		delete(c.members, id)
		for _, watcher := range c.watchers {
			watcher.Removed(member)
		}
	}
}

// ListFailed reports that a poll for the list failed or that its watch broke.
func (c *Core) ListFailed() {
	c.counters.ListsFailed++
	c.warnOfRejectedReload()
	c.pushEvent(routing.Event{Kind: routing.ListFailed})
}
