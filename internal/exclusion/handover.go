package exclusion

import (
	"fmt"
	"maps"
	"net/url"
	"slices"
	"strconv"
	"strings"
	"time"

	"capercove/internal/clock"
)

// Changes that could not be written yet are handed over to the pooler's other processes, present and future, in the
// target of a symbolic link. The system creates a link atomically. It needs no lock and no write to a file and, if
// the target is short, no block of the disk. So it works while a stopped process holds the lock, beyond a limit on
// file sizes, and mostly on a full disk; it does not work on a disk that takes no new directory entries. All
// processes share one link. A process that finds its changes missing from it adds them again, so that two concurrent
// writers lose nothing.

const (
	pendingSuffix = ".pending"
	maxLinkSize   = 4095 // longest target of a symbolic link, in bytes
	linkBase      = 36   // of the numbers in the link
	linkFields    = 5    // of each change in the link
)

// exchangePending adopts the changes that other processes have handed over, and hands over those of this process. It
// removes a link whose changes are all on disk.
func (f *File) exchangePending() {
	left := f.readPending()
	f.adopt(left)
	own, due := f.pendingCopy()
	switch {
	case len(own) == 0 && left != nil:
		_ = f.Files.Remove(f.path + pendingSuffix) // retried at the next refresh
	case len(own) > 0 && left.encodeLink() == own.encodeLink():
		f.markShared(own)
	case len(own) > 0 && (due || left != nil):
		if f.writePending(own) == nil {
			f.markShared(own)
		}
	}
}

// encodeLink returns a short text of the changes: a link of less than 60 bytes takes no block of a disk. Each change
// has a sign for the start or the end of an exclusion, the name, the time by the wall clock, the time of the command
// since the boot, the time between the start of the exclusion and that command, all in base 36, and the first part of
// the boot identifier.
func (all changes) encodeLink() string {
	var words []string
	for name, c := range all {
		sign := "-"
		if c.Excluded {
			sign = "+"
		}
		boot, _, _ := strings.Cut(c.Issued.Boot, "-")
		before := ""
		if age, known := c.Since.Age(c.Issued); known {
			before = strconv.FormatInt(int64(age), linkBase)
		}
		words = append(words, sign+strings.Join([]string{
			url.QueryEscape(name), strconv.FormatInt(c.UnixMilli, linkBase),
			strconv.FormatInt(int64(c.Issued.SinceBoot), linkBase), before, boot,
		}, ","))
	}
	slices.Sort(words)
	return strings.Join(words, " ")
}

// decodeLink parses the result of encodeLink. It ignores invalid words, and times of another boot, which cannot be
// compared.
func decodeLink(text, boot string) changes {
	all := changes{}
	own, _, _ := strings.Cut(boot, "-")
	for _, word := range strings.Fields(text) {
		fields := strings.Split(word[1:], ",")
		if len(fields) != linkFields || word[0] != '+' && word[0] != '-' {
			continue
		}
		name, err := url.QueryUnescape(fields[0])
		unixMilli, unixErr := strconv.ParseInt(fields[1], linkBase, 64)
		issued, issuedErr := strconv.ParseInt(fields[2], linkBase, 64)
		if err != nil || unixErr != nil || issuedErr != nil {
			continue
		}
		c := change{Excluded: word[0] == '+', UnixMilli: unixMilli}
		if own != "" && own == fields[4] {
			c.Issued = clock.Stamp{Boot: boot, SinceBoot: time.Duration(issued)}
			if before, err := strconv.ParseInt(fields[3], linkBase, 64); err == nil {
				c.Since = clock.Stamp{Boot: boot, SinceBoot: time.Duration(issued - before)}
			}
		}
		all[name] = c
	}
	return all
}

// readPending returns the changes of the link, nil if there is none.
func (f *File) readPending() changes {
	text, err := f.Files.Readlink(f.path + pendingSuffix)
	if err != nil {
		return nil
	}
	present, _ := f.Stamp()
	return decodeLink(text, present.Boot)
}

// adopt puts those changes of other processes into force that are later than the known ones. This process writes them
// too.
func (f *File) adopt(left changes) {
	if len(left) == 0 {
		return
	}
	present, _ := f.Stamp()
	f.mu.Lock()
	defer f.mu.Unlock()
	known := merge(f.onDisk, f.pending, present.Boot)
	later := changes{}
	for name, c := range left {
		if before, ok := known[name]; !ok || c.after(before, present.Boot) {
			later[name] = c
		}
	}
	if len(later) == 0 {
		return
	}
	f.addPending(later)
	f.publish()
}

// markShared records that the pending changes are handed over, if these are still all of them.
func (f *File) markShared(own changes) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.shared = maps.Equal(f.pending, own)
}

// writePending replaces the link atomically. If renaming fails, it removes the link and creates a new one.
func (f *File) writePending(own changes) error {
	text := own.encodeLink()
	if len(text) > maxLinkSize {
		return fmt.Errorf("%d changes that are not on disk do not fit into a link", len(own))
	}
	link := f.path + pendingSuffix
	_ = f.Files.Remove(link + newSuffix) // mostly there is none
	if err := f.Files.Symlink(text, link+newSuffix); err != nil {
		return err // the present link stays
	}
	if f.Files.Rename(link+newSuffix, link) == nil {
		return nil
	}
	_ = f.Files.Remove(link + newSuffix) // neither matters: if the link is still there, Symlink fails
	_ = f.Files.Remove(link)
	return f.Files.Symlink(text, link)
}
