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
	// joinAttempts bounds the attempts to create the claim's file. An attempt fails while another process reads the
	// file, or removes it as the file of a dead process.
	joinAttempts = 20
	joinPause    = 5 * time.Millisecond // between two attempts
	fileMode     = 0o600
	lockSuffix   = "lock" // of the file whose lock serializes the steps of all processes
)

// Member is the membership of this process among the processes of its pooler. Quota is safe for concurrent use; Settle
// is not.
type Member struct {
	prefix  string // of the paths of all files of the pooler
	suffix  string // of the path of the own claim's file
	grant   int
	write   writeAt
	ownFile *os.File // the own claim's file, locked until the process ends: a dead process's file has no lock
	stored  [copies]storedCopy
	claim   Claim // the own claim as written last
	limited bool  // setLimit has been called
	quota   atomic.Int64
}

// storedCopy describes a copy of the own claim on disk.
type storedCopy struct {
	valid    bool // its last write succeeded
	minQuota int  // the smallest quota that a process of any version may read from it
}

// writeAt writes to a file at an offset. Tests pass a function that fails.
type writeAt func(f *os.File, text []byte, offset int64) (int, error)

// sources are the identity, the clocks and the file writes that a process gets from its system. Tests pass their own.
type sources struct {
	suffix string // of the own claim's file, unique among living processes
	wall   func() time.Time
	stamp  clock.StampSource
	write  writeAt
}

// Join makes this process a member of the pooler's processes, which exchange claims through files in dir. grant is the
// number of descriptors for all of them. Join writes no claim yet, and does not wait for the steps of other processes.
// An error means that the claim's file cannot be created or locked.
func Join(dir, pooler string, grant int) (*Member, error) {
	system := sources{suffix: fmt.Sprint(os.Getpid()), wall: clock.Wall, stamp: clock.Now, write: (*os.File).WriteAt}
	return join(dir, pooler, grant, system)
}

// join is Join with the sources as an argument.
func join(dir, pooler string, grant int, system sources) (*Member, error) {
	stamp, err := system.stamp()
	if err != nil {
		stamp = clock.Stamp{} // JoinedUnixNano decides
	}
	joined := system.wall().UnixNano() //nolint:forbidigo // an injected clock; older versions read the Unix time
	member := &Member{
		prefix: filepath.Join(dir, "capercove-share-"+url.PathEscape(pooler)+"."),
		suffix: system.suffix,
		grant:  grant,
		write:  system.write,
		claim:  Claim{JoinedUnixNano: joined, Joined: stamp},
	}
	member.quota.Store(int64(grant / reserveDivisor))
	if err := member.openOwnFile(); err != nil {
		return nil, err
	}
	return member, nil
}

// openOwnFile creates the own claim's file, without a claim in it.
func (member *Member) openOwnFile() (err error) {
	if member.ownFile, err = member.createOwnFile(); err != nil {
		return err
	}
	for i := range member.stored {
		member.stored[i] = storedCopy{minQuota: member.grant / reserveDivisor}
	}
	return nil
}

// createOwnFile creates the own claim's file, empty and locked.
func (member *Member) createOwnFile() (*os.File, error) {
	var err error
	for range joinAttempts {
		var file *os.File
		if file, err = os.OpenFile(member.prefix+member.suffix, os.O_CREATE|os.O_RDWR, fileMode); err != nil {
			return nil, err
		}
		err = filelock.Acquire(file, unix.LOCK_EX, 0)
		if err == nil && !isCurrent(file) { // another process has removed it as a dead process's
			err = fs.ErrNotExist
		}
		if err == nil {
			err = file.Truncate(0)
		}
		if err == nil {
			return file, nil
		}
		err = fmt.Errorf("%s: %w", file.Name(), err)
		_ = file.Close() // nothing was written to it
		time.Sleep(joinPause)
	}
	return nil, err
}

// lock acquires the lock that serializes the steps of all processes. Closing the file releases the lock. The file is
// opened for reading only, because the directory may have become read-only. There is a single attempt, because the
// process that holds the lock may be stopped.
func (member *Member) lock() (*os.File, error) {
	file, err := os.OpenFile(member.prefix+lockSuffix, os.O_CREATE|os.O_RDONLY, fileMode)
	if err != nil {
		return nil, err
	}
	err = filelock.Acquire(file, unix.LOCK_EX, 0)
	if errors.Is(err, filelock.ErrBusy) || err == nil && !isCurrent(file) {
		err = ErrBusy
	}
	if err != nil {
		_ = file.Close() // opened for reading only
		return nil, err
	}
	return file, nil
}

// Quota returns how many descriptors the process may have open. Before the first Settle it is the reserve.
func (member *Member) Quota() int { return int(member.quota.Load()) }

// Settle makes one step: it reads the claims of the other processes, computes the quota of this process and writes its
// claim. countOpen returns the number of open descriptors. setLimit limits how many more may be opened; it is called
// before a smaller quota is written, and after a larger quota is written.
//
// Settle returns ErrBusy and leaves the quota as it is while another process holds the lock. After other errors, such
// as a failure to write the claim, the quota is the previous one, or the new one if that is smaller; the claims that
// other processes read still cover it. The first Settle calls setLimit even if it fails.
func (member *Member) Settle(shuttingDown bool, countOpen func() int, setLimit func(available int)) error {
	err := member.step(shuttingDown, countOpen, setLimit)
	if err != nil && !member.limited { // the process has no limit yet
		setLimit(member.Quota() - countOpen())
	}
	member.limited = true
	return err
}

// step is Settle without the limit that a failed first call sets.
func (member *Member) step(shuttingDown bool, countOpen func() int, setLimit func(available int)) error {
	lock, err := member.lock()
	if err != nil {
		return err
	}
	defer func() { _ = lock.Close() }() // releases the lock even if it returns an error
	if err := member.ensureOwnFile(); err != nil {
		return err
	}
	others, err := member.readOthers()
	if err != nil {
		return err
	}
	claim := member.claim
	claim.InUse, claim.ShuttingDown = countOpen(), shuttingDown
	quota := ComputeQuota(member.grant, claim, others)
	if quota < member.Quota() {
		setLimit(quota - claim.InUse)
		claim.InUse = countOpen() // includes descriptors opened before the limit, which are not closed either
		quota = max(quota, min(claim.Quota, claim.InUse))
	}
	claim.Quota = quota
	err = member.writeClaim(claim)
	if err != nil {
		quota = min(quota, member.securedQuota())
		claim.Quota = quota
		if member.stored[0].valid || member.stored[1].valid {
			claim.Quota = member.securedQuota()
		}
	}
	member.claim, member.limited = claim, true
	member.quota.Store(int64(quota))
	setLimit(quota - claim.InUse)
	return err
}

// ErrBusy is returned by Settle while another process makes its step.
var ErrBusy = errors.New("another process is settling its quota")

// ensureOwnFile creates the own claim's file again if it has been removed, for example by a program that cleans up
// directories. Other processes would not see the claim otherwise.
func (member *Member) ensureOwnFile() error {
	if isCurrent(member.ownFile) {
		return nil
	}
	old := member.ownFile
	if err := member.openOwnFile(); err != nil {
		member.ownFile = old
		return err
	}
	_ = old.Close() // the file is removed
	return nil
}

// globEscaper escapes a path for use in a pattern of filepath.Glob.
var globEscaper = strings.NewReplacer("*", `\*`, "?", `\?`, "[", `\[`, `\`, `\\`)

// readOthers returns the claims of the other living processes. It removes the files of dead processes.
func (member *Member) readOthers() (claims []Claim, err error) {
	paths, err := filepath.Glob(globEscaper.Replace(member.prefix) + "*")
	if err != nil {
		return nil, err
	}
	for _, path := range paths {
		if path == member.ownFile.Name() || path == member.prefix+lockSuffix {
			continue
		}
		claim, alive, err := readClaim(path, member.grant)
		if err != nil {
			return nil, err
		}
		if alive {
			claims = append(claims, claim)
		}
	}
	return claims, nil
}

// readClaim reads the claim of another process. If that process is dead, it removes the file.
func readClaim(path string, grant int) (claim Claim, alive bool, err error) {
	file, err := os.Open(path)
	if errors.Is(err, fs.ErrNotExist) { // removed after the directory was read
		return Claim{}, false, nil
	}
	if err != nil {
		return Claim{}, false, err
	}
	defer func() { _ = file.Close() }() // opened for reading only
	if filelock.Acquire(file, unix.LOCK_SH, 0) == nil {
		// The file is still locked here: a process that joins under this name retries and creates a new file. If the
		// removal fails, the next step tries again.
		_ = os.Remove(path)
		return Claim{}, false, nil
	}
	text, err := io.ReadAll(io.LimitReader(file, copies*copySize))
	if err != nil {
		return Claim{Quota: grant - grant/reserveDivisor}, true, nil // the largest quota that one process can have
	}
	return decode(text, grant), true, nil
}

// writeClaim replaces the two copies of the own claim, one after the other. If a copy cannot be written, the other copy
// stays as it is. No process reads the copies meanwhile, because the caller holds the lock.
func (member *Member) writeClaim(claim Claim) error {
	text, err := encode(claim)
	if err != nil {
		return err
	}
	order := [copies]int{1, 0} // older versions read the first copy only: it is written last
	if !member.stored[0].valid && member.stored[1].valid {
		order = [copies]int{0, 1} // the only valid copy is written last
	}
	for _, i := range order {
		n, err := member.write(member.ownFile, text, int64(i*copySize))
		if n > 0 {
			member.stored[i] = storedCopy{valid: err == nil, minQuota: min(member.stored[i].minQuota, claim.Quota)}
		}
		if err != nil {
			return err
		}
		member.stored[i].minQuota = claim.Quota
	}
	return nil
}

// securedQuota returns the smallest quota that another process may count for this process, whichever copy it reads.
func (member *Member) securedQuota() int {
	return min(member.stored[0].minQuota, member.stored[1].minQuota)
}

// isCurrent reports whether the directory entry of an open file's name still refers to that file.
func isCurrent(file *os.File) bool {
	opened, err := file.Stat()
	if err != nil {
		return false
	}
	found, err := os.Stat(file.Name())
	return err == nil && os.SameFile(opened, found)
}
