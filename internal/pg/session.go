package pg

import (
	"encoding/binary"
	"strings"
)

// nameBytes is the maximum length of a name in PostgreSQL, in bytes: NAMEDATALEN - 1.
const nameBytes = 63

// startupBytes is the maximum length of a startup message, in bytes, as in PostgreSQL.
const startupBytes = 10_000

// Texts of errors that are sent to clients.
const (
	textStartupTooShort    = "startup message too short"
	textBadVersion         = "protocol version not supported"
	textMalformedStartup   = "malformed startup message"
	textExtendedQuery      = "the extended query protocol is not supported"
	textFunctionCall       = "function calls are not supported"
	textUnknownMessageType = "unknown message type"
	textMalformedQuery     = "malformed query message"
)

// Command is a request that was parsed from a client's messages. Answers must be sent in the order of the commands.
type Command struct {
	Reply        []byte // the answer of a command that needs no database; otherwise nil
	Query        string // a statement for the databases; empty if the command needs no database
	Close        bool   // the connection must be closed after Reply is sent
	RejectReason string // why the message was rejected, for the log; empty if it was accepted
}

// isNoOp reports whether the command has no answer and no effect.
func (c *Command) isNoOp() bool { return c.Reply == nil && c.Query == "" && !c.Close }

// Session is the server side of one client connection. Its owner feeds it the bytes that the client sends, and reads
// the commands from it. It is not safe for concurrent use.
type Session struct {
	// Parameters of the startup message, each truncated to nameBytes.
	User, Database, Application string

	input framer
	state sessionState
}

// NewSession returns a session that accepts messages of up to maxMessage bytes.
func NewSession(maxMessage int) *Session { return &Session{input: framer{limit: maxMessage}} }

// SkipStartup skips the startup phase, for a stream that does not contain the startup message.
func (s *Session) SkipStartup() { s.state.start() }

// Started reports whether the startup message was accepted. It stays true after the session is closed.
func (s *Session) Started() bool { return s.state.started() }

// Buffered returns the number of buffered bytes that Next has not read yet.
func (s *Session) Buffered() int { return len(s.input.unread()) }

// BufferCapacity returns the size of the memory that buffers these bytes.
func (s *Session) BufferCapacity() int { return cap(s.input.buffer) }

// Feed buffers bytes of the client. Next returns the commands in them.
func (s *Session) Feed(data []byte) { s.input.feed(data) }

// Next returns the next command. It returns false if more bytes are needed or the session is closed.
func (s *Session) Next() (Command, bool) {
	for !s.state.closed() {
		message, complete, err := s.nextMessage()
		if err != nil {
			return s.Fatal(CodeTooLarge, err.Error()), true
		}
		if !complete {
			return Command{}, false
		}
		if command := s.handle(message); !command.isNoOp() {
			return command, true
		}
	}
	return Command{}, false
}

func (s *Session) nextMessage() (message frame, complete bool, err error) {
	if s.state == sessionStarting {
		return s.input.nextUntyped(startupBytes)
	}
	return s.input.nextTyped()
}

// Fatal closes the session and returns the command that sends a fatal error. Buffered bytes are dropped.
func (s *Session) Fatal(code, why string) Command {
	s.End()
	return Command{Reply: AppendError(nil, SeverityFatal, code, why, ""), Close: true, RejectReason: why}
}

// End closes the session without an answer. Buffered bytes are dropped.
func (s *Session) End() {
	s.state.end()
	s.input.reset()
}

// disconnect returns the command that closes the session without an answer.
func (s *Session) disconnect() Command {
	s.End()
	return Command{Close: true}
}

// handle returns the command of a message, which may be a no-op.
func (s *Session) handle(message frame) Command {
	if s.state == sessionStarting {
		return s.handleStartup(message.body)
	}
	return s.handleMessage(message)
}

// handleStartup returns the command of an untyped message: a request for encryption, which is denied, a CancelRequest
// or a StartupMessage.
func (s *Session) handleStartup(body []byte) Command {
	if len(body) < codeBytes {
		return s.Fatal(CodeProtocol, textStartupTooShort)
	}
	switch code := binary.BigEndian.Uint32(body); {
	case code == requestSSL || code == requestGSS:
		return Command{Reply: []byte{encryptionDenied}}
	case code == requestCancel: // it cannot match a connection: clients are sent no BackendKeyData
		return s.disconnect()
	case code>>majorShift != protocolMajor:
		return s.Fatal(CodeUnsupported, textBadVersion)
	}
	parameters := body[codeBytes:]
	if len(parameters) == 0 || parameters[len(parameters)-1] != 0 {
		return s.Fatal(CodeProtocol, textMalformedStartup)
	}
	s.state.start()
	s.setParameters(parameters)
	return Command{Reply: appendStartupReply(nil)}
}

// setParameters reads pairs of a name and a value up to an empty name.
func (s *Session) setParameters(parameters []byte) {
	for {
		name, rest, _ := cutString(parameters)
		if name == "" {
			return
		}
		value, rest, _ := cutString(rest)
		value = strings.Clone(value[:min(len(value), nameBytes)]) // the rest of a long value is not kept
		switch name {
		case parameterUser:
			s.User = value
		case parameterDatabase:
			s.Database = value
		case parameterApplication:
			s.Application = value
		}
		parameters = rest
	}
}

// appendStartupReply appends the answer to a startup message: AuthenticationOk, the parameters that client drivers
// require and ReadyForQuery.
func appendStartupReply(dst []byte) []byte {
	dst = appendMessage(dst, backendAuthentication, func(body []byte) []byte {
		return binary.BigEndian.AppendUint32(body, authenticationOK)
	})
	dst = AppendParameter(dst, "server_version", "16.0")
	dst = AppendEncoding(dst)
	dst = AppendParameter(dst, "standard_conforming_strings", "on")
	return AppendReady(dst)
}

// AppendEncoding appends the ParameterStatus message with the encoding of texts, which never changes. A server may send
// it at any time between two answers, and clients ignore it.
func AppendEncoding(dst []byte) []byte { return AppendParameter(dst, "client_encoding", "UTF8") }

// handleMessage returns the command of a message after startup.
func (s *Session) handleMessage(message frame) Command {
	switch message.kind {
	case frontendTerminate:
		return s.disconnect()
	case frontendSync:
		s.state.sync()
		return Command{Reply: AppendReady(nil)}
	case frontendFlush, frontendCopyData, frontendCopyDone, frontendCopyFail:
		return Command{}
	case frontendParse, frontendBind, frontendDescribe, frontendExecute, frontendClose:
		return s.rejectExtendedQuery()
	case frontendFunctionCall:
		return Command{Reply: AppendFailure(nil, CodeUnsupported, textFunctionCall), RejectReason: textFunctionCall}
	case frontendQuery:
		return s.handleQuery(message.body)
	default:
		return s.Fatal(CodeProtocol, textUnknownMessageType)
	}
}

// rejectExtendedQuery rejects the first message of an extended query. The messages up to Sync are skipped.
func (s *Session) rejectExtendedQuery() Command {
	if s.state == sessionSkipping {
		return Command{}
	}
	s.state.skip()
	reply := AppendError(nil, SeverityError, CodeUnsupported, textExtendedQuery, "")
	return Command{Reply: reply, RejectReason: textExtendedQuery}
}

// handleQuery returns the command of a Query message. An empty query is answered without a database.
func (s *Session) handleQuery(body []byte) Command {
	if s.state == sessionSkipping {
		return Command{}
	}
	sql, rest, found := cutString(body)
	if !found || len(rest) > 0 {
		return s.Fatal(CodeProtocol, textMalformedQuery)
	}
	if isEmpty(sql) {
		empty := appendMessage(nil, backendEmptyQueryResponse, func(body []byte) []byte { return body })
		return Command{Reply: AppendReady(empty)}
	}
	return Command{Query: sql}
}
