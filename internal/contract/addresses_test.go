package contract_test

import (
	"fmt"
	"net"
	"os"
	"os/exec"
	"sync"
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/require"
	"golang.org/x/sys/unix"
)

// Ports of freeAddress: below those that the system gives out.
const (
	firstPort = 10000
	lastPort  = 19000
)

var portsTaken atomic.Int32

// freeAddress returns an address on which nothing listens. Each test process has a loopback address of its own.
func freeAddress(t *testing.T) string {
	t.Helper()
	pid := os.Getpid()
	for {
		port := firstPort + int(portsTaken.Add(1))
		require.Less(t, port, lastPort, "free addresses")
		address := fmt.Sprintf("127.%d.%d.%d:%d", 1+pid/62500%120, pid/250%250, 1+pid%250, port)
		listener, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", address)
		if err == nil {
			stopListening(t, listener)
			require.NoError(t, listener.Close())
			return address
		}
		require.ErrorIs(t, err, unix.EADDRINUSE)
	}
}

// listenAnywhere listens on a loopback address that the system chooses.
func listenAnywhere(t *testing.T) net.Listener {
	t.Helper()
	listener, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", "127.0.0.1:0")
	require.NoError(t, err)
	return listener
}

// stopListening frees a listener's address at once. A close alone does not: a child that another test has just forked
// has a copy of the socket until it executes its program.
func stopListening(t *testing.T, listener net.Listener) {
	t.Helper()
	raw, err := listener.(*net.TCPListener).SyscallConn()
	require.NoError(t, err)
	require.NoError(t, raw.Control(func(descriptor uintptr) { _ = unix.Shutdown(int(descriptor), unix.SHUT_RD) }))
}

// Guards against an address that is still in use when a test listens on it, as children are forked meanwhile.
func TestFreeAddressIsFreeWhileChildrenAreForked(t *testing.T) {
	const rounds, forkers = 500, 4
	var finished atomic.Bool
	var group sync.WaitGroup
	for range forkers {
		group.Go(func() {
			for !finished.Load() {
				_ = exec.CommandContext(t.Context(), "/bin/true").Run() // only the fork matters
			}
		})
	}
	defer group.Wait()
	defer finished.Store(true)
	for range rounds {
		listener, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", freeAddress(t))
		require.NoError(t, err)
		stopListening(t, listener)
		require.NoError(t, listener.Close())
	}
}
