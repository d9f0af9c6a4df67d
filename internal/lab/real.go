package lab

import (
	"context"
	"fmt"
	"os"
	"slices"
	"time"

	"capercove/internal/load"
	"capercove/internal/scenario"
	"capercove/internal/standin"
)

// Options of a real run.
type Options struct {
	Binary string // program of the pooler
	Dir    string // for configurations and logs; it is created
	Host   string // loopback address

	// Progress is called on the fleet's loop at each interval, with the time since the beginning. It may be nil.
	Progress         func(elapsed time.Duration, driver *load.Driver)
	ProgressInterval time.Duration // 0: defaultProgressInterval
}

const (
	// maxLoopDelay is how late a callback of the lab may run. If one was later, the lab itself was too slow to be
	// believed.
	maxLoopDelay = 100 * time.Millisecond
	// maxDrainTime is the time for requests that are open at the end.
	maxDrainTime            = 15 * time.Second
	defaultProgressInterval = time.Second
)

// realRunner runs a scenario with real poolers.
type realRunner struct {
	options  Options
	scenario *scenario.Scenario
	fleet    *standin.Fleet
	links    *poolerLinks
	poolers  []*poolerProcess
	target   *load.Postgres
	driver   *load.Driver // used on the fleet's loop only
	run      *Run
}

// Real runs a scenario with real poolers. Its errors are those of the start; what happens later is part of the run.
func Real(ctx context.Context, described *scenario.Scenario, options Options) (*Run, error) {
	start := time.Now()
	if err := os.MkdirAll(options.Dir, 0o755); err != nil {
		return nil, err
	}
	if err := raiseDescriptorLimit(described); err != nil {
		return nil, err
	}
	if options.ProgressInterval == 0 {
		options.ProgressInterval = defaultProgressInterval
	}
	fleet, err := standin.Start(described, options.Host)
	if err != nil {
		return nil, fmt.Errorf("the fleet: %w", err)
	}
	defer fleet.Close()
	links, err := newPoolerLinks(described) //nolint:contextcheck // the links end by their Close, not with the run
	if err != nil {
		return nil, fmt.Errorf("the links between poolers: %w", err)
	}
	defer links.close()
	runner := &realRunner{
		options:  options,
		scenario: described,
		fleet:    fleet,
		links:    links,
		run: &Run{
			Scenario: described,
			Kind:     RealRun,
			Ledger:   fleet.Ledger,
			Usage:    make([]Usage, described.Poolers),
		},
	}
	defer runner.killPoolers()
	if err := runner.startPoolers(ctx); err != nil {
		return nil, err
	}
	runner.startLoad()
	runner.waitForEnd(ctx)
	runner.collect(ctx)
	runner.run.Duration = time.Since(start)
	return runner.run, nil
}

// startPoolers starts all poolers and waits until they are ready.
func (runner *realRunner) startPoolers(ctx context.Context) error {
	for number := range runner.scenario.Poolers {
		pooler, err := startPooler(ctx, runner.fleet, number, runner.options, runner.links.fleetTable(number))
		if err != nil {
			return err
		}
		runner.poolers = append(runner.poolers, pooler)
	}
	for _, pooler := range runner.poolers {
		if err := pooler.waitUntilReady(ctx); err != nil {
			return err
		}
	}
	return nil
}

// killPoolers ends all poolers at once.
func (runner *realRunner) killPoolers() {
	for _, pooler := range runner.poolers {
		pooler.kill()
	}
}

// startLoad begins the faults and the load.
func (runner *realRunner) startLoad() {
	var addresses []string
	for _, pooler := range runner.poolers {
		addresses = append(addresses, pooler.address)
	}
	fleet := runner.fleet
	runner.target = load.NewPostgres(fleet.Clock, addresses)
	fleet.Clock.Wait(func() {
		runner.target.UnexpectedResponse = func(requestID string) {
			fleet.Ledger.UnexpectedResponse(fleet.Clock.Now(), requestID)
		}
		fleet.OnPoolerFault = runner.injectFault
		fleet.Begin()
		runner.driver = load.NewDriver(runner.scenario, fleet.Clock, fleet.Ledger, runner.target)
		runner.driver.Start()
	})
}

// waitForEnd waits until the load has ended and no request is open. It ends early if the context is canceled, if a
// pooler has ended by itself, or if requests stay open for too long.
func (runner *realRunner) waitForEnd(ctx context.Context) {
	end := time.Now().Add(scenario.Seconds(runner.scenario.Seconds))
	ticker := time.NewTicker(runner.options.ProgressInterval)
	defer ticker.Stop()
	finished := false
	for !finished && time.Now().Before(end.Add(maxDrainTime)) && ctx.Err() == nil {
		select {
		case <-ctx.Done():
		case <-ticker.C:
		}
		runner.fleet.Clock.Wait(func() {
			finished = runner.driver.Open() == 0 && !time.Now().Before(end)
			if runner.options.Progress != nil {
				runner.options.Progress(runner.fleet.Clock.Now()-runner.fleet.StartTime, runner.driver)
			}
		})
		if runner.recordEndedPoolers() {
			return
		}
	}
}

// recordEndedPoolers records the poolers that have ended by themselves, and reports whether there are any.
func (runner *realRunner) recordEndedPoolers() bool {
	for number, pooler := range runner.poolers {
		if failure := pooler.unexpectedEnd(); failure != "" {
			line := fmt.Sprintf("%s %s: its log is %s", scenario.PoolerName(number), failure, pooler.logPath)
			runner.run.Unmet = append(runner.run.Unmet, line)
		}
	}
	return len(runner.run.Unmet) > 0
}

// collect gathers the result.
func (runner *realRunner) collect(ctx context.Context) {
	run, fleet := runner.run, runner.fleet
	for number, pooler := range runner.poolers {
		run.Usage[number] = pooler.usage()
	}
	fleet.Clock.Wait(func() {
		runner.target.Close()
		if ctx.Err() == nil && len(run.Unmet) == 0 {
			fleet.Ledger.CheckUnanswered(fleet.Clock.Now())
		}
		run.Result, run.Events = runner.driver.Result, slices.Clone(fleet.Events)
		run.Unmet = append(run.Unmet, runner.driver.Result.Unmet(runner.scenario, fleet.Ledger)...)
		switch maxDelay := fleet.Clock.MaxDelay(); {
		case ctx.Err() != nil:
			run.Invalid = "it was broken off"
		case maxDelay > maxLoopDelay:
			run.Invalid = fmt.Sprintf("the tool itself was up to %d ms late: the machine is too slow for this load",
				maxDelay.Milliseconds())
		}
	})
}
