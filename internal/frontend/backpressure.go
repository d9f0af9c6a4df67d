package frontend

import (
	"context"

	"github.com/panjf2000/gnet/v2"

	"capercove/internal/eventloop"
)

// lowMarkDivisor determines when a client that was paused is read again: when no more than
// maxInputBytes / lowMarkDivisor bytes of it wait for their turn.
const lowMarkDivisor = 2

// pressureDivisor determines when clients may send less ahead: when the buffers of all clients together hold more than
// MaxBufferedBytes / pressureDivisor.
const pressureDivisor = 2

// maxInputBytes returns how many bytes a client may send ahead of its responses: a message in any case.
func (frontend *Frontend) maxInputBytes() int {
	if frontend.bufferedBytes > frontend.limits.MaxBufferedBytes/pressureDivisor {
		return frontend.limits.MaxMessageBytes
	}
	return frontend.limits.MaxInputBytes
}

// pauseIfAhead stops reading a client that has sent too far ahead of its responses. The pause begins on the next
// iteration of the event loop, because gnet still uses a connection whose bytes it is delivering.
func (connection *clientConnection) pauseIfAhead() {
	if !connection.mayPause() {
		return
	}
	// It fails only when the event loop ends.
	_ = connection.socket.EventLoop().Execute(context.Background(), gnet.RunnableFunc(func(context.Context) error {
		connection.pause()
		return nil
	}))
}

// updateAhead reports whether the client has sent too far ahead. Once it has, that holds down to the low mark.
func (connection *clientConnection) updateAhead() bool {
	limit := connection.frontend.maxInputBytes()
	switch unparsed := connection.session.Buffered(); {
	case unparsed > limit:
		connection.isAhead = true
	case unparsed <= limit/lowMarkDivisor:
		connection.isAhead = false
	}
	return connection.isAhead
}

// mayPause reports whether the client is too far ahead, and waits for a response: without one, only further bytes of
// the client could continue an incomplete message.
func (connection *clientConnection) mayPause() bool {
	isReading := connection.stage == stageOpen && connection.flow == flowReading
	waits := len(connection.responses) >= connection.frontend.limits.MaxPipelined
	return isReading && waits && connection.updateAhead()
}

// pause stops reading a client that is still too far ahead. A client that leaves responses unread cannot be paused:
// enforceBounds closes it if it sends on.
func (connection *clientConnection) pause() {
	if !connection.mayPause() || connection.outputBuffered() > 0 {
		return
	}
	paused, err := eventloop.Pause(connection.socket)
	if err != nil {
		connection.frontend.recordPauseFailure(err)
		return
	}
	connection.frontend.counters.Paused++
	connection.paused, connection.flow = paused, flowPaused
	connection.recheckLater()
}

// serveUnread is called in place of serve while the client is not read. A connection whose next response can be
// written, or that is closing, is read again; a client that has left is dropped.
func (connection *clientConnection) serveUnread() {
	switch {
	case connection.stage == stageClosed: // its descriptor may belong to another connection by now
		return
	case connection.paused.IsClosedByPeer():
		connection.closeNow()
	case connection.flow == flowPaused && (connection.stage.isClosing() || connection.hasOutput()):
		connection.resume()
	}
	connection.recheckLater()
}

// hasOutput reports whether bytes can be written or requested, or commands read.
func (connection *clientConnection) hasOutput() bool {
	if len(connection.responses) == 0 {
		return true
	}
	next := connection.responses[0]
	return next.state.isFinal() || len(next.bytes) > 0 || connection.isStreamPaused()
}

// resume begins to read the client again.
func (connection *clientConnection) resume() {
	connection.flow = flowResuming
	if err := connection.paused.Resume(connection); err != nil {
		connection.ResumeFailed(err)
	}
}

// ResumeFailed implements eventloop.ResumableSocket. The next recheck tries again.
func (connection *clientConnection) ResumeFailed(err error) {
	if connection.stage == stageClosed {
		return
	}
	connection.frontend.recordPauseFailure(err)
	connection.flow = flowPaused
}

// Opened implements eventloop.DialedSocket: the client is read again. What waits is served at once. The client is
// paused again if it is still too far ahead.
func (connection *clientConnection) Opened(socket gnet.Conn) {
	if connection.stage == stageClosed {
		_ = socket.Close() // gnet only queues the close and returns no error
		return
	}
	connection.paused.Close()
	connection.paused, connection.flow = nil, flowReading
	connection.socket = socket
	if connection.stage.isClosing() {
		connection.closeAfterFlush()
		return
	}
	connection.serve()
	if connection.stage != stageClosed {
		connection.resumeStreaming()
	}
	connection.pause()
}

// recordPauseFailure logs that a client could not be paused or read again, at most once per limits.LogInterval.
func (frontend *Frontend) recordPauseFailure(err error) {
	if frontend.mayLog(textPauseFailed) {
		frontend.log.Warn().Err(err).Msg("frontend: backpressure")
	}
}
