package backend

import (
	"slices"

	"capercove/internal/core"
	"capercove/internal/timerwheel"
	"capercove/routing"
)

// idleChecksPerTimeout is the number of checks for expired idle connections within limits.IdleTimeout.
const idleChecksPerTimeout = 16

// database is one database with its connections and the jobs that wait for a connection.
type database struct {
	member      *core.Member
	address     string                   // host:port that new connections are dialed to
	connections map[*connection]struct{} // in any state except closed
	idle        []*connection            // in the order of last use, the most recent last
	waiting     []*job                   // for a connection, in the order of their start
	connecting  int                      // number of connections that are dialing or starting up

	retry             *timerwheel.Timer // backoff after a transient failure; nothing is dialed while it is set
	transientFailures int               // consecutive; dials that fail while retry is set are not counted
	lastFailure       dialFailure       // the last transient one since resetBackoff; noDialFailure if there is none
}

func newDatabase(member *core.Member) *database {
	return &database{member: member, address: member.Addr, connections: map[*connection]struct{}{}}
}

// closeIdle closes all idle connections.
func (database *database) closeIdle() {
	for len(database.idle) > 0 {
		database.idle[0].close()
	}
}

// closeConnecting closes all connections that are dialing or starting up.
func (database *database) closeConnecting() {
	for connection := range database.connections {
		if connection.state.isConnecting() {
			connection.close()
		}
	}
}

// removeIdle removes a connection from the idle ones. It does nothing if the connection is not among them.
func (database *database) removeIdle(connection *connection) {
	if i := slices.Index(database.idle, connection); i >= 0 {
		database.idle = slices.Delete(database.idle, i, i+1)
	}
}

// idleLimit returns the maximum number of idle connections to a database.
func (pool *Pool) idleLimit(database *database) int {
	if limit, limited := pool.idleLimits[database.member.Name]; limited {
		return min(limit, pool.limits.MaxIdlePerDatabase)
	}
	return pool.limits.MaxIdlePerDatabase
}

// takeIdle removes and returns the reusable idle connection that was used last; nil if there is none. It closes the
// idle connections that must not be reused, until it finds one.
func (pool *Pool) takeIdle(database *database) *connection {
	for len(database.idle) > 0 {
		last := len(database.idle) - 1
		connection := database.idle[last]
		if connection.isReusable() {
			database.idle = database.idle[:last]
			pool.counters.Reused++
			return connection
		}
		pool.counters.Stale++
		connection.close()
	}
	return nil
}

// evictIdle closes the connection that has been idle for the longest time among all databases. It returns false if no
// connection is idle.
func (pool *Pool) evictIdle() bool {
	var oldest *connection
	for _, database := range pool.databases {
		if len(database.idle) == 0 {
			continue
		}
		if first := database.idle[0]; oldest == nil || first.lastUsed < oldest.lastUsed {
			oldest = first
		}
	}
	if oldest == nil {
		return false
	}
	pool.counters.Evicted++
	oldest.close()
	return true
}

// closeExpired closes connections that have been idle for too long and idle connections to excluded databases, and
// schedules its next run. A database closes idle connections too: a statement written at that moment would be lost.
func (pool *Pool) closeExpired() {
	now := pool.core.Now()
	for _, database := range pool.databases {
		for len(database.idle) > 0 {
			oldest := database.idle[0]
			isExpired := now-oldest.lastUsed > pool.limits.IdleTimeout
			if !isExpired && !database.member.Excluded {
				break
			}
			pool.counters.Expired++
			oldest.close()
		}
	}
	pool.core.Wheel.Schedule(now+pool.limits.IdleTimeout/idleChecksPerTimeout, pool.closeExpired)
}

// abortWaiting ends all jobs that wait for a connection as not sent.
func (pool *Pool) abortWaiting(database *database) {
	for len(database.waiting) > 0 {
		pool.abort(database.waiting[0], routing.NotSent)
	}
}
