package fdshare

import (
	"errors"
	"os"

	"golang.org/x/sys/unix"
)

// flock locks a file.
func flock(f *os.File, how int) error {
	return uninterrupted(func() error { return unix.Flock(int(f.Fd()), how) })
}

// uninterrupted makes a system call anew while a signal, such as the runtime's own for preemption, breaks it off.
func uninterrupted(call func() error) error {
	for {
		if err := call(); !errors.Is(err, unix.EINTR) {
			return err
		}
	}
}

// named tells whether a file is still the one that its name stands for.
func named(f *os.File) bool {
	open, err := f.Stat()
	if err != nil {
		return false
	}
	found, err := os.Stat(f.Name())
	return err == nil && os.SameFile(open, found)
}
