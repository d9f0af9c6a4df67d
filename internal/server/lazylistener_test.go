package server_test

import (
	"net"
	"syscall"
	"testing"

	"github.com/stretchr/testify/require"

	"capercove/internal/limits"
	"capercove/internal/server"
	"capercove/internal/testbed"
)

// Before the program is ready the system must take no request for it: a client that finds nobody goes elsewhere at once, while
// one whose request waits unread gets no answer in its time.
func TestNobodyIsTakenBeforeTheFirstAccept(t *testing.T) {
	addr := testbed.Free(t)
	l, err := server.Listen(0, addr, limits.Limits{})
	require.NoError(t, err)
	require.Equal(t, addr, l.Addr().String())
	_, err = net.Dial("tcp", addr)
	require.ErrorIs(t, err, syscall.ECONNREFUSED)

	accepted := make(chan error, 1)
	go func() {
		c, err := l.Accept()
		if err == nil {
			c.Close()
		}
		accepted <- err
	}()
	require.Eventually(t, func() bool {
		c, err := net.Dial("tcp", addr)
		if err == nil {
			c.Close()
		}
		return err == nil
	}, testbed.Patience, testbed.Patience/1000)
	require.NoError(t, <-accepted)

	taken, err := server.Listen(0, addr, limits.Limits{})
	require.NoError(t, err)
	_, err = taken.Accept()
	require.ErrorIs(t, err, syscall.EADDRINUSE)
	require.NoError(t, l.Close())
	_, err = l.Accept()
	require.ErrorIs(t, err, net.ErrClosed)

	go taken.Accept() // what kept it from listening is over
	require.Eventually(t, func() bool {
		c, err := net.Dial("tcp", addr)
		if err == nil {
			c.Close()
		}
		return err == nil
	}, testbed.Patience, testbed.Patience/1000)
	require.NoError(t, taken.Close())
}

// One that is closed before it has listened never does.
func TestClosedBeforeTheFirstAccept(t *testing.T) {
	addr := testbed.Free(t)
	l, err := server.Listen(0, addr, limits.Limits{})
	require.NoError(t, err)
	require.NoError(t, l.Close())
	_, err = l.Accept()
	require.ErrorIs(t, err, net.ErrClosed)
	_, err = net.Dial("tcp", addr)
	require.ErrorIs(t, err, syscall.ECONNREFUSED)
}
