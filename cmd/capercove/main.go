// Command capercove is one real pooler: clients and databases on sockets round the decisions of package choice.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"reflect"
	"runtime"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/rs/zerolog"

	"capercove/internal/config"
	"capercove/internal/core"
	"capercove/internal/discovery"
	"capercove/internal/flight"
	"capercove/internal/limits"
	"capercove/internal/net"
	"capercove/internal/pcap"
	"capercove/internal/store"
)

func main() {
	log := zerolog.New(os.Stderr).With().Timestamp().Logger()
	if err := run(log); err != nil {
		fmt.Fprintln(os.Stderr, "capercove:", err)
		os.Exit(1)
	}
}

// program is the wired parts.
type program struct {
	log    zerolog.Logger
	config config.Config
	limits limits.Limits
	watch  *discovery.Watch
	driver *net.Driver
	core   *core.Core
	pool   *net.Pool
	front  *net.Front
	flight *flight.Front // nil while it is off, as the next two
	store  store.Store
	tap    *pcap.Writer
	stops  chan struct{} // closed on SIGTERM
}

func run(log zerolog.Logger) error {
	signals := make(chan os.Signal, 4) // From here on: SIGHUP would end the program otherwise.
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGUSR1, syscall.SIGHUP)
	cfg, err := config.Load()
	if err != nil {
		return err
	}
	flightConfig, err := flight.Load()
	if err != nil {
		return err
	}
	storeConfig, err := store.Load(cfg.Name)
	if err != nil {
		return err
	}
	pcapConfig, err := pcap.Load()
	if err != nil {
		return err
	}
	var longest time.Duration
	for _, c := range cfg.Settings.Classes {
		longest = max(longest, c.Deadline)
	}
	l := limits.For(cfg.Machine, cfg.Facts.Connect, cfg.Facts.Keepalive, longest)
	debug.SetMemoryLimit(l.MemoryBytes)
	runtime.GOMAXPROCS(2) // One core, but the loop must not wait for a goroutine that sits in a system call.
	log = log.With().Str("pooler", cfg.Name).Logger()

	p := &program{log: log, config: cfg, limits: l, stops: make(chan struct{})}
	p.driver = net.New(cfg.Listen, l, log, func() {
		p.core.List(cfg.Known.Entries(cfg.Facts.Zones), true)
		p.core.Start()
	})
	p.core = core.New(cfg.Settings, cfg.Seed, l, log, clock(), func() { p.driver.Do(p.core.Flush) })
	p.pool = net.NewPool(p.driver, l, log, p.core)
	intake := net.NewIntake(p.core, p.pool, cfg.Facts.Classes)
	var tap net.Tap
	if pcapConfig.Write != "" {
		if p.tap, err = pcap.NewWriter(pcapConfig, l, log); err != nil {
			return fmt.Errorf("pcap: write: %w", err)
		}
		tap = p.tap
	}
	p.front = net.NewFront(l, log, p.core, intake, tap)
	p.driver.Core, p.driver.Front, p.driver.Pool = p.core, p.front, p.pool
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	p.watch = discovery.New(ctx, cfg.Discovery, cfg.Known.Revision, l, log,
		func(list discovery.List) {
			p.driver.Do(func() { p.core.List(list.Entries(cfg.Facts.Zones), list.Complete) })
		},
		func() { p.driver.Do(p.core.ListFailed) })
	watchers := []core.Watcher{p.pool}
	if flightConfig.Listen != "" {
		backend := flight.NewBackend(flightConfig, l, log, p.core, p.driver.Do)
		watchers = append(watchers, backend)
		if p.flight, err = flight.NewFront(l, log, p.core, p.driver.Do, backend, cfg.Facts.Classes); err != nil {
			return err
		}
		go func() {
			if err := p.flight.Serve(flightConfig.Listen); err != nil {
				log.Fatal().Err(err).Msg("flight: listen")
			}
		}()
	}
	p.core.Attach(p.watch, p.pool, watchers...)
	if storeConfig.Enabled {
		if p.store, err = store.Open(storeConfig, cfg.Name, l, log); err != nil {
			return err
		}
		p.store.Put("config/"+cfg.Name, cfg.Public())
		go p.driver.Do(func() { p.keep(cfg.Name) })
	}
	if pcapConfig.Read != "" {
		replay := &pcap.Replay{Config: pcapConfig, Limits: l, Log: log, Core: p.core, Intake: intake,
			Do: p.driver.Do, Stop: p.stops}
		go replay.Run()
	}
	go p.signals(signals)
	log.Info().Str("listen", cfg.Listen).Int("members", len(cfg.Known.Members)).Msg("starting")
	if err := p.driver.Run(); err != nil {
		return fmt.Errorf("listen: %w", err)
	}
	p.counters("stopped")
	if p.tap != nil {
		p.tap.Close()
	}
	if p.store != nil {
		p.store.Close()
	}
	return nil
}

// keep stores this pooler's state, again and again.
func (p *program) keep(name string) {
	p.store.Put("state/"+name, map[string]any{"at": time.Now().UTC(), "open": p.core.Open(),
		"fronts": p.core.Count.Fronts, "members": p.core.Members()})
	p.core.Wheel.At(p.core.Now()+p.limits.StoreEvery, func() { p.keep(name) })
}

// clock counts from the Unix epoch, as positions do, but never jumps.
func clock() func() time.Duration {
	start := time.Now()
	epoch := time.Duration(start.UnixNano())
	return func() time.Duration { return epoch + time.Since(start) }
}

func (p *program) signals(signals <-chan os.Signal) {
	stopping := false
	for s := range signals {
		switch {
		case s == syscall.SIGUSR1:
			p.driver.Do(func() { p.counters("counters") })
		case s == syscall.SIGHUP:
			p.reload()
		case !stopping:
			stopping = true
			p.driver.Do(p.stop)
		}
	}
}

// reload takes in the configuration as it is now, without touching a request or a connection. A bad one changes
// nothing. Discovery's address is followed; what else has changed counts from the next start on.
func (p *program) reload() {
	c, err := config.Reload()
	if err != nil {
		p.log.Error().Err(err).Msg("reload: the configuration is kept")
		return
	}
	for key, changed := range map[string]bool{"name": c.Name != p.config.Name, "listen": c.Listen != p.config.Listen,
		"limits": c.Machine != p.config.Machine, "settings": !reflect.DeepEqual(c.Settings, p.config.Settings) ||
			!reflect.DeepEqual(c.Facts, p.config.Facts)} {
		if changed {
			p.log.Warn().Str("key", key).Msg("reload: changed, but counts only from the next start on")
		}
	}
	p.log.Info().Str("discovery", c.Discovery).Msg("reloaded")
	p.watch.Move(c.Discovery)
}

// stop ends the program. For a while it serves as ever: in a rolling restart the one before may not be back yet, and
// clients sent away would find nobody. Then it finishes what was taken and closes each client between requests.
func (p *program) stop() {
	p.log.Info().Int("open", p.core.Open()).Msg("stopping")
	close(p.stops)
	begun := p.core.Now()
	draining := false
	var check func()
	check = func() {
		now := p.core.Now()
		if !draining && now >= begun+p.limits.Linger {
			draining = true
			p.front.Drain()
			if p.flight != nil {
				go p.flight.Stop()
			}
		}
		if now >= begun+p.limits.Stop {
			p.core.Abandon()
			p.driver.Stop()
			return
		}
		if draining && p.core.Open() == 0 && p.front.Idle() && (p.flight == nil || p.flight.Stopped()) {
			p.driver.Stop()
			return
		}
		p.core.Wheel.At(now+4*p.limits.Tick, check)
	}
	check()
}

func (p *program) counters(what string) {
	line := p.log.Info().Interface("core", p.core.Count).Interface("front", p.front.Count).
		Interface("pool", p.pool.Count).Int("open", p.core.Open())
	if p.flight != nil {
		line = line.Interface("flight", p.flight.Counts())
	}
	if p.store != nil {
		line = line.Interface("store", p.store.All())
	}
	line.Msg(what)
}
