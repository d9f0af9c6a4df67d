// Command capercove is one real pooler: clients and databases on sockets round the decisions of package choice.
package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"hash/fnv"
	"net"
	"os"
	"os/signal"
	"reflect"
	"runtime"
	"runtime/debug"
	"slices"
	"strconv"
	"syscall"
	"time"

	"github.com/rs/zerolog"

	"capercove/internal/admission"
	"capercove/internal/clock"
	"capercove/internal/config"
	"capercove/internal/config/tables"
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
	"capercove/internal/netretry"
	"capercove/internal/pcap"
	"capercove/internal/peers"
	"capercove/internal/server"
	"capercove/internal/statement"
	"capercove/internal/store"
	"capercove/internal/tenant"
	"capercove/routing"
)

func main() {
	if status, ran := command(os.Args[1:], os.Stdout); ran {
		os.Exit(status)
	}
	log := zerolog.New(os.Stderr).With().Timestamp().Logger()
	if err := run(log); err != nil {
		fmt.Fprintln(os.Stderr, "capercove:", err)
		os.Exit(1)
	}
}

// file is the operators' file.
type file struct {
	Flight     flight.Config    `toml:"flight"`
	Store      store.Config     `toml:"store"`
	Pcap       pcap.Config      `toml:"pcap"`
	Door       admission.Config `toml:"door"`
	Statements statement.Config `toml:"statements"`
	Fleet      gossip.Config    `toml:"fleet"`
	Works      agent.Config     `toml:"works"`
}

// defaults is what an empty file means: all off.
func defaults() file {
	return file{Pcap: pcap.Defaults(), Door: admission.Defaults(), Statements: statement.Defaults(), Works: agent.Defaults()}
}

// load reads the operators' file over the defaults.
func load() (own file, err error) {
	own = defaults()
	if err := tables.Load(&own); err != nil {
		return own, err
	}
	switch w := own.Works; {
	case w.Enabled && !own.Fleet.Enabled:
		return own, errors.New("works.enabled: poolers have to know each other, and [fleet] is off")
	case w.Enabled && len(own.records()) == 0:
		return own, errors.New("works.record: empty, and [store] is off or has no api")
	}
	return own, nil
}

// records are the addresses at which the record of works is called, the own first.
func (f file) records() (apis []string) {
	if len(f.Works.Record) > 0 {
		return f.Works.Record
	}
	if f.Store.Enabled && f.Store.API != "" {
		apis = append(apis, f.Store.API)
		for _, p := range f.Store.Peers {
			if p.API != f.Store.API {
				apis = append(apis, p.API)
			}
		}
	}
	return apis
}

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

func run(log zerolog.Logger) error {
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

func listenTCP(address string) (net.Listener, error) { return net.Listen("tcp", address) }

// listen listens on an address. What may be over in a moment, as a want of descriptors or an address that another
// process is about to give up, is waited for a little.
func listen(l limits.Limits, address string, on func(string) (net.Listener, error)) (listener net.Listener, err error) {
	err = netretry.Within(l.StartRetry, netretry.BackoffOf(l), netretry.IsMomentary, func() (err error) {
		listener, err = on(address)
		return err
	})
	return listener, err
}

// join lets the pooler take part in the fleet.
func (p *program) join() (err error) {
	cfg, own := p.config, p.own.Fleet
	p.core.Observe()
	_, version, _ := build()
	self := peers.Self{Version: version[:min(len(version), 12)], Zone: own.Zone, Since: time.Now().UnixMilli(), Listen: cfg.Listen, Management: cfg.Management,
		Settings: digest(cfg)}
	p.peers = peers.New(cfg.Name, own.Uses, self, cfg.Settings.Routers, peers.Pooler{Core: p.core, Do: p.loop.Do, Keep: p.pool.Keep,
		Connections: func() int { return p.front.Clients() + p.pool.Conns() }, Log: p.log})
	p.fleet, err = gossip.Start(cfg.Name, own, own.Timing(), p.log, clock.Monotonic(), p.peers.Period)
	return err
}

// work lets the pooler take part in taking machines out.
func (p *program) work() *agent.Agent {
	cfg := p.config
	fresh := time.Second // where no class says how old its data may be
	for _, class := range cfg.Settings.Classes {
		if class.MaxAge > 0 {
			fresh = min(fresh, class.MaxAge)
		}
	}
	var from net.IP
	if host, _, err := net.SplitHostPort(p.own.Fleet.Listen); err == nil {
		from = net.ParseIP(host)
	}
	return agent.Start(p.own.Works, agent.Pooler{Name: cfg.Name, Core: p.core, Do: p.loop.Do, Store: p.store,
		Client: store.NewClient(p.own.records(), p.limits.StoreWait, from), Fleet: p.fleet.State, Incarnation: p.fleet.Incarnation, Joined: p.fleet.Joined,
		Zones: cfg.Facts.Zones, Fresh: fresh, Clock: p.core.Now, Log: p.log})
}

// digest tells settings apart.
func digest(c config.Config) string {
	h := fnv.New64a()
	json.NewEncoder(h).Encode(c.Settings)
	return strconv.FormatUint(h.Sum64(), 16)
}

// members is a list in the core's form.
func members(l discovery.List, zones []string) []core.Member {
	all := make([]core.Member, 0, len(l.Members))
	for _, e := range l.Members {
		all = append(all, core.Member{Node: e.Node(zones), Name: e.ID, Addr: e.Addr})
	}
	return all
}

// limitsOf are the limits that a configuration asks for.
func limitsOf(c config.Config, own file) limits.Limits {
	machine := c.Machine
	machine.Flight = own.Flight.Listen != ""
	var longest time.Duration
	for _, class := range c.Settings.Classes {
		longest = max(longest, class.Deadline)
	}
	return limits.For(machine, c.Facts.Connect, c.Facts.Keepalive, longest)
}

// settings are the core's part of the configuration.
func settings(c config.Config) core.Settings {
	return core.Settings{Settings: c.Settings, Names: c.Facts.Classes}
}

// operator lets the management server at the program.
type operator struct{ p *program }

func (o operator) Figures() core.Figures { return o.p.core.Figures() }

func (o operator) Fleet() any {
	if o.p.fleet == nil {
		return nil
	}
	s := o.p.fleet.State()
	s.Use = o.p.peers.Status()
	return s
}

func (o operator) Works(bears float64) any {
	found := make(chan *agent.Agent, 1)
	o.p.loop.Do(func() { found <- o.p.works })
	if d := <-found; d != nil {
		return d.Overview(bears)
	}
	return nil
}

func (o operator) Statements() *management.Statements {
	found := make(chan *management.Statements, 1)
	o.p.loop.Do(func() {
		r := o.p.intake.Readings()
		if r == nil {
			found <- nil
			return
		}
		most := o.p.limits.ShapesTold
		found <- &management.Statements{Readings: *r, ByCalls: o.p.intake.Top(statement.ByCalls, most),
			ByTime: o.p.intake.Top(statement.ByTime, most), ByDisagreement: o.p.intake.Top(statement.ByDisagreement, most)}
	})
	return <-found
}

func (o operator) BansUnsaved() int { return o.p.bans.Unsaved() }

func (o operator) Ban(name string, banned bool) (known bool, err error) {
	found := make(chan bool)
	o.p.loop.Do(func() { found <- o.p.core.HasMember(discovery.ID(name)) })
	if !<-found && !o.p.bans.Has(name) {
		return false, nil
	}
	if err := o.p.bans.Change(name, banned); err != nil {
		return true, err
	}
	holds := make(chan struct{})
	o.p.loop.Do(func() { close(holds) }) // behind the change
	<-holds
	return true, nil
}

// besides gives a process its place among others of its pooler.
func besides(c config.Config, log zerolog.Logger) *fdshare.Beside {
	b, err := fdshare.Join(os.TempDir(), c.Name, c.Machine.Sockets)
	if err != nil {
		log.Error().Err(err).Msg("share: cannot be settled; half of the descriptors are used")
	}
	return b
}

// descriptors is how many this process has open.
func descriptors() int {
	entries, _ := os.ReadDir("/proc/self/fd")
	return len(entries)
}

// settle settles again and again what this process may have open beside others. It begins before clients are let in.
func (p *program) settle(ctx context.Context) {
	tick := time.NewTicker(p.limits.Share)
	defer tick.Stop()
	failed, leaving := "", false
	for ctx.Err() == nil {
		err := p.beside.Settle(leaving, descriptors, func(room int) {
			done := make(chan struct{})
			p.loop.Do(func() {
				defer close(done)
				room = max(0, room-p.limits.Accepting) / 2 // Against a client and a database that both take the last one.
				p.front.Limit(p.limits, room)
				p.pool.Limit(p.limits, room)
			})
			select {
			case <-done:
			case <-ctx.Done():
			}
		})
		if err != nil && err != fdshare.ErrBusy && err.Error() != failed {
			failed = err.Error()
			p.log.Error().Err(err).Int("takes", p.beside.Takes()).Msg("share: cannot be settled; the part is kept")
		}
		select {
		case <-tick.C:
		case <-ctx.Done():
		}
		select {
		case <-p.stops:
			leaving = true
		default:
		}
	}
}

// keep stores this pooler's state, again and again.
func (p *program) keep(name string) {
	p.store.Put("state/"+name, map[string]any{"at": time.Now().UTC(), "open": p.core.Open(),
		"fronts": p.core.Count.Fronts, "members": p.core.Members()})
	p.core.Wheel.At(p.core.Now()+p.limits.StoreEvery, func() { p.keep(name) })
}

// signals are those that are waited for. Each kind has a place of its own: of several that have yet to be looked at one is enough,
// and none takes the place of another.
type signals struct{ end, reload, print chan os.Signal }

func notify() signals {
	s := signals{make(chan os.Signal, 1), make(chan os.Signal, 1), make(chan os.Signal, 1)}
	signal.Notify(s.end, syscall.SIGTERM, syscall.SIGINT)
	signal.Notify(s.reload, syscall.SIGHUP)
	signal.Notify(s.print, syscall.SIGUSR1)
	return s
}

// follow does what the signals say. The end does not wait for a reload that is under way, and a second one changes nothing.
func (p *program) follow(s signals) {
	go func() {
		<-s.end
		p.loop.Do(p.stop)
	}()
	for {
		select {
		case <-s.print:
			p.loop.Do(func() { p.counters("counters") })
		case <-s.reload:
			p.reload()
		}
	}
}

// reload takes in the configuration as it is now, without touching a request or a connection. A bad one changes
// nothing. Discovery's address and the settings are followed; what else has changed counts from the next start on.
func (p *program) reload() {
	c, err := p.config.Reload()
	var own file
	if err == nil {
		own, err = load()
	}
	var rules *tenant.Rules
	if err == nil {
		rules, err = own.Door.TenantRules()
	}
	if err != nil {
		p.loop.Do(p.core.ReloadRejected)
		p.log.Error().Err(err).Msg("reload: the configuration is kept")
		return
	}
	for key, changed := range map[string]bool{"name": c.Name != p.config.Name, "listen": c.Listen != p.config.Listen,
		"limits": c.Machine != p.config.Machine, "management": c.Management != p.config.Management,
		"settings.zones": !slices.Equal(c.Facts.Zones, p.config.Facts.Zones),
		"flight":         !reflect.DeepEqual(own.Flight, p.own.Flight), "store": !reflect.DeepEqual(own.Store, p.own.Store),
		"fleet": !reflect.DeepEqual(own.Fleet, p.own.Fleet), "works": !reflect.DeepEqual(own.Works, p.own.Works),
		"pcap": own.Pcap != p.own.Pcap, "door.enabled": own.Door.Enabled != p.own.Door.Enabled} {
		if changed {
			p.log.Warn().Str("key", key).Msg("reload: changed, but counts only from the next start on")
		}
	}
	p.log.Info().Str("discovery", c.Discovery).Msg("reloaded")
	if p.peers != nil {
		p.peers.Configured(digest(c), c.Settings.Routers)
	}
	p.config = c
	fair := p.own.Door.Enabled
	p.own.Door = own.Door
	p.own.Door.Enabled = fair
	l := limitsOf(c, p.own)
	p.loop.Do(func() {
		p.core.Reconfigure(settings(c))
		p.intake.Statements(own.Statements, l.Shapes, c.Seed, l.LogEvery, p.log)
		if fair {
			p.intake.ClassifyTenants(rules, intake.ClientKind(own.Door.Client))
			p.core.ReconfigureAdmission(own.Door)
		}
		p.limits.Linger, p.limits.Stop = l.Linger, l.Stop
		p.pool.Retune(l)
	})
	p.watch.Move(c.Discovery)
}

// stop ends the program. For a while it serves as ever: in a rolling restart the one before may not be back yet, and
// clients sent away would find nobody. Then it finishes what was taken and closes each client between requests. When all is
// answered, or the time is nearly up, it takes nothing more, fails what is open, and waits for the clients to read their answers, and
// for the operators' bans to be on disk or left for the next process. The
// times are those of the moment in which it was told to end, whatever is reloaded since.
func (p *program) stop() {
	p.log.Info().Int("open", p.core.Open()).Msg("stopping")
	close(p.stops)
	p.core.Stopping()
	if p.peers != nil {
		p.peers.Stopping()
	}
	begun, linger := p.core.Now(), p.limits.Linger
	by := begun + p.limits.Stop
	draining, ending, refusing := false, false, false
	if p.shared { // Others accept: whom this process has not taken in is theirs, at once.
		linger = p.limits.Stop
		p.loop.Refuse(func() { linger, refusing = 0, true })
	}
	var check func()
	check = func() {
		now := p.core.Now()
		if !draining && now >= begun+linger {
			draining = true
			p.front.Drain()
			if p.flight != nil {
				go p.flight.Stop()
			}
		}
		flightDone := p.flight == nil || p.flight.Stopped()
		if !ending && (now >= by-p.limits.StopLeaving || draining && p.core.Open() == 0 && p.front.Idle() && flightDone) {
			ending = true
			p.front.Stop(p.core.AnswerAll)
			if !p.shared {
				p.loop.Refuse(func() { refusing = true })
			}
		}
		if now >= by || ending && refusing && flightDone && p.front.ClientsGone() && p.bans.Settled() {
			p.loop.Stop()
			return
		}
		p.core.Wheel.At(now+4*p.limits.Tick, check)
	}
	check()
}

func (p *program) counters(what string) {
	line := p.log.Info().Interface("core", p.core.Count).Interface("front", p.front.Count).
		Interface("pool", p.pool.Count).Int64("accepts_failed", p.loop.AcceptsFailed()).Int("open", p.core.Open())
	if p.beside != nil {
		line = line.Int("takes", p.beside.Takes())
	}
	if p.flight != nil {
		line = line.Interface("flight", p.flight.Counts())
	}
	if p.store != nil {
		line = line.Interface("store", p.store.All())
	}
	if r := p.intake.Readings(); r != nil {
		line = line.Interface("statements", r)
	}
	if d := p.core.Admission(); d != nil {
		line = line.Interface("door", d)
	}
	line.Msg(what)
}
