package pooler

import (
	"fmt"
	"os"
	"time"

	"capercove/internal/backend"
	"capercove/internal/clock"
	"capercove/internal/core"
	"capercove/internal/discovery"
	"capercove/internal/eventloop"
	"capercove/internal/exclusion"
	"capercove/internal/flight"
	"capercove/internal/frontend"
	"capercove/internal/idclaim"
	"capercove/internal/intake"
	"capercove/internal/management"
	"capercove/internal/pcap"
	"capercove/internal/store"
	"capercove/routing"
)

// startParts starts all that can run before the event loop does. The order matters: each part uses those before it.
func (p *Pooler) startParts() error {
	for _, start := range []func() error{
		p.startCore,
		p.startAdmission,
		p.startTrafficWriter,
		p.startFront,
		p.startDiscovery,
		p.startFlight,
		p.openExclusions,
		p.startManagement,
		p.startStore,
		p.startMembership,
	} {
		if err := start(); err != nil {
			return err
		}
	}
	return nil
}

// startServing starts, on the event loop, what has to be in place before the first request is sent. Signals that were
// received before are handled from its end on: a reload changes the configuration that the parts are started with.
func (p *Pooler) startServing(received signals) {
	if p.operatorsFile.Statements.Enabled() {
		p.intake.ConfigureStatements(p.operatorsFile.Statements, p.limits.Statements, p.config.Seed, p.log)
	}
	if p.operatorsFile.Maintenance.Enabled { // nothing is sent before it is known which machines are out
		p.core.Block(p.operatorsFile.Maintenance.InitialBlocks(p.core.Now()))
		p.startMaintenance()
	}
	p.core.LoadKnownMembers(members(p.config.Known, p.config.Site.Zones))
	p.exclusions.Refresh()
	p.releaseProgramPages() // those of the start
	p.watchMemory()
	p.loop.Do(p.core.Start) // queued behind the exclusions: they hold before anything is sent
	go p.exclusions.Watch(p.lifetime, p.limits.Exclusion.RefreshInterval)
	if p.quota != nil {
		go p.settleQuota()
	}
	if p.operatorsFile.Traffic.Read != "" { // after the known members: the replay needs their groups
		p.startReplay()
	}
	go p.handleSignals(received)
}

// startCore opens the clients' listener and makes the event loop, the core and the pool of server connections.
func (p *Pooler) startCore() error {
	listener, err := eventloop.Listen(p.config.ListenFD, p.config.Listen, p.limits.EventLoop)
	if err != nil {
		return fmt.Errorf("listen: %w", err)
	}
	p.loop = eventloop.New(p.limits.EventLoop, p.log, listener, nil)
	p.clock = clock.Monotonic()
	p.core = core.New(coreSettings(p.config), p.config.Seed, p.limits.Request, p.log, p.clock,
		func() { p.loop.Do(p.core.Flush) }, p.loop.Accept)
	p.pool = backend.NewPool(p.loop, p.limits.Backend, p.log, p.core)
	p.onEnd(func() { _ = p.pool.Close(backendCloseWait) }) // a dial that is left ends with the process
	p.intake = intake.New(p.core)
	if p.sharedListener {
		p.shareClaims()
	}
	return nil
}

// shareClaims lets the processes of an upgrade know which ids have been sent. Without the file each knows only its own.
func (p *Pooler) shareClaims() {
	table, err := idclaim.Open(os.TempDir(), p.config.Name)
	if err != nil {
		p.log.Error().Err(err).Msg("ids: not shared with other processes")
		return
	}
	p.core.ShareClaims(table)
}

// startAdmission puts the admission controller before the core, if it is enabled.
func (p *Pooler) startAdmission() error {
	settings := p.operatorsFile.Admission
	if !settings.Enabled {
		return nil
	}
	rules, err := settings.TenantRules()
	if err != nil {
		return err
	}
	p.intake.ClassifyTenants(rules, intake.ClientKind(settings.Client))
	p.core.EnableAdmission(settings, p.limits.Admission, p.config.Seed)
	return nil
}

// startTrafficWriter opens the file that clients' traffic is written to, if one is named.
func (p *Pooler) startTrafficWriter() (err error) {
	settings := p.operatorsFile.Traffic
	if settings.Write == "" {
		return nil
	}
	if p.trafficWriter, err = pcap.NewWriter(settings, p.limits.Traffic, p.log, clock.Monotonic()); err != nil {
		return fmt.Errorf("pcap: write: %w", err)
	}
	p.onEnd(p.trafficWriter.Close)
	return nil
}

// startFront makes the PostgreSQL front and gives the event loop its parts.
func (p *Pooler) startFront() error {
	var observer frontend.TrafficObserver // a nil *pcap.Writer in it would not be nil
	if p.trafficWriter != nil {
		observer = p.trafficWriter
	}
	p.front = frontend.New(p.limits.Frontend, p.log, p.core, p.intake, p.pool, observer)
	p.loop.Attach(p.core, p.front.Accept)
	return nil
}

// startDiscovery starts the watch of the endpoint list. It calls nobody before the core subscribes.
func (p *Pooler) startDiscovery() error {
	zones := p.config.Site.Zones
	updated := func(list discovery.List) {
		p.loop.Do(func() {
			if list.Complete {
				p.core.ReplaceMembers(members(list, zones))
			} else {
				p.core.UpdateMembers(members(list, zones))
			}
		})
	}
	failed := func() { p.loop.Do(p.core.ListFailed) }
	p.discovery = discovery.New(p.lifetime, p.config.Discovery, p.config.Known, p.limits.Discovery, p.log,
		updated, failed)
	return nil
}

// startFlight starts the Flight SQL front, if it has an address, and attaches all backends to the core.
func (p *Pooler) startFlight() error {
	watchers := []core.Watcher{p.pool}
	settings := p.operatorsFile.Flight
	if settings.Listen != "" {
		backend := flight.NewBackend(settings, p.limits.Flight, p.log, p.core, p.loop.Do, nil)
		p.onEnd(func() { _ = backend.Close(backendCloseWait) }) // an attempt that is left ends with the process
		p.flightBackend = backend
		watchers = append(watchers, backend)
		front, err := flight.NewFront(p.limits.Flight, p.log, p.core, p.intake, p.loop.Do, backend)
		if err != nil {
			return err
		}
		listener, err := p.listen(settings.Listen, flight.Listen)
		if err != nil {
			return fmt.Errorf("flight.listen: %w", err)
		}
		p.flight = front
		go func() {
			if err := front.Serve(listener); err != nil {
				p.log.Error().Err(err).Msg("flight: serve")
			}
		}()
	}
	p.core.Attach(p.discovery, p.pool, watchers...)
	return nil
}

// openExclusions opens the file of the endpoints that operators exclude.
func (p *Pooler) openExclusions() error {
	p.exclusions = exclusion.Open(exclusion.Config{
		Dir:    os.TempDir(),
		Pooler: p.config.Name,
		Files:  exclusion.System{},
		Now:    p.clock,
		Stamp:  clock.Now,
		Wall:   clock.Wall,
		Limits: p.limits.Exclusion,
		Log:    p.log,
		Changed: func(set exclusion.Set) {
			excluded := map[routing.NodeID]time.Duration{}
			for name, since := range set {
				excluded[discovery.ID(name)] = since
			}
			p.loop.Do(func() { p.core.Exclude(excluded) })
		},
	})
	return nil
}

// startManagement starts the operators' HTTP server, if it has an address. It answers until the process ends.
func (p *Pooler) startManagement() error {
	if p.config.Management == "" {
		return nil
	}
	listener, err := p.listen(p.config.Management, listenTCP)
	if err != nil {
		return fmt.Errorf("management: %w", err)
	}
	go func() {
		err := management.New(p.limits.Management, p.log, operatorView{p}).Serve(listener)
		p.log.Error().Err(err).Msg("management: serve")
	}()
	return nil
}

// startStore opens the replicated store, if it is enabled, and keeps this pooler's state in it.
func (p *Pooler) startStore() (err error) {
	if !p.operatorsFile.Store.Enabled {
		return nil
	}
	if p.store, err = store.Open(p.operatorsFile.Store, p.config.Name, p.limits.Store, p.log); err != nil {
		return err
	}
	p.onEnd(p.store.Close)
	name := p.config.Name
	p.store.Put("config/"+name, p.config.Public())
	go p.loop.Do(func() { p.storeState(name) })
	return nil
}

// startReplay sends the requests of a capture file again.
func (p *Pooler) startReplay() {
	replay := &pcap.Replay{
		Config:  p.operatorsFile.Traffic,
		Limits:  p.limits.Traffic,
		Log:     p.log,
		Core:    p.core,
		Intake:  p.intake,
		Backend: p.pool,
		Do:      p.loop.Do,
		Stop:    p.stopping,
	}
	go replay.Run()
}
