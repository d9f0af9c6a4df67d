package frontend

import "capercove/internal/eventloop"

// Drain closes the connections that are between requests, and every other connection as soon as it is between requests.
// A connection that is accepted while draining is closed after its first query.
func (frontend *Frontend) Drain() {
	frontend.draining = true
	for connection := range frontend.table.entries {
		if !connection.stage.isClosing() && connection.isBetweenRequests() {
			connection.closeAfterFlush()
		}
	}
}

// AllAnswered reports whether all responses have been sent and no client has unread or unanswered input. For
// connections in their startup and closing ones, only unsent output counts.
func (frontend *Frontend) AllAnswered() bool {
	for connection := range frontend.table.entries {
		if connection.output.size > 0 {
			return false
		}
		if connection.stage.isClosing() || !connection.session.Started() {
			continue
		}
		if !connection.isBetweenRequests() {
			return false
		}
	}
	return true
}

// Stop closes each connection when its responses have been sent. The function answerAll must make the core answer all
// open requests and reject all requests that are submitted later: those that have been read but not submitted, and
// those on connections that were accepted when the listener was closed. No further request is forwarded, because its
// answer would be lost when the process ends.
func (frontend *Frontend) Stop(answerAll func()) {
	frontend.draining = true
	answerAll()
	for connection := range frontend.table.entries {
		if !connection.stage.isClosing() {
			connection.stop()
		}
	}
}

// stop closes the connection once all unread requests have been rejected and all responses have been sent.
func (connection *clientConnection) stop() {
	connection.serve()
	switch {
	case connection.stage.isClosing():
	case !connection.hasNothingToHandle():
		// Unread requests are rejected when they are read, and flush then closes the connection.
		connection.allowDrain()
		connection.recheckLater()
	default:
		connection.closeAfterFlush()
	}
}

// hasNothingToHandle reports whether the client has taken all output and sent nothing that is not read yet.
func (connection *clientConnection) hasNothingToHandle() bool {
	return connection.flow == flowReading && connection.output.size == 0 &&
		eventloop.HasNothingToRead(connection.socket)
}

// mayDrain reports whether the connection is to be closed as soon as it is between requests.
func (connection *clientConnection) mayDrain() bool {
	return connection.frontend.draining && connection.drain == drainBetweenRequests
}

// AllClosed reports whether no connection is left, neither in the table nor lingering.
func (frontend *Frontend) AllClosed() bool {
	return frontend.table.size() == 0 && frontend.table.lingering == 0
}
