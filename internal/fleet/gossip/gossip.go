// Package gossip drives the fleet's view on hashicorp/memberlist: that finds who is there, package fleet remembers and tells
// what is known together. Nothing here is on a request's path.
package gossip

import (
	"bytes"
	"fmt"
	"io"
	stdlog "log"
	"maps"
	"math/rand/v2"
	"net"
	"net/netip"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/hashicorp/go-msgpack/v2/codec"
	"github.com/hashicorp/memberlist"
	"github.com/rs/zerolog"

	"capercove/internal/config/tables"
	"capercove/internal/fleet"
)

// Config is table [fleet] of the operators' file.
type Config struct {
	Enabled   bool     `toml:"enabled"`
	Cluster   string   `toml:"cluster"`   // others' members and datagrams are turned away
	Listen    string   `toml:"listen"`    // where peers reach this pooler, TCP and UDP, such as "127.0.0.1:7946"
	Advertise string   `toml:"advertise"` // ... if they reach it elsewhere
	Seeds     []string `toml:"seeds"`     // some poolers' addresses; they need not be up yet
}

// Check finds what is wrong with the table.
func (c Config) Check() error {
	if !c.Enabled {
		return nil
	}
	if c.Cluster == "" {
		return tables.Bad("cluster", "empty: poolers of other installations would be let in")
	}
	if len(c.Cluster) > 64 {
		return tables.Bad("cluster", "%d bytes, 64 at most", len(c.Cluster))
	}
	if _, err := netip.ParseAddrPort(c.Listen); err != nil {
		return tables.Bad("listen", "%v", err)
	}
	if _, err := netip.ParseAddrPort(c.Advertise); c.Advertise != "" && err != nil {
		return tables.Bad("advertise", "%v", err)
	}
	for i, s := range c.Seeds {
		if _, _, err := net.SplitHostPort(s); err != nil {
			return tables.Bad(fmt.Sprintf("seeds[%d]", i), "%v", err)
		}
	}
	return nil
}

// Pace is how fast a fleet finds out and talks.
type Pace struct {
	Period  time.Duration // of news, and of what memberlist sends
	Probe   time.Duration // one member is asked whether it lives this often
	Timeout time.Duration // ... and is suspected without an answer by then
	Rejoin  time.Duration // one that is gone, or a seed that is not there, is tried again this often
	LogEach time.Duration // at most one line a kind of bad input in this time
}

// DefaultPace is for poolers some milliseconds apart.
func DefaultPace() Pace {
	return Pace{Period: 200 * time.Millisecond, Probe: time.Second, Timeout: 500 * time.Millisecond, Rejoin: 5 * time.Second,
		LogEach: time.Second}
}

const (
	rememberedMost = 1024 // addresses of poolers that are gone
)

// The steps of an exchange: what one lacks is asked for by a summary, the answer has that and a summary of its own, and the
// last has what that lacks.
const (
	ask = iota + 1
	answer
	back
)

func step(m fleet.Message) int {
	if m.Summary != nil {
		return ask
	}
	return 0
}

// Counters count what came in and was turned down.
type Counters struct{ Garbled, Conflicts, Joins, Refuted int64 }

// Gossip is one pooler's part of the fleet.
type Gossip struct {
	name   string
	config Config
	pace   Pace
	log    zerolog.Logger
	clock  func() time.Duration
	values func() map[fleet.Key][]byte
	list   *memberlist.Memberlist
	stop   chan struct{}
	ended  sync.WaitGroup

	mu       sync.Mutex
	talk     *fleet.Talk
	members  map[string]memberlist.Node // that are there, this pooler left out
	stopping bool
	count    Counters
	gone     map[string]string // names of those that are gone, with their addresses: a cut that is over is found through them
	left     map[string]bool   // names of those that said that they end
	logged   map[string]time.Duration
	random   *rand.Rand
}

// wire is what goes over memberlist's user messages.
type wire struct {
	From    string
	Facts   []fleet.Fact
	Ends    []fleet.End
	Summary map[string]uint64
	Step    int  // of an exchange: 0 is news; ask, answer and back are each answered with the next, and go over a stream
	Leaves  bool // From ends as it should: memberlist's own word for it does not reach its callers
}

var handle codec.MsgpackHandle

// Start joins the fleet as name; it goes on trying for as long as there is nobody. Values are what the pooler says, asked for
// once a period on a goroutine of the fleet's. The clock counts from the Unix epoch.
func Start(name string, c Config, p Pace, log zerolog.Logger, clock func() time.Duration, values func() map[fleet.Key][]byte) (*Gossip, error) {
	b := fleet.DefaultBounds()
	random := rand.New(rand.NewPCG(uint64(clock()), 0))
	g := &Gossip{name: name, config: c, pace: p, log: log, clock: clock, values: values, stop: make(chan struct{}),
		talk:    fleet.NewTalk(fleet.NewView(b), fleet.NewAuthor(name, uint64(clock().Milliseconds()), b), fleet.DefaultTalk(), random),
		members: map[string]memberlist.Node{}, gone: map[string]string{}, left: map[string]bool{}, logged: map[string]time.Duration{}, random: random}
	listen, err := netip.ParseAddrPort(c.Listen)
	if err != nil {
		return nil, fmt.Errorf("fleet.listen: %w", err)
	}
	out := stdlog.New(library{g}, "", 0)
	t, err := memberlist.NewNetTransport(&memberlist.NetTransportConfig{BindAddrs: []string{listen.Addr().String()},
		BindPort: int(listen.Port()), Logger: out})
	if err != nil {
		return nil, fmt.Errorf("fleet.listen: %w", err)
	}
	own := netip.AddrPortFrom(listen.Addr(), uint16(t.GetAutoBindPort()))
	advertise := own
	if c.Advertise != "" {
		if advertise, err = netip.ParseAddrPort(c.Advertise); err != nil {
			t.Shutdown()
			return nil, fmt.Errorf("fleet.advertise: %w", err)
		}
	}
	m := memberlist.DefaultLANConfig()
	m.Name, m.Label = name, c.Cluster
	m.BindAddr, m.BindPort = own.Addr().String(), int(own.Port())
	m.AdvertiseAddr, m.AdvertisePort = advertise.Addr().String(), int(advertise.Port())
	m.Transport = transport{t, own.Addr()}
	m.GossipInterval, m.ProbeInterval, m.ProbeTimeout = p.Period, p.Probe, p.Timeout
	m.PushPullInterval = 10 * p.Rejoin
	m.TCPTimeout = 4 * p.Timeout
	m.DeadNodeReclaimTime = p.Rejoin // a pooler may come back under another address
	m.Delegate, m.Events, m.Conflict, m.Logger = delegate{g}, events{g}, conflicts{g}, out
	list, err := memberlist.Create(m)
	if err != nil {
		t.Shutdown()
		return nil, fmt.Errorf("fleet: %w", err)
	}
	g.mu.Lock()
	g.list = list // messages may have come before
	g.mu.Unlock()
	g.ended.Go(g.run)
	g.ended.Go(g.rejoin)
	return g, nil
}

// Stop leaves: the others are told that this is no crash. It takes no longer than given.
func (g *Gossip) Stop(within time.Duration) {
	close(g.stop)
	g.mu.Lock()
	g.stopping = true
	for name := range g.members {
		g.send(name, wire{Leaves: true})
	}
	g.mu.Unlock()
	g.ended.Wait()
	if err := g.list.Leave(within); err != nil {
		g.log.Warn().Err(err).Msg("fleet: nobody was told that this pooler leaves")
	}
	g.list.Shutdown()
}

// State is what there is to be shown.
type State struct {
	Name   string            `json:"name"`
	Digest string            `json:"digest"` // equal at two poolers that hold the same
	Live   []string          `json:"live"`
	Says   map[string]string `json:"says"` // what each says of itself
	Gone   map[string]string `json:"gone"` // names and addresses of those that went without a word, and are tried again
	Counters
}

// State is the fleet as this pooler sees it.
func (g *Gossip) State() State {
	g.mu.Lock()
	defer g.mu.Unlock()
	s := State{Name: g.name, Digest: strconv.FormatUint(g.talk.View.Digest(), 16), Live: g.talk.View.Live(), Says: map[string]string{},
		Gone: maps.Clone(g.gone), Counters: g.count}
	for _, f := range g.talk.View.Of(fleet.Key{}) {
		s.Says[f.Owner] = string(f.Value)
	}
	return s
}

// run talks, period by period.
func (g *Gossip) run() {
	tick := time.NewTicker(g.pace.Period)
	defer tick.Stop()
	for {
		select {
		case <-tick.C:
		case <-g.stop:
			return
		}
		values := g.values()
		g.mu.Lock()
		now := g.clock()
		g.talk.View.Forget(now)
		for _, m := range g.talk.Period(now, values, slices.Sorted(maps.Keys(g.members))) {
			g.send(m.To, wire{Facts: m.News.Facts, Ends: m.News.Ends, Summary: m.Summary, Step: step(m)})
		}
		g.mu.Unlock()
	}
}

// send sends a message, a summary or its answer over a stream; mu is held. What is lost is made good by a later summary.
func (g *Gossip) send(name string, w wire) {
	to, there := g.members[name]
	if !there || g.list == nil {
		return
	}
	w.From = g.name
	var b bytes.Buffer
	if err := codec.NewEncoder(&b, &handle).Encode(w); err != nil {
		g.log.Error().Err(err).Msg("fleet: a message cannot be written")
		return
	}
	if w.Step > 0 {
		if !g.stopping {
			g.ended.Go(func() { g.list.SendReliable(&to, b.Bytes()) }) // a dial may take as long as its time-out
		}
		return
	}
	g.list.SendBestEffort(&to, b.Bytes())
}

// hear takes in a message.
func (g *Gossip) hear(data []byte) {
	var w wire
	err := codec.NewDecoder(io.LimitReader(bytes.NewReader(data), 4<<20), &handle).Decode(&w)
	if err != nil || w.From == "" {
		g.mu.Lock()
		g.count.Garbled++
		g.mu.Unlock()
		g.bad("a message that cannot be read")
		return
	}
	g.mu.Lock()
	if w.Leaves && len(g.left) < rememberedMost {
		g.left[w.From] = true
	}
	before := g.talk.Author.Incarnation()
	g.talk.Hear(g.clock(), fleet.Delta{Facts: w.Facts, Ends: w.Ends})
	if g.talk.Author.Incarnation() != before {
		g.count.Refuted++
	}
	switch d := (fleet.Delta{}); w.Step {
	case ask:
		d = g.talk.Answer(w.Summary)
		g.send(w.From, wire{Facts: d.Facts, Ends: d.Ends, Summary: g.talk.View.Summary(), Step: answer})
	case answer:
		if d = g.talk.Answer(w.Summary); !d.Empty() {
			g.send(w.From, wire{Facts: d.Facts, Ends: d.Ends, Step: back})
		}
	}
	g.mu.Unlock()
}

// rejoin tries seeds that are not there, and addresses of those that are gone: neither side of a cut that is over has another
// way to find the other.
func (g *Gossip) rejoin() {
	wait := g.pace.Rejoin / 10
	for {
		select {
		case <-time.After(wait):
		case <-g.stop:
			return
		}
		var try []string
		g.mu.Lock()
		there := map[string]bool{g.config.Advertise: true, g.config.Listen: true}
		for _, n := range g.members {
			there[n.Address()] = true
		}
		// Against two halves that found each their own before their seeds were up: having somebody is not enough.
		for _, seed := range g.config.Seeds {
			if !there[seed] {
				try = append(try, seed)
			}
		}
		for _, addr := range g.gone { // in any order, a few at a time
			if len(try) < 4+len(g.config.Seeds) {
				try = append(try, addr)
			}
		}
		wait = g.pace.Rejoin/2 + time.Duration(g.random.Int64N(int64(g.pace.Rejoin)))
		g.mu.Unlock()
		for _, addr := range try {
			if n, _ := g.list.Join([]string{addr}); n > 0 {
				g.mu.Lock()
				g.count.Joins++
				g.mu.Unlock()
			}
			select {
			case <-g.stop:
				return
			default:
			}
		}
	}
}

// bad logs bad input, at most one line a kind and time.
func (g *Gossip) bad(why string) {
	g.mu.Lock()
	now := g.clock()
	last, seen := g.logged[why]
	said := seen && now-last < g.pace.LogEach
	if !said && len(g.logged) < rememberedMost {
		g.logged[why] = now
	}
	g.mu.Unlock()
	if !said {
		g.log.Warn().Str("why", why).Msg("fleet: bad input")
	}
}

// ---- What memberlist calls, on goroutines of its own

type events struct{ g *Gossip }

func (e events) NotifyJoin(n *memberlist.Node) {
	if n.Name == e.g.name {
		return
	}
	e.g.mu.Lock()
	delete(e.g.gone, n.Name)
	delete(e.g.left, n.Name)
	e.g.members[n.Name] = memberlist.Node{Name: n.Name, Addr: slices.Clone(n.Addr), Port: n.Port} // theirs changes
	e.g.mu.Unlock()
	e.g.log.Info().Str("pooler", n.Name).Str("at", n.Address()).Msg("fleet: is there")
}

func (e events) NotifyLeave(n *memberlist.Node) {
	if n.Name == e.g.name {
		return
	}
	e.g.mu.Lock()
	left := e.g.left[n.Name]
	delete(e.g.members, n.Name)
	e.g.talk.Found(e.g.clock(), n.Name)
	if !left && len(e.g.gone) < rememberedMost {
		e.g.gone[n.Name] = n.Address()
	}
	e.g.mu.Unlock()
	why := "it does not answer"
	if left {
		why = "it has left"
	}
	e.g.log.Info().Str("pooler", n.Name).Str("why", why).Msg("fleet: is gone")
}

func (e events) NotifyUpdate(*memberlist.Node) {}

type conflicts struct{ g *Gossip }

func (c conflicts) NotifyConflict(existing, other *memberlist.Node) {
	c.g.mu.Lock()
	c.g.count.Conflicts++
	c.g.mu.Unlock()
	c.g.bad(fmt.Sprintf("two poolers bear the name %q, at %s and %s", existing.Name, existing.Address(), other.Address()))
}

type delegate struct{ g *Gossip }

func (d delegate) NotifyMsg(b []byte)            { d.g.hear(bytes.Clone(b)) }
func (delegate) NodeMeta(int) []byte             { return nil }
func (delegate) GetBroadcasts(int, int) [][]byte { return nil }
func (delegate) LocalState(bool) []byte          { return nil }
func (delegate) MergeRemoteState([]byte, bool)   {}

// library passes on what memberlist logs: its warnings and errors are bad input as often as not.
type library struct{ g *Gossip }

func (l library) Write(line []byte) (int, error) {
	if bytes.Contains(line, []byte("[ERR]")) || bytes.Contains(line, []byte("[WARN]")) {
		l.g.log.Debug().Msg("fleet: " + string(bytes.TrimSpace(line)))
	}
	return len(line), nil
}

// transport dials from the own address, so that peers, and relays before them, can tell who it is.
type transport struct {
	*memberlist.NetTransport
	own netip.Addr
}

func (t transport) DialAddressTimeout(a memberlist.Address, timeout time.Duration) (net.Conn, error) {
	d := net.Dialer{Timeout: timeout, LocalAddr: &net.TCPAddr{IP: t.own.AsSlice()}}
	return d.Dial("tcp", a.Addr)
}

func (t transport) DialTimeout(addr string, timeout time.Duration) (net.Conn, error) {
	return t.DialAddressTimeout(memberlist.Address{Addr: addr}, timeout)
}
