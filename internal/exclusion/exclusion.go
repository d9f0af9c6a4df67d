// Package exclusion keeps which databases the operators keep out. The set stands in a file that all processes of one pooler
// share, so that it outlasts each of them, and each obeys it whichever was called.
//
// A change holds in this process at once, whatever becomes of the file, and is written again until it stands on disk.
// Four files lie in the directory, named after the pooler:
//   - .json, the set, in the one form that all versions of the program read and write;
//   - .json.changes, the last change of each database with a time that no step of the wall clock moves, from which a
//     ban's age is told and the later of two changes; an older program knows nothing of it;
//   - .json.lock, locked by who changes these two;
//   - .json.pending, a symbolic link whose text is the changes that are not on disk yet, for the other processes: it
//     takes neither the lock nor a byte of a file (see handover.go).
package exclusion

import (
	"context"
	"errors"
	"fmt"
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

// unknownAge is how old a ban counts as whose age is not known: older than any grace.
const unknownAge = 24 * time.Hour

// ErrTooMany tells that no further database may be banned.
var ErrTooMany = errors.New("too many databases are banned")

// errDamaged tells of a file that holds something else than it should. Reading it again does not help.
var errDamaged = errors.New("damaged")

// Set is the databases that are kept out, each with the time of its ban by the clock that was handed to Open.
type Set map[string]time.Duration

// Config is what a File works with. All of it is needed.
type Config struct {
	Dir    string // the files' directory
	Pooler string // the pooler's name
	Files  Files
	Now    func() time.Duration // a clock that is never stepped
	Stamp  clock.StampSource
	Wall   func() time.Time
	Limits limits.Limits
	Log    zerolog.Logger
	// Changed is given every new set, in the order of the changes. It must neither change it nor call the File.
	Changed func(Set)
}

// File is the set and its files.
type File struct {
	Config
	path string
	wake chan struct{} // has something to be written

	looking sync.Mutex  // one look at a time
	seen    os.FileInfo // the set's file as last read
	broken  string      // the last error of reading that was logged

	mu      sync.Mutex    // held until Changed returns, and never while a file is worked on
	saves   int           // how often onDisk was written: against a look that began before
	onDisk  changes       // as last read or written
	pending changes       // later ones that are not known to be on disk
	since   time.Time     // when the first of them was made
	handed  bool          // all of pending is left for the other processes
	repair  bool          // the set's file is damaged, and what it held is known here
	settled chan struct{} // closed while there is nothing to be written
	set     Set
	unix    map[string]int64 // the set by the wall clock: tells a ban from the one before
}

// Open returns the set of a pooler, not yet looked at.
func Open(c Config) *File {
	settled := make(chan struct{})
	close(settled)
	return &File{Config: c, path: filepath.Join(c.Dir, "capercove-bans-"+url.PathEscape(c.Pooler)+".json"),
		wake: make(chan struct{}, 1), onDisk: changes{}, pending: changes{}, settled: settled, set: Set{}}
}

// Watch looks for changes by other processes, and writes the own ones, until the context ends.
func (f *File) Watch(ctx context.Context, every time.Duration) {
	var saving sync.WaitGroup
	saving.Go(func() { f.keepSaving(ctx) })
	defer saving.Wait()
	tick := time.NewTicker(every)
	defer tick.Stop()
	for ctx.Err() == nil {
		f.Refresh()
		select {
		case <-tick.C:
		case <-ctx.Done():
		}
	}
}

// Refresh takes in what other processes have changed, on disk or not yet, and leaves for them what could not be written.
func (f *File) Refresh() {
	f.looking.Lock()
	defer f.looking.Unlock()
	f.lookAtSet()
	f.exchangePending()
}

// lookAtSet takes in the set's file if it is another than the last one. One that cannot be read is logged, and the set
// is kept.
func (f *File) lookAtSet() {
	f.mu.Lock()
	saves := f.saves
	f.mu.Unlock()
	info, err := f.Files.Stat(f.path)
	if errors.Is(err, os.ErrNotExist) { // what a process has kept is not lost with the file
		return
	}
	// Against a new file that has the number of one replaced before.
	if err == nil && f.seen != nil && os.SameFile(info, f.seen) && info.ModTime().Equal(f.seen.ModTime()) &&
		info.Size() == f.seen.Size() {
		return
	}
	var onDisk changes
	if err == nil {
		onDisk, err = f.read()
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	switch {
	case f.saves != saves: // what was read may be older than what was written since
	case err != nil:
		// Who knows nothing of what it held leaves it to others. Seen twice: it may be in the middle of being written
		// by hand.
		if errors.Is(err, errDamaged) && err.Error() == f.broken && len(f.onDisk) > 0 {
			f.repair = true
			f.note()
		}
		f.unreadable(err)
	default:
		f.seen, f.broken, f.repair = info, "", false
		f.onDisk = onDisk
		f.publish()
	}
}

// unreadable logs that the set's file cannot be read, once for each kind of error.
func (f *File) unreadable(err error) {
	if err.Error() != f.broken {
		f.broken = err.Error()
		f.Log.Error().Err(err).Msg("bans: cannot be read; the ones known are kept")
	}
}

// read reads the set and what is told beside it. The set alone has to be there and whole.
func (f *File) read() (changes, error) {
	text, err := f.Files.Read(f.path, f.Limits.BansBytes)
	if err != nil {
		return nil, err
	}
	set, err := decode[map[string]int64](text)
	if err != nil {
		return nil, fmt.Errorf("%s: %w: %w", f.path, errDamaged, err)
	}
	var beside changes
	if text, err := f.Files.Read(f.path+changesSuffix, f.Limits.BansBytes); err == nil {
		beside, _ = decode[changes](text) // Without it, the bans' ages are unknown.
	}
	return join(set, beside), nil
}

// Change bans a database or takes the ban back: twice banned is banned. It holds when this returns. Change waits for a
// moment for it to be on disk as well; Unsaved tells whether it is.
func (f *File) Change(name string, banned bool) error {
	settled, err := f.change(name, banned)
	if err != nil {
		return err
	}
	enough := time.NewTimer(f.Limits.BansAnswer)
	defer enough.Stop()
	select {
	case <-settled:
	case <-enough.C:
		f.Log.Warn().Str("database", name).Bool("banned", banned).Msg("bans: the change holds, and is not on disk yet")
	}
	return nil
}

// change lets a change hold in this process. The channel is closed when nothing is left to be written.
func (f *File) change(name string, banned bool) (settled <-chan struct{}, err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	_, already := f.set[name]
	if banned && !already && len(f.set) >= f.Limits.Banned {
		return nil, ErrTooMany
	}
	said, _ := f.Stamp() // Without it the wall clock orders changes.
	c := change{Banned: banned, Unix: f.Wall().UnixMilli(), Since: said, Said: said}
	known, ok := merge(f.onDisk, f.pending, said.Boot)[name]
	if banned && already { // Said anew, against another process that has just taken it back; but kept out since then.
		c.Unix, c.Since = known.Unix, known.Since
	}
	if ok && !c.after(known, said.Boot) {
		c.Unix = known.Unix + 1 // Against a wall clock that was stepped back: what is said last counts.
	}
	f.expect(changes{name: c})
	f.publish()
	return f.settled, nil
}

// expect adds to the changes that are to be written. The caller holds the lock.
func (f *File) expect(more changes) {
	if len(f.pending) == 0 {
		f.since = time.Now()
	}
	maps.Copy(f.pending, more)
	f.handed = false
}

// note lets what waits for a write go on when there is nothing left to be written, and wakes the writer when there is
// something. The caller holds the lock.
func (f *File) note() {
	select {
	case <-f.settled:
		if f.dirty() {
			f.settled = make(chan struct{})
		}
	default:
		if !f.dirty() {
			close(f.settled)
		}
	}
	if !f.dirty() {
		return
	}
	select {
	case f.wake <- struct{}{}:
	default: // it is awake
	}
}

// dirty tells whether there is something to be written. The caller holds the lock.
func (f *File) dirty() bool { return len(f.pending) > 0 || f.repair }

// publish drops the pending changes that are on disk or overtaken there, and hands out the set if it is another one.
// The caller holds the lock.
func (f *File) publish() {
	// Before the stamp: a process held up in between takes a ban for older than it is, never for younger.
	now := f.Now()
	present, _ := f.Stamp()
	maps.DeleteFunc(f.pending, func(name string, c change) bool {
		known, ok := f.onDisk[name]
		return ok && !c.after(known, present.Boot)
	})
	f.note()
	all := merge(f.onDisk, f.pending, present.Boot)
	unix, set := all.banned(), Set{}
	for name := range unix {
		if at, held := f.set[name]; held && f.unix[name] == unix[name] {
			set[name] = at
			continue
		}
		age, known := all[name].Since.Age(present)
		if !known {
			age = unknownAge
		}
		set[name] = now - age
	}
	f.unix = unix
	if !maps.Equal(set, f.set) {
		f.set = set
		f.Changed(set)
	}
}

// Has tells whether a database is banned.
func (f *File) Has(name string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	_, banned := f.set[name]
	return banned
}

// Unsaved is how many changes hold and are not on disk yet.
func (f *File) Unsaved() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.pending)
}

// Settled tells whether this process may end without a change being lost: each is on disk, or left for the other
// processes.
func (f *File) Settled() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.pending) == 0 || f.handed
}
