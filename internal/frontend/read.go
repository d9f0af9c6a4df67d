package frontend

import (
	"time"

	"capercove/internal/eventloop"
	"capercove/internal/pg"
)

// arrivalResolutionTicks is the resolution of recorded arrival times, in timer ticks.
const arrivalResolutionTicks = 2

// Received implements eventloop.Socket. It buffers bytes from the client and handles the complete commands.
func (connection *clientConnection) Received(data []byte) {
	if connection.stage != stageOpen {
		return
	}
	frontend := connection.frontend
	if frontend.observer != nil {
		frontend.observer.Bytes(connection.number, data)
	}
	connection.session.Feed(data)
	arrivedAt := frontend.core.Now() - connection.timeInKernel()
	connection.arrivals.record(len(data), arrivedAt, arrivalResolutionTicks*frontend.limits.TimerTick)
	connection.markReceived()
	connection.serve()
	connection.pauseIfAhead()
}

// timeInKernel returns how long the bytes being received have waited in the kernel. The first bytes of a connection may
// have waited for the connection to be accepted, and later bytes for the end of a stall of the event loop.
func (connection *clientConnection) timeInKernel() time.Duration {
	requests := connection.frontend.core
	stalled := requests.ReadDelay(requests.Now())
	isFirst := connection.input == inputNone
	if !isFirst && stalled == 0 {
		return 0
	}
	age, known := eventloop.SinceLastData(connection.socket)
	switch {
	case !known:
		return stalled
	case !isFirst:
		return min(age, stalled)
	}
	return age
}

// serve reads as many commands as the pipeline has room for, and writes the responses that are next in order. It is
// called when bytes have arrived, when a response is complete, and when the kernel may take more output.
func (connection *clientConnection) serve() {
	if connection.serving { // a command that is answered during its submission calls serve again
		return
	}
	connection.serving = true
	defer func() { connection.serving = false }()
	for connection.stage != stageClosed {
		connection.readCommands()
		pending := len(connection.responses)
		connection.flush()
		// Commands that wait in the session behind a full pipeline must be read as soon as a written response makes
		// room, because there may be no further event to call serve.
		isWritten := len(connection.responses) < pending
		if connection.stage != stageOpen || !connection.isHeldBack || !isWritten {
			break
		}
		if !connection.hasTurn() {
			connection.recheckLater()
			break
		}
	}
	connection.followPaused()
}

// hasRoom reports whether a further command of the connection may wait for its answer. While clients' buffers fill the
// memory, the statements and the answers of a connection may only take so much.
func (connection *clientConnection) hasRoom() bool {
	if len(connection.responses) >= connection.frontend.limits.MaxPipelined {
		return false
	}
	if !connection.frontend.isShortOfMemory() {
		return true
	}
	connection.updateBuffers()
	held := &connection.buffers
	return held.Statements+held.Answers+held.Output <= bytesUnderPressure
}

// readCommands handles commands until the pipeline is full, the connection's turn is over, a command ends the
// connection, or the next message is incomplete.
func (connection *clientConnection) readCommands() {
	connection.isHeldBack = false
	for connection.stage == stageOpen {
		if !connection.hasRoom() || !connection.hasTurn() {
			connection.holdBack()
			return
		}
		command, ok := connection.session.Next()
		if !ok {
			connection.awaitMessage()
			return
		}
		connection.takeTurn(&command)
		connection.markComplete()
		connection.finishStartup()
		connection.handleCommand(command)
	}
}

// holdBack records that commands may wait in the session. If no response is pending whose completion would call serve,
// it has serve called later.
func (connection *clientConnection) holdBack() {
	connection.isHeldBack = connection.session.Buffered() > 0
	if connection.isHeldBack && len(connection.responses) == 0 {
		connection.recheckLater()
	}
}

// awaitMessage records whether the next message is incomplete or has not begun to arrive. It sets the timeout of an
// incomplete message, except for the startup message, whose timeout is already running.
func (connection *clientConnection) awaitMessage() {
	connection.arrivals.clear()
	if connection.session.Buffered() == 0 {
		connection.markComplete()
		return
	}
	if connection.place != placeStarting {
		connection.restartMessageTimeout()
	}
	connection.markPartial()
}

// restartMessageTimeout sets the timeout of an incomplete message of which bytes have just arrived. The timeout is
// limits.ReceiveTimeout from now, but at most limits.MessageTimeout from the first byte of the message.
func (connection *clientConnection) restartMessageTimeout() {
	frontend := connection.frontend
	now := frontend.core.Now()
	if connection.input != inputPartial {
		connection.partialSince = now
	}
	due := min(now+frontend.limits.ReceiveTimeout, connection.partialSince+frontend.limits.MessageTimeout)
	connection.timeout.Stop()
	connection.timeout = frontend.core.Wheel.Schedule(due, connection.abortPartialMessage)
}

// abortPartialMessage is called when an incomplete message has timed out. It sends a fatal error after the responses to
// the earlier commands, and then closes the connection.
func (connection *clientConnection) abortPartialMessage() {
	if connection.input == inputPartial && connection.stage == stageOpen {
		connection.handleCommand(connection.session.Fatal(pg.CodeProtocol, textMessageUnfinished))
		connection.flush()
	}
}
