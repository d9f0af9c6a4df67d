package netretry

import (
	"errors"
	"net"
	"sync"
	"time"
)

// Listener is a net.Listener whose Accept fails only after Close; other errors are counted and retried with backoff.
// Without this wrapper, servers such as those of net/http and gRPC stop serving after a single accept error that is not
// declared temporary, such as ENOBUFS, ENOMEM, EPROTO or ENETDOWN.
type Listener struct {
	net.Listener
	backoff   Backoff
	failures  *Failures
	closeOnce sync.Once
	closed    chan struct{} // closed by Close
}

// NewListener wraps a listener. Closing the result closes the inner listener.
func NewListener(inner net.Listener, backoff Backoff, failures *Failures) *Listener {
	return &Listener{Listener: inner, backoff: backoff, failures: failures, closed: make(chan struct{})}
}

// Accept waits for the next connection. Its only error is net.ErrClosed.
func (l *Listener) Accept() (net.Conn, error) {
	for failures := 1; ; failures++ {
		connection, err := l.Listener.Accept()
		if err == nil {
			return connection, nil
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

// wait blocks for the pause and returns true, or returns false as soon as the listener is closed.
func (l *Listener) wait(pause time.Duration) bool {
	timer := time.NewTimer(pause)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-l.closed:
		return false
	}
}

// Close closes the inner listener. It ends all calls of Accept, including those that wait for a retry.
func (l *Listener) Close() error {
	l.closeOnce.Do(func() { close(l.closed) })
	return l.Listener.Close()
}
