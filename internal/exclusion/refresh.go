package exclusion

import (
	"errors"
	"fmt"
	"os"
)

// Refresh reads the changes of other processes from the files and from the link of pending changes. It hands over the
// changes of this process that could not be written.
func (f *File) Refresh() {
	f.refreshing.Lock()
	defer f.refreshing.Unlock()
	f.refreshSet()
	f.exchangePending()
}

// refreshSet reads the set's file if it has changed. If the read fails, it logs the error and leaves the set as it is.
func (f *File) refreshSet() {
	f.mu.Lock()
	saveCount := f.saveCount
	f.mu.Unlock()
	info, err := f.Files.Stat(f.path)
	if errors.Is(err, os.ErrNotExist) { // the removal of the file does not end the exclusions
		return
	}
	if err == nil && f.isLastRead(info) {
		return
	}
	var onDisk changes
	if err == nil {
		onDisk, err = f.read()
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	switch {
	case f.saveCount != saveCount: // this process has saved meanwhile: the content read may be older
	case err != nil:
		// Only a process that knows the former content repairs the file. It waits for a second failure, because an
		// operator may be editing the file.
		if errors.Is(err, errDamaged) && err.Error() == f.readError && len(f.onDisk) > 0 {
			f.mustRepair = true
			f.updateSaved()
		}
		f.logReadError(err)
	default:
		f.lastRead, f.readError, f.mustRepair = info, "", false
		f.onDisk = onDisk
		f.publish()
	}
}

// isLastRead reports whether info describes the set's file as last read. It also compares times and sizes, because a
// new file may have the inode number of a removed file.
func (f *File) isLastRead(info os.FileInfo) bool {
	return f.lastRead != nil && os.SameFile(info, f.lastRead) &&
		info.ModTime().Equal(f.lastRead.ModTime()) && info.Size() == f.lastRead.Size()
}

// logReadError logs an error of reading the set's file, unless it equals the previous error.
func (f *File) logReadError(err error) {
	if err.Error() != f.readError {
		f.readError = err.Error()
		f.Log.Error().Err(err).Msg("exclusions: cannot be read, known ones stay in force")
	}
}

// read reads the set's file and the file of changes. Only the set's file must exist and be valid.
func (f *File) read() (changes, error) {
	text, err := f.Files.Read(f.path, f.Limits.MaxFileBytes)
	if err != nil {
		return nil, err
	}
	set, err := decode[map[string]int64](text)
	if err != nil {
		return nil, fmt.Errorf("%s: %w: %w", f.path, errDamaged, err)
	}
	var stored changes
	if text, err := f.Files.Read(f.path+changesSuffix, f.Limits.MaxFileBytes); err == nil {
		stored, _ = decode[changes](text) // if it is invalid, the ages of the exclusions are unknown
	}
	return combine(set, stored), nil
}
