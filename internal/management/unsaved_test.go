package management_test

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"golang.org/x/sys/unix"

	"capercove/internal/clock"
	"capercove/internal/filelock"
	"capercove/internal/testbed"
)

// lockExclusions acquires the lock of the exclusions file, like a process that is stopped before it releases the lock.
func lockExclusions(bed *testbed.Bed) (release func()) {
	bed.T.Helper()
	lock, err := filelock.Open(filepath.Join(bed.Dir, testbed.ExclusionsFile+".lock"), testbed.Timeout)
	require.NoError(bed.T, err)
	return func() {
		bed.T.Helper()
		require.NoError(bed.T, lock.Close())
	}
}

// unsaved returns the telemetry's number of exclusions that are not on disk yet.
func unsaved(b *testbed.Bed) string {
	b.T.Helper()
	_, rest, _ := strings.Cut(telemetry(b), "app.bans_unsaved=")
	count, _, _ := strings.Cut(rest, "\n")
	return count
}

// An exclusion that cannot be saved still applies. It is counted and logged, an upgrade passes it to the new process,
// and it can be revoked. It is saved once the file can be written.
func TestUnsavedExclusionApplies(t *testing.T) {
	for _, test := range []struct {
		name  string
		begin func(b *testbed.Bed) (end func())
	}{
		{"another process has the lock and is stopped", lockExclusions},
		{"no byte can be written", func(b *testbed.Bed) func() {
			none := unix.Rlimit{Max: unix.RLIM_INFINITY}
			require.NoError(b.T, unix.Prlimit(b.Process().Pid, unix.RLIMIT_FSIZE, &none, nil))
			return func() { b.FileLimit(0) } // any size
		}},
	} {
		t.Run(test.name, func(t *testing.T) {
			bed := testbed.Start(t, testbed.WithListener)
			client, excluded := bed.Client(), bed.Databases[1]
			requireUnused := func() {
				t.Helper()
				before := len(excluded.Statements())
				requireServed(t, bed, client, 30)
				require.Len(t, excluded.Statements(), before)
			}
			end := test.begin(bed)
			bed.SetExcluded("db-1", true)
			requireUnused()
			require.Equal(t, "1", unsaved(bed))
			require.NotEmpty(t, bed.Line("exclusions: cannot be written"))
			require.Empty(t, testbed.ReadExclusions(t, bed.Dir))
			stop := bed.Upgrade()
			require.NoError(t, stop())
			client = bed.Client()
			requireUnused()
			if test.name == "no byte can be written" {
				end = test.begin(bed) // of the new process
			}
			bed.SetExcluded("db-1", false)
			bed.Eventually(func() bool {
				requireServed(t, bed, client, 1)
				return len(excluded.Statements()) > 0
			}, "the included database receives statements again")
			bed.SetExcluded("db-1", true)
			end()
			bed.Eventually(func() bool { return unsaved(bed) == "0" }, "the exclusion is saved")
			require.Contains(t, testbed.ReadExclusions(t, bed.Dir), "db-1")
			left, err := filepath.Glob(filepath.Join(bed.Dir, testbed.ExclusionsFile+"*.new"))
			require.NoError(t, err)
			require.Empty(t, left)
		})
	}
}

// An exclusion may be neither saved nor passed to a new process when the pooler shuts down. The pooler then retries to
// save it until the shutdown timeout.
func TestShutdownRetriesUnsavedExclusion(t *testing.T) {
	bed := testbed.Start(t, testbed.WithListener)
	release := lockExclusions(bed)
	require.NoError(t, os.MkdirAll(filepath.Join(bed.Dir, testbed.ExclusionsFile+".pending.new", "in the way"), 0o700))
	bed.SetExcluded("db-1", true)
	bed.Signal(syscall.SIGTERM)
	ended := make(chan error, 1)
	go func() { ended <- bed.Wait() }()
	select {
	case err := <-ended:
		require.Fail(t, "the pooler ended before it saved the exclusion", "%v", err)
	case <-time.After(answerTimeout): // less than the shutdown timeout, 3.5 s
	}
	release()
	require.NoError(t, <-ended)
	require.Contains(t, testbed.ReadExclusions(t, bed.Dir), "db-1")
}

// An exclusion of the primary may have a time in the future, for example after a clock step. It gives the primary no
// grace period: a process that starts with such an exclusion sends no write to the primary.
func TestExclusionWithFutureTimeAppliesAtOnce(t *testing.T) {
	bed := testbed.Start(t)
	require.True(t, bed.Client().Ask(bed.Statement("write", "a", answerTimeout)).Complete)
	bed.Signal(syscall.SIGKILL)
	require.Error(t, bed.Wait())
	inAnHour := clock.Monotonic()() + time.Hour
	entry := fmt.Sprintf(`{"db-0":%d}`, inAnHour.Milliseconds())
	require.NoError(t, os.WriteFile(filepath.Join(bed.Dir, testbed.ExclusionsFile), []byte(entry), 0o600))
	before := len(bed.Databases[0].Statements())
	bed.Run()
	require.False(t, bed.Client().Ask(bed.Statement("write", "a", answerTimeout/4)).Complete)
	require.Len(t, bed.Databases[0].Statements(), before)
}
