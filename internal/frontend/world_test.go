package frontend_test

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"time"

	"github.com/panjf2000/gnet/v2"
	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"
	"golang.org/x/sys/unix"

	"capercove/internal/core"
	"capercove/internal/eventloop"
	"capercove/internal/frontend"
	"capercove/internal/intake"
	"capercove/internal/limits"
	"capercove/internal/pg"
	"capercove/internal/testbed"
	"capercove/routing"
)

// harness runs a frontend with a core in the test's process. The test advances the clock, answers as the databases, and
// decides how each socket behaves. The harness implements all interfaces that the core and the frontend need.
type harness struct {
	t        *testing.T
	now      time.Duration
	limits   limits.Frontend
	core     *core.Core
	frontend *frontend.Frontend
	attempts []*core.Attempt // not answered yet, in the order of sending
	observed []uint64        // numbers of the connections that were reported closed to the observer
	ids      int             // number of statements so far, and ID of the last one
	sockets  map[int]*fakeSocket
	queued   []gnet.Runnable // what the event loop does at the end of the round
}

func newHarness(t *testing.T, change func(bounds *limits.Frontend)) *harness {
	t.Helper()
	const deadline = 5 * time.Second
	harness := &harness{t: t, now: 1_800_000_000 * time.Second}
	bounds := limits.For(limits.Machine{MemoryMB: 64, Sockets: 256}, limits.Timeouts{
		Connect: time.Second, Keepalive: 15 * time.Second, LongestDeadline: deadline,
	})
	harness.limits = bounds.Frontend
	if change != nil {
		change(&harness.limits)
	}
	settings := routing.Settings{
		Routers: 1, MaxAttempts: 1, CanCancel: true, DrainGrace: time.Second,
		SlowStartShare: 0.2, SlowStartTime: 10 * time.Second, OverloadMultiple: 3, OverloadWindow: time.Second,
		Classes: []routing.Class{{
			Read: routing.AnyRead, LatencyObjective: time.Second, Deadline: deadline, Weight: 1, LateWeight: 0.2,
		}},
	}
	harness.core = core.New(core.Settings{Settings: settings, Names: []string{"read"}}, 1, bounds.Request,
		zerolog.Nop(), func() time.Duration { return harness.now }, func() {}, func() {})
	harness.core.Attach(harness, harness, harness)
	harness.core.Start()
	node := routing.Node{ID: 1, State: routing.Ready, Group: 3}
	harness.core.ReplaceMembers([]core.Member{{Node: node, Name: "db"}})
	harness.frontend = frontend.New(harness.limits, zerolog.Nop(), harness.core, intake.New(harness.core), harness,
		harness)
	harness.sockets = map[int]*fakeSocket{}
	harness.frontend.SetSender(func(descriptor int, data []byte) (int, error) {
		return harness.sockets[descriptor].send(data)
	})
	harness.pass(50 * time.Millisecond)
	return harness
}

// Statement implements intake.PostgresBackend.
func (harness *harness) Statement(pg.Query) core.Statement { return harness }

// Send implements core.Statement.
func (harness *harness) Send(attempt *core.Attempt) core.Transmission {
	harness.attempts = append(harness.attempts, attempt)
	return harness
}

// Cancel implements core.Transmission.
func (harness *harness) Cancel() {}

// Subscribe implements core.EndpointLister.
func (harness *harness) Subscribe() {}

// Probe implements core.HealthChecker.
func (harness *harness) Probe(member *core.Member) {
	evidence := routing.Evidence{Role: routing.Primary, Position: harness.now}
	harness.core.Probed(member, routing.OK, 0, evidence)
}

// Changed implements core.Watcher.
func (harness *harness) Changed(*core.Member) {}

// Removed implements core.Watcher.
func (harness *harness) Removed(*core.Member) {}

// Bytes implements frontend.TrafficObserver.
func (harness *harness) Bytes(uint64, []byte) {}

// Closed implements frontend.TrafficObserver.
func (harness *harness) Closed(connection uint64) {
	harness.observed = append(harness.observed, connection)
}

// pass advances the clock in steps, and fires the timers that are due at each step.
func (harness *harness) pass(span time.Duration) {
	for end := harness.now + span; harness.now < end; {
		harness.now += 5 * time.Millisecond
		harness.core.Tick()
		harness.core.Flush()
		harness.endRound()
	}
}

// endRound does what was queued on the event loop.
func (harness *harness) endRound() {
	queued := harness.queued
	harness.queued = nil
	for _, task := range queued {
		require.NoError(harness.t, task.Run(harness.t.Context()))
	}
}

// statement returns a read with a new ID, as a client sends it.
func (harness *harness) statement() []byte { return testbed.Query(harness.statementText()) }

// statementText returns a read with a new ID.
func (harness *harness) statementText() string {
	harness.ids++
	return fmt.Sprintf("SELECT 1 /* id=%x,c=read,d=4000,cluster=3 */", harness.ids)
}

// nextAttempt removes and returns the earliest attempt that is not answered yet. The test has to answer it.
func (harness *harness) nextAttempt() *core.Attempt {
	harness.t.Helper()
	harness.core.Flush()
	require.NotEmpty(harness.t, harness.attempts)
	attempt := harness.attempts[0]
	harness.attempts = harness.attempts[1:]
	return attempt
}

// answer answers the next attempt on behalf of its database.
func (harness *harness) answer(value string) {
	harness.t.Helper()
	evidence := routing.Evidence{Role: routing.Primary, Position: harness.now}
	harness.core.Done(harness.nextAttempt(), routing.OK, evidence, []byte(value))
	harness.core.Flush()
}

// connect opens a connection without sending a startup message. The prepare functions change the socket first.
func (harness *harness) connect(prepare ...func(socket *fakeSocket)) *fakeSocket {
	harness.t.Helper()
	pair, err := unix.Socketpair(unix.AF_UNIX, unix.SOCK_STREAM|unix.SOCK_CLOEXEC, 0)
	require.NoError(harness.t, err)
	socket := &fakeSocket{harness: harness, descriptor: pair[0], peer: pair[1]}
	harness.t.Cleanup(func() {
		require.NoError(harness.t, unix.Close(pair[0]))
		require.NoError(harness.t, unix.Close(pair[1]))
	})
	for _, change := range prepare {
		change(socket)
	}
	harness.sockets[socket.descriptor] = socket
	socket.owner = harness.frontend.Accept(socket)
	return socket
}

// start opens a connection and sends its startup message.
func (harness *harness) start() *fakeSocket {
	harness.t.Helper()
	socket := harness.connect()
	socket.receive(pg.AppendStartup(nil, "client", "core"))
	socket.written = nil
	return socket
}

// fakeSocket is gnet's end of a connection. It implements only the methods that the frontend calls.
type fakeSocket struct {
	gnet.Conn

	harness          *harness
	owner            eventloop.Socket
	descriptor, peer int
	written          []byte
	isFull           bool // the kernel takes no bytes, as the client does not read
	failWrites       bool // a write fails
	closed           int  // number of closes: 0 or 1
}

var errBroken = errors.New("broken pipe")

// SetContext implements gnet.Conn.
func (socket *fakeSocket) SetContext(owner any) { socket.owner = owner.(eventloop.Socket) }

// Fd implements gnet.Conn.
func (socket *fakeSocket) Fd() int { return socket.descriptor }

// EventLoop implements gnet.Conn.
func (socket *fakeSocket) EventLoop() gnet.EventLoop { return fakeLoop{socket: socket} }

// send writes to the client, as eventloop.WriteNow does.
func (socket *fakeSocket) send(data []byte) (int, error) {
	switch {
	case socket.failWrites:
		return 0, errBroken
	case socket.isFull:
		return 0, nil
	}
	socket.written = append(socket.written, data...)
	return len(data), nil
}

// close closes the connection and calls Closed, but only once, like gnet.
func (socket *fakeSocket) close(err error) {
	if socket.closed == 0 {
		socket.closed++
		socket.owner.Closed(err)
	}
}

// receive delivers bytes from the client to the frontend.
func (socket *fakeSocket) receive(data []byte) { socket.owner.Received(data) }

// hasEnded reports whether the frontend has shut down its sending side.
func (socket *fakeSocket) hasEnded() bool {
	n, _, err := unix.Recvfrom(socket.peer, make([]byte, 1), unix.MSG_PEEK|unix.MSG_DONTWAIT)
	return err == nil && n == 0
}

// fakeLoop is the gnet event loop of a socket.
type fakeLoop struct {
	gnet.EventLoop
	socket *fakeSocket
}

// Execute implements gnet.EventLoop.
func (loop fakeLoop) Execute(_ context.Context, task gnet.Runnable) error {
	loop.socket.harness.queued = append(loop.socket.harness.queued, task)
	return nil
}

// Close implements gnet.EventLoop.
func (loop fakeLoop) Close(gnet.Conn) error {
	loop.socket.close(nil)
	return nil
}
