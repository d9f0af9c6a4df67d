//go:build review2

package main

import (
	"bufio"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"net"
	"regexp"
	"strconv"
	"sync"
	"time"
)

// appendMessage appends a message of the PostgreSQL protocol.
func appendMessage(dst []byte, kind byte, body []byte) []byte {
	dst = append(dst, kind)
	dst = binary.BigEndian.AppendUint32(dst, uint32(len(body)+4))
	return append(dst, body...)
}

func appendParameter(dst []byte, name, value string) []byte {
	return appendMessage(dst, 'S', []byte(name+"\x00"+value+"\x00"))
}

var readyForQuery = appendMessage(nil, 'Z', []byte("I"))

// row returns the messages of a result of one row with one column.
func row(value string) []byte {
	description := []byte{0, 1, 'v', 'a', 'l', 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 17, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0, 1}
	message := appendMessage(nil, 'T', description)
	data := binary.BigEndian.AppendUint32([]byte{0, 1}, uint32(len(value)))
	message = appendMessage(message, 'D', append(data, value...))
	return appendMessage(message, 'C', []byte("SELECT 1\x00"))
}

func errorMessage(code, text string) []byte {
	return appendMessage(nil, 'E', []byte("SERROR\x00VERROR\x00C"+code+"\x00M"+text+"\x00\x00"))
}

// readMessage reads one typed message.
func readMessage(r io.Reader) (kind byte, body []byte, err error) {
	var header [5]byte
	if _, err := io.ReadFull(r, header[:]); err != nil {
		return 0, nil, err
	}
	size := int(binary.BigEndian.Uint32(header[1:])) - 4
	if size < 0 || size > 1<<20 {
		return 0, nil, errors.New("length")
	}
	body = make([]byte, size)
	_, err = io.ReadFull(r, body)
	return header[0], body, err
}

// readStartup reads a startup message.
func readStartup(r io.Reader) error {
	var header [4]byte
	if _, err := io.ReadFull(r, header[:]); err != nil {
		return err
	}
	size := int(binary.BigEndian.Uint32(header[:])) - 4
	if size < 4 || size > 10000 {
		return errors.New("startup length")
	}
	_, err := io.CopyN(io.Discard, r, int64(size))
	return err
}

// database is a stand-in of one database on the PostgreSQL wire.
type database struct {
	world    *world
	name     string
	address  string
	listener net.Listener
	// answer handles a statement; it returns what is sent, or nil to reset the connection. Parameters are added.
	answer func(id, sql string) []byte

	mu      sync.Mutex
	lag     time.Duration        // of the data; set before the start
	age     func() time.Duration // further lag; set before the start
	primary bool
	got     map[string]int // statements by id
	conns   map[net.Conn]struct{}
}

func (w *world) newDatabase(name string, primary bool) *database {
	d := &database{world: w, name: name, primary: primary, got: map[string]int{}, conns: map[net.Conn]struct{}{}}
	d.listener = w.listen()
	d.address = d.listener.Addr().String()
	d.answer = func(string, string) []byte { return row("from " + name) }
	go d.accept()
	return d
}

func (d *database) accept() {
	for {
		connection, err := d.listener.Accept()
		if err != nil {
			return
		}
		go d.serve(connection)
	}
}

func (d *database) isPrimary() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.primary
}

func (d *database) received(id string) int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.got[id]
}

// position is the position that the database reports, in Unix milliseconds.
func (d *database) position() int64 {
	lag := d.lag
	if d.age != nil {
		lag += d.age()
	}
	return time.Now().Add(-lag).UnixMilli()
}

// parameters returns what precedes ReadyForQuery.
func (d *database) parameters() []byte {
	mode := "read-only"
	if d.isPrimary() {
		mode = "read-write"
	}
	return appendParameter(appendParameter(nil, "mode", mode), "wal_time", strconv.FormatInt(d.position(), 10))
}

var idField = regexp.MustCompile(`[*, ]id=([^, ]+)`)

// serve handles a connection of the pooler.
func (d *database) serve(connection net.Conn) {
	defer func() { _ = connection.Close() }()
	input := bufio.NewReader(connection)
	if readStartup(input) != nil {
		return
	}
	greeting := appendMessage(nil, 'R', []byte{0, 0, 0, 0})
	if _, err := connection.Write(append(greeting, readyForQuery...)); err != nil {
		return
	}
	for {
		kind, body, err := readMessage(input)
		if err != nil || kind != 'Q' || len(body) == 0 {
			return
		}
		sql := string(body[:len(body)-1])
		var reply []byte
		switch {
		case sql == "SHOW stats":
			x1 := 0
			if d.isPrimary() {
				x1 = 1
			}
			reply = row(fmt.Sprintf("x0=%.3f,x1=%d,util=0.1", float64(d.position())/1000, x1))
		default:
			id := ""
			if match := idField.FindStringSubmatch(sql); match != nil {
				id = match[1]
			}
			d.mu.Lock()
			d.got[id]++
			d.mu.Unlock()
			d.world.note("%s: arrived: %s", d.name, sql)
			reply = d.answer(id, sql)
			if reply == nil {
				d.world.note("%s: resets the connection under %s", d.name, id)
				_ = connection.(*net.TCPConn).SetLinger(0)
				return
			}
		}
		reply = append(append(reply, d.parameters()...), readyForQuery...)
		if _, err := connection.Write(reply); err != nil {
			return
		}
	}
}

// client is a client's connection.
type client struct {
	connection net.Conn
	input      *bufio.Reader
}

// reply is the answer to one statement.
type reply struct {
	value, code string
}

func dialClient(address string) (*client, error) {
	connection, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return nil, err
	}
	body := append([]byte{0, 3, 0, 0}, "user\x00client\x00database\x00core\x00\x00"...)
	message := append(binary.BigEndian.AppendUint32(nil, uint32(len(body)+4)), body...)
	if _, err := connection.Write(message); err != nil {
		return nil, err
	}
	c := &client{connection, bufio.NewReader(connection)}
	_ = connection.SetReadDeadline(time.Now().Add(5 * time.Second))
	_, err = c.read()
	return c, err
}

func (c *client) close() { _ = c.connection.Close() }

// read reads up to ReadyForQuery.
func (c *client) read() (answer reply, err error) {
	for {
		kind, body, err := readMessage(c.input)
		if err != nil {
			return answer, err
		}
		switch kind {
		case 'D':
			answer.value = string(body[6:])
		case 'E':
			if match := regexp.MustCompile(`\x00C([^\x00]*)\x00`).FindSubmatch(body); match != nil {
				answer.code = string(match[1])
			}
		case 'Z':
			return answer, nil
		}
	}
}

// ask sends a statement and waits for its answer.
func (c *client) ask(sql string, limit time.Duration) (reply, error) {
	_ = c.connection.SetDeadline(time.Now().Add(limit))
	if _, err := c.connection.Write(appendMessage(nil, 'Q', append([]byte(sql), 0))); err != nil {
		return reply{}, err
	}
	return c.read()
}

// request opens a connection, sends a statement and records the answer.
func (w *world) request(address, sql string, limit time.Duration) (reply, error) {
	c, err := dialClient(address)
	if err != nil {
		w.note("client: no connection: %v", err)
		return reply{}, err
	}
	defer c.close()
	w.note("client: sends: %s", sql)
	answer, err := c.ask(sql, limit)
	w.note("client: answer: value %q, code %q, error %v", answer.value, answer.code, err)
	return answer, err
}
