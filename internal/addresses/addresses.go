// Package addresses reserves loopback addresses at which processes under test listen later.
//
// An address that was found free by listening and closing again may be in use a moment later: a child process that
// another goroutine has forked still has a copy of the listening socket until it executes its program, and before the
// process under test binds the address the kernel may choose its port for another socket. A reservation avoids both.
// Its socket is bound with SO_REUSEADDR, as listeners of the net package are, and does not listen: a process that names
// the address can listen on it, the kernel never chooses the port for others, and connections are refused until a
// process listens.
package addresses

import (
	"errors"
	"fmt"
	"io"
	"net/netip"
	"os"
	"syscall"

	"golang.org/x/sys/unix"
)

// backlog is the number of connections that may wait to be accepted; the kernel lowers it to net.core.somaxconn.
const backlog = 1<<16 - 1

// Reservation is a reserved TCP address. It lasts until Close.
type Reservation struct {
	addr   netip.AddrPort
	socket *os.File // bound to addr
}

// Reserve reserves an IPv4 address. With port 0 the kernel chooses the port. The error is EADDRINUSE if a process
// listens there.
func Reserve(requested netip.AddrPort) (*Reservation, error) {
	fd, err := unix.Socket(unix.AF_INET, unix.SOCK_STREAM|unix.SOCK_CLOEXEC|unix.SOCK_NONBLOCK, unix.IPPROTO_TCP)
	if err != nil {
		return nil, fmt.Errorf("reserve %s: socket: %w", requested, err)
	}
	bound, err := bind(fd, requested)
	if err != nil {
		_ = unix.Close(fd)
		return nil, fmt.Errorf("reserve %s: %w", requested, err)
	}
	return &Reservation{addr: bound, socket: os.NewFile(uintptr(fd), bound.String())}, nil
}

// bind binds a socket so that another socket may listen on the address, and returns the address with the chosen port.
func bind(fd int, requested netip.AddrPort) (netip.AddrPort, error) {
	if err := unix.SetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_REUSEADDR, 1); err != nil {
		return netip.AddrPort{}, fmt.Errorf("setsockopt(SO_REUSEADDR): %w", err)
	}
	address := &unix.SockaddrInet4{Addr: requested.Addr().As4(), Port: int(requested.Port())}
	if err := unix.Bind(fd, address); err != nil {
		return netip.AddrPort{}, fmt.Errorf("bind: %w", err)
	}
	name, err := unix.Getsockname(fd)
	if err != nil {
		return netip.AddrPort{}, fmt.Errorf("getsockname: %w", err)
	}
	ipv4, ok := name.(*unix.SockaddrInet4)
	if !ok {
		return netip.AddrPort{}, fmt.Errorf("getsockname: %T is not an IPv4 address", name)
	}
	return netip.AddrPortFrom(netip.AddrFrom4(ipv4.Addr), uint16(ipv4.Port)), nil
}

// AddrPort returns the reserved address.
func (r *Reservation) AddrPort() netip.AddrPort { return r.addr }

// String returns the reserved address as host:port.
func (r *Reservation) String() string { return r.addr.String() }

// Listen makes the reservation's own socket a listening one and returns it, for a process that inherits its listener.
// The address stays reserved throughout. Close closes the returned file.
func (r *Reservation) Listen() (*os.File, error) {
	raw, err := r.socket.SyscallConn()
	if err != nil {
		return nil, fmt.Errorf("listen %s: %w", r, err)
	}
	var listenErr error
	if err := raw.Control(func(fd uintptr) { listenErr = unix.Listen(int(fd), backlog) }); err != nil {
		return nil, fmt.Errorf("listen %s: %w", r, err)
	}
	if listenErr != nil {
		return nil, fmt.Errorf("listen %s: %w", r, listenErr)
	}
	return r.socket, nil
}

// Close ends the reservation, and the listener if Listen was called.
func (r *Reservation) Close() error { return Close(r.socket) }

// socket is what Close needs of a listener, connection or file.
type socket interface {
	syscall.Conn
	io.Closer
}

// Close closes a TCP socket and, if it listens, frees its address at once, even while a forked child still has a copy
// of it. A lock against forks, such as syscall.ForkLock, does not help: it is released before the child's copies are
// closed.
func Close(closing socket) error {
	raw, err := closing.SyscallConn()
	if err != nil {
		return errors.Join(err, closing.Close())
	}
	stopListening := func(fd uintptr) { _ = unix.Shutdown(int(fd), unix.SHUT_RD) } // ENOTCONN if it does not listen
	return errors.Join(raw.Control(stopListening), closing.Close())
}
