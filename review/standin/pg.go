package main

import (
	"bufio"
	"bytes"
	"encoding/binary"
	"fmt"
	"io"
	"net"
	"strconv"
	"strings"
	"time"
)

// message returns a typed message of the PostgreSQL protocol.
func message(kind byte, body []byte) []byte {
	out := binary.BigEndian.AppendUint32([]byte{kind}, uint32(len(body)+4))
	return append(out, body...)
}

func parameter(name, value string) []byte {
	return message('S', []byte(name+"\x00"+value+"\x00"))
}

func ready() []byte { return message('Z', []byte{'I'}) }

func errorResponse(code, text string) []byte {
	return message('E', []byte("SERROR\x00VERROR\x00C"+code+"\x00M"+text+"\x00\x00"))
}

// row returns the messages of a result with one row of one binary column, without ReadyForQuery.
func row(value []byte, tag string) []byte {
	description := []byte{0, 1}
	description = append(description, "val\x00"...)
	description = append(description, 0, 0, 0, 0, 0, 0, 0, 0, 0, 17, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0, 1)
	data := binary.BigEndian.AppendUint32([]byte{0, 1}, uint32(len(value)))
	out := message('T', description)
	out = append(out, message('D', append(data, value...))...)
	return append(out, message('C', []byte(tag+"\x00"))...)
}

// readMessage reads one typed message.
func readMessage(in *bufio.Reader) (kind byte, body []byte, err error) {
	var head [5]byte
	if _, err = io.ReadFull(in, head[:]); err != nil {
		return 0, nil, err
	}
	size := binary.BigEndian.Uint32(head[1:])
	if size < 4 || size > 64<<20 {
		return 0, nil, fmt.Errorf("message %q has length %d", head[0], size)
	}
	body = make([]byte, size-4)
	n, err := io.ReadFull(in, body)
	return head[0], body[:n], err
}

// label returns a field of the comment that ends a statement.
func label(sql, name string) string {
	at := strings.LastIndex(sql, "/*")
	if at < 0 {
		return ""
	}
	comment := strings.TrimSuffix(strings.TrimSpace(sql[at+2:]), "*/")
	for _, field := range strings.Split(comment, ",") {
		if found, value, _ := strings.Cut(strings.TrimSpace(field), "="); found == name {
			return strings.TrimSpace(value)
		}
	}
	return ""
}

// short returns a statement for the record, without a long value.
func short(sql string) string {
	if len(sql) <= 200 {
		return sql
	}
	return fmt.Sprintf("%s...(%d bytes)...%s", sql[:60], len(sql), sql[len(sql)-110:])
}

// client is a client's connection to a pooler.
type client struct {
	conn net.Conn
	in   *bufio.Reader

	begun int // bytes of a message of which the rest did not come
}

// dialClient connects and sends the startup message, and waits for its answer.
func dialClient(addr string) (*client, error) {
	conn, err := net.DialTimeout("tcp", addr, time.Second)
	if err != nil {
		return nil, err
	}
	c := &client{conn: conn, in: bufio.NewReaderSize(conn, 256<<10)}
	body := []byte("\x00\x03\x00\x00user\x00client\x00database\x00core\x00\x00")
	start := binary.BigEndian.AppendUint32(nil, uint32(len(body)+4))
	if _, err = conn.Write(append(start, body...)); err != nil {
		return nil, err
	}
	_ = conn.SetReadDeadline(time.Now().Add(3 * time.Second))
	defer func() { _ = conn.SetReadDeadline(time.Time{}) }()
	for {
		kind, _, err := readMessage(c.in)
		if err != nil {
			_ = conn.Close()
			return nil, err
		}
		if kind == 'Z' {
			return c, nil
		}
	}
}

// query returns a Query message.
func query(sql string) []byte { return message('Q', append([]byte(sql), 0)) }

// answer is the final answer to a command.
type answer struct {
	kind  string // served, refused, failed, or none with err
	value []byte
	code  string
	err   error // the connection ended or the time was over first
}

func (a answer) String() string {
	switch {
	case a.err != nil:
		return fmt.Sprintf("no whole answer: %v", a.err)
	case a.kind == "served":
		return fmt.Sprintf("served, %d bytes", len(a.value))
	default:
		return a.kind + " " + a.code
	}
}

// next reads the next answer up to ReadyForQuery, or up to a fatal error.
func (c *client) next(until time.Time) (got answer) {
	_ = c.conn.SetReadDeadline(until)
	defer func() { _ = c.conn.SetReadDeadline(time.Time{}) }()
	for {
		kind, body, err := readMessage(c.in)
		if err != nil {
			c.begun = len(body)
			return answer{kind: "none", err: err}
		}
		switch kind {
		case 'D':
			if len(body) >= 6 {
				got.kind, got.value = "served", body[6:]
			}
		case 'I':
			got.kind = "empty"
		case 'E':
			got.kind, got.value = "failed", nil
			for _, field := range bytes.Split(body, []byte{0}) {
				if len(field) > 1 && field[0] == 'C' {
					got.code = string(field[1:])
				}
			}
			if got.code == "53300" || got.code == "57P03" {
				got.kind = "refused"
			}
			if bytes.Contains(body, []byte("SFATAL\x00")) {
				return got
			}
		case 'Z':
			return got
		}
	}
}

func milliseconds(text string) time.Duration {
	number, _ := strconv.Atoi(text)
	return time.Duration(number) * time.Millisecond
}
