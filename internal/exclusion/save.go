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

const (
	changesSuffix = ".changes"
	lockSuffix    = ".lock"
	newSuffix     = ".new"
)

// keepSaving writes the pending changes whenever there are any, again with growing pauses while that fails.
func (f *File) keepSaving(ctx context.Context) {
	failures := failureLog{file: f}
	pause := f.Limits.BansRetry
	for ctx.Err() == nil {
		if !f.mustSave() {
			failures.over()
			pause = f.Limits.BansRetry
			select {
			case <-f.wake:
			case <-ctx.Done():
			}
			continue
		}
		if err := f.save(); err != nil {
			failures.add(err)
			wait(ctx, pause)
			pause = min(2*pause, f.Limits.BansRetryMost)
		}
	}
}

func (f *File) mustSave() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.dirty()
}

func wait(ctx context.Context, pause time.Duration) {
	select {
	case <-time.After(pause):
	case <-ctx.Done():
	}
}

// save writes the pending changes over what other processes have written meanwhile.
func (f *File) save() error {
	lock, err := f.Files.Lock(f.path+lockSuffix, f.Limits.BansLock)
	if err != nil {
		return err
	}
	defer lock.Close() // behind the last step: nobody has written between the files and what is known of them here
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
	merged := merge(onDisk, f.pending, present.Boot).bounded(f.Limits.Banned, present.Boot)
	f.mu.Unlock()
	if err := f.write(merged); err != nil {
		return err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.onDisk, f.repair = merged, false
	f.saves++
	f.publish()
	return nil
}

// write writes the changes and then the set, which alone tells who is banned. The set is written even if the changes
// cannot be: it is what all programs obey.
func (f *File) write(all changes) error {
	ordered := f.replace(f.path+changesSuffix, all)
	if err := f.replace(f.path, all.banned()); err != nil {
		return err
	}
	return ordered
}

// replace puts a file of this in the place of the one before. A kill at any moment leaves the one or the other.
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
	f.Files.Remove(path + newSuffix) // nothing half written is left lying about
	return err
}

// failureLog logs that writing fails, and that it works again, without a line for each attempt.
type failureLog struct {
	file   *File
	failed bool
	told   string
	at     time.Time
}

func (l *failureLog) add(err error) {
	again := l.file.Limits.LogEvery
	if err.Error() == l.told {
		again *= sameFailure
	}
	if l.failed && time.Since(l.at) < again {
		return
	}
	l.failed, l.told, l.at = true, err.Error(), time.Now()
	l.file.Log.Error().Err(err).Int("unsaved", l.file.Unsaved()).
		Msg("bans: cannot be written; they hold, and are written again")
}

// sameFailure is how many times rarer an error is logged that is the same as the one before.
const sameFailure = 10

func (l *failureLog) over() {
	if l.failed {
		l.file.Log.Info().Msg("bans: on disk again")
	}
	l.failed = false
}

// pendingCopy returns the pending changes, and whether they have waited for long enough to be left for the other
// processes.
func (f *File) pendingCopy() (pending changes, due bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return maps.Clone(f.pending), len(f.pending) > 0 && time.Since(f.since) >= f.Limits.BansHandOver
}
