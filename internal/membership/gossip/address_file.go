package gossip

import (
	"cmp"
	"errors"
	"fmt"
	"hash/crc32"
	"io"
	"io/fs"
	"maps"
	"net/netip"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"syscall"
	"time"
)

// address is where a pooler was, and when it was last there.
type address struct {
	at   string
	last time.Duration // since the Unix epoch
}

const (
	memoryName  = "fleet-members"
	memoryHead  = "capercove members 1 "
	memoryMost  = 512 << 10 // bytes
	memoryAhead = time.Hour // by which the clock of who wrote an entry may have been ahead
	// temporaryNames are those of files that are to take the memory's place. Two processes of one name may write at once.
	temporaryNames = memoryName + "-*"
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// load reads the file. None is an empty one; one that is damaged, of another version or of another cluster is an error, and
// nothing of it is used.
func load(dir, cluster string, now time.Duration) (map[string]address, error) {
	path := filepath.Join(dir, memoryName)
	if info, err := os.Stat(path); err == nil && info.Size() > memoryMost {
		return nil, fmt.Errorf("%s: %d bytes, %d at most", path, info.Size(), memoryMost)
	}
	text, err := os.ReadFile(path)
	if errors.Is(err, fs.ErrNotExist) {
		return nil, nil
	}
	if err != nil {
		return nil, err
	}
	body, sum, found := strings.Cut(string(text), "\nsum ")
	if !found || sum != fmt.Sprintf("%08x\n", crc32.Checksum([]byte(body), castagnoli)) {
		return nil, fmt.Errorf("%s: damaged: the checksum is wrong", path)
	}
	lines := strings.Split(body, "\n")
	if lines[0] != fmt.Sprintf("%s%q", memoryHead, cluster) {
		return nil, fmt.Errorf("%s:1: of another version or cluster", path)
	}
	members := map[string]address{}
	for i, line := range lines[1:] {
		var name, at string
		var ms int64
		if _, err := fmt.Sscanf(line, "%q %s %d", &name, &at, &ms); err != nil {
			return nil, fmt.Errorf("%s:%d: %w", path, i+2, err)
		}
		if _, err := netip.ParseAddrPort(at); err != nil {
			return nil, fmt.Errorf("%s:%d: %w", path, i+2, err)
		}
		members[name] = address{at, time.Duration(ms) * time.Millisecond}
	}
	return chosen(members, now), nil
}

// chosen are the addresses that are of use, within the bound, those of poolers that were there last before others.
// One that is too old is left out only where the times can be trusted. They cannot where the newest is too old or
// any is ahead: a clock has been stepped, now or when they were written, or this pooler was away for long. An
// address that nobody answers costs no more than a seed that is not up, and having none costs the way back to the
// others.
func chosen(members map[string]address, now time.Duration) map[string]address {
	names := slices.SortedFunc(maps.Keys(members), func(a, b string) int {
		return cmp.Or(cmp.Compare(members[b].last, members[a].last), strings.Compare(a, b))
	})
	if len(names) == 0 {
		return nil
	}
	newest := members[names[0]].last
	trusted := newest <= now+memoryAhead && now-newest < addressKept
	kept := map[string]address{}
	for _, name := range names[:min(len(names), rememberedMost)] {
		a := members[name]
		if trusted && now-a.last >= addressKept {
			break
		}
		kept[name] = address{a.at, min(a.last, now)}
	}
	return kept
}

// memoryFile is what is written to: *os.File, or in tests one that fails.
type memoryFile interface {
	io.StringWriter
	Sync() error
}

// write writes a text and has it on disk when it returns.
func write(f memoryFile, text string) error {
	if _, err := f.WriteString(text); err != nil {
		return err
	}
	return f.Sync()
}

// keep writes the file anew and puts it in place of the old one, so that there is a whole one at any time.
func keep(dir, cluster string, members map[string]address, write func(f memoryFile, text string) error) error {
	var b strings.Builder
	fmt.Fprintf(&b, "%s%q", memoryHead, cluster)
	for _, name := range slices.Sorted(maps.Keys(members)) {
		fmt.Fprintf(&b, "\n%q %s %d", name, members[name].at, members[name].last.Milliseconds())
	}
	text := fmt.Sprintf("%s\nsum %08x\n", b.String(), crc32.Checksum([]byte(b.String()), castagnoli))
	f, err := os.CreateTemp(dir, temporaryNames)
	if err != nil {
		return err
	}
	err = write(f, text)
	if err = errors.Join(err, f.Close()); err == nil {
		err = os.Rename(f.Name(), filepath.Join(dir, memoryName))
	}
	if err != nil {
		os.Remove(f.Name())
		return err
	}
	return syncFolder(dir)
}

// syncFolder has the names in a folder on disk.
func syncFolder(dir string) error {
	f, err := os.Open(dir)
	if err != nil {
		return err
	}
	return errors.Join(f.Sync(), f.Close())
}

// temporaries are the files in a folder that are to take the memory's place, as they are now.
func temporaries(dir string) map[string]fs.FileInfo {
	found := map[string]fs.FileInfo{}
	paths, _ := filepath.Glob(filepath.Join(dir, temporaryNames)) // errors for a bad pattern alone
	for _, path := range paths {
		if info, err := os.Lstat(path); err == nil && info.Mode().IsRegular() {
			found[path] = info
		}
	}
	return found
}

// removeUnchanged removes temporary files that are as they were when they were found: whoever wrote them has been
// killed since then or before. The caller leaves more time in between than a write takes. A writer that was merely
// stopped for that long fails at its rename, and writes again.
func removeUnchanged(found map[string]fs.FileInfo) error {
	var failed error
	for path, before := range found {
		now, err := os.Lstat(path)
		if err != nil || !os.SameFile(now, before) {
			continue
		}
		if now.Size() != before.Size() || !now.ModTime().Equal(before.ModTime()) {
			continue
		}
		if err := os.Remove(path); err != nil && !errors.Is(err, fs.ErrNotExist) {
			failed = err
		}
	}
	return failed
}

// cause is what a failed file operation says beside the names of files, which are others each time.
func cause(err error) string {
	var errno syscall.Errno
	if errors.As(err, &errno) {
		return errno.Error()
	}
	return err.Error()
}
