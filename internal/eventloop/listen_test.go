package eventloop_test

import (
	"net"
	"syscall"
	"testing"

	"github.com/stretchr/testify/require"

	"capercove/internal/eventloop"
	"capercove/internal/limits"
	"capercove/internal/testbed"
)

// dial connects to an address.
func dial(t *testing.T, addr string) (net.Conn, error) {
	t.Helper()
	return (&net.Dialer{}).DialContext(t.Context(), "tcp", addr)
}

// connects reports whether an address accepts connections.
func connects(t *testing.T, addr string) bool {
	t.Helper()
	connection, err := dial(t, addr)
	if err != nil {
		return false
	}
	require.NoError(t, connection.Close())
	return true
}

// The address refuses connections before the listener's first Accept, and accepts them from then on until the listener
// is closed. If the address is in use at the first Accept, a later Accept tries again.
func TestListensFromTheFirstAccept(t *testing.T) {
	addr := testbed.ReserveAddress(t)
	listener, err := eventloop.Listen(0, addr, limits.EventLoop{})
	require.NoError(t, err)
	require.Equal(t, addr, listener.Addr().String())
	_, err = dial(t, addr)
	require.ErrorIs(t, err, syscall.ECONNREFUSED)

	accepted := make(chan error, 1)
	go func() {
		connection, err := listener.Accept()
		if err == nil {
			_ = connection.Close() // only the accept matters
		}
		accepted <- err
	}()
	require.Eventually(t, func() bool { return connects(t, addr) }, testbed.Timeout, testbed.Timeout/1000)
	require.NoError(t, <-accepted)

	second, err := eventloop.Listen(0, addr, limits.EventLoop{})
	require.NoError(t, err)
	_, err = second.Accept()
	require.ErrorIs(t, err, syscall.EADDRINUSE)
	require.NoError(t, listener.Close())
	_, err = listener.Accept()
	require.ErrorIs(t, err, net.ErrClosed)

	go func() { _, _ = second.Accept() }() // the address is free now
	require.Eventually(t, func() bool { return connects(t, addr) }, testbed.Timeout, testbed.Timeout/1000)
	require.NoError(t, second.Close())
}

// A listener that is closed before its first Accept never opens its socket.
func TestClosedListenerNeverListens(t *testing.T) {
	addr := testbed.ReserveAddress(t)
	listener, err := eventloop.Listen(0, addr, limits.EventLoop{})
	require.NoError(t, err)
	require.NoError(t, listener.Close())
	_, err = listener.Accept()
	require.ErrorIs(t, err, net.ErrClosed)
	_, err = dial(t, addr)
	require.ErrorIs(t, err, syscall.ECONNREFUSED)
}
