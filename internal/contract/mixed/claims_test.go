package mixed_test

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"syscall"
	"testing"

	"github.com/stretchr/testify/require"

	"capercove/internal/fdshare"
	"capercove/internal/testbed"
)

const (
	descriptors = 192                   // that the platform grants to the processes of a pooler
	reserve     = descriptors / 8       // for a process that starts next
	quotaAlone  = descriptors - reserve // of a process that runs alone
)

// claimPath is the path of the file in which a process of a pooler publishes its claim.
func claimPath(bed *testbed.Bed, process *os.Process) string {
	return filepath.Join(bed.Dir, fmt.Sprintf("capercove-share-n0.%d", process.Pid))
}

// readClaim reads the claim of a process; false: it cannot be read at this moment, or does not cover what is in use, as
// where its fields have other names.
func readClaim(bed *testbed.Bed, process *os.Process) (claim fdshare.Claim, readable bool) {
	file, err := os.Open(claimPath(bed, process))
	if err != nil {
		return fdshare.Claim{}, false
	}
	defer func() { _ = file.Close() }() // it was only read
	err = json.NewDecoder(file).Decode(&claim)
	return claim, err == nil && claim.InUse > 0 && claim.Quota >= claim.InUse
}

// Two processes of different builds divide the descriptors by each other's claims: the elder shrinks to what it uses
// and a reserve, the younger gets what is left, and all that a process alone may have once the elder has ended or was
// killed, whose claim it removes.
func TestDescriptorClaims(t *testing.T) {
	t.Parallel()
	eachOrder(t, func(t *testing.T, order builds) {
		for _, end := range []syscall.Signal{syscall.SIGTERM, syscall.SIGKILL} {
			t.Run(end.String(), func(t *testing.T) { divideDescriptors(t, order, end) })
		}
	})
}

// divideDescriptors upgrades a process of the first build by one of the second, and ends the first one by a signal.
func divideDescriptors(t *testing.T, order builds, end syscall.Signal) {
	t.Helper()
	bed := testbed.Start(t, testbed.WithListener, testbed.WithProgram(order.first),
		func(bed *testbed.Bed) { bed.Sockets = descriptors })
	alone := func(counters testbed.Counters) bool { return counters.Takes == quotaAlone }
	bed.Counters(alone)
	elder := bed.Process()
	replaceProgram(bed, order.second)
	endElder := bed.Upgrade()
	bed.Eventually(func() bool {
		claim, readable := readClaim(bed, elder)
		return readable && claim.Joined.Boot != "" && claim.Quota <= claim.InUse+reserve
	}, "the elder has read the younger's claim")
	bed.Eventually(func() bool {
		own, readable := readClaim(bed, bed.Process())
		other, otherReadable := readClaim(bed, elder)
		return readable && otherReadable && own.Joined.Boot != "" && own.Joined.SinceBoot > other.Joined.SinceBoot &&
			own.Quota == min(quotaAlone, descriptors-other.Quota)
	}, "the younger has read the elder's claim")
	if end == syscall.SIGTERM {
		require.NoError(t, endElder())
	} else {
		require.NoError(t, elder.Signal(end))
	}
	bed.Counters(alone)
	require.NoFileExists(t, claimPath(bed, elder), "what an ended process has left behind is removed")
}
