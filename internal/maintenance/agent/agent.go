// Package agent carries out planned maintenance at one pooler. It reads the record, blocks machines that are out of
// service, and reports when no request to them is in flight any more. At the pooler that leads the record, it also
// advances the plan. Package maintenance makes the decisions. Client requests never wait for this package.
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
	activeInterval = 50 * time.Millisecond  // between updates during a plan, or before the record has been read
	leaderInterval = 250 * time.Millisecond // between the leader's proposals during a plan
	idleInterval   = time.Second            // between updates without a plan
	watchTimeout   = 10 * time.Second       // of one watch of the record
	retryPause     = 200 * time.Millisecond // after a failed call of the record
	leaveTimeout   = 500 * time.Millisecond // for deleting the pooler's status at the shutdown
	readsPerLease  = 4                      // reads of the record in the length of a lease
)

// Pooler is the agent's access to its pooler. Core is called on the event loop only, except for its figures.
type Pooler struct {
	Name        string
	Core        *core.Core
	Do          func(func()) // schedules a function on the event loop, without waiting for it
	Store       store.Store  // nil: this pooler stores no replica of the record
	Client      *store.Client
	Fleet       func() gossip.State // membership's view
	Incarnation func() uint64
	// Joined reports whether this process has joined membership under its name. During an upgrade, the new process
	// starts while the old process of the same name still serves.
	Joined func() bool
	Zones  []string             // names of the zones, by number
	Fresh  time.Duration        // replication lag that the strictest class tolerates
	Clock  func() time.Duration // monotonic
	Log    zerolog.Logger
}

// Agent carries out maintenance at one pooler. It is safe for concurrent use.
type Agent struct {
	pooler Pooler
	config Config

	cancel     context.CancelFunc
	background sync.WaitGroup // of the agent's goroutines

	wake        chan struct{} // requests an update of the blocks now
	statusReady chan struct{} // signals a status to write

	active        atomic.Bool  // there is a plan that has not finished
	changes       atomic.Int64 // counts changes of the record, for their IDs
	leaseExpired  atomic.Bool  // whether the lease had expired, as last logged
	statusMissing atomic.Bool  // the record has no status of this pooler

	mu          sync.Mutex // guards all fields below
	follower    *maintenance.Follower
	values      map[string]store.Value // under maintenance.FollowedPrefix
	revision    uint64                 // of values
	record      maintenance.Record     // decoded from values
	decodeError string                 // why the values that were read last cannot be decoded; empty: they can
	observer    observer
	overview    Overview                 // fields that updates of the blocks set
	probedAt    time.Duration            // when databases were last probed to find a new primary
	status      maintenance.PoolerStatus // the status to report
}

// Start starts the agent. The pooler blocks all databases until the record has been read, but not longer than a lease.
// The caller must have passed InitialBlocks to the core before, and ends the agent with Stop.
func Start(config Config, pooler Pooler) *Agent {
	rules := maintenance.Rules{Lease: milliseconds(config.LeaseMS)}
	a := &Agent{
		pooler:      pooler,
		config:      config,
		wake:        make(chan struct{}, 1),
		statusReady: make(chan struct{}, 1),
		follower:    maintenance.NewFollower(pooler.Clock(), rules),
		values:      map[string]store.Value{},
		observer:    newObserver(config, pooler),
	}
	ctx, cancel := context.WithCancel(context.Background())
	a.cancel = cancel
	for _, run := range []func(context.Context){a.watch, a.renewLease, a.keepBlocks, a.reportStatus, a.lead} {
		a.background.Go(func() { run(ctx) })
	}
	return a
}

// InitialBlocks returns the blocks of a pooler that has just started and has not read the record. now is the pooler's
// monotonic clock.
func (c Config) InitialBlocks(now time.Duration) core.Blocklist {
	return core.Blocklist{All: true, Expiry: now + milliseconds(c.LeaseMS)}
}

// Stop ends the agent and deletes the pooler's status from the record. The caller must first have stopped the pooler
// from sending requests. Stop waits for the agent's goroutines, but not for a running hook.
func (a *Agent) Stop() {
	a.cancel()
	a.background.Wait()
	ctx, cancel := context.WithTimeout(context.Background(), leaveTimeout)
	defer cancel()
	if _, err := a.pooler.Client.Change(ctx, store.Change{Delete: []string{a.statusKey()}}); err != nil {
		a.pooler.Log.Warn().Err(err).Msg("maintenance: own status not deleted from the record")
	}
}

// wallClock returns the Unix time, for the times in the history and for the end of a plan's time window.
func wallClock() time.Duration {
	return time.Duration(clock.Wall().UnixNano()) //nolint:forbidigo // converts the time that clock.Wall has read
}

// sleep waits for a duration, or until the context ends.
func sleep(ctx context.Context, duration time.Duration) {
	select {
	case <-time.After(duration):
	case <-ctx.Done():
	}
}

// signal sends to a channel of capacity 1. If a signal is already pending, it does nothing.
func signal(channel chan<- struct{}) {
	select {
	case channel <- struct{}{}:
	default:
	}
}

// changeID returns a new unique ID for a change of the record.
func (a *Agent) changeID() string {
	return fmt.Sprintf("works/%s/%d/%d", a.pooler.Name, a.pooler.Incarnation(), a.changes.Add(1))
}
