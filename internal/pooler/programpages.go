package pooler

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"os"
	"regexp"
	"strconv"

	"golang.org/x/sys/unix"
)

// smapsPath is the file in which the kernel reports the mappings of this process, see proc(5).
const smapsPath = "/proc/self/smaps"

var (
	// smapsReadOnlyFile begins the report on a private mapping of a file that cannot be written to, with its addresses.
	smapsReadOnlyFile = regexp.MustCompile(`^([0-9a-f]+)-([0-9a-f]+) r-[-x]p \S+ \S+ \d+ +/`)
	// smapsMapping begins the report on any mapping.
	smapsMapping = regexp.MustCompile(`^[0-9a-f]+-[0-9a-f]+ `)
	// smapsUnmodified is in the report on a mapping none of whose pages differ from the file.
	smapsUnmodified = regexp.MustCompile(`^Anonymous: +0 kB`)
)

// mapping is a range of this process's addresses.
type mapping struct {
	start, end uintptr
}

// releaseProgramPages unmaps the pages of the program's file and of libraries, so that they are not resident any more.
// The kernel maps those again that are used. Much of the program runs only at the start.
func releaseProgramPages() error {
	smaps, err := os.Open(smapsPath)
	if err != nil {
		return err
	}
	defer func() { _ = smaps.Close() }() // it was only read
	mappings, err := unmodifiedFileMappings(smaps)
	for _, pages := range mappings {
		err = errors.Join(err, pages.release())
	}
	return err
}

// release unmaps the pages of a mapping of a file. Pages that differ from the file would lose their contents.
func (pages mapping) release() error {
	_, _, failure := unix.Syscall(unix.SYS_MADVISE, pages.start, pages.end-pages.start, unix.MADV_DONTNEED)
	if failure != 0 {
		return fmt.Errorf("madvise: %w", failure)
	}
	return nil
}

// unmodifiedFileMappings reads a smaps report and returns the mappings of files that cannot be written to and whose
// pages are all as in the file. The dynamic linker modifies pages of some mappings before it makes them read-only.
func unmodifiedFileMappings(smaps io.Reader) (unmodified []mapping, err error) {
	var current mapping // of a file, and read-only; zero: the present report is on another one
	for lines := bufio.NewScanner(smaps); ; {
		if !lines.Scan() {
			return unmodified, lines.Err()
		}
		line := lines.Text()
		switch {
		case smapsMapping.MatchString(line):
			if current, err = parseReadOnlyFile(line); err != nil {
				return nil, err
			}
		case current != (mapping{}) && smapsUnmodified.MatchString(line):
			unmodified = append(unmodified, current)
		}
	}
}

// parseReadOnlyFile returns the addresses of a mapping by the first line of its report. They are zero if it is not a
// read-only mapping of a file.
func parseReadOnlyFile(line string) (pages mapping, err error) {
	addresses := smapsReadOnlyFile.FindStringSubmatch(line)
	if addresses == nil {
		return mapping{}, nil
	}
	start, startErr := strconv.ParseUint(addresses[1], 16, strconv.IntSize)
	end, endErr := strconv.ParseUint(addresses[2], 16, strconv.IntSize)
	return mapping{start: uintptr(start), end: uintptr(end)}, errors.Join(startErr, endErr)
}
