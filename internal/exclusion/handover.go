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

// What could not be written yet is left for the pooler's other processes, and the later ones, in the text of a symbolic
// link. The system makes a link whole or not at all, without a lock, a byte of a file or, while it is short, a block of
// the disk: it is had while another process is stopped with the lock, beyond a limit of file sizes, and mostly on a
// full disk; not on a disk that takes no new names. All processes share one link. One that finds its changes missing
// there puts them in again, so of two that write it at once neither loses any.

const (
	pendingSuffix = ".pending"
	linkMost      = 4095 // bytes that the system takes as a link's text
	linkBase      = 36
	linkFields    = 5
)

// exchangePending takes in the changes that other processes have left, and leaves the own ones. A link whose changes
// are all on disk is removed.
func (f *File) exchangePending() {
	left := f.readPending()
	f.adopt(left)
	own, due := f.pendingCopy()
	switch {
	case len(own) == 0 && left != nil:
		f.Files.Remove(f.path + pendingSuffix)
	case len(own) > 0 && left.linkText() == own.linkText():
		f.handedOver(own)
	case len(own) > 0 && (due || left != nil):
		if f.writePending(own) == nil {
			f.handedOver(own)
		}
	}
}

// linkText writes changes as short as can be: a link of less than 60 bytes takes no block of a disk. Each is a sign for
// a ban or its end, the name, the time by the wall clock, the time since the boot when it was said and how long before
// it came to hold, all in base 36, and the first part of the boot's id.
func (all changes) linkText() string {
	var words []string
	for name, c := range all {
		sign := "-"
		if c.Banned {
			sign = "+"
		}
		boot, _, _ := strings.Cut(c.Said.Boot, "-")
		before := ""
		if age, known := c.Since.Age(c.Said); known {
			before = strconv.FormatInt(int64(age), linkBase)
		}
		words = append(words, sign+strings.Join([]string{url.QueryEscape(name), strconv.FormatInt(c.Unix, linkBase),
			strconv.FormatInt(int64(c.Said.SinceBoot), linkBase), before, boot}, ","))
	}
	slices.Sort(words)
	return strings.Join(words, " ")
}

// parseLink reads what linkText wrote, less what is none of its words. A time of another boot is left out, as it tells
// nothing.
func parseLink(text, boot string) changes {
	all := changes{}
	own, _, _ := strings.Cut(boot, "-")
	for _, word := range strings.Fields(text) {
		fields := strings.Split(word[1:], ",")
		if len(fields) != linkFields || word[0] != '+' && word[0] != '-' {
			continue
		}
		name, err := url.QueryUnescape(fields[0])
		unix, unixErr := strconv.ParseInt(fields[1], linkBase, 64)
		said, saidErr := strconv.ParseInt(fields[2], linkBase, 64)
		if err != nil || unixErr != nil || saidErr != nil {
			continue
		}
		c := change{Banned: word[0] == '+', Unix: unix}
		if own != "" && own == fields[4] {
			c.Said = clock.Stamp{Boot: boot, SinceBoot: time.Duration(said)}
			if before, err := strconv.ParseInt(fields[3], linkBase, 64); err == nil {
				c.Since = clock.Stamp{Boot: boot, SinceBoot: time.Duration(said - before)}
			}
		}
		all[name] = c
	}
	return all
}

// readPending returns what is left, nil if there is no link.
func (f *File) readPending() changes {
	text, err := f.Files.Readlink(f.path + pendingSuffix)
	if err != nil {
		return nil
	}
	present, _ := f.Stamp()
	return parseLink(text, present.Boot)
}

// adopt takes over what other processes have left, where it is later than what is known: it holds here, and this
// process writes it too.
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
	f.expect(later)
	f.publish()
}

// handedOver notes that the changes are left, if they are still all that are pending.
func (f *File) handedOver(own changes) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.handed = maps.Equal(f.pending, own)
}

// writePending leaves changes. The link is replaced in one step; where renaming fails it is made anew.
func (f *File) writePending(own changes) error {
	text := own.linkText()
	if len(text) > linkMost {
		return fmt.Errorf("%d changes that are not on disk are too long for a link", len(own))
	}
	link := f.path + pendingSuffix
	f.Files.Remove(link + newSuffix)
	if err := f.Files.Symlink(text, link+newSuffix); err != nil {
		return err // What is left there already stays.
	}
	if f.Files.Rename(link+newSuffix, link) == nil {
		return nil
	}
	f.Files.Remove(link + newSuffix)
	f.Files.Remove(link)
	return f.Files.Symlink(text, link)
}
