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
	boltName          = "raft.db"   // file with raft's log, term and vote
	probeName         = "probe.tmp" // file that is created to test whether the directory is writable
	retainedSnapshots = 2
	newestLogEntry    = raft.LogConfiguration // highest type of log entries that this version of raft knows
	currentTermName   = "CurrentTerm"         // raft's key of its term in the stable store
	lastVoteName      = "LastVoteTerm"        // raft's key of the term in which it last voted

	// initialMapSize is the size of bbolt's first memory map in bytes. It uses address space, but no memory. A smaller
	// map has to be replaced when the file grows, and if that fails, bbolt has no map at all.
	initialMapSize = 1 << 30
)

// storage holds raft's state.
type storage struct {
	logs      raft.LogStore
	stable    raft.StableStore
	snapshots raft.SnapshotStore
	close     func() error
}

// newMemoryStorage returns the storage of a pooler without a directory.
func newMemoryStorage() *storage {
	memory := raft.NewInmemStore()
	return &storage{
		logs: memory, stable: memory, snapshots: raft.NewInmemSnapshotStore(),
		close: func() error { return nil },
	}
}

// tolerateFailures wraps the log and the stable store, so that raft survives a disk that fails or hangs. The timeout
// bounds one write to the log.
func (s *storage) tolerateFailures(retrier writeRetrier, timeout time.Duration) {
	s.logs = newDurableLog(s.logs, retrier, timeout)
	s.stable = &retryingStable{StableStore: s.stable, writeRetrier: retrier}
}

// openDirectory opens the files in a directory, or creates them, and checks them. It waits up to lockWait for another
// process to release their lock.
func openDirectory(dir string, lockWait time.Duration, log hclog.Logger) (s *storage, err error) {
	if err := probeDirectory(dir); err != nil {
		return nil, err
	}
	options := &bbolt.Options{Timeout: lockWait, InitialMmapSize: initialMapSize}
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
			_ = bolt.Close() // err is the error to report
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

// errDiskFails is wrapped by errors of bbolt that do not wrap an error of the operating system.
var errDiskFails = errors.New("the disk fails")

// boltError returns a permanent error of bbolt unchanged. It wraps errDiskFails around any other error.
func boltError(err error) error {
	for _, permanent := range []error{
		ErrDamaged, ErrNewer, bbolt.ErrTimeout, bbolt.ErrInvalid, bbolt.ErrVersionMismatch,
		bbolt.ErrChecksum, fs.ErrPermission, fs.ErrNotExist, unix.ENOTDIR, unix.EISDIR,
	} {
		if errors.Is(err, permanent) {
			return err
		}
	}
	return fmt.Errorf("%w: %w", errDiskFails, err)
}

// probeDirectory creates, writes and removes a file in a directory. Unlike raft's check it returns the system's error.
func probeDirectory(dir string) error {
	path := filepath.Join(dir, probeName)
	file, err := os.OpenFile(path, os.O_CREATE|os.O_WRONLY|os.O_TRUNC, 0o600)
	if err != nil {
		return err
	}
	_, err = file.Write([]byte{1})
	return errors.Join(err, file.Close(), os.Remove(path))
}

// openBoltFile opens, locks and checks bbolt's file. It empties a file whose creation was interrupted, and bbolt then
// initializes the file again.
func openBoltFile(path string, flag int, mode os.FileMode, lockWait time.Duration) (*os.File, error) {
	_, statErr := os.Stat(path)
	file, err := os.OpenFile(path, flag, mode)
	if err != nil {
		return nil, err
	}
	if err = lockFile(file, lockWait); err == nil {
		if statErr != nil { // the file is new
			err = syncDirectory(filepath.Dir(path))
		} else {
			err = prepareBoltFile(file, path)
		}
	}
	if err != nil {
		return nil, errors.Join(err, file.Close())
	}
	return file, nil
}

// prepareBoltFile checks a locked file. It empties a file whose creation was interrupted.
func prepareBoltFile(file *os.File, path string) error {
	info, err := file.Stat()
	if err != nil {
		return err
	}
	partlyCreated, err := isPartlyCreated(file, info.Size())
	if err != nil {
		return err
	}
	if partlyCreated {
		// The directory of snapshots is created only after the file is complete.
		if _, err := os.Stat(filepath.Join(filepath.Dir(path), snapshotsName)); err == nil {
			return fmt.Errorf("%s: truncated to %d bytes: %w", path, info.Size(), ErrDamaged)
		}
		return file.Truncate(0)
	}
	if err := checkBoltFile(file, info.Size()); err != nil {
		return fmt.Errorf("%s: %w", path, err)
	}
	return nil
}

// lockFile acquires the same exclusive file lock that bbolt uses. It returns bbolt.ErrTimeout if another process has
// not released the lock within the wait.
func lockFile(file *os.File, wait time.Duration) error {
	err := filelock.Acquire(file, unix.LOCK_EX, wait)
	if errors.Is(err, filelock.ErrBusy) {
		return bbolt.ErrTimeout
	}
	return err
}

// syncDirectory writes the entries of a directory to the disk.
func syncDirectory(dir string) error {
	directory, err := os.Open(dir)
	if err != nil {
		return err
	}
	return errors.Join(directory.Sync(), directory.Close())
}

// checkHistory checks that the newest readable snapshot and the log form a complete history: all log entries after the
// snapshot exist. Raft does not check this.
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
		return fmt.Errorf("the current term is %d, below term %d of the last entry: %w", current, term, ErrDamaged)
	}
	return nil
}

// newestSnapshot returns the snapshot that raft will restore, the newest readable one, or nil if there is none.
func newestSnapshot(snapshots raft.SnapshotStore) (*raft.SnapshotMeta, error) {
	all, err := snapshots.List()
	if err != nil {
		return nil, err
	}
	var failures error
	for _, candidate := range all {
		meta, content, err := snapshots.Open(candidate.ID)
		if err != nil {
			failures = errors.Join(failures, err)
			continue
		}
		return meta, content.Close()
	}
	if failures != nil {
		return nil, fmt.Errorf("no snapshot can be read: %w: %w", failures, ErrDamaged)
	}
	return nil, nil
}

// checkEntry checks that raft can read the log entry at an index. The term is that of the previous entry.
func checkEntry(entry *raft.Log, index, term uint64) error {
	switch {
	case entry.Index != index:
		return fmt.Errorf("log entry %d has index %d: %w", index, entry.Index, ErrDamaged)
	case entry.Term < term:
		return fmt.Errorf("log entry %d has term %d, below term %d of the previous one: %w",
			index, entry.Term, term, ErrDamaged)
	case entry.Type > newestLogEntry:
		return fmt.Errorf("log entry %d has the unknown type %d: %w", index, entry.Type, ErrNewer)
	case entry.Type == raft.LogCommand && !json.Valid(entry.Data):
		return fmt.Errorf("log entry %d is not JSON: %w", index, ErrDamaged)
	case entry.Type == raft.LogConfiguration:
		return guarded(func() error { raft.DecodeConfiguration(entry.Data); return nil }) // panics if damaged
	}
	return nil
}

// hasHistory reports whether the storage has any state of raft. A bootstrap that was interrupted between its writes
// leaves only term 1, without a vote, log or snapshot. hasHistory resets that term and returns false.
func (s *storage) hasHistory() (bool, error) {
	exists, err := raft.HasExistingState(s.logs, s.stable, s.snapshots)
	if err != nil || !exists {
		return exists, err
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
