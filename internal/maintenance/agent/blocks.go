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

// keepBlocks keeps the core's blocks up to date. It never waits for a call of the record.
func (a *Agent) keepBlocks(ctx context.Context) {
	for ctx.Err() == nil {
		if status, known := a.updateBlocks(ctx); known {
			a.mu.Lock()
			a.status = status
			a.mu.Unlock()
			signal(a.statusReady)
		}
		select {
		case <-a.wake:
		case <-time.After(a.blocksInterval()):
		case <-ctx.Done():
		}
	}
}

// blocksInterval returns the time until the next update of the blocks.
func (a *Agent) blocksInterval() time.Duration {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.active.Load() || !a.follower.Known() {
		return activeInterval
	}
	return idleInterval
}

// databaseGroups holds the groups of the databases in the endpoint list.
type databaseGroups struct {
	names   map[int][]string // names of the databases, by group
	groupOf map[string]int   // group, by name of the database
}

// groupsOf returns the groups of some databases.
func groupsOf(databases []core.DatabaseStatus) databaseGroups {
	groups := databaseGroups{names: map[int][]string{}, groupOf: map[string]int{}}
	for _, database := range databases {
		groups.names[database.Group] = append(groups.names[database.Group], database.Name)
		groups.groupOf[database.Name] = database.Group
	}
	return groups
}

// others returns the other databases in the group of a database.
func (g databaseGroups) others(name string) []string {
	members := slices.Clone(g.names[g.groupOf[name]])
	return slices.DeleteFunc(members, func(other string) bool { return other == name })
}

// decidedBlocks holds the blocks to set, and the actions that accompany them.
type decidedBlocks struct {
	blocks   core.Blocklist
	plan     string                  // ID of the plan for which the blocks were decided
	draining map[routing.NodeID]bool // databases whose requests in flight have to be counted
	probe    []string                // databases to probe
}

// updateBlocks sets the core's blocks, and returns the status to report. It returns false if the agent ends meanwhile.
func (a *Agent) updateBlocks(ctx context.Context) (status maintenance.PoolerStatus, known bool) {
	decided := a.decideBlocks(a.pooler.Core.Figures().Databases)
	counted := make(chan map[routing.NodeID]int, 1)
	a.pooler.Do(func() {
		a.pooler.Core.Block(decided.blocks)
		for _, name := range decided.probe {
			a.pooler.Core.ProbeByName(name)
		}
		counted <- a.pooler.Core.AttemptsInFlight(decided.draining)
	})
	select {
	case inFlight := <-counted:
		return a.stoppedStatus(decided, inFlight), true
	case <-ctx.Done():
		return status, false
	}
}

// decideBlocks decides which databases to block now, and which to block after the lease has expired.
func (a *Agent) decideBlocks(databases []core.DatabaseStatus) decidedBlocks {
	groups := groupsOf(databases)
	a.mu.Lock()
	defer a.mu.Unlock()
	now := a.pooler.Clock()
	leaseEnd := a.follower.LeaseEnd()
	blocks := core.Blocklist{All: !a.follower.Known(), Expiry: leaseEnd}
	blocks.Databases, blocks.SlowStart = map[routing.NodeID]bool{}, map[routing.NodeID]bool{}
	blocks.AfterExpiry, blocks.UnverifiedAfterExpiry = map[routing.NodeID]bool{}, map[routing.NodeID]bool{}
	draining := map[routing.NodeID]bool{}
	names := a.blockable(groups)
	for _, name := range names {
		a.blockDatabase(&blocks, name, groups, now)
		if a.record.Steps[name].State == maintenance.Draining {
			draining[discovery.ID(name)] = true
		}
	}
	active := a.record.Plan.Active()
	a.logLeaseExpiry((active || blocks.All) && now >= leaseEnd, len(blocks.UnverifiedAfterExpiry))
	if !active && a.follower.Known() {
		blocks = core.Blocklist{SlowStart: blocks.SlowStart}
	}
	a.overview.Blocked = nil
	for _, name := range names {
		if blocks.All || blocks.Databases[discovery.ID(name)] {
			a.overview.Blocked = append(a.overview.Blocked, name)
		}
	}
	probe := a.databasesToProbe(now, databases, blocks.Databases)
	return decidedBlocks{blocks: blocks, plan: a.record.Plan.ID, draining: draining, probe: probe}
}

// blockable returns the names of the databases that could be blocked. The caller must hold mu. It includes databases of
// the plan that are missing in the endpoint list, because the list may add them again at any time.
func (a *Agent) blockable(groups databaseGroups) []string {
	names := slices.Sorted(maps.Keys(groups.groupOf))
	for name := range a.record.Steps {
		if _, listed := groups.groupOf[name]; !listed {
			names = append(names, name)
		}
	}
	return names
}

// blockDatabase adds one database to the blocks, if it has to be blocked. The caller must hold mu.
func (a *Agent) blockDatabase(blocks *core.Blocklist, name string, groups databaseGroups, now time.Duration) {
	id := discovery.ID(name)
	_, listed := groups.groupOf[name]
	others := groups.others(name)
	if may, _ := a.follower.MaySend(now, name, others); !may {
		blocks.Databases[id] = true
	}
	may, blind := a.follower.MaySend(max(now, blocks.Expiry), name, others)
	switch {
	case !may || blind && !listed:
		blocks.AfterExpiry[id] = true
	case blind:
		blocks.UnverifiedAfterExpiry[id] = true
	}
	if a.record.Steps[name].State == maintenance.Recovering {
		blocks.SlowStart[id] = true
	}
}

// logLeaseExpiry logs when the lease has expired or is valid again, once for each change. blind is the number of
// databases that may receive requests although they could be in maintenance.
func (a *Agent) logLeaseExpiry(expired bool, blind int) {
	if expired == a.leaseExpired.Load() {
		return
	}
	a.leaseExpired.Store(expired)
	line := a.pooler.Log.Warn().Bool("lapsed", expired)
	if expired && blind > 0 {
		line = line.Int("blind", blind)
	}
	line.Msg("maintenance: lease on the record")
}

// databasesToProbe returns the unblocked databases of groups that have a blocked database and no unblocked primary. One
// of them may have taken over without evidence at this pooler yet. The caller must hold mu.
func (a *Agent) databasesToProbe(
	now time.Duration, databases []core.DatabaseStatus, blocked map[routing.NodeID]bool,
) (names []string) {
	if len(blocked) == 0 || now-a.probedAt < leaderInterval {
		return nil
	}
	a.probedAt = now
	hasPrimary, hasBlocked := map[int]bool{}, map[int]bool{}
	for _, database := range databases {
		if blocked[database.ID] {
			hasBlocked[database.Group] = true
		} else if database.Primary {
			hasPrimary[database.Group] = true
		}
	}
	for _, database := range databases {
		if hasBlocked[database.Group] && !hasPrimary[database.Group] && !blocked[database.ID] {
			names = append(names, database.Name)
		}
	}
	return names
}

// stoppedStatus returns the status to report: the attempts for which this pooler has stopped, with their plan. inFlight
// counts the requests in flight to each database that was draining when the blocks were decided.
func (a *Agent) stoppedStatus(decided decidedBlocks, inFlight map[routing.NodeID]int) maintenance.PoolerStatus {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.overview.InFlight = map[string]int{}
	stopped := a.follower.Stopped(func(name string) int {
		id := discovery.ID(name)
		if !decided.draining[id] { // It began to drain after the requests were counted.
			return 1
		}
		a.overview.InFlight[name] = inFlight[id]
		return inFlight[id]
	})
	return maintenance.PoolerStatus{Plan: decided.plan, Stopped: stopped}
}
