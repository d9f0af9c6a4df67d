package standin

import (
	"fmt"
	"net"
	"strconv"
	"time"

	"capercove/internal/emulator"
	"capercove/internal/pg"
	"capercove/internal/scenario"
)

const (
	maxPendingWrites = 16       // of one connection
	maxQueryBytes    = 1 << 20  // of a session
	readBufferSize   = 64 << 10 // bytes
	probeQuery       = "SHOW stats"
)

// counting says whether the database counts a connection.
type counting bool

const (
	counted   counting = true
	uncounted counting = false // it was rejected, since there are too many
)

// connection is a connection of a pooler to a database. One goroutine reads, one writes, and the loop, which has its
// state, decides.
type connection struct {
	server   *server
	net      net.Conn
	job      *emulator.Job // in execution; nil: none
	closed   bool
	output   chan []byte   // messages to write; nil ends the writer
	lastUsed time.Duration // by the loop's clock
}

// checkIdle closes the connection when it has been idle for too long, and checks again later.
func (c *connection) checkIdle() {
	fleet := c.server.pooler.fleet
	timeout := scenario.Millis(fleet.Scenario.Server.IdleMS)
	if c.closed {
		return
	}
	now := fleet.Clock.Now()
	if c.job == nil && now-c.lastUsed >= timeout {
		c.close(counted)
		return
	}
	fleet.Clock.At(max(c.lastUsed+timeout, now+timeout/8), c.checkIdle)
}

// close ends the connection after what is to be written, and drops its job.
func (c *connection) close(count counting) {
	if c.closed {
		return
	}
	c.closed = true
	member := c.server.member
	if _, open := c.server.connections[c.net]; open {
		delete(c.server.connections, c.net)
		if count == counted && member.Connections > 0 {
			member.Connections--
		}
	}
	if c.job != nil {
		member.Cancel(c.job)
		c.job = nil
	}
	c.send(nil)
}

// send hands a message to the writer. A pooler that does not read loses its connection.
func (c *connection) send(message []byte) {
	select {
	case c.output <- message:
	default:
		_ = c.net.Close()
	}
}

// write writes messages until the end.
func (c *connection) write() {
	defer func() { _ = c.net.Close() }()
	for message := range c.output {
		if message == nil {
			return
		}
		if _, err := c.net.Write(message); err != nil {
			return
		}
	}
}

// read hands commands to the loop until the connection or the fleet ends.
func (c *connection) read() {
	clock := c.server.pooler.fleet.Clock
	session := pg.NewSession(maxQueryBytes)
	buffer := make([]byte, readBufferSize)
	for {
		length, err := c.net.Read(buffer)
		if err != nil {
			clock.Do(func() { c.close(counted) })
			return
		}
		session.Feed(buffer[:length])
		for {
			command, ok := session.Next()
			if !ok {
				break
			}
			if !clock.Do(func() { c.handle(command) }) {
				return
			}
		}
	}
}

// isSilent returns whether nothing may be sent to the pooler any more, or for now.
func (c *connection) isSilent() bool { return c.closed || c.server.member.Silent(c.server.pooler.zone) }

// handle handles one command, on the loop. A silent database's connection stays open.
func (c *connection) handle(command pg.Command) {
	if c.isSilent() {
		return
	}
	c.lastUsed = c.server.pooler.fleet.Clock.Now()
	switch {
	case command.Query == "":
		c.send(command.Reply)
		if command.Close {
			c.close(counted)
		}
	case command.Query == probeQuery:
		c.send(probeReply(c.server.member.Probe()))
	case pg.ChangesConnectionStateOnly(command.Query):
		c.send(pg.AppendReady(pg.AppendComplete(nil, command.Query)))
	default:
		c.execute(command.Query)
	}
}

// probeReply returns the answer to a health check.
func probeReply(report emulator.LoadReport) []byte {
	isPrimary := 0
	if report.Primary {
		isPrimary = 1
	}
	position := report.Position.Seconds()
	return pg.AppendValue(nil, fmt.Sprintf("x0=%.3f,x1=%d,util=%.3f", position, isPrimary, report.Utilization))
}

// execute submits a statement to the database.
func (c *connection) execute(sql string) {
	fleet := c.server.pooler.fleet
	query, err := pg.ParseQuery(sql)
	class := fleet.Scenario.Class(query.Class)
	if err != nil || class == nil {
		c.send(pg.AppendFailure(nil, pg.CodeProtocol, "not a statement of this form"))
		return
	}
	c.job = &emulator.Job{
		RequestID: query.ID, Pooler: c.server.pooler.name, Class: class, Write: emulator.IsWrite(class, sql),
		Done: func(answer emulator.Answer) {
			c.lastUsed, c.job = fleet.Clock.Now(), nil
			if !c.isSilent() {
				c.answer(answer)
			}
		},
	}
	c.server.member.Submit(c.job)
}

// answer sends a database's answer, with the faults that its connections have.
func (c *connection) answer(answer emulator.Answer) {
	member := c.server.member
	message := encodeAnswer(answer)
	if member.CorruptedShare > 0 && c.server.pooler.fleet.random.Float64() < member.CorruptedShare {
		message[len(message)/2] ^= 0x55
		message[len(message)/3] ^= 0x2a
	}
	if member.ResetAfterBytes > 0 {
		c.send(message[:min(member.ResetAfterBytes, len(message)-1)])
		c.close(counted)
		return
	}
	c.send(message)
}

// encodeAnswer returns an answer as the PostgreSQL wire protocol has it.
func encodeAnswer(answer emulator.Answer) []byte {
	message := pg.AppendParameter(nil, "mode", mode(answer.Primary))
	message = pg.AppendParameter(message, "wal_time", strconv.FormatInt(answer.Position.Milliseconds(), 10))
	switch answer.Outcome {
	case emulator.Succeeded:
		return pg.AppendValue(message, answer.Value)
	case emulator.NotPrimary:
		return pg.AppendFailure(message, pg.CodeReadOnly, "this is not the primary")
	case emulator.Overloaded:
		return pg.AppendFailure(message, pg.CodeTooManyConnections, "the queue is full")
	default:
		return pg.AppendFailure(message, "XX000", "it was deposed meanwhile")
	}
}

// mode returns a database's role as answers and the endpoint list name it.
func mode(primary bool) string {
	if primary {
		return "read-write"
	}
	return "read-only"
}
