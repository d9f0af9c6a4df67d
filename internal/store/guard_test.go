package store

import (
	"context"
	"encoding/json"
	"errors"
	"os"
	"path/filepath"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/hashicorp/raft"
	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"
	"golang.org/x/sys/unix"

	"capercove/internal/limits"
)

const (
	waitLimit    = 20 * time.Second // that anything may take on a busy machine
	pollInterval = 5 * time.Millisecond
)

// brokenLog is a log on a disk that fails: each write goes through a function first.
type brokenLog struct {
	raft.LogStore
	store func(write func() error) error
	reads atomic.Int32 // that are still to fail
}

func (b *brokenLog) StoreLogs(entries []*raft.Log) error {
	return b.store(func() error { return b.LogStore.StoreLogs(entries) })
}

func (b *brokenLog) GetLog(index uint64, into *raft.Log) error {
	if b.reads.Add(-1) >= 0 {
		return syscall.EIO
	}
	return b.LogStore.GetLog(index, into)
}

// brokenStable is the same for raft's term and vote.
type brokenStable struct {
	raft.StableStore
	store func(write func() error) error
}

func (b *brokenStable) Set(key, value []byte) error {
	return b.store(func() error { return b.StableStore.Set(key, value) })
}

func (b *brokenStable) SetUint64(key []byte, value uint64) error {
	return b.store(func() error { return b.StableStore.SetUint64(key, value) })
}

// writeThrough is the disk that does not fail.
func writeThrough(write func() error) error { return write() }

// newBrokenLog returns a disk's log, which does not fail yet, and the durable log on it, which waits for it for a time.
func newBrokenLog(t *testing.T, wait time.Duration) (*brokenLog, *durableLog) {
	t.Helper()
	done := make(chan struct{})
	t.Cleanup(func() { close(done) })
	inner := &brokenLog{LogStore: raft.NewInmemStore(), store: writeThrough}
	retrier := writeRetrier{log: zerolog.Nop(), interval: time.Millisecond, done: done}
	return inner, newDurableLog(inner, retrier, wait)
}

// entries are those of some indices.
func entries(first, last uint64) []*raft.Log {
	var all []*raft.Log
	for index := first; index <= last; index++ {
		all = append(all, entry(index))
	}
	return all
}

// requireLastIndex checks which entry is the last of a log.
func requireLastIndex(t *testing.T, want uint64, log *durableLog) {
	t.Helper()
	last, err := log.LastIndex()
	require.NoError(t, err)
	require.Equal(t, want, last)
}

// Of a write that failed, whatever has reached the disk of it, nothing is left behind the next.
func TestFailedWriteLeavesNothing(t *testing.T) {
	inner, log := newBrokenLog(t, waitLimit)
	require.NoError(t, log.StoreLogs(entries(1, 3)))
	inner.store = func(write func() error) error { // as where the sync fails
		return errors.Join(write(), syscall.EIO)
	}
	require.ErrorIs(t, log.StoreLogs(entries(4, 9)), syscall.EIO)
	inner.store = writeThrough
	require.NoError(t, log.StoreLogs(entries(4, 4)))
	requireLastIndex(t, 4, log)
}

// Once entries in conflict are deleted, those that replace them are written, however often that fails at first.
func TestTruncatedLogIsWrittenToTheEnd(t *testing.T) {
	inner, log := newBrokenLog(t, waitLimit)
	require.NoError(t, log.StoreLogs(entries(1, 9)))
	fails := 3
	inner.store = func(write func() error) error {
		if fails--; fails >= 0 {
			return syscall.ENOSPC
		}
		return write()
	}
	require.NoError(t, log.DeleteRange(5, 9))
	require.NoError(t, log.StoreLogs(entries(5, 6)))
	requireLastIndex(t, 6, log)
	fails = 1
	require.ErrorIs(t, log.StoreLogs(entries(7, 7)), syscall.ENOSPC, "nothing was deleted before this one")
}

// An entry that cannot be read for a while is read in the end; one that is not there is said to be missing.
func TestReadIsRepeated(t *testing.T) {
	inner, log := newBrokenLog(t, waitLimit)
	require.NoError(t, log.StoreLogs(entries(1, 1)))
	inner.reads.Store(3)
	var got raft.Log
	require.NoError(t, log.GetLog(1, &got))
	require.ErrorIs(t, log.GetLog(2, &got), raft.ErrLogNotFound)
}

// A write that hangs fails after a time; once it has ended the next one finds the log as raft knows it.
func TestHangingWriteFails(t *testing.T) {
	inner, log := newBrokenLog(t, 50*time.Millisecond)
	release := make(chan struct{})
	inner.store = func(write func() error) error {
		<-release
		return write()
	}
	require.ErrorIs(t, log.StoreLogs(entries(1, 5)), errDiskHangs)
	require.ErrorIs(t, log.StoreLogs(entries(1, 1)), errDiskHangs, "the first still runs")
	close(release)
	require.Eventually(t, func() bool { return log.StoreLogs(entries(1, 1)) == nil }, waitLimit, pollInterval)
	requireLastIndex(t, 1, log)
}

// A read through a memory map that the disk fails, and a page that makes no sense, are errors.
func TestGuarded(t *testing.T) {
	file, err := os.Create(filepath.Join(t.TempDir(), "map"))
	require.NoError(t, err)
	defer func() { require.NoError(t, file.Close()) }()
	// A read of the map is a SIGBUS, as the file is empty.
	mapped, err := unix.Mmap(int(file.Fd()), 0, 4096, unix.PROT_READ, unix.MAP_SHARED)
	require.NoError(t, err)
	defer func() { require.NoError(t, unix.Munmap(mapped)) }()
	var into byte
	require.ErrorIs(t, guarded(func() error { into = mapped[0]; return nil }), syscall.EIO)
	require.Zero(t, into)
	require.ErrorIs(t, guarded(func() error { panic("invalid page type") }), ErrDamaged)
}

var storeLimits = limits.Store{
	MaxKeys:        100,
	MaxValueBytes:  1000,
	MaxChangeIDs:   100,
	SaveInterval:   20 * time.Millisecond,
	CallTimeout:    200 * time.Millisecond,
	CatchUpTimeout: waitLimit,
}

// hangingDisk is one whose writes hang from some moment on.
type hangingDisk struct {
	hangs    atomic.Bool
	votes    atomic.Int32 // writes of raft's term and vote that have hung
	released chan struct{}
}

func (h *hangingDisk) release() {
	h.hangs.Store(false)
	close(h.released)
}

// writeLog writes entries of the log.
func (h *hangingDisk) writeLog(write func() error) error {
	if h.hangs.Load() {
		<-h.released
	}
	return write()
}

// writeVote writes raft's term or vote.
func (h *hangingDisk) writeVote(write func() error) error {
	if h.hangs.Load() {
		h.votes.Add(1)
		<-h.released
	}
	return write()
}

// newHungStore returns a store alone that led until its disk began to hang, and has not acknowledged a change since.
func newHungStore(t *testing.T) (store *replicated, disk *hangingDisk) {
	t.Helper()
	disk = &hangingDisk{}
	store = newStoreOn(t, disk)
	disk.hangs.Store(true)
	require.Error(t, store.set(context.Background(), "k", raw("2")))
	return store, disk
}

// newStoreOn returns a store alone on such a disk, which leads.
func newStoreOn(t *testing.T, disk *hangingDisk) *replicated {
	t.Helper()
	disk.released = make(chan struct{})
	store := newReplicated(Config{Enabled: true, Dir: t.TempDir()}, "n0", storeLimits, zerolog.Nop())
	store.open = func(log hclog.Logger) (*storage, error) {
		opened, err := store.openDirectory(log)
		if err != nil {
			return nil, err
		}
		opened.logs = &brokenLog{LogStore: opened.logs, store: disk.writeLog}
		opened.stable = &brokenStable{StableStore: opened.stable, store: disk.writeVote}
		return opened, nil
	}
	require.NoError(t, store.begin())
	requireSetInTheEnd(t, store, "1")
	return store
}

// requireSetInTheEnd waits until a change is acknowledged.
func requireSetInTheEnd(t *testing.T, store *replicated, value string) {
	t.Helper()
	acknowledged := func() bool { return store.set(context.Background(), "k", raw(value)) == nil }
	require.Eventually(t, acknowledged, waitLimit, pollInterval)
}

// While the disk hangs a change is not acknowledged, Put does not wait, and the member leads no more; it goes on once
// the disk answers.
func TestDiskHangs(t *testing.T) {
	store, disk := newHungStore(t)
	require.Eventually(t, func() bool { return !store.IsLeader() }, waitLimit, pollInterval, "it leads no more")
	for i := range 10 {
		store.Put("state", i)
	}
	require.Equal(t, raw("1"), store.All()["k"], "what it knows can be read")
	disk.release()
	requireSetInTheEnd(t, store, "3")
	require.Eventually(t, func() bool { return string(store.All()["state"]) == "9" }, waitLimit, pollInterval)
	store.Close()
}

// The store ends in a bounded time, also while the disk hangs.
func TestCloseWhileDiskHangs(t *testing.T) {
	store, disk := newHungStore(t)
	voting := func() bool { return disk.votes.Load() > 0 }
	require.Eventually(t, voting, waitLimit, pollInterval, "raft waits for the disk")
	ended := make(chan struct{})
	go func() {
		store.Close()
		close(ended)
	}()
	select {
	case <-ended:
	case <-time.After(waitLimit):
		require.Fail(t, "it does not end")
	}
	disk.release()
}

// A snapshot that cannot be written is a failure of the snapshot alone.
func TestPersistFails(t *testing.T) {
	text, err := json.Marshal(newRecord(recordBounds{}).snapshot())
	require.NoError(t, err)
	require.NotEmpty(t, text)
	require.ErrorIs(t, fsmSnapshot(snapshotData{}).Persist(failingSink{}), syscall.ENOSPC)
}

// failingSink takes no snapshot.
type failingSink struct{ raft.SnapshotSink }

func (failingSink) Write([]byte) (int, error) { return 0, syscall.ENOSPC }
func (failingSink) Cancel() error             { return nil }

// A directory that is damaged or missing is an error of the start.
func TestOpenReportsLastingErrors(t *testing.T) {
	dir := newWrittenDirectory(t)
	require.NoError(t, os.Truncate(logPath(dir), 50_000))
	_, err := Open(Config{Enabled: true, Dir: dir}, "n0", storeLimits, zerolog.Nop())
	require.ErrorIs(t, err, ErrDamaged)
	_, err = Open(Config{Enabled: true, Dir: filepath.Join(dir, "none")}, "n0", storeLimits, zerolog.Nop())
	require.ErrorIs(t, err, os.ErrNotExist)
}

// A directory that takes no file for a while is no error of the start: the store begins later.
func TestOpenRetriesTransientErrors(t *testing.T) {
	store := newReplicated(Config{Enabled: true, Dir: t.TempDir()}, "n0", storeLimits, zerolog.Nop())
	var failures atomic.Int32 // still to come
	failures.Store(3)
	store.open = func(log hclog.Logger) (*storage, error) {
		if failures.Add(-1) >= 0 {
			return nil, syscall.ENOSPC
		}
		return store.openDirectory(log)
	}
	started, err := start(store)
	require.NoError(t, err)
	started.Put("k", 1)
	require.Empty(t, started.All())
	require.Eventually(t, func() bool { return string(started.All()["k"]) == "1" }, waitLimit, pollInterval)
	started.Close()
}
