// Package emulator emulates database families on a sim.Loop: cores and queues, an asynchronously replicated log that
// one thread applies, slow start after a restart, elections, and the faults of a scenario at their times. It knows no
// wire: package standin puts it on sockets, package model into virtual time. A Ledger checks the invariants that
// poolers must not violate.
//
// Nothing here is safe for concurrent use: all calls are made on the loop.
package emulator

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"time"

	"capercove/internal/scenario"
	"capercove/internal/sim"
)

// randomStream separates the random numbers of a fleet from others of the same seed.
const randomStream = 0x666c656574

// Event is something that happened to the fleet, for reports.
type Event struct {
	At          time.Duration // after the start
	Description string
}

// Fleet is all families. Times are those of its loop.
type Fleet struct {
	Scenario  *scenario.Scenario
	Loop      sim.Loop
	Ledger    *Ledger
	Families  []*Family
	Members   []*Member // of all families
	Events    []Event
	StartTime time.Duration
	Revision  uint64 // of the endpoint list

	// Callbacks on the loop for what the emulator does not carry out itself; each may be nil.
	OnMemberChange   func(*Member)              // its state in the list, its start time, or whether its process runs
	OnPoolerFault    func(fault scenario.Fault) // a fault of a pooler or of links between poolers
	OnDiscoveryFault func(fault scenario.Fault) // a fault of discovery

	random   *rand.Rand
	isolated map[string]bool // zones that no other zone can reach
}

// New returns a fleet that is warm and in which the first member of each family is the primary.
func New(described *scenario.Scenario, loop sim.Loop) *Fleet {
	fleet := &Fleet{
		Scenario:  described,
		Loop:      loop,
		StartTime: loop.Now(),
		Revision:  1,
		random:    rand.New(rand.NewPCG(described.Seed, randomStream)),
		isolated:  map[string]bool{},
	}
	fleet.Ledger = newLedger(fleet.StartTime)
	for _, members := range described.Families {
		family := &Family{Family: members, fleet: fleet}
		for i := range members.Members {
			member := newMember(family, i)
			family.Members = append(family.Members, member)
			fleet.Members = append(fleet.Members, member)
		}
		family.primary = family.Members[0]
		fleet.Families = append(fleet.Families, family)
	}
	return fleet
}

// Begin starts the experiment: from now on the scenario's faults are injected at their times.
func (f *Fleet) Begin() {
	f.StartTime = f.Loop.Now()
	f.Ledger.start = f.StartTime
	for _, fault := range f.Scenario.Faults {
		f.Loop.At(f.StartTime+scenario.Seconds(fault.At), func() { f.inject(fault) })
	}
}

// Member returns a database by name, nil if there is none. primary-G is the primary of group G, or the first member of
// the group while it has none.
func (f *Fleet) Member(name string) *Member {
	for _, family := range f.Families {
		if name == scenario.PrimaryName(family.Group) {
			return cmp.Or(family.primary, family.Members[0])
		}
	}
	for _, member := range f.Members {
		if member.Name == name {
			return member
		}
	}
	return nil
}

// IsPartitioned returns whether two zones cannot reach each other.
func (f *Fleet) IsPartitioned(a, b string) bool { return a != b && (f.isolated[a] || f.isolated[b]) }

// note records an event.
func (f *Fleet) note(format string, args ...any) {
	f.Events = append(f.Events, Event{f.Loop.Now() - f.StartTime, fmt.Sprintf(format, args...)})
}

// draw draws a number evenly from a range.
func (f *Fleet) draw(from scenario.Range) float64 {
	return from.Interpolate(f.random.Float64())
}

// after calls a function on the loop after a time.
func (f *Fleet) after(seconds float64, call func()) {
	f.Loop.At(f.Loop.Now()+scenario.Seconds(seconds), call)
}
