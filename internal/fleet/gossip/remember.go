package gossip

import (
	"errors"
	"fmt"
	"hash/crc32"
	"io/fs"
	"maps"
	"net/netip"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"time"
)

// A pooler that restarts finds the others through a small file, also when no seed is up. It holds addresses alone and counts as
// no more than a seed: who is there is found out anew.

// address is where a pooler was, and when it was last there.
type address struct {
	at   string
	last time.Duration // since the Unix epoch
}

const (
	memoryName = "fleet-members"
	memoryHead = "capercove members 1 "
	memoryMost = 512 << 10 // bytes
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
		last := time.Duration(ms) * time.Millisecond
		if len(members) < rememberedMost && now-last < addressKept && last <= now+time.Hour {
			members[name] = address{at, last}
		}
	}
	return members, nil
}

// keep writes the file anew and puts it in place of the old one, so that there is a whole one at any time. It is not forced to
// disk: after a loss of power it may be damaged, which load finds out.
func keep(dir, cluster string, members map[string]address) error {
	var b strings.Builder
	fmt.Fprintf(&b, "%s%q", memoryHead, cluster)
	for _, name := range slices.Sorted(maps.Keys(members)) {
		fmt.Fprintf(&b, "\n%q %s %d", name, members[name].at, members[name].last.Milliseconds())
	}
	text := fmt.Sprintf("%s\nsum %08x\n", b.String(), crc32.Checksum([]byte(b.String()), castagnoli))
	f, err := os.CreateTemp(dir, memoryName+"-*") // two processes of one name may write at once
	if err != nil {
		return err
	}
	_, err = f.WriteString(text)
	if err = errors.Join(err, f.Close()); err == nil {
		err = os.Rename(f.Name(), filepath.Join(dir, memoryName))
	}
	if err != nil {
		os.Remove(f.Name())
	}
	return err
}
