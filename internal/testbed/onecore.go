package testbed

import (
	"fmt"
	"os"
	"strconv"

	"github.com/stretchr/testify/require"
	"golang.org/x/sys/unix"
)

// UseOneCore binds the program that runs now to one core, as the platform grants it. Threads that it starts later
// inherit that.
func (b *Bed) UseOneCore() {
	b.T.Helper()
	var allowed, one unix.CPUSet
	require.NoError(b.T, unix.SchedGetaffinity(b.process.Process.Pid, &allowed))
	for core := range len(allowed) * 64 {
		if allowed.IsSet(core) {
			one.Set(core)
			break
		}
	}
	threads, err := os.ReadDir(fmt.Sprintf("/proc/%d/task", b.process.Process.Pid))
	require.NoError(b.T, err)
	for _, thread := range threads {
		id, err := strconv.Atoi(thread.Name())
		require.NoError(b.T, err)
		if err := unix.SchedSetaffinity(id, &one); err != nil { // the thread may have ended
			require.ErrorIs(b.T, err, unix.ESRCH)
		}
	}
}

// PeakMemory returns the largest resident memory that the program has had, in bytes.
func (b *Bed) PeakMemory() int {
	b.T.Helper()
	return b.statusBytes("VmHWM:")
}
