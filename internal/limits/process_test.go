package limits_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"capercove/internal/limits"
)

// The heap gets what the pages of files leave of the grant: no more than the share that the limits name, and no less
// than the garbage collector needs.
func TestSoftMemoryLeavesRoomForPagesOfFiles(t *testing.T) {
	const mebibyte = 1 << 20
	bounds := limits.Process{MemoryBytes: 32 * mebibyte, SoftMemoryBytes: 13 * mebibyte}
	for filePages, want := range map[uint64]int64{0: 13, 17: 13, 18: 12, 20: 10, 22: 8, 26: 8, 40: 8} {
		require.Equal(t, want*mebibyte, bounds.SoftMemory(filePages*mebibyte), "%d MiB of files", filePages)
	}
}
