// Package backend is the pool of connections to databases over the PostgreSQL protocol. It dials, reuses idle
// connections, writes the statements of attempts and health checks, and reports the outcome of each to the core. It
// runs on the event loop, except that each dial and the reading of each long answer run on a separate goroutine.
package backend

import (
	"context"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"capercove/internal/core"
	"capercove/internal/eventloop"
	"capercove/internal/limits"
	"capercove/internal/netretry"
	"capercove/internal/waitgroup"
	"capercove/routing"
)

// Pool sends attempts and health checks to databases.
type Pool struct {
	loop     *eventloop.Loop
	limits   limits.Backend
	log      zerolog.Logger
	core     *core.Core
	counters Counters

	databases   map[routing.NodeID]*database
	connections int            // number of connections to all databases, including those that are being dialed
	idleLimits  map[string]int // set by LimitIdle; a database without an entry has only the general limit

	backoff        netretry.Backoff   // of dials after transient failures
	shortages      *netretry.Failures // logs LocalShortages, at most one per limits.LogInterval
	badReplyLogged time.Duration      // time when a bad reply was last logged
	lifetime       context.Context    // context of the goroutines
	endLifetime    context.CancelFunc // cancels lifetime; called by Close
	goroutines     sync.WaitGroup     // dials and readers of long answers
}

var (
	_ core.HealthChecker = (*Pool)(nil)
	_ core.Watcher       = (*Pool)(nil)
)

// NewPool returns a pool without connections. It must be called before the event loop runs, or on the event loop. All
// methods except Close must be called on the event loop.
func NewPool(loop *eventloop.Loop, bounds limits.Backend, log zerolog.Logger, requests *core.Core) *Pool {
	lifetime, endLifetime := context.WithCancel(context.Background())
	pool := &Pool{
		loop:      loop,
		limits:    bounds,
		log:       log,
		core:      requests,
		databases: map[routing.NodeID]*database{},
		backoff:   netretry.NewBackoff(bounds.Retry),
		shortages: netretry.NewFailures(
			"backend: dial: short of system resources", bounds.LogInterval, log, requests.Now),
		lifetime:    lifetime,
		endLifetime: endLifetime,
	}
	pool.closeExpired()
	return pool
}

// Close ends the goroutines of the pool and waits for them. It returns waitgroup.ErrStillRunning if one still runs
// after the timeout. A dial never returns if the event loop ended while it registered the dialed socket: gnet then
// waits for the event loop and cannot be cancelled. Close must be called after the event loop has ended.
func (pool *Pool) Close(timeout time.Duration) error {
	pool.endLifetime()
	return waitgroup.Wait(&pool.goroutines, timeout)
}

// Changed implements core.Watcher. If the database has a new address or is gone, its idle connections and dials are
// closed. If it is excluded or gone, its dials are closed and its waiting jobs end as not sent. Attempts that have been
// written continue.
func (pool *Pool) Changed(member *core.Member) {
	database := pool.databases[member.ID]
	if database == nil {
		database = newDatabase(member)
		pool.databases[member.ID] = database
	}
	isGone := member.State == routing.Gone
	hasMoved := member.Addr != database.address
	if isGone || hasMoved {
		database.closeIdle()
		database.closeConnecting()
	}
	if member.Excluded { // attempts that were routed before must not be sent after the operators' command
		pool.abortWaiting(database)
		database.closeConnecting()
	}
	if hasMoved && member.Addr != "" {
		database.address = member.Addr
		database.resetBackoff()
	}
	if isGone { // the dials for the jobs were just closed, and the router can choose another database
		pool.abortWaiting(database)
	}
	pool.dialForWaitingJobs(database) // jobs whose dials were closed need a dial to the new address
}

// Removed implements core.Watcher. It is called when the database has permanently left the endpoint list.
func (pool *Pool) Removed(member *core.Member) {
	if database := pool.databases[member.ID]; database != nil {
		database.resetBackoff()
	}
	delete(pool.databases, member.ID)
}

// Reconfigure sets the timeouts that depend on the settings: for connecting, health checks and idle connections. It
// doesn't change running timers.
func (pool *Pool) Reconfigure(bounds limits.Backend) {
	pool.limits.ConnectTimeout = bounds.ConnectTimeout
	pool.limits.HealthCheckTimeout = bounds.HealthCheckTimeout
	pool.limits.IdleTimeout = bounds.IdleTimeout
}

// Counters returns a snapshot of the counters.
func (pool *Pool) Counters() Counters { return pool.counters }

// Connections returns the number of connections, including those that are being dialed.
func (pool *Pool) Connections() int { return pool.connections }

// LimitConnections limits the number of connections to the present number plus more, and to bounds.MaxConnections.
func (pool *Pool) LimitConnections(bounds limits.Backend, more int) {
	pool.limits.MaxConnections = min(bounds.MaxConnections, pool.connections+more)
}

// LimitIdle sets the maximum number of idle connections to each database, by the database's name, and closes those
// above it. limits.MaxIdlePerDatabase still applies, and is the only limit of a database without an entry. Connections
// that carry a job are not limited. The caller must not change the map afterwards.
func (pool *Pool) LimitIdle(byName map[string]int) {
	pool.idleLimits = byName
	for _, database := range pool.databases {
		for len(database.idle) > pool.idleLimit(database) {
			pool.counters.OverIdleLimit++
			database.idle[0].close()
		}
	}
}

// countShortage counts a failure caused by a shortage of a resource on this machine, and logs it at a bounded rate.
func (pool *Pool) countShortage(err error) {
	pool.counters.LocalShortages++
	pool.shortages.Note(err)
}
