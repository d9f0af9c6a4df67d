package server

import (
	"net"
	"sync"
)

// lazyListener listens from the first Accept on. Against requests that the system takes while the program cannot serve yet: they would
// get no answer in time, where a client that finds nobody listening goes elsewhere.
type lazyListener struct {
	addr *net.TCPAddr

	mu     sync.Mutex // guards all below
	inner  net.Listener
	closed bool
}

func listenLazily(addr string) (net.Listener, error) {
	to, err := net.ResolveTCPAddr("tcp", addr)
	if err != nil {
		return nil, err
	}
	return &lazyListener{addr: to}, nil
}

// Listen begins to listen, if it has not yet. Its errors are those of the address; those of Accept after it are not.
func (l *lazyListener) Listen() error {
	_, err := l.listening()
	return err
}

// listening returns the listener, which it makes the first time. One that cannot be made, as while descriptors are short, is
// tried again by the next Accept.
func (l *lazyListener) listening() (net.Listener, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.inner != nil {
		return l.inner, nil
	}
	if l.closed {
		return nil, net.ErrClosed
	}
	inner, err := net.ListenTCP("tcp", l.addr)
	if err != nil {
		return nil, err
	}
	l.inner = inner
	return inner, nil
}

func (l *lazyListener) Accept() (net.Conn, error) {
	inner, err := l.listening()
	if err != nil {
		return nil, err
	}
	return inner.Accept()
}

func (l *lazyListener) Close() error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.inner != nil {
		return l.inner.Close()
	}
	l.closed = true
	return nil
}

func (l *lazyListener) Addr() net.Addr { return l.addr }
