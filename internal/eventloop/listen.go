package eventloop

import (
	"fmt"
	"net"
	"os"
	"sync"

	"golang.org/x/sys/unix"

	"capercove/internal/limits"
)

// noDescriptor is the descriptor argument of Listen if no listening socket is inherited.
const noDescriptor = 0

// listenerFileName is the name of the os.File of the inherited descriptor. It appears in error messages.
const listenerFileName = "listener"

// Listen returns a listener on a listening socket that is inherited as a descriptor, and closes that descriptor. If the
// descriptor is 0, it returns a listener that opens a socket on the address at the first Accept. An inherited socket is
// shared with other processes: it is neither bound again nor shut down, and closing the listener closes only this
// process's descriptor.
func Listen(descriptor int, address string, bounds limits.EventLoop) (net.Listener, error) {
	if descriptor == noDescriptor {
		return newLazyListener(address)
	}
	file := os.NewFile(uintptr(descriptor), listenerFileName)
	defer func() { _ = file.Close() }() // net.FileListener duplicates the descriptor
	// Another process that shares the socket may switch it to blocking mode for all processes. The timeout ends an
	// accept even then.
	timeout := unix.NsecToTimeval(bounds.AcceptTimeout.Nanoseconds())
	if err := unix.SetsockoptTimeval(descriptor, unix.SOL_SOCKET, unix.SO_RCVTIMEO, &timeout); err != nil {
		return nil, fmt.Errorf("set the accept timeout of the inherited listener, descriptor %d: %w", descriptor, err)
	}
	return net.FileListener(file)
}

// lazyListener opens its socket at the first Listen or Accept. Until the program can serve, the kernel must refuse
// connections: a refused client connects to another pooler at once, while a request on a connection in the kernel's
// accept queue would miss its deadline. It is safe for concurrent use.
type lazyListener struct {
	address *net.TCPAddr

	mutex  sync.Mutex   // guards the fields below
	inner  net.Listener // nil until the socket is open
	closed bool         // closed before the socket was opened; it is not opened any more
}

func newLazyListener(address string) (net.Listener, error) {
	resolved, err := net.ResolveTCPAddr("tcp", address)
	if err != nil {
		return nil, err
	}
	return &lazyListener{address: resolved}, nil
}

// Listen opens the socket unless it is open already. It returns errors of the address, which callers can then tell from
// errors of an accept.
func (l *lazyListener) Listen() error {
	_, err := l.listening()
	return err
}

// listening returns the inner listener, and opens it at the first call. After a failure, for instance while descriptors
// are short, the next call tries again.
func (l *lazyListener) listening() (net.Listener, error) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if l.inner != nil {
		return l.inner, nil
	}
	if l.closed {
		return nil, net.ErrClosed
	}
	inner, err := net.ListenTCP("tcp", l.address)
	if err != nil {
		return nil, err
	}
	l.inner = inner
	return inner, nil
}

// Accept implements net.Listener.
func (l *lazyListener) Accept() (net.Conn, error) {
	inner, err := l.listening()
	if err != nil {
		return nil, err
	}
	return inner.Accept()
}

// Close implements net.Listener.
func (l *lazyListener) Close() error {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if l.inner != nil {
		return l.inner.Close()
	}
	l.closed = true
	return nil
}

// Addr implements net.Listener.
func (l *lazyListener) Addr() net.Addr { return l.address }
