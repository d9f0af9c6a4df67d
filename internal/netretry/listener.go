package netretry

import (
	"errors"
	"net"
	"sync"
	"time"
)

// Listener accepts whatever happens: only once it is closed does Accept fail. Servers give up at errors that do not
// call themselves temporary, as net/http and gRPC do at ENOBUFS, ENOMEM, EPROTO or ENETDOWN of a single accept.
type Listener struct {
	net.Listener
	backoff  Backoff
	failures *Failures
	close    sync.Once
	closed   chan struct{}
}

// NewListener wraps a listener, which is closed with it.
func NewListener(inner net.Listener, b Backoff, failures *Failures) *Listener {
	return &Listener{Listener: inner, backoff: b, failures: failures, closed: make(chan struct{})}
}

// Accept waits for the next connection. It fails with net.ErrClosed alone.
func (l *Listener) Accept() (net.Conn, error) {
	for failures := 1; ; failures++ {
		c, err := l.Listener.Accept()
		if err == nil {
			return c, nil
		}
		if errors.Is(err, net.ErrClosed) {
			return nil, err
		}
		l.failures.Note(err)
		if !l.wait(l.backoff.After(failures)) {
			return nil, net.ErrClosed
		}
	}
}

// wait lets time pass. It returns false at once when the listener is closed.
func (l *Listener) wait(d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-l.closed:
		return false
	}
}

// Close closes the inner listener and ends each Accept, also one that waits to try again.
func (l *Listener) Close() error {
	l.close.Do(func() { close(l.closed) })
	return l.Listener.Close()
}
