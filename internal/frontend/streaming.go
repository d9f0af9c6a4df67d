package frontend

// streamBuffersDivisor determines how far streamed answers may fill the buffers of all clients: up to
// MaxBufferedBytes / streamBuffersDivisor. The rest is reserved for other answers and for input.
const streamBuffersDivisor = 2

// Piece implements core.StreamingClient. It writes a piece of a streamed answer, or buffers the piece until the
// response is next in order. If the client's buffers are full, it returns false and calls more once as soon as they
// have room.
func (response *clientResponse) Piece(data []byte, more func()) bool {
	connection := response.connection
	response.bytes = append(response.bytes, data...)
	if response.isNext() {
		connection.flush()
	}
	if len(response.bytes) == 0 && connection.hasRoomForPiece() {
		return true
	}
	response.more = more
	connection.recheckLater()
	return false
}

// hasRoomForPiece reports whether the client has read enough of the previous pieces, and whether the total size of the
// buffers permits a further piece.
func (connection *clientConnection) hasRoomForPiece() bool {
	limits := &connection.frontend.limits
	return connection.stage != stageClosed && connection.output.size <= limits.StreamChunkBytes &&
		connection.frontend.buffers.Total() <= limits.MaxBufferedBytes/streamBuffersDivisor
}

// isStreamPaused reports whether the response that is next in order is a stream that is paused until there is room.
func (connection *clientConnection) isStreamPaused() bool {
	return len(connection.responses) > 0 && connection.responses[0].more != nil
}

// resumeStreaming requests the next piece of a paused stream if there is room for it, and otherwise checks again later.
func (connection *clientConnection) resumeStreaming() {
	if !connection.isStreamPaused() {
		return
	}
	response := connection.responses[0]
	if len(response.bytes) > 0 || !connection.hasRoomForPiece() {
		connection.recheckLater()
		return
	}
	more := response.more
	response.more = nil
	more()
}
