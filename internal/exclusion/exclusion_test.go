package exclusion_test

import (
	"fmt"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// A change takes effect at once, whichever file operation fails. A process that starts meanwhile learns of the change
// if the directory accepts a link. The change is saved once the disk works again, and no incomplete file remains.
func TestChangeTakesEffectWhileDiskFails(t *testing.T) {
	for _, test := range []struct {
		name, operations string // the operations that fail
		err              error
		handedOver       bool
	}{
		{"the lock is held", "lock", syscall.EWOULDBLOCK, true},
		{"a file size limit of 0", "write", syscall.EFBIG, true},
		{"a full disk", "write sync", syscall.ENOSPC, true},
		{"a broken disk that accepts new directory entries", "write rename sync", syscall.EIO, true},
		{"a file that cannot be read", "read lock", syscall.EIO, true},
		{"a read-only disk", "lock write rename sync symlink remove", syscall.EROFS, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			host := newMachine(t)
			saver := host.start().watch()
			saver.change("db-0", true)
			saver.failOn(test.operations, test.err)
			require.NoError(t, saver.Change("db-1", true))
			require.NoError(t, saver.Change("db-0", false))
			require.True(t, saver.excluded("db-1"))
			require.False(t, saver.excluded("db-0"))
			require.Equal(t, 2, saver.Unsaved())
			if test.handedOver {
				host.eventually(saver.Settled, "the changes are handed over")
				next := host.start()
				require.True(t, next.excluded("db-1"))
				require.False(t, next.excluded("db-0"))
				host.eventually(func() bool { return len(host.files("*.new")) == 0 }, "no incomplete file remains")
			} else {
				require.Never(t, saver.Settled, 10*refreshInterval, refreshInterval)
			}
			saver.failOn("", nil)
			host.eventually(func() bool { return saver.Unsaved() == 0 }, "the changes are on disk")
			require.Contains(t, host.entries(), "db-1")
			require.NotContains(t, host.entries(), "db-0")
			host.eventually(func() bool { return len(host.files("*")) == 3 }, "the set, changes and lock alone remain")
		})
	}
}

// The last change by an operator takes precedence, whichever process receives it and whether or not earlier changes are
// on disk.
func TestLastChangeWins(t *testing.T) {
	for _, test := range []struct {
		name string
		run  func(host *machine, failing, other *process)
		want bool // db-1 is excluded at the end
	}{
		{"excluded here, included there, nothing on disk", func(host *machine, failing, other *process) {
			require.NoError(host.t, failing.Change("db-1", true))
			host.eventually(func() bool { return other.excluded("db-1") }, "the exclusion is handed over")
			host.stepWall(-time.Hour)
			require.NoError(host.t, other.Change("db-1", false))
		}, false},
		{"included there before the exclusion is known", func(host *machine, failing, other *process) {
			failing.failOn("lock symlink", syscall.EIO)
			require.NoError(host.t, failing.Change("db-1", true))
			host.stepWall(-time.Hour)
			require.NoError(host.t, other.Change("db-1", false))
		}, false},
		{"excluded here, an older version writes the set without it", func(host *machine, failing, other *process) {
			failing.failOn("lock symlink", syscall.EIO)
			require.NoError(host.t, failing.Change("db-1", true))
			host.write("{}")
		}, true},
		{"excluded there, included here, excluded there again", func(host *machine, failing, other *process) {
			require.NoError(host.t, other.Change("db-1", true))
			host.eventually(func() bool { return failing.excluded("db-1") }, "the exclusion is seen")
			failing.failOn("lock symlink", syscall.EIO)
			require.NoError(host.t, failing.Change("db-1", false))
			require.NoError(host.t, other.Change("db-1", true))
		}, true},
		{"excluded and included with nothing on disk", func(host *machine, failing, other *process) {
			require.NoError(host.t, failing.Change("db-1", true))
			require.NoError(host.t, failing.Change("db-1", false))
		}, false},
		{"excluded here, another database excluded there meanwhile", func(host *machine, failing, other *process) {
			failing.failOn("lock symlink", syscall.EIO)
			require.NoError(host.t, failing.Change("db-1", true))
			require.NoError(host.t, other.Change("db-2", true))
		}, true},
	} {
		t.Run(test.name, func(t *testing.T) {
			host := newMachine(t)
			failing, other := host.start().watch(), host.start().watch()
			failing.failOn("lock", syscall.EIO)
			test.run(host, failing, other)
			failing.failOn("", nil)
			host.eventually(func() bool {
				return failing.Unsaved()+other.Unsaved() == 0 &&
					failing.Has("db-1") == test.want && other.Has("db-1") == test.want
			}, "both processes agree")
			require.Equal(t, test.want, host.entries()["db-1"] != 0)
			require.Equal(t, test.want, host.start().Has("db-1"))
		})
	}
}

// An older version writes only the set's file. A missing entry ends the exclusion.
func TestOlderVersionEndsExclusion(t *testing.T) {
	host := newMachine(t)
	host.handOverDelay = time.Hour
	saver := host.start().watch()
	saver.change("db-1", true)
	host.write("{}")
	host.eventually(func() bool { return !saver.Has("db-1") }, "the end of the exclusion is seen")
	require.False(t, host.start().Has("db-1"))
	require.Zero(t, saver.Unsaved())
}

// Processes that change the set at the same time lose no change.
func TestConcurrentChangesLoseNothing(t *testing.T) {
	host := newMachine(t)
	var all sync.WaitGroup
	failures := make(chan error, 3)
	for i := range 3 {
		saver := host.start().watch()
		all.Go(func() { failures <- saver.Change(fmt.Sprint("db-", i), true) })
	}
	all.Wait()
	for range 3 {
		require.NoError(t, <-failures)
	}
	host.eventually(func() bool { return len(host.entries()) == 3 }, "all changes are on disk")
}
