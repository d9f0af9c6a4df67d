package pg

import "encoding/binary"

// Link is the client side of one database connection. Its owner feeds it the bytes that the database sends. Only one
// query may be in flight at a time. It is not safe for concurrent use.
type Link struct {
	input        framer
	streamAbove  int // length of a value above which its row is streamed instead of buffered, in bytes
	maxValue     int // maximum length of a value, in bytes
	state        linkState
	reply        Reply  // the part of the current reply that has arrived
	rowBytesLeft int    // bytes of the streamed row that have not arrived yet
	piece        []byte // bytes of the streamed row that Piece has not returned yet
}

// NewLink returns a link that buffers messages of up to maxMessage bytes, streams rows with a value of more than
// streamAbove bytes and accepts values of up to maxValue bytes. A row that does not fit into maxMessage is streamed
// too.
func NewLink(maxMessage, streamAbove, maxValue int) *Link {
	return &Link{
		input:       framer{limit: maxMessage},
		streamAbove: min(streamAbove, maxMessage-rowOverhead),
		maxValue:    maxValue,
	}
}

// rowOverhead is the part of the length of a DataRow with one column that is not its value, in bytes.
const rowOverhead = lengthBytes + rowBodyBytes

// TakeStreamedBytes returns the bytes of a streamed row that have arrived since the last call, nil if there are none.
// The first piece begins with the messages that precede the row in the reply. The caller owns the bytes.
func (l *Link) TakeStreamedBytes() []byte {
	piece := l.piece
	l.piece = nil
	return piece
}

// SkipStartup skips the startup phase, for a connection that has completed it already.
func (l *Link) SkipStartup() {
	if l.state == linkStarting {
		l.state = linkIdle
	}
}

// PartialReply returns the part of the current reply that has arrived, for a connection that has ended.
func (l *Link) PartialReply() Reply { return l.reply }

// progress is the result of one step of reading.
type progress uint8

const (
	needsBytes    progress = iota // the buffer does not hold enough bytes for another step
	consumedBytes                 // bytes were read, and the buffer may hold more
	replyEnded                    // the last message of a reply was read
)

// Feed reads bytes and returns the reply that they complete, if any. After an error the connection cannot be used any
// more. Bytes after the end of a reply make the reply Fatal, since they must not be taken for the answer to the next
// query.
func (l *Link) Feed(data []byte) (reply Reply, done bool, err error) {
	l.input.feed(data)
	for {
		step, err := l.step()
		switch {
		case err != nil || step == needsBytes:
			return Reply{}, false, err
		case step == replyEnded:
			return l.takeReply(), true, nil
		}
	}
}

// step reads one message or part of a streamed row.
func (l *Link) step() (progress, error) {
	if l.state == linkStreaming {
		return l.streamRow(), nil
	}
	if length, long := l.longRow(); long {
		return l.beginStreaming(length)
	}
	message, complete, err := l.input.nextTyped()
	if err != nil || !complete {
		return needsBytes, err
	}
	return l.handleMessage(message)
}

// takeReply returns the reply and resets the link for the next one. A connection that failed at startup stays starting.
func (l *Link) takeReply() Reply {
	reply := l.reply
	reply.Fatal = reply.Fatal || len(l.input.unread()) > 0
	l.reply = Reply{}
	if l.state != linkStarting || !reply.Fatal {
		l.state = linkIdle
	}
	return reply
}

// longRow reports whether the buffer begins with a row to be streamed, and returns the value of its length field.
func (l *Link) longRow() (length int64, long bool) {
	header := l.input.unread()
	if l.state == linkStarting || len(header) < typeBytes+lengthBytes {
		return 0, false
	}
	if messageType(header[0]) != backendDataRow {
		return 0, false
	}
	length = int64(binary.BigEndian.Uint32(header[typeBytes:]))
	return length, length-rowOverhead > int64(l.streamAbove)
}

// beginStreaming checks the header of a long row and the length of its value, and begins to stream the row. length is
// the value of the message's length field.
func (l *Link) beginStreaming(length int64) (progress, error) {
	const headBytes = typeBytes + lengthBytes + rowBodyBytes
	if _, allowed := l.state.after(backendDataRow); !allowed {
		return needsBytes, ErrUnexpectedMessage
	}
	valueLength := length - rowOverhead
	if valueLength > int64(l.maxValue) { // a peer must not send a row without end
		return needsBytes, ErrMessageTooLong
	}
	head := l.input.unread()
	if len(head) < headBytes {
		return needsBytes, nil
	}
	body := head[typeBytes+lengthBytes : headBytes]
	columns := binary.BigEndian.Uint16(body)
	statedLength := int64(binary.BigEndian.Uint32(body[columnCountBytes:]))
	if columns != 1 || statedLength != valueLength {
		return needsBytes, ErrMalformedMessage
	}
	l.piece = l.reply.Rows
	l.reply.Rows = nil
	l.reply.Streamed = true
	l.rowBytesLeft = int(length) + typeBytes
	l.state = linkStreaming
	return consumedBytes, nil
}

// streamRow moves the bytes of the streamed row from the buffer to the piece.
func (l *Link) streamRow() progress {
	size := min(l.rowBytesLeft, len(l.input.unread()))
	l.piece = append(l.piece, l.input.unread()[:size]...)
	l.input.discard(size)
	l.rowBytesLeft -= size
	if l.rowBytesLeft == 0 {
		l.state = linkRow
	}
	if len(l.input.unread()) == 0 {
		return needsBytes
	}
	return consumedBytes
}

// handleMessage processes one message of a database. It rejects messages that are out of order or malformed, since a
// damaged answer must not be taken for a complete one.
func (l *Link) handleMessage(message frame) (progress, error) {
	switch message.kind {
	case backendReadyForQuery:
		return l.handleReadyForQuery(message.body)
	case backendRowDescription, backendDataRow, backendCommandComplete:
		return consumedBytes, l.handleResult(message)
	case backendEmptyQueryResponse:
		return consumedBytes, l.handleEmptyQueryResponse(message.body)
	case backendErrorResponse:
		return l.handleErrorResponse(message.body)
	case backendParameterStatus:
		return consumedBytes, l.reply.setParameter(message.body)
	case backendAuthentication:
		return consumedBytes, l.handleAuthentication(message.body)
	case backendKeyData, backendNoticeResponse, backendNotificationResponse, backendNoData:
		return consumedBytes, nil
	default:
		return needsBytes, ErrUnexpectedMessage
	}
}

// handleReadyForQuery ends the reply. The status of an open transaction is an error: a connection must not stay in one.
func (l *Link) handleReadyForQuery(body []byte) (progress, error) {
	_, allowed := l.state.after(backendReadyForQuery)
	if !allowed || len(body) != 1 || body[0] != transactionIdle {
		return needsBytes, ErrMalformedMessage
	}
	return replyEnded, nil
}

// handleResult checks a message of a result, and appends it to the reply's Rows, which are sent to the client.
func (l *Link) handleResult(message frame) error {
	if err := l.state.advance(message.kind); err != nil {
		return err
	}
	reply := &l.reply
	if len(reply.Rows)+len(message.body) > l.input.limit { // the limit applies to a result as a whole
		return ErrMessageTooLong
	}
	reply.Rows = appendMessage(reply.Rows, message.kind, func(body []byte) []byte {
		return append(body, message.body...)
	})
	wellFormed := true
	switch message.kind {
	case backendRowDescription:
		wellFormed = describesOneColumn(message.body)
	case backendDataRow:
		reply.Value = onlyColumn(message.body)
		wellFormed = reply.Value != nil
	case backendCommandComplete:
		wellFormed = isCommandTag(message.body)
		reply.Complete = wellFormed
	}
	if !wellFormed {
		return ErrMalformedMessage
	}
	return nil
}

// handleEmptyQueryResponse processes the message that replaces CommandComplete in the answer to an empty query.
func (l *Link) handleEmptyQueryResponse(body []byte) error {
	if len(body) > 0 {
		return ErrUnexpectedMessage
	}
	if err := l.state.advance(backendEmptyQueryResponse); err != nil {
		return err
	}
	l.reply.Complete = true
	return nil
}

// handleErrorResponse processes an ErrorResponse. A fatal error ends the reply, since no ReadyForQuery follows it.
func (l *Link) handleErrorResponse(body []byte) (progress, error) {
	if err := l.state.advance(backendErrorResponse); err != nil {
		return needsBytes, err
	}
	if err := l.reply.setError(body); err != nil {
		return needsBytes, err
	}
	l.reply.Fatal = l.reply.Fatal || l.state == linkStarting
	if l.reply.Fatal {
		return replyEnded, nil
	}
	return consumedBytes, nil
}

// handleAuthentication processes the answer to the startup message. No authentication method is supported.
func (l *Link) handleAuthentication(body []byte) error {
	if l.state != linkStarting || len(body) < codeBytes || binary.BigEndian.Uint32(body) != authenticationOK {
		return ErrAuthenticationRequested
	}
	return nil
}
