package backend_test

import (
	"fmt"
	"net"
	"slices"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"golang.org/x/sys/unix"

	"capercove/internal/limits"
	"capercove/internal/testbed"
	"capercove/internal/testbed/inprocess"
	"capercove/internal/testbed/loopback"
)

// repeat returns count copies of an error.
func repeat(count int, err error) []error { return slices.Repeat([]error{err}, count) }

// dialErrors are the transient errors of a dial.
var dialErrors = map[string]struct {
	errno      syscall.Errno
	isShortage bool // on this machine: the error is no evidence about the database, however long it lasts
}{
	"EMFILE":        {syscall.EMFILE, true},
	"ENFILE":        {syscall.ENFILE, true},
	"ENOBUFS":       {syscall.ENOBUFS, true},
	"ENOMEM":        {syscall.ENOMEM, true},
	"EADDRNOTAVAIL": {syscall.EADDRNOTAVAIL, true},
	"EAGAIN":        {syscall.EAGAIN, true},
	"ENETUNREACH":   {syscall.ENETUNREACH, false},
	"ENETDOWN":      {syscall.ENETDOWN, false},
	"EHOSTUNREACH":  {syscall.EHOSTUNREACH, false},
	"EHOSTDOWN":     {syscall.EHOSTDOWN, false},
	"EPERM":         {syscall.EPERM, false},
}

// Dials that fail transiently are retried: each request is served, and no failure counts against the database.
func TestTransientDialFailuresAreRetried(t *testing.T) {
	for name, test := range dialErrors {
		t.Run(name, func(t *testing.T) {
			const requests, failures = 6, 12
			database := inprocess.NewPrimary(t, inprocess.AtOnce)
			dial := inprocess.Failures("tcp", repeat(failures, test.errno)...)
			pooler := inprocess.New(t, 10*testbed.Timeout, loopback.Listen(t), database.Address, dial)
			var clients []inprocess.Client
			for i := range requests {
				clients = append(clients, pooler.Submit(fmt.Sprint("r", i), 10*testbed.Timeout))
			}
			for _, client := range clients {
				require.Equal(t, "served", client.Answer(t).End)
			}
			core, pool := pooler.Counters()
			require.Zero(t, core.NoConnect)
			require.EqualValues(t, requests, core.Served)
			require.Equal(t, requests, database.Count(""))
			require.Eventually(t, func() bool { // the failures may be reported after the answers
				_, pool = pooler.Counters()
				return pool.LocalShortages+pool.Unreachable > 0
			}, testbed.Timeout, testbed.Timeout/1000)
			require.Equal(t, test.isShortage, pool.LocalShortages > 0)
			require.Equal(t, !test.isShortage, pool.Unreachable > 0)
		})
	}
}

// An attempt ends as not sent if a shortage on this machine lasts, and as not connected if the address stays
// unreachable. Dials back off in both cases, and the request is rejected because it never ran.
func TestLastingDialFailuresBackOffAndRejectRequest(t *testing.T) {
	for name, test := range dialErrors {
		t.Run(name, func(t *testing.T) {
			const connectTimeout, wait, maxDials = 100 * time.Millisecond, time.Second, 60
			dial := inprocess.Failures("tcp", repeat(10*maxDials, test.errno)...)
			pooler := inprocess.New(t, connectTimeout, loopback.Listen(t), "127.0.0.1:1", dial)
			require.Equal(t, "refused", pooler.Submit("a", wait).Answer(t).End)
			core, pool := pooler.Counters()
			require.Less(t, pool.Dials, int64(maxDials), "dials back off")
			require.Zero(t, core.TimedOut)
			if test.isShortage {
				require.Zero(t, core.NoConnect)
				require.Positive(t, core.NotSent)
				return
			}
			require.Positive(t, core.NoConnect)
		})
	}
}

// A database stops reading in the middle of a statement until the kernel closes the connection with ETIMEDOUT. The last
// byte has not been sent: the write never ran, and it is retried on another connection.
func TestPartlySentWriteIsRetriedAfterTCPTimeout(t *testing.T) {
	const sendBuffer, timeout = 4 << 10, 100 // bytes; milliseconds
	var connections atomic.Int32
	stuck := make(chan struct{})
	t.Cleanup(func() { close(stuck) })
	database := inprocess.NewPrimary(t, func(net.Conn) {
		if connections.Add(1) == 1 {
			<-stuck
		}
	})
	dial := func(network, _ string, socket syscall.RawConn) error {
		if network == "udp4" {
			return nil
		}
		err := inprocess.SetSocketOption(socket, unix.SOL_SOCKET, unix.SO_SNDBUF, sendBuffer)
		if err != nil || connections.Load() > 0 {
			return err
		}
		return inprocess.SetSocketOption(socket, unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, timeout)
	}
	kernelIsFirst := func(bounds *limits.Limits) { bounds.Request.MaxToldAge = 10 * testbed.Timeout }
	pooler := inprocess.New(t, 10*testbed.Timeout, loopback.Listen(t), database.Address, dial, kernelIsFirst)
	client := pooler.Submit(strings.Repeat("ab", 60<<10), 10*testbed.Timeout)
	require.Equal(t, "served", client.Answer(t).End)
	core, _ := pooler.Counters()
	require.EqualValues(t, 1, core.NoConnect)
	require.Zero(t, core.Broken)
	require.Equal(t, 1, database.Count(""))
}
