package backend_test

import (
	"context"
	"net"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"capercove/internal/pg"
	"capercove/internal/testbed"
	"capercove/internal/testbed/inprocess"
	"capercove/internal/testbed/loopback"
)

// Closing the pool cancels a running dial and waits for it to end.
func TestCloseCancelsDial(t *testing.T) {
	begun, ended := make(chan struct{}), make(chan error, 1)
	dialer := &net.Dialer{ControlContext: func(ctx context.Context, network, _ string, _ syscall.RawConn) error {
		if !strings.HasPrefix(network, "tcp") {
			return nil
		}
		close(begun)
		<-ctx.Done()
		ended <- ctx.Err()
		return ctx.Err()
	}}
	p := inprocess.NewWithDialer(t, 10*testbed.Timeout, loopback.Listen(t), "127.0.0.1:1", dialer)
	p.Submit("a", 10*testbed.Timeout)
	select {
	case <-begun:
	case <-time.After(testbed.Timeout):
		require.FailNow(t, "no connection is dialed")
	}
	require.NoError(t, p.Stop(testbed.Timeout))
	select {
	case err := <-ended:
		require.ErrorIs(t, err, context.Canceled)
	default:
		require.Fail(t, "the dial is still running")
	}
}

// Closing the pool ends the reader of a long answer that has stalled halfway, and waits for the reader to end.
func TestCloseEndsReaderOfStalledAnswer(t *testing.T) {
	const pieces = 256 << 10 // bytes of the answer that the database sends
	answer := pg.AppendValue(nil, strings.Repeat("x", 4*pieces))
	end := make(chan struct{})
	t.Cleanup(func() { close(end) })
	db := inprocess.NewPrimary(t, func(connection net.Conn) {
		if _, err := connection.Read(make([]byte, 4<<10)); err != nil { // the statement
			return
		}
		_, _ = connection.Write(answer[:pieces]) // if it fails, no answer is streamed and the test fails
		<-end
	})
	p := inprocess.New(t, 10*testbed.Timeout, loopback.Listen(t), db.Address, nil)
	p.Submit("a", 10*testbed.Timeout)
	require.Eventually(t, func() bool {
		_, pool := p.Counters()
		return pool.Streamed == 1
	}, testbed.Timeout, testbed.Timeout/1000)
	require.NoError(t, p.Stop(testbed.Timeout))
}
