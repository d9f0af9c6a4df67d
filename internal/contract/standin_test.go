package contract_test

import (
	"encoding/binary"
	"fmt"
	"io"
	"net"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// standIn is a scripted database on the PostgreSQL wire. What it answers is told by a word in the statement.
type standIn struct {
	id      string
	address string
	primary bool

	mu       sync.Mutex
	startups []string // bytes of startup messages
	got      []string // bytes of messages behind them, without load reports' questions
	probes   []string // ... these
	shown    map[string]bool
}

// newStandIn starts a database that listens until the test ends.
func newStandIn(t *testing.T, id string, primary bool) *standIn {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { l.Close() })
	d := &standIn{id: id, address: l.Addr().String(), primary: primary, shown: map[string]bool{}}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go d.serve(c)
		}
	}()
	return d
}

func (d *standIn) mode() string {
	if d.primary {
		return "read-write"
	}
	return "read-only"
}

func (d *standIn) member() member {
	return member{ID: d.id, Address: d.address, Locality: "a", Cell: 3, Phase: "SERVING", Mode: d.mode()}
}

// message is one of the PostgreSQL wire.
func message(kind byte, body string) string {
	return string(kind) + string(binary.BigEndian.AppendUint32(nil, uint32(len(body)+4))) + body
}

const readyForQuery = "Z\x00\x00\x00\x05I"

// value is an answer of one row of one column.
func value(text string) string {
	description := "\x00\x01val\x00\x00\x00\x00\x00\x00\x00\x00\x00\x00\x11\xff\xff\xff\xff\xff\xff\x00\x01"
	row := "\x00\x01" + string(binary.BigEndian.AppendUint32(nil, uint32(len(text)))) + text
	return message('T', description) + message('D', row) + message('C', "SELECT 1\x00") + readyForQuery
}

func databaseError(severity, code string) string {
	return message('E', "S"+severity+"\x00V"+severity+"\x00C"+code+"\x00Mtold to\x00\x00")
}

// replies are what a database answers to a statement with a word in it; "" keeps silent.
var replies = map[string]string{
	"full":     databaseError("ERROR", "53300") + readyForQuery,
	"fail":     databaseError("ERROR", "XX000") + readyForQuery,
	"unusable": databaseError("ERROR", "42601") + readyForQuery,
	"hang":     "",
	"long":     value(strings.Repeat("0123456789abcdef", 1<<14)),
}

func (d *standIn) reply(sql string) string {
	if strings.HasPrefix(sql, "SHOW stats") {
		x1 := "0"
		if d.primary {
			x1 = "1"
		}
		return value(fmt.Sprintf("x0=%.3f,x1=%s,util=0.1", float64(time.Now().UnixMilli())/1000, x1))
	}
	for word, reply := range replies {
		if strings.Contains(sql, word) {
			return reply
		}
	}
	return message('S', "mode\x00"+d.mode()+"\x00") + message('S', "wal_time\x00"+strconv.FormatInt(time.Now().UnixMilli(), 10)+"\x00") +
		value("from a database")
}

// serve answers one connection, and keeps what came.
func (d *standIn) serve(c net.Conn) {
	defer c.Close()
	startup, err := readMessage(c, false)
	if err != nil {
		return
	}
	d.mu.Lock()
	d.startups = append(d.startups, startup)
	d.mu.Unlock()
	if _, err := io.WriteString(c, message('R', "\x00\x00\x00\x00")+readyForQuery); err != nil {
		return
	}
	for {
		m, err := readMessage(c, true)
		if err != nil {
			return
		}
		sql := m[5:]
		d.mu.Lock()
		if strings.HasPrefix(sql, "SHOW stats") {
			d.probes = append(d.probes, m)
		} else {
			d.got = append(d.got, m)
		}
		d.mu.Unlock()
		if _, err := io.WriteString(c, d.reply(sql)); err != nil {
			return
		}
	}
}

// received returns what has come since the last call, with the time left and so the length masked. Each message counts
// once, however late it comes: how often something is tried again, and on which connection, depends on time.
func (d *standIn) received() (got []string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, m := range d.got {
		if timeLeft.MatchString(m) {
			m = m[:1] + "LENG" + timeLeft.ReplaceAllString(m[5:], ",d=MS,")
		}
		if !d.shown[m] {
			d.shown[m] = true
			got = append(got, m)
		}
	}
	d.got = nil
	slices.Sort(got)
	return got
}

// readMessage reads the bytes of one message, with a type or, as a startup has none, without.
func readMessage(r io.Reader, typed bool) (string, error) {
	head := make([]byte, 4)
	if typed {
		head = make([]byte, 5)
	}
	if _, err := io.ReadFull(r, head); err != nil {
		return "", err
	}
	body := make([]byte, binary.BigEndian.Uint32(head[len(head)-4:])-4)
	if _, err := io.ReadFull(r, body); err != nil {
		return "", err
	}
	return string(head) + string(body), nil
}
