package testbed

import (
	"fmt"
	"net"
	"strconv"
	"time"

	"golang.org/x/sys/unix"

	"capercove/internal/pg"
)

const (
	maxQueryBytes  = 1 << 20  // of a session
	readBufferSize = 64 << 10 // bytes
)

// failureMessage is the text of all errors that statements request.
const failureMessage = "told to"

// probeQuery is the pooler's health check.
const probeQuery = "SHOW stats"

func (d *Database) acceptPostgres(listener net.Listener) {
	for {
		accepted, err := listener.Accept()
		if err != nil {
			return
		}
		connection := &postgresConnection{Conn: accepted, database: d, session: pg.NewSession(maxQueryBytes)}
		go connection.serve()
	}
}

// postgresConnection is a connection from the pooler on the PostgreSQL wire.
type postgresConnection struct {
	net.Conn
	database   *Database
	session    *pg.Session
	arrivedAt  time.Time // when the kernel received the last bytes that were read
	unanswered bool      // the last statement is not going to be answered
}

// connectionState says whether a connection is read any further.
type connectionState uint8

const (
	connectionOpen connectionState = iota
	connectionEnded
)

// serve handles what comes on the connection until either side ends it.
func (c *postgresConnection) serve() {
	defer func() { _ = c.Close() }()
	buffer := make([]byte, readBufferSize)
	for {
		length, err := c.Read(buffer)
		if err != nil {
			if c.unanswered {
				c.database.countAbandoned()
			}
			return
		}
		c.arrivedAt = time.Now().Add(-c.sinceLastData())
		if c.database.isFrozen() {
			continue
		}
		c.session.Feed(buffer[:length])
		if c.handleCommands() == connectionEnded {
			return
		}
	}
}

// sinceLastData returns how long ago the kernel received the last bytes of the connection, in whole milliseconds. A
// busy machine may read them much later. It returns 0 if the kernel does not report the time.
func (c *postgresConnection) sinceLastData() (age time.Duration) {
	tcp, ok := c.Conn.(*net.TCPConn)
	if !ok {
		return 0
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return 0
	}
	// A connection that is closed has no such time.
	_ = raw.Control(func(descriptor uintptr) {
		info, err := unix.GetsockoptTCPInfo(int(descriptor), unix.IPPROTO_TCP, unix.TCP_INFO)
		if err == nil {
			age = time.Duration(info.Last_data_recv) * time.Millisecond
		}
	})
	return age
}

// handleCommands handles the commands that are complete.
func (c *postgresConnection) handleCommands() connectionState {
	for {
		command, ok := c.session.Next()
		if !ok {
			return connectionOpen
		}
		if command.Query == "" {
			c.database.countHandshake()
			c.send(command.Reply)
			continue
		}
		if c.handleQuery(command.Query) == connectionEnded {
			return connectionEnded
		}
	}
}

func (c *postgresConnection) handleQuery(sql string) connectionState {
	reply, does := c.database.reply(sql, c.arrivedAt)
	c.unanswered = does == neverAnswer
	switch does {
	case closeConnection:
		return connectionEnded
	case breakHalfway, breakOrdinary:
		c.send(reply[:len(reply)/2])
		return connectionEnded
	case stopHalfway:
		c.send(reply[:len(reply)/2])
		return connectionOpen
	case serveAfterRelease:
		<-c.database.released
	}
	c.send(reply)
	return connectionOpen
}

// send writes to the pooler. If the connection has ended, the next read says so.
func (c *postgresConnection) send(message []byte) { _, _ = c.Write(message) }

func (d *Database) countHandshake() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.handshakes++
}

// reply returns the answer to a statement that arrived at a time, and the behaviour that the caller has to show.
func (d *Database) reply(sql string, at time.Time) ([]byte, behaviour) {
	if sql == probeQuery {
		return d.probeReply(), serve
	}
	d.occupyCore(sql)
	does := d.receive(sql, at)
	value := "from " + d.ID
	switch does {
	case rejectOverloaded:
		return d.errorReply(pg.CodeTooManyConnections), does
	case failStatement:
		return d.errorReply("XX000"), does
	case rejectReadOnly:
		return d.errorReply(pg.CodeReadOnly), does
	case rejectUnusable:
		return d.errorReply(pg.CodeSyntax), does
	case neverAnswer, closeConnection:
		return nil, does
	case answerLong, breakHalfway:
		value = Long
	case breakOrdinary, stopHalfway:
		value = Ordinary
	}
	good := pg.AppendValue(d.appendParameters(nil), value)
	if corrupt := corruptions[does]; corrupt != nil {
		return corrupt(good), does
	}
	return good, does
}

// probeReply returns the answer to a health check.
func (d *Database) probeReply() []byte {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.probes++
	isPrimary := 0
	if d.primary.Load() {
		isPrimary = 1
	}
	seconds := float64(d.position()) / 1000
	return pg.AppendValue(nil, fmt.Sprintf("x0=%.3f,x1=%d,util=0.1", seconds, isPrimary))
}

// appendParameters appends what each answer reports: load, role and replication position.
func (d *Database) appendParameters(message []byte) []byte {
	if report, ok := d.loadReport.Load().(string); ok {
		message = pg.AppendParameter(message, "stats", report)
	}
	message = pg.AppendParameter(message, "mode", d.mode())
	return pg.AppendParameter(message, "wal_time", strconv.FormatInt(d.position(), 10))
}

func (d *Database) errorReply(code string) []byte {
	return pg.AppendReady(d.appendParameters(pg.AppendError(nil, pg.SeverityError, code, failureMessage, "")))
}
