// Package filelock acquires advisory file locks (flock) within a bounded time.
//
// A process that is stopped (SIGSTOP) while it holds a lock keeps it, so that waiting without a bound could last for
// ever. An flock that a signal interrupts (EINTR) is called again: the Go runtime sends itself signals to preempt
// goroutines.
package filelock

import (
	"errors"
	"fmt"
	"os"
	"time"

	"golang.org/x/sys/unix"
)

// retryEvery is the pause between two attempts to acquire a lock that is held elsewhere.
const retryEvery = 5 * time.Millisecond

// ErrBusy is wrapped, beside EWOULDBLOCK, by the errors of calls that did not get the lock in time, as another process
// holds it.
var ErrBusy = errors.New("the lock is held by another process")

// Open opens a file, creates it if it does not exist, and acquires its exclusive lock within a time; 0 means a single
// attempt. Closing the file releases the lock.
func Open(path string, within time.Duration) (*os.File, error) {
	file, err := os.OpenFile(path, os.O_CREATE|os.O_RDWR, 0o600)
	if err != nil {
		return nil, err
	}
	if err := Acquire(file, unix.LOCK_EX, within); err != nil {
		_ = file.Close() // nothing was written to it
		return nil, err
	}
	return file, nil
}

// Acquire acquires the lock of an open file, unix.LOCK_EX or unix.LOCK_SH, within a time; 0 means a single attempt.
func Acquire(file *os.File, how int, within time.Duration) error {
	return acquire(file, how, within, unix.Flock)
}

// acquire is Acquire with the system call as an argument.
func acquire(file *os.File, how int, within time.Duration, flock func(fd, how int) error) error {
	started := time.Now()
	for {
		err := flock(int(file.Fd()), how|unix.LOCK_NB)
		switch {
		case err == nil:
			return nil
		case errors.Is(err, unix.EINTR):
			continue
		case !errors.Is(err, unix.EWOULDBLOCK):
			return fmt.Errorf("flock %s: %w", file.Name(), err)
		case time.Since(started) >= within:
			return fmt.Errorf("flock %s: %w: %w", file.Name(), ErrBusy, err)
		}
		time.Sleep(min(retryEvery, within))
	}
}
