// Package bans keeps which databases the operators keep out. The set stands in a file that all processes of one pooler
// share, so that it outlasts each of them, and each obeys it whichever was called.
package bans

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"net/url"
	"os"
	"path/filepath"
	"sync"
	"time"

	"github.com/rs/zerolog"
	"golang.org/x/sys/unix"
)

// Set is the names of the databases, each with the Unix time in milliseconds of its ban.
type Set map[string]int64

// File is the file with the set.
type File struct {
	path    string
	log     zerolog.Logger
	changed func(Set)

	mu     sync.Mutex // held until changed returns: it is called in the order of the changes
	set    Set        // as last seen
	seen   os.FileInfo
	broken string // the last error that was logged
}

// Open returns the set of a pooler, not yet looked at. Every new set is given to changed, which must not change it.
func Open(dir, pooler string, log zerolog.Logger, changed func(Set)) *File {
	return &File{path: filepath.Join(dir, "capercove-bans-"+url.PathEscape(pooler)+".json"), log: log, changed: changed,
		set: Set{}}
}

// Watch looks for changes by other processes until the context ends.
func (f *File) Watch(ctx context.Context, every time.Duration) {
	tick := time.NewTicker(every)
	defer tick.Stop()
	for ctx.Err() == nil {
		f.Look()
		select {
		case <-tick.C:
		case <-ctx.Done():
		}
	}
}

// Look takes in what another process has changed.
func (f *File) Look() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.look()
}

// look takes in the file if it is another than the last one. One that cannot be read is logged, and the set is kept.
func (f *File) look() {
	info, err := os.Stat(f.path)
	if errors.Is(err, os.ErrNotExist) { // what a process has kept is not lost with the file
		return
	}
	// Against a new file that has the number of one replaced before.
	if err == nil && f.seen != nil && os.SameFile(info, f.seen) && info.ModTime().Equal(f.seen.ModTime()) &&
		info.Size() == f.seen.Size() {
		return
	}
	var set Set
	if err == nil {
		set, err = read(f.path)
	}
	if err != nil {
		if err.Error() != f.broken {
			f.broken = err.Error()
			f.log.Error().Err(err).Msg("bans: cannot be read; the ones known are kept")
		}
		return
	}
	f.seen, f.broken = info, ""
	f.take(set)
}

func read(path string) (set Set, err error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	if err := json.Unmarshal(text, &set); err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	if set == nil {
		return nil, fmt.Errorf("%s: no set", path)
	}
	return set, nil
}

func (f *File) take(set Set) {
	if !maps.Equal(set, f.set) {
		f.set = set
		f.changed(set)
	}
}

// Change bans a database or takes the ban back. The set holds it when this returns: twice banned is banned.
func (f *File) Change(name string, banned bool) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	lock, err := os.OpenFile(f.path+".lock", os.O_CREATE|os.O_RDWR, 0o600)
	if err != nil {
		return err
	}
	defer lock.Close()
	// Against another process's change in between: it would be lost.
	if err := unix.Flock(int(lock.Fd()), unix.LOCK_EX); err != nil {
		return err
	}
	f.look()
	set := maps.Clone(f.set)
	if _, already := set[name]; !banned {
		delete(set, name)
	} else if !already {
		set[name] = time.Now().UnixMilli()
	}
	text, err := json.Marshal(set)
	if err != nil {
		return err
	}
	if err := os.WriteFile(f.path+".new", text, 0o600); err != nil {
		return err
	}
	if err := os.Rename(f.path+".new", f.path); err != nil { // Against a file that is read half written.
		return err
	}
	f.take(set)
	return nil
}

// Has tells whether a database is banned.
func (f *File) Has(name string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	_, banned := f.set[name]
	return banned
}
