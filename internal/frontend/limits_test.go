package frontend_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"capercove/internal/limits"
	"capercove/internal/pg"
)

// filledBound is a bound on a number of connections, none of which may be evicted.
type filledBound struct {
	set  func(bounds *limits.Frontend, most int)
	idle int                                // started connections beside those that count
	fill func(harness *harness) *fakeSocket // opens one connection that counts
}

var filledBounds = map[string]filledBound{
	"MaxConnections": {
		set: func(bounds *limits.Frontend, most int) { bounds.MaxConnections = most },
		fill: func(harness *harness) *fakeSocket {
			socket := harness.start()
			socket.receive(harness.statement())
			return socket
		},
	},
	"MaxStarting": {
		idle: 1,
		set:  func(bounds *limits.Frontend, most int) { bounds.MaxStarting = most },
		fill: func(harness *harness) *fakeSocket {
			socket := harness.connect()
			socket.receive(pg.AppendStartup(nil, "client", "core")[:6])
			return socket
		},
	},
}

// Guards against a bound that admits one more where nothing may be evicted: a connection beyond a filled bound is
// rejected, and no other one is closed for it, such as one that has started and is idle.
func TestConnectionBeyondFilledBoundIsRejected(t *testing.T) {
	const most = 4
	for name, bound := range filledBounds {
		t.Run(name, func(t *testing.T) {
			harness := newHarness(t, func(bounds *limits.Frontend) { bound.set(bounds, most) })
			var open []*fakeSocket
			for range bound.idle {
				open = append(open, harness.start())
				harness.pass(harness.limits.IdleTimeout)
			}
			for range most {
				socket := bound.fill(harness)
				require.NotContains(t, string(socket.written), pg.CodeTooManyConnections)
				open = append(open, socket)
			}
			require.Contains(t, string(harness.connect().written), pg.CodeTooManyConnections)
			require.Equal(t, most+bound.idle, harness.frontend.ConnectionCount())
			for _, socket := range open {
				require.False(t, socket.hasEnded() || socket.closed > 0)
			}
		})
	}
}
