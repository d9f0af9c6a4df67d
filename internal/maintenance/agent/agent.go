// Package agent takes the works through at one pooler: it reads what is agreed, keeps the pooler off machines that are out, says when
// nothing is out there any more, and, at the pooler that leads the record, takes the plan further. What is decided is in package
// works; no request waits for anything here.
package agent

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"capercove/internal/clock"
	"capercove/internal/core"
	"capercove/internal/maintenance"
	"capercove/internal/membership/gossip"
	"capercove/internal/store"
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

// id is a new one of a change.
func (d *Agent) id() string {
	return fmt.Sprintf("works/%s/%d/%d", d.pooler.Name, d.pooler.Incarnation(), d.calls.Add(1))
}
