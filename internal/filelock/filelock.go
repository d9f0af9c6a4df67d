// Package filelock takes advisory locks of files (flock) for a bounded time. A process that is stopped while it holds a
// lock holds it for as long as it is stopped, so nobody may wait for one without a bound; and flock ends with EINTR
// whenever a signal arrives, of which the Go runtime sends itself many.
package filelock

import (
	"errors"
	"fmt"
	"os"
	"time"

	"golang.org/x/sys/unix"
)

// retryEvery is the pause between two attempts at a lock that another process holds.
const retryEvery = 5 * time.Millisecond

// ErrBusy tells that another open file held the lock for all of the time.
var ErrBusy = errors.New("the lock is held by another process")

// Open opens the file, creating it if there is none, and takes its exclusive lock within a time. With 0 it tries once.
// Closing the file gives the lock back.
func Open(path string, within time.Duration) (*os.File, error) {
	file, err := os.OpenFile(path, os.O_CREATE|os.O_RDWR, 0o600)
	if err != nil {
		return nil, err
	}
	if err := Acquire(file, unix.LOCK_EX, within); err != nil {
		file.Close()
		return nil, err
	}
	return file, nil
}

// Acquire takes the lock of an open file, unix.LOCK_EX or unix.LOCK_SH, within a time. With 0 it tries once.
func Acquire(file *os.File, how int, within time.Duration) error {
	return acquire(file, how, within, unix.Flock)
}

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
			return fmt.Errorf("flock %s: %w", file.Name(), ErrBusy)
		}
		time.Sleep(min(retryEvery, within))
	}
}
