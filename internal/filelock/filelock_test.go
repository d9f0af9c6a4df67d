package filelock

import (
	"path/filepath"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"golang.org/x/sys/unix"
)

// Open waits for a held lock for a bounded time.
func TestOpenWaitsForABoundedTime(t *testing.T) {
	path := filepath.Join(t.TempDir(), "lock")
	first, err := Open(path, 0)
	require.NoError(t, err)
	started := time.Now()
	_, err = Open(path, 20*time.Millisecond)
	require.ErrorIs(t, err, ErrBusy)
	require.GreaterOrEqual(t, time.Since(started), 20*time.Millisecond)
	_, err = Open(path, 0)
	require.ErrorIs(t, err, ErrBusy, "a single attempt")
	require.ErrorIs(t, err, unix.EWOULDBLOCK, "the error of the system call")
	released := make(chan error, 1)
	time.AfterFunc(20*time.Millisecond, func() { released <- first.Close() })
	next, err := Open(path, time.Minute)
	require.NoError(t, err, "the lock is acquired after its release")
	require.NoError(t, <-released)
	require.NoError(t, next.Close())
}

// A call that a signal interrupts is retried and does not count as an attempt.
func TestAcquireRetriesInterruptedCalls(t *testing.T) {
	for _, test := range []struct {
		name    string
		timeout time.Duration
		errors  []error // returned by successive calls of flock
		want    error
	}{
		{"interrupted by signals", time.Minute, []error{unix.EINTR, unix.EINTR, nil}, nil},
		{"a single attempt, interrupted by signals", 0, []error{unix.EINTR, unix.EINTR, unix.EINTR, nil}, nil},
		{"a single attempt, interrupted, then held", 0, []error{unix.EINTR, unix.EWOULDBLOCK}, ErrBusy},
		{"held, then interrupted, then released", time.Minute, []error{unix.EWOULDBLOCK, unix.EINTR, nil}, nil},
		{"the system has no locks left", time.Minute, []error{unix.EINTR, unix.ENOLCK}, unix.ENOLCK},
	} {
		t.Run(test.name, func(t *testing.T) {
			file, err := Open(filepath.Join(t.TempDir(), "lock"), 0)
			require.NoError(t, err)
			defer func() { require.NoError(t, file.Close()) }()
			calls := 0
			err = acquire(file, unix.LOCK_EX, test.timeout, func(int, int) error {
				calls++
				return test.errors[calls-1]
			})
			require.ErrorIs(t, err, test.want)
			require.Equal(t, len(test.errors), calls)
		})
	}
}
