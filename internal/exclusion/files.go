package exclusion

import (
	"io"
	"os"
	"time"

	"capercove/internal/filelock"
)

// Files are the file operations that the set is kept with.
type Files interface {
	Stat(path string) (os.FileInfo, error)
	// Read returns what a file holds, up to a number of bytes.
	Read(path string, most int) ([]byte, error)
	// Write makes a file of these bytes, and returns when they are on disk.
	Write(path string, text []byte) error
	Rename(from, to string) error
	// SyncDir returns when the names in a directory are on disk.
	SyncDir(dir string) error
	Remove(path string) error
	// Symlink makes a symbolic link that holds a text, Readlink reads it.
	Symlink(text, path string) error
	Readlink(path string) (string, error)
	// Lock takes the lock of a file within a time. Closing gives it back.
	Lock(path string, within time.Duration) (io.Closer, error)
}

// System are the system's file operations.
type System struct{}

// Stat implements Files.
func (System) Stat(path string) (os.FileInfo, error) { return os.Stat(path) }

// Read implements Files.
func (System) Read(path string, most int) ([]byte, error) {
	f, err := os.Open(path)
	if err != nil {
		return nil, err
	}
	defer f.Close()
	return io.ReadAll(io.LimitReader(f, int64(most)))
}

// Write implements Files.
func (System) Write(path string, text []byte) error {
	f, err := os.OpenFile(path, os.O_CREATE|os.O_TRUNC|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	_, err = f.Write(text)
	if err == nil {
		err = f.Sync()
	}
	if closed := f.Close(); err == nil {
		err = closed
	}
	return err
}

// Rename implements Files.
func (System) Rename(from, to string) error { return os.Rename(from, to) }

// SyncDir implements Files.
func (System) SyncDir(dir string) error {
	d, err := os.Open(dir)
	if err != nil {
		return err
	}
	defer d.Close()
	return d.Sync()
}

// Remove implements Files.
func (System) Remove(path string) error { return os.Remove(path) }

// Symlink implements Files.
func (System) Symlink(text, path string) error { return os.Symlink(text, path) }

// Readlink implements Files.
func (System) Readlink(path string) (string, error) { return os.Readlink(path) }

// Lock implements Files.
func (System) Lock(path string, within time.Duration) (io.Closer, error) {
	f, err := filelock.Open(path, within)
	if err != nil {
		return nil, err
	}
	return f, nil
}
