// Package gossip drives the fleet's view on hashicorp/memberlist: that finds who is there, package fleet remembers and tells
// what is known together. Nothing here is on a request's path.
package gossip

import (
	"bytes"
	"encoding/binary"
	"fmt"
	"hash/crc32"
	"io"
	stdlog "log"
	"maps"
	"math/rand/v2"
	"net/netip"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/hashicorp/go-msgpack/v2/codec"
	"github.com/hashicorp/memberlist"
	"github.com/rs/zerolog"

	"capercove/internal/membership"
)

// The steps of an exchange: what one lacks is asked for by a summary, the answer has that and a summary of its own, and the
// last has what that lacks.
const (
	ask = iota + 1
	answer
	back
)

func step(m membership.Message) int {
	if m.Summary != nil {
		return ask
	}
	return 0
}

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

// heard is what the library tells beside its members. It has a lock of its own, as the library logs while it is being called.
type heard struct {
	mu        sync.Mutex
	answered  map[string]time.Duration // when this pooler last heard from each
	suspected map[string]time.Duration // who has not been heard since it did not answer
	refused   int64                    // what it could not read or turned away, such as from another cluster
}

// wire is what goes over memberlist's user messages.
type wire struct {
	Version int
	From    string
	Digest  uint64 // of the sender's view
	Facts   []membership.Fact
	Ends    []membership.End
	Summary map[string]uint64
	Step    int // of an exchange: 0 is news; ask, answer and back are each answered with the next, and go over a stream
}

var handle codec.MsgpackHandle

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
		g.mu.Lock()
		now := g.clock()
		g.count.Periods++
		g.talk.View.Expire(now)
		g.judge(now)
		values := g.period(now, g.talk.View)
		for _, m := range g.talk.NextMessages(now, values, slices.Sorted(maps.Keys(g.members))) {
			g.send(m.To, wire{Facts: m.Updates.Facts, Ends: m.Updates.Ends, Summary: m.Summary, Step: step(m)})
		}
		g.agree(now)
		g.mu.Unlock()
	}
}

// judge says of those that went a moment ago whether they left or crashed; mu is held. Their own word and the library's come by
// different ways, in any order.
func (g *Gossip) judge(now time.Duration) {
	for name, p := range g.missing {
		incarnation, gone := g.talk.View.Incarnation(name)
		left := gone && g.talk.View.HasLeft(name)
		if !left && now-p.went < verdict*g.pace.Period {
			continue
		}
		delete(g.missing, name)
		why := "it has left"
		if !left {
			why = "it does not answer"
			g.talk.MarkFailed(now, name)
			g.remember(name, p.node.Address(), now)
		} else {
			delete(g.remembered, name)
		}
		g.changed = true
		g.log.Info().Str("pooler", name).Uint64("incarnation", incarnation).Str("why", why).Msg("fleet: is gone")
	}
	g.judgeUnmet(now)
}

// judgeUnmet finds those to be gone whom the library has not found by a while after their last word; mu is held. A cut or a crash
// may come after a pooler's first words have gone round and before the library has told of it here: nothing else would then ever
// miss it, until its words are forgotten. One that lives refutes it.
func (g *Gossip) judgeUnmet(now time.Duration) {
	live := g.talk.View.Live()
	maps.DeleteFunc(g.unmet, func(name string, _ unmet) bool { _, there := slices.BinarySearch(live, name); return !there })
	for _, name := range live {
		if name == g.name || g.members[name] != nil || g.missing[name] != nil {
			delete(g.unmet, name)
			continue
		}
		u, known := g.unmet[name]
		if latest := g.talk.View.LatestSequence(name); !known || latest != u.latest {
			g.unmet[name] = unmet{latest, now}
		} else if now-u.since >= unmetFor*g.pace.Rejoin {
			delete(g.unmet, name)
			g.talk.MarkFailed(now, name)
			g.log.Info().Str("pooler", name).Str("why", "it was never found").Msg("fleet: is gone")
		}
	}
}

// remember keeps an address, within the bound; mu is held.
func (g *Gossip) remember(name, at string, now time.Duration) {
	if _, has := g.remembered[name]; has || len(g.remembered) < rememberedMost {
		g.remembered[name] = address{at, now}
	}
}

// agree follows whether all views are the same; mu is held.
func (g *Gossip) agree(now time.Duration) {
	digest := g.talk.View.Digest()
	g.digest.Store(digest)
	there := make(map[string]bool, len(g.members))
	for name := range g.members {
		there[name] = true
	}
	if g.agreement.step(now, digest, there) {
		g.log.Info().Bool("agree", g.agreement.agrees).Int("poolers", len(there)+1).Msg("fleet: views")
	}
}

// send sends a message, a summary or its answer over a stream; mu is held. What is lost is made good by a later summary.
func (g *Gossip) send(name string, w wire) {
	to, there := g.members[name]
	if !there || g.list == nil {
		return
	}
	w.Version, w.From, w.Digest = version, g.name, g.talk.View.Digest()
	var b bytes.Buffer
	if err := codec.NewEncoder(&b, &handle).Encode(w); err != nil {
		g.log.Error().Err(err).Msg("fleet: a message cannot be written")
		return
	}
	list, node, text := g.list, to.node, seal(b.Bytes())
	if w.Step > 0 {
		if !g.stopping {
			g.ended.Go(func() { list.SendReliable(&node, text) }) // a dial may take as long as its time-out
		}
		return
	}
	list.SendBestEffort(&node, text)
}

// seal puts a checksum before a message: the library's streams have none, and a name with one bit turned over would live on as a
// pooler that is not there.
func seal(text []byte) []byte {
	return append(binary.BigEndian.AppendUint32(nil, crc32.Checksum(text, castagnoli)), text...)
}

// hear takes in a message.
func (g *Gossip) hear(data []byte) {
	if len(data) < 4 || crc32.Checksum(data[4:], castagnoli) != binary.BigEndian.Uint32(data) {
		g.turnDown(&g.count.Garbled, "a message that was made otherwise on its way")
		return
	}
	data = data[4:]
	var w wire
	err := codec.NewDecoder(io.LimitReader(bytes.NewReader(data), messageMost), &handle).Decode(&w)
	if err != nil || w.From == "" {
		g.turnDown(&g.count.Garbled, "a message that cannot be read")
		return
	}
	if w.Version != version {
		g.turnDown(&g.count.Versions, fmt.Sprintf("%q speaks version %d, and this pooler %d", w.From, w.Version, version))
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.clock()
	before := g.talk.Publisher.Incarnation()
	g.talk.Receive(now, membership.Delta{Facts: w.Facts, Ends: w.Ends})
	if g.talk.Publisher.Incarnation() != before {
		g.count.Refuted++
	}
	if g.members[w.From] != nil {
		g.heard.answer(w.From, now)
	}
	g.agreement.tell(now, w.From, w.Digest)
	switch d := (membership.Delta{}); w.Step {
	case ask:
		d = g.talk.Answer(w.Summary)
		g.send(w.From, wire{Facts: d.Facts, Ends: d.Ends, Summary: g.talk.View.Summary(), Step: answer})
	case answer:
		if d = g.talk.Answer(w.Summary); !d.Empty() {
			g.send(w.From, wire{Facts: d.Facts, Ends: d.Ends, Step: back})
		}
	}
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
		for _, p := range g.members {
			there[p.node.Address()] = true
		}
		// Against two halves that found each their own before their seeds were up: having somebody is not enough.
		for _, seed := range g.config.Seeds {
			if !there[seed] {
				try = append(try, seed)
			}
		}
		for name, a := range g.remembered { // in any order, a few at a time
			if there[a.at] || g.talk.View.HasLeft(name) {
				delete(g.remembered, name)
			} else if len(try) < tries+len(g.config.Seeds) {
				try = append(try, a.at)
			}
		}
		wait = g.pace.Rejoin/2 + time.Duration(g.random.Int64N(int64(g.pace.Rejoin)))
		list := g.list
		g.mu.Unlock()
		for _, addr := range try {
			if n, _ := list.Join([]string{addr}); n > 0 {
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

// turnDown counts and logs what is not taken in.
func (g *Gossip) turnDown(count *int64, why string) {
	g.mu.Lock()
	*count++
	g.mu.Unlock()
	g.bad(why)
}

// bad logs bad input, at most one line a kind and time.
func (g *Gossip) bad(why string) {
	g.mu.Lock()
	now := g.clock()
	last, seen := g.logged[why]
	said := seen && now-last < g.pace.LogEach
	if !said {
		if len(g.logged) >= rememberedMost { // Against texts made up without end.
			clear(g.logged)
		}
		g.logged[why] = now
	}
	g.mu.Unlock()
	if !said {
		g.log.Warn().Str("why", why).Msg("fleet: bad input")
	}
}
