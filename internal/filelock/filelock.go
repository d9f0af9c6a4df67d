// Package filelock acquires advisory file locks (flock) within a bounded time.
//
// A process that is stopped (SIGSTOP) while it holds a lock does not release the lock: a wait without a bound could
// last forever. An flock call that a signal interrupts (EINTR) is repeated, because the Go runtime sends signals to its
// own process to preempt goroutines.
package filelock

import (
	"errors"
	"fmt"
	"os"
	"time"

	"golang.org/x/sys/unix"
)

// retryInterval is the pause between two attempts to acquire a lock that another process holds.
const retryInterval = 5 * time.Millisecond

// ErrBusy is wrapped, together with EWOULDBLOCK, by errors that mean that another process held the lock until the
// timeout.
var ErrBusy = errors.New("the lock is held by another process")

// Open opens a file, creates it if it does not exist, and acquires its exclusive lock. It waits for the lock up to
// timeout; 0 means a single attempt. Closing the file releases the lock.
func Open(path string, timeout time.Duration) (*os.File, error) {
	file, err := os.OpenFile(path, os.O_CREATE|os.O_RDWR, 0o600)
	if err != nil {
		return nil, err
	}
	if err := Acquire(file, unix.LOCK_EX, timeout); err != nil {
		_ = file.Close() // nothing was written to it
		return nil, err
	}
	return file, nil
}

// Acquire acquires the lock of an open file: mode is unix.LOCK_EX for an exclusive or unix.LOCK_SH for a shared lock.
// It waits for the lock up to timeout; 0 means a single attempt.
func Acquire(file *os.File, mode int, timeout time.Duration) error {
	return acquire(file, mode, timeout, unix.Flock)
}

// acquire is Acquire with the system call as an argument.
func acquire(file *os.File, mode int, timeout time.Duration, flock func(fd, mode int) error) error {
	started := time.Now()
	for {
		err := flock(int(file.Fd()), mode|unix.LOCK_NB)
		switch {
		case err == nil:
			return nil
		case errors.Is(err, unix.EINTR):
			continue
		case !errors.Is(err, unix.EWOULDBLOCK):
			return fmt.Errorf("flock %s: %w", file.Name(), err)
		case time.Since(started) >= timeout:
			return fmt.Errorf("flock %s: %w: %w", file.Name(), ErrBusy, err)
		}
		time.Sleep(min(retryInterval, timeout))
	}
}
