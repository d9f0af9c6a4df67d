package exclusion

import (
	"io"
	"os"
	"time"

	"capercove/internal/filelock"
)

// fileMode is the permission mode of created files.
const fileMode = 0o600

// Files are the file operations that a File uses. Their errors are those of the system calls.
type Files interface {
	// Stat returns a description of a file.
	Stat(path string) (os.FileInfo, error)
	// Read returns the content of a file, of which it reads at most maxBytes.
	Read(path string, maxBytes int) ([]byte, error)
	// Write replaces the content of a file and creates the file if needed. It returns when the content is on disk.
	Write(path string, text []byte) error
	// Rename renames a file and replaces an existing file of the new name.
	Rename(from, to string) error
	// SyncDir writes the entries of a directory to disk.
	SyncDir(dir string) error
	// Remove removes a file.
	Remove(path string) error
	// Symlink creates a symbolic link at path.
	Symlink(target, path string) error
	// Readlink returns the target of a symbolic link.
	Readlink(path string) (string, error)
	// Lock acquires the exclusive lock of a file, for which it waits up to timeout. Closing the result releases it.
	Lock(path string, timeout time.Duration) (io.Closer, error)
}

// System implements Files with the operating system's calls.
type System struct{}

// Stat implements Files.
func (System) Stat(path string) (os.FileInfo, error) { return os.Stat(path) }

// Read implements Files.
func (System) Read(path string, maxBytes int) ([]byte, error) {
	file, err := os.Open(path)
	if err != nil {
		return nil, err
	}
	defer func() { _ = file.Close() }() // it was only read
	return io.ReadAll(io.LimitReader(file, int64(maxBytes)))
}

// Write implements Files.
func (System) Write(path string, text []byte) error {
	file, err := os.OpenFile(path, os.O_CREATE|os.O_TRUNC|os.O_WRONLY, fileMode)
	if err != nil {
		return err
	}
	_, err = file.Write(text)
	if err == nil {
		err = file.Sync()
	}
	if closeErr := file.Close(); err == nil {
		err = closeErr
	}
	return err
}

// Rename implements Files.
func (System) Rename(from, to string) error { return os.Rename(from, to) }

// SyncDir implements Files.
func (System) SyncDir(dir string) error {
	directory, err := os.Open(dir)
	if err != nil {
		return err
	}
	defer func() { _ = directory.Close() }() // opened for reading only
	return directory.Sync()
}

// Remove implements Files.
func (System) Remove(path string) error { return os.Remove(path) }

// Symlink implements Files.
func (System) Symlink(target, path string) error { return os.Symlink(target, path) }

// Readlink implements Files.
func (System) Readlink(path string) (string, error) { return os.Readlink(path) }

// Lock implements Files.
func (System) Lock(path string, timeout time.Duration) (io.Closer, error) {
	file, err := filelock.Open(path, timeout)
	if err != nil {
		return nil, err // a nil *os.File would be a non-nil io.Closer
	}
	return file, nil
}
