// Package agent takes the works through at one pooler: it reads what is agreed, keeps the pooler off machines that are out, says when
// nothing is out there any more, and, at the pooler that leads the record, takes the plan further. What is decided is in package
// works; no request waits for anything here.
package agent

import (
	"context"
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"capercove/internal/clock"
	"capercove/internal/core"
	"capercove/internal/discovery"
	"capercove/internal/maintenance"
	"capercove/internal/membership/gossip"
	"capercove/internal/store"
	"capercove/routing"
)

const (
	turn     = 50 * time.Millisecond  // while something is agreed or out, this often
	look     = 250 * time.Millisecond // the leader looks this often, where there is a plan
	idle     = time.Second            // and this often whether there is one
	watches  = 10 * time.Second       // a watch of the record waits so long
	pause    = 200 * time.Millisecond // after a call of the record that failed
	leaves   = 500 * time.Millisecond // for the word that this pooler leaves
	renewals = 4                      // reads in a lease
)

// Pooler is what the driver works for. Core is called on the event loop only, but for its figures.
type Pooler struct {
	Name        string
	Core        *core.Core
	Do          func(func()) // runs on the event loop, soon
	Store       store.Store  // nil: this pooler keeps none of the record
	Client      *store.Client
	Fleet       func() gossip.State
	Incarnation func() uint64
	Joined      func() bool // this process is the pooler's part of the fleet: no other of its name is, as one that ends at an upgrade
	Zones       []string
	Fresh       time.Duration // what the tightest class bears
	Clock       func() time.Duration
	Log         zerolog.Logger
}

// Agent is one pooler's.
type Agent struct {
	pooler Pooler
	config Config
	cancel context.CancelFunc
	ended  sync.WaitGroup
	kicked chan struct{}
	words  chan struct{} // there is a word
	active atomic.Bool   // there is a plan
	calls  atomic.Int64
	lapsed atomic.Bool // as last logged
	unsaid atomic.Bool // the record has no word of this pooler

	mu     sync.Mutex // guards all below
	reader *maintenance.Follower
	held   map[string]store.Value // under maintenance.Now
	at     uint64                 // revision of held
	record maintenance.Record     // of held
	broken string                 // why held cannot be read
	looker looker
	shown  Overview
	asked  time.Duration            // when databases were last asked who leads
	word   maintenance.PoolerStatus // what this pooler has to say
}

// Start begins. Until the record has been read, or for the length of a lease, the pooler keeps off all databases: Off must have been
// handed to the core before.
func Start(c Config, p Pooler) *Agent {
	now := p.Clock()
	d := &Agent{
		pooler: p, config: c, kicked: make(chan struct{}, 1), words: make(chan struct{}, 1), reader: maintenance.NewFollower(now, maintenance.Rules{Lease: ms(c.LeaseMS)}),
		held: map[string]store.Value{}, looker: looker{zones: p.Zones, fresh: p.Fresh, peaks: map[int]float64{}},
	}
	if c.FreshMS > 0 {
		d.looker.fresh = ms(c.FreshMS)
	}
	var ctx context.Context
	ctx, d.cancel = context.WithCancel(context.Background())
	for _, run := range []func(context.Context){d.watch, d.renew, d.act, d.say, d.lead} {
		d.ended.Go(func() { run(ctx) })
	}
	return d
}

// InitialBlocks is what a pooler keeps off that begins now.
func (c Config) InitialBlocks(now time.Duration) core.Blocks {
	return core.Blocks{All: true, Until: now + ms(c.LeaseMS)}
}

// Stop ends, once nothing is sent any more, and says in the record that this pooler has left.
func (d *Agent) Stop() {
	d.cancel()
	d.ended.Wait()
	ctx, cancel := context.WithTimeout(context.Background(), leaves)
	defer cancel()
	if _, err := d.pooler.Client.Change(ctx, store.Change{Delete: []string{d.key()}}); err != nil {
		d.pooler.Log.Warn().Err(err).Msg("works: the record does not know that this pooler leaves")
	}
}

// wall is the Unix time, for what people read in the record and for the time until which they let machines be taken.
func wall() time.Duration { return time.Duration(clock.Wall().UnixNano()) }

func sleep(ctx context.Context, t time.Duration) {
	select {
	case <-time.After(t):
	case <-ctx.Done():
	}
}

func (d *Agent) kick() {
	select {
	case d.kicked <- struct{}{}:
	default:
	}
}

// ---- Reading

// watch follows what is agreed, as soon as any store that it reaches knows it.
func (d *Agent) watch(ctx context.Context) {
	for ctx.Err() == nil {
		d.mu.Lock()
		after := d.at
		d.mu.Unlock()
		c, err := d.pooler.Client.Watch(ctx, maintenance.FollowedPrefix, after, watches)
		if err != nil {
			sleep(ctx, pause)
			continue
		}
		if d.news(after, c) {
			d.kick()
		} else {
			sleep(ctx, turn)
		}
	}
}

// news takes in what a watch has brought; false: it waits for renew. A plan that is new is read with its lease: what it lists would
// else be kept off until then.
func (d *Agent) news(after uint64, c store.Changes) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if c.Revision <= d.at || after != d.at && !c.Whole { // renew was faster
		return true
	}
	held := maps.Clone(d.held)
	if c.Whole {
		clear(held)
	}
	maps.Copy(held, c.Values)
	for _, key := range c.Deleted {
		delete(held, key)
	}
	if r, err := parse(held); err == nil && r.Plan.Active() && r.Plan.ID != d.record.Plan.ID {
		d.active.Store(true)
		return false
	}
	if d.take(held, c.Revision) {
		d.reader.Observe(d.at, d.record.PlanSteps())
	}
	return true
}

// renew renews the lease while there is a plan, and reads the record for the first time.
func (d *Agent) renew(ctx context.Context) {
	known, failing := false, false
	for ctx.Err() == nil {
		if known && !d.active.Load() {
			sleep(ctx, turn)
			continue
		}
		asked := d.pooler.Clock()
		key := d.key()
		v, err := d.pooler.Client.Read(ctx, maintenance.FollowedPrefix, key)
		if failed := err != nil; failed != failing && ctx.Err() == nil {
			failing = failed
			d.pooler.Log.Warn().Bool("failing", failing).Err(err).Msg("works: reading the record")
		}
		if err != nil {
			sleep(ctx, pause)
			continue
		}
		if _, stands := v.Values[key]; !stands { // Against a word that was taken back while this pooler was taken for gone.
			d.unsaid.Store(true)
		}
		delete(v.Values, key)
		d.mu.Lock()
		if v.Revision < d.at || d.take(v.Values, v.Revision) {
			d.reader.Refresh(asked, d.at, d.record.PlanSteps())
			known = true
		}
		d.mu.Unlock()
		d.kick()
		sleep(ctx, ms(d.config.LeaseMS)/renewals)
	}
}

// take takes in what stands under maintenance.Now; mu is held. What cannot be read changes nothing: the lease runs out.
func (d *Agent) take(held map[string]store.Value, revision uint64) bool {
	r, err := parse(held)
	if err != nil {
		if err.Error() != d.broken {
			d.broken = err.Error()
			d.pooler.Log.Error().Err(err).Msg("works: the record cannot be read")
		}
		return false
	}
	d.held, d.at, d.record, d.broken = held, revision, r, ""
	d.active.Store(r.Plan.Active())
	return true
}

func parse(values map[string]store.Value) (maintenance.Record, error) {
	texts, revisions := map[string]json.RawMessage{}, map[string]uint64{}
	for key, v := range values {
		texts[key], revisions[key] = v.Value, v.Revision
	}
	return maintenance.Parse(texts, revisions)
}

// ---- Keeping off, and saying so

// act keeps the pooler off what is out. It waits for no call of the record.
func (d *Agent) act(ctx context.Context) {
	for ctx.Err() == nil {
		if w, known := d.keepOff(ctx); known {
			d.mu.Lock()
			d.word = w
			d.mu.Unlock()
			select {
			case d.words <- struct{}{}:
			default:
			}
		}
		wait := idle
		d.mu.Lock()
		if d.active.Load() || !d.reader.Known() {
			wait = turn
		}
		d.mu.Unlock()
		select {
		case <-d.kicked:
		case <-time.After(wait):
		case <-ctx.Done():
		}
	}
}

// keepOff hands the pooler what it has to keep off, and returns the tries for which it has nothing out any more, with the plan that
// they are of.
func (d *Agent) keepOff(ctx context.Context) (w maintenance.PoolerStatus, known bool) {
	f := d.pooler.Core.Figures()
	groups, group := map[int][]string{}, map[string]int{}
	for _, s := range f.Databases {
		groups[s.Group] = append(groups[s.Group], s.Name)
		group[s.Name] = s.Group
	}
	d.mu.Lock()
	now := d.pooler.Clock()
	lapses := d.reader.LeaseEnd()
	off := core.Blocks{
		All: !d.reader.Known(), Until: lapses, Now: map[routing.NodeID]bool{}, Worn: map[routing.NodeID]bool{}, Then: map[routing.NodeID]bool{},
		Blind: map[routing.NodeID]bool{},
	}
	agreed := map[routing.NodeID]bool{}
	names := slices.Sorted(maps.Keys(group))
	for name := range d.record.Steps { // Against one that the list has dropped, and brings back at once: it is kept off all the same.
		if _, listed := group[name]; !listed {
			names = append(names, name)
		}
	}
	for _, name := range names {
		id := discovery.ID(name)
		g, listed := group[name]
		others := slices.DeleteFunc(slices.Clone(groups[g]), func(o string) bool { return o == name })
		if may, _ := d.reader.MaySend(now, name, others); !may {
			off.Now[id] = true
		}
		may, blind := d.reader.MaySend(max(now, lapses), name, others)
		if !may || blind && !listed {
			off.Then[id] = true
		} else if blind {
			off.Blind[id] = true
		}
		switch d.record.Steps[name].State {
		case maintenance.Draining:
			agreed[id] = true
		case maintenance.Recovering:
			off.Worn[id] = true
		}
	}
	active, plan := d.record.Plan.Active(), d.record.Plan.ID
	if lapsed := (active || off.All) && now >= lapses; lapsed != d.lapsed.Load() {
		d.lapsed.Store(lapsed)
		line := d.pooler.Log.Warn().Bool("lapsed", lapsed)
		if lapsed && len(off.Blind) > 0 {
			line = line.Int("blind", len(off.Blind)) // databases
		}
		line.Msg("works: the lease on the record")
	}
	if !active && d.reader.Known() {
		off = core.Blocks{Worn: off.Worn}
	}
	d.shown.Off = nil
	for _, name := range names {
		if off.All || off.Now[discovery.ID(name)] {
			d.shown.Off = append(d.shown.Off, name)
		}
	}
	ask := d.leaders(now, f.Databases, off.Now)
	d.mu.Unlock()
	left := make(chan map[routing.NodeID]int, 1)
	d.pooler.Do(func() {
		d.pooler.Core.Block(off)
		for _, name := range ask {
			d.pooler.Core.ProbeByName(name)
		}
		left <- d.pooler.Core.AttemptsInFlight(agreed)
	})
	select {
	case out := <-left:
		d.mu.Lock()
		defer d.mu.Unlock()
		d.shown.Out = map[string]int{}
		w.Plan = plan
		w.Stopped = d.reader.Stopped(func(name string) int {
			id := discovery.ID(name)
			if !agreed[id] { // it was agreed on only now
				return 1
			}
			d.shown.Out[name] = out[id]
			return out[id]
		})
		return w, true
	case <-ctx.Done():
		return w, false
	}
}

// leaders are databases to ask, as all that this pooler takes for the primary of their group is kept off: another has taken over, and it
// has seen nothing of that yet. Mu is held.
func (d *Agent) leaders(now time.Duration, sights []core.DatabaseStatus, off map[routing.NodeID]bool) (ask []string) {
	if len(off) == 0 || now-d.asked < look {
		return nil
	}
	d.asked = now
	led, kept := map[int]bool{}, map[int]bool{}
	for _, s := range sights {
		kept[s.Group] = kept[s.Group] || off[s.ID]
		led[s.Group] = led[s.Group] || s.Primary && !off[s.ID]
	}
	for _, s := range sights {
		if kept[s.Group] && !led[s.Group] && !off[s.ID] {
			ask = append(ask, s.Name)
		}
	}
	return ask
}

// key is where this process's word stands. At an upgrade there are two of a name for a while, and each has to say that it stopped.
func (d *Agent) key() string {
	if d.pooler.Joined() {
		return maintenance.StatusKey(d.pooler.Name)
	}
	return maintenance.StatusKey(d.pooler.Name + second)
}

// second is of the process of a name that is not part of the fleet yet.
const second = "+"

// say keeps this pooler's word in the record as it is.
func (d *Agent) say(ctx context.Context) {
	var said maintenance.PoolerStatus
	var at uint64 // revision at which it was said
	key, stands, first := "", false, true
	for {
		select {
		case <-d.words:
		case <-ctx.Done():
			return
		}
		d.mu.Lock()
		w := d.word
		d.mu.Unlock()
		var deleted []string
		if now := d.key(); now != key {
			key, stands, at = now, false, 0
		}
		if d.unsaid.Swap(false) && stands {
			stands, at = false, 0
		}
		if first && d.pooler.Joined() { // its own of before, or that of one that ended without a word
			deleted = []string{maintenance.StatusKey(d.pooler.Name + second)}
		}
		w.Incarnation, w.LeaseMS = d.pooler.Incarnation(), int64(d.config.LeaseMS)
		if stands && w.Incarnation == said.Incarnation && w.Plan == said.Plan && maps.Equal(w.Stopped, said.Stopped) {
			continue
		}
		text, err := json.Marshal(w)
		if err != nil {
			panic(err) // a fault of this program: there is nothing in it that cannot be written
		}
		o, err := d.pooler.Client.Change(ctx, store.Change{ID: d.id(), If: map[string]uint64{key: at}, Set: map[string]json.RawMessage{key: text}, Delete: deleted})
		if stands = err == nil && o.Applied; stands {
			said, at, first = w, o.Revision, first && deleted == nil
			continue
		}
		// It may have been done, or an earlier life's word stands there: the next try is on what does.
		if v, err := d.pooler.Client.Read(ctx, key); err == nil {
			at = v.Values[key].Revision
		}
		sleep(ctx, turn) // Against a busy loop while no majority is there: calls fail at once then.
		d.kick()
	}
}

// id is a new one of a change.
func (d *Agent) id() string {
	return fmt.Sprintf("works/%s/%d/%d", d.pooler.Name, d.pooler.Incarnation(), d.calls.Add(1))
}

// ---- Leading

// lead takes the plan further while this pooler leads the record.
func (d *Agent) lead(ctx context.Context) {
	if d.pooler.Store == nil {
		return
	}
	var l *maintenance.Leader
	self := maintenance.Instance{}
	for ; ctx.Err() == nil; sleep(ctx, look) {
		if !d.pooler.Store.Leads() {
			l = nil
			continue
		}
		if now := d.self(); l == nil || self != now { // it has been taken for gone
			l, self = maintenance.NewLeader(d.manner(now)), now
		}
		r, err := d.whole(ctx)
		if err != nil {
			continue
		}
		s := d.see(r.Plan.Spec.Capacity)
		o := l.Propose(d.pooler.Clock(), wall(), r, s)
		d.ask(o.Probe)
		if o.Resign {
			d.pooler.Log.Info().Msg("works: another is to lead the record, as this pooler is next")
			if err := d.pooler.Store.HandOver(); err != nil {
				d.pooler.Log.Warn().Err(err).Msg("works: nobody takes the lead over")
			}
			continue
		}
		if d.agree(ctx, o, r) {
			for _, call := range o.Calls {
				d.ended.Go(func() { d.hook(ctx, call, self) })
			}
		}
		if !r.Plan.Active() {
			sleep(ctx, idle)
		}
	}
}

func (d *Agent) self() maintenance.Instance {
	return maintenance.Instance{Name: d.pooler.Name, Incarnation: d.pooler.Incarnation()}
}

func (d *Agent) manner(self maintenance.Instance) maintenance.Policy {
	return maintenance.Policy{
		Self: self, Hook: len(d.config.Hook) > 0 || d.config.HookURL != "", HandsOver: len(d.config.HandOver) > 0,
		Calls: d.config.HookCalls, Lease: ms(d.config.LeaseMS), Skew: ms(d.config.SkewMS), Settle: ms(d.config.SettleMS),
	}
}

func (d *Agent) whole(ctx context.Context) (maintenance.Record, error) {
	v, err := d.pooler.Client.Read(ctx, maintenance.KeyPrefix)
	if err != nil {
		return maintenance.Record{}, err
	}
	return parse(v.Values)
}

func (d *Agent) see(bears float64) maintenance.Observation {
	f, s, leads := d.pooler.Core.Figures(), d.pooler.Fleet(), d.pooler.Store != nil && d.pooler.Store.Leads()
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.looker.see(d.pooler.Clock(), f, s, leads, bears)
}

func (d *Agent) ask(databases []string) {
	if len(databases) > 0 {
		d.pooler.Do(func() {
			for _, name := range databases {
				d.pooler.Core.ProbeByName(name)
			}
		})
	}
}

// agree writes what is to be agreed on, again and again under one id until it is known whether it was; true: it was, or there is
// nothing to write.
func (d *Agent) agree(ctx context.Context, o maintenance.Proposal, r maintenance.Record) bool {
	on, set, deleted := o.Change(r)
	if on == nil {
		return true
	}
	c := store.Change{ID: d.id(), If: on, Set: set, Delete: deleted}
	for ; ctx.Err() == nil; sleep(ctx, pause) {
		outcome, err := d.pooler.Client.Change(ctx, c)
		switch {
		case outcome.Error != "":
			d.pooler.Log.Error().Err(err).Msg("works: cannot be agreed on")
			return false
		case err != nil: // not known yet
			continue
		}
		if outcome.Applied {
			for _, e := range o.History {
				d.pooler.Log.Info().Str("machine", e.Machine).Uint64("number", e.Number).Str("by", e.By).Msg("works: " + e.Text)
			}
		}
		return outcome.Applied
	}
	return false
}

// hook calls a hook, and writes how it ended. Only the pooler that called it knows; if its end cannot be written while this process
// lives, nobody else may write it.
func (d *Agent) hook(ctx context.Context, call maintenance.Call, self maintenance.Instance) {
	d.pooler.Log.Info().Str("machine", call.Machine).Str("to", call.To).Uint64("number", call.Number).Msg("works: a hook is called")
	ended := make(chan string, 1)
	go func() { ended <- d.config.call(call) }()
	var failed string
	select {
	case failed = <-ended:
	case <-ctx.Done():
		return
	}
	m := d.manner(self)
	for ; ctx.Err() == nil; sleep(ctx, pause) {
		r, err := d.whole(ctx)
		if err != nil {
			continue
		}
		o := m.HookResult(d.pooler.Clock(), wall(), r, call, failed)
		if on, _, _ := o.Change(r); on == nil {
			return // it is known, or of a try that is over
		}
		if !d.agree(ctx, o, r) {
			continue
		}
		for _, again := range o.Calls {
			d.ended.Go(func() { d.hook(ctx, again, self) })
		}
		return
	}
}
