// Package pooler is the program: its parts, their start, reload and end.
package pooler

import (
	"context"
	"fmt"
	"os"
	"runtime"
	"runtime/debug"
	"time"

	"github.com/rs/zerolog"

	"capercove/internal/clock"
	"capercove/internal/config"
	"capercove/internal/core"
	"capercove/internal/discovery"
	"capercove/internal/exclusion"
	"capercove/internal/fdshare"
	"capercove/internal/flight"
	"capercove/internal/intake"
	"capercove/internal/limits"
	"capercove/internal/maintenance/agent"
	"capercove/internal/management"
	"capercove/internal/membership/gossip"
	"capercove/internal/pcap"
	"capercove/internal/peers"
	"capercove/internal/server"
	"capercove/internal/store"
	"capercove/routing"
)

// program is the wired parts.
type program struct {
	log    zerolog.Logger
	config config.Config // the signals' goroutine's, once they are listened to
	shared bool          // the clients' listener is others' too
	limits limits.Limits
	watch  *discovery.Watch
	bans   *exclusion.File
	own    file // as config
	intake *intake.Intake
	loop   *server.EventLoop
	core   *core.Core
	pool   *server.Pool
	front  *server.Front
	flight *flight.Front // nil while it is off, as the next two
	store  store.Store
	fleet  *gossip.Gossip
	peers  *peers.Peers
	works  *agent.Agent
	tap    *pcap.Writer
	stops  chan struct{}   // closed on SIGTERM
	beside *fdshare.Beside // the loop's to begin with, then the goroutine's that settles; nil where it stands alone
}

// Run serves until it is told to end.
func Run(log zerolog.Logger) error {
	heard := notify() // From here on: SIGHUP would end the program otherwise.
	cfg, err := config.Load()
	if err != nil {
		return err
	}
	own, err := load()
	if err != nil {
		return err
	}
	var beside *fdshare.Beside
	if cfg.ListenFD > 0 {
		beside = besides(cfg, log)
	}
	l := limitsOf(cfg, own)
	if cfg.ListenFD > 0 && beside == nil {
		l.Clients, l.Servers = l.Clients/2, l.Servers/2
	}
	debug.SetMemoryLimit(l.MemoryBytes)
	runtime.GOMAXPROCS(2) // One core, but the loop must not wait for a goroutine that sits in a system call.
	log = log.With().Str("pooler", cfg.Name).Logger()

	p := &program{log: log, config: cfg, shared: cfg.ListenFD > 0, limits: l, beside: beside,
		stops: make(chan struct{})}
	listener, err := server.Listen(cfg.ListenFD, cfg.Listen, l)
	if err != nil {
		return fmt.Errorf("listen: %w", err)
	}
	p.loop = server.New(l, log, listener, nil)
	now := clock.Monotonic()
	p.core = core.New(settings(cfg), cfg.Seed, l, log, now, func() { p.loop.Do(p.core.Flush) }, p.loop.Accept)
	p.pool = server.NewPool(p.loop, l, log, p.core)
	in := intake.New(p.core)
	p.own, p.intake = own, in
	if own.Door.Enabled {
		rules, err := own.Door.TenantRules()
		if err != nil {
			return err
		}
		in.ClassifyTenants(rules, intake.ClientKind(own.Door.Client))
		p.core.EnableAdmission(own.Door, cfg.Seed)
	}
	var tap server.Tap
	if own.Pcap.Write != "" {
		if p.tap, err = pcap.NewWriter(own.Pcap, l, log, clock.Monotonic()); err != nil {
			return fmt.Errorf("pcap: write: %w", err)
		}
		tap = p.tap
	}
	p.front = server.NewFront(l, log, p.core, in, p.pool, tap)
	p.loop.Core, p.loop.Front, p.loop.Pool = p.core, p.front, p.pool
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	p.watch = discovery.New(ctx, cfg.Discovery, cfg.Known, l, log,
		func(list discovery.List) {
			p.loop.Do(func() { p.core.UpdateMembers(members(list, cfg.Facts.Zones), list.Complete) })
		},
		func() { p.loop.Do(p.core.ListFailed) })
	watchers := []core.Watcher{p.pool}
	if own.Flight.Listen != "" {
		backend := flight.NewBackend(own.Flight, l, log, p.core, p.loop.Do, nil)
		watchers = append(watchers, backend)
		if p.flight, err = flight.NewFront(l, log, p.core, in, p.loop.Do, backend); err != nil {
			return err
		}
		calls, err := listen(l, own.Flight.Listen, flight.Listen)
		if err != nil {
			return fmt.Errorf("flight.listen: %w", err)
		}
		go func() {
			if err := p.flight.Serve(calls); err != nil {
				log.Error().Err(err).Msg("flight: serve")
			}
		}()
	}
	p.core.Attach(p.watch, p.pool, watchers...)
	p.bans = exclusion.Open(exclusion.Config{Dir: os.TempDir(), Pooler: cfg.Name, Files: exclusion.System{}, Now: now, Stamp: clock.Now,
		Wall: clock.Wall, Limits: l, Log: log, Changed: func(set exclusion.Set) {
			banned := map[routing.NodeID]time.Duration{}
			for name, at := range set {
				banned[discovery.ID(name)] = at
			}
			p.loop.Do(func() { p.core.Exclude(banned) })
		}})
	if cfg.Management != "" {
		operators, err := listen(l, cfg.Management, listenTCP)
		if err != nil {
			return fmt.Errorf("management: %w", err)
		}
		go func() {
			log.Error().Err(management.New(l, log, operator{p}).Serve(operators)).Msg("management: serve")
		}()
	}
	if own.Store.Enabled {
		if p.store, err = store.Open(own.Store, cfg.Name, l, log); err != nil {
			return err
		}
		p.store.Put("config/"+cfg.Name, cfg.Public())
		go p.loop.Do(func() { p.keep(cfg.Name) })
	}
	if own.Fleet.Enabled {
		if err := p.join(); err != nil {
			return err
		}
	}
	go p.follow(heard)
	log.Info().Str("listen", cfg.Listen).Int("members", len(cfg.Known.Members)).Msg("starting")
	start := func() {
		if own.Statements.On() {
			in.Statements(own.Statements, l.Shapes, cfg.Seed, l.LogEvery, log)
		}
		if own.Works.Enabled { // nothing is sent before it is known what is out
			p.core.Block(own.Works.InitialBlocks(p.core.Now()))
			p.works = p.work()
		}
		p.core.LoadKnownMembers(members(cfg.Known, cfg.Facts.Zones))
		p.bans.Refresh()
		p.loop.Do(p.core.Start) // behind the bans: they hold before anything is sent
		go p.bans.Watch(ctx, l.Bans)
		if p.beside != nil {
			go p.settle(ctx)
		}
		if own.Pcap.Read != "" { // behind the list: before, the groups that it asks for are not there
			replay := &pcap.Replay{Config: own.Pcap, Limits: l, Log: log, Core: p.core, Intake: in, Backend: p.pool,
				Do: p.loop.Do, Stop: p.stops}
			go replay.Run()
		}
	}
	if err := p.loop.Run(start); err != nil {
		return fmt.Errorf("event loop: %w", err)
	}
	p.counters("stopped")
	if p.works != nil {
		p.works.Stop()
	}
	if p.fleet != nil {
		p.fleet.Stop(l.FleetLeave)
	}
	if p.tap != nil {
		p.tap.Close()
	}
	if p.store != nil {
		p.store.Close()
	}
	return nil
}
