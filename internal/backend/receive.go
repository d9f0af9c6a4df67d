package backend

import (
	"errors"

	"golang.org/x/sys/unix"

	"capercove/internal/netretry"
	"capercove/internal/pg"
	"capercove/routing"
)

// errEarlyAnswer is the error of an answer that arrives before the whole statement has been handed to the kernel. The
// rest may still be sent while the connection is closed, so the statement may run.
var errEarlyAnswer = errors.New("answer arrived before the whole statement was sent")

// Received implements eventloop.Socket. While a long answer is streamed, readStream calls it.
func (connection *connection) Received(data []byte) {
	switch connection.state {
	case stateClosed:
		return
	case stateIdle: // these bytes must not be served as the answer to the next request
		connection.pool.counters.UnexpectedInput++
		connection.close()
		return
	}
	reply, done, err := connection.link.Feed(data)
	piece := connection.link.TakeStreamedBytes()
	if connection.state == stateAwaitingAnswer {
		isWritten := connection.notifyWritten()
		hasAnswer := done || piece != nil
		if err == nil && hasAnswer && !isWritten {
			err = errEarlyAnswer
		}
	}
	if err != nil {
		connection.handleMalformedReply(err)
		return
	}
	if piece != nil && !connection.streamPiece(piece) {
		return
	}
	switch {
	case done:
		connection.handleReply(&reply)
	case connection.state == stateStreaming && connection.reader.clientReady:
		connection.reader.readNext()
	}
}

// notifyWritten reports whether the whole statement has been handed to the kernel. If it has and the job is an attempt,
// notifyWritten notifies the core. The connection must carry a job.
func (connection *connection) notifyWritten() bool {
	if connection.socket.OutboundBuffered() > 0 {
		return false
	}
	if job := connection.job; !job.isHealthCheck() {
		connection.pool.core.Written(job.attempt)
	}
	return true
}

// handleReply handles a complete reply to the startup message or to the statement of the job. After the reply to a
// statement the connection is released, or closed if it cannot be reused.
func (connection *connection) handleReply(reply *pg.Reply) {
	pool := connection.pool
	if connection.state.isConnecting() {
		if reply.Code != "" || reply.Fatal {
			pool.connectFailed(connection, routing.ConnectFailed)
			return
		}
		connection.finishStartup()
		return
	}
	job := connection.detachJob()
	status := attemptStatus(reply)
	if job.isHealthCheck() {
		status = probeStatus(reply)
	}
	if reply.Fatal || connection.state == stateStreaming {
		connection.close()
	} else {
		connection.transitionTo(stateIdle)
		connection.release()
	}
	pool.finish(job, status, reply)
}

// handleMalformedReply closes a connection whose reply cannot be parsed or cannot be the answer to its statement. The
// statement may have run. The job ends with NodeError, not ConnectionBroken, because the database is up and answers.
func (connection *connection) handleMalformedReply(err error) {
	pool := connection.pool
	pool.logBadReply(connection.database, err)
	if connection.state.isConnecting() {
		pool.connectFailed(connection, routing.ConnectFailed)
		return
	}
	job := connection.detachJob()
	connection.close()
	if job != nil {
		pool.finish(job, routing.NodeError, nil)
	}
}

// logBadReply counts a bad reply, and logs at most one per limits.LogInterval.
func (pool *Pool) logBadReply(database *database, err error) {
	pool.counters.BadReplies++
	now := pool.core.Now()
	if now-pool.badReplyLogged < pool.limits.LogInterval {
		return
	}
	pool.badReplyLogged = now
	pool.log.Warn().Err(err).Str("database", database.member.Name).
		Int64("so_far", pool.counters.BadReplies).Msg("backend: bad reply")
}

// Closed implements eventloop.Socket. It is also called when this process closes the connection, and during a write
// that fails; see connectionState.
func (connection *connection) Closed(err error) {
	switch connection.state {
	case stateClosed, stateStreaming:
		return
	case stateWriting, stateAwaitingAnswer:
		if connection.discardUnwritten() {
			connection.handleBrokenUnwritten(err)
			return
		}
	}
	connection.handleBroken(err)
}

// discardUnwritten discards the part of a statement that has not been handed to the kernel. It returns true if there is
// such a part and it will never be sent: then the statement never ran, for whatever reason the connection was closed.
// gnet would still write its buffer after Closed, so discardUnwritten shuts down the sending side of the socket. Bytes
// that the kernel already has may still reach the database.
func (connection *connection) discardUnwritten() bool {
	if connection.state != stateWriting && connection.socket.OutboundBuffered() == 0 {
		return false
	}
	err := unix.Shutdown(connection.socket.Fd(), unix.SHUT_WR)
	return err == nil || errors.Is(err, unix.ENOTCONN) // no write to a disconnected socket succeeds
}

// handleBrokenUnwritten handles a connection that was closed before the whole statement of its job was sent: the
// statement never ran. The error may be nil.
func (connection *connection) handleBrokenUnwritten(err error) {
	pool := connection.pool
	job := connection.detachJob()
	connection.close()
	status := routing.ConnectFailed
	if netretry.IsShortage(err) {
		pool.countShortage(err)
		status = routing.NotSent
	}
	pool.finish(job, status, nil)
}

// handleBroken handles a connection that was closed while it was connecting or idle, or while it carried a job whose
// statement may have run. The error may be nil.
func (connection *connection) handleBroken(err error) {
	pool := connection.pool
	if connection.state.isConnecting() {
		pool.dialFailed(connection, err)
		return
	}
	job := connection.detachJob()
	connection.close()
	if job == nil {
		return
	}
	if reply := connection.link.PartialReply(); reply.Complete && hasValue(&reply) {
		pool.finish(job, routing.OK, &reply) // the whole answer has arrived; only ReadyForQuery is missing
		return
	}
	pool.finish(job, routing.ConnectionBroken, nil)
}
