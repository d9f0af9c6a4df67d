package frontend

import "time"

// recheckTicks is the delay, in timer ticks, after which recheckLater serves a connection again.
const recheckTicks = 2

// maxRecheckTicks is the longest delay, for a client that reads nothing.
const maxRecheckTicks = 16

// enforceBounds closes the connection if its client does not read its responses. While the buffers of all connections
// together are too large, it also relieves the memory, which may close this connection or another one.
func (connection *clientConnection) enforceBounds() {
	frontend := connection.frontend
	connection.updateBuffers()
	frontend.relieveMemory()
	if connection.stage == stageClosed {
		return
	}
	now, unsent := frontend.core.Now(), connection.output.size
	if unsent != connection.unsentBytes {
		connection.unsentBytes, connection.unsentChangedAt = unsent, now
		connection.idleRechecks = 0
	}
	hasStalled := unsent > 0 && now-connection.unsentChangedAt > frontend.limits.SendTimeout
	switch {
	case hasStalled:
		connection.recordForcedClose(textResponseUnread)
		connection.closeNow()
	case unsent > 0 || connection.isStreamPaused():
		connection.recheckLater()
	}
}

// recheckLater schedules a check of the connection, unless one is scheduled already: it is served, or closed further if
// it is closing. Such polling is needed because the event loop does not report when the kernel takes more output. The
// checks of a client that takes no output become rarer.
func (connection *clientConnection) recheckLater() {
	if connection.recheck != nil || connection.stage == stageClosed {
		return
	}
	frontend := connection.frontend
	ticks := recheckTicks
	if connection.output.size > 0 {
		ticks = min(recheckTicks<<connection.idleRechecks, maxRecheckTicks)
		connection.idleRechecks = min(connection.idleRechecks+1, maxRecheckTicks)
	}
	at := frontend.core.Now() + time.Duration(ticks)*frontend.limits.TimerTick
	connection.recheck = frontend.core.Wheel.Schedule(at, connection.checkAgain)
}

// checkAgain is called when the delay of recheckLater is over.
func (connection *clientConnection) checkAgain() {
	connection.recheck = nil
	if connection.stage.isClosing() {
		connection.closeAfterFlush()
		return
	}
	connection.serve()
	connection.pauseIfAhead()
	if connection.stage != stageClosed {
		connection.resumeStreaming()
	}
}
