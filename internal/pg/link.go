package pg

import (
	"encoding/binary"
	"errors"
	"strconv"
	"strings"
	"time"
)

// Reply is what a database sent up to ReadyForQuery, or up to a fatal error.
type Reply struct {
	Startup  bool          // it ends the startup, not a query
	Rows     []byte        // RowDescription, DataRow and CommandComplete as they came
	Complete bool          // CommandComplete has come and there was no error
	Value    []byte        // first column of the first row
	Code     string        // of an error; empty if there was none
	Message  string        // ... its message
	Detail   string        // ... and field D
	Mode     string        // ParameterStatus mode
	Position time.Duration // ParameterStatus wal_time, from the Unix epoch; 0: none
	Fatal    bool          // the connection cannot be used again
}

var errUnexpected = errors.New("message of an unexpected type")

// Link is our side of one connection to a database. One query is out at a time.
type Link struct {
	in      framer
	started bool
	reply   Reply
}

func NewLink(maxMessage int) *Link {
	return &Link{in: framer{limit: maxMessage}, reply: Reply{Startup: true}}
}

// Partial returns the reply as far as it has come, for a connection that ends.
func (l *Link) Partial() Reply { return l.reply }

// Feed takes in bytes and returns the replies that they end. After an error the connection is of no more use.
func (l *Link) Feed(data []byte) (replies []Reply, err error) {
	l.in.buf = append(l.in.buf, data...)
	for {
		kind, body, ok, err := l.in.next(true)
		if err != nil || !ok {
			return replies, err
		}
		done, err := l.message(kind, body)
		if err != nil {
			return replies, err
		}
		if done {
			replies = append(replies, l.reply)
			l.started = l.started || !l.reply.Fatal
			l.reply = Reply{}
		}
	}
}

func (l *Link) message(kind byte, body []byte) (done bool, err error) {
	r := &l.reply
	switch kind {
	case 'Z':
		return true, nil
	case 'T', 'D', 'C':
		if !l.started || r.Code != "" {
			return false, errUnexpected
		}
		if len(r.Rows)+len(body) > l.in.limit { // Against an answer without end: it holds one value.
			return false, errTooLong
		}
		r.Rows = message(r.Rows, kind, func(b []byte) []byte { return append(b, body...) })
		if kind == 'D' && r.Value == nil {
			r.Value = firstColumn(body)
		}
		r.Complete = kind == 'C'
	case 'I':
		r.Complete = true
	case 'E':
		return l.failure(body)
	case 'S':
		name, rest, _ := cString(body)
		value, _, _ := cString(rest)
		switch name {
		case "mode":
			r.Mode = value
		case "wal_time":
			if ms, err := strconv.ParseFloat(value, 64); err == nil && ms > 0 && ms < 1<<42 {
				r.Position = time.Duration(ms) * time.Millisecond
			}
		}
	case 'R':
		if l.started || len(body) < 4 || binary.BigEndian.Uint32(body) != 0 {
			return false, errors.New("the database asks for authentication")
		}
	case 'K', 'N', 'A', 'n':
	default:
		return false, errUnexpected
	}
	return false, nil
}

func (l *Link) failure(body []byte) (done bool, err error) {
	r := &l.reply
	r.Complete, r.Rows, r.Value = false, nil, nil
	for len(body) > 0 && body[0] != 0 {
		field := body[0]
		var value string
		var ok bool
		if value, body, ok = cString(body[1:]); !ok {
			return false, errors.New("malformed error")
		}
		switch field {
		case 'C':
			r.Code = value
		case 'M':
			r.Message = value
		case 'D':
			r.Detail = value
		case 'S', 'V':
			r.Fatal = r.Fatal || value == "FATAL" || value == "PANIC"
		}
	}
	if r.Code == "" {
		r.Code = CodeSystemError
	}
	r.Fatal = r.Fatal || !l.started
	return r.Fatal, nil // a fatal error is not followed by ReadyForQuery
}

func firstColumn(row []byte) []byte {
	if len(row) < 6 || binary.BigEndian.Uint16(row) == 0 {
		return nil
	}
	size := int64(int32(binary.BigEndian.Uint32(row[2:])))
	if size < 0 || size > int64(len(row)-6) {
		return nil
	}
	return append([]byte{}, row[6:6+size]...)
}

// ParseReport reads a load report such as "x0=1767225600.123,x1=1,util=0.61".
func ParseReport(s string) map[string]float64 {
	report := map[string]float64{}
	for _, part := range strings.Split(s, ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		if v, err := strconv.ParseFloat(value, 64); err == nil {
			report[name] = v
		}
	}
	return report
}
