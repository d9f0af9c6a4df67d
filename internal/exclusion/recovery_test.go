package exclusion_test

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"capercove/internal/exclusion"
	"capercove/internal/testbed"
)

// A process that starts later knows the real age of an exclusion, even if the wall clock was stepped in between. An
// exclusion of unknown age counts as old: the database receives no requests.
func TestAgeSurvivesClockSteps(t *testing.T) {
	const passed = 10 * time.Second
	for _, test := range []struct {
		name    string
		between func(host *machine)
		minAge  time.Duration
		ageEnd  time.Duration // the age is less
	}{
		{"wall clock not stepped", func(*machine) {}, passed, passed + time.Second},
		{"wall clock stepped back", func(host *machine) { host.stepWall(-time.Hour) }, passed, passed + time.Second},
		{"wall clock stepped forward", func(host *machine) { host.stepWall(time.Hour) }, passed, passed + time.Second},
		{"another boot", func(host *machine) { host.boot = "other" }, longAgo, 1 << 62},
		{"an older version's entry", func(host *machine) {
			host.write(fmt.Sprintf(`{"db-1":%d}`, host.wallMilliseconds()))
		}, longAgo, 1 << 62},
		{"an older version's entry from the future", func(host *machine) {
			host.write(fmt.Sprintf(`{"db-1":%d}`, host.wallMilliseconds()+time.Hour.Milliseconds()))
		}, longAgo, 1 << 62},
		{"the file of changes is damaged", func(host *machine) {
			path := filepath.Join(host.dir, testbed.ExclusionsFile+".changes")
			require.NoError(host.t, os.WriteFile(path, []byte(`{"db-1":{"ban`), 0o600))
		}, longAgo, 1 << 62},
		{"repeated exclusion", func(host *machine) {
			host.start().watch().change("db-1", true)
		}, passed, passed + time.Second},
	} {
		t.Run(test.name, func(t *testing.T) {
			host := newMachine(t)
			host.handOverDelay = time.Hour
			saver := host.start().watch()
			saver.change("db-1", true)
			require.Less(t, saver.age("db-1"), time.Second)
			saver.stop()
			host.advance(passed)
			test.between(host)
			next := host.start()
			require.GreaterOrEqual(t, next.age("db-1"), test.minAge)
			require.Less(t, next.age("db-1"), test.ageEnd)
			require.NoError(t, next.watch().Change("db-1", false), "the exclusion can be ended")
			saver.watch()
			host.eventually(func() bool { return !saver.Has("db-1") && len(host.entries()) == 0 }, "the exclusion ends")
		})
	}
}

// A process that is killed at any step of a save, and at any byte of a file, leaves the old set or the new set. It does
// not delay later processes.
func TestKillDuringSaveLeavesOldOrNewSet(t *testing.T) {
	for _, cut := range []int{0, 1, 10, 1 << 10} {
		for step := 1; ; step++ {
			host := newMachine(t)
			before := host.start().watch()
			before.change("db-0", true)
			before.stop()
			var steps atomic.Int32
			saver := &process{m: host}
			saver.File = exclusion.Open(host.config(saver, disk{cut: cut, fail: func(operation, _ string) error {
				if operation != "read" && operation != "lock" && steps.Add(1) >= int32(step) {
					return syscall.EINTR // no later operation is executed either
				}
				return nil
			}}))
			saver.Refresh()
			_ = saver.watch().Change("db-1", true) // may fail
			saved := saver.Unsaved() == 0
			saver.stop()
			next := host.start()
			require.True(t, next.Has("db-0"), "step %d", step)
			next.watch().change("db-2", true)
			if saved {
				require.True(t, next.Has("db-1"))
				break
			}
		}
	}
}

// Processes that know the set keep it when its file is damaged, and replace the file. A process that does not know the
// set leaves the file as it is.
func TestDamagedFileIsRepaired(t *testing.T) {
	for _, text := range []string{"", `{"db-`, "null", "[]", `{"db-1":"soon"}`, "\x00\x00\x00"} {
		host := newMachine(t)
		host.handOverDelay = time.Hour
		saver := host.start().watch()
		saver.change("db-1", true)
		saver.stop()
		host.write(text)
		require.False(t, host.start().Has("db-1"))
		got, err := os.ReadFile(filepath.Join(host.dir, testbed.ExclusionsFile))
		require.NoError(t, err)
		require.Equal(t, text, string(got))
		saver.watch()
		host.eventually(func() bool { return host.start().Has("db-1") }, "the file is replaced")
	}
}

// A link with invalid content is removed, and the valid changes in it are applied.
func TestInvalidLinkIsRemoved(t *testing.T) {
	host := newMachine(t)
	link := filepath.Join(host.dir, testbed.ExclusionsFile+".pending")
	require.NoError(t, os.Symlink("/odd + - +a +a,!,c,d,e ?db-2,1,1,0,0a1b2c3d +db-1,zz,1,,old +db%2", link))
	saver := host.start().watch()
	require.Equal(t, []bool{true, false}, []bool{saver.Has("db-1"), saver.Has("db-2")})
	require.GreaterOrEqual(t, saver.age("db-1"), longAgo)
	host.eventually(func() bool { _, err := os.Lstat(link); return os.IsNotExist(err) }, "the link is removed")
	require.Len(t, host.entries(), 1)
}

// The number of exclusions is bounded, and so is the number of ended exclusions in the file of changes.
func TestSetAndHistoryAreBounded(t *testing.T) {
	host := newMachine(t)
	host.handOverDelay = time.Hour // more exclusions end than the file of changes may have
	saver := host.start().watch()
	for i := range 9 {
		saver.change(fmt.Sprint("old-", i), true)
		saver.change(fmt.Sprint("old-", i), false)
	}
	text, err := os.ReadFile(filepath.Join(host.dir, testbed.ExclusionsFile+".changes"))
	require.NoError(t, err)
	require.Equal(t, 3, strings.Count(string(text), "old-"), string(text))
	for i := range 3 {
		require.NoError(t, saver.Change(fmt.Sprint("db-", i), true))
	}
	require.ErrorIs(t, saver.Change("db-3", true), exclusion.ErrTooMany)
	require.NoError(t, saver.Change("db-0", true), "a repeated exclusion")
	require.NoError(t, saver.Change("db-0", false))
	require.NoError(t, saver.Change("db-3", true))
}
