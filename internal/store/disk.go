package store

import (
	"encoding/json"
	"errors"
	"fmt"
	"io/fs"
	"os"
	"path/filepath"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/hashicorp/raft"
	raftboltdb "github.com/hashicorp/raft-boltdb/v2"
	"go.etcd.io/bbolt"
	"golang.org/x/sys/unix"

	"capercove/internal/filelock"
)

const (
	boltName        = "raft.db"
	probeName       = "probe.tmp" // a file that tells whether the directory takes any
	keptSnapshots   = 2
	newestLogEntry  = raft.LogConfiguration
	currentTermName = "CurrentTerm"  // raft's name for its term in the stable store
	lastVoteName    = "LastVoteTerm" // ... and for the term in which it last voted

	// mapSize is how much of the file bbolt maps at first, of addresses and not of memory. Against a remap that fails
	// while the file grows, after which bbolt has no map at all.
	mapSize = 1 << 30
)

// storage is what raft keeps its state in.
type storage struct {
	logs      raft.LogStore
	stable    raft.StableStore
	snapshots raft.SnapshotStore
	close     func() error
}

// inMemory is the storage of a pooler without peers.
func inMemory() *storage {
	memory := raft.NewInmemStore()
	return &storage{
		logs: memory, stable: memory, snapshots: raft.NewInmemSnapshotStore(),
		close: func() error { return nil },
	}
}

// endure puts between raft and the files what lets it go on while the disk fails or hangs.
func (s *storage) endure(p persistence, wait time.Duration) {
	s.logs, s.stable = newDurableLog(s.logs, p, wait), &patient{StableStore: s.stable, persistence: p}
}

// openDirectory opens the files in a directory, or creates them. Nothing of them is trusted before it is checked. It
// waits for so long for another process that holds them.
func openDirectory(dir string, lockWait time.Duration, log hclog.Logger) (s *storage, err error) {
	if err := takesFiles(dir); err != nil {
		return nil, err
	}
	options := &bbolt.Options{Timeout: lockWait, InitialMmapSize: mapSize}
	options.OpenFile = func(path string, flag int, mode os.FileMode) (*os.File, error) {
		return openBoltFile(path, flag, mode, lockWait)
	}
	var bolt *raftboltdb.BoltStore
	err = guarded(func() (err error) {
		bolt, err = raftboltdb.New(raftboltdb.Options{Path: filepath.Join(dir, boltName), BoltOptions: options})
		return err
	})
	if err != nil {
		return nil, boltError(err)
	}
	defer func() {
		if err != nil {
			bolt.Close()
		}
	}()
	snapshots, err := openSnapshots(dir, log)
	if err != nil {
		return nil, err
	}
	if err := guarded(func() error { return checkHistory(bolt, bolt, snapshots) }); err != nil {
		return nil, err
	}
	return &storage{logs: bolt, stable: bolt, snapshots: snapshots, close: bolt.Close}, nil
}

// errDiskFails is wrapped by errors of bbolt that do not keep the system's.
var errDiskFails = errors.New("the disk fails")

// boltError tells errors of the disk from those that stay.
func boltError(err error) error {
	for _, lasting := range []error{
		ErrDamaged, ErrNewer, bbolt.ErrTimeout, bbolt.ErrInvalid, bbolt.ErrVersionMismatch,
		bbolt.ErrChecksum, fs.ErrPermission, fs.ErrNotExist, unix.ENOTDIR, unix.EISDIR,
	} {
		if errors.Is(err, lasting) {
			return err
		}
	}
	return fmt.Errorf("%w: %w", errDiskFails, err)
}

// takesFiles tells why a directory takes no file just now, by the system's own error, which raft's check does not keep.
func takesFiles(dir string) error {
	path := filepath.Join(dir, probeName)
	f, err := os.OpenFile(path, os.O_CREATE|os.O_WRONLY|os.O_TRUNC, 0o600)
	if err != nil {
		return err
	}
	_, err = f.Write([]byte{1})
	return errors.Join(err, f.Close(), os.Remove(path))
}

// openBoltFile opens bbolt's file for it, locked and checked. A file that was never created whole is created anew.
func openBoltFile(path string, flag int, mode os.FileMode, lockWait time.Duration) (*os.File, error) {
	_, missing := os.Stat(path)
	f, err := os.OpenFile(path, flag, mode)
	if err != nil {
		return nil, err
	}
	if err = lock(f, lockWait); err == nil {
		if missing != nil {
			err = syncDirectory(filepath.Dir(path))
		} else {
			err = prepareBoltFile(f, path)
		}
	}
	if err != nil {
		return nil, errors.Join(err, f.Close())
	}
	return f, nil
}

// prepareBoltFile checks a locked file, or empties one that was never created whole: bbolt creates it then.
func prepareBoltFile(f *os.File, path string) error {
	info, err := f.Stat()
	if err != nil {
		return err
	}
	half, err := halfCreated(f, info.Size())
	if err != nil {
		return err
	}
	if half {
		// The snapshots' directory is created behind a whole file.
		if _, err := os.Stat(filepath.Join(filepath.Dir(path), snapshotsName)); err == nil {
			return fmt.Errorf("%s: cut to %d bytes: %w", path, info.Size(), ErrDamaged)
		}
		return f.Truncate(0)
	}
	if err := checkBoltFile(f, info.Size()); err != nil {
		return fmt.Errorf("%s: %w", path, err)
	}
	return nil
}

// lock locks a file for this process alone, as bbolt does. Its error is bbolt's where another process holds the lock.
func lock(f *os.File, wait time.Duration) error {
	err := filelock.Acquire(f, unix.LOCK_EX, wait)
	if errors.Is(err, filelock.ErrBusy) {
		return bbolt.ErrTimeout
	}
	return err
}

func syncDirectory(dir string) error {
	d, err := os.Open(dir)
	if err != nil {
		return err
	}
	return errors.Join(d.Sync(), d.Close())
}

// checkHistory tells whether snapshots and log together hold a whole history, which raft takes for granted: the
// newest snapshot that can be read, and all entries behind it.
func checkHistory(logs raft.LogStore, stable raft.StableStore, snapshots raft.SnapshotStore) error {
	snapshot, err := newestSnapshot(snapshots)
	if err != nil {
		return err
	}
	last, err := logs.LastIndex()
	if err != nil {
		return err
	}
	index, term := uint64(0), uint64(0)
	if snapshot != nil {
		index, term = snapshot.Index, snapshot.Term
	}
	for index++; index <= last; index++ {
		var entry raft.Log
		if err := logs.GetLog(index, &entry); err != nil {
			return fmt.Errorf("log entry %d of %d: %w: %w", index, last, err, ErrDamaged)
		}
		if err := checkEntry(&entry, index, term); err != nil {
			return err
		}
		term = entry.Term
	}
	current, err := stable.GetUint64([]byte(currentTermName))
	if err != nil && !errors.Is(err, raftboltdb.ErrKeyNotFound) {
		return err
	}
	if current < term {
		return fmt.Errorf("the term is %d, and that of an entry %d: %w", current, term, ErrDamaged)
	}
	return nil
}

// newestSnapshot is the one that raft will restore; nil: there is none.
func newestSnapshot(snapshots raft.SnapshotStore) (*raft.SnapshotMeta, error) {
	all, err := snapshots.List()
	if err != nil {
		return nil, err
	}
	var unread error
	for _, s := range all {
		meta, from, err := snapshots.Open(s.ID)
		if err != nil {
			unread = errors.Join(unread, err)
			continue
		}
		return meta, from.Close()
	}
	if unread != nil {
		return nil, fmt.Errorf("no snapshot can be read: %w: %w", unread, ErrDamaged)
	}
	return nil, nil
}

// checkEntry tells whether raft can take an entry in behind one of a term.
func checkEntry(entry *raft.Log, index, term uint64) error {
	switch {
	case entry.Index != index:
		return fmt.Errorf("log entry %d says it is %d: %w", index, entry.Index, ErrDamaged)
	case entry.Term < term:
		return fmt.Errorf("log entry %d is of term %d, and the one before of %d: %w", index, entry.Term, term, ErrDamaged)
	case entry.Type > newestLogEntry:
		return fmt.Errorf("log entry %d is of type %d: %w", index, entry.Type, ErrNewer)
	case entry.Type == raft.LogCommand && !json.Valid(entry.Data):
		return fmt.Errorf("log entry %d is no change: %w", index, ErrDamaged)
	case entry.Type == raft.LogConfiguration:
		return guarded(func() error { raft.DecodeConfiguration(entry.Data); return nil }) // panics
	}
	return nil
}

// begun tells whether a member has a history. What a bootstrap leaves that was broken off between its writes, the
// first term and nothing else, is taken back.
func (s *storage) begun() (bool, error) {
	known, err := raft.HasExistingState(s.logs, s.stable, s.snapshots)
	if err != nil || !known {
		return known, err
	}
	last, err := s.logs.LastIndex()
	if err != nil || last > 0 {
		return true, err
	}
	if all, err := s.snapshots.List(); err != nil || len(all) > 0 {
		return true, err
	}
	term, err := s.stable.GetUint64([]byte(currentTermName))
	if err != nil || term != 1 {
		return true, err
	}
	vote, err := s.stable.GetUint64([]byte(lastVoteName))
	if err == nil && vote > 0 || err != nil && !errors.Is(err, raftboltdb.ErrKeyNotFound) {
		return true, err
	}
	return false, s.stable.SetUint64([]byte(currentTermName), 0)
}
