package testbed

import (
	"bytes"
	"cmp"
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"strings"
	"syscall"
	"time"

	"github.com/stretchr/testify/require"
	"golang.org/x/sys/unix"

	"capercove/internal/pg"
)

// clockTick is the unit of times in /proc/PID/stat: USER_HZ is 100 on Linux.
const clockTick = 10 * time.Millisecond

// Run starts the program, again if it has ended, and waits until it serves.
func (b *Bed) Run() {
	b.T.Helper()
	process := exec.CommandContext(context.Background(), cmp.Or(b.program, Binary(b.T)))
	process.Env, process.Stderr = append(b.environment, "GW_MANAGEMENT="+b.Management), b.log
	if b.listener != nil {
		process.ExtraFiles = []*os.File{b.listener}
	}
	require.NoError(b.T, process.Start())
	b.T.Cleanup(func() { _ = process.Process.Kill() }) // it may have ended
	exited := make(chan error, 1)
	go func() { exited <- process.Wait() }()
	b.process, b.exited = process, exited
	b.Eventually(b.listens, "the program listens")
	require.Equal(b.T, pg.Reply{Complete: true}, b.Client().Ask(""))
}

// listens returns whether the program accepts a connection.
func (b *Bed) listens() bool {
	connection, err := new(net.Dialer).DialContext(context.Background(), "tcp", b.Addr)
	if err != nil {
		return false
	}
	_ = connection.Close()
	return true
}

// Upgrade starts the program once more, with another address for operators' calls, beside the running process. It
// returns a function that ends the old process and returns how it ended.
func (b *Bed) Upgrade() (end func() error) {
	b.T.Helper()
	old, exited := b.process, b.exited
	b.Management = ReserveAddress(b.T)
	b.Run()
	ready := func() bool {
		code, _ := b.Call(http.MethodGet, "/api/ready")
		return code == http.StatusOK
	}
	b.Eventually(ready, "it is ready")
	return func() error {
		require.NoError(b.T, old.Process.Signal(syscall.SIGTERM))
		return <-exited
	}
}

// MakeListenerBlocking makes the inherited listening socket a blocking one, for all processes that have it, as whatever
// starts another process may do.
func (b *Bed) MakeListenerBlocking() { b.listener.Fd() }

// Process returns the process that was started last.
func (b *Bed) Process() *os.Process { return b.process.Process }

// Signal sends a signal to the program.
func (b *Bed) Signal(signal syscall.Signal) {
	b.T.Helper()
	require.NoError(b.T, b.process.Process.Signal(signal))
}

// Wait waits for the program's end and returns how it ended.
func (b *Bed) Wait() error {
	b.T.Helper()
	select {
	case err := <-b.exited:
		return err
	case <-time.After(Timeout):
		require.Fail(b.T, "the program does not end")
		return nil
	}
}

// FileLimit bounds the size of the files that the program writes from now on, in bytes; 0: no bound.
func (b *Bed) FileLimit(size uint64) {
	b.T.Helper()
	limit := unix.Rlimit{Cur: size, Max: unix.RLIM_INFINITY}
	if size == 0 {
		limit.Cur = unix.RLIM_INFINITY
	}
	require.NoError(b.T, unix.Prlimit(b.process.Process.Pid, unix.RLIMIT_FSIZE, &limit, nil))
}

// Memory returns the program's resident memory in bytes.
func (b *Bed) Memory() int {
	b.T.Helper()
	var totalPages, residentPages int
	_, err := fmt.Sscan(string(b.readProc("statm")), &totalPages, &residentPages)
	require.NoError(b.T, err)
	return residentPages * os.Getpagesize()
}

// AnonymousMemory returns the program's anonymous resident memory in bytes: without the pages of its file, which all
// processes that run it share.
func (b *Bed) AnonymousMemory() int {
	b.T.Helper()
	return b.statusBytes("RssAnon:")
}

// statusBytes returns a figure of the program's status file in /proc, in bytes.
func (b *Bed) statusBytes(name string) int {
	b.T.Helper()
	_, rest, found := strings.Cut(string(b.readProc("status")), name)
	require.True(b.T, found)
	var kibibytes int
	_, err := fmt.Sscan(rest, &kibibytes)
	require.NoError(b.T, err)
	return kibibytes << 10
}

// CPU returns the processor time that the program has used.
func (b *Bed) CPU() time.Duration {
	b.T.Helper()
	text := b.readProc("stat")
	nameEnd := bytes.LastIndexByte(text, ')') // the name may contain spaces
	fields := strings.Fields(string(text[nameEnd+1:]))
	var user, system int64 // in clock ticks
	_, err := fmt.Sscan(fields[11]+" "+fields[12], &user, &system)
	require.NoError(b.T, err)
	return time.Duration(user+system) * clockTick
}

// readProc reads a file of the program's directory in /proc.
func (b *Bed) readProc(name string) []byte {
	b.T.Helper()
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/%s", b.process.Process.Pid, name))
	require.NoError(b.T, err)
	return text
}

// Eventually waits until a condition is true, which must happen within Timeout.
func (b *Bed) Eventually(condition func() bool, what string) {
	b.T.Helper()
	require.Eventually(b.T, condition, Timeout, 5*time.Millisecond, what)
}
