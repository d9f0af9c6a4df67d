package gossip

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"
)

const epoch = 1_800_000_000 * time.Second

// Saved addresses are loaded again. A file that is truncated at any byte, damaged in any byte, of another cluster or
// larger than maxAddressFileBytes is rejected as a whole. A missing file is no error.
func TestAddressFileIsLoadedOrRejected(t *testing.T) {
	dir := t.TempDir()
	members := map[string]address{"n 1": {"127.0.0.1:7946", epoch}, `odd "name`: {"[::1]:7946", epoch - time.Hour}}
	got, err := loadAddressFile(dir, "c", epoch)
	require.NoError(t, err)
	require.Empty(t, got)
	require.NoError(t, saveAddressFile(dir, "c", members, writeSynced))
	got, err = loadAddressFile(dir, "c", epoch)
	require.NoError(t, err)
	require.Equal(t, members, got)
	_, err = loadAddressFile(dir, "other", epoch)
	require.ErrorContains(t, err, "fleet-members:1: of another version or cluster")
	got, err = loadAddressFile(dir, "c", epoch+addressRetention-time.Minute)
	require.NoError(t, err)
	require.Equal(t, map[string]address{"n 1": members["n 1"]}, got, "the other has expired")

	path := filepath.Join(dir, addressFileName)
	whole, err := os.ReadFile(path)
	require.NoError(t, err)
	for i := range whole {
		require.NoError(t, os.WriteFile(path, whole[:i], 0o600))
		_, err = loadAddressFile(dir, "c", epoch)
		require.Error(t, err, "cut off at %d", i)
		damaged := append([]byte{}, whole...)
		damaged[i] ^= 1 << (i % 8)
		require.NoError(t, os.WriteFile(path, damaged, 0o600))
		_, err = loadAddressFile(dir, "c", epoch)
		require.Error(t, err, "bit inverted in byte %d", i)
	}
	require.NoError(t, os.WriteFile(path, make([]byte, maxAddressFileBytes+1), 0o600))
	_, err = loadAddressFile(dir, "c", epoch)
	require.ErrorContains(t, err, "at most")
	require.NoError(t, saveAddressFile(dir, "c", members, writeSynced), "the file is replaced")
	require.Error(t, saveAddressFile(filepath.Join(dir, "none"), "c", members, writeSynced))
	require.Equal(t, []string{path}, filesIn(t, dir), "no temporary file is left")

	many := map[string]address{}
	for i := range 3 * maxAddresses {
		many[fmt.Sprint("n", i)] = address{"127.0.0.1:1", epoch}
	}
	require.NoError(t, saveAddressFile(dir, "c", many, writeSynced))
	got, err = loadAddressFile(dir, "c", epoch)
	require.NoError(t, err)
	require.Len(t, got, maxAddresses)
}

// filesIn returns the paths of a directory's files, sorted.
func filesIn(t *testing.T, dir string) []string {
	t.Helper()
	paths, err := filepath.Glob(filepath.Join(dir, "*"))
	require.NoError(t, err)
	return paths
}

// A clock step makes the saved times implausible, but loses no address: addresses expire only if the times are
// plausible.
func TestAddressesSurviveClockSteps(t *testing.T) {
	fresh, old := epoch-time.Minute, epoch-addressRetention-time.Hour
	for _, test := range []struct {
		name    string
		members map[string]time.Duration
		now     time.Duration
		want    map[string]time.Duration
	}{
		{"no step", map[string]time.Duration{"a": fresh, "b": old}, epoch, map[string]time.Duration{"a": fresh}},
		{
			"two hours back",
			map[string]time.Duration{"a": fresh, "b": old},
			epoch - 2*time.Hour,
			map[string]time.Duration{"a": epoch - 2*time.Hour, "b": old},
		},
		{
			"to the epoch",
			map[string]time.Duration{"a": fresh},
			time.Hour,
			map[string]time.Duration{"a": time.Hour},
		},
		{
			"a year ahead",
			map[string]time.Duration{"a": fresh, "b": old},
			epoch + 8766*time.Hour,
			map[string]time.Duration{"a": fresh, "b": old},
		},
		{
			"a year ahead when one address was saved",
			map[string]time.Duration{"a": fresh, "b": epoch + 8766*time.Hour},
			epoch,
			map[string]time.Duration{"a": fresh, "b": epoch},
		},
	} {
		t.Run(test.name, func(t *testing.T) {
			dir, members, want := t.TempDir(), map[string]address{}, map[string]address{}
			for name, last := range test.members {
				members[name] = address{"127.0.0.1:7946", last}
			}
			for name, last := range test.want {
				want[name] = address{"127.0.0.1:7946", last}
			}
			require.NoError(t, saveAddressFile(dir, "c", members, writeSynced))
			got, err := loadAddressFile(dir, "c", test.now)
			require.NoError(t, err)
			require.Equal(t, want, got)
		})
	}
	many := map[string]address{}
	for i := range 2 * maxAddresses {
		many[fmt.Sprintf("n%04d", i)] = address{"127.0.0.1:1", epoch + time.Duration(i)*time.Second}
	}
	selected := selectAddresses(many, epoch)
	require.Len(t, selected, maxAddresses)
	require.Contains(t, selected, fmt.Sprintf("n%04d", 2*maxAddresses-1), "the newest are selected")
}

// failingDisk makes every write fail while an error is set. As on a full disk, a part of the text is written before.
type failingDisk struct{ errno syscall.Errno }

func (d *failingDisk) write(file writableFile, text string) error {
	if d.errno == 0 {
		return writeSynced(file, text)
	}
	if _, err := file.WriteString(text[:len(text)/2]); err != nil {
		return err
	}
	return &os.PathError{Op: "write", Path: fmt.Sprint(rand.Uint64()), Err: d.errno}
}

// While the disk fails, the saved addresses stay unchanged, each failed attempt is counted and the first is logged.
// Once the disk works, the changes since then are saved without another change.
func TestAddressesAreSavedOnceDiskWorks(t *testing.T) {
	dir, now, disk := t.TempDir(), epoch, &failingDisk{}
	var logged bytes.Buffer
	gossip := &Gossip{
		name: "a", config: Config{Dir: dir, Cluster: "c"}, timing: DefaultTiming(), log: zerolog.New(&logged),
		clock: func() time.Duration { return now }, writeFile: disk.write,
		remembered: map[string]address{"b": {"127.0.0.1:1", now}},
	}
	step := func() map[string]address {
		t.Helper()
		now += gossip.timing.RejoinInterval
		gossip.saveAddresses(false)
		got, err := loadAddressFile(dir, "c", now)
		require.NoError(t, err)
		return got
	}
	gossip.unsaved = true
	require.Len(t, step(), 1)
	for i, errno := range []syscall.Errno{syscall.ENOSPC, syscall.EIO} {
		disk.errno = errno
		name := fmt.Sprint("n", i)
		gossip.remembered[name], gossip.unsaved = address{"127.0.0.1:2", now}, true
		failed := gossip.counters.SaveErrors
		for range 5 {
			require.NotContains(t, step(), name)
		}
		require.Equal(t, failed+5, gossip.counters.SaveErrors)
		require.Equal(t, 1, strings.Count(logged.String(), errno.Error()), logged.String())
		disk.errno = 0
		require.Contains(t, step(), name, "without another change")
		logged.Reset()
	}
	remaining := filesIn(t, dir)
	require.Len(t, remaining, 1, "no temporary file is left: %v", remaining)
}

// Temporary files of killed writers are removed. A file that has been written to since it was found belongs to a
// running writer, and stays.
func TestAbandonedFilesAreRemoved(t *testing.T) {
	dir := t.TempDir()
	path := func(name string) string { return filepath.Join(dir, name) }
	for _, name := range []string{"fleet-members-1", "fleet-members-2", "fleet-members-3", "fleet-members", "other"} {
		require.NoError(t, os.WriteFile(path(name), []byte("half"), 0o600))
	}
	found := temporaryFiles(dir)
	require.Len(t, found, 3)
	require.NoError(t, os.WriteFile(path("fleet-members-2"), []byte("half and more"), 0o600))
	require.NoError(t, os.Remove(path("fleet-members-3")))
	require.NoError(t, removeAbandoned(found))
	require.Equal(t, []string{path("fleet-members"), path("fleet-members-2"), path("other")}, filesIn(t, dir))
}
