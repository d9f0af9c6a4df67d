// Package loopback has listeners on loopback that end with a test, and a client of what serves at them. It imports no
// other package of the module, so that tests inside any package can use it.
package loopback

import (
	"errors"
	"net"
	"testing"

	"github.com/stretchr/testify/require"
)

// AnyPort is an address with a port of the system's choice.
const AnyPort = "127.0.0.1:0"

// Listen listens on a port of the system's choice until the test ends, or closes the listener.
func Listen(t *testing.T) net.Listener {
	t.Helper()
	return ListenWith(t, net.ListenConfig{})
}

// ListenWith listens as Listen does, with a configuration.
func ListenWith(t *testing.T, config net.ListenConfig) net.Listener {
	t.Helper()
	listener, err := config.Listen(t.Context(), "tcp", AnyPort)
	require.NoError(t, err)
	t.Cleanup(func() {
		if err := listener.Close(); !errors.Is(err, net.ErrClosed) {
			require.NoError(t, err)
		}
	})
	return listener
}

// Accept hands each connection over, one after the other, until the listener is closed.
func Accept(listener net.Listener, handle func(connection net.Conn)) {
	for {
		connection, err := listener.Accept()
		if err != nil {
			return
		}
		handle(connection)
	}
}
