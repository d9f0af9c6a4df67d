package eventloop_test

import (
	"fmt"
	"net"
	"os"
	"slices"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"
	"golang.org/x/sys/unix"

	"capercove/internal/clock"
	"capercove/internal/core"
	"capercove/internal/eventloop"
	"capercove/internal/limits"
	"capercove/internal/pg"
	"capercove/internal/testbed"
	"capercove/internal/testbed/inprocess"
	"capercove/internal/testbed/loopback"
)

// failingListener is a listener whose first accepts fail with the errors in errs.
type failingListener struct {
	net.Listener
	mutex sync.Mutex // guards errs
	errs  []error    // of the next accepts, in order
}

// Accept implements net.Listener.
func (listener *failingListener) Accept() (net.Conn, error) {
	if err := listener.nextError(); err != nil {
		return nil, &net.OpError{Op: "accept", Net: "tcp", Err: os.NewSyscallError("accept4", err)}
	}
	return listener.Listener.Accept()
}

// nextError removes and returns the error for the next accept, nil if that accept should succeed.
func (listener *failingListener) nextError() error {
	listener.mutex.Lock()
	defer listener.mutex.Unlock()
	if len(listener.errs) == 0 {
		return nil
	}
	err := listener.errs[0]
	listener.errs = listener.errs[1:]
	return err
}

// connectAndSend opens a client's connection and sends a statement on it. Reads from it fail after testbed.Timeout.
func connectAndSend(t *testing.T, addr, statement string) net.Conn {
	t.Helper()
	client, err := dial(t, addr)
	require.NoError(t, err)
	t.Cleanup(func() { _ = client.Close() }) // the program may have closed it
	require.NoError(t, client.SetDeadline(time.Now().Add(testbed.Timeout)))
	startup := pg.AppendStartup(nil, "client", "core")
	_, err = client.Write(append(startup, testbed.Query(statement)...))
	require.NoError(t, err)
	return client
}

// requireAnswer reads from a client's connection until a text has arrived.
func requireAnswer(t *testing.T, client net.Conn, text string) {
	t.Helper()
	var answer strings.Builder
	for buffer := make([]byte, 1<<10); !strings.Contains(answer.String(), text); {
		n, err := client.Read(buffer)
		require.NoError(t, err, answer.String())
		answer.Write(buffer[:n])
	}
}

// After the program has begun to listen, no error of an accept ends it or keeps a client from being served.
func TestServesClientAfterFailedAccepts(t *testing.T) {
	errs := []error{
		syscall.EADDRNOTAVAIL, syscall.EADDRINUSE, syscall.EACCES, syscall.ENOBUFS, syscall.ENOMEM, syscall.EPROTO,
		syscall.ENETDOWN, syscall.EMFILE, syscall.ENFILE, syscall.EPERM, syscall.ECONNABORTED, syscall.EHOSTDOWN,
	}
	listener := &failingListener{Listener: loopback.Listen(t), errs: slices.Clone(errs)}
	database := inprocess.NewPrimary(t, inprocess.AtOnce)
	pooler := inprocess.New(t, 10*testbed.Timeout, listener, database.Address, nil)
	client := connectAndSend(t, listener.Addr().String(), "SELECT 1 /* id=1,c=write,d=9000,cluster=3 */")
	requireAnswer(t, client, "value")
	require.EqualValues(t, len(errs), pooler.Loop.AcceptsFailed())
}

// If the address is already in use, Run returns an error that names the address.
func TestRunFailsIfAddressIsInUse(t *testing.T) {
	taken := loopback.Listen(t).Addr().String()
	listener, err := eventloop.Listen(0, taken, limits.EventLoop{})
	require.NoError(t, err)
	loop := eventloop.New(limits.EventLoop{MaxAccepting: 1}, zerolog.Nop(), listener, nil)
	timers := limits.Request{TimerTick: time.Millisecond, TimerSlots: 8}
	loop.Attach(core.New(core.Settings{}, 1, timers, zerolog.Nop(), clock.Monotonic(), func() {}, nil), nil)
	err = loop.Run(loop.Accept)
	require.ErrorIs(t, err, syscall.EADDRINUSE)
	require.ErrorContains(t, err, "listen: ")
	require.ErrorContains(t, err, taken)
}

// The start is retried while the socket that finds the event loop cannot be opened.
func TestRetriesStartIfFirstSocketFails(t *testing.T) {
	database := inprocess.NewPrimary(t, inprocess.AtOnce)
	errs := []error{
		syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.EADDRNOTAVAIL,
		syscall.ENETUNREACH,
	}
	dial := inprocess.Failures("udp", errs...)
	pooler := inprocess.New(t, 10*testbed.Timeout, loopback.Listen(t), database.Address, dial)
	require.Equal(t, "served", pooler.Submit("a", 10*testbed.Timeout).Answer(t).End)
}

// Accepting a client uses the last free descriptor, and none is left for the loop's duplicate. The failure is logged,
// and the client is served as soon as descriptors are free again.
func TestServesClientAfterDescriptorShortage(t *testing.T) {
	const manyDescriptors, maxDescriptors = 1 << 10, 1 << 12
	bed := testbed.Start(t)
	require.True(t, bed.Client().Ask(bed.Statement("write", "first", testbed.Timeout)).Complete)
	bed.ClearLog()
	program := bed.Process().Pid
	limitDescriptors := func(limit uint64) {
		rlimit := &unix.Rlimit{Cur: limit, Max: maxDescriptors}
		require.NoError(t, unix.Prlimit(program, unix.RLIMIT_NOFILE, rlimit, nil))
	}
	limitDescriptors(secondFreeDescriptor(t, program)) // only the lowest free descriptor is below the limit
	client := connectAndSend(t, bed.Addr, bed.Statement("write", "a", testbed.Timeout))
	bed.Eventually(func() bool { return bed.Line(`"accept"`) != "" }, "the failure is logged")
	limitDescriptors(manyDescriptors)
	requireAnswer(t, client, "from db-0")
}

// secondFreeDescriptor returns the second lowest descriptor that a process does not have open.
func secondFreeDescriptor(t *testing.T, pid int) uint64 {
	t.Helper()
	entries, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", pid))
	require.NoError(t, err)
	isOpen := map[string]bool{} // by the descriptor's decimal number
	for _, entry := range entries {
		isOpen[entry.Name()] = true
	}
	free := 0
	for descriptor := uint64(0); ; descriptor++ {
		if !isOpen[fmt.Sprint(descriptor)] {
			free++
		}
		if free == 2 {
			return descriptor
		}
	}
}
