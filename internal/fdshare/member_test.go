package fdshare

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"golang.org/x/sys/unix"

	"capercove/internal/clock"
)

const (
	testGrant  = 384
	aloneQuota = testGrant - testGrant/reserveDivisor // of a process that runs alone
	reserve    = testGrant / reserveDivisor
)

// process is one of several processes in a test. It opens no more descriptors than its limit.
type process struct {
	*Member
	inUse int // open descriptors
	limit int // of open descriptors, as last set by Settle
}

func (p *process) settle(shuttingDown bool) error {
	return p.Settle(shuttingDown, func() int { return p.inUse },
		func(available int) { p.limit = p.inUse + max(0, available) })
}

// kill closes the file of the claim, as the system does when a process ends.
func (p *process) kill() { _ = p.ownFile.Close() }

// machine runs the processes of a test, with a wall clock that the test can step and a write function that it can make
// fail.
type machine struct {
	t         *testing.T
	dir       string
	wall      time.Time
	sinceBoot time.Duration
	started   int // number of processes
	write     writeAt
}

func newMachine(t *testing.T) *machine {
	t.Helper()
	return &machine{t: t, dir: t.TempDir(), wall: time.Unix(1_800_000_000, 0), write: (*os.File).WriteAt}
}

func (m *machine) sources(suffix string) sources {
	return sources{
		suffix: suffix,
		wall:   func() time.Time { return m.wall },
		stamp:  func() (clock.Stamp, error) { return clock.Stamp{Boot: "a", SinceBoot: m.sinceBoot}, nil },
		write:  func(file *os.File, text []byte, offset int64) (int, error) { return m.write(file, text, offset) },
	}
}

func (m *machine) start() *process {
	m.started++
	m.sinceBoot += time.Second
	joined, err := join(m.dir, "n0", testGrant, m.sources(fmt.Sprint(m.started)))
	require.NoError(m.t, err)
	started := &process{Member: joined}
	m.t.Cleanup(started.kill)
	return started
}

// failAfter returns a write function that fails after a number of bytes.
func failAfter(bytes int) writeAt {
	return func(file *os.File, text []byte, offset int64) (int, error) {
		if bytes >= len(text) {
			bytes -= len(text)
			return file.WriteAt(text, offset)
		}
		written, err := file.WriteAt(text[:bytes], offset)
		bytes = 0
		if err == nil {
			err = unix.ENOSPC
		}
		return written, err
	}
}

// A step of the wall clock between the starts of two processes does not reverse their order.
func TestWallClockStepKeepsOrderOfJoining(t *testing.T) {
	for _, step := range []time.Duration{-time.Hour, time.Hour} {
		t.Run(step.String(), func(t *testing.T) {
			host := newMachine(t)
			older := host.start()
			older.inUse = 20
			require.NoError(t, older.settle(false))
			host.wall = host.wall.Add(step)
			younger := host.start()
			younger.inUse = 16
			for range 3 {
				require.NoError(t, younger.settle(false))
				require.NoError(t, older.settle(false))
			}
			require.Equal(t, 20+reserve, older.Quota(), "the older process shrinks")
			require.Equal(t, testGrant-older.Quota(), younger.Quota(), "the younger process grows")
		})
	}
}

// If the write of a claim fails after any number of bytes, others read a quota that covers the limit of the process.
// Together with the quota of the other process, it stays within the grant.
func TestIncompleteClaimWriteKeepsLimitsWithinGrant(t *testing.T) {
	const maxClaimBytes = 180
	for cut := range copies*copySize + 1 {
		if at := cut % copySize; at > maxClaimBytes && at < bodySize { // only spaces are missing
			continue
		}
		for _, earlierClaim := range []int{0, 250} { // 0: the first claim is written; otherwise an earlier one shrinks
			host := newMachine(t)
			older := host.start()
			older.inUse = 20
			if earlierClaim > 0 {
				require.NoError(t, older.settle(false))
			}
			younger := host.start()
			require.NoError(t, younger.settle(false))
			host.write = failAfter(cut)
			err := older.settle(false)
			require.Equal(t, cut < copies*copySize, err != nil)
			read, alive, err := readClaim(older.ownFile.Name(), testGrant)
			require.NoError(t, err)
			require.True(t, alive)
			require.GreaterOrEqual(t, read.Quota, older.limit, "cut %d", cut)
			require.GreaterOrEqual(t, older.limit, older.inUse)
			require.LessOrEqual(t, read.Quota+younger.Quota(), testGrant, "cut %d", cut)
		}
	}
}

// A claim of an older version is read. An incomplete claim counts as the quota of a process that runs alone. An older
// version can read a new claim.
func TestClaimOfOlderVersionIsRead(t *testing.T) {
	text, err := json.Marshal(struct {
		Born        int64
		Uses, Takes int
		Leaving     bool
	}{1, 90, 138, false})
	require.NoError(t, err)
	complete := append(text, '\n')
	want := Claim{JoinedUnixNano: 1, InUse: 90, Quota: 138}
	require.Equal(t, want, decode(complete, testGrant))
	overwritten := append(complete, "336}\n"...)
	require.Equal(t, want, decode(overwritten, testGrant), "written over a longer claim")
	for cut := 1; cut < len(text); cut++ {
		require.Equal(t, aloneQuota, decode(text[:cut], testGrant).Quota, "cut %d", cut)
	}
	require.Equal(t, reserve, decode(nil, testGrant).Quota, "no claim written yet")
	record, err := encode(Claim{JoinedUnixNano: 1, Quota: 138, Joined: clock.Stamp{Boot: "a", SinceBoot: 7}})
	require.NoError(t, err)
	require.Len(t, record, copySize)
	old := struct{ Takes int }{}
	require.NoError(t, json.Unmarshal(record[:bodySize], &old), "an older version reads the record")
	require.Equal(t, 138, old.Takes)
}

// A process whose first claim cannot be written has the reserve as its quota. The quota grows once the disk works.
func TestProcessHasReserveUntilItsClaimIsWritten(t *testing.T) {
	host := newMachine(t)
	older := host.start()
	older.inUse = 20
	require.NoError(t, older.settle(false))
	host.write = failAfter(0)
	younger := host.start()
	for range 3 {
		require.ErrorIs(t, younger.settle(false), unix.ENOSPC)
		require.Equal(t, reserve, younger.limit)
		require.ErrorIs(t, older.settle(false), unix.ENOSPC)
		require.Equal(t, aloneQuota, older.limit, "the older process keeps its quota")
	}
	host.write = (*os.File).WriteAt
	require.NoError(t, younger.settle(false))
	host.write = failAfter(0)
	require.ErrorIs(t, older.settle(false), unix.ENOSPC)
	require.Equal(t, 20+reserve, older.limit, "the limit shrinks though the claim cannot be written")
	require.ErrorIs(t, younger.settle(false), unix.ENOSPC)
	require.Equal(t, reserve, younger.limit, "the limit stays until the other's claim shrinks on disk")
	host.write = (*os.File).WriteAt
	require.NoError(t, older.settle(false))
	require.NoError(t, younger.settle(false))
	require.Equal(t, testGrant-20-reserve, younger.limit)
}

// failRandomly returns a write function that fails after a random number of bytes whenever fails returns true.
func failRandomly(random *rand.Rand, fails func() bool) writeAt {
	return func(file *os.File, text []byte, offset int64) (int, error) {
		if !fails() {
			return file.WriteAt(text, offset)
		}
		return failAfter(random.IntN(2)*random.IntN(len(text)))(file, text, offset)
	}
}

// Processes start, use more or fewer descriptors, shut down or end in random order while writes fail. Together their
// limits never exceed the grant, and no limit is below the descriptors in use. A process that runs alone has the grant
// but the reserve at its first step after the disk works.
func TestLimitsStayWithinGrantWhileWritesFail(t *testing.T) {
	const maxProcesses, steps, seeds = 4, 250, 30
	for seed := range uint64(seeds) {
		random := rand.New(rand.NewPCG(seed, 2))
		host := newMachine(t)
		broken := false
		host.write = failRandomly(random, func() bool { return broken && random.IntN(3) > 0 })
		var all [maxProcesses]*process
		for range steps {
			i := random.IntN(maxProcesses)
			switch event := random.IntN(12); {
			case event == 0:
				broken = !broken
			case all[i] == nil:
				all[i] = host.start()
				_ = all[i].settle(false)
			case event == 1:
				all[i].kill()
				all[i] = nil
			case event < 6:
				all[i].inUse = random.IntN(all[i].limit + 1)
			default:
				_ = all[i].settle(event == 6)
			}
			sum := 0
			for _, p := range all {
				if p != nil {
					require.LessOrEqual(t, p.inUse, p.limit, "seed %d", seed)
					sum += p.limit
				}
			}
			require.LessOrEqual(t, sum, testGrant, "seed %d", seed)
		}
		broken = false
		last := host.start()
		for _, p := range all {
			if p != nil {
				p.kill()
			}
		}
		require.NoError(t, last.settle(false), "seed %d", seed)
		require.Equal(t, aloneQuota, last.limit, "seed %d", seed)
		last.kill()
	}
}

// A process that is stopped while it holds the lock does not prevent another process from starting with the reserve.
func TestStartDoesNotWaitForHeldLock(t *testing.T) {
	host := newMachine(t)
	lock, err := os.OpenFile(filepath.Join(host.dir, "capercove-share-n0.lock"), os.O_CREATE|os.O_RDWR, 0o600)
	require.NoError(t, err)
	defer func() { _ = lock.Close() }()
	require.NoError(t, unix.Flock(int(lock.Fd()), unix.LOCK_EX))
	started := make(chan *process, 1)
	go func() { started <- host.start() }()
	select {
	case process := <-started:
		require.ErrorIs(t, process.settle(false), ErrBusy)
		require.Equal(t, reserve, process.limit)
	case <-time.After(20 * time.Second):
		require.Fail(t, "the process waits for the lock")
	}
}

// A file that is removed before it is read counts as the file of a dead process, not as an error.
func TestRemovedFileIsNoClaim(t *testing.T) {
	_, alive, err := readClaim(filepath.Join(t.TempDir(), "none"), testGrant)
	require.NoError(t, err)
	require.False(t, alive)
}

// A process whose file has been removed, for example by a program that removes old files, creates the file again in its
// next step.
func TestRemovedOwnFileIsCreatedAgain(t *testing.T) {
	host := newMachine(t)
	own, other := host.start(), host.start()
	require.NoError(t, own.settle(false))
	require.NoError(t, os.Remove(own.ownFile.Name()))
	require.NoError(t, own.settle(false))
	claims, err := other.readOthers()
	require.NoError(t, err)
	require.Len(t, claims, 1)
	require.Equal(t, own.Quota(), claims[0].Quota)
}

// A process cannot join under the process number of a living one, for example one in another container. The claim of
// the living process stays.
func TestJoinRejectsNumberOfLivingProcess(t *testing.T) {
	host := newMachine(t)
	own := host.start()
	require.NoError(t, own.settle(false))
	_, err := join(host.dir, "n0", testGrant, host.sources("1"))
	require.ErrorIs(t, err, unix.EWOULDBLOCK)
	claim, alive, err := readClaim(own.ownFile.Name(), testGrant)
	require.NoError(t, err)
	require.True(t, alive)
	require.Equal(t, own.Quota(), claim.Quota)
}

// Repeated incomplete writes leave one copy valid: other processes can always read the quota of the process.
func TestOneCopyStaysValid(t *testing.T) {
	const written = 60 // bytes before the failure
	host := newMachine(t)
	older := host.start()
	older.inUse = 20
	require.NoError(t, older.settle(false))
	require.NoError(t, host.start().settle(false))
	host.write = failAfter(copySize + written)
	require.Error(t, older.settle(false), "the second copy is incomplete")
	for range 3 {
		older.inUse-- // the claim differs each time
		host.write = failAfter(written)
		require.Error(t, older.settle(false))
		claim, _, err := readClaim(older.ownFile.Name(), testGrant)
		require.NoError(t, err)
		require.Equal(t, 20+reserve, claim.Quota)
	}
}
