package load

import (
	"bytes"
	"net"
	"strconv"
	"time"

	"golang.org/x/sys/unix"

	"capercove/internal/emulator"
	"capercove/internal/pg"
	"capercove/internal/sim"
)

// Postgres sends requests to poolers over the PostgreSQL wire. Like the platform's clients, it holds on to its connections,
// opens more when all are busy, and sends a request once more, on a new one, if a close crossed it.
type Postgres struct {
	Dialled, Redialled int64 // the loop's
	// Unasked is called on the loop when a pooler has sent what is no answer to what was asked last, or more than that.
	Unasked func(request string)

	clock *sim.Clock
	addrs []string // of the poolers
	idle  [][]*conn
	busy  map[*Request]*conn
}

// conn is a connection. While it is busy its goroutine owns it.
type conn struct {
	net  net.Conn
	link *pg.Link
	last string // request
}

const (
	idleMost     = 64 // connections kept to one pooler
	dialTimeout  = 2 * time.Second
	answerBytes  = 1 << 20
	slowestSleep = 20 * time.Millisecond // of a client that reads slowly, between two reads
)

// NewPostgres returns a target for poolers at these addresses.
func NewPostgres(clock *sim.Clock, addrs []string) *Postgres {
	return &Postgres{clock: clock, addrs: addrs, idle: make([][]*conn, len(addrs)), busy: map[*Request]*conn{}}
}

// Moved tells that a pooler is at another address from now on.
func (p *Postgres) Moved(pooler int, addr string) { p.addrs[pooler] = addr }

func (p *Postgres) Ask(q *Request, done func(Reply)) {
	var c *conn
	if idle := p.idle[q.Pooler]; len(idle) > 0 {
		c = idle[len(idle)-1]
		p.idle[q.Pooler] = idle[:len(idle)-1]
	}
	addr := p.addrs[q.Pooler]
	p.busy[q] = c
	go func() {
		used := c != nil
		r, next := c.ask(p, addr, q)
		if r.How == emulator.Broken && used && r.At == crossed {
			p.clock.Do(func() { p.Redialled++ })
			r, next = (*conn)(nil).ask(p, addr, q)
		}
		if r.At == crossed {
			r.At = 0
		}
		p.clock.Do(func() {
			delete(p.busy, q)
			if next != nil {
				if len(p.idle[q.Pooler]) < idleMost {
					p.idle[q.Pooler] = append(p.idle[q.Pooler], next)
				} else {
					next.net.Close()
				}
			}
			done(r)
		})
	}()
}

// Quit closes the connection, as a client that has gone away.
func (p *Postgres) Quit(q *Request) {
	if c := p.busy[q]; c != nil {
		c.net.Close()
	}
}

// Close closes all idle connections.
func (p *Postgres) Close() {
	for _, idle := range p.idle {
		for _, c := range idle {
			c.net.Close()
		}
	}
}

// crossed marks a connection that ended without any byte of an answer.
const crossed = time.Duration(-1)

// ask sends a request and reads its answer. It returns the connection if it may be used again.
func (c *conn) ask(p *Postgres, addr string, q *Request) (Reply, *conn) {
	if c == nil {
		n, err := net.DialTimeout("tcp", addr, dialTimeout)
		if err != nil {
			return Reply{How: emulator.Broken}, nil
		}
		c = &conn{net: n}
		if !p.clock.Do(func() { p.Dialled++; p.hold(q, c) }) {
			n.Close()
			return Reply{How: emulator.Broken}, nil
		}
		if _, err := n.Write(pg.AppendStartup(nil, "client", "core")); err != nil {
			n.Close()
			return Reply{How: emulator.Broken, At: crossed}, nil
		}
		c.link = pg.NewLink(answerBytes, answerBytes, answerBytes)
		if r, _, ok := c.read(q, p); !ok || r.Code != "" {
			n.Close()
			return refusal(r, ok, p), nil
		}
	}
	switch peek(c.net) {
	case more:
		p.unasked(c.last)
		fallthrough
	case ended:
		c.net.Close()
		return Reply{How: emulator.Broken, At: crossed}, nil
	}
	c.last = q.ID
	if _, err := c.net.Write(pg.AppendQuery(nil, q.SQL)); err != nil {
		c.net.Close()
		return Reply{How: emulator.Broken, At: crossed}, nil
	}
	r, some, ok := c.read(q, p)
	if !ok {
		c.net.Close()
		at := time.Duration(0)
		if !some {
			at = crossed
		}
		return Reply{How: emulator.Broken, At: at}, nil
	}
	reply := refusal(r, true, p)
	if r.Code == "" {
		reply.How, reply.Value = emulator.Served, string(r.Value)
	}
	if r.Fatal {
		if r.Code == "" { // more came than the one answer
			p.unasked(q.ID)
		}
		c.net.Close()
		return reply, nil
	}
	return reply, c
}

// hold notes the connection that a request travels on, so that its client can go away. If it has gone already, the
// connection ends now.
func (p *Postgres) hold(q *Request, c *conn) {
	if _, waits := p.busy[q]; waits && p.clock.Now() < q.Deadline {
		p.busy[q] = c
		return
	}
	c.net.Close()
}

func (p *Postgres) unasked(request string) {
	p.clock.Do(func() {
		if p.Unasked != nil {
			p.Unasked(request)
		}
	})
}

type peeked uint8

const (
	nothing peeked = iota
	more           // there are bytes to read
	ended          // the peer has closed
)

// peek looks at what a connection holds, without waiting.
func peek(c net.Conn) (found peeked) {
	raw, err := c.(*net.TCPConn).SyscallConn()
	if err != nil {
		return ended
	}
	var b [1]byte
	raw.Read(func(fd uintptr) bool {
		n, _, err := unix.Recvfrom(int(fd), b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		switch {
		case n > 0:
			found = more
		case err != unix.EAGAIN:
			found = ended
		}
		return true
	})
	return found
}

func refusal(r pg.Reply, ok bool, p *Postgres) Reply {
	if !ok {
		return Reply{How: emulator.Broken, At: crossed}
	}
	reply := Reply{How: emulator.Failed, At: p.clock.Now()}
	if r.Code == pg.CodeFull || r.Code == pg.CodeNotNow {
		reply.How = emulator.Refused
		if ms, err := strconv.Atoi(r.Detail); err == nil {
			reply.After = time.Duration(ms) * time.Millisecond
		}
	}
	return reply
}

// read reads one answer. some tells whether any byte of it has come.
func (c *conn) read(q *Request, p *Postgres) (r pg.Reply, some, ok bool) {
	buf := make([]byte, 16<<10)
	if q.Load.SlowRead {
		buf = buf[:16]
	}
	for {
		n, err := c.net.Read(buf)
		if n > 0 {
			some = true
			r, done, bad := c.link.Feed(buf[:n])
			if bad != nil {
				p.unasked(q.ID)
				return r, some, false
			}
			if done {
				return r, some, true
			}
		}
		if err != nil {
			return r, some, false
		}
		if q.Load.SlowRead {
			time.Sleep(slowestSleep)
		}
	}
}

// Ready tells whether a pooler answers an empty query.
func Ready(addr string) bool {
	n, err := net.DialTimeout("tcp", addr, time.Second)
	if err != nil {
		return false
	}
	defer n.Close()
	n.SetDeadline(time.Now().Add(time.Second))
	if _, err := n.Write(pg.AppendQuery(pg.AppendStartup(nil, "client", "core"), "")); err != nil {
		return false
	}
	var got []byte
	buf := make([]byte, 4096)
	for {
		k, err := n.Read(buf)
		got = append(got, buf[:k]...)
		if bytes.Contains(got, []byte("I\x00\x00\x00\x04Z")) {
			return true
		}
		if err != nil {
			return false
		}
	}
}
