package fdshare_test

import (
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

const grant = 384

func joined(boot string, after time.Duration) clock.Stamp {
	return clock.Stamp{Boot: boot, SinceBoot: after}
}

func TestComputeQuota(t *testing.T) {
	elder, young := int64(1), int64(2)
	for _, c := range []struct {
		name   string
		own    fdshare.Claim
		others []fdshare.Claim
		want   int
	}{
		{"alone: all but what one that is yet to come needs", fdshare.Claim{InUse: 20}, nil, 336},
		{"alone and crowded", fdshare.Claim{InUse: 330, Quota: 336}, nil, 336},
		{
			"a newcomer beside one that has not seen it",
			fdshare.Claim{JoinedUnixNano: young, InUse: 16},
			[]fdshare.Claim{{JoinedUnixNano: elder, InUse: 90, Quota: 336}},
			48,
		},
		{
			"the elder keeps what it uses, and some room",
			fdshare.Claim{JoinedUnixNano: elder, InUse: 90, Quota: 336},
			[]fdshare.Claim{{JoinedUnixNano: young, InUse: 16, Quota: 48}},
			138,
		},
		{"however much it uses", fdshare.Claim{JoinedUnixNano: elder, InUse: 330, Quota: 336}, []fdshare.Claim{{JoinedUnixNano: young, InUse: 48, Quota: 48}}, 336},
		{
			"the newcomer takes what it has given back",
			fdshare.Claim{JoinedUnixNano: young, InUse: 20, Quota: 48},
			[]fdshare.Claim{{JoinedUnixNano: elder, InUse: 90, Quota: 138}},
			246,
		},
		{
			"one that leaves",
			fdshare.Claim{JoinedUnixNano: elder, InUse: 40, Quota: 138, Leaving: true},
			[]fdshare.Claim{{JoinedUnixNano: young, InUse: 60, Quota: 246}},
			64,
		},
		{
			"the newcomer beside one that leaves",
			fdshare.Claim{JoinedUnixNano: young, InUse: 60, Quota: 246},
			[]fdshare.Claim{{JoinedUnixNano: elder, InUse: 40, Quota: 64, Leaving: true}},
			320,
		},
		{
			"a newcomer after the wall clock was stepped back",
			fdshare.Claim{JoinedUnixNano: elder, InUse: 20, Quota: 48, Joined: joined("a", 2)},
			[]fdshare.Claim{{JoinedUnixNano: young, InUse: 90, Quota: 138, Joined: joined("a", 1)}},
			246,
		},
		{
			"and the elder beside it",
			fdshare.Claim{JoinedUnixNano: young, InUse: 90, Quota: 336, Joined: joined("a", 1)},
			[]fdshare.Claim{{JoinedUnixNano: elder, InUse: 16, Quota: 48, Joined: joined("a", 2)}},
			138,
		},
		{
			"beside one that tells no stamp, as it decides by the wall clock too",
			fdshare.Claim{JoinedUnixNano: elder, InUse: 90, Quota: 336, Joined: joined("a", 2)},
			[]fdshare.Claim{{JoinedUnixNano: young, InUse: 16, Quota: 48}},
			138,
		},
		{
			"beside one of another boot, the same",
			fdshare.Claim{JoinedUnixNano: elder, InUse: 90, Quota: 336, Joined: joined("a", 2)},
			[]fdshare.Claim{{JoinedUnixNano: young, InUse: 16, Quota: 48, Joined: joined("b", 1)}},
			138,
		},
		{"nothing is left", fdshare.Claim{JoinedUnixNano: 3, InUse: 10}, []fdshare.Claim{{InUse: 200, Quota: 200}, {InUse: 184, Quota: 184}}, 0},
	} {
		require.Equal(t, c.want, fdshare.ComputeQuota(grant, c.own, c.others), c.name)
	}
}

// Whatever starts, grows, shrinks, leaves, dies or stops between the steps of several processes, together they never have
// more open than the grant; and one that stands alone gets nearly all of it back.
func TestTogetherWithinTheGrant(t *testing.T) {
	for seed := range uint64(300) {
		random := rand.New(rand.NewPCG(seed, 1))
		claims, stopped := map[int]fdshare.Claim{}, map[int]bool{}
		step := func(i int) {
			own, others := claims[i], []fdshare.Claim{}
			for j, c := range claims {
				if j != i {
					others = append(others, c)
				}
			}
			own.Quota = fdshare.ComputeQuota(grant, own, others)
			claims[i] = own
		}
		for range 400 {
			i := random.IntN(4)
			c, lives := claims[i]
			switch what := random.IntN(10); {
			case !lives && what < 3:
				claims[i] = fdshare.Claim{JoinedUnixNano: random.Int64N(1000)}
				stopped[i] = false
			case lives && what == 0:
				delete(claims, i) // killed
			case lives && what == 1:
				stopped[i] = !stopped[i] // its claim stands, it moves no more, or again
			case lives && what == 2:
				c.Leaving = true
				claims[i] = c
			case lives && !stopped[i] && what < 6: // it opens and closes, within what it last settled
				c.InUse = random.IntN(c.Quota + 1)
				claims[i] = c
			case lives && !stopped[i]:
				step(i)
			}
			takes := 0
			for _, c := range claims {
				require.LessOrEqual(t, c.InUse, c.Quota, "seed %d", seed)
				takes += c.Quota
			}
			require.LessOrEqual(t, takes, grant, "seed %d", seed)
		}
		clear(claims)
		claims[0] = fdshare.Claim{}
		step(0)
		require.Equal(t, 336, claims[0].Quota, "seed %d", seed)
	}
}

// settle makes steps until one is made: another process may hold the lock.
func settle(t *testing.T, b *fdshare.Beside, leaving bool, uses int) {
	t.Helper()
	require.Eventually(t, func() bool {
		err := b.Settle(leaving, func() int { return uses }, func(int) {})
		if err != fdshare.ErrBusy {
			require.NoError(t, err)
		}
		return err == nil
	}, 20*time.Second, time.Millisecond)
}

// TestMain is the other process, where it is asked to be one: it takes its quota, prints that, and stays until it is ended.
func TestMain(m *testing.M) {
	dir := os.Getenv("SHARE_TEST_DIR")
	if dir == "" {
		os.Exit(m.Run())
	}
	b, err := fdshare.Join(dir, "n[0]*", grant)
	for err == nil {
		if err = b.Settle(false, func() int { return 100 }, func(int) {}); err == nil {
			os.Stdout.WriteString("settled\n")
			select {}
		}
		if err == fdshare.ErrBusy {
			err = nil
		}
	}
	os.Stdout.WriteString(err.Error())
	os.Exit(1)
}

// A process that is killed loses its claim with its life, however it was cut short; one that is stopped keeps it, and keeps
// nobody else from settling. What a dead process left is removed.
func TestKilledAndStopped(t *testing.T) {
	dir := t.TempDir()
	start := func() *exec.Cmd {
		other := exec.Command(os.Args[0])
		other.Env = append(os.Environ(), "SHARE_TEST_DIR="+dir)
		out, err := other.StdoutPipe()
		require.NoError(t, err)
		require.NoError(t, other.Start())
		t.Cleanup(func() { other.Process.Kill(); other.Wait() })
		said := make([]byte, 8)
		_, err = out.Read(said)
		require.NoError(t, err)
		require.Equal(t, "settled\n", string(said))
		return other
	}
	b, err := fdshare.Join(dir, "n[0]*", grant)
	require.NoError(t, err)
	settle(t, b, false, 20)
	require.Equal(t, 336, b.Takes())
	other := start() // takes the reserve, and uses more than it
	settle(t, b, false, 20)
	require.Equal(t, 20+grant/8, b.Takes(), "the elder makes room")
	require.NoError(t, other.Process.Signal(syscall.SIGSTOP))
	settle(t, b, false, 20)
	require.Equal(t, 20+grant/8, b.Takes(), "a stopped one keeps its place")
	require.NoError(t, other.Process.Kill())
	other.Wait()
	settle(t, b, false, 20)
	require.Equal(t, 336, b.Takes())
	left, err := filepath.Glob(filepath.Join(dir, "*"))
	require.NoError(t, err)
	require.Len(t, left, 2, "the lock and the own claim are left: %v", left)

	require.NoError(t, os.WriteFile(filepath.Join(dir, "capercove-share-n%5B0%5D%2A.1"), []byte("noise"), 0o600))
	settle(t, b, true, 20)
	require.Equal(t, 20+grant/16, b.Takes(), "leaving, and what nobody holds is nobody's")
}

// A directory that is not there is an error, not a quota.
func TestJoinFailsWithoutDirectory(t *testing.T) {
	_, err := fdshare.Join(filepath.Join(t.TempDir(), "none"), "n0", grant)
	require.ErrorContains(t, err, "none")
}
