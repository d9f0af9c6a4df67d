package frontend

import (
	"time"

	"golang.org/x/sys/unix"

	"capercove/internal/eventloop"
)

// breakOff ends the connection behind a response of which only a part can be written, which is always the first one.
// The client must read nothing but the end of the connection behind that part: it would take any other byte for the
// rest of the value. All responses are therefore dropped, and no further command is read.
func (connection *clientConnection) breakOff() {
	connection.stopReading()
	connection.session.End()
	dropped := connection.dropResponses()
	connection.frontend.counters.countDropped(dropped[1:])
	connection.closeAfterFlush()
}

// dropResponses removes all responses and returns them. Their open requests end: none is sent any more.
func (connection *clientConnection) dropResponses() []*clientResponse {
	dropped := connection.responses
	connection.responses = nil
	for _, response := range dropped {
		if response.request != nil && !response.state.isFinal() {
			connection.frontend.core.ClientGone(response.request)
		}
	}
	return dropped
}

// closeAfterFlush half-closes the connection as soon as the kernel has taken all output, because closing earlier would
// drop the rest. Until then, enforceBounds closes the connection if the client does not read. A paused client is read
// again: what it still sends is dropped.
func (connection *clientConnection) closeAfterFlush() {
	connection.advanceTo(stageFlushing)
	connection.sendOutput()
	switch {
	case connection.stage == stageClosed: // the write failed
	case connection.flow != flowReading:
		connection.followPaused()
	case connection.output.size == 0:
		connection.halfClose()
	default:
		connection.enforceBounds()
	}
}

// halfClose shuts down the sending side of the connection, and lingers until it can be closed without a loss. It is
// called when the kernel has taken all output. Until the close, bytes from the client are read and dropped.
func (connection *clientConnection) halfClose() {
	if connection.stage >= stageHalfClosed {
		return
	}
	connection.advanceTo(stageHalfClosed)
	connection.timeout.Stop()
	// An error means that the client has closed the connection. The event loop or the timeout then closes it here too.
	_ = unix.Shutdown(connection.socket.Fd(), unix.SHUT_WR)
	connection.halfClosedAt = connection.frontend.core.Now()
	connection.linger()
}

// linger closes the connection when the client has received everything and has had limits.RejectionTimeout to close its
// side, or when lingerLimit is over. The client's own close ends the connection earlier. A close while bytes
// of the client are unread or still arriving sends a reset, and the kernel then drops everything that the client has
// not received.
func (connection *clientConnection) linger() {
	frontend := connection.frontend
	now := frontend.core.Now()
	end := connection.halfClosedAt + connection.lingerLimit()
	if now >= end {
		connection.recordForcedClose(textResponseUnread)
		connection.closeNow()
		return
	}
	if connection.unacknowledged() > 0 {
		next := min(now+recheckTicks*frontend.limits.TimerTick, end)
		connection.timeout = frontend.core.Wheel.Schedule(next, connection.linger)
		return
	}
	connection.timeout = frontend.core.Wheel.Schedule(now+frontend.limits.RejectionTimeout, connection.closeNow)
}

// lingerLimit returns how long the connection may wait for the client to receive everything. Few connections may linger
// outside the table, and their clients are owed no answer but an error.
func (connection *clientConnection) lingerLimit() time.Duration {
	if connection.place == placeLingering {
		return connection.frontend.limits.RejectionTimeout
	}
	return connection.frontend.limits.LingerTimeout
}

// closeNow closes the connection at once: Closed has been called when closeNow returns. It does nothing if the
// connection is closed already.
func (connection *clientConnection) closeNow() {
	switch {
	case connection.stage == stageClosed:
	case connection.flow != flowReading:
		connection.paused.Close()
		connection.Closed(nil)
	default:
		eventloop.CloseNow(connection.socket)
	}
}

// Closed implements eventloop.Socket. It stops the timers of the connection, removes it from the table and cancels its
// open requests. Any write to the connection may call Closed before the write returns.
func (connection *clientConnection) Closed(error) {
	if connection.stage == stageClosed {
		return
	}
	connection.advanceTo(stageClosed)
	connection.timeout.Stop()
	connection.recheck.Stop()
	connection.output = outputQueue{}
	connection.setBuffers(Buffers{})
	frontend := connection.frontend
	frontend.counters.Closed++
	if frontend.observer != nil {
		frontend.observer.Closed(connection.number)
	}
	frontend.table.move(connection, placeNone)
	connection.dropResponses()
}
