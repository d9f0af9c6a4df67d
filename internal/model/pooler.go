package model

import (
	"time"

	"github.com/rs/zerolog"

	"capercove/internal/core"
	"capercove/internal/emulator"
	"capercove/internal/intake"
	"capercove/internal/limits"
	"capercove/internal/load"
	"capercove/internal/scenario"
	"capercove/internal/settings"
	"capercove/routing"
)

const (
	poolerMemoryMB = 192
	poolerSockets  = 1024
	drainTime      = 3 * time.Second // of a pooler's graceful shutdown
	seedStride     = 7919            // between the seeds of poolers of consecutive scenario seeds
)

// Pooler is one pooler. It implements core's interfaces to databases and to discovery.
type Pooler struct {
	Core *core.Core

	fleet  *Fleet
	name   string
	zone   string
	intake *intake.Intake

	requests      map[*load.Request]*client // not answered yet
	states        map[string]emulator.State // of databases, as discovery has announced them
	watching      bool                      // it is subscribed to discovery
	discoveryDown bool
}

// addPooler adds the pooler of a number and schedules its start.
func (fleet *Fleet) addPooler(
	number int, routes routing.Settings, site settings.Site, file operatorsFile, clock func() time.Duration,
) error {
	seed := fleet.Scenario.Seed
	zones := fleet.Scenario.Zones()
	pooler := &Pooler{
		fleet:    fleet,
		name:     scenario.PoolerName(number),
		zone:     zones[number%len(zones)],
		requests: map[*load.Request]*client{},
		states:   map[string]emulator.State{},
	}
	machine := limits.Machine{MemoryMB: poolerMemoryMB, Sockets: poolerSockets}
	bounds := limits.For(machine, limits.Timeouts{
		Connect: site.ConnectTimeout, Keepalive: site.Keepalive, LongestDeadline: drainTime,
	})
	coreSettings := core.Settings{Settings: routes, Names: site.Classes}
	wake := func() { fleet.after(0, pooler.Core.Flush) }
	coreSeed := seed*seedStride + uint64(number)
	pooler.Core = core.New(coreSettings, coreSeed, bounds.Request, zerolog.Nop(), clock, wake, func() {})
	pooler.intake = intake.New(pooler.Core)
	if file.Admission.Enabled {
		rules, err := file.Admission.TenantRules()
		if err != nil {
			return err
		}
		pooler.intake.ClassifyTenants(rules, intake.ClientKind(file.Admission.Client))
		pooler.Core.EnableAdmission(file.Admission, bounds.Admission, seed)
	}
	pooler.Core.Attach(pooler, pooler)
	fleet.Poolers = append(fleet.Poolers, pooler)
	fleet.after(0, func() {
		if file.Statements.Enabled() {
			pooler.intake.ConfigureStatements(file.Statements, bounds.Statements, seed, zerolog.Nop())
		}
		pooler.Core.LoadKnownMembers(pooler.members())
		pooler.Core.Start()
		pooler.tick(bounds.Request.TimerTick)
	})
	return nil
}

// tick runs the pooler's timers, now and at each interval.
func (pooler *Pooler) tick(interval time.Duration) {
	pooler.Core.Tick()
	pooler.fleet.after(interval, func() { pooler.tick(interval) })
}

// networkDelay draws the time that a message takes, one way.
func (pooler *Pooler) networkDelay() time.Duration {
	return pooler.fleet.draw(pooler.fleet.Scenario.Server.NetworkDelayMS)
}

// afterNetworkDelay schedules a callback for when a message that is sent now has arrived.
func (pooler *Pooler) afterNetworkDelay(callback func()) {
	pooler.fleet.after(pooler.networkDelay(), callback)
}
