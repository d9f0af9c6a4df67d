package flight

import (
	"context"
	"net"
	"os"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"
	"google.golang.org/grpc/connectivity"

	"capercove/internal/core"
	"capercove/routing"
)

// failingDialer returns a dialer whose first dials fail.
func failingDialer(failures int64, errno syscall.Errno) *net.Dialer {
	var calls atomic.Int64
	return &net.Dialer{Control: func(string, string, syscall.RawConn) error {
		if calls.Add(1) <= failures {
			return os.NewSyscallError("connect", errno)
		}
		return nil
	}}
}

// newTestBackend returns a backend with one database.
func newTestBackend(
	t *testing.T, connectTimeout time.Duration, address string, dialer *net.Dialer, do func(func()),
) (*Backend, *core.Member) {
	t.Helper()
	bounds := newLimits(connectTimeout)
	config := Config{Servers: map[string]string{"db": address}}
	backend := NewBackend(config, bounds.Flight, zerolog.Nop(), newCore(bounds), do, dialer)
	t.Cleanup(func() { require.NoError(t, backend.Close(waitLimit)) })
	member := &core.Member{Node: routing.Node{ID: 1, State: routing.Ready}, Name: "db", Addr: address}
	return backend, member
}

// newUpdate returns an attempt of an update that is yet to run.
func newUpdate(t *testing.T, backend *Backend, member *core.Member) *attempt {
	t.Helper()
	connection, failure := backend.connections.reserve(member, 0)
	require.Nil(t, failure)
	ctx, cancel := context.WithTimeout(t.Context(), waitLimit)
	t.Cleanup(cancel)
	update := &statement{SQL: "INSERT", isUpdate: true, call: &call{ctx: ctx}}
	created := newAttempt(backend, connection, update, &core.Attempt{
		Request:  &core.Request{Statement: update},
		Member:   member,
		Deadline: backend.core.Now() + waitLimit,
	})
	t.Cleanup(created.end)
	return created
}

// A dial that fails for a moment is retried, and gRPC sees none of it. A shortage on this machine that lasts says
// nothing about the database, and an address that stays unreachable counts as no connection.
func TestDialsThatFail(t *testing.T) {
	_, address := startServer(t)
	const brief, forEver = 3, 1 << 40
	for name, test := range map[string]struct {
		fails  int64
		errno  syscall.Errno
		up     bool
		kind   failureKind
		status routing.Status
	}{
		"EMFILE for a moment":       {brief, syscall.EMFILE, true, 0, 0},
		"ENOBUFS for a moment":      {brief, syscall.ENOBUFS, true, 0, 0},
		"ENETUNREACH for a moment":  {brief, syscall.ENETUNREACH, true, 0, 0},
		"EMFILE for ever":           {forEver, syscall.EMFILE, false, localShortage, routing.NotSent},
		"ENOMEM for ever":           {forEver, syscall.ENOMEM, false, localShortage, routing.NotSent},
		"EADDRNOTAVAIL for ever":    {forEver, syscall.EADDRNOTAVAIL, false, localShortage, routing.NotSent},
		"EHOSTUNREACH for ever":     {forEver, syscall.EHOSTUNREACH, false, unreachable, routing.ConnectFailed},
		"ECONNREFUSED, as a server": {forEver, syscall.ECONNREFUSED, false, unreachable, routing.ConnectFailed},
	} {
		t.Run(name, func(t *testing.T) {
			connectTimeout := waitLimit
			if !test.up {
				connectTimeout = 100 * time.Millisecond
			}
			dialer := failingDialer(test.fails, test.errno)
			backend, member := newTestBackend(t, connectTimeout, address, dialer, runAtOnce)
			update := newUpdate(t, backend, member)
			if test.up {
				require.True(t, update.connection.open(update.ctx, connectTimeout))
				return
			}
			_, failure := update.run()
			require.NotNil(t, failure)
			require.Equal(t, test.kind, failure.kind)
			require.Equal(t, test.status, failure.status())
		})
	}
}

// A connection breaks before anything of an update is written on it: the update never ran.
func TestConnectionGoneBeforeAnUpdate(t *testing.T) {
	server, address := startServer(t)
	var update *attempt
	backend, member := newTestBackend(t, waitLimit, address, nil, func(f func()) {
		server.Stop()
		client := update.connection.client
		for client.GetState() == connectivity.Ready && update.ctx.Err() == nil {
			client.WaitForStateChange(update.ctx, connectivity.Ready)
		}
		f()
	})
	update = newUpdate(t, backend, member)
	_, failure := update.run()
	require.NotNil(t, failure)
	require.Equal(t, unreachable, failure.kind)
	require.Equal(t, routing.ConnectFailed, failure.status())
	require.NoError(t, update.ctx.Err())
}
