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

// What is remembered comes back. A file cut off at any byte, with any byte made otherwise, of another cluster or
// larger than any that is written is turned down whole; none is no error.
func TestRemembered(t *testing.T) {
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
	require.Equal(t, map[string]address{"n 1": members["n 1"]}, got, "the other was there long ago")

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
		require.Error(t, err, "bit turned in byte %d", i)
	}
	require.NoError(t, os.WriteFile(path, make([]byte, maxAddressFileBytes+1), 0o600))
	_, err = loadAddressFile(dir, "c", epoch)
	require.ErrorContains(t, err, "at most")
	require.NoError(t, saveAddressFile(dir, "c", members, writeSynced), "it is written anew")
	require.Error(t, saveAddressFile(filepath.Join(dir, "none"), "c", members, writeSynced))
	left, err := filepath.Glob(filepath.Join(dir, "*"))
	require.NoError(t, err)
	require.Equal(t, []string{path}, left, "nothing is left behind")

	many := map[string]address{}
	for i := range 3 * maxAddresses {
		many[fmt.Sprint("n", i)] = address{"127.0.0.1:1", epoch}
	}
	require.NoError(t, saveAddressFile(dir, "c", many, writeSynced))
	got, err = loadAddressFile(dir, "c", epoch)
	require.NoError(t, err)
	require.Len(t, got, maxAddresses)
}

// Times that a step of the clock has made impossible cost no address: what is too old goes only where the times can
// be trusted.
func TestRememberedOverAStep(t *testing.T) {
	fresh, old := epoch-time.Minute, epoch-addressRetention-time.Hour
	for _, c := range []struct {
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
			"to the beginning of all",
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
			"a year ahead when one was written",
			map[string]time.Duration{"a": fresh, "b": epoch + 8766*time.Hour},
			epoch,
			map[string]time.Duration{"a": fresh, "b": epoch},
		},
	} {
		t.Run(c.name, func(t *testing.T) {
			dir, members, want := t.TempDir(), map[string]address{}, map[string]address{}
			for name, last := range c.members {
				members[name] = address{"127.0.0.1:7946", last}
			}
			for name, last := range c.want {
				want[name] = address{"127.0.0.1:7946", last}
			}
			require.NoError(t, saveAddressFile(dir, "c", members, writeSynced))
			got, err := loadAddressFile(dir, "c", c.now)
			require.NoError(t, err)
			require.Equal(t, want, got)
		})
	}
	many := map[string]address{}
	for i := range 2 * maxAddresses {
		many[fmt.Sprintf("n%04d", i)] = address{"127.0.0.1:1", epoch + time.Duration(i)*time.Second}
	}
	kept := selectAddresses(many, epoch)
	require.Len(t, kept, maxAddresses)
	require.Contains(t, kept, fmt.Sprintf("n%04d", 2*maxAddresses-1), "the newest go before others")
}

// failingDisk lets every write fail while it is set, as a full disk would: some of the text is there, and no more.
type failingDisk struct{ errno syscall.Errno }

func (d *failingDisk) write(f writableFile, text string) error {
	if d.errno == 0 {
		return writeSynced(f, text)
	}
	if _, err := f.WriteString(text[:len(text)/2]); err != nil {
		return err
	}
	return &os.PathError{Op: "write", Path: fmt.Sprint(rand.Uint64()), Err: d.errno}
}

// While the disk fails, what was remembered stays, the failure is counted at each try and logged once; once it
// works, what has changed meanwhile is written with no further change.
func TestRememberedOnAFailingDisk(t *testing.T) {
	dir, now, disk := t.TempDir(), epoch, &failingDisk{}
	var logged bytes.Buffer
	g := &Gossip{
		name: "a", config: Config{Dir: dir, Cluster: "c"}, timing: DefaultTiming(), log: zerolog.New(&logged),
		clock: func() time.Duration { return now }, writeFile: disk.write,
		remembered: map[string]address{"b": {"127.0.0.1:1", now}},
	}
	step := func() map[string]address {
		now += g.timing.RejoinInterval
		g.saveAddresses(false)
		got, err := loadAddressFile(dir, "c", now)
		require.NoError(t, err)
		return got
	}
	g.unsaved = true
	require.Len(t, step(), 1)
	for i, errno := range []syscall.Errno{syscall.ENOSPC, syscall.EIO} {
		disk.errno = errno
		name := fmt.Sprint("n", i)
		g.remembered[name], g.unsaved = address{"127.0.0.1:2", now}, true
		failed := g.counters.SaveErrors
		for range 5 {
			require.NotContains(t, step(), name)
		}
		require.Equal(t, failed+5, g.counters.SaveErrors)
		require.Equal(t, 1, strings.Count(logged.String(), errno.Error()), logged.String())
		disk.errno = 0
		require.Contains(t, step(), name, "with no further change")
		logged.Reset()
	}
	left, err := filepath.Glob(filepath.Join(dir, "*"))
	require.NoError(t, err)
	require.Len(t, left, 1, "no file is left behind: %v", left)
}

// What killed writers left behind is removed; what has been written to since it was found is another's that lives.
func TestFilesLeftBehind(t *testing.T) {
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
	left, err := filepath.Glob(path("*"))
	require.NoError(t, err)
	require.Equal(t, []string{path("fleet-members"), path("fleet-members-2"), path("other")}, left)
}
