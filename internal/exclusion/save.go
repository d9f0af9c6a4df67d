package exclusion

import (
	"context"
	"encoding/json"
	"errors"
	"maps"
	"os"
	"path/filepath"
	"time"
)

// Suffixes of the path of the set's file, which name the other files.
const (
	changesSuffix = ".changes"
	lockSuffix    = ".lock"
	newSuffix     = ".new" // temporary file that replaces the file without this suffix
)

// saveLoop writes the pending changes whenever there are any, until the context ends. After a failure it retries with
// backoff.
func (f *File) saveLoop(ctx context.Context) {
	failures := failureLog{file: f}
	backoff := f.Limits.Retry.FirstBackoff
	for ctx.Err() == nil {
		if !f.hasUnsaved() {
			failures.recovered()
			backoff = f.Limits.Retry.FirstBackoff
			select {
			case <-f.wake:
			case <-ctx.Done():
			}
			continue
		}
		if err := f.save(); err != nil {
			failures.report(err)
			wait(ctx, backoff)
			backoff = min(2*backoff, f.Limits.Retry.MaxBackoff)
		}
	}
}

// hasUnsaved reports whether the files have to be written.
func (f *File) hasUnsaved() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.dirty()
}

// wait blocks for a duration or until the context ends.
func wait(ctx context.Context, duration time.Duration) {
	select {
	case <-time.After(duration):
	case <-ctx.Done():
	}
}

// save merges the pending changes into the files, which other processes may have written meanwhile.
func (f *File) save() error {
	lock, err := f.Files.Lock(f.path+lockSuffix, f.Limits.LockTimeout)
	if err != nil {
		return err
	}
	// The lock is released after onDisk is updated: no other process writes in between. Closing the descriptor releases
	// the lock even if Close returns an error.
	defer func() { _ = lock.Close() }()
	onDisk, err := f.read()
	rewrite := errors.Is(err, os.ErrNotExist) || errors.Is(err, errDamaged)
	if err != nil && !rewrite {
		return err
	}
	present, _ := f.Stamp()
	f.mu.Lock()
	if rewrite {
		onDisk = f.onDisk
	}
	merged := merge(onDisk, f.pending, present.Boot).bounded(f.Limits.MaxEndpoints, present.Boot)
	f.mu.Unlock()
	if err := f.write(merged); err != nil {
		return err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.onDisk, f.mustRepair = merged, false
	f.saveCount++
	f.publish()
	return nil
}

// write writes the file of changes and then the set's file, which alone decides which databases are excluded. The set's
// file is written even if the file of changes cannot be, because all versions of the program obey it.
func (f *File) write(all changes) error {
	changesErr := f.replace(f.path+changesSuffix, all)
	if err := f.replace(f.path, all.excluded()); err != nil {
		return err
	}
	return changesErr
}

// replace atomically replaces a file with the JSON of a value: a kill at any moment leaves the old or the new file.
func (f *File) replace(path string, content any) error {
	text, err := json.Marshal(content)
	if err != nil {
		return err
	}
	if err = f.Files.Write(path+newSuffix, text); err == nil {
		err = f.Files.Rename(path+newSuffix, path)
	}
	if err == nil {
		return f.Files.SyncDir(filepath.Dir(path))
	}
	_ = f.Files.Remove(path + newSuffix) // if the file remains, the next write truncates it
	return err
}

// sameFailureFactor multiplies the log interval while the error stays the same.
const sameFailureFactor = 10

// failureLog logs write failures at most once per Limits.LogInterval, and the first success after them.
type failureLog struct {
	file      *File
	failed    bool
	lastError string
	loggedAt  time.Time
}

// report logs a failure, unless another failure was logged within the interval.
func (l *failureLog) report(err error) {
	interval := l.file.Limits.LogInterval
	if err.Error() == l.lastError {
		interval *= sameFailureFactor
	}
	if l.failed && time.Since(l.loggedAt) < interval {
		return
	}
	l.failed, l.lastError, l.loggedAt = true, err.Error(), time.Now()
	l.file.Log.Error().Err(err).Int("unsaved", l.file.Unsaved()).
		Msg("exclusions: cannot be written, in force, retrying")
}

// recovered logs the first success after a failure.
func (l *failureLog) recovered() {
	if l.failed {
		l.file.Log.Info().Msg("exclusions: on disk again")
	}
	l.failed = false
}

// pendingCopy returns a copy of the pending changes. due reports whether they have been pending for at least
// Limits.HandOverDelay and must be handed over to the other processes.
func (f *File) pendingCopy() (pending changes, due bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return maps.Clone(f.pending), len(f.pending) > 0 && time.Since(f.pendingSince) >= f.Limits.HandOverDelay
}
