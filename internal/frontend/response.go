package frontend

import (
	"fmt"
	"time"

	"capercove/internal/core"
	"capercove/internal/eventloop"
	"capercove/internal/pg"
)

// responseState is how far a response has progressed.
//
//	pending -> streaming -> complete   a streamed answer
//	pending -> complete                an answer that arrives as a whole
//	complete, last                     initial states of a command that needs no request
//
// A streamed answer that breaks off has no final state: breakOff removes its response with all later ones.
type responseState uint8

const (
	// responsePending: the request has no final answer, and nothing of the response has been written.
	responsePending responseState = iota
	// responseStreaming: the request has no final answer, and a part of the response has been written.
	responseStreaming
	// responseComplete: no bytes will be added.
	responseComplete
	// responseLast: no bytes will be added, and the connection is closed after the response.
	responseLast
)

// String implements fmt.Stringer.
func (state responseState) String() string {
	switch state {
	case responsePending:
		return "pending"
	case responseStreaming:
		return "streaming"
	case responseComplete:
		return "complete"
	case responseLast:
		return "last"
	}
	return fmt.Sprintf("responseState(%d)", uint8(state))
}

// isFinal reports whether no bytes will be added to the response.
func (state responseState) isFinal() bool { return state >= responseComplete }

// clientResponse is the response to one command. It implements core.Client, core.StreamingClient and
// core.DepartureDetector for the request.
type clientResponse struct {
	connection *clientConnection
	request    *core.Request // nil for a command that needs none
	state      responseState
	bytes      []byte // not written yet
	isBegun    bool   // a part was written; the state does not tell that of a final response
	// statementBytes is the length of the request's statement, which the request holds until its final answer.
	statementBytes int
	// more requests the next piece of a streamed answer, and may be called once. It is set while the stream is paused,
	// and nil otherwise: see Piece.
	more func()
}

var (
	_ core.StreamingClient   = (*clientResponse)(nil)
	_ core.DepartureDetector = (*clientResponse)(nil)
)

// awaitAnswer marks the response as pending until the final answer to a request.
func (response *clientResponse) awaitAnswer(request *core.Request) {
	response.state = responsePending
	response.request = request
}

// Served implements core.Client. It forwards the rows as the database sent them, or the rest of a streamed answer.
func (response *clientResponse) Served(answer []byte) {
	response.complete(responseComplete, pg.AppendReady(append(response.bytes, answer...)))
}

// Rejected implements core.Client. The client receives an error that says that nothing was run and when to retry.
func (response *clientResponse) Rejected(after time.Duration) {
	response.completeWithError(pg.AppendRejection(nil, after))
}

// Failed implements core.Client. The client receives an error.
func (response *clientResponse) Failed(reason core.Failure) {
	response.completeWithError(failureMessage(reason))
}

// failureMessage returns the error that a client receives for a request that failed.
func failureMessage(reason core.Failure) []byte {
	switch reason {
	case core.DeadlineExceeded:
		return pg.AppendFailure(nil, pg.CodeQueryCanceled, "no answer in time; it may have run")
	case core.Unusable:
		return pg.AppendFailure(nil, pg.CodeSyntax, "the databases cannot use the statement")
	}
	return pg.AppendFailure(nil, pg.CodeSystemError, "failed; it may have run")
}

// completeWithError completes the response with an error. If a part of the answer has been written already, the
// connection ends without the error, because the client would take the error for the rest of the value.
func (response *clientResponse) completeWithError(message []byte) {
	if response.state == responseStreaming {
		response.connection.breakOff()
		return
	}
	response.complete(responseComplete, message)
}

// HasLeft implements core.DepartureDetector. It reports whether the client has closed its connection, even if the event
// loop has not read the close yet.
func (response *clientResponse) HasLeft() bool {
	connection := response.connection
	return connection.stage == stageClosed || eventloop.IsClosedByPeer(connection.descriptor())
}

// complete sets the final state of the response and the rest of its bytes. If the response is next in order, it is
// written, which may make room in the pipeline.
func (response *clientResponse) complete(state responseState, rest []byte) {
	response.state = state
	response.bytes = rest
	response.more = nil
	if response.isNext() {
		response.connection.serve()
	}
}

// isNext reports whether the response is next in order: all responses before it have been written.
func (response *clientResponse) isNext() bool {
	responses := response.connection.responses
	return len(responses) > 0 && responses[0] == response
}

// flush writes the responses that are next in order. It closes the connection after its last response, and also if the
// frontend is draining and the connection is between requests.
func (connection *clientConnection) flush() {
	if connection.stage.isClosing() {
		return
	}
	isLast := connection.writeResponses()
	if connection.stage == stageClosed { // a write failed
		return
	}
	if isLast || (connection.mayDrain() && connection.isBetweenRequests()) {
		connection.closeAfterFlush()
		return
	}
	connection.enforceBounds()
}

// writeResponses writes the responses that are next in order for as long as the kernel takes all that it is given. The
// others keep their places in the pipeline, so that a client that does not read is not read either. It reports whether
// the connection's last response has been written.
func (connection *clientConnection) writeResponses() (isLast bool) {
	for {
		connection.sendOutput()
		if connection.stage == stageClosed || connection.output.size > 0 {
			return false
		}
		output, isLast := connection.takeOutput()
		if len(output) > 0 {
			connection.lastUse = connection.frontend.core.Now()
			connection.write(output)
		}
		if isLast || len(output) == 0 {
			return isLast
		}
	}
}

// outputBatchBytes is the length from which responses are written without waiting for further ones.
const outputBatchBytes = 16 << 10

// takeOutput removes the final responses that are next in order, up to the connection's last response or a batch, and
// returns their bytes. It also returns the available bytes of the first response that is not final, but does not remove
// that response.
func (connection *clientConnection) takeOutput() (output []byte, isLast bool) {
	for len(connection.responses) > 0 && len(output) < outputBatchBytes {
		response := connection.responses[0]
		output = appendOwned(output, response.takeBytes())
		if !response.state.isFinal() {
			return output, false
		}
		connection.responses[0] = nil // releases the request, whose statement it holds
		connection.responses = connection.responses[1:]
		if response.state == responseLast {
			return output, true
		}
	}
	return output, false
}

// appendOwned appends bytes. If there are none yet, it returns the appended ones themselves.
func appendOwned(output, more []byte) []byte {
	if len(output) == 0 {
		return more
	}
	return append(output, more...)
}

// takeBytes returns the bytes that are not written yet, and treats them as written from then on.
func (response *clientResponse) takeBytes() []byte {
	bytes := response.bytes
	response.bytes = nil
	response.isBegun = response.isBegun || len(bytes) > 0
	if response.state == responsePending && response.isBegun {
		response.state = responseStreaming
	}
	return bytes
}
