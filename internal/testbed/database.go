package testbed

import (
	"context"
	"maps"
	"net"
	"regexp"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"google.golang.org/grpc"

	"capercove/internal/clock"
	"capercove/internal/discovery"
)

// Database is a stand-in for one database on both wires. What it does with a statement is chosen by a word in the
// statement's text, see behaviour; all other statements are served.
type Database struct {
	ID, Addr, Flight string // Flight is empty unless WithFlight is used

	t             *testing.T
	primary       atomic.Bool
	clockOffset   atomic.Int64          // in milliseconds, see ClockAhead
	loadReport    atomic.Value          // string, see SetLoadReport
	released      chan struct{}         // closed by Release
	flightOptions []grpc.ServerOption   // of the Flight SQL server
	cores         chan struct{}         // one element for each core in use; nil: statements take no time
	mu            sync.Mutex            // guards all below
	statements    []receivedStatement   // health checks left out
	handshakes    int                   // on the PostgreSQL wire
	deadlines     map[string][]string   // by statement, see Deadlines
	executions    map[string]int        // of statements that write, by their ID
	misrouted     int                   // statements that write and were rejected, since this was no primary
	probes        int                   // health checks
	tickets       int                   // requests for a ticket that were delayed
	abandoned     int                   // unanswered statements and endless streams that the pooler ended
	frozen        bool                  // see Freeze
	connections   map[net.Conn]struct{} // that were accepted and not cut
}

// receivedStatement is a statement with the time at which it was received.
type receivedStatement struct {
	sql string
	at  time.Time
}

func newDatabase(t *testing.T, id string, as role) *Database {
	t.Helper()
	created := &Database{
		ID: id, t: t, connections: map[net.Conn]struct{}{}, released: make(chan struct{}),
		executions: map[string]int{}, deadlines: map[string][]string{},
	}
	created.primary.Store(as == primary)
	listener := created.listen()
	created.Addr = listener.Addr().String()
	go created.acceptPostgres(listener)
	return created
}

// entry returns the database's entry in the endpoint list.
func (d *Database) entry(phase string) discovery.Entry {
	return discovery.Entry{ID: d.ID, Addr: d.Addr, Locality: "a", Cell: 3, Phase: phase, Mode: d.mode()}
}

// mode returns the database's role as both wires and the endpoint list name it.
func (d *Database) mode() string {
	if d.primary.Load() {
		return "read-write"
	}
	return "read-only"
}

// Statements returns the statements that were received, health checks left out.
func (d *Database) Statements() []string {
	d.mu.Lock()
	defer d.mu.Unlock()
	received := make([]string, 0, len(d.statements))
	for _, statement := range d.statements {
		received = append(received, statement.sql)
	}
	return received
}

// Between returns the statements that were received after one time and before another, health checks left out.
func (d *Database) Between(from, to time.Time) (received []string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, statement := range d.statements {
		if statement.at.After(from) && statement.at.Before(to) {
			received = append(received, statement.sql)
		}
	}
	return received
}

// Probes returns how many health checks were received.
func (d *Database) Probes() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.probes
}

// Abandoned returns how many statements the pooler ended before they were answered.
func (d *Database) Abandoned() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.abandoned
}

// Deadlines returns the timeout, in milliseconds, that the pooler sent last with a statement over Flight; empty if it
// sent none.
func (d *Database) Deadlines(sql string) []string {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.deadlines[sql]
}

// Tickets returns how many requests for a ticket were delayed.
func (d *Database) Tickets() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.tickets
}

// Connections returns how many connections were started on the PostgreSQL wire.
func (d *Database) Connections() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.handshakes
}

// Open returns how many connections were accepted and not cut.
func (d *Database) Open() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return len(d.connections)
}

// Executions returns how often each statement that writes was executed, by its ID.
func (d *Database) Executions() map[string]int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return maps.Clone(d.executions)
}

// Misrouted returns how many statements that write were received while this was no primary.
func (d *Database) Misrouted() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.misrouted
}

// Release lets all statements that wait for it, and those to come, be served.
func (d *Database) Release() { close(d.released) }

// Cores bounds the database's CPU: from now on a statement with takesN in it occupies one core for N milliseconds, and
// waits for it while all are in use.
func (d *Database) Cores(n int) { d.cores = make(chan struct{}, n) }

// serviceTime finds how many milliseconds a statement takes.
var serviceTime = regexp.MustCompile(`takes(\d+)`)

// occupyCore takes the service time of a statement, see Cores.
func (d *Database) occupyCore(sql string) {
	if d.cores == nil {
		return
	}
	match := serviceTime.FindStringSubmatch(sql)
	if match == nil {
		return
	}
	milliseconds, err := strconv.Atoi(match[1])
	if err != nil { // out of range
		return
	}
	d.cores <- struct{}{}
	time.Sleep(time.Duration(milliseconds) * time.Millisecond)
	<-d.cores
}

// Lead makes the database the primary, or a replica.
func (d *Database) Lead(on bool) { d.primary.Store(on) }

// Cut closes all connections.
func (d *Database) Cut() {
	d.mu.Lock()
	defer d.mu.Unlock()
	for connection := range d.connections {
		_ = connection.Close()
		delete(d.connections, connection)
	}
}

// Freeze makes the database unresponsive on the PostgreSQL wire, as one behind a network partition: its connections
// stay open, new ones are accepted, and nothing is answered or executed.
func (d *Database) Freeze(on bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.frozen = on
}

func (d *Database) isFrozen() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.frozen
}

// ClockAhead sets how far the clock from which the database reports its replication position is ahead, or behind.
// Compared with databases that are further ahead, it lags.
func (d *Database) ClockAhead(by time.Duration) { d.clockOffset.Store(by.Milliseconds()) }

// position returns the replication position: a time by the database's own clock, in Unix milliseconds.
func (d *Database) position() int64 {
	now := clock.Wall().UnixMilli() //nolint:forbidigo // the stand-in plays another machine's clock
	return now + d.clockOffset.Load()
}

// SetLoadReport attaches a load report, such as "backlog=3", to every answer.
func (d *Database) SetLoadReport(report string) { d.loadReport.Store(report) }

// recordDeadline records the timeout that was sent with a statement.
func (d *Database) recordDeadline(sql string, milliseconds []string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.deadlines[sql] = milliseconds
}

// countAbandoned counts a statement that the pooler ended before it was answered.
func (d *Database) countAbandoned() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.abandoned++
}

// trackingListener is a listener whose connections Cut closes.
type trackingListener struct {
	net.Listener
	database *Database
}

// Accept implements net.Listener.
func (l trackingListener) Accept() (net.Conn, error) {
	connection, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	l.database.mu.Lock()
	defer l.database.mu.Unlock()
	l.database.connections[connection] = struct{}{}
	return connection, nil
}

func (d *Database) listen() net.Listener {
	listener, err := new(net.ListenConfig).Listen(context.Background(), "tcp", "127.0.0.1:0")
	require.NoError(d.t, err)
	d.t.Cleanup(func() { _ = listener.Close() })
	return trackingListener{listener, d}
}
