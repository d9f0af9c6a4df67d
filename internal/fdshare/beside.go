package fdshare

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/url"
	"os"
	"path/filepath"
	"strings"
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"
)

// Beside is a process's place among those of its pooler. Only Takes may be called beside another call.
type Beside struct {
	path  string // of all files, less what tells them apart
	grant int
	own   *os.File // locked for as long as the process lives: a claim whose file is not locked is nobody's
	claim Claim
	takes atomic.Int64
}

// Join takes a place in the directory for a process of the pooler; it claims nothing yet.
func Join(dir, pooler string, grant int) (*Beside, error) {
	b := &Beside{path: filepath.Join(dir, "capercove-share-"+url.PathEscape(pooler)+"."), grant: grant,
		claim: Claim{Born: time.Now().UnixNano()}}
	lock, err := b.lock(unix.LOCK_EX) // Against another that takes the new file, not locked yet, for one left behind.
	if err != nil {
		return nil, err
	}
	defer lock.Close()
	if b.own, err = os.OpenFile(fmt.Sprint(b.path, os.Getpid()), os.O_CREATE|os.O_TRUNC|os.O_RDWR, 0o600); err != nil {
		return nil, err
	}
	if err := unix.Flock(int(b.own.Fd()), unix.LOCK_EX|unix.LOCK_NB); err != nil {
		b.own.Close()
		return nil, fmt.Errorf("%s: %w", b.own.Name(), err)
	}
	return b, nil
}

// lock takes the lock that all steps are made under. It ends with the file.
func (b *Beside) lock(how int) (*os.File, error) {
	f, err := os.OpenFile(b.path+"lock", os.O_CREATE|os.O_RDWR, 0o600)
	if err != nil {
		return nil, err
	}
	if err := unix.Flock(int(f.Fd()), how); err != nil {
		f.Close()
		return nil, fmt.Errorf("%s: %w", f.Name(), err)
	}
	return f, nil
}

// Takes is what the process may have open, as last settled.
func (b *Beside) Takes() int { return int(b.takes.Load()) }

// Settle makes one step: it looks at the other claims and writes its own. Uses counts what is open, and hold lets no more be
// opened beyond that than it is given: of a smaller part before it is written, of a larger one after. While another
// process holds the lock, all stays as it is and ErrBusy is returned.
func (b *Beside) Settle(leaving bool, uses func() int, hold func(room int)) error {
	lock, err := b.lock(unix.LOCK_EX | unix.LOCK_NB) // Against waiting for one that has been stopped while it held it.
	if errors.Is(err, unix.EWOULDBLOCK) {
		return ErrBusy
	}
	if err != nil {
		return err
	}
	defer lock.Close()
	others, err := b.others()
	if err != nil {
		return err
	}
	claim := b.claim
	claim.Uses, claim.Leaving = uses(), leaving
	part := Part(b.grant, claim, others)
	if part < claim.Takes {
		hold(part - claim.Uses)
		claim.Uses = uses() // what was opened in between is not given back either
		part = max(part, min(claim.Takes, claim.Uses))
	}
	claim.Takes = part
	if err := b.write(claim); err != nil {
		return err
	}
	b.claim = claim
	b.takes.Store(int64(part))
	hold(part - claim.Uses)
	return nil
}

// ErrBusy tells that another process is making its step.
var ErrBusy = errors.New("another process is settling its share")

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
		f, err := os.Open(path)
		if err != nil {
			return nil, err
		}
		if unix.Flock(int(f.Fd()), unix.LOCK_SH|unix.LOCK_NB) == nil {
			f.Close()
			os.Remove(path)
			continue
		}
		c := Claim{}
		err = json.NewDecoder(f).Decode(&c)
		f.Close()
		if err != nil { // It has joined, and is yet to make its first step; or another version wrote it.
			c = Claim{}
		}
		claims = append(claims, c)
	}
	return claims, nil
}

// write replaces the own claim. Nobody reads it meanwhile, as the lock is held.
func (b *Beside) write(c Claim) error {
	text, err := json.Marshal(c)
	if err != nil {
		return err
	}
	if _, err := b.own.WriteAt(append(text, '\n'), 0); err != nil {
		return err
	}
	return b.own.Truncate(int64(len(text) + 1))
}
