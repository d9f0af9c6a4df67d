// Package failing has listeners that fail, for tests of servers. It stands alone, so that tests inside any package can use it.
package failing

import (
	"net"
	"os"
	"syscall"
)

// Listener fails the first accepts with the given errors, one each, and then accepts as the listener inside does.
type Listener struct {
	net.Listener
	Errors []syscall.Errno
}

// Accept implements net.Listener.
func (l *Listener) Accept() (net.Conn, error) {
	if len(l.Errors) == 0 {
		return l.Listener.Accept()
	}
	err := l.Errors[0]
	l.Errors = l.Errors[1:]
	return nil, &net.OpError{Op: "accept", Net: "tcp", Err: os.NewSyscallError("accept4", err)}
}
