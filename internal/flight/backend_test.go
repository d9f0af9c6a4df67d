package flight

import (
	"fmt"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"capercove/internal/core"
	"capercove/internal/limits"
	"capercove/routing"
)

// A machine's descriptors are divided among all tables: what the Flight front may hold comes out of the same grant, with room left for
// accepts, operators, discovery and the log.
func TestDescriptorsAreDivided(t *testing.T) {
	for _, sockets := range []int{128, 256, 512, 1024, 4096} {
		l := limits.For(limits.Machine{MemoryMB: 64, Sockets: sockets, Flight: true}, time.Second, time.Second, time.Second)
		require.LessOrEqual(t, l.Clients+l.Leaving+l.Servers+l.FlightClients+l.FlightServers+48, sockets)
		require.Positive(t, l.FlightServers)
		off := limits.For(limits.Machine{MemoryMB: 64, Sockets: sockets}, time.Second, time.Second, time.Second)
		require.LessOrEqual(t, off.Clients+off.Leaving+off.Servers+48, sockets)
		require.Greater(t, off.Clients, l.Clients)
	}
}

// No more connections to databases than the limit are held: one without a call gives way, the one used least lately first, and if all
// carry calls there is none for another database.
func TestConnectionsToDatabasesAreBounded(t *testing.T) {
	b := NewBackend(Config{ServerPort: 1}, limits.Limits{FlightServers: 3}, zerolog.Nop(), nil, runAtOnce, nil)
	member := func(id routing.NodeID) *core.Member {
		return &core.Member{Node: routing.Node{ID: id, State: routing.Ready}, Name: fmt.Sprint(id), Addr: "127.0.0.1:2"}
	}
	take := func(id routing.NodeID) *conn {
		c, err := b.conn(member(id), time.Duration(len(b.conns)))
		require.NoError(t, err)
		c.uses++
		return c
	}
	one, two := take(1), take(2)
	take(3)
	_, err := b.conn(member(4), time.Second)
	require.ErrorIs(t, err, errFull)
	two.uses, one.uses = 0, 0
	two.used, one.used = 1, 2
	take(4)
	require.Len(t, b.conns, 3)
	require.NotContains(t, b.conns, routing.NodeID(2), "used less lately than the other one")
	require.True(t, two.retired)
	again := take(1)
	require.Same(t, one, again)
}
