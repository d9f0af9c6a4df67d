package store

import (
	"errors"
	"fmt"
	"runtime"
	"runtime/debug"
	"sync/atomic"
	"time"

	"github.com/hashicorp/raft"
	"github.com/rs/zerolog"
	"golang.org/x/sys/unix"
)

var (
	// errDiskHangs is returned for a write that did not complete in time.
	errDiskHangs = errors.New("the disk does not answer")
	// errClosed is returned for a call that still failed when the store was closed.
	errClosed = errors.New("the store is closed")
)

// guarded calls a function that uses bbolt, and turns a panic into an error: EIO for a memory fault, otherwise
// ErrDamaged. bbolt reads its file through a memory map: the system sends SIGBUS if the disk fails such a read, and
// bbolt panics at an invalid page.
func guarded(call func() error) (err error) {
	defer debug.SetPanicOnFault(debug.SetPanicOnFault(true))
	defer func() {
		panicked := recover()
		if panicked == nil {
			return
		}
		err = fmt.Errorf("%v: %w", panicked, ErrDamaged)
		if _, fault := panicked.(interface{ Addr() uintptr }); fault {
			err = fmt.Errorf("%v: %w", panicked, unix.EIO)
		}
	}()
	return call()
}

// writeRetrier retries calls that must not fail until they succeed or the store is closed.
type writeRetrier struct {
	log      zerolog.Logger
	interval time.Duration   // between two attempts
	done     <-chan struct{} // closed when the store is closed
}

// retry retries a call until it succeeds. It returns errClosed if the store is closed first.
func (w writeRetrier) retry(call func() error) error {
	err := guarded(call)
	if err == nil {
		return nil
	}
	w.log.Error().Err(err).Msg("store: write failed, no participation until the disk works")
	for err != nil {
		select {
		case <-w.done:
			return errors.Join(errClosed, err)
		case <-time.After(w.interval):
		}
		err = guarded(call)
	}
	w.log.Info().Msg("store: disk works again")
	return nil
}

// retryOrExit is retry for calls after whose errors raft ends the process. If the store is closed first, it ends the
// calling goroutine in place of returning an error.
func (w writeRetrier) retryOrExit(call func() error) error {
	if err := w.retry(call); err != nil {
		runtime.Goexit()
	}
	return nil
}

// retryingStable stores raft's term and vote. Raft ends the process if it cannot write its term, such as on a full
// disk, but the pooler has to continue serving without the store. Therefore writes are retried until they succeed.
// Meanwhile this member neither leads nor votes, as if it had stopped.
type retryingStable struct {
	raft.StableStore
	writeRetrier
}

// Set implements raft.StableStore.
func (r *retryingStable) Set(key, value []byte) error {
	return r.retryOrExit(func() error { return r.StableStore.Set(key, value) })
}

// SetUint64 implements raft.StableStore.
func (r *retryingStable) SetUint64(key []byte, value uint64) error {
	return r.retryOrExit(func() error { return r.StableStore.SetUint64(key, value) })
}

// durableLog is raft's log on a disk that may fail or hang. Raft itself handles a leader that cannot write an entry:
// the leader steps down. durableLog handles the cases in which raft would end the process, keep a leader whose disk
// hangs, or have a view of the log that differs from the disk's:
//   - A write that failed or timed out may have reached the disk in part or completely. Entries that raft does not know
//     of are deleted before the next write.
//   - A follower deletes entries that conflict with the leader's. If it then fails to write the leader's entries, raft
//     considers the deleted entries present until a restart. The write is retried until it succeeds.
//   - A leader whose disk hangs would remain the leader, because heartbeats need no disk. Its writes time out.
//   - Raft ends the process if an entry cannot be read. The read is retried.
type durableLog struct {
	raft.LogStore
	writeRetrier
	timeout time.Duration // of one write

	idle      chan struct{} // holds a token while no write is in progress
	uncertain atomic.Bool   // whether an unsuccessful write may have reached the disk
	truncated bool          // whether conflicting entries were deleted and not replaced yet; for raft's main goroutine
}

// newDurableLog returns a durableLog on top of raft's log on disk.
func newDurableLog(inner raft.LogStore, retrier writeRetrier, timeout time.Duration) *durableLog {
	l := &durableLog{LogStore: inner, writeRetrier: retrier, timeout: timeout, idle: make(chan struct{}, 1)}
	l.idle <- struct{}{}
	return l
}

// write executes one write at a time. The timeout includes the wait for the previous write. After errDiskHangs the
// write may still be in progress.
func (l *durableLog) write(call func() error) error {
	expired := time.NewTimer(l.timeout)
	defer expired.Stop()
	select {
	case <-l.idle:
	case <-expired.C:
		return errDiskHangs
	}
	result := make(chan error, 1)
	go func() {
		err := guarded(call)
		if err != nil {
			l.uncertain.Store(true)
		}
		l.idle <- struct{}{}
		result <- err
	}()
	select {
	case err := <-result:
		return err
	case <-expired.C:
		l.uncertain.Store(true)
		return errDiskHangs
	}
}

// StoreLog implements raft.LogStore.
func (l *durableLog) StoreLog(entry *raft.Log) error { return l.StoreLogs([]*raft.Log{entry}) }

// StoreLogs implements raft.LogStore.
func (l *durableLog) StoreLogs(entries []*raft.Log) error {
	store := func() error {
		return l.write(func() error {
			if l.uncertain.Load() {
				if err := l.deleteFrom(entries[0].Index); err != nil {
					return err
				}
				l.uncertain.Store(false)
			}
			return l.LogStore.StoreLogs(entries)
		})
	}
	if !l.truncated {
		return store()
	}
	err := l.retry(store)
	l.truncated = err != nil
	return err
}

// deleteFrom deletes the entry at an index and all later ones.
func (l *durableLog) deleteFrom(index uint64) error {
	last, err := l.LogStore.LastIndex()
	if err != nil || last < index {
		return err
	}
	return l.LogStore.DeleteRange(index, last)
}

// DeleteRange implements raft.LogStore. Raft deletes either the oldest entries, which may fail, or conflicting entries
// at the end of the log, which is retried until it succeeds.
func (l *durableLog) DeleteRange(from, to uint64) error {
	first, err := l.FirstIndex()
	if err != nil {
		return err
	}
	if from <= first {
		return l.write(func() error { return l.LogStore.DeleteRange(from, to) })
	}
	l.truncated = true
	return l.retry(func() error { return l.write(func() error { return l.deleteFrom(from) }) })
}

// GetLog implements raft.LogStore.
func (l *durableLog) GetLog(index uint64, into *raft.Log) error {
	missing := false
	err := l.retryOrExit(func() error {
		err := l.LogStore.GetLog(index, into)
		if missing = errors.Is(err, raft.ErrLogNotFound); missing {
			return nil
		}
		return err
	})
	if missing {
		return raft.ErrLogNotFound
	}
	return err
}

// FirstIndex implements raft.LogStore.
func (l *durableLog) FirstIndex() (index uint64, err error) {
	err = guarded(func() error { index, err = l.LogStore.FirstIndex(); return err })
	return index, err
}

// LastIndex implements raft.LogStore.
func (l *durableLog) LastIndex() (index uint64, err error) {
	err = guarded(func() error { index, err = l.LogStore.LastIndex(); return err })
	return index, err
}
