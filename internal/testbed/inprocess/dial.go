package inprocess

import (
	"os"
	"strings"
	"sync/atomic"
	"syscall"
)

// Control is a dialer's control function: the dial fails with the error that it returns.
type Control = func(network, address string, socket syscall.RawConn) error

// Failures is a control function that fails the first calls of one kind of network ("tcp", "udp"), as many as there
// are errors.
func Failures(kind string, errs ...error) Control {
	var calls atomic.Int64
	return func(network, _ string, _ syscall.RawConn) error {
		if !strings.HasPrefix(network, kind) {
			return nil
		}
		if n := calls.Add(1); n <= int64(len(errs)) {
			return os.NewSyscallError("connect", errs[n-1])
		}
		return nil
	}
}
