package frontend

import (
	"time"

	"capercove/internal/eventloop"
	"capercove/internal/pg"
)

// pauseReadingDivisor determines when a connection's commands are no longer read: when more than
// MaxOutputBytes / pauseReadingDivisor bytes are unsent because the client does not read its responses.
const pauseReadingDivisor = 4

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
// called when bytes have arrived, when a response is complete, and when gnet may have sent more of its output buffer.
func (connection *clientConnection) serve() {
	if connection.flow != flowReading {
		connection.serveUnread()
		return
	}
	if connection.serving { // a command that is answered during its submission calls serve again
		return
	}
	connection.serving = true
	defer func() { connection.serving = false }()
	if connection.stage != stageClosed && connection.leavesTooMuchUnread() {
		connection.enforceBounds() // schedules the next call of serve
		return
	}
	for {
		connection.readCommands()
		pending := len(connection.responses)
		connection.flush()
		// Commands that wait in the session behind a full pipeline must be read as soon as a written response makes
		// room, because there may be no further event to call serve.
		wasFull := pending == connection.frontend.limits.MaxPipelined
		hasRoom := len(connection.responses) < pending
		if connection.stage != stageOpen || !wasFull || !hasRoom {
			return
		}
	}
}

// leavesTooMuchUnread reports whether the client must read more of its responses before further commands are read.
func (connection *clientConnection) leavesTooMuchUnread() bool {
	maxUnread := connection.frontend.limits.MaxOutputBytes / pauseReadingDivisor
	return connection.outputBuffered() > maxUnread
}

// readCommands handles commands until the pipeline is full, a command ends the connection, or the next message is
// incomplete.
func (connection *clientConnection) readCommands() {
	for connection.stage == stageOpen && len(connection.responses) < connection.frontend.limits.MaxPipelined {
		command, ok := connection.session.Next()
		if !ok {
			connection.awaitMessage()
			return
		}
		connection.markComplete()
		connection.finishStartup()
		connection.handleCommand(command)
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
