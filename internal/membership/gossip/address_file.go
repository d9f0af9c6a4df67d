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

// address is a network address at which a pooler responded.
type address struct {
	addr     string
	lastSeen time.Duration // since the Unix epoch
}

// The address file. Its first line consists of the header and the name of the cluster. Each further line consists of a
// pooler's name, its address and the time when it was last seen, in Unix milliseconds. The last line is a checksum.
const (
	addressFileName     = "fleet-members"
	addressFileHeader   = "capercove members 1 "
	maxAddressFileBytes = 512 << 10
	maxWriterSkew       = time.Hour // times in the file that are further in the future are not trusted

	// temporaryPattern matches the files that are renamed to addressFileName once they are complete. Their names are
	// unique, because two processes of one pooler may write at the same time.
	temporaryPattern = addressFileName + "-*"
)

// loadAddressFile reads the address file in a directory. It returns no addresses if there is no file, and an error if
// the file is damaged, or of another version or cluster.
func loadAddressFile(dir, cluster string, now time.Duration) (map[string]address, error) {
	path := filepath.Join(dir, addressFileName)
	if info, err := os.Stat(path); err == nil && info.Size() > maxAddressFileBytes {
		return nil, fmt.Errorf("%s: %d bytes, %d at most", path, info.Size(), maxAddressFileBytes)
	}
	text, err := os.ReadFile(path)
	if errors.Is(err, fs.ErrNotExist) {
		return nil, nil
	}
	if err != nil {
		return nil, err
	}
	body, sum, found := strings.Cut(string(text), "\nsum ")
	if !found || sum != addressFileSum(body) {
		return nil, fmt.Errorf("%s: damaged: the checksum is wrong", path)
	}
	lines := strings.Split(body, "\n")
	if lines[0] != addressFileFirstLine(cluster) {
		return nil, fmt.Errorf("%s:1: of another version or cluster", path)
	}
	addresses := map[string]address{}
	for i, line := range lines[1:] {
		name, parsed, err := parseAddressLine(line)
		if err != nil {
			return nil, fmt.Errorf("%s:%d: %w", path, i+2, err) // line numbers start at 1, and line 1 is the header
		}
		addresses[name] = parsed
	}
	return selectAddresses(addresses, now), nil
}

// formatAddressFile returns the text of the address file.
func formatAddressFile(cluster string, addresses map[string]address) string {
	var b strings.Builder
	b.WriteString(addressFileFirstLine(cluster))
	for _, name := range slices.Sorted(maps.Keys(addresses)) {
		known := addresses[name]
		fmt.Fprintf(&b, "\n%q %s %d", name, known.addr, known.lastSeen.Milliseconds())
	}
	return b.String() + "\nsum " + addressFileSum(b.String())
}

func addressFileFirstLine(cluster string) string {
	return fmt.Sprintf("%s%q", addressFileHeader, cluster)
}

func addressFileSum(body string) string {
	return fmt.Sprintf("%08x\n", crc32.Checksum([]byte(body), castagnoli))
}

func parseAddressLine(line string) (name string, parsed address, err error) {
	var ms int64
	if _, err := fmt.Sscanf(line, "%q %s %d", &name, &parsed.addr, &ms); err != nil {
		return "", address{}, err
	}
	if _, err := netip.ParseAddrPort(parsed.addr); err != nil {
		return "", address{}, err
	}
	parsed.lastSeen = time.Duration(ms) * time.Millisecond
	return name, parsed, nil
}

// selectAddresses returns at most maxAddresses addresses, those that were seen most recently.
//
// Addresses older than addressRetention are dropped only if the times can be trusted. They cannot be trusted if the
// newest address is too old or in the future. In that case a clock was stepped, now or when the file was written, or
// this pooler was not running for a long time. An address at which no pooler responds costs no more than a seed that is
// not running. Without any address, this pooler may be unable to rejoin.
func selectAddresses(addresses map[string]address, now time.Duration) map[string]address {
	names := slices.SortedFunc(maps.Keys(addresses), func(a, b string) int {
		return cmp.Or(cmp.Compare(addresses[b].lastSeen, addresses[a].lastSeen), strings.Compare(a, b))
	})
	if len(names) == 0 {
		return nil
	}
	newest := addresses[names[0]].lastSeen
	trusted := newest <= now+maxWriterSkew && now-newest < addressRetention
	selected := map[string]address{}
	for _, name := range names[:min(len(names), maxAddresses)] {
		known := addresses[name]
		if trusted && now-known.lastSeen >= addressRetention {
			break
		}
		selected[name] = address{known.addr, min(known.lastSeen, now)}
	}
	return selected
}

// writableFile is the part of *os.File that writeSynced uses.
type writableFile interface {
	io.StringWriter
	Sync() error
}

// writeSynced writes a text and flushes it to disk.
func writeSynced(file writableFile, text string) error {
	if _, err := file.WriteString(text); err != nil {
		return err
	}
	return file.Sync()
}

// saveAddressFile replaces the address file in a directory atomically: a crash leaves the previous file or the new one.
func saveAddressFile(
	dir, cluster string, addresses map[string]address, write func(file writableFile, text string) error,
) error {
	file, err := os.CreateTemp(dir, temporaryPattern)
	if err != nil {
		return err
	}
	err = errors.Join(write(file, formatAddressFile(cluster, addresses)), file.Close())
	if err == nil {
		err = os.Rename(file.Name(), filepath.Join(dir, addressFileName))
	}
	if err != nil {
		_ = os.Remove(file.Name()) // err is the cause, and the next start removes the file
		return err
	}
	return syncDir(dir)
}

// syncDir flushes the entries of a directory to disk.
func syncDir(dir string) error {
	file, err := os.Open(dir)
	if err != nil {
		return err
	}
	return errors.Join(file.Sync(), file.Close())
}

// temporaryFiles returns the temporary files in a directory, with their current size and modification time.
func temporaryFiles(dir string) map[string]fs.FileInfo {
	found := map[string]fs.FileInfo{}
	paths, _ := filepath.Glob(filepath.Join(dir, temporaryPattern)) // its only error is a malformed pattern
	for _, path := range paths {
		if info, err := os.Lstat(path); err == nil && info.Mode().IsRegular() {
			found[path] = info
		}
	}
	return found
}

// removeAbandoned removes temporary files that have not changed since temporaryFiles found them: their writers were
// killed. The caller must wait longer than a write takes between the two calls. If a writer was only paused for that
// long, its rename fails and it retries.
func removeAbandoned(found map[string]fs.FileInfo) error {
	var failed error
	for path, before := range found {
		current, err := os.Lstat(path)
		if err != nil || !os.SameFile(current, before) {
			continue
		}
		if current.Size() != before.Size() || !current.ModTime().Equal(before.ModTime()) {
			continue
		}
		if err := os.Remove(path); err != nil && !errors.Is(err, fs.ErrNotExist) {
			failed = err
		}
	}
	return failed
}

// errorCause returns the text of a file error without the file's path. Temporary files have a new name at each attempt,
// and the text must stay the same while the cause does.
func errorCause(err error) string {
	var errno syscall.Errno
	if errors.As(err, &errno) {
		return errno.Error()
	}
	return err.Error()
}
