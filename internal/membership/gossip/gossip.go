// Package gossip distributes the view of package membership over a network. It uses hashicorp/memberlist to detect
// which poolers respond, exchanges updates and summaries with them, and saves their addresses for the next start. It is
// not on the path of a request.
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

// Counters count events of the transport.
type Counters struct {
	Malformed    int64 `json:"Garbled"`  // messages that could not be read
	WrongVersion int64 `json:"Versions"` // messages of another protocol version
	Conflicts    int64 // reports of a second pooler under a name that is in use
	Rejoins      int64 `json:"Joins"`   // seeds and remembered addresses that were reached again
	Refutations  int64 `json:"Refuted"` // times this pooler was reported as gone while it was running
	Periods      int64 // gossip periods since the start
	SaveErrors   int64 `json:"Unkept"` // times the remembered addresses could not be read or written
}

// Observe is called once in each period and returns the values that this pooler publishes. It must not use the view
// after it has returned, and must not call methods of Gossip.
type Observe func(now time.Duration, view *membership.View) map[membership.Key][]byte

// Gossip runs the gossip protocol of one pooler. It is safe for concurrent use.
type Gossip struct {
	name       string
	config     Config
	timing     Timing
	log        zerolog.Logger
	clock      func() time.Duration
	observe    Observe // called with mu locked
	started    time.Duration
	stop       chan struct{}
	goroutines sync.WaitGroup
	digest     atomic.Uint64 // of the view, at the end of the last period
	writeFile  func(file writableFile, text string) error
	contacts   contacts

	mu           sync.Mutex
	list         *memberlist.Memberlist // nil until this pooler listens
	waitReason   string                 // why join failed; empty once list is set
	disseminator *membership.Disseminator
	members      map[string]*peer             // other poolers that respond
	departed     map[string]*peer             // lost a moment ago; not yet known whether they left or failed
	unconfirmed  map[string]unconfirmedPooler // in the view, but unknown to memberlist
	remembered   map[string]address           // of failed poolers, and of those known before a restart
	agreement    *agreement
	stopping     bool
	counters     Counters
	lastLogged   map[string]time.Duration // time of a warning, by its text
	savedAt      time.Duration            // when saving the addresses was last attempted
	unsaved      bool                     // the addresses have changed since savedAt
	saveError    string                   // of the last attempt; empty if it succeeded
	random       *rand.Rand
}

// peer is another pooler that memberlist has found.
type peer struct {
	node    memberlist.Node
	foundAt time.Duration
	lostAt  time.Duration // 0 while it responds
}

// unconfirmedPooler is a pooler that is known only by its published facts.
type unconfirmedPooler struct {
	latest uint64        // sequence of its newest fact
	since  time.Duration // when that fact arrived
}

// Start joins the cluster of poolers under a name, without waiting for other poolers to respond. It retries in the
// background while none responds, or while the listen address is in use, for example by the previous process of this
// pooler. Other errors of the first attempt are returned. The clock counts from the Unix epoch. Observe is called on a
// background goroutine, until Stop.
func Start(
	name string, config Config, timing Timing, log zerolog.Logger, clock func() time.Duration, observe Observe,
) (*Gossip, error) {
	bounds, now := membership.DefaultBounds(), clock()
	random := rand.New(rand.NewPCG(uint64(now), 0))
	publisher := membership.NewPublisher(name, uint64(now.Milliseconds()), bounds)
	disseminator := membership.NewDisseminator(
		membership.NewView(bounds), publisher, membership.DefaultDisseminatorBounds(), random)
	gossip := &Gossip{
		name:         name,
		config:       config,
		timing:       timing,
		log:          log,
		clock:        clock,
		observe:      observe,
		started:      now,
		stop:         make(chan struct{}),
		writeFile:    writeSynced,
		contacts:     newContacts(),
		disseminator: disseminator,
		members:      map[string]*peer{},
		departed:     map[string]*peer{},
		unconfirmed:  map[string]unconfirmedPooler{},
		remembered:   map[string]address{},
		agreement:    newAgreement(timing.AgreementDelay, now),
		lastLogged:   map[string]time.Duration{},
		random:       random,
	}
	gossip.loadAddresses(now)
	err := gossip.join()
	if err != nil && !isAddressInUse(err) {
		return nil, err
	}
	gossip.goroutines.Go(func() { gossip.waitAndRun(err) })
	return gossip, nil
}

// isAddressInUse reports whether a join failed because the listen address is in use. It searches the text, because
// memberlist does not wrap the system's error.
func isAddressInUse(err error) bool { return strings.Contains(err.Error(), syscall.EADDRINUSE.Error()) }

// loadAddresses reads the saved addresses if a directory is configured. After an error the pooler starts without any.
func (g *Gossip) loadAddresses(now time.Duration) {
	if g.config.Dir == "" {
		return
	}
	addresses, err := loadAddressFile(g.config.Dir, g.config.Cluster, now)
	if err != nil {
		g.counters.SaveErrors++
		g.log.Error().Err(err).Msg("membership: saved addresses not used")
	}
	maps.Copy(g.remembered, addresses)
	delete(g.remembered, g.name)
}

// waitAndRun retries join until it succeeds, and then runs until Stop. Err is the error of the first attempt.
func (g *Gossip) waitAndRun(err error) {
	for logged := false; err != nil; err = g.join() {
		if !logged {
			g.log.Warn().Err(err).Msg("membership: not joined yet, retrying")
		}
		logged = true
		g.setWaitReason(err.Error())
		select {
		case <-time.After(g.timing.BindRetry):
		case <-g.stop:
			return
		}
	}
	g.setWaitReason("")
	g.goroutines.Go(g.runPeriods)
	g.goroutines.Go(g.runSaver)
	g.runRejoin()
}

func (g *Gossip) setWaitReason(reason string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.waitReason = reason
}

// join opens the listen address and starts memberlist.
func (g *Gossip) join() error {
	listen, err := netip.ParseAddrPort(g.config.Listen)
	if err != nil {
		return fmt.Errorf("fleet.listen: %w", err)
	}
	logger := stdlog.New(memberlistLog{g}, "", 0)
	netTransport, err := memberlist.NewNetTransport(&memberlist.NetTransportConfig{
		BindAddrs: []string{listen.Addr().String()},
		BindPort:  int(listen.Port()),
		Logger:    logger,
	})
	if err != nil {
		return fmt.Errorf("fleet.listen: %w", err)
	}
	own := netip.AddrPortFrom(listen.Addr(), uint16(netTransport.GetAutoBindPort()))
	advertise := own
	if g.config.Advertise != "" {
		if advertise, err = netip.ParseAddrPort(g.config.Advertise); err != nil {
			_ = netTransport.Shutdown() // the error that is returned is the one to report
			return fmt.Errorf("fleet.advertise: %w", err)
		}
	}
	list, err := memberlist.Create(g.memberlistConfig(own, advertise, netTransport, logger))
	if err != nil {
		_ = netTransport.Shutdown() // the error that is returned is the one to report
		return fmt.Errorf("fleet: %w", err)
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.list = list // memberlist may have delivered messages already
	return nil
}

// memberlistConfig returns the configuration of memberlist for this pooler's settings.
func (g *Gossip) memberlistConfig(
	own, advertise netip.AddrPort, netTransport *memberlist.NetTransport, logger *stdlog.Logger,
) *memberlist.Config {
	config, timing := memberlist.DefaultLANConfig(), g.timing
	config.Name, config.Label = g.name, g.config.Cluster
	config.BindAddr, config.BindPort = own.Addr().String(), int(own.Port())
	config.AdvertiseAddr, config.AdvertisePort = advertise.Addr().String(), int(advertise.Port())
	config.Transport = transport{netTransport, own.Addr()}
	config.GossipInterval = timing.Period
	config.ProbeInterval, config.ProbeTimeout = timing.ProbeInterval, timing.ProbeTimeout
	config.PushPullInterval = pushPullRejoins * timing.RejoinInterval
	config.TCPTimeout = tcpProbeTimeouts * timing.ProbeTimeout
	config.DeadNodeReclaimTime = timing.RejoinInterval // a restarted pooler may have another address
	config.Logger = logger
	config.Delegate = userDelegate{g}
	config.Events = eventDelegate{g}
	config.Conflict = conflictDelegate{g}
	config.Ping = pingDelegate{g}
	return config
}

// Stop announces that this pooler leaves, and stops all goroutines. It waits at most the given time for memberlist to
// make its own announcement. It must be called once.
func (g *Gossip) Stop(within time.Duration) {
	close(g.stop)
	g.mu.Lock()
	g.stopping = true
	delta := g.disseminator.Leave(g.clock())
	for name := range g.members {
		g.send(name, message{Facts: delta.Facts, Ends: delta.Ends})
	}
	list := g.list
	g.mu.Unlock()
	g.goroutines.Wait()
	g.saveAddresses(true)
	if list == nil {
		return
	}
	if err := list.Leave(within); err != nil { // The announcement above has already been sent.
		g.log.Debug().Err(err).Msg("membership: leave not announced by memberlist")
	}
	if err := list.Shutdown(); err != nil {
		g.log.Debug().Err(err).Msg("membership: memberlist not shut down")
	}
}
