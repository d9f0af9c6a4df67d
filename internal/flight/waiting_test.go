package flight

import (
	"fmt"
	"net"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"golang.org/x/net/http2"
	"golang.org/x/sys/unix"

	"capercove/internal/core"
	"capercove/routing"
)

const (
	// allowedFor is how long the attempts of these tests may be written.
	allowedFor = 150 * time.Millisecond
	// longSQLBytes is more than any window or buffer of these tests.
	longSQLBytes = 300 << 10
	// smallWindow is what a database lets the pooler send of a message, in bytes.
	smallWindow = 1 << 10
)

// serialLoop stands in for an event loop. It runs one function at a time.
func serialLoop() func(func()) {
	var running sync.Mutex
	return func(f func()) {
		running.Lock()
		defer running.Unlock()
		f()
	}
}

// waitingAttempt is an attempt that runs on a goroutine of its own.
type waitingAttempt struct {
	*attempt
	first *connection // that it began to wait for
	ended chan *attemptError
}

// start runs an attempt of an update that may be written for so long.
func start(t *testing.T, backend *Backend, member *core.Member, sql string, limit time.Duration) waitingAttempt {
	t.Helper()
	return startOn(t, nil, backend, member, sql, limit)
}

// startOn is start on a connection, if one is given, whether it has a stream left or not.
func startOn(
	t *testing.T, on *connection, backend *Backend, member *core.Member, sql string, limit time.Duration,
) waitingAttempt {
	t.Helper()
	var update *attempt
	backend.runOnLoop(func() { update = newUpdate(t, backend, member) })
	if on != nil {
		update.connection, update.isConfirmed = on, true
	}
	update.statement.SQL = sql
	update.WriteLimit = routing.WriteLimit{Until: backend.core.Now() + limit, Condition: routing.ProvenFresh}
	started := waitingAttempt{update, update.connection, make(chan *attemptError, 1)}
	go func() {
		_, failure := update.run()
		update.end()
		started.ended <- failure
	}()
	return started
}

// requireWithdrawn waits for the end of an attempt and requires that it was not sent.
func (waiting waitingAttempt) requireWithdrawn(t *testing.T) {
	t.Helper()
	select {
	case failure := <-waiting.ended:
		require.NotNil(t, failure)
		require.Equal(t, routing.NotSent, failure.status(), "%v", failure)
	case <-time.After(waitLimit):
		require.Fail(t, "the attempt does not end")
	}
}

// passLimit waits until an attempt may not be written any more.
func (waiting waitingAttempt) passLimit(t *testing.T) {
	t.Helper()
	limit, now := waiting.WriteLimit, waiting.backend.core.Now
	require.Eventually(t, func() bool { return !limit.Allows(now()) }, waitLimit, checkInterval)
}

// A database allows a number of calls at once, and all are in use. Guards against a statement that waits in gRPC for
// one of them and is sent when one ends, on data that is too old or at a database that is gone by then.
func TestStatementThatWaitsForStreamIsCheckedAgain(t *testing.T) {
	for _, allowed := range []uint32{1, 4, 8} {
		for name, bar := range map[string]func(waiting waitingAttempt, backend *Backend, member *core.Member){
			"limit has passed": func(waiting waitingAttempt, _ *Backend, _ *core.Member) { waiting.passLimit(t) },
			"database is gone": func(_ waitingAttempt, backend *Backend, member *core.Member) {
				member.State = routing.Gone
				backend.Changed(member)
			},
			"database drains": func(_ waitingAttempt, _ *Backend, member *core.Member) { member.DrainingSince = 1 },
		} {
			t.Run(fmt.Sprint(allowed, " streams, ", name), func(t *testing.T) {
				database := newScriptedDatabase(t, http2.Setting{ID: http2.SettingMaxConcurrentStreams, Val: allowed})
				backend, member := newTestBackend(t, waitLimit, database.address, nil, serialLoop())
				occupants := int(allowed)
				var busy *connection
				for range occupants {
					busy = start(t, backend, member, "long", waitLimit).first
				}
				database.awaitSeen(func(seen streams) bool { return len(seen.whole) == occupants }, "all are in use")
				waiting := startOn(t, busy, backend, member, "waits", allowedFor)
				isOpening := func() bool { return len(waiting.first.opening) == 1 }
				require.Eventually(t, isOpening, waitLimit, checkInterval)
				opening := time.Now()
				hasWaited := func() bool { return time.Since(opening) > waiting.limits.MaxCheckAge }
				require.Eventually(t, hasWaited, waitLimit, checkInterval)
				backend.runOnLoop(func() { bar(waiting, backend, member) })
				database.reject(database.seen().whole[0])
				waiting.requireWithdrawn(t)
				require.Len(t, database.seen().whole, occupants)
			})
		}
	}
}

// Guards against a statement that waits in gRPC for the database's flow control after it was checked, and is sent whole
// once the database reads on, on data that is too old by then.
func TestStatementThatWaitsForFlowControlIsCheckedAgain(t *testing.T) {
	database := newScriptedDatabase(t, http2.Setting{ID: http2.SettingInitialWindowSize, Val: smallWindow})
	backend, member := newTestBackend(t, waitLimit, database.address, nil, serialLoop())
	waiting := start(t, backend, member, strings.Repeat("x", longSQLBytes), allowedFor)
	waiting.requireWithdrawn(t)
	require.False(t, waiting.mayHaveArrived.Load())
	database.awaitSeen(func(seen streams) bool { return len(seen.reset) == 1 }, "the call is given up")
	database.allow(1, longSQLBytes)
	second := start(t, backend, member, "short", waitLimit)
	database.awaitSeen(func(seen streams) bool { return len(seen.whole) > 0 }, "the connection serves on")
	require.Equal(t, []uint32{3}, database.seen().whole)
	require.True(t, second.mayHaveArrived.Load())
}

// A statement that waits for flow control is sent whole while it may be.
func TestStatementIsSentOnceFlowControlAllows(t *testing.T) {
	database := newScriptedDatabase(t, http2.Setting{ID: http2.SettingInitialWindowSize, Val: smallWindow})
	backend, member := newTestBackend(t, waitLimit, database.address, nil, serialLoop())
	waiting := start(t, backend, member, strings.Repeat("x", longSQLBytes), waitLimit)
	database.awaitSeen(func(seen streams) bool { return len(seen.opened) == 1 }, "the call has come")
	require.False(t, waiting.mayHaveArrived.Load())
	database.allow(1, 2*longSQLBytes)
	database.awaitSeen(func(seen streams) bool { return len(seen.whole) == 1 }, "the message has come")
	database.reject(1)
	failure := <-waiting.ended
	require.Equal(t, rejected, failure.kind, "%v", failure)
	require.True(t, waiting.mayHaveArrived.Load())
}

// Guards against a database that is told of more time than is left: it gets the headers of a call at once, and the
// statement only after it has read on.
func TestStatementIsNotSentLongAfterItsHeaders(t *testing.T) {
	database := newScriptedDatabase(t, http2.Setting{ID: http2.SettingInitialWindowSize, Val: smallWindow})
	backend, member := newTestBackend(t, waitLimit, database.address, nil, serialLoop())
	begun := time.Now()
	waiting := start(t, backend, member, strings.Repeat("x", longSQLBytes), waitLimit)
	waiting.requireWithdrawn(t)
	const toWrite = time.Duration(longSQLBytes) * time.Second / (1 << 20)
	require.GreaterOrEqual(t, time.Since(begun), toWrite, "a slow network may take so long")
	require.Empty(t, database.seen().whole)
}

// Guards against a statement that stays in a full socket after its check, and that the database gets when it reads on.
func TestStatementThatWaitsForSocketIsCheckedAgain(t *testing.T) {
	database := newScriptedDatabase(t, http2.Setting{ID: http2.SettingInitialWindowSize, Val: hugeWindow})
	database.isSilent = true
	dialer := &net.Dialer{Control: func(_, _ string, socket syscall.RawConn) error {
		return socket.Control(func(fd uintptr) {
			_ = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_SNDBUF, smallWindow) // the test shows it
		})
	}}
	backend, member := newTestBackend(t, waitLimit, database.address, dialer, serialLoop())
	var all []waitingAttempt
	for range 20 { // more than the buffers of both sides hold
		all = append(all, start(t, backend, member, strings.Repeat("x", longSQLBytes), allowedFor))
	}
	leaving := 0
	for _, waiting := range all {
		select {
		case failure := <-waiting.ended:
			require.NotNil(t, failure)
			require.Equal(t, !waiting.mayHaveArrived.Load(), failure.status().NeverRan(), "%v", failure)
			if waiting.mayHaveArrived.Load() {
				leaving++
			}
		case <-time.After(waitLimit):
			require.Fail(t, "the attempt does not end")
		}
	}
	require.Less(t, leaving, len(all), "some were held back")
}

// Guards against an attempt that is told of a connection and begins on the one that replaced it: which of the
// statements has left is not known then, and each counts as one that may have run.
func TestStreamsOfReplacedSocketCountAsWritten(t *testing.T) {
	client, server := net.Pipe()
	t.Cleanup(func() { _ = client.Close(); _ = server.Close() })
	socket := newDatabaseSocket(client)
	before := socket.register(new(attempt))
	socket.loseTrack()
	after := socket.register(new(attempt))
	require.True(t, before.attempt.mayHaveArrived.Load())
	require.True(t, after.attempt.mayHaveArrived.Load())
	require.False(t, before.withdraw())
}
