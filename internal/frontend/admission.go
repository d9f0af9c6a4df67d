package frontend

import (
	"time"

	"github.com/panjf2000/gnet/v2"

	"capercove/internal/eventloop"
	"capercove/internal/limits"
	"capercove/internal/pg"
)

// idleChecksPerTimeout is how many times closeIdle runs within limits.IdleTimeout.
const idleChecksPerTimeout = 32

// manyStartingDivisor determines when a connection in its startup may be evicted at once: when more than
// MaxStarting / manyStartingDivisor connections are in their startup. With so many, most clients probably never send
// their startup message.
const manyStartingDivisor = 4

// Accept admits or rejects a client's connection, and returns its eventloop.Socket. The event loop calls it.
func (frontend *Frontend) Accept(socket gnet.Conn) eventloop.Socket {
	connection := &clientConnection{
		frontend: frontend,
		socket:   socket,
		loop:     socket.EventLoop(),
		session:  pg.NewSession(frontend.limits.MaxMessageBytes),
	}
	// The event loop sets the context only after Accept returns. A write within Accept may fail, and gnet calls
	// Closed through the context.
	socket.SetContext(connection)
	if frontend.makeRoom() {
		frontend.admit(connection)
	} else {
		frontend.reject(connection)
	}
	return connection
}

// makeRoom reports whether there is room for one more connection. If too many connections are in their startup, it
// evicts the one of them that has been idle for the longest; if the table is full, it evicts any connection. If no
// connection may be evicted, there is no room.
func (frontend *Frontend) makeRoom() bool {
	switch {
	case frontend.table.starting >= frontend.limits.MaxStarting:
		return frontend.evict((*clientConnection).isStarting)
	case frontend.table.size() >= frontend.limits.MaxConnections:
		return frontend.evict((*clientConnection).isAny)
	}
	return true
}

// isStarting reports whether the connection is in its startup.
func (connection *clientConnection) isStarting() bool { return connection.place == placeStarting }

// isAny is true for each connection.
func (*clientConnection) isAny() bool { return true }

// LimitConnections sets the maximum size of the table to its present size plus more, but at most to
// bounds.MaxConnections.
func (frontend *Frontend) LimitConnections(bounds limits.Frontend, more int) {
	frontend.limits.MaxConnections = min(bounds.MaxConnections, frontend.table.size()+more)
}

// ConnectionCount returns the number of connections in the table.
func (frontend *Frontend) ConnectionCount() int { return frontend.table.size() }

// admit adds a connection to the table and starts its startup timeout.
func (frontend *Frontend) admit(connection *clientConnection) {
	frontend.counters.Accepted++
	frontend.lastConnection++
	connection.number = frontend.lastConnection
	connection.lastUse = frontend.core.Now()
	if frontend.draining {
		connection.drain = drainAfterQuery
	}
	frontend.table.move(connection, placeStarting)
	connection.beginStartup()
}

// reject sends a client the error that there are too many connections, and closes its connection.
func (frontend *Frontend) reject(connection *clientConnection) {
	frontend.counters.Rejected++
	frontend.recordBadInput(textTooManyConnections)
	connection.stopReading()
	mayLinger := frontend.mayLinger()
	frontend.table.move(connection, placeLingering)
	connection.write(pg.AppendError(nil, pg.SeverityFatal, pg.CodeTooManyConnections, textTooManyConnections, ""))
	switch {
	case connection.stage == stageClosed: // the write failed
	case mayLinger:
		connection.halfClose()
	default:
		connection.closeNow()
	}
}

// mayLinger reports whether one more connection may stay half-closed outside the table.
func (frontend *Frontend) mayLinger() bool {
	return frontend.table.lingering < frontend.limits.MaxRejecting
}

// evict closes, among the candidates, the connection that has been idle for the longest, and reports whether there was
// one to evict. Without eviction, clients that send one request and stay connected, or connect and send nothing, would
// fill the table and block all new clients.
func (frontend *Frontend) evict(isCandidate func(*clientConnection) bool) bool {
	oldest := frontend.longestIdle(isCandidate)
	if oldest == nil {
		return false
	}
	frontend.counters.Evicted++
	if frontend.mayLinger() {
		frontend.table.move(oldest, placeLingering)
		oldest.halfClose()
	} else {
		oldest.closeNow()
	}
	return true
}

// longestIdle returns, among the candidates that may be evicted, the one that has been idle for the longest. It returns
// nil if none may be evicted.
func (frontend *Frontend) longestIdle(isCandidate func(*clientConnection) bool) *clientConnection {
	now := frontend.core.Now()
	var oldest *clientConnection
	for connection := range frontend.table.entries {
		if !isCandidate(connection) || now-connection.lastUse < frontend.minIdleToEvict(connection) {
			continue
		}
		isOlder := oldest == nil || connection.lastUse < oldest.lastUse
		if isOlder && connection.isIdle() {
			oldest = connection
		}
	}
	return oldest
}

// minIdleToEvict returns how long a connection must have been idle before it may be evicted.
func (frontend *Frontend) minIdleToEvict(connection *clientConnection) time.Duration {
	isStarting := connection.isStarting()
	manyStarting := frontend.table.starting > frontend.limits.MaxStarting/manyStartingDivisor
	switch {
	case connection.stage.isClosing(), connection.sentBadInput, isStarting && manyStarting:
		return 0
	case isStarting:
		return frontend.limits.StartingIdleTimeout
	}
	return frontend.limits.IdleTimeout
}

// closeIdle closes connections that have been idle for too long, until limits.MinIdle open connections are left. It
// then schedules its next run. Otherwise clients that send one request and stay connected may reach another limit on
// the number of connections long before the table is full.
func (frontend *Frontend) closeIdle() {
	now := frontend.core.Now()
	timeout := frontend.limits.IdleTimeout
	if frontend.table.started() > frontend.limits.HighWaterMark {
		timeout = frontend.limits.HighWaterIdleTimeout
	}
	open := frontend.openConnections()
	for connection := range frontend.table.entries {
		if open <= frontend.limits.MinIdle {
			break
		}
		if connection.place == placeStarting || connection.stage.isClosing() {
			continue
		}
		if connection.isIdleFor(timeout, now) {
			frontend.counters.Expired++
			open--
			connection.closeAfterFlush()
		}
	}
	frontend.core.Wheel.Schedule(now+frontend.limits.IdleTimeout/idleChecksPerTimeout, frontend.closeIdle)
}

// openConnections returns the number of connections in the table that are not closing.
func (frontend *Frontend) openConnections() int {
	open := 0
	for connection := range frontend.table.entries {
		if !connection.stage.isClosing() {
			open++
		}
	}
	return open
}
