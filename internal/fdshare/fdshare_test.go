package fdshare_test

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"capercove/internal/clock"
	"capercove/internal/fdshare"
)

// grant is the number of descriptors of all processes together.
const grant = 384

// joined returns the stamp of a process that joined at a time since the boot.
func joined(boot string, sinceBoot time.Duration) clock.Stamp {
	return clock.Stamp{Boot: boot, SinceBoot: sinceBoot}
}

// quotaCase has the claims of a process and of the others, and the quota that the process gets.
type quotaCase struct {
	name   string
	own    fdshare.Claim
	others []fdshare.Claim
	want   int
}

// Unix times at which two processes joined.
const (
	older   = int64(1)
	younger = int64(2)
)

func TestQuotaFollowsFromClaims(t *testing.T) {
	for _, test := range []quotaCase{
		{"alone: all but the reserve for the next process", fdshare.Claim{InUse: 20}, nil, 336},
		{"alone, with nearly all in use", fdshare.Claim{InUse: 330, Quota: 336}, nil, 336},
		{
			"the younger beside an older one that has not seen it",
			fdshare.Claim{JoinedUnixNano: younger, InUse: 16},
			[]fdshare.Claim{{JoinedUnixNano: older, InUse: 90, Quota: 336}},
			48,
		},
		{
			"the older keeps the descriptors in use and a reserve",
			fdshare.Claim{JoinedUnixNano: older, InUse: 90, Quota: 336},
			[]fdshare.Claim{{JoinedUnixNano: younger, InUse: 16, Quota: 48}},
			138,
		},
		{
			"the older keeps all descriptors in use",
			fdshare.Claim{JoinedUnixNano: older, InUse: 330, Quota: 336},
			[]fdshare.Claim{{JoinedUnixNano: younger, InUse: 48, Quota: 48}},
			336,
		},
		{
			"the younger gets the descriptors that the older has released",
			fdshare.Claim{JoinedUnixNano: younger, InUse: 20, Quota: 48},
			[]fdshare.Claim{{JoinedUnixNano: older, InUse: 90, Quota: 138}},
			246,
		},
		{
			"a process that shuts down",
			fdshare.Claim{JoinedUnixNano: older, InUse: 40, Quota: 138, ShuttingDown: true},
			[]fdshare.Claim{{JoinedUnixNano: younger, InUse: 60, Quota: 246}},
			64,
		},
		{
			"the younger beside an older one that shuts down",
			fdshare.Claim{JoinedUnixNano: younger, InUse: 60, Quota: 246},
			[]fdshare.Claim{{JoinedUnixNano: older, InUse: 40, Quota: 64, ShuttingDown: true}},
			320,
		},
		{
			"the others claim the whole grant",
			fdshare.Claim{JoinedUnixNano: 3, InUse: 10},
			[]fdshare.Claim{{InUse: 200, Quota: 200}, {InUse: 184, Quota: 184}},
			0,
		},
	} {
		t.Run(test.name, func(t *testing.T) {
			require.Equal(t, test.want, fdshare.ComputeQuota(grant, test.own, test.others))
		})
	}
}

// The stamps decide which of two processes is older. If one process has no stamp, or the stamps are of two boots, the
// wall clock decides.
func TestStampsOrderProcessesAfterClockSteps(t *testing.T) {
	for _, test := range []quotaCase{
		{
			"the younger after a step back of the wall clock",
			fdshare.Claim{JoinedUnixNano: older, InUse: 20, Quota: 48, Joined: joined("a", 2)},
			[]fdshare.Claim{{JoinedUnixNano: younger, InUse: 90, Quota: 138, Joined: joined("a", 1)}},
			246,
		},
		{
			"the older after a step back of the wall clock",
			fdshare.Claim{JoinedUnixNano: younger, InUse: 90, Quota: 336, Joined: joined("a", 1)},
			[]fdshare.Claim{{JoinedUnixNano: older, InUse: 16, Quota: 48, Joined: joined("a", 2)}},
			138,
		},
		{
			"beside one without a stamp, ordered by the wall clock",
			fdshare.Claim{JoinedUnixNano: older, InUse: 90, Quota: 336, Joined: joined("a", 2)},
			[]fdshare.Claim{{JoinedUnixNano: younger, InUse: 16, Quota: 48}},
			138,
		},
		{
			"beside one of another boot, ordered by the wall clock",
			fdshare.Claim{JoinedUnixNano: older, InUse: 90, Quota: 336, Joined: joined("a", 2)},
			[]fdshare.Claim{{JoinedUnixNano: younger, InUse: 16, Quota: 48, Joined: joined("b", 1)}},
			138,
		},
	} {
		t.Run(test.name, func(t *testing.T) {
			require.Equal(t, test.want, fdshare.ComputeQuota(grant, test.own, test.others))
		})
	}
}

// simulation simulates numbered processes that compute their quotas from each other's claims.
type simulation struct {
	claims  map[int]fdshare.Claim
	stopped map[int]bool
}

// compute computes the quota of a process.
func (s *simulation) compute(i int) {
	own, others := s.claims[i], []fdshare.Claim{}
	for j, claim := range s.claims {
		if j != i {
			others = append(others, claim)
		}
	}
	own.Quota = fdshare.ComputeQuota(grant, own, others)
	s.claims[i] = own
}

// step applies a random event to a process.
func (s *simulation) step(random *rand.Rand, i int) {
	claim, running := s.claims[i]
	switch event := random.IntN(10); {
	case !running && event < 3:
		s.claims[i] = fdshare.Claim{JoinedUnixNano: random.Int64N(1000)}
		s.stopped[i] = false
	case running && event == 0:
		delete(s.claims, i) // killed
	case running && event == 1:
		s.stopped[i] = !s.stopped[i] // its claim stays
	case running && event == 2:
		claim.ShuttingDown = true
		s.claims[i] = claim
	case running && !s.stopped[i] && event < 6: // it opens and closes descriptors within its quota
		claim.InUse = random.IntN(claim.Quota + 1)
		s.claims[i] = claim
	case running && !s.stopped[i]:
		s.compute(i)
	}
}

// Processes start, use more or fewer descriptors, shut down, end or stop in random order. Together their quotas never
// exceed the grant. A process that runs alone gets the whole grant but the reserve.
func TestQuotasStayWithinGrant(t *testing.T) {
	for seed := range uint64(300) {
		random := rand.New(rand.NewPCG(seed, 1))
		processes := &simulation{claims: map[int]fdshare.Claim{}, stopped: map[int]bool{}}
		for range 400 {
			processes.step(random, random.IntN(4))
			quotas := 0
			for _, claim := range processes.claims {
				require.LessOrEqual(t, claim.InUse, claim.Quota, "seed %d", seed)
				quotas += claim.Quota
			}
			require.LessOrEqual(t, quotas, grant, "seed %d", seed)
		}
		clear(processes.claims)
		processes.claims[0] = fdshare.Claim{}
		processes.compute(0)
		require.Equal(t, 336, processes.claims[0].Quota, "seed %d", seed)
	}
}

// settle makes steps until one succeeds: another process may hold the lock.
func settle(t *testing.T, member *fdshare.Member, shuttingDown bool) {
	t.Helper()
	const inUse = 20
	require.Eventually(t, func() bool {
		err := member.Settle(shuttingDown, func() int { return inUse }, func(int) {})
		if !errors.Is(err, fdshare.ErrBusy) {
			require.NoError(t, err)
		}
		return err == nil
	}, 20*time.Second, time.Millisecond)
}

// childDirVariable is the environment variable that makes this test binary another process of the pooler. Its value is
// the directory of the claims.
const childDirVariable = "SHARE_TEST_DIR"

// TestMain runs the tests, or the other process if childDirVariable is set.
func TestMain(m *testing.M) {
	dir := os.Getenv(childDirVariable)
	if dir == "" {
		os.Exit(m.Run())
	}
	_, _ = fmt.Print(settleOnce(dir))
	os.Exit(1)
}

// settleOnce settles a quota, prints a line, and then blocks until the process is killed. It returns any error other
// than ErrBusy.
func settleOnce(dir string) error {
	member, err := fdshare.Join(dir, "n[0]*", grant)
	if err != nil {
		return err
	}
	for {
		err := member.Settle(false, func() int { return 100 }, func(int) {})
		if err == nil {
			_, _ = fmt.Println("settled") // startOther reads the line
			select {}
		}
		if !errors.Is(err, fdshare.ErrBusy) {
			return err
		}
	}
}

// startOther starts another process and waits until its quota is settled.
func startOther(t *testing.T, dir string) *exec.Cmd {
	t.Helper()
	other := exec.CommandContext(t.Context(), os.Args[0])
	other.Env = append(os.Environ(), childDirVariable+"="+dir)
	output, err := other.StdoutPipe()
	require.NoError(t, err)
	require.NoError(t, other.Start())
	t.Cleanup(func() { // the process may have ended
		_ = other.Process.Kill()
		_ = other.Wait()
	})
	printed := make([]byte, 8)
	_, err = output.Read(printed)
	require.NoError(t, err)
	require.Equal(t, "settled\n", string(printed))
	return other
}

// A killed process loses its claim. A stopped process keeps its claim and does not prevent others from settling. The
// files of dead processes are removed.
func TestKilledProcessLosesClaimAndStoppedKeepsIt(t *testing.T) {
	dir := t.TempDir()
	own, err := fdshare.Join(dir, "n[0]*", grant)
	require.NoError(t, err)
	settle(t, own, false)
	require.Equal(t, 336, own.Quota())
	other := startOther(t, dir) // has more descriptors open than the reserve
	settle(t, own, false)
	require.Equal(t, 20+grant/8, own.Quota(), "the older process shrinks")
	require.NoError(t, other.Process.Signal(syscall.SIGSTOP))
	settle(t, own, false)
	require.Equal(t, 20+grant/8, own.Quota(), "a stopped process keeps its claim")
	require.NoError(t, other.Process.Kill())
	require.Error(t, other.Wait(), "the process was killed")
	settle(t, own, false)
	require.Equal(t, 336, own.Quota())
	remaining, err := filepath.Glob(filepath.Join(dir, "*"))
	require.NoError(t, err)
	require.Len(t, remaining, 2, "only the lock and the own claim remain: %v", remaining)

	require.NoError(t, os.WriteFile(filepath.Join(dir, "capercove-share-n%5B0%5D%2A.1"), []byte("noise"), 0o600))
	settle(t, own, true)
	require.Equal(t, 20+grant/16, own.Quota(), "shutting down; a file of no process does not count")
}

// Join returns an error if the directory does not exist.
func TestJoinFailsWithoutDirectory(t *testing.T) {
	_, err := fdshare.Join(filepath.Join(t.TempDir(), "none"), "n0", grant)
	require.ErrorContains(t, err, "none")
}
