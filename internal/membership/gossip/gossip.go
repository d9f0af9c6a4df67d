// Package gossip drives the fleet's view on hashicorp/memberlist: that finds who is there, package fleet remembers and tells
// what is known together. Nothing here is on a request's path.
package gossip

import (
	"fmt"
	stdlog "log"
	"maps"
	"math/rand/v2"
	"net/netip"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/hashicorp/memberlist"
	"github.com/rs/zerolog"

	"capercove/internal/membership"
)

// Counters count what came in and was turned down.
type Counters struct {
	Garbled   int64 // messages that could not be read
	Versions  int64 // ... of another version
	Conflicts int64 // messages of a second pooler by a name that is there
	Joins     int64 // seeds and others that were reached again
	Refuted   int64 // times this pooler was told of its own end while it lived
	Periods   int64 // that this pooler has talked for
	Unkept    int64 // times the remembered members could not be read or written
}

// Gossip is one pooler's part of the fleet.
type Gossip struct {
	name   string
	config Config
	pace   Timing
	log    zerolog.Logger
	clock  func() time.Duration
	period func(now time.Duration, v *membership.View) map[membership.Key][]byte
	began  time.Duration
	stop   chan struct{}
	ended  sync.WaitGroup
	digest atomic.Uint64 // of the view, as last told
	write  func(f memoryFile, text string) error
	heard  heard

	mu         sync.Mutex
	list       *memberlist.Memberlist // nil until the address is to be had
	waits      string                 // why there is none yet
	talk       *membership.Disseminator
	members    map[string]*peer   // that are there, this pooler left out
	missing    map[string]*peer   // that have gone just now: whether they left is not known yet
	unmet      map[string]unmet   // that others' words tell of and that the library has not found
	remembered map[string]address // where those are that went without a word, and that were there before a restart
	agreement  *agreement
	stopping   bool
	count      Counters
	logged     map[string]time.Duration
	kept       time.Duration // when the remembered members were last written, or could not be
	changed    bool          // ... and whether they have changed since they were
	unkept     string        // why they could not be; empty: they were
	random     *rand.Rand
}

// peer is another pooler that is there, or was just now.
type peer struct {
	node  memberlist.Node
	since time.Duration // when it was found there
	went  time.Duration // ... and when not any more; 0: it is there
}

// unmet is a pooler known by others' words alone.
type unmet struct {
	latest uint64        // sequence of its last word
	since  time.Duration // when that came
}

// Start joins the fleet as name; it goes on trying for as long as there is nobody, and also while the address is another's, as
// the process before this one may not have ended. Period is called once a period on a goroutine of the fleet's, with a view that
// is its own until it returns; it returns what the pooler says. The clock counts from the Unix epoch.
func Start(name string, c Config, p Timing, log zerolog.Logger, clock func() time.Duration,
	period func(now time.Duration, v *membership.View) map[membership.Key][]byte) (*Gossip, error) {
	b, now := membership.DefaultBounds(), clock()
	random := rand.New(rand.NewPCG(uint64(now), 0))
	g := &Gossip{name: name, config: c, pace: p, log: log, clock: clock, period: period, began: now, stop: make(chan struct{}),
		talk:    membership.NewDisseminator(membership.NewView(b), membership.NewPublisher(name, uint64(now.Milliseconds()), b), membership.DefaultDisseminatorBounds(), random),
		members: map[string]*peer{}, missing: map[string]*peer{}, unmet: map[string]unmet{}, remembered: map[string]address{},
		heard:     heard{answered: map[string]time.Duration{}, suspected: map[string]time.Duration{}},
		agreement: newAgreement(p.Agree, now), logged: map[string]time.Duration{}, random: random, write: write}
	if c.Dir != "" {
		members, err := load(c.Dir, c.Cluster, now)
		if err != nil { // It starts as if there were none.
			g.count.Unkept++
			log.Error().Err(err).Msg("fleet: the remembered members are not used")
		}
		maps.Copy(g.remembered, members)
		delete(g.remembered, name)
	}
	err := g.join()
	if err != nil && !strings.Contains(err.Error(), syscall.EADDRINUSE.Error()) { // the library wraps the text alone
		return nil, err
	}
	g.ended.Go(func() { g.live(err) })
	return g, nil
}

// live waits for the address, if it is another's, and then takes part.
func (g *Gossip) live(err error) {
	for said := false; err != nil; err = g.join() {
		if !said {
			g.log.Warn().Err(err).Msg("fleet: not part of it yet; tried again")
		}
		said = true
		g.mu.Lock()
		g.waits = err.Error()
		g.mu.Unlock()
		select {
		case <-time.After(g.pace.Bind):
		case <-g.stop:
			return
		}
	}
	g.mu.Lock()
	g.waits = ""
	g.mu.Unlock()
	g.ended.Go(g.run)
	g.ended.Go(g.keepRemembered)
	g.rejoin()
}

// join begins to take part.
func (g *Gossip) join() error {
	c, p := g.config, g.pace
	listen, err := netip.ParseAddrPort(c.Listen)
	if err != nil {
		return fmt.Errorf("fleet.listen: %w", err)
	}
	out := stdlog.New(library{g}, "", 0)
	t, err := memberlist.NewNetTransport(&memberlist.NetTransportConfig{BindAddrs: []string{listen.Addr().String()},
		BindPort: int(listen.Port()), Logger: out})
	if err != nil {
		return fmt.Errorf("fleet.listen: %w", err)
	}
	own := netip.AddrPortFrom(listen.Addr(), uint16(t.GetAutoBindPort()))
	advertise := own
	if c.Advertise != "" {
		if advertise, err = netip.ParseAddrPort(c.Advertise); err != nil {
			t.Shutdown()
			return fmt.Errorf("fleet.advertise: %w", err)
		}
	}
	m := memberlist.DefaultLANConfig()
	m.Name, m.Label = g.name, c.Cluster
	m.BindAddr, m.BindPort = own.Addr().String(), int(own.Port())
	m.AdvertiseAddr, m.AdvertisePort = advertise.Addr().String(), int(advertise.Port())
	m.Transport = transport{t, own.Addr()}
	m.GossipInterval, m.ProbeInterval, m.ProbeTimeout = p.Period, p.Probe, p.Timeout
	m.PushPullInterval = 2 * p.Rejoin // what news of members left out is made good by it, as when a cut of many is over
	m.TCPTimeout = 4 * p.Timeout
	m.DeadNodeReclaimTime = p.Rejoin // a pooler may come back under another address
	m.Delegate, m.Events, m.Conflict, m.Ping, m.Logger = delegate{g}, events{g}, conflicts{g}, pings{g}, out
	list, err := memberlist.Create(m)
	if err != nil {
		t.Shutdown()
		return fmt.Errorf("fleet: %w", err)
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.list = list // messages may have come before
	return nil
}

// Stop leaves: the others are told that this is no crash. It takes no longer than given.
func (g *Gossip) Stop(within time.Duration) {
	close(g.stop)
	g.mu.Lock()
	g.stopping = true
	d := g.talk.Leave(g.clock())
	for name := range g.members {
		g.send(name, wire{Facts: d.Facts, Ends: d.Ends})
	}
	list := g.list
	g.mu.Unlock()
	g.ended.Wait()
	g.keep(true)
	if list == nil {
		return
	}
	if err := list.Leave(within); err != nil {
		g.log.Debug().Err(err).Msg("fleet: the library's word that this pooler leaves") // its own went out before
	}
	list.Shutdown()
}
