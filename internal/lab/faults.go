package lab

import (
	"context"
	"fmt"
	"syscall"
	"time"

	"capercove/internal/scenario"
)

// minRestartTime is how long a pooler that gets SIGTERM is given to shut down, before it is started again.
const minRestartTime = 4 * time.Second

// injectFault injects a fault of poolers or of the links between them. It runs on the fleet's loop.
func (runner *realRunner) injectFault(fault scenario.Fault) {
	switch fault.Kind {
	case scenario.FaultPartition, scenario.FaultLoss:
		runner.links.inject(fault)
		runner.after(scenario.Seconds(fault.For), func() { runner.links.repair(fault) })
	default:
		runner.injectPoolerFault(fault)
	}
}

// injectPoolerFault sends a signal to a pooler, and starts or continues it after the time of the fault.
func (runner *realRunner) injectPoolerFault(fault scenario.Fault) {
	pooler := runner.poolerByName(fault.Target)
	duration := scenario.Seconds(fault.For)
	startAgain := func() {
		go func() { _ = pooler.start(context.Background()) }() // if it fails, clients find the pooler down
	}
	switch fault.Kind {
	case scenario.FaultKill:
		runner.fleet.Ledger.DisconnectsAllowed = true
		pooler.expectEnd()
		pooler.signal(syscall.SIGKILL)
		runner.after(duration, startAgain)
	case scenario.FaultRestart:
		runner.fleet.Ledger.DisconnectsAllowed = true
		pooler.expectEnd()
		pooler.signal(syscall.SIGTERM)
		runner.after(max(minRestartTime, duration), startAgain)
	case scenario.FaultStop:
		pooler.signal(syscall.SIGSTOP)
		runner.after(duration, func() { pooler.signal(syscall.SIGCONT) })
	}
}

// poolerByName returns the pooler that a checked fault names.
func (runner *realRunner) poolerByName(name string) *poolerProcess {
	for number, pooler := range runner.poolers {
		if scenario.PoolerName(number) == name {
			return pooler
		}
	}
	panic(fmt.Sprintf("lab: no pooler is named %q", name)) // Scenario.Check does not let it pass
}

// after schedules a callback on the fleet's loop.
func (runner *realRunner) after(delay time.Duration, callback func()) {
	clock := runner.fleet.Clock
	clock.At(clock.Now()+delay, callback)
}
