// Package exclusion stores the set of databases that operators have excluded. All processes of a pooler share the set
// through files. The set therefore outlives each process, and a command to one process takes effect in all of them.
//
// A change takes effect in this process at once, even if the files cannot be written; the write is retried until it
// succeeds. The directory holds four files, named after the pooler:
//   - .json is the set, in the one format that all versions of the program read and write;
//   - .json.changes has the last change of each database, with a time that steps of the wall clock do not affect. It
//     gives the age of an exclusion and the order of two changes. Older versions ignore the file;
//   - .json.lock is locked by a process while it changes these two files;
//   - .json.pending is a symbolic link whose target encodes the changes that are not on disk yet. It hands them over to
//     the other processes without the lock and without a write to a file (see handover.go).
package exclusion

import (
	"context"
	"errors"
	"maps"
	"net/url"
	"os"
	"path/filepath"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"capercove/internal/clock"
	"capercove/internal/limits"
)

// unknownAge is the age assumed for an exclusion of unknown age. It is longer than any grace period.
const unknownAge = 24 * time.Hour

// ErrTooMany is returned by Change when the limit on the number of excluded databases is reached.
var ErrTooMany = errors.New("too many databases are excluded")

// errDamaged is wrapped by errors about a file whose content is invalid. A retry of the read does not help.
var errDamaged = errors.New("damaged")

// Set maps the name of each excluded database to the time of its exclusion by Config.Now.
type Set map[string]time.Duration

// Config configures a File. All fields are required.
type Config struct {
	// Dir is the directory of the files.
	Dir string
	// Pooler is the pooler's name, which is part of the files' names.
	Pooler string
	// Files performs the operations on files.
	Files Files
	// Now returns the time of a clock that is never stepped.
	Now func() time.Duration
	// Stamp returns times that all processes of the machine can compare.
	Stamp clock.StampSource
	// Wall returns the time of the wall clock.
	Wall func() time.Time
	// Limits bounds the set, the files and the waiting times.
	Limits limits.Exclusion
	// Log receives the failures to read or write the files.
	Log zerolog.Logger
	// Changed receives each new set, in the order of the changes. It is called while the File is locked, and must
	// neither modify the set nor call the File.
	Changed func(Set)
}

// File is the set of excluded databases with its files. It is safe for concurrent use.
type File struct {
	Config
	path string        // of the set's file
	wake chan struct{} // signals saveLoop that there are changes to be written

	refreshing sync.Mutex  // serializes refreshes
	lastRead   os.FileInfo // the set's file as last read
	readError  string      // the read error that was logged last

	mu           sync.Mutex       // locked until Changed returns, and never during an operation on files
	saveCount    int              // successful saves; a refresh compares it to detect a concurrent save
	onDisk       changes          // content of the files when last read or written
	pending      changes          // later changes that are not known to be on disk
	pendingSince time.Time        // when pending became non-empty
	handedOver   bool             // all pending changes are handed over to the other processes
	mustRepair   bool             // the set's file is damaged, and its former content is known here
	saved        chan struct{}    // closed while there is nothing to be written
	set          Set              // as last passed to Changed
	unixMilli    map[string]int64 // times of the exclusions in set, which identify them
}

// Open returns the File of a pooler without reading it: the set is empty until the first Refresh.
func Open(config Config) *File {
	saved := make(chan struct{})
	close(saved)
	return &File{
		Config:  config,
		path:    filepath.Join(config.Dir, "capercove-bans-"+url.PathEscape(config.Pooler)+".json"),
		wake:    make(chan struct{}, 1),
		onDisk:  changes{},
		pending: changes{},
		saved:   saved,
		set:     Set{},
	}
}

// Watch reads the changes of other processes once per interval and writes the changes of this process, until the
// context ends.
func (f *File) Watch(ctx context.Context, interval time.Duration) {
	var saving sync.WaitGroup
	saving.Go(func() { f.saveLoop(ctx) })
	defer saving.Wait()
	tick := time.NewTicker(interval)
	defer tick.Stop()
	for ctx.Err() == nil {
		f.Refresh()
		select {
		case <-tick.C:
		case <-ctx.Done():
		}
	}
}

// Change excludes a database or ends its exclusion. It is idempotent. The change is in force in this process when
// Change returns. Change waits up to Limits.ChangeTimeout for the change to be on disk; Unsaved returns the number of
// changes that are not. Its only error is ErrTooMany.
func (f *File) Change(name string, excluded bool) error {
	saved, err := f.change(name, excluded)
	if err != nil {
		return err
	}
	expired := time.NewTimer(f.Limits.ChangeTimeout)
	defer expired.Stop()
	select {
	case <-saved:
	case <-expired.C:
		f.Log.Warn().Str("database", name).Bool("banned", excluded).
			Msg("exclusions: in force, not on disk yet")
	}
	return nil
}

// change puts a change into force in this process. The channel is closed once all pending changes are on disk.
func (f *File) change(name string, excluded bool) (saved <-chan struct{}, err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	_, already := f.set[name]
	if excluded && !already && len(f.set) >= f.Limits.MaxEndpoints {
		return nil, ErrTooMany
	}
	issued, _ := f.Stamp()            // without a stamp, the wall clock orders changes
	unixMilli := f.Wall().UnixMilli() //nolint:forbidigo // the injected wall clock: the set's file holds Unix times
	c := change{Excluded: excluded, UnixMilli: unixMilli, Since: issued, Issued: issued}
	known, ok := merge(f.onDisk, f.pending, issued.Boot)[name]
	// A repeated exclusion overrides another process that has just ended the exclusion. The time of the first stays.
	if excluded && already {
		c.UnixMilli, c.Since = known.UnixMilli, known.Since
	}
	if ok && !c.after(known, issued.Boot) {
		c.UnixMilli = known.UnixMilli + 1 // overrides the known change, even if the wall clock was stepped back
	}
	f.addPending(changes{name: c})
	f.publish()
	return f.saved, nil
}

// addPending adds changes that are to be written. The caller holds mu.
func (f *File) addPending(more changes) {
	if len(f.pending) == 0 {
		f.pendingSince = time.Now()
	}
	maps.Copy(f.pending, more)
	f.handedOver = false
}

// updateSaved closes saved if nothing is left to be written. Otherwise it replaces a closed saved and wakes saveLoop.
// The caller holds mu.
func (f *File) updateSaved() {
	select {
	case <-f.saved:
		if f.dirty() {
			f.saved = make(chan struct{})
		}
	default:
		if !f.dirty() {
			close(f.saved)
		}
	}
	if !f.dirty() {
		return
	}
	select {
	case f.wake <- struct{}{}:
	default: // saveLoop has been woken already
	}
}

// dirty reports whether the files have to be written. The caller holds mu.
func (f *File) dirty() bool { return len(f.pending) > 0 || f.mustRepair }

// publish drops the pending changes that are on disk or superseded there. It passes the set to Changed if it differs
// from the set passed last. The caller holds mu.
func (f *File) publish() {
	// Now is read before the stamp: a pause between the two makes an exclusion appear older, never younger.
	now := f.Now()
	present, _ := f.Stamp()
	maps.DeleteFunc(f.pending, func(name string, c change) bool {
		known, ok := f.onDisk[name]
		return ok && !c.after(known, present.Boot)
	})
	f.updateSaved()
	all := merge(f.onDisk, f.pending, present.Boot)
	unixMilli, set := all.excluded(), Set{}
	for name := range unixMilli {
		if since, present := f.set[name]; present && f.unixMilli[name] == unixMilli[name] {
			set[name] = since
			continue
		}
		age, known := all[name].Since.Age(present)
		if !known {
			age = unknownAge
		}
		set[name] = now - age
	}
	f.unixMilli = unixMilli
	if !maps.Equal(set, f.set) {
		f.set = set
		f.Changed(set)
	}
}

// Has reports whether a database is excluded.
func (f *File) Has(name string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	_, excluded := f.set[name]
	return excluded
}

// Unsaved returns the number of changes that are in force but not on disk yet.
func (f *File) Unsaved() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.pending)
}

// Settled reports whether this process may end without losing a change: each change is on disk or handed over to the
// other processes.
func (f *File) Settled() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.pending) == 0 || f.handedOver
}
