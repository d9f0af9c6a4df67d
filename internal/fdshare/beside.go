package fdshare

import (
	"errors"
	"fmt"
	"io"
	"io/fs"
	"net/url"
	"os"
	"path/filepath"
	"strings"
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"

	"capercove/internal/clock"
	"capercove/internal/filelock"
)

const (
	joinTries = 20 // to get a file of one's own while others look at it, or remove one that was left behind
	joinPause = 5 * time.Millisecond
)

// Beside is a process's place among those of its pooler. Only Takes may be called beside another call.
type Beside struct {
	path   string // of all files, less what tells them apart
	suffix string // of the own claim's file
	grant  int
	write  writeAt
	own    *os.File // locked for as long as the process lives: a claim whose file is not locked is nobody's
	stored [copies]storedCopy
	claim  Claim // as written last
	told   bool  // hold has been called
	takes  atomic.Int64
}

// storedCopy is what this process knows of one copy of its claim on disk.
type storedCopy struct {
	whole bool // it is not cut off by a write that failed half way
	least int  // that it may say the process takes, as read by any version
}

// writeAt writes to a file. Tests hand in one that fails.
type writeAt func(f *os.File, text []byte, offset int64) (int, error)

// sources are what a process is told by its system.
type sources struct {
	suffix string // no other living process has it
	wall   func() time.Time
	stamp  clock.StampSource
	write  writeAt
}

// Join takes a place in the directory for a process of the pooler; it claims nothing yet. It waits for no other
// process.
func Join(dir, pooler string, grant int) (*Beside, error) {
	system := sources{suffix: fmt.Sprint(os.Getpid()), wall: clock.Wall, stamp: clock.Now, write: (*os.File).WriteAt}
	return join(dir, pooler, grant, system)
}

func join(dir, pooler string, grant int, s sources) (*Beside, error) {
	stamp, err := s.stamp()
	if err != nil {
		stamp = clock.Stamp{} // Born decides
	}
	b := &Beside{
		path:   filepath.Join(dir, "capercove-share-"+url.PathEscape(pooler)+"."),
		suffix: s.suffix,
		grant:  grant,
		write:  s.write,
		claim:  Claim{Born: s.wall().UnixNano(), Joined: stamp},
	}
	b.takes.Store(int64(grant / spare))
	if err := b.open(); err != nil {
		return nil, err
	}
	return b, nil
}

// open makes the own claim's file, with no claim in it.
func (b *Beside) open() (err error) {
	if b.own, err = b.create(); err != nil {
		return err
	}
	for i := range b.stored {
		b.stored[i] = storedCopy{least: b.grant / spare}
	}
	return nil
}

// create makes the own claim's file, empty and locked.
func (b *Beside) create() (*os.File, error) {
	var err error
	for range joinTries {
		var f *os.File
		if f, err = os.OpenFile(b.path+b.suffix, os.O_CREATE|os.O_RDWR, 0o600); err != nil {
			return nil, err
		}
		err = filelock.Acquire(f, unix.LOCK_EX, 0)
		if err == nil && !named(f) { // another took it for one left behind
			err = fs.ErrNotExist
		}
		if err == nil {
			err = f.Truncate(0)
		}
		if err == nil {
			return f, nil
		}
		err = fmt.Errorf("%s: %w", f.Name(), err)
		f.Close()
		time.Sleep(joinPause)
	}
	return nil, err
}

// lock takes the lock that all steps are made under. It ends with the file. A folder that has become read-only keeps
// nobody from it.
func (b *Beside) lock() (*os.File, error) {
	f, err := os.OpenFile(b.path+"lock", os.O_CREATE|os.O_RDONLY, 0o600)
	if err != nil {
		return nil, err
	}
	err = filelock.Acquire(f, unix.LOCK_EX, 0) // Against waiting for one that has been stopped while it held it.
	if errors.Is(err, filelock.ErrBusy) || err == nil && !named(f) {
		f.Close()
		return nil, ErrBusy
	}
	if err != nil {
		f.Close()
		return nil, err
	}
	return f, nil
}

// Takes is what the process may have open, as last settled. Before that it is the spare part.
func (b *Beside) Takes() int { return int(b.takes.Load()) }

// Settle makes one step: it looks at the other claims and writes its own. Uses counts what is open, and hold lets no
// more be opened beyond that than it is given: of a smaller part before it is written, of a larger one after. While
// another process holds the lock, all stays as it is and ErrBusy is returned. Other errors leave a part that the
// claims of all still cover: what the process had, or the smaller one that it was to have.
func (b *Beside) Settle(leaving bool, uses func() int, hold func(room int)) error {
	err := b.step(leaving, uses, hold)
	if err != nil && !b.told { // nothing binds the process yet
		hold(b.Takes() - uses())
	}
	b.told = true
	return err
}

func (b *Beside) step(leaving bool, uses func() int, hold func(room int)) error {
	lock, err := b.lock()
	if err != nil {
		return err
	}
	defer lock.Close()
	if err := b.stay(); err != nil {
		return err
	}
	others, err := b.others()
	if err != nil {
		return err
	}
	claim := b.claim
	claim.Uses, claim.Leaving = uses(), leaving
	part := Part(b.grant, claim, others)
	if part < b.Takes() {
		hold(part - claim.Uses)
		claim.Uses = uses() // what was opened in between is not given back either
		part = max(part, min(claim.Takes, claim.Uses))
	}
	claim.Takes = part
	err = b.put(claim)
	if err != nil {
		part = min(part, b.secured())
		claim.Takes = part
		if b.stored[0].whole || b.stored[1].whole {
			claim.Takes = b.secured()
		}
	}
	b.claim, b.told = claim, true
	b.takes.Store(int64(part))
	hold(part - claim.Uses)
	return err
}

// ErrBusy tells that another process is making its step.
var ErrBusy = errors.New("another process is settling its share")

// stay makes the own claim's file anew if it has been removed, as by a program that clears folders: the others see none
// then.
func (b *Beside) stay() error {
	if named(b.own) {
		return nil
	}
	old := b.own
	if err := b.open(); err != nil {
		b.own = old
		return err
	}
	old.Close()
	return nil
}

// others are the claims of the other processes that live. What the dead have left behind is removed.
func (b *Beside) others() (claims []Claim, err error) {
	paths, err := filepath.Glob(strings.NewReplacer("*", `\*`, "?", `\?`, "[", `\[`, `\`, `\\`).Replace(b.path) + "*")
	if err != nil {
		return nil, err
	}
	for _, path := range paths {
		if path == b.own.Name() || path == b.path+"lock" {
			continue
		}
		c, lives, err := look(path, b.grant)
		if err != nil {
			return nil, err
		}
		if lives {
			claims = append(claims, c)
		}
	}
	return claims, nil
}

// look reads another's claim, and removes it if its process is dead.
func look(path string, grant int) (c Claim, lives bool, err error) {
	f, err := os.Open(path)
	if errors.Is(err, fs.ErrNotExist) { // it has just been removed
		return Claim{}, false, nil
	}
	if err != nil {
		return Claim{}, false, err
	}
	defer f.Close()
	if filelock.Acquire(f, unix.LOCK_SH, 0) == nil {
		os.Remove(path) // still locked: a process that joins under this name waits, and makes one anew
		return Claim{}, false, nil
	}
	text, err := io.ReadAll(io.LimitReader(f, copies*copySize))
	if err != nil {
		return Claim{Takes: grant - grant/spare}, true, nil
	}
	return decode(text, grant), true, nil
}

// put replaces the own claim, copy by copy. While one cannot be written, the other stays as it is. Nobody reads it
// meanwhile, as the lock is held.
func (b *Beside) put(c Claim) error {
	text, err := encode(c)
	if err != nil {
		return err
	}
	order := [copies]int{1, 0} // older versions read the first: it changes last
	if !b.stored[0].whole && b.stored[1].whole {
		order = [copies]int{0, 1}
	}
	for _, i := range order {
		n, err := b.write(b.own, text, int64(i*copySize))
		if n > 0 {
			b.stored[i] = storedCopy{whole: err == nil, least: min(b.stored[i].least, c.Takes)}
		}
		if err != nil {
			return err
		}
		b.stored[i].least = c.Takes
	}
	return nil
}

// secured is what every process surely counts for this one, whichever copy it reads.
func (b *Beside) secured() int { return min(b.stored[0].least, b.stored[1].least) }

// named tells whether a file is still the one that its name stands for.
func named(f *os.File) bool {
	open, err := f.Stat()
	if err != nil {
		return false
	}
	found, err := os.Stat(f.Name())
	return err == nil && os.SameFile(open, found)
}
