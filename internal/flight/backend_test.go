package flight

import (
	"context"
	"fmt"
	"math"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"
	"google.golang.org/grpc/connectivity"

	"capercove/internal/core"
	"capercove/internal/limits"
	"capercove/routing"
)

// A machine's descriptors are divided among all tables: what the Flight SQL frontend may hold comes out of the same
// grant, with room left for accepts, operators, discovery and the log.
func TestDescriptorsAreDivided(t *testing.T) {
	for _, sockets := range []int{128, 256, 512, 1024, 4096} {
		machine := limits.Machine{MemoryMB: 512, Sockets: sockets, Flight: true}
		on := limits.For(machine, limits.Timeouts{})
		divided := on.Frontend.MaxConnections + on.Frontend.MaxRejecting + on.Backend.MaxConnections
		divided += on.Flight.MaxClientConnections + on.Flight.MaxDatabaseConnections
		require.LessOrEqual(t, divided+48, sockets)
		require.Positive(t, on.Flight.MaxDatabaseConnections)
		machine.Flight = false
		off := limits.For(machine, limits.Timeouts{})
		divided = off.Frontend.MaxConnections + off.Frontend.MaxRejecting + off.Backend.MaxConnections
		require.LessOrEqual(t, divided+48, sockets)
		require.Greater(t, off.Frontend.MaxConnections, on.Frontend.MaxConnections)
	}
}

// memberNumber returns a database with a number.
func memberNumber(id routing.NodeID) *core.Member {
	node := routing.Node{ID: id, State: routing.Ready}
	return &core.Member{Node: node, Name: fmt.Sprint(id), Addr: "127.0.0.1:2"}
}

// There are no more connections to databases than the limit: the least recently used one without a call is evicted, and
// if all carry calls there is none for another database.
func TestConnectionsToDatabasesAreBounded(t *testing.T) {
	bounds := limits.Flight{MaxDatabaseConnections: 3, MaxIdlePerDatabase: 1, MaxStreamsPerConnection: 10}
	backend := NewBackend(Config{ServerPort: 1}, bounds, zerolog.Nop(), nil, runAtOnce, nil)
	t.Cleanup(func() { require.NoError(t, backend.Close(waitLimit)) })
	open := &backend.connections
	use := func(id routing.NodeID) *connection {
		t.Helper()
		used, failure := open.reserve(memberNumber(id), time.Duration(len(open.byNode)))
		require.Nil(t, failure)
		return used
	}
	first, second := use(1), use(2)
	use(3)
	_, failure := open.reserve(memberNumber(4), time.Second)
	require.ErrorIs(t, failure, errTooManyConnections)
	require.Equal(t, localShortage, failure.kind)
	second.calls, first.calls = 0, 0
	second.lastUsed, first.lastUsed = 1, 2
	use(4)
	require.Len(t, open.byNode, 3)
	require.Equal(t, 3, open.open)
	require.NotContains(t, open.byNode, routing.NodeID(2), "used less recently than the other one")
	require.True(t, second.retired)
	again := use(1)
	require.Same(t, first, again)
}

// Close ends an attempt that waits for the event loop, and waits for its goroutine before it closes the connection.
func TestCloseEndsAttempts(t *testing.T) {
	_, address := startServer(t)
	const watched = 100 * time.Millisecond // how long the connection is watched while the attempt's goroutine lasts
	var update *attempt
	var calls atomic.Int64
	var closedBefore atomic.Bool
	asked := make(chan struct{})
	backend, member := newTestBackend(t, waitLimit, address, nil, func(func()) {
		if calls.Add(1) == 1 { // whether it may be sent; nothing answers
			close(asked)
			return
		}
		ctx, cancel := context.WithTimeout(context.Background(), watched)
		defer cancel()
		closedBefore.Store(update.connection.client.WaitForStateChange(ctx, connectivity.Ready))
	})
	update = newUpdate(t, backend, member)
	update.Deadline = backend.core.Now() + 3*waitLimit // later than the test gives up
	backend.send(update.statement, update.Attempt)
	<-asked
	require.NoError(t, backend.Close(waitLimit), "an attempt still runs")
	require.EqualValues(t, 2, calls.Load(), "the attempt's goroutine has reported its end")
	require.False(t, closedBefore.Load())
	require.Empty(t, backend.connections.byNode)
}

// tell notes that a database allows so many streams on a connection, as its settings do.
func tell(t *testing.T, connection *connection, allowed int64) {
	t.Helper()
	client, server := net.Pipe()
	t.Cleanup(func() { _ = client.Close(); _ = server.Close() })
	socket := newDatabaseSocket(client)
	socket.allowed.Store(allowed)
	connection.socket.Store(socket)
}

// An attempt gets a connection on which the database and the settings allow one more stream. Guards against a call that
// waits in gRPC until others end, although another connection or another database could carry it.
func TestAttemptsGetStreamsOfTheirOwn(t *testing.T) {
	for _, test := range []struct {
		told       int64
		setting    int
		perConnect int // attempts that one connection carries
	}{
		{1, 10, 1}, {4, 10, 4}, {8, 10, 8}, {100, 10, 10}, {4, 1, 1}, {math.MaxUint32, math.MaxInt32, 90},
	} {
		bounds := limits.Flight{
			MaxDatabaseConnections: 90, MaxIdlePerDatabase: 2, MaxStreamsPerConnection: test.setting,
		}
		backend := NewBackend(Config{ServerPort: 1}, bounds, zerolog.Nop(), nil, runAtOnce, nil)
		open := &backend.connections
		used := map[*connection]int{}
		for range 90 {
			reserved, failure := open.reserve(memberNumber(1), 0)
			require.Nil(t, failure)
			tell(t, reserved, test.told)
			used[reserved]++
			require.LessOrEqual(t, used[reserved], test.perConnect, "%+v", test)
		}
		require.Len(t, used, (90+test.perConnect-1)/test.perConnect, "%+v", test)
		for connection, calls := range used {
			for range calls {
				open.release(connection)
			}
		}
		require.LessOrEqual(t, len(open.byNode[1]), 2, "those without a call are bounded")
		require.Equal(t, len(open.byNode[1]), open.open)
		require.NoError(t, backend.Close(waitLimit))
	}
}

// Before a database has told how many streams it allows, attempts share a connection. Those above the number move on.
func TestAttemptsMoveWhereFewerStreamsAreAllowedThanExpected(t *testing.T) {
	const attempts, allowed = 10, 4
	bounds := limits.Flight{MaxDatabaseConnections: 3, MaxIdlePerDatabase: 2, MaxStreamsPerConnection: math.MaxInt32}
	backend := NewBackend(Config{ServerPort: 1}, bounds, zerolog.Nop(), newCore(newLimits(waitLimit)), runAtOnce, nil)
	t.Cleanup(func() { require.NoError(t, backend.Close(waitLimit)) })
	open, member := &backend.connections, memberNumber(1)
	var all []*attempt
	for range attempts {
		reserved, failure := open.reserve(member, 0)
		require.Nil(t, failure)
		all = append(all, newAttempt(backend, reserved, &statement{}, &core.Attempt{Member: member}))
		require.Same(t, all[0].reserved, reserved)
	}
	tell(t, all[0].reserved, allowed)
	used := map[*connection]int{}
	for _, moving := range all {
		confirmed := backend.move(moving)
		require.NotNil(t, confirmed)
		require.Same(t, moving.reserved, confirmed)
		used[confirmed]++
		require.LessOrEqual(t, used[confirmed], allowed)
		tell(t, confirmed, allowed)
	}
	require.Len(t, used, 3)
	tell(t, all[0].reserved, 0)
	for connection := range used {
		tell(t, connection, 0)
	}
	_, failure := open.reserve(member, 0)
	require.ErrorIs(t, failure, errNoStream, "a database that allows none is not dialled in vain")
}
