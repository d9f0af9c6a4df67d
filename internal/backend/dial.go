package backend

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"syscall"
	"time"

	"capercove/internal/netretry"
	"capercove/internal/pg"
	"capercove/routing"
)

// dialFailure is the cause of a failed dial, derived from its error.
type dialFailure uint8

// The failures of dials.
const (
	noDialFailure       dialFailure = iota
	dialLacksResource               // this machine lacks a resource: no evidence about the database; transient
	dialUnreachable                 // no packet can be sent to the address; transient until the ConnectTimeout
	dialRefused                     // no process listens at the address: the database is down
	dialFailedOtherwise             // the database was not reached for another or an unknown reason

	dialFailureCount
)

var dialFailureNames = [dialFailureCount]string{"none", "lacks resource", "unreachable", "refused", "failed otherwise"}

// String implements fmt.Stringer.
func (failure dialFailure) String() string {
	if failure < dialFailureCount {
		return dialFailureNames[failure]
	}
	return fmt.Sprintf("dialFailure(%d)", uint8(failure))
}

// classifyDialFailure returns the cause of a failed dial or startup. The error may be nil if the database or the event
// loop has closed the connection before the startup was answered.
func classifyDialFailure(err error) dialFailure {
	switch {
	case netretry.IsShortage(err):
		return dialLacksResource
	case netretry.IsUnreachable(err):
		return dialUnreachable
	case errors.Is(err, syscall.ECONNREFUSED):
		return dialRefused
	default:
		return dialFailedOtherwise
	}
}

// status returns the status of a job that gets no connection because of this failure. For noDialFailure, it is the
// status of a job for which no connection was established in time.
func (failure dialFailure) status() routing.Status {
	switch failure {
	case dialLacksResource:
		return routing.NotSent
	case dialRefused:
		return routing.ConnectRefused
	default:
		return routing.ConnectFailed
	}
}

// dialForWaitingJobs dials for each waiting job for which no connection is being opened.
func (pool *Pool) dialForWaitingJobs(database *database) {
	for database.shouldDial() {
		pool.dial(database)
	}
}

// dialForOneJob dials for one waiting job for which no connection is being opened. It does nothing if there is none.
func (pool *Pool) dialForOneJob(database *database) {
	if database.shouldDial() {
		pool.dial(database)
	}
}

// shouldDial reports whether more jobs wait than connections are being opened and dials are not in backoff.
func (database *database) shouldDial() bool {
	return database.connecting < len(database.waiting) && database.retry == nil
}

// dial begins to open a connection for a waiting job. At the limit of connections it closes an idle connection first.
// If no connection is idle, it does not dial, and ends the job that was queued last as not sent.
func (pool *Pool) dial(database *database) {
	if pool.connections >= pool.limits.MaxConnections && !pool.evictIdle() {
		pool.counters.Capped++
		newest := database.waiting[len(database.waiting)-1]
		pool.abort(newest, routing.NotSent)
		return
	}
	pool.counters.Dials++
	ctx, cancel := context.WithCancel(pool.lifetime)
	connection := pool.newConnection(database, cancel)
	pool.goroutines.Go(func() { connection.runDial(ctx) })
}

// newConnection adds a connection in the dialing state to the pool and starts the timeout of its dial and startup.
func (pool *Pool) newConnection(database *database, cancelDial context.CancelFunc) *connection {
	pool.connections++
	database.connecting++
	bounds := &pool.limits
	connection := &connection{
		pool:       pool,
		database:   database,
		address:    database.address,
		link:       pg.NewLink(bounds.MaxMessageBytes, bounds.MaxBufferedValueBytes, bounds.MaxValueBytes),
		cancelDial: cancelDial,
	}
	database.connections[connection] = struct{}{}
	connection.timeout = pool.core.Wheel.Schedule(pool.core.Now()+bounds.ConnectTimeout, func() {
		pool.connectTimedOut(connection)
	})
	return connection
}

// runDial dials on a separate goroutine and reports a failure on the event loop. After a success the event loop calls
// Opened.
func (connection *connection) runDial(ctx context.Context) {
	pool := connection.pool
	err := pool.loop.Dial(ctx, connection.address, connection)
	if err == nil {
		return
	}
	pool.loop.Do(func() { //nolint:contextcheck // dials that follow a failed one outlive its context
		if connection.state != stateClosed {
			pool.dialFailed(connection, err)
		}
	})
}

// connectTimedOut closes a connection whose dial or startup takes too long. The waiting jobs have separate timeouts.
func (pool *Pool) connectTimedOut(connection *connection) {
	pool.counters.DialsFailed++
	connection.close()
	pool.endBackoff(connection.database)    // a timeout is not a transient failure
	pool.dialForOneJob(connection.database) // a job that was queued later may still wait
}

// dialFailed closes a connection whose dial or startup failed. After a transient failure it dials again after a
// backoff. After any other failure, the job that has waited longest ends. The error may be nil.
func (pool *Pool) dialFailed(connection *connection, err error) {
	failure := classifyDialFailure(err)
	switch failure {
	case dialLacksResource:
		pool.countShortage(err)
		pool.dialAfterBackoff(connection, failure)
	case dialUnreachable:
		pool.counters.Unreachable++
		pool.dialAfterBackoff(connection, failure)
	default:
		pool.connectFailed(connection, failure.status())
	}
}

// connectFailed closes a connection that was not established, and ends the job that has waited longest with a status.
func (pool *Pool) connectFailed(connection *connection, status routing.Status) {
	pool.counters.DialsFailed++
	database := connection.database
	connection.close()
	if len(database.waiting) > 0 {
		pool.finish(database.dequeueFirst(), status, nil)
	}
	pool.endBackoff(database)
}

// dialAfterBackoff closes a connection that was not established because of a transient failure, and dials for the
// waiting jobs after a backoff. Jobs that can no longer be sent when the backoff ends are ended at once.
func (pool *Pool) dialAfterBackoff(connection *connection, failure dialFailure) {
	pool.counters.DialsFailed++
	database := connection.database
	connection.close()
	database.lastFailure = failure
	if database.retry != nil {
		return
	}
	database.transientFailures++
	retryAt := pool.core.Now() + pool.backoff.After(database.transientFailures)
	database.retry = pool.core.Wheel.Schedule(retryAt, func() { pool.retryDials(database) })
	pool.abortExpiring(database, retryAt)
}

// retryDials dials again when the delay of the backoff is over. If no job waits, it resets the backoff, and the next
// transient failure begins a new backoff.
func (pool *Pool) retryDials(database *database) {
	database.retry = nil
	if len(database.waiting) == 0 {
		database.resetBackoff()
	}
	pool.dialForWaitingJobs(database)
}

// abortExpiring ends the waiting attempts that can no longer be sent at a given time. It skips health checks: their
// only deadline is the timeout of their wait.
func (pool *Pool) abortExpiring(database *database, at time.Duration) {
	for _, job := range slices.Clone(database.waiting) {
		if job.isHealthCheck() {
			continue
		}
		attempt := job.attempt
		switch {
		case attempt.Deadline <= at:
			pool.abort(job, database.lastFailure.status())
		case !attempt.WriteLimit.Allows(at): // too short a wait to count as a failure of the database
			pool.abort(job, routing.NotSent)
		}
	}
}

// endBackoff ends the backoff of dials after an outcome other than a transient failure, and dials at once for the jobs
// that wait.
func (pool *Pool) endBackoff(database *database) {
	if database.resetBackoff() {
		pool.dialForWaitingJobs(database)
	}
}

// resetBackoff cancels the backoff and clears the transient failures. It reports whether dials were in backoff.
func (database *database) resetBackoff() (wasWaiting bool) {
	wasWaiting = database.retry != nil
	database.retry.Stop()
	database.retry = nil
	database.transientFailures = 0
	database.lastFailure = noDialFailure
	return wasWaiting
}
