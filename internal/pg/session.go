package pg

import (
	"encoding/binary"
	"strings"
)

// Codes of untyped messages.
const (
	requestSSL    = 80877103
	requestGSS    = 80877104
	requestCancel = 80877102
)

// nameBytes is the longest name that PostgreSQL keeps.
const nameBytes = 63

// Command is what a client's bytes ask for. Answers go out in the order of the commands.
type Command struct {
	Reply []byte // ready-made answer; nil for a query
	Query string // a statement for the databases, if Reply is nil
	Close bool   // the connection ends after Reply
	Bad   string // why the input was not accepted, for the log; empty if it was
}

// Session is our side of one client connection.
type Session struct {
	// What the startup message told, each cut to as many bytes as a name may have.
	User, Database, Application string

	in       framer
	started  bool
	skipping bool // an extended query failed: all is skipped up to Sync
	closed   bool
}

func NewSession(maxMessage int) *Session { return &Session{in: framer{limit: maxMessage}} }

// Resume takes a connection that has started already.
func (s *Session) Resume() { s.started = true }

// Started tells whether the startup message has come.
func (s *Session) Started() bool { return s.started }

// Held is how many bytes wait to be read.
func (s *Session) Held() int { return len(s.in.buf) }

// Feed takes in bytes. They are kept if Next is not called until it returns false.
func (s *Session) Feed(data []byte) { s.in.buf = append(s.in.buf, data...) }

// Next returns the next command.
func (s *Session) Next() (Command, bool) {
	for !s.closed {
		kind, body, ok, err := s.in.next(s.started)
		if err != nil {
			return s.Fatal(CodeTooLarge, err.Error()), true
		}
		if !ok {
			return Command{}, false
		}
		var c Command
		if s.started {
			c = s.message(kind, body)
		} else {
			c = s.startup(body)
		}
		if c.Reply != nil || c.Close || c.Query != "" {
			return c, true
		}
	}
	return Command{}, false
}

// Fatal ends the session with an error.
func (s *Session) Fatal(code, why string) Command {
	s.closed = true
	s.in.buf = nil
	return Command{Reply: AppendError(nil, "FATAL", code, why, ""), Close: true, Bad: why}
}

func (s *Session) startup(body []byte) Command {
	if len(body) < 4 {
		return s.Fatal(CodeProtocol, "startup message too short")
	}
	switch code := binary.BigEndian.Uint32(body); {
	case code == requestSSL || code == requestGSS:
		return Command{Reply: []byte{'N'}}
	case code == requestCancel: // No keys are given out: there is nothing to cancel.
		s.closed = true
		return Command{Close: true}
	case code>>16 != 3:
		return s.Fatal(CodeUnsupported, "protocol version not supported")
	}
	if len(body) < 5 || body[len(body)-1] != 0 {
		return s.Fatal(CodeProtocol, "malformed startup message")
	}
	s.started = true
	for rest := body[4:]; ; {
		var name, value string
		if name, rest, _ = cString(rest); name == "" {
			break
		}
		value, rest, _ = cString(rest)
		value = value[:min(len(value), nameBytes)]
		switch name {
		case "user":
			s.User = value
		case "database":
			s.Database = value
		case "application_name":
			s.Application = value
		}
	}
	reply := []byte{'R', 0, 0, 0, 8, 0, 0, 0, 0}
	reply = AppendParameter(reply, "server_version", "16.0")
	reply = AppendParameter(reply, "client_encoding", "UTF8")
	reply = AppendParameter(reply, "standard_conforming_strings", "on")
	return Command{Reply: AppendReady(reply)}
}

func (s *Session) message(kind byte, body []byte) Command {
	switch kind {
	case 'X':
		s.closed = true
		return Command{Close: true}
	case 'S':
		s.skipping = false
		return Command{Reply: AppendReady(nil)}
	case 'H', 'd', 'c', 'f':
		return Command{}
	case 'P', 'B', 'D', 'E', 'C':
		if s.skipping {
			return Command{}
		}
		s.skipping = true
		why := "the extended query protocol is not supported"
		return Command{Reply: AppendError(nil, "ERROR", CodeUnsupported, why, ""), Bad: why}
	case 'F':
		why := "function calls are not supported"
		return Command{Reply: AppendFailure(nil, CodeUnsupported, why), Bad: why}
	case 'Q':
	default:
		return s.Fatal(CodeProtocol, "unknown message type")
	}
	if s.skipping {
		return Command{}
	}
	sql, rest, ok := cString(body)
	if !ok || len(rest) > 0 {
		return s.Fatal(CodeProtocol, "malformed query message")
	}
	if strings.Trim(sql, " \t\r\n;") == "" {
		return Command{Reply: AppendReady([]byte{'I', 0, 0, 0, 4})}
	}
	return Command{Query: sql}
}
