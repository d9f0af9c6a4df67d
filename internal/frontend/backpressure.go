package frontend

import (
	"context"

	"github.com/panjf2000/gnet/v2"

	"capercove/internal/eventloop"
	"capercove/internal/pg"
)

// lowMarkDivisor determines when a client that was paused is read again: when no more than
// maxInputBytes / lowMarkDivisor bytes of it wait for their turn.
const lowMarkDivisor = 2

// pressureDivisor determines when clients may send less ahead: when the buffers of all clients together hold more than
// MaxBufferedBytes / pressureDivisor.
const pressureDivisor = 4

// bytesUnderPressure is how many bytes of statements and answers a connection may have meanwhile, and take a further
// command.
const bytesUnderPressure = 32 << 10

// isShortOfMemory reports whether the buffers of all clients together are so large that each client has to be content
// with less.
func (frontend *Frontend) isShortOfMemory() bool {
	return frontend.buffers.Total() > frontend.limits.MaxBufferedBytes/pressureDivisor
}

// maxInputBytes returns how many bytes a client may send ahead of its responses.
func (frontend *Frontend) maxInputBytes() int {
	if frontend.isShortOfMemory() {
		return frontend.shareOfBuffers()
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

// updateAhead reports whether the client has sent too far ahead, so that commands of it wait: an incomplete message
// needs further bytes. Once it has, that holds down to the low mark.
func (connection *clientConnection) updateAhead() bool {
	limit := connection.frontend.maxInputBytes()
	switch unparsed := connection.session.Buffered(); {
	case !connection.isHeldBack:
		connection.isAhead = false
	case unparsed > limit:
		connection.isAhead = true
	case unparsed <= limit/lowMarkDivisor:
		connection.isAhead = false
	}
	return connection.isAhead
}

// mayPause reports whether the client is read and too far ahead.
func (connection *clientConnection) mayPause() bool {
	isReading := connection.stage == stageOpen && connection.flow == flowReading
	return isReading && connection.updateAhead()
}

// pause stops reading a client that is still too far ahead.
func (connection *clientConnection) pause() {
	if !connection.mayPause() {
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

// followPaused looks after a client that is not read: it is dropped if it has left, and read again once it is not too
// far ahead any more, or the connection is closing.
func (connection *clientConnection) followPaused() {
	if connection.flow == flowReading || connection.stage == stageClosed {
		return
	}
	if eventloop.IsClosedByPeer(connection.descriptor()) {
		connection.closeNow()
		return
	}
	if connection.flow == flowPaused && (connection.stage.isClosing() || !connection.updateAhead()) {
		connection.resume()
	}
	connection.probeDeparture()
	connection.recheckLater()
}

// departureProbeTicks is the time between two probes of a client that is not read, in timer ticks.
const departureProbeTicks = 8

// probeDeparture writes a message that clients ignore to a client that is not read. The end of its connection may lie
// behind bytes that are still in its own system, and is not seen then. But a system whose process has closed the
// connection answers any byte with a reset. Within an answer nothing may be written.
func (connection *clientConnection) probeDeparture() {
	now := connection.frontend.core.Now()
	isDue := now-connection.probedAt >= departureProbeTicks*connection.frontend.limits.TimerTick
	isWithinAnswer := len(connection.responses) > 0 && connection.responses[0].isBegun
	if !isDue || isWithinAnswer || connection.stage != stageOpen || connection.unacknowledged() > 0 {
		return
	}
	connection.probedAt = now
	connection.write(pg.AppendEncoding(nil))
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
