// Package model runs poolers in virtual time: package core, and the decisions that it calls, unchanged, between the
// clients of package load and the databases of package emulator. A scenario of many seconds takes less than one, and
// equal seeds give equal results to the last bit.
//
// It leaves out what stands between core and the wire: sockets, connection tables and handshakes, parsing, and the
// CPU time that a pooler needs.
package model

import (
	"fmt"
	"math/rand/v2"
	"time"

	"capercove/internal/admission"
	"capercove/internal/config/tables"
	"capercove/internal/emulator"
	"capercove/internal/load"
	"capercove/internal/scenario"
	"capercove/internal/settings"
	"capercove/internal/sim"
	"capercove/internal/statement"
)

const (
	beginning    = 1_700_000_000 * time.Second // of each run, since the Unix epoch
	startupTime  = time.Second                 // for the poolers, before load is sent
	maxDrainTime = time.Minute                 // for open requests, after load has ended
	drainStep    = 100 * time.Millisecond      // between two looks at open requests
	networkSeed  = 0x6d6f64656c                // tells the random source of delays from others of the same seed
)

// Fleet is an emulated fleet of databases with poolers in front of it.
type Fleet struct {
	*emulator.Fleet
	Poolers []*Pooler

	loop   *sim.Virtual
	random *rand.Rand
}

// operatorsFile is the part of the operators' file that the model's poolers use.
type operatorsFile struct {
	Admission  admission.Config `toml:"door"`
	Statements statement.Config `toml:"statements"`
}

// Run runs a scenario in virtual time. It returns the driver, which has the result, and the fleet, which has the
// ledger.
func Run(described *scenario.Scenario) (*load.Driver, *Fleet, error) {
	return RunWithClockOffset(described, 0)
}

// RunWithClockOffset runs a scenario as Run does, with poolers whose clocks are ahead of the databases' clocks by an
// offset, or behind them if it is negative.
func RunWithClockOffset(described *scenario.Scenario, offset time.Duration) (*load.Driver, *Fleet, error) {
	loop := sim.NewVirtual(beginning)
	fleet, err := New(described, loop, offset)
	if err != nil {
		return nil, nil, err
	}
	loop.Run(loop.Now() + startupTime)
	driver := load.NewDriver(described, loop, fleet.Ledger, fleet)
	fleet.Begin()
	driver.Start()
	end := loop.Now() + scenario.Seconds(described.Seconds)
	loop.Run(end)
	for driver.Open() > 0 && loop.Now() < end+maxDrainTime {
		loop.Run(loop.Now() + drainStep)
	}
	fleet.Ledger.CheckUnanswered(loop.Now())
	return driver, fleet, nil
}

// New returns a fleet whose poolers start as soon as the loop runs. Their clocks differ from the databases' by an
// offset, as with RunWithClockOffset.
func New(described *scenario.Scenario, loop *sim.Virtual, clockOffset time.Duration) (*Fleet, error) {
	fleet := &Fleet{
		Fleet:  emulator.New(described, loop),
		loop:   loop,
		random: rand.New(rand.NewPCG(described.Seed, networkSeed)),
	}
	fleet.OnMemberChange = fleet.announce
	fleet.OnDiscoveryFault = fleet.failDiscovery
	routes, site, err := settings.ParseForPooler(described.Settings())
	if err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	file := operatorsFile{Admission: admission.Defaults(), Statements: statement.Defaults()}
	if err := tables.Parse("operators' file", []byte(described.OperatorsFile()), &file); err != nil {
		return nil, err
	}
	clock := func() time.Duration { return loop.Now() + clockOffset }
	for number := range described.Poolers {
		if err := fleet.addPooler(number, routes, site, file, clock); err != nil {
			return nil, err
		}
	}
	return fleet, nil
}

// after schedules a callback.
func (fleet *Fleet) after(delay time.Duration, callback func()) {
	fleet.loop.At(fleet.loop.Now()+delay, callback)
}

// draw returns a duration that is drawn from a range in milliseconds.
func (fleet *Fleet) draw(milliseconds scenario.Range) time.Duration {
	return scenario.Millis(milliseconds.Interpolate(fleet.random.Float64()))
}
