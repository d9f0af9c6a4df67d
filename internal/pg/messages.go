// Package pg speaks version 3 of the PostgreSQL wire protocol as state machines that are fed bytes: Session is
// our side of a client's connection, Link our side of a database's. They know no socket, no clock and no core.
package pg

import (
	"encoding/binary"
	"errors"
	"strconv"
	"time"
)

// SQLSTATE codes that are sent or told apart.
const (
	CodeProtocol      = "08P01"
	CodeUnsupported   = "0A000"
	CodeBadValue      = "22023"
	CodeReadOnly      = "25006"
	CodeSyntax        = "42601"
	CodeFull          = "53300"
	CodeTooLarge      = "54000"
	CodeQueryCanceled = "57014"
	CodeShutdown      = "57P01"
	CodeNotNow        = "57P03"
	CodeSystemError   = "58000"
	CodeTooFarBehind  = "72000"
)

var errTooLong = errors.New("message too long")

// message appends a message whose body put writes.
func message(dst []byte, kind byte, put func([]byte) []byte) []byte {
	start := len(dst) + 1
	dst = put(append(dst, kind, 0, 0, 0, 0))
	binary.BigEndian.PutUint32(dst[start:], uint32(len(dst)-start))
	return dst
}

func text(dst []byte, s string) []byte { return append(append(dst, s...), 0) }

// AppendReady appends ReadyForQuery.
func AppendReady(dst []byte) []byte { return append(dst, 'Z', 0, 0, 0, 5, 'I') }

// AppendError appends an ErrorResponse. Detail is left out if empty.
func AppendError(dst []byte, severity, code, what, detail string) []byte {
	return message(dst, 'E', func(b []byte) []byte {
		b = text(append(b, 'S'), severity)
		b = text(append(b, 'V'), severity)
		b = text(append(b, 'C'), code)
		b = text(append(b, 'M'), what)
		if detail != "" {
			b = text(append(b, 'D'), detail)
		}
		return append(b, 0)
	})
}

// AppendFailure is an error that leaves the connection ready for the next query.
func AppendFailure(dst []byte, code, what string) []byte {
	return AppendReady(AppendError(dst, "ERROR", code, what, ""))
}

// AppendRefusal tells that trying again is harmless, after so many milliseconds.
func AppendRefusal(dst []byte, after time.Duration) []byte {
	ms := strconv.FormatInt(int64((after+time.Millisecond-1)/time.Millisecond), 10)
	return AppendReady(AppendError(dst, "ERROR", CodeFull, "refused: nothing was run, try again", ms))
}

// AppendParameter appends a ParameterStatus.
func AppendParameter(dst []byte, name, value string) []byte {
	return message(dst, 'S', func(b []byte) []byte { return text(text(b, name), value) })
}

// AppendValue appends a whole answer of one value, as databases give it.
func AppendValue(dst []byte, value string) []byte {
	dst = append(dst, "T\x00\x00\x00\x1c\x00\x01val\x00\x00\x00\x00\x00\x00\x00\x00\x00\x00\x11\xff\xff\xff\xff\xff\xff\x00\x01"...)
	dst = message(dst, 'D', func(b []byte) []byte {
		b = binary.BigEndian.AppendUint32(append(b, 0, 1), uint32(len(value)))
		return append(b, value...)
	})
	return AppendReady(message(dst, 'C', func(b []byte) []byte { return text(b, "SELECT 1") }))
}

// AppendQuery appends a simple query made of parts.
func AppendQuery(dst []byte, parts ...string) []byte {
	return message(dst, 'Q', func(b []byte) []byte {
		for _, p := range parts {
			b = append(b, p...)
		}
		return append(b, 0)
	})
}

// AppendStartup appends a startup message.
func AppendStartup(dst []byte, user, database string) []byte {
	start := len(dst)
	dst = append(dst, 0, 0, 0, 0, 0, 3, 0, 0)
	dst = text(text(text(text(dst, "user"), user), "database"), database)
	dst = append(dst, 0)
	binary.BigEndian.PutUint32(dst[start:], uint32(len(dst)-start))
	return dst
}

// framer cuts a byte stream into messages of at most limit bytes.
type framer struct {
	buf   []byte
	limit int
}

// next returns the next whole message, typed or, as a startup has none, untyped. ok is false if it is yet to
// come. The bytes are valid until the next feed.
func (f *framer) next(typed bool) (kind byte, body []byte, ok bool, err error) {
	head := 0
	if typed {
		head = 1
	}
	if len(f.buf) < head+4 {
		return 0, nil, false, nil
	}
	size := int64(binary.BigEndian.Uint32(f.buf[head:]))
	if size < 4 || size > int64(f.limit) { // Against unbounded memory: the claim alone is enough.
		return 0, nil, false, errTooLong
	}
	if int64(len(f.buf)) < int64(head)+size {
		return 0, nil, false, nil
	}
	if typed {
		kind = f.buf[0]
	}
	end := head + int(size)
	body = f.buf[head+4 : end]
	if f.buf = f.buf[end:]; len(f.buf) == 0 {
		f.buf = nil
	}
	return kind, body, true, nil
}

// cString cuts the zero-ended text off the front of a body.
func cString(b []byte) (s string, rest []byte, ok bool) {
	for i, c := range b {
		if c == 0 {
			return string(b[:i]), b[i+1:], true
		}
	}
	return "", nil, false
}
