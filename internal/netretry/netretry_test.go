package netretry_test

import (
	"bytes"
	"errors"
	"net"
	"os"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"capercove/internal/netretry"
)

// failingListener returns errs from its first accepts, and then blocks until it is closed. A nil error stands for an
// accepted connection.
type failingListener struct {
	net.Listener
	errs   []error
	closed chan struct{}
}

func (l *failingListener) Accept() (net.Conn, error) {
	if len(l.errs) == 0 {
		<-l.closed
		return nil, net.ErrClosed
	}
	err := l.errs[0]
	if l.errs = l.errs[1:]; err == nil {
		c, _ := net.Pipe()
		return c, nil
	}
	return nil, err
}

func (l *failingListener) Close() error { close(l.closed); return nil }

func acceptError(errno syscall.Errno) error {
	return &net.OpError{Op: "accept", Net: "tcp", Err: os.NewSyscallError("accept4", errno)}
}

// Accept retries after each error that Linux documents for accept. It counts all errors and logs one line per period.
func TestAcceptFailsOnlyAfterClose(t *testing.T) {
	errnos := []syscall.Errno{
		syscall.ECONNABORTED, syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM,
		syscall.EPROTO, syscall.ENETDOWN, syscall.ENETUNREACH, syscall.EHOSTDOWN, syscall.EHOSTUNREACH, syscall.ENONET,
		syscall.ENOPROTOOPT, syscall.EOPNOTSUPP, syscall.EPERM, syscall.EADDRNOTAVAIL, syscall.EADDRINUSE,
		syscall.EACCES,
		syscall.EINTR, syscall.EINVAL, syscall.ETIMEDOUT, syscall.ENOSR, syscall.ESOCKTNOSUPPORT,
	}
	inner := &failingListener{closed: make(chan struct{})}
	for _, errno := range errnos {
		inner.errs = append(inner.errs, acceptError(errno))
	}
	inner.errs = append(inner.errs, nil)
	var log bytes.Buffer
	now := time.Duration(0)
	failures := netretry.NewFailures("accept", time.Second, zerolog.New(&log), func() time.Duration { return now })
	l := netretry.NewListener(inner, netretry.Backoff{First: time.Nanosecond, Max: time.Nanosecond}, failures)
	c, err := l.Accept()
	require.NoError(t, err)
	require.NoError(t, c.Close())
	require.EqualValues(t, len(errnos), failures.Count())
	require.Equal(t, 1, strings.Count(log.String(), "\n"))
	now = time.Second
	failures.Note(acceptError(syscall.EMFILE))
	require.Equal(t, 2, strings.Count(log.String(), "\n"), "one more line a period later")
	require.NoError(t, l.Close())
	_, err = l.Accept()
	require.ErrorIs(t, err, net.ErrClosed)
}

// Accept returns when the listener is closed during a backoff.
func TestCloseEndsBackoff(t *testing.T) {
	inner := &failingListener{closed: make(chan struct{}), errs: []error{acceptError(syscall.ENOMEM)}}
	failures := netretry.NewFailures("accept", time.Second, zerolog.Nop(), func() time.Duration { return 0 })
	l := netretry.NewListener(inner, netretry.Backoff{First: time.Hour, Max: time.Hour}, failures)
	ended := make(chan error, 1)
	go func() {
		_, err := l.Accept()
		ended <- err
	}()
	require.Eventually(t, func() bool { return failures.Count() == 1 }, 20*time.Second, time.Millisecond)
	require.NoError(t, l.Close())
	select {
	case err := <-ended:
		require.ErrorIs(t, err, net.ErrClosed)
	case <-time.After(20 * time.Second):
		require.Fail(t, "Accept does not return after Close")
	}
}

func TestBackoffDoublesUpToItsLimit(t *testing.T) {
	b := netretry.Backoff{First: 5, Max: 30}
	for failures, want := range map[int]time.Duration{1: 5, 2: 10, 3: 20, 4: 30, 5: 30, 1 << 40: 30} {
		require.Equal(t, want, b.After(failures), "after %d failures", failures)
	}
}

// Within retries a call until its error is not transient or the limit has passed.
func TestWithinRetriesTransientErrors(t *testing.T) {
	shortage, lasting := acceptError(syscall.EMFILE), errors.New("other")
	for name, test := range map[string]struct {
		errs  []error
		limit time.Duration
		want  error
	}{
		"first attempt succeeds":               {[]error{nil}, time.Hour, nil},
		"succeeds after transient errors":      {[]error{shortage, shortage, nil}, time.Hour, nil},
		"stops at a lasting error":             {[]error{shortage, lasting}, time.Hour, lasting},
		"stops at the limit":                   {nil, time.Millisecond, shortage},
		"stops after one attempt without time": {nil, 0, shortage},
	} {
		calls := 0
		shortest := netretry.Backoff{First: time.Nanosecond, Max: time.Nanosecond}
		err := netretry.Within(test.limit, shortest, netretry.IsMomentary, func() error {
			if calls++; test.errs == nil {
				return shortage
			}
			return test.errs[calls-1]
		})
		require.Equal(t, test.want, err, name)
		if test.errs != nil {
			require.Equal(t, len(test.errs), calls, name)
		}
	}
}

func TestErrnosAreClassifiedAsShortageOrUnreachable(t *testing.T) {
	for errno, want := range map[syscall.Errno][2]bool{ // results of IsShortage and IsUnreachable
		syscall.EMFILE: {true, false}, syscall.ENFILE: {true, false}, syscall.ENOBUFS: {true, false},
		syscall.ENOMEM: {true, false}, syscall.EADDRNOTAVAIL: {true, false}, syscall.EAGAIN: {true, false},
		syscall.ENETUNREACH: {false, true}, syscall.EHOSTUNREACH: {false, true}, syscall.EHOSTDOWN: {false, true},
		syscall.EPERM: {false, true}, syscall.ENETDOWN: {false, true},
		syscall.ECONNREFUSED: {false, false}, syscall.ECONNRESET: {false, false}, syscall.ETIMEDOUT: {false, false},
	} {
		err := acceptError(errno)
		require.Equal(t, want, [2]bool{netretry.IsShortage(err), netretry.IsUnreachable(err)}, errno.Error())
	}
	require.True(t, netretry.IsShortage(netretry.ErrShortage))
	require.False(t, netretry.IsMomentary(nil))
}
