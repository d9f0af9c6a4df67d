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
	errDiskHangs = errors.New("the disk does not answer")
	errClosed    = errors.New("the store is closed")
)

// guarded calls bbolt, which reads its file through a memory map: where the disk fails such a read the system sends
// SIGBUS, and a page that makes no sense ends in a panic. Both come back as errors.
func guarded(f func() error) (err error) {
	defer debug.SetPanicOnFault(debug.SetPanicOnFault(true))
	defer func() {
		p := recover()
		if p == nil {
			return
		}
		err = fmt.Errorf("%v: %w", p, ErrDamaged)
		if _, fault := p.(interface{ Addr() uintptr }); fault {
			err = fmt.Errorf("%v: %w", p, unix.EIO)
		}
	}()
	return f()
}

// persistence is how writes that must not fail are repeated until they succeed or the store is closed.
type persistence struct {
	log   zerolog.Logger
	again time.Duration // a write that failed is tried again so much later
	done  <-chan struct{}
}

// insist calls a function until it succeeds.
func (p persistence) insist(f func() error) error {
	err := guarded(f)
	if err == nil {
		return nil
	}
	p.log.Error().Err(err).Msg("store: takes no part until the disk works")
	for err != nil {
		select {
		case <-p.done:
			return errors.Join(errClosed, err)
		case <-time.After(p.again):
		}
		err = guarded(f)
	}
	p.log.Info().Msg("store: the disk works again")
	return nil
}

// insistOrExit is insist for calls at whose errors raft ends the process: where the store is closed, the goroutine
// ends instead.
func (p persistence) insistOrExit(f func() error) error {
	if err := p.insist(f); err != nil {
		runtime.Goexit()
	}
	return nil
}

// patient is where raft keeps its term and its vote. Against a full disk: raft ends the whole process when its term
// cannot be kept, and a pooler has to go on serving without the record. This waits until there is room instead;
// meanwhile this member neither leads nor votes, as one that has stopped.
type patient struct {
	raft.StableStore
	persistence
}

// Set implements raft.StableStore.
func (p *patient) Set(key, value []byte) error {
	return p.insistOrExit(func() error { return p.StableStore.Set(key, value) })
}

// SetUint64 implements raft.StableStore.
func (p *patient) SetUint64(key []byte, value uint64) error {
	return p.insistOrExit(func() error { return p.StableStore.SetUint64(key, value) })
}

// durableLog is raft's log on a disk that may fail or hang. An entry that raft's leader cannot write makes it step
// down, which is sound; the cases in which raft's view of the log would differ from the disk's are seen to here:
//   - a write that failed, or that took too long, may be on the disk in part or as a whole: what raft does not know of
//     is deleted before the next write;
//   - a follower that has deleted entries in conflict with its leader's and cannot write the leader's takes the deleted ones
//     for present until it is restarted: it waits until it has written;
//   - a leader whose disk hangs would go on being one, as heartbeats need no disk: its write fails after a time;
//   - raft ends the process where an entry cannot be read: the read is repeated.
type durableLog struct {
	raft.LogStore
	persistence
	wait time.Duration // for one write

	idle      chan struct{} // holds a token while nothing is written
	uncertain atomic.Bool   // whether the last write reached the disk
	truncated bool          // entries in conflict were deleted; raft's main goroutine's
}

func newDurableLog(inner raft.LogStore, p persistence, wait time.Duration) *durableLog {
	l := &durableLog{LogStore: inner, persistence: p, wait: wait, idle: make(chan struct{}, 1)}
	l.idle <- struct{}{}
	return l
}

// write carries out one write at a time. After errDiskHangs it may go on.
func (l *durableLog) write(f func() error) error {
	over := time.NewTimer(l.wait)
	defer over.Stop()
	select {
	case <-l.idle:
	case <-over.C:
		return errDiskHangs
	}
	ended := make(chan error, 1)
	go func() {
		err := guarded(f)
		if err != nil {
			l.uncertain.Store(true)
		}
		l.idle <- struct{}{}
		ended <- err
	}()
	select {
	case err := <-ended:
		return err
	case <-over.C:
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
	err := l.insist(store)
	l.truncated = err != nil
	return err
}

// deleteFrom deletes all entries from an index on.
func (l *durableLog) deleteFrom(index uint64) error {
	last, err := l.LogStore.LastIndex()
	if err != nil || last < index {
		return err
	}
	return l.LogStore.DeleteRange(index, last)
}

// DeleteRange implements raft.LogStore: raft deletes the oldest entries, which may fail, or those from an index on.
func (l *durableLog) DeleteRange(from, to uint64) error {
	first, err := l.FirstIndex()
	if err != nil {
		return err
	}
	if from <= first {
		return l.write(func() error { return l.LogStore.DeleteRange(from, to) })
	}
	l.truncated = true
	return l.insist(func() error { return l.write(func() error { return l.deleteFrom(from) }) })
}

// GetLog implements raft.LogStore.
func (l *durableLog) GetLog(index uint64, into *raft.Log) error {
	missing := false
	err := l.insistOrExit(func() error {
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
