package model

import (
	"slices"
	"time"

	"capercove/internal/core"
	"capercove/internal/discovery"
	"capercove/internal/emulator"
	"capercove/internal/scenario"
	"capercove/routing"
)

// announceRetry is the interval at which a change is announced again while discovery is down.
const announceRetry = 100 * time.Millisecond

// nodeStates are the routing states of databases.
var nodeStates = map[emulator.State]routing.NodeState{
	emulator.Serving:  routing.Ready,
	emulator.Draining: routing.Draining,
	emulator.Gone:     routing.Gone,
}

// member returns a database in a state, as it stands in the endpoint list. The list names as primary the one at the
// beginning.
func (pooler *Pooler) member(database *emulator.Member, state emulator.State) core.Member {
	zone := max(0, slices.Index(pooler.fleet.Scenario.Zones(), database.Zone))
	return core.Member{
		Name: database.Name,
		Addr: database.Name,
		Node: routing.Node{
			ID:      discovery.ID(database.Name),
			State:   nodeStates[state],
			Primary: database == database.Family.Members[0],
			Started: database.Started,
			Zone:    zone,
			Group:   database.Family.Group,
		},
	}
}

// members returns the endpoint list as it has been announced so far.
func (pooler *Pooler) members() (members []core.Member) {
	for _, database := range pooler.fleet.Members {
		members = append(members, pooler.member(database, pooler.states[database.Name]))
	}
	return members
}

// Subscribe asks discovery for the endpoint list and for all later changes.
func (pooler *Pooler) Subscribe() {
	roundTrip := 2 * pooler.networkDelay()
	pooler.fleet.after(roundTrip, func() {
		if pooler.discoveryDown {
			pooler.Core.ListFailed()
			return
		}
		pooler.watching = true
		pooler.Core.ReplaceMembers(pooler.members())
	})
}

// announce announces the state of a database to each pooler after a delay.
func (fleet *Fleet) announce(database *emulator.Member) {
	state := database.State
	for _, pooler := range fleet.Poolers {
		fleet.after(fleet.draw(fleet.Scenario.List.LateMS), func() { pooler.receiveState(database, state) })
	}
}

// receiveState takes in an announced state, once discovery works.
func (pooler *Pooler) receiveState(database *emulator.Member, state emulator.State) {
	if pooler.discoveryDown {
		pooler.fleet.after(announceRetry, func() { pooler.receiveState(database, state) })
		return
	}
	pooler.states[database.Name] = state
	serving := state == emulator.Serving
	pooler.fleet.Ledger.PoolerNotified(pooler.fleet.loop.Now(), pooler.name, database.Name, serving)
	if pooler.watching {
		pooler.Core.UpdateMembers([]core.Member{pooler.member(database, state)})
	}
}

// failDiscovery makes discovery fail for all poolers, as long as a fault lasts.
func (fleet *Fleet) failDiscovery(fault scenario.Fault) {
	for _, pooler := range fleet.Poolers {
		pooler.discoveryDown = true
		if pooler.watching {
			pooler.watching = false
			pooler.Core.ListFailed()
		}
	}
	fleet.after(scenario.Seconds(fault.For), func() {
		for _, pooler := range fleet.Poolers {
			pooler.discoveryDown = false
		}
	})
}
