package frontend

import (
	"time"

	"github.com/panjf2000/gnet/v2"

	"capercove/internal/eventloop"
	"capercove/internal/pg"
	"capercove/internal/timerwheel"
)

// clientConnection is one connection of a client. It implements eventloop.Socket.
type clientConnection struct {
	frontend *Frontend
	number   uint64    // from 1, in the order of admission; 0 if it was rejected
	socket   gnet.Conn // not to be used unless flow is flowReading; see descriptor
	loop     gnet.EventLoop
	session  *pg.Session

	// The state of the connection, in fields that are independent of each other.
	place        place
	stage        closeStage
	input        inputState
	flow         inputFlow
	drain        drainRule
	sentBadInput bool // the connection may be evicted without having been idle
	serving      bool // serve is running and must not be entered recursively
	isAhead      bool // the client has sent too far ahead of its responses; see updateAhead
	isHeldBack   bool // commands may have arrived that wait for room in the pipeline or for a turn
	turn         turn // commands of this connection
	recentWork   recentWork

	paused   *eventloop.Paused // nil if flow is flowReading
	probedAt time.Duration     // when probeDeparture last wrote

	responses []*clientResponse // in command order; those that are not final or not written yet
	arrivals  arrivals          // arrival times of the bytes that the session buffers
	lastUse   time.Duration     // time of admission or of the last response, or later while isReceiving

	isReceiving bool // the client had not received everything when isIdle was last called

	timeout      *timerwheel.Timer // of the startup or of an incomplete message; the next call of linger
	partialSince time.Duration     // when the first bytes of the incomplete message were read
	recheck      *timerwheel.Timer // set by recheckLater; nil otherwise

	output          outputQueue
	buffers         Buffers       // when updateBuffers last ran
	unsentBytes     int           // size of the output, when enforceBounds last ran
	unsentChangedAt time.Duration // when unsentBytes last changed
	idleRechecks    int           // calls of recheckLater since then
	halfClosedAt    time.Duration // when the sending side was shut down
}

// descriptor returns the descriptor of the socket, whether or not it is read. The connection must not be closed.
func (connection *clientConnection) descriptor() int {
	if connection.paused != nil {
		return connection.paused.Descriptor()
	}
	return connection.socket.Fd()
}

// hasNoRequest reports whether all responses have been written and the client has sent nothing that is not handled yet.
// The client may not have received all of the responses.
func (connection *clientConnection) hasNoRequest() bool {
	return len(connection.responses) == 0 && connection.session.Buffered() == 0 && connection.hasNothingToHandle()
}

// isIdle reports whether the connection has no request and the client has received everything. While the client is
// still receiving, isIdle restarts the idle time.
func (connection *clientConnection) isIdle() bool {
	if connection.flow != flowReading {
		return false
	}
	connection.isReceiving = connection.unacknowledged() > 0
	if connection.isReceiving {
		connection.lastUse = connection.frontend.core.Now()
		return false
	}
	return connection.hasNoRequest()
}

// unacknowledged returns the number of bytes that the client's system has not confirmed.
func (connection *clientConnection) unacknowledged() int {
	return connection.output.size + eventloop.SendQueue(connection.descriptor())
}

// isIdleFor reports whether the connection has been idle for a time. It keeps the idle time of a client that is still
// receiving up to date.
func (connection *clientConnection) isIdleFor(span, now time.Duration) bool {
	isDue := now-connection.lastUse >= span
	if !isDue && !connection.isReceiving {
		return false
	}
	return connection.isIdle() && isDue
}

// isBetweenRequests reports whether the connection has finished its startup and has no request. It may then be closed
// by halfClose, which waits until the client has received everything.
func (connection *clientConnection) isBetweenRequests() bool {
	return connection.session.Started() && connection.hasNoRequest()
}
