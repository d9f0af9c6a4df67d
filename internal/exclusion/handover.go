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
// target of a symbolic link. The system creates a link atomically. A link needs neither the lock nor a write to a file
// and, if its target is short, no disk block. It therefore works while a stopped process holds the lock, beyond a
// limit on file sizes, and mostly on a full disk. It fails on a disk that accepts no new directory entries. All
// processes share one link. A process that finds its changes missing from the link adds them again: two concurrent
// writers lose no change.

const (
	pendingSuffix = ".pending"
	maxLinkSize   = 4095 // longest target of a symbolic link, in bytes
	linkBase      = 36   // base of the numbers in the link
	linkFields    = 5    // fields of each change in the link
)

// exchangePending adopts the changes that other processes have handed over, and hands over the changes of this process.
// It removes the link once all changes in it are on disk.
func (f *File) exchangePending() {
	linked := f.readPending()
	f.adopt(linked)
	own, due := f.pendingCopy()
	switch {
	case len(own) == 0 && linked != nil:
		_ = f.Files.Remove(f.path + pendingSuffix) // retried at the next refresh
	case len(own) > 0 && linked.encodeLink() == own.encodeLink():
		f.markHandedOver(own)
	case len(own) > 0 && (due || linked != nil):
		if f.writePending(own) == nil {
			f.markHandedOver(own)
		}
	}
}

// encodeLink returns the changes as a short text, because a link of less than 60 bytes takes no disk block. Each change
// is a word that begins with + for an exclusion or - for the end of one. Its fields are separated by commas, and its
// numbers are in base 36:
//   - the name of the database;
//   - the wall-clock time in Unix milliseconds;
//   - the time of the command in nanoseconds since the boot;
//   - the nanoseconds from the start of the exclusion to the command, empty if unknown;
//   - the first part of the boot identifier.
func (all changes) encodeLink() string {
	var words []string
	for name, c := range all {
		sign := "-"
		if c.Excluded {
			sign = "+"
		}
		boot, _, _ := strings.Cut(c.Issued.Boot, "-")
		elapsed := ""
		if age, known := c.Since.Age(c.Issued); known {
			elapsed = strconv.FormatInt(int64(age), linkBase)
		}
		words = append(words, sign+strings.Join([]string{
			url.QueryEscape(name), strconv.FormatInt(c.UnixMilli, linkBase),
			strconv.FormatInt(int64(c.Issued.SinceBoot), linkBase), elapsed, boot,
		}, ","))
	}
	slices.Sort(words)
	return strings.Join(words, " ")
}

// decodeLink parses the result of encodeLink. It ignores invalid words. It also ignores times since another boot, which
// cannot be compared.
func decodeLink(text, boot string) changes {
	all := changes{}
	presentBoot, _, _ := strings.Cut(boot, "-")
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
		if presentBoot != "" && presentBoot == fields[4] {
			c.Issued = clock.Stamp{Boot: boot, SinceBoot: time.Duration(issued)}
			if elapsed, err := strconv.ParseInt(fields[3], linkBase, 64); err == nil {
				c.Since = clock.Stamp{Boot: boot, SinceBoot: time.Duration(issued - elapsed)}
			}
		}
		all[name] = c
	}
	return all
}

// readPending returns the changes in the link. The result is nil if the link cannot be read, and an empty map if the
// link has no valid change.
func (f *File) readPending() changes {
	text, err := f.Files.Readlink(f.path + pendingSuffix)
	if err != nil {
		return nil
	}
	present, _ := f.Stamp()
	return decodeLink(text, present.Boot)
}

// adopt puts changes of other processes into force that are later than the known changes. This process then writes them
// too.
func (f *File) adopt(linked changes) {
	if len(linked) == 0 {
		return
	}
	present, _ := f.Stamp()
	f.mu.Lock()
	defer f.mu.Unlock()
	known := merge(f.onDisk, f.pending, present.Boot)
	later := changes{}
	for name, c := range linked {
		if previous, ok := known[name]; !ok || c.after(previous, present.Boot) {
			later[name] = c
		}
	}
	if len(later) == 0 {
		return
	}
	f.addPending(later)
	f.publish()
}

// markHandedOver sets handedOver if own, which has been handed over, still equals the pending changes. Otherwise it
// clears handedOver.
func (f *File) markHandedOver(own changes) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.handedOver = maps.Equal(f.pending, own)
}

// writePending replaces the link atomically. If the rename fails, it removes the old link and creates a new one.
func (f *File) writePending(own changes) error {
	text := own.encodeLink()
	if len(text) > maxLinkSize {
		return fmt.Errorf("%d changes that are not on disk do not fit into a link", len(own))
	}
	link := f.path + pendingSuffix
	_ = f.Files.Remove(link + newSuffix) // usually there is none
	if err := f.Files.Symlink(text, link+newSuffix); err != nil {
		return err // the old link stays
	}
	if f.Files.Rename(link+newSuffix, link) == nil {
		return nil
	}
	_ = f.Files.Remove(link + newSuffix) // the errors do not matter: Symlink fails if the old link remains
	_ = f.Files.Remove(link)
	return f.Files.Symlink(text, link)
}
