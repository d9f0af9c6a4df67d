package backend

import (
	"context"
	"time"

	"github.com/panjf2000/gnet/v2"

	"capercove/internal/core"
	"capercove/internal/eventloop"
	"capercove/internal/pg"
	"capercove/internal/timerwheel"
	"capercove/routing"
)

// The user and the database that a startup names.
const (
	startupUser     = "capercove"
	startupDatabase = "core"
)

// connection is one connection to a database. It implements eventloop.DialedSocket. It must be used on the event loop
// only; pool and address never change, and other goroutines may read them.
type connection struct {
	pool     *Pool
	database *database
	address  string // that was dialed; database.address may have changed since
	state    connectionState
	link     *pg.Link      // parses what the database sends
	job      *job          // its statement is being written or awaits its answer; see connectionState
	lastUsed time.Duration // when it last became idle

	socket     gnet.Conn // nil until Opened
	cancelDial context.CancelFunc
	timeout    *timerwheel.Timer // covers the dial and the startup
	reader     *streamReader     // reads the socket instead of gnet while a long answer is streamed; nil otherwise
}

// transitionTo changes the state. It returns false and changes nothing if the transition is not allowed.
func (connection *connection) transitionTo(next connectionState) bool {
	if !connection.state.canTransitionTo(next) {
		return false
	}
	connection.state = next
	return true
}

// isReusable reports whether an idle connection may carry a job. If the database has closed the connection, or is about
// to, a statement written to the connection may be lost, and the pool cannot know whether it ran.
func (connection *connection) isReusable() bool {
	pool := connection.pool
	return pool.core.Now()-connection.lastUsed < pool.limits.IdleTimeout &&
		connection.isToCurrentAddress() &&
		eventloop.HasNothingToRead(connection.socket)
}

// isToCurrentAddress reports whether the connection was dialed to the database's current address.
func (connection *connection) isToCurrentAddress() bool {
	return connection.address == connection.database.address
}

// Opened implements eventloop.DialedSocket. It writes the startup message itself: if gnet wrote it, a write error would
// be lost.
func (connection *connection) Opened(socket gnet.Conn) {
	connection.socket = socket
	if !connection.transitionTo(stateStartingUp) { // closed while the event loop registered the socket
		_ = socket.Close() // gnet only queues the close and returns no error
		return
	}
	// If the write fails, Closed has been called before it returns.
	_, _ = socket.Write(pg.AppendStartup(nil, startupUser, startupDatabase))
}

// finishStartup handles the successful answer to the startup message: the connection carries a waiting job or becomes
// idle.
func (connection *connection) finishStartup() {
	connection.timeout.Stop()
	connection.transitionTo(stateIdle)
	connection.database.connecting--
	connection.release()
	connection.pool.endBackoff(connection.database)
}

// send writes the statement of a job to an idle connection. If the attempt may no longer be sent, it ends as not sent,
// and the connection is released.
func (connection *connection) send(job *job) {
	pool := connection.pool
	now := pool.core.Now()
	if !job.isHealthCheck() && !pool.core.MaySend(job.attempt) {
		pool.counters.TooLate++
		connection.release()
		pool.finish(job, routing.NotSent, nil)
		return
	}
	job.timer.Stop()
	connection.job, job.connection = job, connection
	connection.transitionTo(stateWriting)
	if job.isHealthCheck() {
		connection.sendHealthCheck(job, now)
	} else {
		connection.sendAttempt(job)
	}
}

// sendHealthCheck writes the statement of a health check and starts the timeout of its answer.
func (connection *connection) sendHealthCheck(job *job, now time.Duration) {
	pool := connection.pool
	job.timer = pool.core.Wheel.Schedule(now+pool.limits.HealthCheckTimeout, func() {
		pool.abort(job, routing.TimedOut)
	})
	connection.write(pg.AppendQuery(nil, probeStatement))
}

// sendAttempt writes the statement of an attempt with the time left until its deadline. It notifies the core if the
// whole statement has been handed to the kernel.
func (connection *connection) sendAttempt(job *job) {
	told := connection.pool.core.TellTime(job.attempt, len(job.query.Head)+len(job.query.Tail))
	connection.write(job.query.AppendWithWait(nil, told.Left))
	if connection.state == stateAwaitingAnswer && !connection.notifyWritten() {
		connection.recheckWriteLater(job, told)
	}
}

// recheckWriteLater schedules a check of an attempt whose statement waits for room in the socket. The statement begins
// at the database once its last byte has arrived, so the attempt must still be allowed then, and the database must not
// have been told too much.
func (connection *connection) recheckWriteLater(job *job, told core.TimeTold) {
	pool := connection.pool
	at := min(pool.core.Now()+pool.limits.WriteRecheckInterval, job.attempt.WriteLimit.Until)
	job.timer = pool.core.Wheel.Schedule(at, func() {
		switch {
		case connection.state != stateAwaitingAnswer: // an answer is being streamed, so the whole statement was sent
		case connection.notifyWritten():
		case pool.core.MaySendAs(job.attempt, told):
			connection.recheckWriteLater(job, told)
		default:
			pool.counters.TooLate++
			connection.abandonUnwritten(job)
		}
	})
}

// abandonUnwritten ends an attempt whose statement has not been handed to the kernel whole, and closes its connection.
func (connection *connection) abandonUnwritten(job *job) {
	status := routing.ConnectionBroken
	if connection.discardUnwritten() {
		status = routing.NotSent
	}
	connection.pool.abort(job, status)
}

// write writes a statement. If the write fails, Closed has been called before it returns, and the connection stays
// closed.
func (connection *connection) write(statement []byte) {
	_, _ = connection.socket.Write(statement) // Closed has received the error
	connection.transitionTo(stateAwaitingAnswer)
}

// release assigns the job that has waited longest to a connection that has just become idle. If no job waits, the
// connection is added to the idle ones. It is closed if it cannot be reused or the limit of idle ones is reached.
func (connection *connection) release() {
	pool, database := connection.pool, connection.database
	connection.lastUsed = pool.core.Now()
	switch {
	case connection.state == stateClosed:
	case database.member.State == routing.Gone || !connection.isToCurrentAddress():
		connection.close()
	case !eventloop.HasNothingToRead(connection.socket):
		// extra bytes after an answer must not be taken for the next answer
		pool.counters.UnexpectedInput++
		connection.close()
	case len(database.waiting) > 0:
		connection.send(database.dequeueFirst())
	case len(database.idle) >= pool.idleLimit(database):
		connection.close()
	default:
		database.idle = append(database.idle, connection)
	}
}

// detachJob removes the job from the connection that carries it, and returns the job; nil if there is none.
func (connection *connection) detachJob() *job {
	job := connection.job
	connection.job = nil
	if job != nil {
		job.connection = nil
	}
	return job
}

// close removes a connection from the pool and closes it, in any state. It does nothing if the connection is closed.
// The caller must have detached the job that the connection carries.
func (connection *connection) close() {
	wasConnecting := connection.state.isConnecting()
	if !connection.transitionTo(stateClosed) {
		return
	}
	connection.timeout.Stop()
	connection.cancelDial()
	connection.pool.connections--
	database := connection.database
	delete(database.connections, connection)
	if wasConnecting {
		database.connecting--
	}
	database.removeIdle(connection)
	if connection.reader != nil {
		connection.reader.close()
		return
	}
	if connection.socket != nil {
		connection.discardUnwritten() // gnet would write the rest of a statement whose attempt has ended
	}
	eventloop.CloseNow(connection.socket)
}
