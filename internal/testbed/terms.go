package testbed

import (
	"fmt"
	"os"
	"runtime"
	"testing"
	"unsafe"

	"github.com/stretchr/testify/require"
	"golang.org/x/sys/unix"
)

// underTerms names, for this test's own program started anew, the program to go on as.
const underTerms = "TESTBED_UNDER_TERMS"

// WithTerms starts the program under a fleet platform's terms: sockets are TCP and UDP over IPv4, and new processes,
// io_uring, splice and sendfile are refused. The test's package calls Main from its TestMain.
func WithTerms(b *Bed) {
	self, err := os.Executable()
	require.NoError(b.T, err)
	b.env = append(b.env, underTerms+"="+Binary(b.T))
	b.program = self
}

// Main runs the tests or, started by WithTerms, becomes the program.
func Main(m *testing.M) {
	program := os.Getenv(underTerms)
	if program == "" {
		os.Exit(m.Run())
	}
	err := refuse()
	if err == nil {
		err = unix.Exec(program, []string{program}, os.Environ())
	}
	fmt.Fprintln(os.Stderr, "testbed: terms:", err)
	os.Exit(2)
}

// refuse sets a filter of system calls on this thread, which what it executes next keeps. It needs no rights.
func refuse() error {
	runtime.LockOSThread()
	const (
		nr, low = 0, 16 // in struct seccomp_data: the call's number; the low half of its first argument
		allow   = unix.SECCOMP_RET_ALLOW
		missing = unix.SECCOMP_RET_ERRNO | uint32(unix.ENOSYS)
		family  = unix.SECCOMP_RET_ERRNO | uint32(unix.EAFNOSUPPORT)
	)
	load := func(at uint32) unix.SockFilter {
		return unix.SockFilter{Code: unix.BPF_LD | unix.BPF_W | unix.BPF_ABS, K: at}
	}
	equal := func(k uint32, yes, no uint8) unix.SockFilter {
		return unix.SockFilter{Code: unix.BPF_JMP | unix.BPF_JEQ | unix.BPF_K, K: k, Jt: yes, Jf: no}
	}
	end := func(k uint32) unix.SockFilter { return unix.SockFilter{Code: unix.BPF_RET | unix.BPF_K, K: k} }
	filter := []unix.SockFilter{load(nr)}
	for _, call := range []uint32{unix.SYS_SPLICE, unix.SYS_SENDFILE, unix.SYS_IO_URING_SETUP, unix.SYS_CLONE3} {
		filter = append(filter, equal(call, 0, 1), end(missing))
	}
	filter = append(filter,
		equal(unix.SYS_SOCKETPAIR, 0, 1), end(family),
		equal(unix.SYS_SOCKET, 0, 4), load(low), equal(unix.AF_INET, 1, 0), end(family), end(allow),
		equal(unix.SYS_CLONE, 0, 3), load(low),
		unix.SockFilter{Code: unix.BPF_JMP | unix.BPF_JSET | unix.BPF_K, K: unix.CLONE_THREAD, Jt: 1}, end(missing),
		end(allow))
	if err := unix.Prctl(unix.PR_SET_NO_NEW_PRIVS, 1, 0, 0, 0); err != nil {
		return err
	}
	return unix.Prctl(unix.PR_SET_SECCOMP, unix.SECCOMP_MODE_FILTER,
		uintptr(unsafe.Pointer(&unix.SockFprog{Len: uint16(len(filter)), Filter: &filter[0]})), 0, 0)
}
