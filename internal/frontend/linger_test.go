package frontend_test

import (
	"net"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"golang.org/x/sys/unix"

	"capercove/internal/limits"
	"capercove/internal/pg"
	"capercove/internal/testbed"
	"capercove/internal/testbed/loopback"
)

// queue puts bytes into the send queue of the kernel, as if the client had not received them yet.
func (socket *fakeSocket) queue(t *testing.T, size int) {
	t.Helper()
	_, err := unix.Write(socket.descriptor, make([]byte, size))
	require.NoError(t, err)
}

// receiveQueued receives the queued bytes as the client.
func (socket *fakeSocket) receiveQueued(t *testing.T, size int) {
	t.Helper()
	n, err := unix.Read(socket.peer, make([]byte, size))
	require.NoError(t, err)
	require.Equal(t, size, n)
}

// unreceived is a number of bytes in the send queue of the kernel.
const unreceived = 100

// Guards against a close over bytes that the client has not received: a half-closed connection lingers until they are
// received and the client has had time to close its side, or until the LingerTimeout.
func TestHalfClosedConnectionLingersUntilEverythingIsReceived(t *testing.T) {
	harness := newHarness(t, nil)
	slow, silent := harness.start(), harness.start()
	for _, socket := range []*fakeSocket{slow, silent} {
		socket.queue(t, unreceived)
		socket.receive([]byte("X\x00\x00\x00\x04")) // Terminate
	}
	harness.pass(4 * harness.limits.RejectionTimeout)
	require.Zero(t, slow.closed, "the client has not received everything")
	slow.receiveQueued(t, unreceived)
	require.True(t, slow.hasEnded())
	harness.pass(harness.limits.RejectionTimeout - 10*time.Millisecond)
	require.Zero(t, slow.closed, "the client has had no time to close its side")
	harness.pass(40 * time.Millisecond)
	require.Equal(t, 1, slow.closed)
	require.Zero(t, silent.closed)
	harness.pass(harness.limits.LingerTimeout)
	require.Equal(t, 1, silent.closed, "a client that receives nothing")
	require.True(t, harness.frontend.AllClosed())
}

// Guards against closing a connection as idle, or in favour of another, whose client is still receiving its responses.
// Its idle time begins when it has received everything.
func TestConnectionIsNotIdleWhileItsClientReceives(t *testing.T) {
	harness := newHarness(t, func(bounds *limits.Frontend) { bounds.MaxConnections, bounds.MinIdle = 1, 0 })
	socket := harness.start()
	socket.queue(t, unreceived)
	harness.pass(2 * harness.limits.IdleTimeout)
	require.Contains(t, string(harness.connect().written), pg.CodeTooManyConnections, "none may be evicted")
	require.Zero(t, harness.frontend.Counters().Expired)
	socket.receiveQueued(t, unreceived)
	harness.pass(harness.limits.IdleTimeout - 100*time.Millisecond)
	require.False(t, socket.hasEnded())
	harness.pass(200 * time.Millisecond)
	require.True(t, socket.hasEnded())
	require.EqualValues(t, 1, harness.frontend.Counters().Expired)
}

// A rejected connection is owed no answer, and few of them may linger: its client's delay is bounded by the
// RejectionTimeout alone.
func TestRejectedConnectionDoesNotLingerForItsClient(t *testing.T) {
	harness := newHarness(t, func(bounds *limits.Frontend) { bounds.MaxConnections = 0 })
	socket := harness.connect(func(socket *fakeSocket) { socket.queue(t, unreceived) })
	harness.pass(harness.limits.RejectionTimeout + 20*time.Millisecond)
	require.Equal(t, 1, socket.closed)
}

// Sizes in bytes: of the values of valueDatabase, and of the receive buffer of a slow client, which is a small part of
// what the client is owed. The program's send buffer holds the rest.
const (
	valueBytes    = 30_000
	receiveBuffer = 16 << 10
)

// longValue returns the value of a statement with a key.
func longValue(key string) string { return strings.Repeat(key+" ", valueBytes)[:valueBytes] }

// newValueDatabase starts a primary that answers each statement with the longValue of its key, and returns its address.
// It ends the connection in the middle of a value that the program has to stream if the key is "torn".
func newValueDatabase(t *testing.T) (address string) {
	t.Helper()
	listener := loopback.Listen(t)
	go loopback.Accept(listener, func(connection net.Conn) { go serveValues(connection) })
	return listener.Addr().String()
}

func serveValues(connection net.Conn) {
	defer func() { _ = connection.Close() }() // the program may have closed it
	session, buffer := pg.NewSession(1<<20), make([]byte, 4<<10)
	for {
		n, err := connection.Read(buffer)
		if err != nil {
			return
		}
		session.Feed(buffer[:n])
		for command, ok := session.Next(); ok; command, ok = session.Next() {
			reply := command.Reply
			if _, quoted, found := strings.Cut(command.Query, "'"); found {
				key, _, _ := strings.Cut(quoted, "'")
				reply = pg.AppendValue(pg.AppendParameter(nil, "mode", "read-write"), longValue(key))
				if key == "torn" {
					whole := pg.AppendValue(nil, strings.Repeat("torn ", 100_000))
					_, _ = connection.Write(whole[:valueBytes])
					return
				}
			} else if command.Query != "" {
				reply = pg.AppendValue(pg.AppendParameter(nil, "mode", "read-write"), "x0=0,x1=1")
			}
			if _, err := connection.Write(reply); err != nil {
				return
			}
		}
	}
}

// withLongShutdown builds the program with a shutdown that soon drains, and waits for its clients for long.
func withLongShutdown(t *testing.T) testbed.Option {
	t.Helper()
	const constants = "internal/limits/constants.go"
	return testbed.WithProgram(testbed.Variant(t,
		testbed.Edit{File: constants, Old: "shutdownGrace = 500 * time.Millisecond", New: "shutdownGrace = time.Hour"},
		testbed.Edit{File: constants, Old: "drainTime = 1500 * time.Millisecond", New: "drainTime = 2 * time.Hour"},
		testbed.Edit{File: constants, Old: "sendTimeout = 10 * time.Second", New: "sendTimeout = time.Minute"},
	))
}

// ending is a way in which the program ends a client's connection.
type ending struct {
	last string                 // what the client sends behind its statements
	end  func(bed *testbed.Bed) // makes the program end the connection; may be nil
	rest func(rest []byte) bool // what the client may receive behind its answers
}

var endings = map[string]ending{
	"at SIGTERM": {
		end:  func(bed *testbed.Bed) { bed.Signal(syscall.SIGTERM) },
		rest: func(rest []byte) bool { return len(rest) == 0 },
	},
	"behind an error": {
		last: "!\x00\x00\x00\x04",
		rest: func(rest []byte) bool { return strings.Contains(string(rest), pg.CodeProtocol) },
	},
	"behind an answer that breaks off": {
		last: string(testbed.Query("SELECT val FROM state WHERE uid = 'torn' /* id=ff,c=write,d=20000,cluster=3 */")),
		rest: func(rest []byte) bool {
			_, value, _ := strings.Cut(string(rest), "torn")
			return strings.HasPrefix(strings.Repeat(" torn", valueBytes), value)
		},
	},
	"at its own request": {
		last: "X\x00\x00\x00\x04",
		rest: func(rest []byte) bool { return len(rest) == 0 },
	},
}

// Guards against answers that are lost when a connection ends before its client has received them: however the program
// ends it, a client that reads late, and sends more meanwhile, receives all answers and then the end, and no reset.
func TestLateReaderReceivesAllAnswersBeforeTheEnd(t *testing.T) {
	program := withLongShutdown(t)
	for name, ending := range endings {
		t.Run(name, func(t *testing.T) {
			address := newValueDatabase(t)
			bed := testbed.Start(t, program, func(bed *testbed.Bed) { bed.Known[0].Addr = address })
			client, witness := bed.Client(), bed.Client()
			require.NoError(t, client.Conn.(*net.TCPConn).SetReadBuffer(receiveBuffer))
			var commands []byte
			keys := []string{"first", "second", "third", "fourth"}
			for _, key := range keys {
				commands = pg.AppendQuery(commands, bed.Statement("write", key, testbed.Timeout))
			}
			client.Send(append(commands, ending.last...))
			bed.Counters(func(counters testbed.Counters) bool {
				answers := counters.Core.Fronts[postgresFront]
				return answers.Served == len(keys) && answers.Taken == answers.Served+answers.Failed
			})
			if ending.end != nil {
				ending.end(bed)
				testbed.RequireEnd(t, witness) // the drain has begun
			}
			testbed.Pass(time.Second) // longer than the RejectionTimeout
			_, err := client.Write(testbed.Query(bed.Statement("write", "late", testbed.Timeout)))
			require.NoError(t, err)
			testbed.Pass(50 * time.Millisecond) // a reset would come
			for _, key := range keys {
				reply, err := client.TryNext(testbed.Timeout)
				require.NoError(t, err, key)
				require.True(t, longValue(key) == string(reply.Value), "%s: %d bytes", key, len(reply.Value))
			}
			rest, err := client.Rest()
			require.NoError(t, err, "the client reads the end and no reset")
			require.True(t, ending.rest(rest), "%d bytes", len(rest))
		})
	}
}
