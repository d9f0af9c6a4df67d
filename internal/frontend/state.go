package frontend

import "fmt"

// closeStage is how far the close of a connection has progressed. A connection passes through the stages in this order.
// It may skip stages, but never returns to an earlier one.
//
// The functions that advance the stage, the stages in which each is called, and when:
//
//	stopReading      open               a command or an error ends the connection, the connection is rejected, or a
//	                                    response breaks off
//	closeAfterFlush  open, lastCommand  the last response is written, a response breaks off, the connection is idle,
//	                                    or the frontend drains or stops; called again while flushing, until all
//	                                    output has been sent
//	halfClose        all before         closeAfterFlush, when all output has been sent; a rejection or an eviction
//	Closed           all                either side has closed the connection; also during one of the other functions,
//	                                    since a failed write calls Closed before it returns
//
// The stage is independent of the place (see place), with two exceptions. In placeLingering a connection is never open,
// and is in lastCommand only while its rejection is written. In placeNone it is either open, during Accept, or closed.
type closeStage uint8

const (
	// stageOpen: commands are read.
	stageOpen closeStage = iota
	// stageLastCommand: no further command is read; the responses to the commands so far are written.
	stageLastCommand
	// stageFlushing: the connection is half-closed as soon as all output has been sent. Nothing is added to the output.
	stageFlushing
	// stageHalfClosed: the sending side is shut down. The client receives what is left, and is expected to close its
	// side; see linger. Bytes that arrive are read and dropped.
	stageHalfClosed
	// stageClosed: no bytes are written or read, and no timer runs.
	stageClosed
)

// String implements fmt.Stringer.
func (stage closeStage) String() string {
	switch stage {
	case stageOpen:
		return "open"
	case stageLastCommand:
		return "last command"
	case stageFlushing:
		return "flushing"
	case stageHalfClosed:
		return "half-closed"
	case stageClosed:
		return "closed"
	}
	return fmt.Sprintf("closeStage(%d)", uint8(stage))
}

// isClosing reports whether the sending side is shut down, or will be as soon as all output has been sent.
func (stage closeStage) isClosing() bool { return stage >= stageFlushing }

// advanceTo sets the stage, unless the connection is in a later one already.
func (connection *clientConnection) advanceTo(to closeStage) {
	connection.stage = max(connection.stage, to)
}

// stopReading stops the reading of further commands.
func (connection *clientConnection) stopReading() { connection.advanceTo(stageLastCommand) }

// inputState is whether a message of the client is incomplete. It is independent of the closeStage: a connection may be
// closed while a message is incomplete.
type inputState uint8

const (
	// inputNone: no bytes have arrived.
	inputNone inputState = iota
	// inputComplete: bytes have arrived, and no message is known to be incomplete.
	inputComplete
	// inputPartial: the client's last message is incomplete, and its timeout is running. For the startup message, that
	// is the startup timeout.
	inputPartial
)

// String implements fmt.Stringer.
func (input inputState) String() string {
	switch input {
	case inputNone:
		return "none"
	case inputComplete:
		return "complete"
	case inputPartial:
		return "partial"
	}
	return fmt.Sprintf("inputState(%d)", uint8(input))
}

// markReceived records that bytes have arrived.
func (connection *clientConnection) markReceived() {
	if connection.input == inputNone {
		connection.input = inputComplete
	}
}

// markComplete records that no message is incomplete.
func (connection *clientConnection) markComplete() {
	if connection.input == inputPartial {
		connection.input = inputComplete
	}
}

// markPartial records that a message is incomplete.
func (connection *clientConnection) markPartial() { connection.input = inputPartial }

// inputFlow is whether the client's bytes are read. While they are not, the connection is neither idle nor between
// requests: bytes of the client wait for their turn. Responses are written all the same.
type inputFlow uint8

const (
	// flowReading: the event loop serves the connection.
	flowReading inputFlow = iota
	// flowPaused: the client's bytes wait in the kernel, since it has sent too far ahead of its responses.
	flowPaused
	// flowResuming: like flowPaused, but the event loop is about to serve the connection again.
	flowResuming
)

// String implements fmt.Stringer.
func (flow inputFlow) String() string {
	switch flow {
	case flowReading:
		return "reading"
	case flowPaused:
		return "paused"
	case flowResuming:
		return "resuming"
	}
	return fmt.Sprintf("inputFlow(%d)", uint8(flow))
}

// drainRule determines when a draining frontend may close a connection.
type drainRule uint8

const (
	// drainBetweenRequests: whenever the connection is between requests. This rule applies to a connection that was
	// admitted before the drain or has sent a query, and to all connections when the frontend stops.
	drainBetweenRequests drainRule = iota
	// drainAfterQuery: only after the first query. A client whose query meets a closed connection retries it on a new
	// connection, but perhaps only once. The first query on a connection that was opened during the drain may be that
	// retry.
	drainAfterQuery
)

// String implements fmt.Stringer.
func (rule drainRule) String() string {
	switch rule {
	case drainBetweenRequests:
		return "between requests"
	case drainAfterQuery:
		return "after a query"
	}
	return fmt.Sprintf("drainRule(%d)", uint8(rule))
}

// allowDrain permits a draining frontend to close the connection whenever it is between requests.
func (connection *clientConnection) allowDrain() { connection.drain = drainBetweenRequests }
