// Package failing has a listener that fails, for tests of servers. It imports no other package of the module, so that
// tests inside any package can use it.
package failing

import (
	"net"
	"os"
	"syscall"
)

// Listener fails the first calls of Accept with the given errors, one each, and then accepts as the embedded listener
// does.
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
