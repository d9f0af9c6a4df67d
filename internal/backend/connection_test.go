package backend

import (
	"context"
	"testing"

	"github.com/panjf2000/gnet/v2"
	"github.com/stretchr/testify/require"

	"capercove/internal/core"
)

// fakeSocket counts calls of Close and Write; any other call panics.
type fakeSocket struct {
	gnet.Conn
	closed, written int
	onWrite         func() // called by Write; may be nil
}

// Close implements gnet.Conn.
func (socket *fakeSocket) Close() error {
	socket.closed++
	return nil
}

// Write implements gnet.Conn.
func (socket *fakeSocket) Write(data []byte) (int, error) {
	socket.written++
	if socket.onWrite != nil {
		socket.onWrite()
	}
	return len(data), nil
}

// newDialingConnection returns a connection in the dialing state, and the number of calls of its cancelDial.
func newDialingConnection() (*connection, *int) {
	cancelled := 0
	database := newDatabase(&core.Member{Name: "db"})
	database.connecting = 1
	dialed := &connection{
		pool:       &Pool{connections: 1},
		database:   database,
		cancelDial: context.CancelFunc(func() { cancelled++ }),
	}
	database.connections[dialed] = struct{}{}
	return dialed, &cancelled
}

// Closing a connection twice removes it from the pool once.
func TestClosingTwiceRemovesConnectionOnce(t *testing.T) {
	dialed, cancelled := newDialingConnection()
	for range 2 {
		dialed.close()
		require.Equal(t, stateClosed, dialed.state)
		require.Equal(t, 1, *cancelled)
		require.Zero(t, dialed.pool.connections)
		require.Zero(t, dialed.database.connecting)
		require.Empty(t, dialed.database.connections)
	}
}

// When the dial has succeeded, the startup message is written.
func TestOpenedWritesStartup(t *testing.T) {
	dialed, _ := newDialingConnection()
	socket := &fakeSocket{}
	dialed.Opened(socket)
	require.Equal(t, stateStartingUp, dialed.state)
	require.Equal(t, 1, socket.written)
	require.Zero(t, socket.closed)
}

// If a connection was closed during its dial and the dial succeeds, the connection stays closed and its socket is
// closed.
func TestOpenedAfterCloseClosesSocket(t *testing.T) {
	dialed, _ := newDialingConnection()
	dialed.close()
	socket := &fakeSocket{}
	dialed.Opened(socket)
	require.Equal(t, stateClosed, dialed.state)
	require.Zero(t, socket.written)
	require.Equal(t, 1, socket.closed)
	dialed.Closed(nil)
	dialed.Received([]byte("Z"))
	require.Equal(t, stateClosed, dialed.state)
}

// A connection that is closed during a write stays closed; otherwise it awaits the answer.
func TestConnectionClosedDuringWriteStaysClosed(t *testing.T) {
	dialed, _ := newDialingConnection()
	require.True(t, dialed.transitionTo(stateStartingUp))
	require.True(t, dialed.transitionTo(stateIdle))
	require.True(t, dialed.transitionTo(stateWriting))
	socket := &fakeSocket{onWrite: func() { dialed.transitionTo(stateClosed) }}
	dialed.socket = socket
	dialed.write([]byte("statement"))
	require.Equal(t, stateClosed, dialed.state)

	dialed.state, socket.onWrite = stateWriting, nil
	dialed.write([]byte("statement"))
	require.Equal(t, stateAwaitingAnswer, dialed.state)
}

// The call of Closed that gnet makes when a socket is removed from it for streaming changes nothing.
func TestClosedWhileStreamingChangesNothing(t *testing.T) {
	streaming := &connection{state: stateStreaming, job: &job{}}
	streaming.Closed(nil)
	require.Equal(t, stateStreaming, streaming.state)
	require.NotNil(t, streaming.job)
}
